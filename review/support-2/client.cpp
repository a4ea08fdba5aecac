// Clients of the review's scripts. They use only loopback addresses and stop by themselves.
//
//   client ports COUNT                      prints free ports
//   client call METHOD ADDRESS PATH [FILE]  one request, with the file as its body; prints the status and the body
//   client steady ADDRESS PATH RATE SECONDS TIMEOUT_MS
//                                           ordinary callers: each request on a new connection; prints one line for each
//   client heads ADDRESS COUNT LINES SECONDS
//                                           opens connections, sends the head of a request with many short lines on each,
//                                           and keeps them open without sending the announced body
//   client streams ADDRESS PATH SHARED PART RATE SECONDS
//                                           callers of one tenant: each request is a stream on a new connection; its prompt has the
//                                           parts SHARED, PART if there is one ("-": none), and a last part of its own; prints one
//                                           line for each

#include <arpa/inet.h>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using SteadyTime = std::chrono::steady_clock;

constexpr const char* host = "spares.example";
constexpr const char* key = "key-of-a-church";
constexpr size_t readBytes = 65536;

struct Address {
    std::string ip;
    uint16_t port = 0;
};

Address parseAddress(const std::string& text)
{
    const size_t colon = text.rfind(':');
    return { .ip = text.substr(0, colon), .port = static_cast<uint16_t>(std::stoi(text.substr(colon + 1))) };
}

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

sockaddr_in makeSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

// Returns a connected socket, or -1.
int openConnection(const Address& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in target = makeSocketAddress(address);
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

bool sendAll(int descriptor, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

// Reads until the peer closes, the announced length is there, or the time is over. Returns what was read.
std::string readAnswer(int descriptor, int timeoutMs)
{
    const auto until = SteadyTime::now() + std::chrono::milliseconds(timeoutMs);
    std::string answer;
    std::vector<char> buffer(readBytes);
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - SteadyTime::now()).count();
        pollfd waiting { .fd = descriptor, .events = POLLIN, .revents = 0 };
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return answer;
        const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return answer;
        answer.append(buffer.data(), static_cast<size_t>(count));
        const size_t headEnd = answer.find("\r\n\r\n");
        const size_t length = answer.find("Content-Length: ");
        if (headEnd != std::string::npos && length < headEnd && answer.size() >= headEnd + 4 + std::stoul(answer.substr(length + 16)))
            return answer;
    }
}

int statusOf(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 ") ? std::atoi(answer.c_str() + 9) : 0;
}

int printPorts(int count)
{
    std::vector<int> sockets;
    for (int i = 0; i < count; ++i) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = makeSocketAddress({ .ip = "127.0.0.1", .port = 0 });
        socklen_t size = sizeof(address);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) != 0 || ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            return 2;
        sockets.push_back(descriptor);
        std::cout << ntohs(address.sin_port) << '\n';
    }
    for (const int descriptor : sockets)
        ::close(descriptor);
    return 0;
}

int call(const std::string& method, const Address& address, const std::string& path, const std::string& file)
{
    std::ostringstream body;
    if (!file.empty())
        body << std::ifstream(file).rdbuf();
    const int descriptor = openConnection(address);
    if (descriptor < 0)
        return 1;
    sendAll(descriptor, method + " " + path + " HTTP/1.1\r\nHost: " + address.ip + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.str().size()) + "\r\n\r\n" + body.str());
    const std::string answer = readAnswer(descriptor, 5000);
    ::close(descriptor);
    std::cout << statusOf(answer) << ' ' << answer.substr(std::min(answer.size(), answer.find("\r\n\r\n"))) << '\n';
    return statusOf(answer) == 200 ? 0 : 1;
}

void runOrdinary(const Address& address, const std::string& path, int number, int timeoutMs)
{
    static std::mutex mutex;
    const int64_t sentAt = nowMs();
    const int descriptor = openConnection(address);
    std::string answer;
    if (descriptor >= 0) {
        sendAll(descriptor, "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: ordinary-" + std::to_string(number) + "\r\nX-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\nX-Key: " + key + "\r\n\r\n");
        answer = readAnswer(descriptor, timeoutMs + 500);
        ::close(descriptor);
    }
    const std::lock_guard lock(mutex);
    std::cout << "ordinary-" << number << " sent_at=" << sentAt << " status=" << statusOf(answer) << " took_ms=" << nowMs() - sentAt << std::endl;
}

int runSteady(const Address& address, const std::string& path, int perSecond, int seconds, int timeoutMs)
{
    std::vector<std::thread> requests;
    for (int i = 0; i < perSecond * seconds; ++i) {
        requests.emplace_back(runOrdinary, address, path, i, timeoutMs);
        std::this_thread::sleep_for(std::chrono::milliseconds(1000 / perSecond));
    }
    for (std::thread& request : requests)
        request.join();
    return 0;
}

int holdHeads(const Address& address, int count, int lines, int seconds)
{
    std::string head = "POST /desk/x HTTP/1.1\r\nHost: " + std::string(host) + "\r\nContent-Length: 10\r\n";
    for (int i = 0; i < lines; ++i)
        head += "a:\r\n";
    head += "\r\n";
    std::cout << "head_bytes=" << head.size() << " connections=" << count << " sent_at=" << nowMs() << std::endl;
    std::vector<int> connections;
    for (int i = 0; i < count; ++i) {
        connections.push_back(openConnection(address));
        sendAll(connections.back(), head);
    }
    std::cout << "all_sent_at=" << nowMs() << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    for (const int descriptor : connections)
        ::close(descriptor);
    return 0;
}

void runStream(const Address& address, const std::string& path, const std::string& shared, const std::string& part, int number)
{
    static std::mutex mutex;
    const bool isBad = part != "-";
    const std::string name = (isBad ? "bad-" : "sound-") + std::to_string(number);
    const int64_t sentAt = nowMs();
    const int descriptor = openConnection(address);
    std::string answer;
    if (descriptor >= 0) {
        std::string body = "prompt of " + name;
        sendAll(descriptor, "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + name + "\r\nX-Deadline-Ms: 6000\r\nX-Key: " + key + "\r\nX-Model: m0\r\nX-Token-Counts: 500,100\r\nX-Prompt-Prefix: " + shared + "," + (isBad ? part + ":200," : "") + "7e" + std::to_string(100000 + number) + (isBad ? "b" : "a") + ":260\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto until = SteadyTime::now() + std::chrono::milliseconds(7000);
        std::vector<char> buffer(readBytes);
        while (!answer.ends_with("\r\n0\r\n\r\n") && !answer.starts_with("HTTP/1.1 5") && SteadyTime::now() < until) {
            pollfd waiting { .fd = descriptor, .events = POLLIN, .revents = 0 };
            const ssize_t count = ::poll(&waiting, 1, 1000) > 0 ? ::recv(descriptor, buffer.data(), buffer.size(), 0) : -2;
            if (count == 0 || count == -1)
                break;
            if (count > 0)
                answer.append(buffer.data(), static_cast<size_t>(count));
        }
        ::close(descriptor);
    }
    const std::lock_guard lock(mutex);
    std::cout << name << " sent_at=" << sentAt << " status=" << statusOf(answer) << " complete=" << (answer.ends_with("\r\n0\r\n\r\n") ? "yes" : "no") << " took_ms=" << nowMs() - sentAt << std::endl;
}

int runStreams(const Address& address, const std::string& path, const std::string& shared, const std::string& part, double perSecond, double seconds)
{
    std::vector<std::thread> requests;
    for (int i = 0; i < static_cast<int>(perSecond * seconds); ++i) {
        requests.emplace_back(runStream, address, path, shared, part, i);
        std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(1000 / perSecond)));
    }
    for (std::thread& request : requests)
        request.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto number = [&words](size_t at) { return std::stoi(words.at(at)); };
    const std::string verb = words.empty() ? "" : words[0];
    if (verb == "ports" && words.size() == 2)
        return printPorts(number(1));
    if (verb == "call" && words.size() >= 4)
        return call(words[1], parseAddress(words[2]), words[3], words.size() > 4 ? words[4] : "");
    if (verb == "steady" && words.size() == 6)
        return runSteady(parseAddress(words[1]), words[2], number(3), number(4), number(5));
    if (verb == "heads" && words.size() == 5)
        return holdHeads(parseAddress(words[1]), number(2), number(3), number(4));
    if (verb == "streams" && words.size() == 7)
        return runStreams(parseAddress(words[1]), words[2], words[3], words[4], std::stod(words[5]), std::stod(words[6]));
    std::cerr << "see the head of client.cpp\n";
    return 2;
}
