#pragma once

#include "base/Clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

// Calls a function again and again on an event loop, the next time a delay after the last call ended.

namespace hemlockweir {

class RepeatingTimer {
public:
    RepeatingTimer(boost::asio::io_context& context, std::function<void()> onTime)
        : timer_(context)
        , onTime_(std::move(onTime))
    {
    }

    // Calls after the delay, instead of when it would have.
    void callAfter(Millis delay)
    {
        timer_.expires_after(delay);
        timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
            if (!error && !alive.expired())
                onTime_();
        });
    }

    void stop() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
    std::function<void()> onTime_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hemlockweir
