#pragma once

#include "platform/KvClient.h"

#include <QTimer>
#include <vector>

// Group commit: conditional writes that arrive together share one call to the platform. One call
// is in flight at a time, so that the number of calls is bounded by their duration, whatever the
// load. Lives on the control thread.

namespace hemlockweir {

class BatchWriter : public QObject {
    Q_OBJECT
public:
    // Writes several keys, each by its own compare, and gives one result each, in order.
    using WriteEach = std::function<void(const std::vector<KvWrite>&, Callback<std::vector<KvWriteResult>>)>;

    struct Options {
        Millis interval { 4 }; // ms that the first write waits for others
        size_t maxBatch = 64; // writes in one call
        WriteEach writeEach;
    };

    explicit BatchWriter(Options options);

    // Adds a write; `done` is called once. An error of code Unknown means that it may have taken
    // effect; Unavailable means that it did not leave this process.
    void write(const KvWrite& write, Callback<KvWriteResult> done);

private:
    struct Pending {
        KvWrite write;
        Callback<KvWriteResult> done;
    };

    void flush();
    std::vector<Pending> dequeueBatch();

    Options options_;
    QTimer timer_;
    std::vector<Pending> queue_;
    bool inFlight_ = false;
};

} // namespace hemlockweir
