#pragma once

#include "ledger/BatchWriter.h"
#include "wire/BatchMessages.h"

// Lets the nodes of a failure domain share calls to the platform: one of them, the aggregator, makes
// the claims' writes of all in batches. Compare-and-swap still decides, so it does not matter for
// safety who sends a write or how often.
//
// A batch whose answer did not come ends as Unknown, as a lost answer of the platform does: the
// ledger sends the write again, now directly, and knows its own claim by its token. Lives on the
// control thread.

namespace hemlockweir {

class SharedWriter : public QObject {
    Q_OBJECT
public:
    using Answer = std::function<void(const absl::StatusOr<ClaimBatchAnswer>&)>;

    struct Options {
        BatchWriter::WriteEach writeEach; // to the platform
        Millis interval { 50 }; // ms that a aggregator waits for others' writes
        Millis directWritePeriod { 5000 }; // ms of direct writes after a aggregator gave no answer
        Clock clock;
        Random random;
        std::function<bool()> isShared; // whether the failure domain has enough nodes to share
        std::function<std::string()> findAggregator; // ADDRESS:PORT; empty: this node
        std::function<void(const std::string& aggregator, const ClaimBatch&, Answer)> send;
    };

    explicit SharedWriter(Options options);

    // Writes by way of the aggregator, or directly.
    void writeEach(const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done);

    // Makes the writes of another node; `done` is called once.
    void writeForPeer(const ClaimBatch& batch, std::function<void(const ClaimBatchAnswer&)> done);

    // Writes made for other nodes.
    uint64_t writesForPeers() const { return writesForPeers_; }

private:
    void writeBatch(const ClaimBatch& batch, std::function<void(const ClaimBatchAnswer&)> done);
    void handleAnswer(const std::vector<KvWrite>& writes, const absl::StatusOr<ClaimBatchAnswer>& answer, const Callback<std::vector<KvWriteResult>>& done);

    Options options_;
    BatchWriter writer_;
    Millis directUntil_;
    uint64_t writesForPeers_ = 0;
};

} // namespace hemlockweir
