#pragma once

#include "base/DecisionLog.h"
#include "gateway/KvStore.h"
#include "gateway/RepeatingTimer.h"

#include <map>

// Keeps a local copy of the keys that a node needs from the platform's store: lists them once, then watches for
// changes. A single watch covers all keys, because the platform counts and bills every call to the store, a waiting
// watch as one call. When the store has lost the history of changes or a call fails, all keys are listed again.
//
// They are also listed again when the store's era rises: a store that was restored from a copy has lost changes, and gives
// revisions out again. Until then the copy of the earlier era stays in use.

namespace hemlockweir {

// Intervals of the calls to the store.
struct FollowTiming {
    Millis wait { 2000 }; // ms, one watch with the pause before it; a dead connection is detected soon after
    Millis pause { 100 }; // ms between two watches; changes made meanwhile arrive in one answer
    Millis catchUpTime { 3000 }; // ms after the store's recovery in which many endpoints may register again
    Millis catchUpPause { 200 }; // ms, longest pause between two watches in this time
    Millis retryDelay { 250 }; // ms after a failed call; doubles with each consecutive failure
    Millis maxRetryDelay { 500 }; // ms between two attempts; bounds how late the store's recovery is noticed
};

class StoreFollower {
public:
    struct Options {
        Clock clock;
        std::vector<std::string> prefixes; // of the keys to follow
        FollowTiming timing;
    };

    StoreFollower(boost::asio::io_context& context, Options options, const KvStore& store, DecisionLog& log);

    // Adds a listener that is called after each answer of the store and after applyPeerItems(). Listeners are called
    // in the order in which they were added.
    void addListener(std::function<void()> onAnswer) { listeners_.push_back(std::move(onAnswer)); }

    // Starts to follow the store. Must be called once.
    void start() { listAll(); }

    // Replaces the items with any of the prefixes by those that another node reported as of `revision`. Returns false, and
    // changes nothing, if the store is reachable or the revision is not newer.
    bool applyPeerItems(const std::vector<std::string>& prefixes, const std::vector<KvItem>& items, StoreRevision revision);

    // Sets the pause between two watches, in ms.
    void setPause(Millis pause) { options_.timing.pause = pause; }

    // Returns the items with a prefix, sorted by key.
    std::vector<const KvItem*> itemsWith(const std::string& prefix) const;

    // Returns the item of a key, or null if the key doesn't exist.
    const KvItem* find(const std::string& key) const;

    StoreRevision revision() const { return revision_; } // store revision of the copy

    // Returns whether the copy is of the store's current era. Until then its items may have been lost, or belong to others.
    bool isOfCurrentEra() const { return revision_.era() == store_.eras->current(); }

    // Returns the revision of the first listing of the copy's era. What has a later revision was written in this era.
    StoreRevision eraListedAt() const { return eraListedAt_; }

    bool hasData() const { return hasData_; } // the keys were read, from the store or another node
    bool isReachable() const { return failures_ == 0; } // no call has failed since the last answer
    Millis answeredAt() const { return answeredAt_; } // time of the store's last answer
    Millis recoveredAt() const { return recoveredAt_; } // time of the last answer that followed a failed call
    Millis relistedAt() const { return relistedAt_; } // time of the first listing after the last restore of the store
    Millis outageTime() const { return outageTime_; } // ms between that answer and the one before it

private:
    // A listing of all prefixes in progress. The prefixes are listed one after the other.
    struct Listing {
        uint64_t number = 0; // of this listing, in the order of their starts
        size_t nextPrefix = 0; // index of the prefix to list next
        StoreRevision revision; // of the store, at the first answer
        std::map<std::string, KvItem> items;
    };

    void listAll();
    void listNext(const std::shared_ptr<Listing>& listing);
    void applyListing(Listing& listing);
    void watch();
    void apply(const KvChanges& changes);
    void handleNewEra(uint64_t before);
    bool isFollowed(const std::string& key) const;
    void noteAnswer();
    void noteFailure(const absl::Status& status);
    Millis nextPause() const;
    Millis backoffDelay(Millis initialDelay, uint32_t failureCount) const;

    Options options_;
    std::string watchedPrefix_; // longest common prefix of all followed keys
    const KvStore& store_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    std::vector<std::function<void()>> listeners_;
    std::map<std::string, KvItem> items_;
    StoreRevision revision_;
    StoreRevision eraListedAt_;
    bool hasListed_ = false; // the store itself was read
    uint64_t startedListings_ = 0;
    uint64_t obsoleteListings_ = 0; // listings with numbers up to this one are ignored: one of them succeeded
    uint32_t failures_ = 0; // consecutive attempts since the first failed call
    uint32_t historyLossCount_ = 0; // consecutive watches that failed because history was lost
    Millis answeredAt_ { 0 };
    Millis recoveredAt_ { -3600000 }; // earlier than any real time
    Millis outageTime_ { 0 };
    Millis relistedAt_ { -3600000 }; // earlier than any real time
    bool hasData_ = false;
    bool isWatching_ = false; // the next call is a watch, not a listing
};

} // namespace hemlockweir
