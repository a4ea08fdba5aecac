#pragma once

#include "fleet/FleetTable.h"
#include "platform/KvClient.h"

#include <QTimer>

// Reads from the platform which instances operators drain. Each has a key
// /hemlockweir/drains/INSTANCE, whose value holds who drains it and why. During an outage of the
// platform, the last result stays in force.

namespace hemlockweir {

inline constexpr char drainPrefix[] = "/hemlockweir/drains/";

class DrainList : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis interval { 1000 }; // ms between two reads
        std::function<bool()> shouldRead; // whether this node reads the drains; other nodes receive them from peers
    };

    DrainList(Options options, FleetTable& table, KvClient& platform);

    void start() { timer_.start(options_.interval); }

private:
    void read();
    void apply(const KvRange& range);

    Options options_;
    FleetTable& table_;
    KvClient& platform_;
    QTimer timer_;
    bool isBusy_ = false;
};

} // namespace hemlockweir
