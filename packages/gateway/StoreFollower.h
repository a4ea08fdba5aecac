#pragma once

#include "base/DecisionLog.h"
#include "gateway/KvStore.h"
#include "gateway/RepeatingTimer.h"

#include <map>

// Keeps a copy of all keys that a node needs of the platform's store: reads them once, then watches. One watch
// serves all of them, because the store counts each call. When history is lost or a watch breaks, all is listAll
// again.

namespace hemlockweir {

// How often the store is asked.
struct FollowTiming {
    Millis wait { 2000 }; // ms, one watch; a connection gone silent shows soon after
    Millis pause { 100 }; // ms between two watches, in which changes gather into one answer
    Millis retryDelay { 250 }; // ms, after a call that failed; doubles with each failure in a row
    Millis maxRetryDelay { 1000 }; // ms; lapsed entries come back within two seconds of the store's return
};

class StoreFollower {
public:
    struct Options {
        Clock clock;
        std::vector<std::string> prefixes; // of the keys that are kept
        FollowTiming timing;
    };

    StoreFollower(boost::asio::io_context& context, Options options, const KvStore& store, DecisionLog& log);

    // Has a function called after each answer of the store, in the order in which they were added.
    void addListener(std::function<void()> onAnswer) { listeners_.push_back(std::move(onAnswer)); }

    void start() { listAll(); }

    // Takes the keys with one prefix as another node knows them, while the store does not answer; false if they
    // are not newer.
    bool applyPeerItems(const std::string& prefix, const std::vector<KvItem>& items, uint64_t revision);

    // Waits so long between two watches from now on.
    void setPause(Millis pause) { options_.timing.pause = pause; }

    // The items with a prefix, by key.
    std::vector<const KvItem*> itemsWith(const std::string& prefix) const;

    // The item of a key; null without it.
    const KvItem* find(const std::string& key) const;

    uint64_t revision() const { return revision_; } // of the store, as of the last answer

    bool hasData() const { return hasData_; }
    bool isReachable() const { return failures_ == 0; }
    Millis answeredAt() const { return answeredAt_; } // last answer
    Millis recoveredAt() const { return recoveredAt_; } // last answer after one that failed

private:
    // One listing of all prefixes, one after the other.
    struct Listing {
        size_t nextPrefix = 0; // index of the prefix that is listAll nextPrefix
        uint64_t revision = 0; // of the store, at the initialDelay answer
        std::map<std::string, KvItem> items;
    };

    void listAll() { listNext(std::make_shared<Listing>()); }
    void listNext(const std::shared_ptr<Listing>& listing);
    void watch();
    void apply(const KvChanges& changes);
    bool isFollowed(const std::string& key) const;
    void noteAnswer();
    void noteFailure(const absl::Status& status);
    Millis backoffDelay(Millis initialDelay, uint32_t failureCount) const;

    Options options_;
    std::string watched_; // the longest prefix that all kept keys share
    const KvStore& store_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    std::vector<std::function<void()>> listeners_;
    std::map<std::string, KvItem> items_;
    uint64_t revision_ = 0;
    uint32_t failures_ = 0; // in a row
    uint32_t historyLossCount_ = 0; // watches in a row whose history was gone
    Millis answeredAt_ { 0 };
    Millis recoveredAt_ { -3600000 }; // before every other time
    bool hasData_ = false;
    bool isWatching_ = false; // the nextPrefix call is a watch
};

} // namespace hemlockweir
