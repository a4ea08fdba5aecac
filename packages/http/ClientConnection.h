#pragma once

#include "base/Clock.h"
#include "http/MemoryBudget.h"
#include "http/SocketWriter.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <vector>

// A client connection to an HTTP/1.1 server. It runs one exchange (request and answer) at a time, on the thread
// of its event loop. It never retries, follows redirects or queues requests. Boost.Beast parses the answers.
// Boost.Asio does the I/O because it distinguishes a reset from an orderly close (QTcpSocket reports both as a
// close). An answer without a length is complete only after an orderly close.

namespace hemlockweir {

// One header line.
struct HeaderLine {
    std::string name;
    std::string value;

    auto operator<=>(const HeaderLine&) const = default;
};

// Compares two header names case-insensitively.
bool isSameHeaderName(std::string_view one, std::string_view other);

// Returns the value of the first header with this name, or nullopt when there is none.
std::optional<std::string_view> findHeader(const std::vector<HeaderLine>& headers, std::string_view name);

// Status line and headers of an answer.
struct ResponseHead {
    int status = 0;
    std::vector<HeaderLine> headers;
    std::optional<uint64_t> bodyLength; // bytes; nullopt: chunked, or delimited by the close
};

// How an exchange ended.
enum class ExchangeEnd {
    Complete, // the whole answer was received
    NotConnected, // connection refused or host unreachable; no byte was sent
    Withheld, // Hooks::maySend forbade it; no byte was sent
    Broken, // closed or reset before the answer was complete; the server may have executed the request
    Malformed, // not a valid HTTP answer, or with a status that HTTP does not have; the server may have executed the request
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    struct Options {
        std::string address; // IP address
        uint16_t port = 0;
        Clock clock;
        size_t headBytes = 64 * 1024; // bytes, limit of an answer's head, of one chunk's header and of the trailer
        int interimAnswers = 8; // limit of interim (1xx) answers before the final one
        std::shared_ptr<MemoryBudget> memory; // counts the bytes that the connection holds; may be null
    };

    // Callbacks of an exchange. None is called after close().
    struct Hooks {
        // Returns whether the request may still be sent, now that there is a connection: a permission may have expired
        // meanwhile, above all if this process was paused. May be empty.
        std::function<bool()> maySend;
        std::function<void(const ResponseHead&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void(ExchangeEnd)> onEnd;
    };

    ClientConnection(boost::asio::io_context& context, Options options);

    // Sends one serialized request, head and body, and reads its answer. Connects first if needed. The
    // connection must not be busy or closed.
    void exchange(std::string request, Hooks hooks);

    // Closes immediately. A running exchange ends without a callback.
    void close();

    // Returns whether another exchange may follow on this connection.
    bool isReusable() const { return isConnected_ && !isExchanging_ && keepsAlive_; }

    // Returns the bytes of the request that the server's host has not taken yet.
    size_t untakenBytes() const;

    // Returns whether the request of the current or last exchange was written, at least in part.
    bool wasSent() const { return wasSent_; }

    // Returns whether this is the first exchange of the connection.
    bool isFirstExchange() const { return exchanges_ <= 1; }

    // Time at which the last exchange ended.
    Millis idleSince() const { return idleSince_; }

    // Time after idleSince() for which the connection may be reused.
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
    void noteHeldBytes();

    Options options_;
    SocketWriter::Socket socket_;
    SocketWriter writer_;
    MemoryBudget::Holder held_;
    Hooks hooks_;
    std::string request_; // empty once sent
    std::string unread_; // received bytes not parsed yet, such as an incomplete head
    std::optional<Parser> parser_;
    Millis idleSince_ { 0 };
    Millis keepAliveTimeout_;
    uint64_t exchanges_ = 0;
    int interimAnswers_ = 0; // of the current exchange
    bool isConnected_ = false;
    bool wasSent_ = false;
    bool isExchanging_ = false;
    bool isHeadRequest_ = false; // the answer of the current exchange has no body, whatever its head says
    bool hasHead_ = false;
    bool keepsAlive_ = true;
    bool isClosed_ = false;
};

} // namespace hemlockweir
