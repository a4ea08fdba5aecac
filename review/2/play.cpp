// Case 2: four orders to engines get no answer and are carried out late. The planner is stopped meanwhile.
// Usage: play FRONT STORE RECORD TROUBLE PID LINK=ENGINE=EFFECTS...
// FRONT is of the gateway that stays, PID is the process of the planner. Each LINK is the address at which gateways reach the
// engine at port ENGINE, which writes its EFFECTS to a file. Orders of the first two engines are late.

#include "../support/Http.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace review;

namespace {

constexpr Millis firstLateness { 4500 };
constexpr Millis secondLateness { 6000 };
constexpr Millis stopAfter { 5000 }; // after the first late order
constexpr Millis watchTime { 10000 }; // after the SIGTERM
constexpr int lateOrders = 2; // of each of the first two engines
constexpr size_t lateEngines = 2;

const std::string configuration = R"({"version": 7,
 "routes": [{"name": "draft", "host": "case.example", "prefix": "/draft/", "service": "engines", "kind": "streaming", "stream_resume": true,
   "gap_target_ms": 300, "timeout_ms": 6000, "target_latency_ms": 1000, "max_attempts": 2, "priority": 1, "session_affinity": true}],
 "services": [{"name": "engines", "health_path": "/health", "max_connections": 200, "engine": {"slots": 6, "loads_per_s": 20, "loads_at_once": 20, "keeps": 1,
   "models": [{"name": "small", "size": 2, "pace": 1, "load_s": 1.2, "warm_s": 0.25, "share": 1.0}]}}],
 "tenants": [{"name": "church", "api_keys": ["k1"]}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 10000}})";

struct Engine {
    uint16_t link = 0;
    uint16_t port = 0;
    std::string effects;
    std::atomic<int> joins { 0 };
    bool isLate = false;
};

std::atomic<int> allOrders { 0 };
std::atomic<int> heldOrders { 0 };

// Passes a request on to the engine, and its answer back as it comes.
void forward(Socket& socket, Engine& engine, Record& record)
{
    const std::optional<Head> head = socket.readHead();
    if (!head)
        return;
    const std::string body = socket.read(std::strtoul(head->header("content-length").c_str(), nullptr, 10));
    std::string text = head->startLine + "\r\n";
    for (const auto& [name, value] : head->headers) {
        if (name != "connection")
            text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("connection: close\r\n\r\n").append(body);
    const bool isOrder = head->startLine.starts_with("POST /order");
    const bool isJoin = isOrder && body.find("\"join\"") != std::string::npos;
    allOrders += isOrder ? 1 : 0;
    const int joinNumber = isJoin ? ++engine.joins : 0;
    if (engine.isLate && joinNumber >= 1 && joinNumber <= lateOrders) {
        ++heldOrders;
        record.note(join({ head->header("x-expect-instance"), " gives no answer to ", body }));
        std::this_thread::sleep_for(joinNumber == 1 ? firstLateness : secondLateness);
        record.note(join({ head->header("x-expect-instance"), " carries out late ", body }));
        Socket late = Socket::connect(engine.port);
        late.setReadTimeout(Millis(1000));
        late.send(text);
        late.readToEnd();
        return;
    }
    Socket to = Socket::connect(engine.port);
    if (!to.isOpen() || !to.send(text))
        return;
    to.setReadTimeout(Millis(8000));
    const std::optional<Head> answer = to.readHead();
    if (!answer)
        return;
    std::string answerText = answer->startLine + "\r\n";
    for (const auto& [name, value] : answer->headers) {
        if (name != "connection")
            answerText.append(name).append(": ").append(value).append("\r\n");
    }
    if (!socket.send(answerText + "connection: close\r\n\r\n"))
        return;
    if (answer->header("transfer-encoding") != "chunked") {
        socket.send(to.read(std::strtoul(answer->header("content-length").c_str(), nullptr, 10)));
        return;
    }
    const std::string lastChunk = "0\r\n\r\n";
    std::string end;
    for (std::string bytes = to.readSome(); !bytes.empty() && socket.send(bytes); bytes = to.readSome()) {
        end += bytes;
        end.erase(0, end.size() - std::min(lastChunk.size(), end.size()));
        if (end == lastChunk)
            return;
    }
}

std::string fieldOf(const std::string& line, const std::string& name)
{
    const std::string mark = "\"" + name + "\":";
    const size_t at = line.find(mark);
    if (at == std::string::npos)
        return {};
    const size_t start = at + mark.size() + (line[at + mark.size()] == '"' ? 1 : 0);
    return line.substr(start, line.find_first_of("\",}", start) - start);
}

// Returns how often the engine took a join of another group while it was the open head of its group.
int countJoinsWhileOpen(const std::string& file, Record& record)
{
    std::ifstream lines(file);
    std::string open;
    int count = 0;
    for (std::string line; std::getline(lines, line);) {
        const std::string what = fieldOf(line, "what");
        if (what == "run" || what == "faults")
            continue;
        record.note(join({ "engine ", file.substr(file.rfind('/') + 1), ": ", line }));
        if (what == "joined" && !open.empty() && fieldOf(line, "group") != open) {
            record.note("  <- TWO: it was the open head of " + open);
            ++count;
        }
        if (what == "open" || what == "closing")
            open = fieldOf(line, "group");
        else
            open.clear();
    }
    return count;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 8)
        return 2;
    const auto port = [&](int i) { return static_cast<uint16_t>(std::atoi(argv[i])); };
    Record record(argv[3]);
    const bool isTrouble = std::string(argv[4]) != "0";
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 6; i < argc; ++i) {
        const std::string text = argv[i];
        const size_t first = text.find('=');
        const size_t second = text.find('=', first + 1);
        engines.push_back(std::make_unique<Engine>());
        Engine& engine = *engines.back();
        engine.link = static_cast<uint16_t>(std::atoi(text.c_str()));
        engine.port = static_cast<uint16_t>(std::atoi(text.substr(first + 1).c_str()));
        engine.effects = text.substr(second + 1);
        engine.isLate = isTrouble && engines.size() <= lateEngines;
        serve(engine.link, [&engine, &record](Socket& socket) { forward(socket, engine, record); });
    }
    if (!putFirstEntry(port(2), "op/config", configuration))
        return 2;
    // The script starts the engines now; groups form.
    const auto end = std::chrono::steady_clock::now() + Millis(20000);
    while (engines.front()->joins == 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(Millis(5));
    if (engines.front()->joins == 0)
        return 2;
    std::this_thread::sleep_for(stopAfter);
    record.note(join({ "SIGTERM to the planner; orders until now: ", std::to_string(allOrders), ", of these late: ", std::to_string(heldOrders) }));
    ::kill(static_cast<pid_t>(std::atoi(argv[5])), SIGTERM);
    std::this_thread::sleep_for(watchTime / 2);
    record.note(join({ "orders until now: ", std::to_string(allOrders), ", of these late: ", std::to_string(heldOrders) }));
    std::this_thread::sleep_for(watchTime / 2);
    int served = 0;
    constexpr int requests = 20;
    for (int n = 1; n <= requests; ++n) {
        const std::string id = "c" + std::to_string(n);
        const Answer got = call(port(1), "POST /draft/quote HTTP/1.1\r\nHost: case.example\r\nX-Key: k1\r\nX-Deadline-Ms: 5000\r\nX-Model: small\r\nX-Token-Counts: 100,30\r\nX-Request-Id: " + id + "\r\n", "quote " + id, Millis(6000));
        served += got.status == 200 && got.isComplete ? 1 : 0;
        record.note(join({ "client: ", id, " got status ", std::to_string(got.status) }));
    }
    int joins = 0;
    for (const auto& engine : engines)
        joins += countJoinsWhileOpen(engine->effects, record);
    const std::string result = join({ "late orders ", std::to_string(heldOrders), ", joins of another group at an open head ", std::to_string(joins), ", served afterwards ", std::to_string(served), " of ", std::to_string(requests) });
    record.note(result);
    std::cout << result << '\n';
    if (served == 0)
        return 2;
    return joins > 0 ? 1 : 0;
}
