#pragma once

#include "base/DecisionLog.h"
#include "gateway/PlatformAdapter.h"
#include "gateway/RepeatingTimer.h"

// Keeps the newest configuration of the operators: reads it once, then watches it. A version that
// can't be read, or is older than the one in force, changes nothing.

namespace hemlockweir {

class ConfigurationFollower {
public:
    struct Options {
        Clock clock;
        Millis watchWait { 1200 }; // ms, one watch; a connection gone silent shows no later
        Millis retryDelay { 250 }; // ms, after a call that failed
        std::function<void(std::shared_ptr<const RouteTable>, const std::string& text)> onConfiguration;
    };

    ConfigurationFollower(boost::asio::io_context& context, Options options, const PlatformAdapter& adapter, DecisionLog& log);

    void start();

    // Takes a configuration, from the store or from another node; true if it is newer and in force now.
    bool take(const std::string& text, std::string_view source);

    // When the store last answered.
    Millis heardAt() const { return heardAt_; }

private:
    void read();
    void watch();
    void noteOutcome(const absl::Status& status);

    Options options_;
    const PlatformAdapter& adapter_;
    DecisionLog& log_;
    RepeatingTimer timer_;
    uint64_t version_ = 0;
    uint64_t watchFrom_ = 0; // revision; 0: the key has to be read first
    Millis heardAt_ { 0 };
    bool isReachable_ = true;
};

} // namespace hemlockweir
