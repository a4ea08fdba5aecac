#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

// What a node's datagrams to and from its peers cost.

namespace hemlockweir {

inline constexpr uint64_t datagramHeaderBytes = 28; // IPv4 and UDP

// What a datagram is sent for.
enum class SendPurpose : uint8_t {
    NearDigest, // to nodes of the own failure domain
    FarDigest, // from relay to relay
    NearBroadcast, // a message of this node, to its failure domain
    FarBroadcast, // a message of this node, a relay, to other relays
    Relayed, // a message of another node, passed on
    Handshake, // to seeds and silent peers
    Answer, // challenges, their answers, and records asked for
};
inline constexpr size_t sendPurposeCount = 7;

// The name of a purpose, as it stands in a metric.
const char* nameOf(SendPurpose purpose);

// Datagrams and bytes so far, with their UDP and IP headers.
struct PeerTraffic {
    uint64_t datagramsSent = 0;
    uint64_t bytesSent = 0;
    uint64_t datagramsReceived = 0;
    uint64_t bytesReceived = 0;
    uint64_t refused = 0; // foreign, truncated, forged or old
    uint64_t relayed = 0; // datagrams passed on for others
    uint64_t relayDropped = 0; // messages not passed on, since the budget was used up
    std::array<uint64_t, sendPurposeCount> bytesSentFor {}; // by SendPurpose

    auto operator<=>(const PeerTraffic&) const = default;
};

} // namespace hemlockweir
