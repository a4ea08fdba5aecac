#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>

// The running jobs that may be preempted in favour of the most urgent priority, and the preemption requests that are
// still pending. Not thread-safe: protected by the scheduler's lock.

namespace hemlockweir {

// A running job that may be preempted. Ordered by priority, then by the time of its grant.
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

    // Returns the job to preempt next: the most recently started job of the least urgent priority for which `mayPreempt`
    // is true, as it has done the least work. Jobs of the most urgent priority are never preempted.
    std::optional<PreemptibleJob> next(const std::function<bool(uint32_t rank)>& mayPreempt) const;

    // Records that a job was asked to return its slot, and that a job which was asked did so.
    void noteRequested(Millis now) { requestedAt_.push_back(now); }
    void noteSlotReturned();

    // Returns the number of jobs that were asked recently and still hold their slot.
    size_t pending(Millis now);

private:
    std::set<PreemptibleJob> jobs_;
    std::deque<Millis> requestedAt_;
};

} // namespace hemlockweir
