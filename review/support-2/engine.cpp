// Stand-in for a model engine whose groups have one member. It follows the users' pages: it registers itself in the stand-in of the
// store, takes orders, and streams events to requests while its group is open. One part of a prompt crashes it when it begins to
// write an answer on it: after the given number of events it closes all its channels and stops listening. It is back, as a new boot,
// some seconds later.
//
//   engine PORT ID ZONE STORE BAD_PART EVENTS_BEFORE_CRASH RECORD [MODEL CUT LATE]
//
// RECORD gets one line for each request that arrives, each crash, each start and each join; a join that is taken while the engine heads an open
// group is marked. MODEL: the model that its host holds a copy of from before. CUT 1: the engine does not reach the store from 1.6 s to 11.6 s
// after its start. LATE 1: the first write of its entry gets no answer, and the store carries it out 5.9 s later.

#include <arpa/inet.h>
#include <chrono>
#include <cstring>
#include <fstream>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

constexpr int heartbeatMs = 400;
constexpr int entryTtlMs = 3 * heartbeatMs;
constexpr int joinMs = 100;
constexpr int openMs = 100;
constexpr int downMs = 2500;
constexpr int eventMs = 25;
constexpr int eventsPerAnswer = 20;
constexpr size_t readBytes = 65536;

struct Options {
    uint16_t port = 0;
    std::string id;
    std::string zone;
    std::string store;
    std::string badPart;
    int eventsBeforeCrash = 0;
    std::string record;
    std::string model;
    bool isCut = false;
    bool isOneLate = false;
};

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

sockaddr_in makeAddress(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
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

std::string headerOf(const std::string& head, const std::string& name)
{
    const size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

std::string fieldOf(const std::string& json, const std::string& name)
{
    const size_t at = json.find("\"" + name + "\":");
    if (at == std::string::npos)
        return {};
    const size_t from = at + name.size() + 3;
    if (json[from] != '"')
        return json.substr(from, json.find_first_of(",}", from) - from);
    return json.substr(from + 1, json.find('"', from + 1) - from - 1);
}

std::string formatEvent(int id)
{
    const std::string number = std::to_string(id);
    return "id: " + number + "\ndata: piece " + number + "\n\n";
}

class Engine {
public:
    explicit Engine(Options options)
        : options_(std::move(options))
        , record_(options_.record, std::ios::app)
        , staged_(options_.model)
    {
    }

    [[noreturn]] void run()
    {
        std::thread([this] { heartbeat(); }).detach();
        while (true) {
            start();
            acceptAll();
            sleepMs(downMs);
        }
    }

private:
    void note(const std::string& what)
    {
        const std::lock_guard lock(recordMutex_);
        record_ << nowMs() << ' ' << options_.id << ' ' << what << std::endl;
    }

    void start()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int one = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const sockaddr_in address = makeAddress("127.0.0.1", options_.port);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 || ::listen(listener_, 256) != 0) {
            std::cerr << "can't listen\n";
            std::exit(2);
        }
        const std::lock_guard lock(mutex_);
        isDown_ = false;
        bornMs_ = nowMs();
        sequence_ = 0;
        group_.clear();
        model_.clear();
        note("started");
    }

    void acceptAll()
    {
        while (true) {
            const int descriptor = ::accept(listener_, nullptr, nullptr);
            if (descriptor < 0)
                break;
            const int one = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            const std::lock_guard lock(mutex_);
            if (isDown_) {
                ::close(descriptor);
                break;
            }
            connections_.insert(descriptor);
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
        ::close(listener_);
    }

    // Ends this boot: nobody listens, and all channels are reset.
    void crash()
    {
        const std::lock_guard lock(mutex_);
        if (isDown_)
            return;
        isDown_ = true;
        note("crashed");
        ::shutdown(listener_, SHUT_RDWR);
        for (const int descriptor : connections_)
            ::shutdown(descriptor, SHUT_RDWR);
    }

    void serve(int descriptor)
    {
        std::string unread;
        while (serveOne(descriptor, unread)) { }
        const std::lock_guard lock(mutex_);
        connections_.erase(descriptor);
        ::close(descriptor);
    }

    bool serveOne(int descriptor, std::string& unread)
    {
        std::vector<char> buffer(readBytes);
        size_t end = std::string::npos;
        size_t total = 0;
        while (true) {
            end = unread.find("\r\n\r\n");
            if (end != std::string::npos) {
                const std::string length = headerOf(unread.substr(0, end + 2), "Content-Length");
                total = end + 4 + (length.empty() ? 0 : std::stoul(length));
                if (unread.size() >= total)
                    break;
            }
            const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return false;
            unread.append(buffer.data(), static_cast<size_t>(count));
        }
        const std::string head = unread.substr(0, end + 2);
        const std::string body = unread.substr(end + 4, total - end - 4);
        unread.erase(0, total);
        if (head.starts_with("GET /report "))
            return answer(descriptor, "200 OK", "", describe());
        if (head.starts_with("POST /order "))
            return order(descriptor, head, body);
        return stream(descriptor, head);
    }

    bool answer(int descriptor, const std::string& status, const std::string& headers, const std::string& body)
    {
        return sendAll(descriptor, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    bool order(int descriptor, const std::string& head, const std::string& body)
    {
        if (headerOf(head, "X-Expect-Instance") != options_.id)
            return answer(descriptor, "421 Misdirected Request", "", "{}");
        const std::string operation = fieldOf(body, "operation");
        const std::string group = fieldOf(body, "group");
        const int64_t epoch = std::atoll(fieldOf(body, "epoch").c_str());
        const std::lock_guard lock(mutex_);
        const bool isOwn = group == group_ && epoch == epoch_;
        if (operation == "join") {
            if (epoch < epoch_)
                return answer(descriptor, "412 Precondition Failed", "", "{}");
            advance();
            note("joined " + group + " epoch " + std::to_string(epoch) + (!group_.empty() && group != group_ && state_ == "open" ? " while-it-heads-the-open " + group_ : ""));
            group_ = group;
            epoch_ = epoch;
            model_ = staged_ = fieldOf(body, "model");
            state_ = "joining";
            changesAtMs_ = nowMs() + joinMs;
        } else if (operation == "open" && isOwn && state_ == "ready") {
            state_ = "opening";
            changesAtMs_ = nowMs() + openMs;
        } else if (operation == "close" && isOwn && state_ == "open") {
            state_ = "ready";
        } else if (operation == "leave" && isOwn) {
            group_.clear();
        } else if (operation == "stage") {
            staged_ = fieldOf(body, "model");
        } else {
            return answer(descriptor, "409 Conflict", "", "{}");
        }
        ++sequence_;
        return answer(descriptor, "202 Accepted", "", "{}");
    }

    bool stream(int descriptor, const std::string& head)
    {
        const std::string request = headerOf(head, "X-Request-Id");
        const std::string echo = "X-Request-Id: " + request + "\r\n";
        bool isOpen = false;
        {
            const std::lock_guard lock(mutex_);
            advance();
            isOpen = !group_.empty() && state_ == "open";
        }
        if (headerOf(head, "X-Expect-Instance") != options_.id)
            return answer(descriptor, "421 Misdirected Request", echo, "{}");
        const bool isBad = headerOf(head, "X-Prompt-Prefix").find(options_.badPart + ":") != std::string::npos;
        note("arrived " + request + (isBad ? " bad" : "") + (isOpen ? "" : " rejected"));
        if (!isOpen)
            return answer(descriptor, "503 Service Unavailable", echo + "X-Not-Executed: 1\r\n", "{}");
        const std::string last = headerOf(head, "Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        std::string bytes = "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Seal: seal-" + options_.id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        sleepMs(eventMs);
        for (int id = first; id <= eventsPerAnswer; ++id) {
            if (isBad && id - first >= options_.eventsBeforeCrash) {
                sleepMs(eventMs);
                crash();
                return false;
            }
            const std::string event = formatEvent(id);
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            bytes.append(size).append(event).append("\r\n");
            if (!sendAll(descriptor, bytes))
                return false;
            bytes.clear();
            sleepMs(eventMs);
        }
        return sendAll(descriptor, bytes + "0\r\n\r\n");
    }

    // Carries out what was ordered. Call with the state locked.
    void advance()
    {
        if (nowMs() < changesAtMs_)
            return;
        if (state_ == "joining")
            state_ = "ready";
        else if (state_ == "opening")
            state_ = "open";
    }

    std::string describe()
    {
        const std::lock_guard lock(mutex_);
        advance();
        const std::string models = model_.empty() || group_.empty() ? "" : R"({"name":")" + model_ + R"(","version":1,"adapters":[]})";
        const std::string group = group_.empty() ? "" : R"("group":{"name":")" + group_ + R"(","epoch":)" + std::to_string(epoch_) + R"(,"rank":0,"state":")" + (state_ == "opening" ? "ready" : state_) + R"("},)";
        return R"({"service":"engines","address":"127.0.0.1:)" + std::to_string(options_.port) + R"(","zone":")" + options_.zone + R"(","domain":"fabric-)" + options_.zone + R"(","version":1,"slots":17,"state":"ready","stage":"both","cold_remaining_ms":0,"busy":false,"queued":0,"running":0,"kv_used":0,"kv_total":1860000,"handles":0,"sequence":)"
            + std::to_string(sequence_) + R"(,"born":)" + std::to_string(bornMs_) + "," + group + R"("staged":[)" + (staged_.empty() ? "" : "\"" + staged_ + "\"") + R"(],"models":[)" + models + "]}";
    }

    // Writes the entry of the store at each heartbeat, and soon after each change.
    void heartbeat()
    {
        constexpr int stepMs = 20;
        constexpr int cutFromMs = 1600;
        constexpr int cutToMs = 11600;
        constexpr int lateMs = 5900;
        std::string written;
        std::string late;
        int64_t writtenAt = 0;
        const int64_t startedAt = nowMs();
        while (true) {
            sleepMs(stepMs);
            const int64_t age = nowMs() - startedAt;
            if (options_.isOneLate && !late.empty() && age >= lateMs) {
                options_.isOneLate = false;
                note("late write carried out: " + late);
                putEntry(late);
            }
            if (options_.isCut && age >= cutFromMs && age < cutToMs)
                continue;
            {
                const std::lock_guard lock(mutex_);
                if (isDown_)
                    continue;
            }
            const std::string entry = describe();
            if (entry == written && nowMs() - writtenAt < heartbeatMs)
                continue;
            written = entry;
            writtenAt = nowMs();
            if (options_.isOneLate && late.empty()) {
                late = entry;
                note("late write sent");
            } else {
                putEntry(entry);
            }
        }
    }

    void putEntry(const std::string& entry)
    {
        const size_t colon = options_.store.rfind(':');
        const sockaddr_in address = makeAddress(options_.store.substr(0, colon), static_cast<uint16_t>(std::stoi(options_.store.substr(colon + 1))));
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        timeval limit { .tv_sec = 1, .tv_usec = 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
            sendAll(descriptor, "PUT /entry?key=servers/" + options_.id + "&ttl_ms=" + std::to_string(entryTtlMs) + " HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(entry.size()) + "\r\n\r\n" + entry);
            char answered[512];
            while (::recv(descriptor, answered, sizeof(answered), 0) > 0) { }
        }
        ::close(descriptor);
    }

    Options options_;
    std::ofstream record_;
    std::mutex recordMutex_;
    std::mutex mutex_; // guards all below but the listener
    int listener_ = -1;
    std::set<int> connections_;
    std::string staged_;
    bool isDown_ = true;
    int64_t bornMs_ = 0;
    int64_t sequence_ = 0;
    int64_t epoch_ = 0;
    int64_t changesAtMs_ = 0;
    std::string group_;
    std::string state_;
    std::string model_;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8 && argc != 11) {
        std::cerr << "engine PORT ID ZONE STORE BAD_PART EVENTS_BEFORE_CRASH RECORD [MODEL CUT LATE]\n";
        return 2;
    }
    Engine({ .port = static_cast<uint16_t>(std::atoi(argv[1])), .id = argv[2], .zone = argv[3], .store = argv[4], .badPart = argv[5], .eventsBeforeCrash = std::atoi(argv[6]), .record = argv[7], .model = argc > 8 ? argv[8] : "", .isCut = argc > 8 && argv[9] == std::string("1"), .isOneLate = argc > 8 && argv[10] == std::string("1") }).run();
}
