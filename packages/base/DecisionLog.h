#pragma once

#include "base/Clock.h"
#include "base/Log.h"

#include <vector>

// Writes structured log lines to standard output, one for each decision: `t=SECONDS event=NAME key=value ...`.
// Logging never blocks: a line is dropped and counted when the output is not writable, for example because
// the reader of a pipe is too slow. Each of the three kinds of lines has its own rate limit, so that a flood
// of one kind doesn't hide the others. Lines above the limit are dropped and counted.

namespace hemlockweir {

class DecisionLog {
public:
    struct Options {
        Clock clock;
        int descriptor = 1; // file descriptor; 1: standard output
        double linesPerSecond = 60; // sustained rate of each of the three kinds
        double burst = 200; // lines of one kind that may exceed the sustained rate
    };

    explicit DecisionLog(Options options);

    // Logs a routine decision, such as an answered request.
    void note(std::string_view event, std::initializer_list<LogField> fields);

    // Logs a decision that ends a request unsuccessfully.
    void noteFailure(std::string_view event, std::initializer_list<LogField> fields);

    // Logs a state change of the process, an order, or the loss or recovery of a dependency.
    void noteChange(std::string_view event, std::initializer_list<LogField> fields);

    // Logs the number of lines dropped since the last call, if any. Call periodically.
    void reportOmitted();

private:
    // Rate limiter of one kind of lines.
    class TokenBucket {
    public:
        bool tryAcquire(Millis now, double perSecond, double burst);

    private:
        double tokens_ = -1; // lines; negative until the first call
        Millis updatedAt_ { 0 };
    };

    void noteLimited(TokenBucket& bucket, std::string_view event, std::initializer_list<LogField> fields);
    void write(std::string_view event, std::initializer_list<LogField> fields);

    Options options_;
    TokenBucket ordinary_;
    TokenBucket failures_;
    TokenBucket changes_;
    uint64_t omitted_ = 0;
};

} // namespace hemlockweir
