#pragma once

#include "support/Cluster.h"

// Checks the invariants of the system. The checks compare the effects that the stand-ins recorded with
// the answers that callers received.

namespace hemlockweir {

// Maximum time from the loss of a member until its group gets no more new requests.
inline constexpr Millis detectionBound { 3000 };

// A period in which a process was killed or paused, in ms since the Unix epoch.
struct Outage {
    std::string name;
    qint64 from = 0;
    qint64 until = 0; // 0: ongoing
};

// A model request and its answer.
struct SentCompletion {
    std::string marker; // unique, at the start of the prompt
    int seed = 0;
    int maxTokens = 0;
    bool stream = false;
    Answer answer;
};

// One attempt to send an order under an idempotency key.
struct SentOrder {
    std::string marker; // identifies the order; also its key and body
    Answer answer;
};

// Returns the first `tokens` tokens of the text that engines generate for this request.
QString expectedText(const SentCompletion& sent, int tokens);

// Each check returns one line per violation; an empty list means that the invariant held.
QStringList checkCompleteAnswers(const std::vector<SentCompletion>& sent);
QStringList checkNotRun(Cluster& cluster, const std::vector<std::string>& engines, const std::vector<std::string>& services,
    const std::vector<SentCompletion>& completions, const std::vector<SentOrder>& orders);
QStringList checkAtMostOnce(Cluster& cluster, const std::vector<std::string>& services);
QStringList checkCompleteGroups(Cluster& cluster, const std::vector<std::string>& engines, const std::vector<Outage>& outages);
QStringList checkRevisionsIncrease(Cluster& cluster, const std::vector<std::string>& nodes);

} // namespace hemlockweir
