#pragma once

#include "config/Settings.h"
#include "gateway/ConfigurationFollower.h"
#include "gateway/EndpointFollower.h"
#include "gateway/EvacuatedDomains.h"
#include "gateway/Presence.h"
#include "http/HttpCall.h"
#include "http/ServerConnection.h"
#include "wire/Bounded.h"

// While a node can't reach the platform's store, it requests the configuration, the list of endpoints and the evacuated
// failure domains from another node, so that it keeps serving with current data. The store has precedence: no other node is queried while the
// store answers. Data of another node is applied only if it is newer.

namespace hemlockweir {

// One key of the store: the entry of an endpoint, or an evacuated failure domain.
struct SnapshotEntry {
    static constexpr uint32_t maxKeyBytes = 1024;
    static constexpr uint32_t maxValueBytes = 1024 * 1024;

    std::string key;
    std::string value;
    uint64_t era = 0;
    uint64_t revision = 0; // of its last change, in this era

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(bounded(key, maxKeyBytes), bounded(value, maxValueBytes), era, revision);
    }
    auto operator<=>(const SnapshotEntry&) const = default;
};

// A node's copy of the store's data, restricted to what is newer than the data of the requesting node.
struct StoreSnapshot {
    // Format 2 has the era of the store, and the evacuated failure domains among the entries. A snapshot without them must not be applied: it would end
    // the evacuations.
    static constexpr uint32_t currentFormat = 2;
    static constexpr size_t maxBytes = 32 * 1024 * 1024; // encoded
    static constexpr uint32_t maxConfigurationBytes = 8 * 1024 * 1024;
    static constexpr uint32_t maxEntries = 20000;

    uint32_t format = currentFormat;
    std::string configuration; // the operators' text; empty: nothing newer
    uint64_t configurationFirstEra = 0; // the operators wrote the configuration in one of the eras from this one
    uint64_t configurationLastEra = 0; // to this one
    uint64_t listEra = 0; // of the entries
    uint64_t listRevision = 0; // store revision of the entries; 0: nothing newer
    std::vector<SnapshotEntry> entries; // of endpoints and of evacuated failure domains

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(format, bounded(configuration, maxConfigurationBytes), configurationFirstEra, configurationLastEra, listEra, listRevision, bounded(entries, maxEntries));
    }
    auto operator<=>(const StoreSnapshot&) const = default;
};

class PeerSnapshots {
public:
    struct Options {
        Clock clock;
        Random random;
        std::string control; // TCP, control address of this node
        std::string endpointPrefix; // of the list of endpoints
        std::string evacuationPrefix; // of the evacuated failure domains; empty: there are none
        std::vector<Endpoint> seeds; // control addresses to query while no other node is known
        Millis interval { 700 }; // ms between two requests; a new version must be in force within five seconds
        Millis timeout { 600 }; // ms, one request
    };

    PeerSnapshots(boost::asio::io_context& context, Options options, StoreFollower& store, ConfigurationFollower& configuration, const EndpointFollower& endpoints, const EvacuatedDomains& evacuated, DecisionLog& log);

    void start();

    // Sets the other nodes, as registered in the platform's store.
    void setPeers(const std::vector<Presence::Peer>& peers) { peers_ = peers; }

    // Answers another node's request with a snapshot, or with status 204 if this node has nothing newer.
    void answer(const std::shared_ptr<ServerConnection>& connection, const ServerRequest& request) const;

    // Path of the request on the control address.
    static constexpr std::string_view path = "/snapshot";

private:
    void poll();
    std::vector<Endpoint> findPeers() const;
    void requestSnapshot(const Endpoint& peer);
    void apply(const std::string& bytes, const std::string& peer);

    boost::asio::io_context& context_;
    Options options_;
    StoreFollower& store_;
    ConfigurationFollower& configuration_;
    const EndpointFollower& endpoints_;
    const EvacuatedDomains& evacuated_;
    DecisionLog& log_;
    ConnectionPool pool_;
    RepeatingTimer timer_;
    std::vector<Presence::Peer> peers_;
};

} // namespace hemlockweir
