#include "support/SoakFaults.h"

#include <csignal>

namespace hemlockweir {

// Faults at the same time, at most; more leave nothing that could be served.
static constexpr size_t mostActive = 5;

SoakFaults::SoakFaults(GatewayCluster& cluster, Random random)
    : cluster_(cluster)
    , random_(std::move(random))
{
}

Millis SoakFaults::anyTime(int least, int most)
{
    return Millis(least + static_cast<int>(random_() % static_cast<uint64_t>(most - least)));
}

void SoakFaults::add(const std::string& what, const std::string& kind, Millis time, std::function<void()> mend)
{
    troubles_.push_back({ .what = what, .kind = kind, .from = soakNow() });
    active_.push_back({ .trouble = troubles_.size() - 1, .endsAt = soakNow() + time.count(), .mend = std::move(mend) });
}

void SoakFaults::begin()
{
    if (active_.size() >= mostActive)
        return;
    using Break = void (SoakFaults::*)();
    static constexpr Break kinds[] { &SoakFaults::breakGateway, &SoakFaults::breakGateway, &SoakFaults::breakStore, &SoakFaults::breakStoreLink, &SoakFaults::breakFront, &SoakFaults::breakEngine, &SoakFaults::breakEngine, &SoakFaults::breakEndpointLink, &SoakFaults::spoilEndpoint, &SoakFaults::spoilEndpoint };
    (this->*kinds[random_() % std::size(kinds)])();
}

void SoakFaults::kill(const std::string& process, Millis downTime)
{
    if (isBroken(process))
        return;
    broken_.insert(process);
    cluster_.processes().kill(process);
    add(process, "kill", downTime, [this, process] {
        broken_.erase(process);
        cluster_.processes().restart(process);
    });
}

void SoakFaults::pause(const std::string& process, Millis time)
{
    if (isBroken(process))
        return;
    broken_.insert(process);
    cluster_.processes().pause(process);
    add(process, "pause", time, [this, process] {
        broken_.erase(process);
        cluster_.processes().resume(process);
    });
}

void SoakFaults::breakGateway()
{
    const std::string gateway = any(cluster_.gateways());
    if (isBroken(gateway) || !cluster_.processes().isRunning(gateway))
        return;
    switch (random_() % 4) {
    case 0:
        kill(gateway, anyTime(200, 1500));
        return;
    case 1:
        pause(gateway, anyTime(200, 3500));
        return;
    case 2:
        // Ends by itself; turn() starts it again.
        cluster_.processes().terminate(gateway);
        add(gateway, "terminate", anyTime(100, 500), [] {});
        return;
    default:
        ::kill(static_cast<pid_t>(cluster_.processes().pidOf(gateway)), SIGHUP);
    }
}

void SoakFaults::setProxyFault(const std::string& link, const std::string& kind, const std::string& what, Millis time)
{
    const QString name = QString::fromStdString(link + "." + kind);
    const bool isCount = kind == "silence" || kind == "black_hole";
    const bool isDelay = kind == "delay_ms";
    QJsonValue value = true;
    if (isCount)
        value = ++silences_;
    else if (isDelay)
        value = static_cast<int>(10 + random_() % 200);
    cluster_.processes().setFaults("proxy", { { name, value } });
    add(what, link + "." + kind, time, [this, name, isCount, isDelay] {
        if (isDelay)
            cluster_.processes().setFaults("proxy", { { name, 0 } });
        else if (!isCount)
            cluster_.processes().setFaults("proxy", { { name, false } });
    });
}

void SoakFaults::setStandInFault(const std::string& name, const QJsonObject& faults, const QJsonObject& mended, const std::string& what, Millis time)
{
    if (isBroken(name) || !cluster_.processes().isRunning(name))
        return;
    cluster_.processes().setFaults(name, faults);
    add(what, name + "." + faults.keys().front().toStdString(), time, [this, name, mended] {
        if (!isBroken(name) && cluster_.processes().isRunning(name))
            cluster_.processes().setFaults(name, mended);
    });
}

void SoakFaults::breakStore()
{
    const std::vector<std::string> kinds { "down", "busy", "silent", "delay_ms", "lose_answers", "late_writes", "forget" };
    const std::string kind = any(kinds);
    const QString name = QString::fromStdString(kind);
    QJsonValue value = true;
    if (kind == "delay_ms")
        value = static_cast<int>(50 + random_() % 400);
    else if (kind == "forget")
        value = ++silences_;
    else if (kind == "lose_answers" || kind == "late_writes")
        value = 3;
    const bool isBool = value.isBool();
    const QJsonObject mended = kind == "forget" ? QJsonObject {} : QJsonObject { { name, isBool ? QJsonValue(false) : QJsonValue(0) } };
    setStandInFault("store", { { name, value } }, mended, "store", anyTime(200, 4000));
}

void SoakFaults::cutStoreLink(const std::string& gateway)
{
    setProxyFault("store-" + gateway, "cut", gateway, Millis(60000));
}

void SoakFaults::breakStoreLink()
{
    const std::string gateway = any(cluster_.gateways());
    setProxyFault("store-" + gateway, any({ "cut", "freeze", "silence", "black_hole", "drop_answers", "delay_ms" }), gateway, anyTime(200, 5000));
}

void SoakFaults::breakFront()
{
    const std::string gateway = any(cluster_.gateways());
    setProxyFault("front-" + gateway, any({ "cut", "silence", "black_hole", "drop_answers", "delay_ms" }), gateway, anyTime(50, 1500));
}

void SoakFaults::breakEngine()
{
    const std::string engine = any(cluster_.engines());
    switch (random_() % 6) {
    case 0:
        for (const std::string& other : cluster_.fabricOf(engine))
            kill(other, anyTime(800, 2500));
        return;
    case 1:
        for (const std::string& other : cluster_.fabricOf(engine))
            pause(other, anyTime(500, 2500));
        return;
    case 2:
        pause(engine, anyTime(200, 3000));
        return;
    case 3:
        if (!isBroken(engine) && cluster_.processes().isRunning(engine)) {
            cluster_.processes().setFaults(engine, { { "leave", true } });
            add(engine, "leave", Millis(4500), [] {});
        }
        return;
    default:
        kill(engine, anyTime(300, 2500));
    }
}

void SoakFaults::breakEndpointLink()
{
    const std::string endpoint = any(cluster_.endpoints());
    setProxyFault("to-" + endpoint, any({ "cut", "freeze", "silence", "black_hole", "drop_answers", "delay_ms" }), endpoint, anyTime(200, 3000));
}

void SoakFaults::spoilEndpoint()
{
    const std::string endpoint = any(cluster_.endpoints());
    const std::string kind = any({ "lose_answers", "garble", "reject", "hang", "slow", "late_orders", "unlisted" });
    const QString name = QString::fromStdString(kind);
    const QJsonValue value = kind == "unlisted" ? QJsonValue(true) : QJsonValue(static_cast<int>(1 + random_() % 4));
    const QJsonValue mended = kind == "unlisted" ? QJsonValue(false) : QJsonValue(0);
    setStandInFault(endpoint, { { name, value } }, { { name, mended } }, endpoint, anyTime(300, 3000));
}

void SoakFaults::turn()
{
    const qint64 now = soakNow();
    for (size_t i = 0; i < active_.size();) {
        if (active_[i].endsAt > now) {
            ++i;
            continue;
        }
        const Active over = active_[i];
        active_.erase(active_.begin() + static_cast<ptrdiff_t>(i));
        over.mend();
        troubles_[over.trouble].until = soakNow();
    }
    // What ended by itself, after a planned stop or on a request, starts again.
    std::vector<std::string> names = cluster_.endpoints();
    names.insert(names.end(), cluster_.gateways().begin(), cluster_.gateways().end());
    for (const std::string& name : names) {
        if (isBroken(name) || cluster_.processes().isRunning(name))
            continue;
        troubles_.push_back({ .what = name, .kind = "restart", .from = now });
        cluster_.processes().restart(name);
        troubles_.back().until = soakNow();
    }
}

void SoakFaults::mendAll()
{
    for (Active& active : active_)
        active.endsAt = 0;
    turn();
}

bool wasTroubled(const std::vector<SoakTrouble>& troubles, const std::string& gateway, qint64 from, qint64 until)
{
    return std::any_of(troubles.begin(), troubles.end(), [&](const SoakTrouble& trouble) {
        const bool concerns = trouble.what == gateway || trouble.what == "store";
        return concerns && trouble.from <= until && (trouble.until == 0 || trouble.until >= from);
    });
}

} // namespace hemlockweir
