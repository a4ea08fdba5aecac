#pragma once

#include "platform/KvClient.h"
#include "rollout/ConfigTable.h"

#include <QTimer>

// Brings published configurations into force on this node. Lives on the control thread.

namespace hemlockweir {

class ConfigFollower : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis pollInterval { 500 }; // ms, between two reads of the platform
    };

    ConfigFollower(Options options, ConfigTable& table, KvClient& platform);

    void start();

    // Called after a new configuration came into force.
    std::function<void(const ConfigSnapshot&)> onAdopted;

private:
    void poll();
    void take(const QByteArray& json, int64_t revision);

    Options options_;
    ConfigTable& table_;
    KvClient& platform_;
    QTimer timer_;
    bool busy_ = false;
};

} // namespace hemlockweir
