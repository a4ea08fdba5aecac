#include "support/SoakLoad.h"

#include <QCryptographicHash>
#include <QDateTime>
#include <gtest/gtest.h>

namespace hemlockweir {

static constexpr int tokensPerEvent = 5;
static constexpr int maxEvents = 30;
static constexpr int maxPauseMs = 120; // of a caller between two requests, exclusive

qint64 soakNow()
{
    return QDateTime::currentMSecsSinceEpoch();
}

static std::string md5(const std::string& text)
{
    return QCryptographicHash::hash(QByteArray::fromStdString(text), QCryptographicHash::Md5).toHex().toStdString();
}

std::string SoakRequest::expectedBody() const
{
    if (events == 0)
        return md5(path + body);
    std::string whole;
    for (int i = 1; i <= events; ++i)
        whole += "id: " + std::to_string(i) + "\ndata: " + md5(body + std::to_string(i)).substr(0, 6) + "\n\n";
    return whole;
}

SoakLoad::SoakLoad(GatewayCluster& cluster, Random random, size_t callers)
    : cluster_(cluster)
    , random_(std::move(random))
{
    for (size_t i = 0; i < callers; ++i)
        callers_.push_back(std::make_unique<Caller>());
}

SoakRequest SoakLoad::makeRequest(const std::string& path, const std::string& gateway)
{
    SoakRequest request { .id = "r" + std::to_string(nextId_++), .gateway = gateway, .path = path, .key = random_() % 2 == 0 ? "key-1" : "key-2" };
    request.body = "body of " + request.id;
    const bool isStream = path.starts_with("/large/") || path.starts_with("/small/");
    if (isStream)
        request.events = 1 + static_cast<int>(random_() % maxEvents);
    return request;
}

SoakRequest SoakLoad::makeRequest()
{
    static const std::vector<std::string> paths { "/large/1", "/small/1", "/small/2", "/order/1", "/order/2", "/look/1" };
    const std::vector<std::string>& gateways = cluster_.gateways();
    const std::string& path = paths[random_() % paths.size()];
    return makeRequest(path, gateways[random_() % gateways.size()]);
}

static std::string formatRequest(const SoakRequest& request)
{
    std::string text = "POST " + request.path + " HTTP/1.1\r\nHost: soak.test\r\nX-Request-Id: " + request.id + "\r\nX-Key: " + request.key + "\r\nX-Deadline-Ms: " + std::to_string(soakDeadlineMs) + "\r\n";
    if (request.events > 0)
        text += "X-Model: " + request.path.substr(1, 5) + "\r\nX-Token-Counts: 100," + std::to_string(request.events * tokensPerEvent) + "\r\nX-Prompt-Prefix: " + request.sharedParts + ",f" + request.id + ":60\r\n";
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

void SoakLoad::send(Caller& caller, SoakRequest request)
{
    const bool canReuse = caller.connection && caller.connection->isReusable() && caller.gateway == request.gateway;
    if (!canReuse) {
        if (caller.connection)
            caller.connection->close();
        const QString front = QString::fromStdString(cluster_.frontOf(request.gateway));
        caller.connection = std::make_shared<ClientConnection>(context_, ClientConnection::Options { .address = front.section(':', 0, 0).toStdString(), .port = static_cast<uint16_t>(front.section(':', 1).toInt()), .clock = clock_ });
        caller.gateway = request.gateway;
    }
    caller.request = std::move(request);
    caller.request.sentAt = soakNow();
    caller.isBusy = true;
    caller.connection->exchange(formatRequest(caller.request),
        {
            .onHead = [&caller](const ResponseHead& head) { caller.request.status = head.status; },
            .onBody = [&caller](std::string_view bytes) { caller.request.received += bytes; },
            .onEnd =
                [this, &caller](ExchangeEnd how) {
                    caller.request.isComplete = how == ExchangeEnd::Complete;
                    finish(caller);
                },
        });
}

void SoakLoad::finish(Caller& caller)
{
    caller.isBusy = false;
    caller.request.endedAt = soakNow();
    caller.nextAt = caller.request.endedAt + static_cast<qint64>(random_() % maxPauseMs);
    ended_.push_back(caller.request);
}

void SoakLoad::updateCaller(Caller& caller, qint64 now)
{
    if (!caller.isBusy) {
        if (isPaused_ || now < caller.nextAt)
            return;
        SoakRequest request = makeRequest();
        // Callers usually reuse their connection.
        if (caller.connection && caller.connection->isReusable() && random_() % 4 != 0)
            request.gateway = caller.gateway;
        send(caller, std::move(request));
        return;
    }
    if (now - caller.request.sentAt < soakDeadlineMs + soakAnswerSlackMs)
        return;
    caller.connection->close();
    caller.request.hasTimedOut = true;
    finish(caller);
}

void SoakLoad::update()
{
    context_.restart();
    context_.poll();
    const qint64 now = soakNow();
    for (const auto& caller : callers_)
        updateCaller(*caller, now);
}

bool SoakLoad::runUntil(const std::function<bool()>& condition, Millis limit)
{
    return waitUntil([&] { update(); return condition(); }, limit);
}

void SoakLoad::runFor(Millis time)
{
    const qint64 end = soakNow() + time.count();
    runUntil([end] { return soakNow() >= end; }, time * 2);
}

bool SoakLoad::isIdle() const
{
    return std::none_of(callers_.begin(), callers_.end(), [](const auto& caller) { return caller->isBusy; });
}

SoakRequest SoakLoad::sendAndWait(SoakRequest request)
{
    const auto caller = std::make_shared<Caller>();
    send(*caller, std::move(request));
    runUntil([&] { return !caller->isBusy; }, Millis(soakDeadlineMs + soakAnswerSlackMs));
    if (caller->isBusy) {
        caller->request.hasTimedOut = true;
        caller->connection->close();
        finish(*caller);
    }
    caller->connection->close();
    return caller->request;
}

} // namespace hemlockweir
