#include "support/SoakFaults.h"

#include <csignal>

namespace hemlockweir {

// Request limits that endpoints name at random, in tenths of a request a second, and for how long.
static constexpr uint64_t minLimitTenths = 5;
static constexpr uint64_t maxLimitTenths = 80;
static constexpr int minLimitMs = 2000;
static constexpr int maxLimitMs = 6000;
// Maximum number of simultaneous faults. With more, no request could be served.
static constexpr size_t maxActive = 5;

SoakFaults::SoakFaults(GatewayCluster& cluster, Random random)
    : cluster_(cluster)
    , random_(std::move(random))
{
}

Millis SoakFaults::randomDuration(int minMs, int maxMs)
{
    return Millis(minMs + static_cast<int>(random_() % static_cast<uint64_t>(maxMs - minMs)));
}

void SoakFaults::add(const std::string& what, const std::string& kind, Millis time, std::function<void()> clear)
{
    intervals_.push_back({ .what = what, .kind = kind, .from = soakNow() });
    active_.push_back({ .interval = intervals_.size() - 1, .endsAt = soakNow() + time.count(), .clear = std::move(clear) });
}

void SoakFaults::injectRandom()
{
    if (active_.size() >= maxActive)
        return;
    using Break = void (SoakFaults::*)();
    static constexpr Break kinds[] { &SoakFaults::breakGateway, &SoakFaults::breakGateway, &SoakFaults::breakStore, &SoakFaults::restoreStore, &SoakFaults::breakStoreLink, &SoakFaults::breakFront, &SoakFaults::breakEngine, &SoakFaults::breakEngine, &SoakFaults::breakEndpointLink, &SoakFaults::injectEndpointFault, &SoakFaults::injectEndpointFault, &SoakFaults::limitEndpoint };
    (this->*kinds[random_() % std::size(kinds)])();
}

void SoakFaults::kill(const std::string& process, Millis downTime)
{
    if (isStopped(process))
        return;
    stopped_.insert(process);
    cluster_.processes().kill(process);
    add(process, "kill", downTime, [this, process] {
        stopped_.erase(process);
        cluster_.processes().restart(process);
    });
}

void SoakFaults::pause(const std::string& process, Millis time)
{
    if (isStopped(process))
        return;
    stopped_.insert(process);
    cluster_.processes().pause(process);
    add(process, "pause", time, [this, process] {
        stopped_.erase(process);
        cluster_.processes().resume(process);
    });
}

void SoakFaults::breakGateway()
{
    const std::string gateway = pickRandom(cluster_.gateways());
    if (isStopped(gateway) || !cluster_.processes().isRunning(gateway))
        return;
    switch (random_() % 4) {
    case 0:
        kill(gateway, randomDuration(200, 1500));
        return;
    case 1:
        pause(gateway, randomDuration(200, 3500));
        return;
    case 2:
        // The process exits by itself and update() restarts it.
        cluster_.processes().terminate(gateway);
        add(gateway, "terminate", randomDuration(100, 500), [] {});
        return;
    default:
        cluster_.processes().signal(gateway, SIGHUP);
    }
}

void SoakFaults::setProxyFault(const std::string& link, const std::string& kind, const std::string& what, Millis time)
{
    const QString name = QString::fromStdString(link + "." + kind);
    const bool isCounter = kind == "silence" || kind == "black_hole";
    const bool isDelay = kind == "delay_ms";
    QJsonValue value = true;
    if (isCounter)
        value = ++triggerCount_;
    else if (isDelay)
        value = static_cast<int>(10 + random_() % 200);
    cluster_.processes().setFaults("proxy", { { name, value } });
    add(what, link + "." + kind, time, [this, name, isCounter, isDelay] {
        if (isDelay)
            cluster_.processes().setFaults("proxy", { { name, 0 } });
        else if (!isCounter)
            cluster_.processes().setFaults("proxy", { { name, false } });
    });
}

void SoakFaults::setStandInFault(const std::string& name, const QJsonObject& faults, const QJsonObject& clearedFaults, const std::string& what, Millis time)
{
    if (isStopped(name) || !cluster_.processes().isRunning(name))
        return;
    cluster_.processes().setFaults(name, faults);
    add(what, name + "." + faults.keys().front().toStdString(), time, [this, name, clearedFaults] {
        if (!isStopped(name) && cluster_.processes().isRunning(name))
            cluster_.processes().setFaults(name, clearedFaults);
    });
}

void SoakFaults::breakStore()
{
    const std::vector<std::string> kinds { "down", "busy", "silent", "delay_ms", "lose_answers", "late_writes", "forget" };
    const std::string kind = pickRandom(kinds);
    const QString name = QString::fromStdString(kind);
    QJsonValue value = true;
    if (kind == "delay_ms")
        value = static_cast<int>(50 + random_() % 400);
    else if (kind == "forget")
        value = ++triggerCount_;
    else if (kind == "lose_answers" || kind == "late_writes")
        value = 3;
    const bool isBool = value.isBool();
    const QJsonObject clearedFaults = kind == "forget" ? QJsonObject {} : QJsonObject { { name, isBool ? QJsonValue(false) : QJsonValue(0) } };
    setStandInFault("store", { { name, value } }, clearedFaults, "store", randomDuration(200, 4000));
}

// The store works as usual until it is restored, so the fault begins then.
void SoakFaults::restoreStore()
{
    const size_t interval = intervals_.size();
    cluster_.processes().setFaults("store", { { "keep_copy", ++triggerCount_ } });
    add("store", "store.restore", randomDuration(200, 4000), [this, interval] {
        intervals_[interval].from = soakNow();
        cluster_.processes().setFaults("store", { { "restore", ++triggerCount_ } });
    });
}

void SoakFaults::cutStoreLink(const std::string& gateway)
{
    setProxyFault("store-" + gateway, "cut", gateway, Millis(60000));
}

void SoakFaults::breakStoreLink()
{
    const std::string gateway = pickRandom(cluster_.gateways());
    setProxyFault("store-" + gateway, pickRandom({ "cut", "freeze", "silence", "black_hole", "drop_answers", "delay_ms" }), gateway, randomDuration(200, 5000));
}

void SoakFaults::breakFront()
{
    const std::string gateway = pickRandom(cluster_.gateways());
    setProxyFault("front-" + gateway, pickRandom({ "cut", "silence", "black_hole", "drop_answers", "delay_ms" }), gateway, randomDuration(50, 1500));
}

void SoakFaults::breakEngine()
{
    const std::string engine = pickRandom(cluster_.engines());
    switch (random_() % 6) {
    case 0:
        for (const std::string& other : cluster_.fabricOf(engine))
            kill(other, randomDuration(800, 2500));
        return;
    case 1:
        for (const std::string& other : cluster_.fabricOf(engine))
            pause(other, randomDuration(500, 2500));
        return;
    case 2:
        pause(engine, randomDuration(200, 3000));
        return;
    case 3:
        if (!isStopped(engine) && cluster_.processes().isRunning(engine)) {
            cluster_.processes().setFaults(engine, { { "leave", true } });
            add(engine, "leave", Millis(4500), [] {});
        }
        return;
    default:
        kill(engine, randomDuration(300, 2500));
    }
}

void SoakFaults::breakEndpointLink()
{
    const std::string endpoint = pickRandom(cluster_.endpoints());
    setProxyFault("to-" + endpoint, pickRandom({ "cut", "freeze", "silence", "black_hole", "drop_answers", "delay_ms" }), endpoint, randomDuration(200, 3000));
}

void SoakFaults::injectEndpointFault()
{
    const std::string endpoint = pickRandom(cluster_.endpoints());
    const std::string kind = pickRandom({ "lose_answers", "garble", "reject", "hang", "slow", "late_orders", "unlisted" });
    const QString name = QString::fromStdString(kind);
    const QJsonValue value = kind == "unlisted" ? QJsonValue(true) : QJsonValue(static_cast<int>(1 + random_() % 4));
    const QJsonValue clearedFaults = kind == "unlisted" ? QJsonValue(false) : QJsonValue(0);
    setStandInFault(endpoint, { { name, value } }, { { name, clearedFaults } }, endpoint, randomDuration(300, 3000));
}

void SoakFaults::limitEndpoint()
{
    const std::string endpoint = pickRandom(cluster_.endpoints());
    const double limit = static_cast<double>(minLimitTenths + random_() % (maxLimitTenths - minLimitTenths + 1)) / 10;
    setStandInFault(endpoint, { { "limit", limit } }, { { "limit", 0 } }, endpoint, randomDuration(minLimitMs, maxLimitMs));
}

void SoakFaults::update()
{
    const qint64 now = soakNow();
    for (size_t i = 0; i < active_.size();) {
        if (active_[i].endsAt > now) {
            ++i;
            continue;
        }
        const Active ended = active_[i];
        active_.erase(active_.begin() + static_cast<ptrdiff_t>(i));
        ended.clear();
        intervals_[ended.interval].until = soakNow();
    }
    // Restart processes that have exited, after a graceful shutdown or because a request crashed them.
    std::vector<std::string> names = cluster_.endpoints();
    names.insert(names.end(), cluster_.gateways().begin(), cluster_.gateways().end());
    for (const std::string& name : names) {
        if (isStopped(name) || cluster_.processes().isRunning(name))
            continue;
        intervals_.push_back({ .what = name, .kind = "restart", .from = now });
        cluster_.processes().restart(name);
        intervals_.back().until = soakNow();
    }
}

void SoakFaults::clearAll()
{
    for (Active& active : active_)
        active.endsAt = 0;
    update();
}

bool hadFault(const std::vector<FaultInterval>& intervals, const std::string& gateway, qint64 from, qint64 until)
{
    return std::any_of(intervals.begin(), intervals.end(), [&](const FaultInterval& interval) {
        const bool isAffected = interval.what == gateway || interval.what == "store";
        return isAffected && interval.from <= until && (interval.until == 0 || interval.until >= from);
    });
}

} // namespace hemlockweir
