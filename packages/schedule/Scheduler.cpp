#include "schedule/Scheduler.h"

#include <algorithm>

namespace hemlockweir {

SchedulePolicy parseSchedulePolicy(const std::string& name)
{
    if (name == "round_robin")
        return SchedulePolicy::RoundRobin;
    if (name == "least_in_flight")
        return SchedulePolicy::LeastInFlight;
    return SchedulePolicy::Full;
}

Scheduler::Scheduler(SchedulerOptions options)
    : options_(std::move(options))
{
}

double Scheduler::nextTag(const Job& job)
{
    double& last = tagByCaller_[job.caller];
    last = std::max(last, virtualTime_) + job.cost / job.weight;
    return last;
}

void Scheduler::submit(const Job& job, JobHooks hooks)
{
    {
        std::lock_guard lock(mutex_);
        if (waiting_.size() < options_.maxWaiting) {
            waiting_.push_back({ .job = job, .hooks = std::move(hooks), .tag = nextTag(job) });
            hooks = {};
        }
    }
    if (hooks.onDecision)
        hooks.onDecision({ .refusal = Refusal::QueueFull, .replica = {}, .retryAfter = Millis(1000) });
    else
        pump();
}

void Scheduler::cancel(uint64_t jobId)
{
    std::lock_guard lock(mutex_);
    waiting_.remove_if([&](const Waiting& waiting) { return waiting.job.id == jobId; });
}

void Scheduler::finish(uint64_t jobId)
{
    {
        std::lock_guard lock(mutex_);
        const auto found = running_.find(jobId);
        if (found == running_.end())
            return;
        const auto use = inFlight_.find(found->second.group);
        if (--use->second == 0)
            inFlight_.erase(use);
        running_.erase(found);
    }
    pump();
}

void Scheduler::pump()
{
    std::vector<Verdict> verdicts;
    {
        std::lock_guard lock(mutex_);
        verdicts = decide();
    }
    for (const Verdict& verdict : verdicts)
        verdict.hook(verdict.decision);
}

std::vector<Scheduler::Verdict> Scheduler::decide()
{
    waiting_.sort([](const Waiting& a, const Waiting& b) {
        return std::pair(a.job.rank, a.tag) < std::pair(b.job.rank, b.tag);
    });
    std::vector<Verdict> verdicts;
    const Millis now = options_.clock();
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (now > it->job.deadline) {
            const bool none = options_.findReplicas(it->job.model).empty();
            const Decision decision { .refusal = none ? Refusal::NoReplica : Refusal::DeadlineUnreachable, .replica = {}, .retryAfter = Millis(1000) };
            verdicts.push_back({ it->hooks.onDecision, decision });
            it = waiting_.erase(it);
            continue;
        }
        const std::optional<Replica> replica = chooseReplica(it->job);
        if (!replica) {
            ++it;
            continue;
        }
        virtualTime_ = std::max(virtualTime_, it->tag - it->job.cost / it->job.weight);
        ++inFlight_[replica->group];
        verdicts.push_back({ it->hooks.onDecision, { .refusal = Refusal::None, .replica = *replica } });
        running_[it->job.id] = { .job = it->job, .hooks = it->hooks, .group = replica->group };
        it = waiting_.erase(it);
    }
    return verdicts;
}

double Scheduler::loadOf(const Replica& replica) const
{
    uint32_t known = 0;
    if (const auto own = inFlight_.find(replica.group); own != inFlight_.end())
        known += own->second;
    for (const auto& [node, use] : peerUse_) {
        if (const auto peer = use.find(replica.group); peer != use.end())
            known += peer->second;
    }
    // The report lags and the nodes' own counts do not, but the report knows of work that no
    // living node owns.
    return std::max(known, replica.running + replica.waiting);
}

std::optional<Replica> Scheduler::chooseBaseline(const Job& job, const std::vector<Replica>& replicas) const
{
    std::vector<Replica> usable;
    std::copy_if(replicas.begin(), replicas.end(), std::back_inserter(usable), [&](const Replica& replica) {
        return std::find(job.avoidGroups.begin(), job.avoidGroups.end(), replica.group) == job.avoidGroups.end();
    });
    if (usable.empty())
        return std::nullopt;
    if (options_.policy == SchedulePolicy::RoundRobin)
        return usable[nextTurn_++ % usable.size()];
    return *std::min_element(usable.begin(), usable.end(), [this](const Replica& a, const Replica& b) {
        const auto inFlight = [this](const Replica& replica) {
            const auto own = inFlight_.find(replica.group);
            return own == inFlight_.end() ? 0U : own->second;
        };
        return inFlight(a) < inFlight(b);
    });
}

std::optional<Replica> Scheduler::chooseReplica(const Job& job) const
{
    if (options_.policy != SchedulePolicy::Full)
        return chooseBaseline(job, options_.findReplicas(job.model));
    std::optional<Replica> best;
    double bestScore = 0;
    for (const Replica& replica : options_.findReplicas(job.model)) {
        const bool isAvoided = std::find(job.avoidGroups.begin(), job.avoidGroups.end(), replica.group) != job.avoidGroups.end();
        const double load = loadOf(replica);
        if (isAvoided || load >= replica.slots)
            continue;
        const double score = load / replica.slots + (replica.domain == options_.domain ? 0.0 : 0.1);
        if (!best || score < bestScore) {
            best = replica;
            bestScore = score;
        }
    }
    return best;
}

void Scheduler::setPeerUse(const std::string& node, const std::map<std::string, uint32_t>& inFlightByGroup)
{
    std::lock_guard lock(mutex_);
    peerUse_[node] = inFlightByGroup;
}

void Scheduler::dropPeer(const std::string& node)
{
    std::lock_guard lock(mutex_);
    peerUse_.erase(node);
}

std::map<std::string, uint32_t> Scheduler::inFlightByGroup() const
{
    std::lock_guard lock(mutex_);
    return inFlight_;
}

size_t Scheduler::waitingCount() const
{
    std::lock_guard lock(mutex_);
    return waiting_.size();
}

} // namespace hemlockweir
