#pragma once

#include "support/SoakLoad.h"

// Faults of the soak, injected from outside: signals to processes, the proxy between them, and what the
// stand-ins of store and endpoints get wrong. They come in series and overlap; each ends by itself.

namespace hemlockweir {

// A stretch of time in which something was broken, in ms since the epoch.
struct SoakTrouble {
    std::string what; // a process, or "store"
    std::string kind;
    qint64 from = 0;
    qint64 until = 0; // 0: not over
};

// Whether something that concerns a gateway was broken in a stretch of time: itself, its links, the store.
bool wasTroubled(const std::vector<SoakTrouble>& troubles, const std::string& gateway, qint64 from, qint64 until);

class SoakFaults {
public:
    SoakFaults(GatewayCluster& cluster, Random random);

    // Begins one fault by chance.
    void begin();

    // Ends what is over, starts again what ended. Call often.
    void turn();

    // Ends all of them; every process runs afterwards.
    void mendAll();

    // Breaks one thing until mendAll(); of use to a phase with one fault alone.
    void cutStoreLink(const std::string& gateway);
    void kill(const std::string& process, Millis downTime);

    const std::vector<SoakTrouble>& troubles() const { return troubles_; }

private:
    struct Active {
        size_t trouble = 0; // its index
        qint64 endsAt = 0;
        std::function<void()> mend;
    };

    void add(const std::string& what, const std::string& kind, Millis time, std::function<void()> mend);
    void breakGateway();
    void breakStore();
    void breakStoreLink();
    void breakFront();
    void breakEngine();
    void breakEndpointLink();
    void spoilEndpoint();
    void pause(const std::string& process, Millis time);
    void setProxyFault(const std::string& link, const std::string& kind, const std::string& what, Millis time);
    void setStandInFault(const std::string& name, const QJsonObject& faults, const QJsonObject& mended, const std::string& what, Millis time);
    Millis anyTime(int least, int most);
    std::string any(const std::vector<std::string>& names) { return names[random_() % names.size()]; }
    bool isBroken(const std::string& process) const { return broken_.count(process) > 0; }

    GatewayCluster& cluster_;
    Random random_;
    std::vector<SoakTrouble> troubles_;
    std::vector<Active> active_;
    std::set<std::string> broken_; // processes that were killed or paused
    int silences_ = 0; // the proxy silences again with each change of a number
};

} // namespace hemlockweir
