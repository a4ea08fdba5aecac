#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/RepeatingTimer.h"

#include <map>

// Keeps the list of endpoints: reads it again and again. After the store was away, entries that lapsed
// meanwhile get time to come back before they count as gone.

namespace hemlockweir {

class EndpointFollower {
public:
    struct Options {
        Clock clock;
        Millis interval { 600 }; // ms, between two reads; the list is to be acted on within 2 s
        Millis retryDelay { 250 }; // ms, after a read that failed
        Millis returnTime { 2600 }; // ms after the store's return in which lapsed entries come back
        std::function<void()> onChange; // after each read
    };

    EndpointFollower(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log);

    void start() { read(); }

    // Reads at another interval from now on.
    void setInterval(Millis interval) { options_.interval = interval; }

    const std::vector<EndpointInfo>& endpoints() const { return endpoints_; }

    // Whether the list was read of late and nothing in it is held back.
    bool isSettled() const;

    Millis readAt() const { return readAt_; }
    bool hasRead() const { return hasRead_; }

private:
    void read();
    void take(const KvItems& items);

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    std::vector<EndpointInfo> endpoints_;
    std::map<std::string, EndpointInfo> known_; // by id
    std::map<std::string, uint64_t> unreadable_; // revisions already told of, by key
    Millis readAt_ { 0 };
    Millis returnedAt_ { -3600000 }; // when the store came back last
    bool isReachable_ = true;
    bool hasRead_ = false;
};

} // namespace hemlockweir
