#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// A scripted HTTP server and a client for tests, on the test's own event loop.

namespace hemlockweir {

// What an endpoint does after it sent the bytes of its response.
enum class Ending : uint8_t {
    Keep, // reads the next request
    Close, // closes its side of the connection
    Reset, // resets the connection
    Hold, // keeps the connection open without sending more
    Flood, // sends ScriptedResponse::flood again and again until the peer closes the connection
    Drip, // the same, a byte every 20 ms
};

struct ScriptedResponse {
    std::string bytes;
    Ending ending = Ending::Keep;
    std::string flood; // for Flood and Drip
};

class ScriptedEndpoint {
public:
    // Returns the response to the n-th request of this endpoint, counted from 1.
    using Script = std::function<ScriptedResponse(int)>;

    explicit ScriptedEndpoint(boost::asio::io_context& context);

    void setScript(Script script) { script_ = std::move(script); }
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Returns the received requests with head and body.
    const std::vector<std::string>& requests() const { return requests_; }

    // Returns the number of connections that the peer closed after a response with Ending::Hold, Flood or Drip.
    int peerCloses() const { return peerCloses_; }

    // Returns the bytes that were sent by Flood and Drip.
    size_t floodedBytes() const { return floodedBytes_; }

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection>& connection);
    void answer(const std::shared_ptr<Connection>& connection, const std::string& request);
    void flood(const std::shared_ptr<Connection>& connection, const std::string& bytes);
    void drip(const std::shared_ptr<Connection>& connection, const std::string& bytes, size_t at);

    boost::asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::vector<std::string> requests_;
    int peerCloses_ = 0;
    size_t floodedBytes_ = 0;
};

// Runs the event loop until the condition is true; fails the test after ten seconds.
void runUntil(boost::asio::io_context& context, const std::function<bool()>& condition);

// An HTTP client with its own connection.
class ScriptedCaller {
public:
    ScriptedCaller(boost::asio::io_context& context, uint16_t port);
    ~ScriptedCaller();

    void send(const std::string& bytes);

    // Runs the event loop until the text was received.
    void readUntil(const std::string& text);

    // Sends a request and returns the received bytes once the response is complete or the connection is closed.
    std::string exchange(const std::string& bytes);

private:
    void read();
    bool isComplete() const;

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
    std::array<char, 4096> buffer_ {};
    bool isClosed_ = false;
};

} // namespace hemlockweir
