#pragma once

#include "base/Clock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

// Timer that calls the same function on an event loop. Each call has to be scheduled, usually by the function itself.

namespace hemlockweir {

class RepeatingTimer {
public:
    RepeatingTimer(boost::asio::io_context& context, std::function<void()> onTime)
        : timer_(context)
        , onTime_(std::move(onTime))
    {
    }

    // Schedules the next call after a delay. Replaces a call that is already scheduled.
    void callAfter(Millis delay)
    {
        timer_.expires_after(delay);
        timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
            if (!error && !alive.expired())
                onTime_();
        });
    }

    // Cancels the scheduled call.
    void stop() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
    std::function<void()> onTime_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hemlockweir
