#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

// Blocking HTTP/1.1 over loopback for the stand-ins of the review's cases, and the record of what they saw.

namespace review {

using Millis = std::chrono::milliseconds;

// Returns the texts one after the other.
std::string join(std::initializer_list<std::string_view> texts);

// A head, with the names of its headers in lower case.
struct Head {
    std::string startLine;
    std::map<std::string, std::string> headers;

    std::string header(const std::string& name) const;
};

// A connected socket. Closes it when destroyed.
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket() { close(); }

    static Socket connect(uint16_t port);

    bool isOpen() const { return descriptor_ >= 0; }
    void close();
    // Closes with a reset in place of an orderly end.
    void reset();
    void setReadTimeout(Millis timeout) const;

    bool send(const std::string& bytes) const;
    // Reads a head; nullopt if the connection ended before.
    std::optional<Head> readHead();
    // Reads that many bytes; fewer if the connection ended before.
    std::string read(size_t size);
    std::string readToEnd();
    // Reads what has come, at least one byte; empty if the connection has ended.
    std::string readSome();
    // Returns how the last read ended: "closed", "reset", "timeout", or empty if it did not end.
    const std::string& end() const { return end_; }

private:
    bool receive();

    int descriptor_;
    std::string unread_;
    std::string end_;
};

// Reads a chunked body. Returns whether it is whole.
bool readChunks(Socket& socket, std::string& body);

// What a client got for a request.
struct Answer {
    int status = 0; // 0: none
    Head head;
    std::string body;
    bool isComplete = false; // the body has its whole length
    std::string end; // of the connection, if it ended
};

// Sends one request on a new connection and reads its answer.
Answer call(uint16_t port, const std::string& head, const std::string& body, Millis timeout);

// Listens on a port, and runs the handler for each connection in a thread of its own. Never stops.
void serve(uint16_t port, const std::function<void(Socket&)>& onConnection);

// Returns a port that is free now.
uint16_t findFreePort();

// Writes what was sent, answered and run to a file, a line each.
class Record {
public:
    explicit Record(const std::string& path);
    void note(const std::string& line);

private:
    std::mutex mutex_;
    std::string path_;
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

// Writes one entry to the stand-in of the platform's store. ttl 0: it stays.
bool putEntry(uint16_t store, const std::string& key, const std::string& value, Millis ttl);

// The same for an entry that stays, tried again until the store has started. Returns false after ten seconds.
bool putFirstEntry(uint16_t store, const std::string& key, const std::string& value);

// Writes an entry again and again, as an engine does.
void keepEntry(uint16_t store, const std::string& key, const std::string& value);

// Waits until a node says that it is ready. Returns false after the time.
bool waitUntilReady(uint16_t port, Millis time);

} // namespace review
