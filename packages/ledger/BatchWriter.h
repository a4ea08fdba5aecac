#pragma once

#include "platform/KvClient.h"

#include <QTimer>
#include <vector>

// Group commit: conditional writes that arrive close together share one call to the platform. Only
// one call is in flight at a time, so the call rate is bounded by the duration of a call,
// independent of the load. Lives on the control thread.

namespace hemlockweir {

class BatchWriter : public QObject {
    Q_OBJECT
public:
    // Writes several keys, each with its own compare, and passes one result per write, in order.
    using WriteEach = std::function<void(const std::vector<KvWrite>&, Callback<std::vector<KvWriteResult>>)>;

    struct Options {
        Millis interval { 4 }; // ms that the first write waits for more
        size_t maxBatch = 64; // maximum number of writes in one call
        WriteEach writeEach;
    };

    explicit BatchWriter(Options options);

    // Queues a write and calls `done` once. The error code Unknown means that the write may have
    // taken effect; Unavailable means that it did not leave this process.
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
