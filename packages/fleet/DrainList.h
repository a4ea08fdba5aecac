#pragma once

#include "fleet/FleetTable.h"
#include "platform/KvClient.h"

#include <QTimer>

// Reads which instances operators drain: one key each, /hemlockweir/drains/INSTANCE, whose value
// says by whom and why. During an outage of the platform the last answer stays in force.

namespace hemlockweir {

inline constexpr char drainPrefix[] = "/hemlockweir/drains/";

class DrainList : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis interval { 1000 }; // ms between two reads
        std::function<bool()> shouldRead; // whether it falls to this node; the others hear of it
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
