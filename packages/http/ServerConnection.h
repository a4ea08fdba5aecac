#pragma once

#include "http/ClientConnection.h"
#include "http/MemoryBudget.h"
#include "http/RequestScanner.h"

#include <boost/beast/http/string_body.hpp>

// A server-side HTTP/1.x connection. It reads one request at a time, passes it to a handler and writes the answer,
// on the thread of its event loop. Parsing is strict: input that could be used for request smuggling is refused
// with an error answer, after which the connection is closed.

namespace hemlockweir {

// One complete request.
struct ServerRequest {
    std::string method;
    std::string target; // path and query, as sent
    std::vector<HeaderLine> headers;
    std::string body;
    Millis startedAt { 0 }; // time at which its first byte was read
    uint64_t number = 1; // position among the requests of its connection

    // Returns the value of a header, or an empty text when it is absent.
    std::string_view header(std::string_view name) const { return findHeader(headers, name).value_or(std::string_view()); }
};

// Limits of one connection. They may be replaced while it is open.
struct ServerLimits {
    RequestLimits request;
    Millis headTimeout { 3000 }; // ms, from the first byte of a head to its last
    Millis bodyTimeout { 30000 }; // ms, from the first byte of a request to its last
    Millis idleTimeout { 15000 }; // ms, between two requests, and without a byte of an unfinished body
    size_t discardBytes = size_t { 256 } * 1024; // bytes that are still read after the last answer, so that its caller can read it

    bool operator==(const ServerLimits&) const;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    struct Options {
        std::shared_ptr<const ServerLimits> limits;
        Clock clock;
        // Called with each request. The handler answers with answer() or startAnswer(), now or later.
        std::function<void(const std::shared_ptr<ServerConnection>&, ServerRequest)> onRequest;
        // Called once when the connection has been closed.
        std::function<void(const std::shared_ptr<ServerConnection>&)> onClosed;
        // Called when a request violates the protocol or a limit. May be empty.
        std::function<void(int status, std::string_view reason)> onRefused;
        // Called when more input follows the last answer than is read. May be empty.
        std::function<void()> onInputCut;
        std::shared_ptr<MemoryBudget> memory; // counts the bytes that the connection holds; may be null
    };

    ServerConnection(SocketWriter::Socket socket, Options options);

    // Starts to read requests.
    void start();

    // Sends a complete answer.
    void answer(int status, const std::vector<HeaderLine>& headers, std::string_view body);

    // Send an answer in parts: the head, any number of body parts, the end. Without `bodyLength` the body is sent
    // with chunked transfer encoding; to an HTTP/1.0 caller it ends with the connection.
    void startAnswer(int status, const std::vector<HeaderLine>& headers, std::optional<uint64_t> bodyLength);
    void sendBody(std::string_view bytes);
    void finishAnswer();

    // Closes the connection immediately. The caller recognizes an answer that was started as incomplete.
    void abort();

    // Enforces the timeouts. The owner calls it periodically.
    void checkTimeouts();

    // Returns whether the connection may be closed to make room for others, and in which order: those of the lowest group
    // first, in a group those that have waited longest. None while a request is being answered.
    struct EvictionRank {
        int group = 0;
        Millis since { 0 };

        auto operator<=>(const EvictionRank&) const = default;
    };
    std::optional<EvictionRank> evictionRank() const;

    // Makes the next answer the last one: it says `Connection: close`.
    void closeAfterAnswer() { closesAfterAnswer_ = true; }

    // Closes the connection after the current answer, or immediately when it is idle and its last answer was sent.
    void closeWhenIdle();

    void setLimits(std::shared_ptr<const ServerLimits> limits) { options_.limits = std::move(limits); }

    // Called when the connection closes before the current request is answered.
    std::function<void()> onCallerDisconnected;

    bool isOpen() const { return !isClosed_; }

    // Returns whether a request is being read or answered, or part of an answer is still to be sent.
    bool isBusy() const { return !isClosed_ && (state_ == State::Answering || state_ == State::ReadingBody || !unread_.empty() || unsentBytes() > 0); }

    size_t unsentBytes() const { return writer_.unsentBytes(); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class State : uint8_t {
        ReadingHead,
        ReadingBody,
        Answering,
        Lingering, // the last answer was sent; further input is discarded
    };

    void waitForBytes();
    void readBytes();
    void continueReading();
    void readRequest();
    bool readHead();
    bool readBody();
    bool checkTrailers();
    void resumeReading();
    void deliver();
    void refuse(int status, std::string_view reason);
    void linger();
    bool discardInput(size_t bytes);
    void noteWriteProgress();
    void noteHeldBytes();
    size_t receivedBytes() const;
    void releaseMemory();
    void closeSocket();

    Options options_;
    SocketWriter::Socket socket_;
    SocketWriter writer_;
    std::string unread_;
    std::optional<MemoryBudget::Holder> held_; // set by start()
    std::vector<HeaderLine> headers_; // of the request that is being read; trailers are not added to them
    size_t headBytes_ = 0; // of the request that is being read
    size_t discardedBytes_ = 0; // received after the last answer
    size_t requestBytes_ = 0; // memory of the request that is being answered
    size_t notedBytes_ = 0; // bytes and use last told to the budget
    MemoryBudget::Use notedUse_ = MemoryBudget::Use::Needed;
    Millis receivedAt_ { 0 }; // when bytes last arrived
    Millis unsentSince_ { 0 }; // since when part of an answer waits for the caller
    std::optional<Parser> parser_;
    Millis startedAt_ { 0 }; // start of the current request, idle time or lingering
    uint64_t requestCount_ = 0;
    size_t unsentAtLastCheck_ = 0; // bytes
    State state_ = State::ReadingHead;
    bool keepsAlive_ = true;
    bool isHttp10_ = false;
    bool isHeadRequest_ = false;
    bool isChunked_ = false;
    bool closesAfterAnswer_ = false;
    bool isCloseAnnounced_ = false; // the answer's head said `Connection: close`
    bool isClosed_ = false;
    bool isReading_ = false;
};

// Returns the standard reason phrase of a status code, or a generic one for unknown codes.
std::string_view reasonPhrase(int status);

} // namespace hemlockweir
