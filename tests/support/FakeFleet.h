#pragma once

#include "schedule/Scheduler.h"

// Replicas and simulated time for tests of the scheduler, without sockets.

namespace hemlockweir {

inline std::vector<Replica> makeReplicas(int count, uint32_t slots, const std::string& domain = "a")
{
    std::vector<Replica> replicas;
    replicas.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        replicas.push_back({ .group = domain + "-g" + std::to_string(i), .epoch = 1, .model = "m", .domain = domain, .leader = "127.0.0.1:1", .slots = slots });
    return replicas;
}

// A scheduler with its clock, replicas and recorded decisions.
class FakeFleet {
public:
    explicit FakeFleet(std::vector<Replica> replicas, size_t maxWaiting = 1000, const std::string& node = "n1", uint64_t seed = 1)
        : replicas_(std::move(replicas))
        , scheduler_({ .maxWaiting = maxWaiting,
              .node = node,
              .domain = "a",
              .clock = [this] { return now_; },
              .random = makeSeededRandom(seed),
              .findReplicas = [this](const std::string&) { return replicas_; } })
    {
    }

    // Returns a job for model "m" with a deadline in one minute.
    Job makeJob(const std::string& caller, uint32_t rank)
    {
        return { .id = nextId_++, .model = "m", .caller = caller, .rank = rank, .deadline = now_ + Millis(60000), .cost = 10 };
    }

    uint64_t submit(const Job& job)
    {
        ranks_[job.id] = job.rank;
        scheduler_.submit(job,
            { .onDecision = [this, id = job.id](const Decision& decision) { decisions_[id].push_back(decision); }, .onPreempt = [this, id = job.id] { preempted_.push_back(id); } });
        return job.id;
    }

    uint64_t submit(const std::string& caller, uint32_t rank) { return submit(makeJob(caller, rank)); }

    // Advances the clock, marks all replica reports as current and calls pump().
    void advance(Millis time)
    {
        now_ += time;
        for (Replica& replica : replicas_)
            replica.reportedAt = now_;
        scheduler_.pump();
    }

    bool isGranted(uint64_t id) const { return hasDecision(id) && decisions_.at(id).front().isGranted(); }
    bool isRefused(uint64_t id) const { return hasDecision(id) && !decisions_.at(id).front().isGranted(); }
    bool hasDecision(uint64_t id) const { return decisions_.contains(id); }
    const Decision& decision(uint64_t id) const { return decisions_.at(id).front(); }
    uint32_t rankOf(uint64_t id) const { return ranks_.at(id); }

    Scheduler& scheduler() { return scheduler_; }
    std::vector<Replica>& replicas() { return replicas_; }
    Millis now() const { return now_; }
    const std::map<uint64_t, std::vector<Decision>>& decisions() const { return decisions_; }
    const std::vector<uint64_t>& preempted() const { return preempted_; }

private:
    Millis now_ { 1000 };
    uint64_t nextId_ = 1;
    std::vector<Replica> replicas_;
    std::map<uint64_t, std::vector<Decision>> decisions_;
    std::map<uint64_t, uint32_t> ranks_;
    std::vector<uint64_t> preempted_;
    Scheduler scheduler_;
};

} // namespace hemlockweir
