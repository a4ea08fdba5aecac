#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

static sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string join(std::initializer_list<std::string_view> texts)
{
    std::string all;
    for (const std::string_view text : texts)
        all += text;
    return all;
}

std::string Head::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , unread_(std::move(other.unread_))
    , end_(std::move(other.end_))
{
}

Socket& Socket::operator=(Socket&& other) noexcept
{
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    unread_ = std::move(other.unread_);
    end_ = std::move(other.end_);
    return *this;
}

Socket Socket::connect(uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = loopback(port);
    if (::connect(socket.descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        socket.close();
    return socket;
}

void Socket::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

void Socket::reset()
{
    const linger abrupt { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
    close();
}

void Socket::setReadTimeout(Millis timeout) const
{
    const timeval time { .tv_sec = timeout.count() / 1000, .tv_usec = timeout.count() % 1000 * 1000 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Socket::send(const std::string& bytes) const
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<size_t>(size);
    }
    return true;
}

bool Socket::receive()
{
    std::array<char, 65536> buffer;
    const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (size > 0) {
        unread_.append(buffer.data(), static_cast<size_t>(size));
        return true;
    }
    if (size == 0)
        end_ = "closed";
    else
        end_ = errno == EAGAIN ? "timeout" : "reset";
    return false;
}

std::optional<Head> Socket::readHead()
{
    size_t end = unread_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive())
            return std::nullopt;
        end = unread_.find("\r\n\r\n");
    }
    std::istringstream lines(unread_.substr(0, end + 2));
    unread_.erase(0, end + 4);
    Head head;
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r'))
            line.pop_back();
        const size_t colon = line.find(": ");
        if (head.startLine.empty())
            head.startLine = line;
        else if (colon != std::string::npos)
            head.headers[lowerCase(line.substr(0, colon))] = line.substr(colon + 2);
    }
    return head;
}

std::string Socket::read(size_t size)
{
    while (unread_.size() < size) {
        if (!receive())
            break;
    }
    std::string bytes = unread_.substr(0, size);
    unread_.erase(0, bytes.size());
    return bytes;
}

std::string Socket::readToEnd()
{
    while (receive()) { }
    return std::exchange(unread_, {});
}

std::string Socket::readSome()
{
    if (unread_.empty())
        receive();
    return std::exchange(unread_, {});
}

bool readChunks(Socket& socket, std::string& body)
{
    while (true) {
        std::string line;
        while (!line.ends_with("\r\n")) {
            const std::string next = socket.read(1);
            if (next.empty())
                return false;
            line += next;
        }
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        const std::string chunk = socket.read(size + 2);
        body += chunk.substr(0, std::min(size, chunk.size()));
        if (chunk.size() < size + 2)
            return false;
        if (size == 0)
            return true;
    }
}

Answer call(uint16_t port, const std::string& head, const std::string& body, Millis timeout)
{
    Answer answer;
    Socket socket = Socket::connect(port);
    if (!socket.isOpen())
        return answer;
    socket.setReadTimeout(timeout);
    std::thread sender([&] { socket.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body); });
    const std::optional<Head> answerHead = socket.readHead();
    if (answerHead) {
        answer.head = *answerHead;
        answer.status = std::atoi(answer.head.startLine.substr(answer.head.startLine.find(' ') + 1).c_str());
        if (answer.head.header("transfer-encoding") == "chunked") {
            answer.isComplete = readChunks(socket, answer.body);
        } else if (const std::string length = answer.head.header("content-length"); !length.empty()) {
            answer.body = socket.read(std::strtoul(length.c_str(), nullptr, 10));
            answer.isComplete = std::to_string(answer.body.size()) == length;
        } else {
            answer.body = socket.readToEnd();
            answer.isComplete = socket.end() == "closed";
        }
    }
    answer.end = socket.end();
    sender.join();
    return answer;
}

void serve(uint16_t port, const std::function<void(Socket&)>& onConnection)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Segments and windows as on a network: those of the loopback interface let a whole upload fit into the buffers on its way.
    const int segmentBytes = 1460;
    ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
    const int windowBytes = 32768;
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof(windowBytes));
    const sockaddr_in address = loopback(port);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(listener, 512) != 0)
        std::_Exit(2);
    std::thread([listener, onConnection] {
        while (true) {
            const int descriptor = ::accept(listener, nullptr, nullptr);
            if (descriptor < 0)
                continue;
            std::thread([descriptor, onConnection] {
                Socket socket(descriptor);
                onConnection(socket);
            }).detach();
        }
    }).detach();
}

uint16_t findFreePort()
{
    // Below the range from which the system takes the ports of outgoing connections.
    constexpr uint32_t firstPort = 20000;
    constexpr uint32_t portCount = 10000;
    std::random_device random;
    while (true) {
        const auto port = static_cast<uint16_t>(firstPort + random() % portCount);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (isFree)
            return port;
    }
}

Record::Record(const std::string& path)
    : path_(path)
{
    std::ofstream(path_, std::ios::trunc);
}

void Record::note(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start_);
    std::ofstream(path_, std::ios::app) << now.count() << " ms  " << line << '\n';
}

bool putEntry(uint16_t store, const std::string& key, const std::string& value, Millis ttl)
{
    const std::string life = ttl.count() > 0 ? "&ttl_ms=" + std::to_string(ttl.count()) : "";
    return call(store, "PUT /entry?key=" + key + life + " HTTP/1.1\r\nHost: store\r\nConnection: close\r\n", value, Millis(2000)).status == 200;
}

bool putFirstEntry(uint16_t store, const std::string& key, const std::string& value)
{
    for (int i = 0; i < 100; ++i) {
        if (putEntry(store, key, value, Millis(0)))
            return true;
        std::this_thread::sleep_for(Millis(100));
    }
    return false;
}

void keepEntry(uint16_t store, const std::string& key, const std::string& value)
{
    constexpr Millis heartbeat { 1200 };
    std::thread([=] {
        while (true) {
            putEntry(store, key, value, 3 * heartbeat);
            std::this_thread::sleep_for(heartbeat);
        }
    }).detach();
}

bool waitUntilReady(uint16_t port, Millis time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        if (call(port, "GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n", "", Millis(1000)).status == 200)
            return true;
        std::this_thread::sleep_for(Millis(100));
    }
    return false;
}

} // namespace review
