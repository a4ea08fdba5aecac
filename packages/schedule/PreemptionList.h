#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>

// The running jobs that may be asked for their slot in favour of the most urgent work, and how
// many were asked lately. Not thread-safe: the scheduler guards it.

namespace hemlockweir {

// A running job that may be asked for its slot.
struct PreemptibleJob {
    uint32_t rank = 0;
    Millis grantedAt { 0 };
    uint64_t job = 0;

    auto operator<=>(const PreemptibleJob&) const = default;
};

class PreemptionList {
public:
    void add(const PreemptibleJob& job) { jobs_.insert(job); }
    void remove(const PreemptibleJob& job) { jobs_.erase(job); }

    // The job to ask next: of the least urgent priority that `mayPreempt` a slot the one that has
    // done least. The most urgent priority never preemptible.
    std::optional<PreemptibleJob> next(const std::function<bool(uint32_t rank)>& mayPreempt) const;

    // Notes that a job was asked, and that one which was asked gave its slot back.
    void noteRequested(Millis now) { requestedAt_.push_back(now); }
    void noteSlotReturned();

    // Jobs that were asked lately and still hold their slot.
    size_t pending(Millis now);

private:
    std::set<PreemptibleJob> jobs_;
    std::deque<Millis> requestedAt_;
};

} // namespace hemlockweir
