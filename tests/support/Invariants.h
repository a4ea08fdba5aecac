#pragma once

#include "support/Cluster.h"

// Checks what must always hold from what the stand-ins truly did and what callers received.

namespace hemlockweir {

// The time within which a lost member must stop all new work on its group.
inline constexpr Millis detectionBound { 3000 };

// A stretch of time in which a process was killed or paused, in ms since the epoch.
struct Outage {
    std::string name;
    qint64 from = 0;
    qint64 until = 0; // 0: not over
};

// A model request and what came back.
struct SentCompletion {
    std::string marker; // unique, at the start of the prompt
    int seed = 0;
    int maxTokens = 0;
    bool stream = false;
    Answer answer;
};

// One sending of an order under an idempotency key.
struct SentOrder {
    std::string marker; // unique to the order, its key and its body
    Answer answer;
};

// The text that engines generate for this request, up to a number of tokens.
QString expectedText(const SentCompletion& sent, int tokens);

// Each returns what was violations, one line each; empty when the promise held.
QStringList checkCompleteAnswers(const std::vector<SentCompletion>& sent);
QStringList checkNotRun(Cluster& cluster, const std::vector<std::string>& engines, const std::vector<std::string>& services,
    const std::vector<SentCompletion>& completions, const std::vector<SentOrder>& orders);
QStringList checkAtMostOnce(Cluster& cluster, const std::vector<std::string>& services);
QStringList checkCompleteGroups(Cluster& cluster, const std::vector<std::string>& engines, const std::vector<Outage>& outages);
QStringList checkRevisionsIncrease(Cluster& cluster, const std::vector<std::string>& nodes);

} // namespace hemlockweir
