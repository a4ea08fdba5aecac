#pragma once

#include "base/Clock.h"
#include "base/Log.h"

#include <vector>

// Structured lines on standard output, one for each decision: `t=SECONDS event=NAME key=value ...`.
// Never blocks: a line that the reader of the output has no room for is dropped and counted. Bounded:
// each kind of line has a rate of its own, so that a flood of one doesn't hide the others; what goes
// beyond it is counted.

namespace hemlockweir {

class DecisionLog {
public:
    struct Options {
        Clock clock;
        int descriptor = 1; // standard output
        double linesPerSecond = 60; // of each of the three kinds
        double burst = 200; // lines
    };

    explicit DecisionLog(Options options);

    // A decision in the ordinary run of things, such as a request answered.
    void note(std::string_view event, std::initializer_list<LogField> fields);

    // One that ends a request otherwise than well.
    void noteFailure(std::string_view event, std::initializer_list<LogField> fields);

    // A change of what the process believes, an order, a dependency lost or regained.
    void noteChange(std::string_view event, std::initializer_list<LogField> fields);

    // Writes how many lines were left out since the last call, if any. Call at regular times.
    void reportOmitted();

private:
    class TokenBucket {
    public:
        bool tryAcquire(Millis now, double perSecond, double burst);

    private:
        double tokens_ = -1; // lines; negative: not started
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
