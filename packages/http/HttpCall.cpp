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
            if (const auto open = connection.lock())
                pool.release(address, port, open);
            std::exchange(done, {})(std::move(result));
        }

        void handleEnd(ExchangeEnd outcome)
        {
            if (outcome == ExchangeEnd::Complete)
                finish(std::move(answer));
            else if (outcome == ExchangeEnd::NotConnected)
                finish(absl::UnavailableError("the server is unreachable"));
            else if (outcome == ExchangeEnd::Withheld)
                finish(absl::CancelledError("the request may not be sent any more"));
            else if (outcome == ExchangeEnd::Malformed)
                finish(absl::UnknownError("the bytes of the answer are not HTTP"));
            else
                finish(absl::UnknownError("the connection was lost before the answer was complete"));
        }

        void appendBody(std::string_view bytes)
        {
            if (answer.body.size() + bytes.size() <= maxBodyBytes) {
                answer.body += bytes;
                return;
            }
            if (const auto open = connection.lock())
                open->close();
            finish(absl::UnknownError("the answer's body is too large"));
        }

        void handleTimeout()
        {
            if (!done)
                return;
            const auto open = connection.lock();
            const bool wasSent = open && open->wasSent();
            if (open)
                open->close();
            finish(wasSent ? absl::UnknownError("timed out waiting for the answer") : absl::UnavailableError("timed out while connecting"));
        }

        ConnectionPool& pool;
        boost::asio::steady_timer timer;
        // Not owned: the connection's pending operations keep it alive, and its hooks own this call. Owning it would leak both
        // when the event loop is destroyed during the call.
        std::weak_ptr<ClientConnection> connection;
        std::string address;
        uint16_t port = 0;
        size_t maxBodyBytes = 0;
        CallAnswer answer;
        std::function<void(absl::StatusOr<CallAnswer>)> done;
    };

} // namespace

void callServer(boost::asio::io_context& context, ConnectionPool& pool, HttpCallOptions options, std::function<void(absl::StatusOr<CallAnswer>)> done)
{
    const auto call = std::make_shared<Call>(context, pool);
    call->address = options.address;
    call->port = options.port;
    call->maxBodyBytes = options.maxBodyBytes;
    call->done = std::move(done);
    const std::shared_ptr<ClientConnection> connection = pool.acquire(options.address, options.port, options.mayReuse);
    call->connection = connection;
    call->timer.expires_after(options.timeout);
    call->timer.async_wait([call](const boost::system::error_code& error) {
        if (!error)
            call->handleTimeout();
    });
    connection->exchange(std::move(options.request),
        {
            .maySend = std::move(options.maySend),
            .onHead = [call](const ResponseHead& head) {
                call->answer.status = head.status;
                call->answer.headers = head.headers; },
            .onBody = [call](std::string_view bytes) { call->appendBody(bytes); },
            .onEnd = [call](ExchangeEnd outcome) { call->handleEnd(outcome); },
        });
}

} // namespace hemlockweir
