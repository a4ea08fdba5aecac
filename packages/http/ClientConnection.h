#pragma once

#include "base/Clock.h"
#include "http/SocketWriter.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <vector>

// One connection to an HTTP/1.1 server that carries one exchange at a time, on the thread of its
// event loop. Nothing is repeated, redirected or queued. Boost.Beast reads the answers; Boost.Asio
// carries the bytes, because it tells a reset from an orderly close (QTcpSocket reports both as a
// close), which decides whether an answer without a length is whole.

namespace hemlockweir {

// One header line.
struct HeaderLine {
    std::string name;
    std::string value;

    auto operator<=>(const HeaderLine&) const = default;
};

// Whether two header names are the same; case does not count.
bool isSameHeaderName(std::string_view one, std::string_view other);

// The value of a header, or nullopt when it is absent.
std::optional<std::string_view> findHeader(const std::vector<HeaderLine>& headers, std::string_view name);

// The head of an answer.
struct ResponseHead {
    int status = 0;
    std::vector<HeaderLine> headers;
    std::optional<uint64_t> bodyLength; // bytes; absent: chunked, or until the close
};

// How an exchange ended.
enum class ExchangeEnd {
    Complete, // the whole answer arrived
    NotConnected, // refused or unreachable: no byte was sent
    Broken, // closed or reset before the answer was whole; what was sent may have run
    Malformed, // what arrived is not an answer; what was sent may have run
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    struct Options {
        std::string address; // IP number
        uint16_t port = 0;
        Clock clock;
        size_t headBytes = 64 * 1024; // bytes, of one answer's head
    };

    // What an exchange tells its owner; none is called after close().
    struct Hooks {
        std::function<void(const ResponseHead&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(ExchangeEnd)> onEnd;
    };

    ClientConnection(boost::asio::io_context& context, Options options);

    // Sends one request, head and body, and reads its answer. Connects first if need be.
    void exchange(std::string request, Hooks hooks);

    // Closes at once; an exchange at work ends without a call.
    void close();

    // Whether another exchange may follow on this connection.
    bool isReusable() const { return isConnected_ && !isExchanging_ && keepsAlive_; }

    // Whether it has ever been open: before that no byte left.
    bool wasConnected() const { return wasConnected_; }

    // Whether this is the first exchange of the connection.
    bool isFirstExchange() const { return exchanges_ <= 1; }

    // When the last exchange ended, and for outcome long the server keeps the connection after that.
    Millis idleSince() const { return idleSince_; }
    Millis keepAliveTimeout() const { return keepAliveTimeout_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void startParser();
    void connect();
    void sendRequest();
    void waitForBytes();
    void readBytes();
    bool parse(const char* data, size_t size, size_t& consumed);
    void deliverHead();
    void handleClose(bool isOrderly);
    void end(ExchangeEnd outcome);
    void readKeepAliveTimeout();
    void closeSocket();

    Options options_;
    SocketWriter::Socket socket_;
    SocketWriter writer_;
    Hooks hooks_;
    std::string request_; // until it is sent
    std::string unread_; // the part of a head that is not whole yet
    std::optional<Parser> parser_;
    Millis idleSince_ { 0 };
    Millis keepAliveTimeout_;
    uint64_t exchanges_ = 0;
    bool isConnected_ = false;
    bool wasConnected_ = false;
    bool isExchanging_ = false;
    bool hasHead_ = false;
    bool keepsAlive_ = true;
    bool isClosed_ = false;
};

} // namespace hemlockweir
