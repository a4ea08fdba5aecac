#pragma once

#include "gateway/PlatformAdapter.h"
#include "gateway/PrefixFollower.h"

// Keeps the list of endpoints. After the store was away, entries that lapsed meanwhile get time to come
// back before they count as gone.

namespace hemlockweir {

class EndpointFollower {
public:
    struct Options {
        Clock clock;
        FollowTiming timing;
        Millis returnTime { 2600 }; // ms after the store's return in which lapsed entries come back
        std::function<void()> onChange; // after each answer of the store
    };

    EndpointFollower(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log);

    void start() { follower_.start(); }

    // Learns of changes at the latest so long after the store has them, but for the answer's way.
    void setPause(Millis pause) { follower_.setPause(pause); }

    const std::vector<EndpointInfo>& endpoints() const { return endpoints_; }

    bool hasRead() const { return follower_.hasRead(); }
    Millis readAt() const { return follower_.heardAt(); }

private:
    // A decoded entry.
    struct Known {
        EndpointInfo info;
        uint64_t revision = 0; // of the item that it was read from
    };

    void takeAnswer();
    void takeItem(const KvItem& item);
    void dropMissing();

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    PrefixFollower follower_;
    std::vector<EndpointInfo> endpoints_;
    std::map<std::string, Known> known_; // by key
    std::map<std::string, uint64_t> unreadable_; // revisions that were told of, by key
};

} // namespace hemlockweir
