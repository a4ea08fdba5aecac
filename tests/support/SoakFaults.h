#pragma once

#include "support/SoakLoad.h"

// Faults of the soak, injected from outside: signals to processes, the proxy between them, and what the
// stand-ins of store and endpoints get wrong. They come in series and overlap; each ends by itself.

namespace hemlockweir {

// A stretch of time in which something was broken, in ms since the epoch.
struct FaultInterval {
    std::string what; // a process, or "store"
    std::string kind;
    qint64 from = 0;
    qint64 until = 0; // 0: not over
};

// Whether something that concerns a gateway was broken in a stretch of time: itself, its links, the store.
bool hadFault(const std::vector<FaultInterval>& intervals, const std::string& gateway, qint64 from, qint64 until);

class SoakFaults {
public:
    SoakFaults(GatewayCluster& cluster, Random random);

    // Begins one fault by chance.
    void begin();

    // Ends what is over, starts again what ended. Call often.
    void update();

    // Ends all of them; every process runs afterwards.
    void clearAll();

    // Breaks one thing until clearAll(); of use to a phase with one fault alone.
    void cutStoreLink(const std::string& gateway);
    void kill(const std::string& process, Millis downTime);

    const std::vector<FaultInterval>& intervals() const { return intervals_; }

private:
    struct Active {
        size_t interval = 0; // its index
        qint64 endsAt = 0;
        std::function<void()> clear;
    };

    void add(const std::string& what, const std::string& kind, Millis time, std::function<void()> clear);
    void breakGateway();
    void breakStore();
    void breakStoreLink();
    void breakFront();
    void breakEngine();
    void breakEndpointLink();
    void injectEndpointFault();
    void pause(const std::string& process, Millis time);
    void setProxyFault(const std::string& link, const std::string& kind, const std::string& what, Millis time);
    void setStandInFault(const std::string& name, const QJsonObject& faults, const QJsonObject& clearedFaults, const std::string& what, Millis time);
    Millis randomDuration(int minMs, int maxMs);
    std::string pickRandom(const std::vector<std::string>& names) { return names[random_() % names.size()]; }
    bool isStopped(const std::string& process) const { return stopped_.count(process) > 0; }

    GatewayCluster& cluster_;
    Random random_;
    std::vector<FaultInterval> intervals_;
    std::vector<Active> active_;
    std::set<std::string> stopped_; // processes that were killed or paused
    int triggerCount_ = 0; // the proxy silences again with each change of a number
};

} // namespace hemlockweir
