#include "ledger/SharedWriter.h"

#include "ledger/ClaimValue.h"

#include <algorithm>

namespace hemlockweir {

static bool fits(const std::vector<KvWrite>& writes)
{
    size_t bytes = 0;
    for (const KvWrite& write : writes) {
        bytes += static_cast<size_t>(write.value.size());
        if (write.value.size() > maxClaimValueBytes || write.key.size() > maxClaimKeyLength)
            return false;
    }
    return bytes <= maxBatchBytes && writes.size() <= maxBatchWrites;
}

static ClaimBatch makeBatch(const std::vector<KvWrite>& writes, uint64_t id)
{
    ClaimBatch batch { .id = id, .writes = {} };
    for (const KvWrite& write : writes)
        batch.writes.push_back({ .key = write.key.toStdString(), .value = write.value.toStdString(), .expectedModRevision = write.expectedModRevision, .lease = write.lease });
    return batch;
}

static ClaimWriteResult toWriteResult(const absl::StatusOr<KvWriteResult>& result, size_t& bytesLeft)
{
    if (!result.ok())
        return {};
    ClaimWriteResult row { .known = true, .applied = result->applied, .revision = result->revision };
    const auto size = static_cast<size_t>(result->current.value.size());
    if (row.applied)
        return row;
    if (size > maxClaimValueBytes || size > bytesLeft)
        return {};
    bytesLeft -= size;
    row.value = result->current.value.toStdString();
    row.createRevision = result->current.createRevision;
    row.modRevision = result->current.modRevision;
    return row;
}

SharedWriter::SharedWriter(Options options)
    : options_(std::move(options))
    , writer_({ .interval = options_.interval, .writeEach = options_.writeEach })
    , directUntil_(options_.clock())
{
}

void SharedWriter::writeEach(const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done)
{
    if (!options_.isShared() || !fits(writes) || options_.clock() < directUntil_) {
        options_.writeEach(writes, std::move(done));
        return;
    }
    const std::string aggregator = options_.findAggregator();
    const ClaimBatch batch = makeBatch(writes, options_.random());
    auto onAnswer = [this, writes, id = batch.id, done](const absl::StatusOr<ClaimBatchAnswer>& answer) {
        const bool isComplete = answer.ok() && answer->id == id && answer->results.size() == writes.size();
        handleAnswer(writes, isComplete ? answer : absl::UnknownError("the aggregator of the failure domain did not answer"), done);
    };
    if (aggregator.empty())
        writeBatch(batch, onAnswer);
    else
        options_.send(aggregator, batch, onAnswer);
}

void SharedWriter::handleAnswer(const std::vector<KvWrite>& writes, const absl::StatusOr<ClaimBatchAnswer>& answer, const Callback<std::vector<KvWriteResult>>& done)
{
    const bool isKnown = answer.ok() && std::all_of(answer->results.begin(), answer->results.end(), [](const ClaimWriteResult& row) { return row.known; });
    if (!isKnown) {
        directUntil_ = options_.clock() + options_.directWritePeriod;
        done(absl::UnknownError("the aggregator of the failure domain did not answer"));
        return;
    }
    std::vector<KvWriteResult> results;
    for (size_t i = 0; i < writes.size(); ++i) {
        const ClaimWriteResult& row = answer->results[i];
        KvWriteResult result { .applied = row.applied, .revision = row.revision, .current = {} };
        if (!row.applied)
            result.current = { .key = writes[i].key, .value = QByteArray::fromStdString(row.value), .createRevision = row.createRevision, .modRevision = row.modRevision };
        results.push_back(std::move(result));
    }
    done(results);
}

void SharedWriter::writeForPeer(const ClaimBatch& batch, std::function<void(const ClaimBatchAnswer&)> done)
{
    writesForPeers_ += batch.writes.size();
    writeBatch(batch, std::move(done));
}

void SharedWriter::writeBatch(const ClaimBatch& batch, std::function<void(const ClaimBatchAnswer&)> done)
{
    // Peers may write claims only, no other key of the platform.
    const bool isForClaims = std::all_of(batch.writes.begin(), batch.writes.end(), [](const ClaimWrite& write) { return write.key.starts_with(claimPrefix); });
    if (!isForClaims || batch.writes.empty()) {
        done({ .id = batch.id, .results = {} });
        return;
    }
    struct Collected {
        ClaimBatchAnswer answer;
        size_t left = 0;
        size_t bytesLeft = maxBatchBytes;
        std::function<void(const ClaimBatchAnswer&)> done;
    };
    auto collected = std::make_shared<Collected>(Collected { .answer = { .id = batch.id, .results = std::vector<ClaimWriteResult>(batch.writes.size()) }, .left = batch.writes.size(), .done = std::move(done) });
    for (size_t i = 0; i < batch.writes.size(); ++i) {
        const ClaimWrite& write = batch.writes[i];
        const KvWrite own { .key = QByteArray::fromStdString(write.key), .value = QByteArray::fromStdString(write.value), .expectedModRevision = write.expectedModRevision, .lease = write.lease };
        writer_.write(own, [collected, i](const absl::StatusOr<KvWriteResult>& result) {
            collected->answer.results[i] = toWriteResult(result, collected->bytesLeft);
            if (--collected->left == 0)
                collected->done(collected->answer);
        });
    }
}

} // namespace hemlockweir
