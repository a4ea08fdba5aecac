#pragma once

#include "base/Clock.h"
#include "base/Log.h"

#include <vector>

// Structured lines on standard output, one for each decision: `t=SECONDS event=NAME key=value ...`.
// Never blocks: a line that the reader of the output has no room for is dropped and counted. Bounded:
// beyond a rate of lines only the important ones are written, and the others counted.

namespace hemlockweir {

class DecisionLog {
public:
    struct Options {
        Clock clock;
        int descriptor = 1; // standard output
        double linesPerSecond = 60; // ordinary lines; important ones may use as many again
        double burst = 200; // lines
    };

    explicit DecisionLog(Options options);

    // A decision in the ordinary run of things, such as a request answered.
    void note(std::string_view event, std::initializer_list<LogField> fields);

    // One that explains a failure or a change of beliefs.
    void noteImportant(std::string_view event, std::initializer_list<LogField> fields);

    // Writes how many lines were left out since the last call, if any. Call at regular times.
    void tellOmitted();

private:
    class Allowance {
    public:
        bool take(Millis now, double perSecond, double burst);

    private:
        double left_ = -1; // lines; negative: not started
        Millis updatedAt_ { 0 };
    };

    void write(std::string_view event, std::initializer_list<LogField> fields);

    Options options_;
    Allowance ordinary_;
    Allowance important_;
    uint64_t omitted_ = 0;
};

} // namespace hemlockweir
