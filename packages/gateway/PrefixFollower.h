#pragma once

#include "base/DecisionLog.h"
#include "gateway/KvStore.h"
#include "gateway/RepeatingTimer.h"

#include <map>

// Keeps a copy of all keys with one prefix: reads them once, then watches. When history is lost or a
// watch breaks it reads them again.

namespace hemlockweir {

// How often the store is asked.
struct FollowTiming {
    Millis wait { 2000 }; // ms, one watch; a connection gone silent shows soon after
    Millis pause { 100 }; // ms between two watches, in which changes gather into one answer
    Millis retryDelay { 250 }; // ms, after a call that failed
};

class PrefixFollower {
public:
    struct Options {
        Clock clock;
        std::string prefix;
        FollowTiming timing;
        std::function<void()> onAnswer; // after each answer of the store
    };

    PrefixFollower(boost::asio::io_context& context, Options options, const KvStore& store, DecisionLog& log);

    void start() { read(); }

    // Waits so long between two watches from now on.
    void setPause(Millis pause) { options_.timing.pause = pause; }

    const std::map<std::string, KvItem>& items() const { return items_; }
    uint64_t revision() const { return revision_; } // of the store, as of the last answer

    bool hasRead() const { return hasRead_; }
    bool isReachable() const { return isReachable_; }
    Millis heardAt() const { return heardAt_; } // last answer
    Millis returnedAt() const { return returnedAt_; } // last answer after one that failed

private:
    void read();
    void watch();
    void take(const KvChanges& changes);
    void noteAnswer();
    void noteFailure(const absl::Status& status);

    Options options_;
    const KvStore& store_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    std::map<std::string, KvItem> items_;
    uint64_t revision_ = 0;
    Millis heardAt_ { 0 };
    Millis returnedAt_ { -3600000 }; // before every other time
    bool isReachable_ = true;
    bool hasRead_ = false;
    bool isWatching_ = false; // the next call is a watch
};

} // namespace hemlockweir
