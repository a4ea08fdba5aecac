#include "ledger/BatchWriter.h"

#include <set>

namespace hemlockweir {

BatchWriter::BatchWriter(Options options)
    : options_(std::move(options))
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &BatchWriter::flush);
}

void BatchWriter::write(const KvWrite& write, Callback<KvWriteResult> done)
{
    queue_.push_back({ .write = write, .done = std::move(done) });
    if (!inFlight_ && !timer_.isActive())
        timer_.start(options_.interval);
}

// A transaction may write each key only once, so further writes of a key wait for the next call.
std::vector<BatchWriter::Pending> BatchWriter::dequeueBatch()
{
    std::vector<Pending> batch;
    std::vector<Pending> remaining;
    std::set<QByteArray> keys;
    for (Pending& pending : queue_) {
        const bool fits = batch.size() < options_.maxBatch && keys.insert(pending.write.key).second;
        (fits ? batch : remaining).push_back(std::move(pending));
    }
    queue_ = std::move(remaining);
    return batch;
}

void BatchWriter::flush()
{
    if (inFlight_ || queue_.empty())
        return;
    inFlight_ = true;
    std::vector<Pending> batch = dequeueBatch();
    std::vector<KvWrite> writes;
    writes.reserve(batch.size());
    for (const Pending& pending : batch)
        writes.push_back(pending.write);
    options_.writeEach(writes, [this, batch](const absl::StatusOr<std::vector<KvWriteResult>>& results) {
        inFlight_ = false;
        for (size_t i = 0; i < batch.size(); ++i)
            batch[i].done(results.ok() ? absl::StatusOr<KvWriteResult>((*results)[i]) : results.status());
        flush();
    });
}

} // namespace hemlockweir
