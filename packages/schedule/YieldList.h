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
struct Yieldable {
    uint32_t rank = 0;
    Millis grantedAt { 0 };
    uint64_t job = 0;

    auto operator<=>(const Yieldable&) const = default;
};

class YieldList {
public:
    void add(const Yieldable& job) { jobs_.insert(job); }
    void remove(const Yieldable& job) { jobs_.erase(job); }

    // The job to ask next: of the least urgent priority that `mayLose` a slot the one that has
    // done least. The most urgent priority never yields.
    std::optional<Yieldable> next(const std::function<bool(uint32_t rank)>& mayLose) const;

    // Notes that a job was asked, and that one which was asked gave its slot back.
    void noteAsked(Millis now) { askedAt_.push_back(now); }
    void noteYielded();

    // Jobs that were asked lately and still hold their slot.
    size_t pending(Millis now);

private:
    std::set<Yieldable> jobs_;
    std::deque<Millis> askedAt_;
};

} // namespace hemlockweir
