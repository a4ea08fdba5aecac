#pragma once

#include "platform/KvClient.h"
#include "rollout/ConfigExchange.h"
#include "rollout/ConfigTable.h"

#include <QTimer>

// Brings published configurations into force on this node. Lives on the control thread.
//
// Few nodes watch the platform (`isWatcher`); all others hear of a newer revision from a peer and
// fetch the document there. A watch may go silent for good, so a watcher also reads the key's
// revision every `checkInterval`. A node that can not learn the newest from peers asks the
// platform itself, after a random delay.

namespace hemlockweir {

// A living peer that may hold a newer configuration.
struct ConfigSource {
    std::string endpoint; // ADDRESS:PORT of its ConfigServer
    int64_t revision = 0; // newest that it holds
    bool isInSameDomain = false; // in this node's failure domain

    auto operator<=>(const ConfigSource&) const = default;
};

class ConfigFollower : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis tickInterval { 100 }; // ms, between two looks at what is due
        Millis checkInterval { 2000 }; // ms, between two checks of a watch
        Millis retryInterval { 500 }; // ms, after a failed call; doubled up to checkInterval * 4
        Millis fetchDelay { 150 }; // ms, at most, before a fetch: spreads the load over sources
        Millis noSourceDelay { 2000 }; // ms, at most, before a node that no peer can help asks the platform
        Millis fallbackInterval { 60000 }; // ms, about, between two checks by a node that does not watch
        ConfigFetcher::Options fetch;
        Clock clock;
        Random random;
        std::function<bool()> isWatcher; // whether this node is to watch the platform now
        std::function<std::vector<ConfigSource>()> sources; // living peers
    };

    ConfigFollower(Options options, ConfigTable& table, KvClient& platform);

    void start();

    // Takes a document from whatever source. False: not newer, or refused; what is in force stays.
    bool apply(const QByteArray& json, int64_t revision, const std::string& source);

    // Whether the last call to the platform failed; false before the first.
    bool isPlatformDown() const { return platformDown_; }
    bool isWatching() const { return watch_ != nullptr; }

    // Called after a new configuration came into force.
    std::function<void(const ConfigSnapshot&)> onAdopted;

private:
    void tick();
    void maintainWatch(Millis now);
    void openWatch();
    void checkPlatform(Millis now);
    void handleCheck(const absl::StatusOr<KvRange>& range);
    void readPlatform();
    void recordPlatformResult(bool answered);
    void fetchFromPeer(Millis now);
    void checkPlatformDirectly(Millis now);
    Millis randomUpTo(Millis limit);

    Options options_;
    ConfigTable& table_;
    KvClient& platform_;
    ConfigFetcher fetcher_;
    QTimer timer_;
    std::shared_ptr<HttpCall> watch_;
    uint64_t watchSerial_ = 0;
    bool isReading_ = false; // a read of the platform runs
    bool platformDown_ = false;
    Millis retryDelay_ { 0 };
    Millis nextCheckAt_ { 0 };
    Millis nextFetchAt_ { 0 };
    Millis nextDirectCheckAt_ { 0 };
    int failedFetches_ = 0;
    int64_t newestPeerRevision_ = 0; // newest that any peer claims
    int64_t refusedRevision_ = 0; // logged once
    int64_t warnedRevision_ = -1; // an older revision found in the platform, logged once
};

} // namespace hemlockweir
