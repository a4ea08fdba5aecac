#include "http/HttpCall.h"

#include <boost/asio/steady_timer.hpp>

namespace hemlockweir {

namespace {

    // State of a running call.
    struct Call {
        Call(boost::asio::io_context& context, ConnectionPool& connections)
            : pool(connections)
            , timer(context)
        {
        }

        void finish(absl::StatusOr<CallAnswer> result)
        {
            if (!done)
                return;
            timer.cancel();
            pool.release(address, port, connection);
            std::exchange(done, {})(std::move(result));
        }

        void handleEnd(ExchangeEnd outcome)
        {
            if (outcome == ExchangeEnd::Complete)
                finish(std::move(answer));
            else if (outcome == ExchangeEnd::NotConnected)
                finish(absl::UnavailableError("the server is unreachable"));
            else
                finish(absl::UnknownError("the connection was lost before the answer was complete"));
        }

        void handleTimeout()
        {
            if (!done)
                return;
            const bool wasSent = connection->wasConnected();
            connection->close();
            finish(wasSent ? absl::UnknownError("timed out waiting for the answer") : absl::UnavailableError("timed out while connecting"));
        }

        ConnectionPool& pool;
        boost::asio::steady_timer timer;
        std::shared_ptr<ClientConnection> connection;
        std::string address;
        uint16_t port = 0;
        CallAnswer answer;
        std::function<void(absl::StatusOr<CallAnswer>)> done;
    };

} // namespace

void callServer(boost::asio::io_context& context, ConnectionPool& pool, HttpCallOptions options, std::function<void(absl::StatusOr<CallAnswer>)> done)
{
    const auto call = std::make_shared<Call>(context, pool);
    call->address = options.address;
    call->port = options.port;
    call->done = std::move(done);
    call->connection = pool.acquire(options.address, options.port, options.mayReuse);
    call->timer.expires_after(options.timeout);
    call->timer.async_wait([call](const boost::system::error_code& error) {
        if (!error)
            call->handleTimeout();
    });
    call->connection->exchange(std::move(options.request),
        {
            .onHead = [call](const ResponseHead& head) { call->answer.status = head.status; },
            .onBody = [call](std::string_view bytes) { call->answer.body += bytes; },
            .onEnd = [call](ExchangeEnd outcome) { call->handleEnd(outcome); },
        });
}

} // namespace hemlockweir
