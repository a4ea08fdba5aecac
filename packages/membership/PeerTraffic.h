#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

// Traffic counters for the datagrams between a node and its peers.

namespace hemlockweir {

inline constexpr uint64_t datagramHeaderBytes = 28; // IPv4 and UDP

// Purpose of a datagram.
enum class SendPurpose : uint8_t {
    NearDigest, // to nodes of the same failure domain
    FarDigest, // from one relay to another
    NearBroadcast, // a message of this node to its failure domain
    FarBroadcast, // a message of this node, itself a relay, to other relays
    Relayed, // a forwarded message of another node
    Handshake, // to seeds and unresponsive peers
    Answer, // challenges, their answers, and requested records
};
inline constexpr size_t sendPurposeCount = 7;

// Returns the name of a purpose as used in metric names.
const char* nameOf(SendPurpose purpose);

// Total datagrams and bytes, including UDP and IP headers.
struct PeerTraffic {
    uint64_t datagramsSent = 0;
    uint64_t bytesSent = 0;
    uint64_t datagramsReceived = 0;
    uint64_t bytesReceived = 0;
    uint64_t refused = 0; // unauthenticated, malformed or replayed
    uint64_t relayed = 0; // datagrams forwarded for other nodes
    uint64_t relayDropped = 0; // messages not forwarded because the budget was exhausted
    std::array<uint64_t, sendPurposeCount> bytesSentFor {}; // by SendPurpose

    auto operator<=>(const PeerTraffic&) const = default;
};

} // namespace hemlockweir
