#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// An HTTP server and a caller for tests of the proxy, on the test's own event loop.

namespace hemlockweir {

// What an endpoint does after the bytes of its answer.
enum class Ending : uint8_t {
    Keep, // reads the next request
    Close, // closes in good order
    Reset, // resets the connection
    Hold, // says nothing more
};

struct ScriptedAnswer {
    std::string bytes;
    Ending ending = Ending::Keep;
};

class ScriptedEndpoint {
public:
    // Gives the answer to the n-th request of this endpoint, from 1.
    using Script = std::function<ScriptedAnswer(int)>;

    explicit ScriptedEndpoint(boost::asio::io_context& context);

    void setScript(Script script) { script_ = std::move(script); }
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Every request as it was read, head and body.
    const std::vector<std::string>& requests() const { return requests_; }

    // Connections that the other side closed while an answer was held.
    int closedByPeer() const { return closedByPeer_; }

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection>& connection);
    void answer(const std::shared_ptr<Connection>& connection, const std::string& request);

    boost::asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::vector<std::string> requests_;
    int closedByPeer_ = 0;
};

// Runs the event loop until the condition holds; the test fails after ten seconds.
void runUntil(boost::asio::io_context& context, const std::function<bool()>& condition);

// A caller on a connection of its own.
class ScriptedCaller {
public:
    ScriptedCaller(boost::asio::io_context& context, uint16_t port);
    ~ScriptedCaller();

    void send(const std::string& bytes);

    // Reads until the text has come.
    void readUntil(const std::string& text);

    // Sends a request and reads until its answer is whole or the connection ends.
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
