#include "support/CallerMemory.h"

#include "support/ProcessMemory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace hemlockweir {

void CallerMemory::noteRest(const std::string& name)
{
    name_ = name;
    pid_ = cluster_.pidOf(name);
    memoryAtRest_ = memoryOfProcess(pid_, "VmRSS");
    descriptorsAtRest_ = descriptorsOfProcess(pid_);
    ASSERT_GT(memoryAtRest_, 0);
}

void CallerMemory::sendFromAll(size_t callers, const std::string& endpoint, const QByteArray& bytes, bool readsAnswers)
{
    sendFromEach(endpoint, std::vector<QByteArray>(callers, bytes), readsAnswers);
}

void CallerMemory::sendFromEach(const std::string& endpoint, const std::vector<QByteArray>& bytes, bool readsAnswers)
{
    const size_t before = callers_.size();
    for (size_t i = 0; i < bytes.size(); ++i) {
        callers_.push_back(std::make_unique<RawClient>(endpoint));
        if (isTls_)
            callers_.back()->startTls();
    }
    for (size_t i = before; i < callers_.size(); ++i) {
        if (!readsAnswers)
            callers_[i]->stopReading();
        callers_[i]->send(bytes[i - before]);
    }
    const auto isAnswered = [](const auto& caller) { return caller->socket().bytesAvailable() > 0 || caller->socket().state() == QAbstractSocket::UnconnectedState; };
    ASSERT_TRUE(waitUntil([&] {
        samplePeak(endpoint);
        return haveSentAll() && (readsAnswers ? hasReadAll(endpoint) : std::all_of(callers_.begin(), callers_.end(), isAnswered));
    })) << "the process has stopped reading or answering";
}

void CallerMemory::sendByteByByte(size_t callers, const std::string& endpoint, const QByteArray& bytes)
{
    const size_t before = callers_.size();
    for (size_t i = 0; i < callers; ++i) {
        callers_.push_back(std::make_unique<RawClient>(endpoint));
        if (isTls_)
            callers_.back()->startTls();
        callers_.back()->socket().setSocketOption(QAbstractSocket::LowDelayOption, 1);
    }
    for (const char byte : bytes) {
        for (size_t i = before; i < callers_.size(); ++i)
            callers_[i]->send(QByteArray(1, byte));
        ASSERT_TRUE(waitUntil([&] { return haveSentAll() && hasReadAll(endpoint); })) << "the process has stopped reading";
    }
}

qint64 CallerMemory::sendRefusedBody(const std::string& endpoint, const QByteArray& head, qint64 bytes)
{
    namespace asio = boost::asio;
    constexpr int kernelBytes = 64 * 1024; // of this side, which count as sent
    const auto colon = endpoint.rfind(':');
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(endpoint.substr(0, colon)), static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1))) });
    socket.set_option(asio::socket_base::send_buffer_size(kernelBytes));
    asio::write(socket, asio::buffer(head.constData(), static_cast<size_t>(head.size())));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413 ")) << answer;
    const QByteArray body(mebibyte, 'x');
    boost::system::error_code error;
    qint64 sent = 0;
    while (sent < bytes && !error)
        sent += static_cast<qint64>(socket.write_some(asio::buffer(body.constData(), static_cast<size_t>(body.size())), error));
    return sent;
}

bool CallerMemory::haveSentAll()
{
    return std::all_of(callers_.begin(), callers_.end(), [](const auto& caller) {
        caller->received();
        return caller->unsentBytes() == 0 || caller->socket().state() == QAbstractSocket::UnconnectedState;
    });
}

void CallerMemory::samplePeak(const std::string& endpoint)
{
    sampledPeak_ = std::max(sampledPeak_, memoryOfProcess(pid_, "VmRSS") + unreadBytesAt(endpoint));
}

void CallerMemory::expectBounds()
{
    ASSERT_TRUE(cluster_.isRunning(name_));
    EXPECT_LT(memoryOfProcess(pid_, "VmHWM") - memoryAtRest_, memoryBound + sanitizerAllowance);
    EXPECT_LT(memoryOfProcess(pid_, "VmRSS") - memoryAtRest_, memoryBound + sanitizerAllowance);
    EXPECT_LT(sampledPeak_ - memoryAtRest_, memoryBound + sanitizerAllowance) << "with the received bytes that the process has not read";
    const auto callers = static_cast<qint64>(callers_.size());
    EXPECT_LT(descriptorsOfProcess(pid_), descriptorsAtRest_ + std::min(callers, connectionBound) + otherDescriptors);
}

// Returns a configuration with one route besides that of its version.
static QByteArray makeConfiguration(int version, int headerTimeoutMs, int idleTimeoutMs)
{
    return QString(R"({"version":%1,"routes":[{"name":"look","host":"soak.test","prefix":"/","service":"desk","kind":"safe","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":1},
            {"name":"version","host":"v%1.test","prefix":"/","service":"desk","kind":"safe","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":1}],
            "services":[{"name":"desk","max_connections":200}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":%2,"idle_timeout_ms":%3}})")
        .arg(version)
        .arg(headerTimeoutMs)
        .arg(idleTimeoutMs)
        .toUtf8();
}

GatewayCallerMemory::GatewayCallerMemory()
{
    cluster_.disableAsanQuarantine();
    cluster_.startProgram("store", "standin-kvstore", { "--listen", QString::fromStdString(cluster_.addressOf("store")) }, cluster_.urlOf("store") + "/effects");
    const QString desk = QString::fromStdString(cluster_.addressOf("desk"));
    cluster_.startProgram("desk", "standin-member", { "--listen", desk, "--id", "desk", "--zone", "a", "--service", "desk", "--store", QString::fromStdString(cluster_.addressOf("store")), "--advertised", desk, "--plain" }, cluster_.urlOf("desk") + "/effects");
    cluster_.startProgram("g", "hemlockweir", { "--settings", cluster_.writeFile("g.toml", settings()) }, "http://" + cluster_.addressOf("control") + "/metrics");
    EXPECT_EQ(cluster_.call("PUT", cluster_.urlOf("store") + "/entry?key=op/config", makeConfiguration(2, 3000, 15000)).status, 200);
    EXPECT_TRUE(waitUntil([this] { return isOrdinaryRequestAnswered(); }));
    noteRest("g");
}

std::string GatewayCallerMemory::settings()
{
    return "[gateway]\nnode = \"g\"\nfailure_domain = \"a\"\ncallers = \"" + cluster_.addressOf("g") + "\"\nready = \"" + cluster_.addressOf("ready") + "\"\ncontrol = \"" + cluster_.addressOf("control") + "\"\npeers = \""
        + cluster_.addressOf("peers") + "\"\nfirst_start = true\n\n[gateway.platform]\nstore = \"" + cluster_.addressOf("store") + "\"\n\n[gateway.memory]\nmemory_mb = 32\nmax_open_files = 256\n";
}

void GatewayCallerMemory::setTimeouts(int headerMs, int idleMs)
{
    EXPECT_EQ(cluster_.call("PUT", cluster_.urlOf("store") + "/entry?key=op/config", makeConfiguration(3, headerMs, idleMs)).status, 200);
    EXPECT_TRUE(waitUntil([this] { return isAnswered("v3.test"); }));
}

void GatewayCallerMemory::disableTimeouts()
{
    constexpr int hourMs = 3600000;
    setTimeouts(hourMs, hourMs);
}

bool GatewayCallerMemory::isAnswered(const QByteArray& host)
{
    RawClient caller(cluster_.addressOf("g"));
    caller.send("GET /x HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
    return caller.waitForStatus() == 200;
}

void GatewayCallerMemory::expectBoundsAndService()
{
    expectBounds();
    EXPECT_TRUE(waitUntil([this] { return isOrdinaryRequestAnswered(); }));
    EXPECT_EQ(cluster_.call("GET", "http://" + cluster_.addressOf("ready") + "/readyz").status, 200);
    EXPECT_EQ(cluster_.call("GET", "http://" + cluster_.addressOf("control") + "/metrics").status, 200);
}

void NodeCallerMemory::start(const std::string& limits, const std::string& settings, const QString& tlsAuthority)
{
    cluster_.disableAsanQuarantine();
    cluster_.startStore();
    cluster_.startService("desk", "a", "orders");
    isTls_ = !tlsAuthority.isEmpty();
    cluster_.startNode({ .name = "n1", .domain = "a", .settings = settings + "[limits]\nbody_bytes = 1048576\ncaller_memory_bytes = 8388608\n" + limits, .tlsAuthority = tlsAuthority });
    EXPECT_EQ(cluster_.publish(makeServiceFile(2)), 0);
    EXPECT_TRUE(waitUntil([this] { return isOrdinaryRequestAnswered(); }));
    noteRest("n1");
}

bool NodeCallerMemory::isOrdinaryRequestAnswered()
{
    RawClient caller(cluster_.addressOf("n1"));
    if (isTls_)
        caller.startTls();
    caller.send("POST /orders HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer caller-key\r\nContent-Length: 2\r\n\r\n{}");
    return caller.waitForStatus() == 200;
}

void NodeCallerMemory::expectBoundsAndService()
{
    expectBounds();
    EXPECT_TRUE(waitUntil([this] { return isOrdinaryRequestAnswered(); }));
}

void NodeWithFewDescriptors::startServer(bool isTls, const std::string& limits)
{
    cluster_.limitDescriptors(maxDescriptors);
    if (!isTls) {
        start(limits);
        return;
    }
    const std::string endpoint = cluster_.addressOf("n1");
    authority_.issue("node", endpoint.substr(0, endpoint.find(':')));
    start(limits, "[tls]\ncertificate_file = \"" + authority_.certificateFile("node").toStdString() + "\"\nkey_file = \"" + authority_.keyFile("node").toStdString() + "\"\n\n", authority_.authorityFile());
}

std::ostream& operator<<(std::ostream& out, const GatewayAddress& address)
{
    return out << address.name;
}

std::vector<GatewayAddress> gatewayAddresses()
{
    return { { "g", "/x" }, { "ready", "/readyz" }, { "control", "/metrics" } };
}

} // namespace hemlockweir
