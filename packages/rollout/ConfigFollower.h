#pragma once

#include "platform/KvClient.h"
#include "rollout/ConfigExchange.h"
#include "rollout/ConfigTable.h"

#include <QTimer>

// Applies published configurations on this node. Lives on the control thread.
//
// Only a few nodes watch the platform (`isWatcher`). The others learn of a newer revision from a
// peer and fetch the document there. A watch may stop delivering events without an error, so a
// watcher also reads the revision of the key every `checkInterval`. A node that cannot get the
// newest configuration from peers queries the platform itself, after a random delay.

namespace hemlockweir {

// A live peer that may have a newer configuration.
struct ConfigSource {
    std::string endpoint; // ADDRESS:PORT of its ConfigServer
    int64_t revision = 0; // its current revision
    bool isInSameDomain = false; // in this node's failure domain

    auto operator<=>(const ConfigSource&) const = default;
};

class ConfigFollower : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis tickInterval { 100 }; // ms between checks for due work
        Millis checkInterval { 2000 }; // ms between reads of the revision by a watcher
        Millis retryInterval { 500 }; // ms after a failed call or fetch; for calls doubled up to checkInterval * 4, with jitter
        Millis fetchDelay { 150 }; // maximum ms of random delay before a fetch; spreads the load over sources
        Millis noSourceDelay { 2000 }; // maximum ms after the start before a node without a source queries the platform; then every 1 to 2 times this
        Millis fallbackInterval { 60000 }; // average ms between checks by a node that does not watch
        ConfigFetcher::Options fetch;
        Clock clock;
        Random random;
        std::function<bool()> isWatcher; // whether this node must watch the platform now
        std::function<std::vector<ConfigSource>()> sources; // live peers
    };

    ConfigFollower(Options options, ConfigTable& table, KvClient& platform);

    void start();

    // Applies a document from any source. Returns false and keeps the current configuration if the
    // document is not newer or is invalid.
    bool apply(const QByteArray& json, int64_t revision, const std::string& source);

    // Returns whether the last call to the platform failed; false before the first call.
    bool isPlatformDown() const { return platformDown_; }
    bool isWatching() const { return watch_ != nullptr; }

    // Called after a new configuration has been applied.
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
    bool isReading_ = false; // a read from the platform is in progress
    bool platformDown_ = false;
    Millis retryDelay_ { 0 };
    Millis nextCheckAt_ { 0 };
    Millis nextFetchAt_ { 0 };
    Millis nextDirectCheckAt_ { 0 };
    int failedFetches_ = 0;
    int64_t newestPeerRevision_ = 0; // highest revision above the current one that a peer reported; 0: none
    int64_t refusedRevision_ = 0; // last rejected revision, logged once
    int64_t warnedRevision_ = -1; // older revision found on the platform, logged once
};

} // namespace hemlockweir
