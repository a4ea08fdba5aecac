#pragma once

#include "http/ClientConnection.h"
#include "http/RequestScanner.h"

#include <boost/beast/http/string_body.hpp>

// One connection of a caller: reads requests strictly, one at a time, and writes their answers. Runs
// on the thread of its event loop. What could smuggle a second request is refused; the connection
// then ends after the refusal.

namespace hemlockweir {

// One request, read whole.
struct ServerRequest {
    std::string method;
    std::string target; // path and query, as sent
    std::vector<HeaderLine> headers;
    std::string body;
    Millis startedAt { 0 }; // when its first byte was read

    std::string_view header(std::string_view name) const { return findHeader(headers, name).value_or(std::string_view()); }
};

// Limits of one connection; the owner may replace them while it runs.
struct ServerLimits {
    RequestLimits request;
    Millis headTimeout { 3000 }; // ms, from the first byte of a head to its last
    Millis bodyTimeout { 30000 }; // ms, from the first byte of a request to its last
    Millis idleTimeout { 15000 }; // ms, between two requests

    bool operator==(const ServerLimits&) const;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    struct Options {
        std::shared_ptr<const ServerLimits> limits;
        Clock clock;
        // Called with each request; it is answered by startAnswer(), or by answer().
        std::function<void(const std::shared_ptr<ServerConnection>&, ServerRequest)> onRequest;
        // Called once when the connection is gone.
        std::function<void(const std::shared_ptr<ServerConnection>&)> onClosed;
        // Called when a request breaks the protocol or a limit.
        std::function<void(int status, std::string_view reason)> onRefused;
    };

    ServerConnection(SocketWriter::Socket socket, Options options);

    // Begins to read.
    void start();

    // Sends a whole answer.
    void answer(int status, const std::vector<HeaderLine>& headers, std::string_view body);

    // Sends an answer in parts: the head, any number of body parts, the end. Without a length the
    // body goes out in chunks.
    void startAnswer(int status, const std::vector<HeaderLine>& headers, std::optional<uint64_t> bodyLength);
    void sendBody(std::string_view bytes);
    void finishAnswer();

    // Closes in the middle of what is going on; an answer that has begun never looks whole.
    void abort();

    // Called by the owner at regular times: ends what takes too long.
    void checkTimeouts();

    // Lets the next answer be the last: it tells the caller to close.
    void closeAfterAnswer() { closesWhenIdle_ = true; }

    // Closes once the answer at work has been sent, at once when none is.
    void closeWhenIdle();

    void setLimits(std::shared_ptr<const ServerLimits> limits) { options_.limits = std::move(limits); }

    // Called when the caller closes while its request is at work.
    std::function<void()> onCallerDisconnected;

    bool isOpen() const { return !isClosed_; }
    size_t unsentBytes() const { return writer_.unsentBytes(); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class State : uint8_t {
        ReadingHead,
        ReadingBody,
        Answering,
        Lingering, // the last answer is out; what still arrives is thrown away
    };

    void waitForBytes();
    void readBytes();
    void readRequest();
    bool readHead();
    bool readBody();
    void deliver();
    void refuse(int status, std::string_view reason);
    void linger();
    void closeSocket();

    Options options_;
    SocketWriter::Socket socket_;
    SocketWriter writer_;
    std::string unread_;
    std::optional<Parser> parser_;
    Millis startedAt_ { 0 }; // of the request being read, or of the idle time
    State state_ = State::ReadingHead;
    bool keepsAlive_ = true;
    bool isHttp10_ = false;
    bool isHeadRequest_ = false;
    bool isChunked_ = false;
    bool closesWhenIdle_ = false;
    bool isCloseAnnounced_ = false; // the answer's head said that the connection ends with it
    bool isClosed_ = false;
    bool isReading_ = false;
};

// The standard reason phrase of a status code; "Unknown" for others.
std::string_view reasonPhrase(int status);

} // namespace hemlockweir
