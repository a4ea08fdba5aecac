#pragma once

#include "config/Settings.h"
#include "gateway/ConfigurationFollower.h"
#include "gateway/EndpointFollower.h"
#include "gateway/Presence.h"
#include "http/HttpCall.h"
#include "http/ServerConnection.h"
#include "wire/Bounded.h"

// A node that the platform's store does not answer learns the configuration and the list of endpoints from
// another node, so that it follows the operators and serves on. The store comes first: nothing is asked of other
// nodes while it answers. What another node knows is taken only if it is newer.

namespace hemlockweir {

// One entry of the list of endpoints.
struct SnapshotEntry {
    static constexpr uint32_t maxKeyBytes = 1024;
    static constexpr uint32_t maxValueBytes = 1024 * 1024;

    std::string key;
    std::string value;
    uint64_t revision = 0; // of its last change

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxKeyBytes), bounded(value, maxValueBytes), revision);
    }
    auto operator<=>(const SnapshotEntry&) const = default;
};

// What one node knows of the store, as far as it is newer than the node that asks.
struct StoreSnapshot {
    static constexpr uint32_t currentFormat = 1;
    static constexpr uint32_t maxConfigurationBytes = 8 * 1024 * 1024;
    static constexpr uint32_t maxEntries = 20000;

    uint32_t format = currentFormat;
    std::string configuration; // the operators' text; empty: none that is newer
    uint64_t listRevision = 0; // of the store, for the entries; 0: none that are newer
    std::vector<SnapshotEntry> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(format, bounded(configuration, maxConfigurationBytes), listRevision, bounded(entries, maxEntries));
    }
    auto operator<=>(const StoreSnapshot&) const = default;
};

class PeerSnapshots {
public:
    struct Options {
        Clock clock;
        Random random;
        std::string control; // TCP, of this node
        std::string endpointPrefix; // of the list of endpoints
        std::vector<Endpoint> seeds; // asked while no other node is known
        Millis interval { 700 }; // ms between two questions; a version is to be in force within five seconds
        Millis timeout { 600 }; // ms, one question
    };

    PeerSnapshots(boost::asio::io_context& context, Options options, StoreFollower& store, ConfigurationFollower& configuration, const EndpointFollower& endpoints, DecisionLog& log);

    void start();

    // The other nodes, as they stand in the platform's store.
    void setPeers(const std::vector<Presence::Peer>& peers) { peers_ = peers; }

    // Answers the question of another node.
    void answer(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request) const;

    // The path of the question on the control address.
    static constexpr std::string_view path = "/snapshot";

private:
    void poll();
    std::vector<Endpoint> candidates() const;
    void requestSnapshot(const Endpoint& peer);
    void apply(const std::string& bytes, const std::string& peer);

    boost::asio::io_context& context_;
    Options options_;
    StoreFollower& store_;
    ConfigurationFollower& configuration_;
    const EndpointFollower& endpoints_;
    DecisionLog& log_;
    ConnectionPool pool_;
    RepeatingTimer timer_;
    std::vector<Presence::Peer> peers_;
};

} // namespace hemlockweir
