#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/StoreFollower.h"

// Maintains the list of endpoints from the platform's store. Entries may expire while the store is unavailable, or soon
// after, because endpoints can't renew them. After such an outage, missing entries stay in the list for a grace period, in which
// their endpoints can register again. So do entries that are missing after the store was restored from a copy. Whether the store was unavailable for all or only for this node can't be told, so an
// endpoint that left meanwhile stays for as long.
//
// What an entry says counts by the endpoint's own clock (proxy/EndpointClock.h), whether it comes from the store or from another
// node: a write that the store carries out late is older than one that it overwrites. The next write of the endpoint corrects the
// store. The removal of an entry counts by the store's order.
//
// The time for which an entry says that its endpoint is still cold counts from when the entry is read, which errs long by the age
// of the entry. A process that appears while this node is serving and says nothing readable of it counts as cold.

namespace hemlockweir {

class EndpointFollower {
public:
    struct Options {
        Clock clock;
        Millis lapseTime { 2400 }; // ms, a shorter outage lets no entry expire
        Millis gracePeriod { 2200 }; // ms after the store's recovery for which expired entries are retained
        Millis contradictionTime { 8000 }; // ms after which an older entry that still stands counts: a late write is corrected before
        std::function<bool()> isServing; // whether there is traffic, so that an endpoint that starts is cold; empty: there is none
        std::function<bool()> logsEachChange; // whether this node acts on single changes; empty: it does not
        std::function<bool(const std::string& domain)> isEvacuated; // whether a failure domain is evacuated; empty: none is
        std::function<void()> onChange; // called after each answer of the store or of another node, even without a change
    };

    EndpointFollower(boost::asio::io_context& context, Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log);

    const std::vector<EndpointInfo>& endpoints() const { return endpoints_; }

    // Returns the number of changes of the list so far.
    uint64_t changeCount() const { return changeCount_; }

    // Logs how many endpoints appeared, began to leave and went since the last call, if any did. All nodes see each change;
    // single changes are logged only where logsEachChange says so. Call periodically.
    void logChanges();

    // Returns the undecoded newest entries of the endpoints, for a node that can't reach the store.
    std::vector<KvItem> entries() const;

private:
    // An endpoint and its newest entry.
    struct KnownEndpoint {
        EndpointInfo info;
        KvItem item; // that `info` was decoded from
        EndpointClock clock;
        StoreRevision seenRevision; // of the last entry, older ones included
        bool hasUnreadableColdTime = false; // as the newest entry says
        std::optional<Millis> contradictedSince; // all entries since then were older than `item`
    };

    // Changes of the list since the last summary.
    struct ChangeCounts {
        size_t found = 0;
        size_t leaving = 0;
        size_t gone = 0;

        bool operator==(const ChangeCounts&) const = default;
    };

    void update();
    void noteOutage();
    bool logsEachChange() const { return options_.logsEachChange && options_.logsEachChange(); }
    bool applyItem(const KvItem& item);
    bool isEvacuated(const EndpointInfo& info) const { return options_.isEvacuated && options_.isEvacuated(info.domain); }
    bool markEvacuated();
    bool isNews(KnownEndpoint& known, const StatementTime& time) const;
    void completeColdTime(const EndpointInfo* previous, EndpointInfo& info) const;
    void logColdTime(KnownEndpoint& known, const EndpointEntry& entry);
    void logEntry(const KnownEndpoint* previous, const EndpointInfo& info, const StoreRevision& revision);
    bool removeMissing();
    Millis graceEndsAt() const { return outageEndedAt_ + options_.gracePeriod; }

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    StoreFollower& store_;
    std::vector<EndpointInfo> endpoints_;
    std::map<std::string, KnownEndpoint> known_; // by key
    RepeatingTimer graceTimer_;
    Millis outageEndedAt_ { -3600000 }; // of the last outage that may have let entries expire; initially earlier than any real time
    uint64_t changeCount_ = 0;
    bool hasList_ = false; // the list was read once
    bool isServing_ = false; // endpoints that appear now start during traffic
    ChangeCounts unlogged_;
    std::map<std::string, StoreRevision> loggedUnreadable_; // last logged revision of invalid entries, by key
};

} // namespace hemlockweir
