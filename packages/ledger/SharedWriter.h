#pragma once

#include "ledger/BatchWriter.h"
#include "wire/BatchMessages.h"

// Combines platform writes of the nodes of a failure domain: one node, the aggregator, batches the
// claim writes of all. Each write is still decided by compare-and-swap, so safety does not depend
// on which node sends it or how often.
//
// If the answer to a batch is lost, its writes end with the error Unknown, as when the platform's
// answer is lost. The ledger then repeats the write directly and recognizes its own claim by the
// token. Lives on the control thread.

namespace hemlockweir {

class SharedWriter : public QObject {
    Q_OBJECT
public:
    using Answer = std::function<void(const absl::StatusOr<ClaimBatchAnswer>&)>;

    struct Options {
        BatchWriter::WriteEach writeEach; // writes to the platform
        Millis interval { 50 }; // ms that an aggregator waits for writes of other nodes
        Millis directWritePeriod { 5000 }; // ms of direct writes after the aggregator did not answer
        Clock clock;
        Random random;
        std::function<bool()> isShared; // whether the failure domain has enough nodes to share writes
        std::function<std::string()> findAggregator; // returns ADDRESS:PORT; empty: this node is the aggregator
        std::function<void(const std::string& aggregator, const ClaimBatch&, Answer)> send;
    };

    explicit SharedWriter(Options options);

    // Sends writes to the aggregator, or directly to the platform.
    void writeEach(const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done);

    // Performs the writes of another node. Calls `done` once.
    void writeForPeer(const ClaimBatch& batch, std::function<void(const ClaimBatchAnswer&)> done);

    // Returns the number of writes performed for other nodes.
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
