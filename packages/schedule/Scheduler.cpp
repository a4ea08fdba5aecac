#include "schedule/Scheduler.h"

#include "schedule/Admission.h"

#include <algorithm>

namespace hemlockweir {

// Interval at which the replicas of a model are read again. Large fleets use a longer one: 1 ms for each
// replicasPerRefreshMs replicas.
static constexpr Millis refreshInterval { 20 };
static constexpr size_t replicasPerRefreshMs = 10;

// One priority may fill at most 1/rankQueueDivisor of the queue, and one caller at one priority at most
// 1/callerQueueDivisor.
static constexpr size_t rankQueueDivisor = 2;
static constexpr size_t callerQueueDivisor = 4;

// A request is preempted at most this many times.
static constexpr uint32_t maxPreemptions = 2;

// A preempted job may wait at least this long for another slot.
static constexpr Millis preemptedTimeout { 30000 };

static constexpr Millis minRetryAfter { 100 };
static constexpr Millis maxRetryAfter { 30000 };

SchedulePolicy parseSchedulePolicy(const std::string& name)
{
    if (name == "no_admission")
        return SchedulePolicy::NoAdmission;
    if (name == "round_robin")
        return SchedulePolicy::RoundRobin;
    if (name == "least_in_flight")
        return SchedulePolicy::LeastInFlight;
    return SchedulePolicy::Full;
}

// Returns whether the policy sends each job to a replica immediately, without queueing.
static bool isBaseline(SchedulePolicy policy)
{
    return policy == SchedulePolicy::RoundRobin || policy == SchedulePolicy::LeastInFlight;
}

Scheduler::Scheduler(SchedulerOptions options)
    : options_(std::move(options))
{
}

void Scheduler::DeferredCalls::run() const
{
    for (const DecisionCall& decisionCall : decisions)
        decisionCall.hook(decisionCall.decision);
    for (const auto& hook : preempted) {
        if (hook)
            hook();
    }
}

Pool& Scheduler::poolOf(const std::string& model)
{
    const auto found = pools_.find(model);
    if (found != pools_.end())
        return found->second;
    Pool& pool = pools_.emplace(model, Pool { .chooser = ReplicaChooser({ .domain = options_.domain, .random = options_.random }) }).first->second;
    peers_.applyTo(pool, options_.clock());
    return pool;
}

void Scheduler::refreshReplicas(const std::string& model, Pool& pool, Millis now)
{
    const Millis interval = std::max(refreshInterval, Millis(pool.chooser.size() / replicasPerRefreshMs));
    if (pool.refreshedAt.count() >= 0 && now - pool.refreshedAt < interval && pool.chooser.size() > 0)
        return;
    pool.refreshedAt = now;
    pool.chooser.setReplicas(options_.findReplicas(model), peers_.sharers(options_.node), now);
}

void Scheduler::submit(const Job& job, JobHooks hooks)
{
    DeferredCalls calls;
    bool isWaiting = false;
    {
        std::lock_guard lock(mutex_);
        const Millis now = options_.clock();
        Pool& pool = poolOf(job.model);
        refreshReplicas(job.model, pool, now);
        pool.ranks[job.rank].floorShare = job.floorShare;
        if (const std::optional<Refusal> refusal = findRefusal(job, pool, now)) {
            calls.decisions.push_back({ hooks.onDecision, makeRefusal(*refusal, job, pool, now) });
        } else {
            enqueue(job, pool, now);
            waiting_[job.id] = { .job = job, .hooks = std::move(hooks) };
            grantAll(job.model, pool, now, calls);
            isWaiting = waiting_.contains(job.id);
        }
    }
    calls.run();
    if (isWaiting && options_.onWaiting)
        options_.onWaiting();
}

void Scheduler::enqueue(const Job& job, Pool& pool, Millis now)
{
    FairQueue& queue = pool.ranks[job.rank].queue;
    if (job.preemptions == 0) {
        queue.push(job.id, job.caller, job.weight);
        expiries_.emplace(job.deadline, job.id);
        return;
    }
    // A preempted job already started in time, so its deadline no longer applies and its work is not discarded.
    queue.pushFront(job.id, job.caller, job.weight);
    expiries_.emplace(std::max(job.deadline, now + preemptedTimeout), job.id);
}

bool Scheduler::isQueueFull(const Job& job, const Pool& pool) const
{
    if (waiting_.size() >= options_.maxWaiting)
        return true;
    const FairQueue& queue = pool.ranks.at(job.rank).queue;
    return queue.size() * rankQueueDivisor >= std::max(options_.maxWaiting, rankQueueDivisor)
        || queue.sizeOf(job.caller) * callerQueueDivisor >= std::max(options_.maxWaiting, callerQueueDivisor);
}

std::optional<Refusal> Scheduler::findRefusal(const Job& job, Pool& pool, Millis now)
{
    if (waiting_.size() >= options_.maxWaiting)
        return Refusal::QueueFull;
    if (isBaseline(options_.policy))
        return std::nullopt;
    if (isQueueFull(job, pool))
        return Refusal::QueueFull;
    if (!job.avoidGroups.empty())
        return retryBudget_.tryConsume(job.caller) ? std::nullopt : std::optional(Refusal::RetryBudget);
    retryBudget_.credit(job.caller);
    // A job that already ran is not refused because of its deadline.
    if (options_.policy == SchedulePolicy::NoAdmission || job.preemptions > 0 || pool.chooser.size() == 0)
        return std::nullopt;
    return canMeetTarget(job, pool, now) ? std::nullopt : std::optional(Refusal::DeadlineUnreachable);
}

Decision Scheduler::makeRefusal(Refusal refusal, const Job& job, const Pool& pool, Millis now)
{
    const Millis wait(static_cast<int64_t>(expectedWaitMs(job, pool, now)));
    return { .refusal = refusal, .replica = {}, .retryAfter = std::clamp(wait, minRetryAfter, maxRetryAfter) };
}

Scheduler::Waiting Scheduler::removeWaiting(uint64_t jobId)
{
    Waiting waiting = std::move(waiting_.extract(jobId).mapped());
    poolOf(waiting.job.model).ranks[waiting.job.rank].queue.remove(jobId, waiting.job.caller);
    return waiting;
}

void Scheduler::refuse(uint64_t jobId, Refusal refusal, Millis now, DeferredCalls& calls)
{
    const Waiting waiting = removeWaiting(jobId);
    calls.decisions.push_back({ waiting.hooks.onDecision, makeRefusal(refusal, waiting.job, poolOf(waiting.job.model), now) });
}

void Scheduler::refuseExpired(Millis now, DeferredCalls& calls)
{
    while (!expiries_.empty() && expiries_.begin()->first < now) {
        const uint64_t jobId = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        const auto waiting = waiting_.find(jobId);
        if (waiting == waiting_.end())
            continue;
        const bool hasReplica = poolOf(waiting->second.job.model).chooser.size() > 0;
        refuse(jobId, hasReplica ? Refusal::DeadlineUnreachable : Refusal::NoReplica, now, calls);
    }
}

void Scheduler::grant(Pool& pool, uint64_t jobId, const Replica& replica, Millis now, DeferredCalls& calls)
{
    const Waiting waiting = removeWaiting(jobId);
    RankState& rank = pool.ranks[waiting.job.rank];
    ++rank.running;
    rank.recentGrants.add(1, now);
    rank.queue.charge(waiting.job.caller, waiting.job.cost, now);
    pool.chooser.noteGranted(waiting.job, replica.group);
    ++inFlight_[replica.group];
    running_[jobId] = { .job = waiting.job, .hooks = waiting.hooks, .group = replica.group, .grantedAt = now };
    if (waiting.job.rank > 0 && waiting.job.preemptions < maxPreemptions)
        pool.preemptible.add({ .rank = waiting.job.rank, .grantedAt = now, .job = jobId });
    calls.decisions.push_back({ waiting.hooks.onDecision, { .refusal = Refusal::None, .replica = replica } });
}

// Refuses a job that can no longer be on time, so that jobs queued behind it still can.
bool Scheduler::refuseIfTooLate(const Pool& pool, const Job& job, Millis now, DeferredCalls& calls)
{
    if (options_.policy == SchedulePolicy::NoAdmission || !isTooLate(job, pool, now))
        return false;
    refuse(job.id, Refusal::DeadlineUnreachable, now, calls);
    return true;
}

// Returns the job that would be preempted next.
static std::optional<PreemptibleJob> nextVictim(const Pool& pool)
{
    return pool.preemptible.next([&pool](uint32_t rank) { return !isBelowFloor(pool, rank); });
}

bool Scheduler::grantFrom(Pool& pool, uint32_t rankNumber, Millis now, DeferredCalls& calls)
{
    RankState& rank = pool.ranks[rankNumber];
    while (const std::optional<uint64_t> next = rank.queue.front(now)) {
        const Job job = waiting_.at(*next).job;
        if (refuseIfTooLate(pool, job, now, calls))
            continue;
        // A slot freed by preemption is available sooner than one after queueing in an engine.
        const bool mayQueue = !nextVictim(pool);
        const Candidate candidate = pool.chooser.choose(job, now, mayQueue);
        if (!candidate.replica)
            return false;
        grant(pool, *next, *candidate.replica, now, calls);
        return true;
    }
    return false;
}

bool Scheduler::grantNext(Pool& pool, Millis now, DeferredCalls& calls)
{
    // Priorities below their floor go first: the floors are small, and more urgent work gets the remaining slots.
    for (auto& [number, rank] : pool.ranks) {
        if (number > 0 && rank.queue.size() > 0 && isBelowFloor(pool, number) && grantFrom(pool, number, now, calls))
            return true;
    }
    for (auto& [number, rank] : pool.ranks) {
        if (rank.queue.size() > 0 && mayAcquireSlot(pool, number, now) && grantFrom(pool, number, now, calls))
            return true;
    }
    return false;
}

void Scheduler::grantBaseline(const std::string& model, Pool& pool, Millis now, DeferredCalls& calls)
{
    std::vector<uint64_t> jobs;
    for (const auto& [id, waiting] : waiting_) {
        if (waiting.job.model == model)
            jobs.push_back(id);
    }
    if (jobs.empty())
        return;
    const std::vector<Replica> replicas = options_.findReplicas(model);
    const auto inFlight = [this](const Replica& replica) {
        const auto found = inFlight_.find(replica.group);
        return found == inFlight_.end() ? 0U : found->second;
    };
    for (const uint64_t id : jobs) {
        std::vector<Replica> usable = replicas;
        const std::vector<std::string>& avoided = waiting_.at(id).job.avoidGroups;
        std::erase_if(usable, [&](const Replica& replica) { return std::find(avoided.begin(), avoided.end(), replica.group) != avoided.end(); });
        if (usable.empty())
            continue;
        const bool isRoundRobin = options_.policy == SchedulePolicy::RoundRobin;
        const Replica chosen = isRoundRobin ? usable[nextRoundRobinIndex_++ % usable.size()]
                                            : *std::min_element(usable.begin(), usable.end(), [&](const Replica& a, const Replica& b) { return inFlight(a) < inFlight(b); });
        grant(pool, id, chosen, now, calls);
    }
}

void Scheduler::grantAll(const std::string& model, Pool& pool, Millis now, DeferredCalls& calls)
{
    if (isBaseline(options_.policy)) {
        grantBaseline(model, pool, now, calls);
        return;
    }
    while (grantNext(pool, now, calls)) { }
    preempt(pool, now, calls);
}

// Preempts a job of a priority above its floor while the most urgent jobs are waiting.
void Scheduler::preempt(Pool& pool, Millis now, DeferredCalls& calls)
{
    const auto urgent = pool.ranks.find(0);
    if (urgent == pool.ranks.end() || urgent->second.queue.size() == 0 || !mayAcquireSlot(pool, 0, now))
        return;
    if (pool.preemptible.pending(now) >= urgent->second.queue.size())
        return;
    const std::optional<PreemptibleJob> victim = nextVictim(pool);
    if (!victim)
        return;
    pool.preemptible.remove(*victim);
    pool.preemptible.noteRequested(now);
    Running& running = running_.at(victim->job);
    running.preemptedAt = now;
    calls.preempted.push_back(running.hooks.onPreempt);
}

void Scheduler::cancel(uint64_t jobId)
{
    std::lock_guard lock(mutex_);
    if (waiting_.contains(jobId))
        removeWaiting(jobId);
}

void Scheduler::noteFirstToken(uint64_t jobId)
{
    std::lock_guard lock(mutex_);
    const auto found = running_.find(jobId);
    if (found == running_.end() || found->second.firstTokenAt.count() > 0)
        return;
    Running& running = found->second;
    running.firstTokenAt = options_.clock();
    const Millis latency = running.firstTokenAt - running.grantedAt;
    Pool& pool = poolOf(running.job.model);
    pool.ranks[running.job.rank].firstTokenMs.add(static_cast<double>(latency.count()));
    pool.chooser.noteFirstToken(running.group, latency, running.firstTokenAt);
}

void Scheduler::finish(uint64_t jobId)
{
    DeferredCalls calls;
    {
        std::lock_guard lock(mutex_);
        const auto found = running_.find(jobId);
        if (found == running_.end())
            return;
        const Running running = std::move(running_.extract(found).mapped());
        const Millis now = options_.clock();
        if (const auto use = inFlight_.find(running.group); --use->second == 0)
            inFlight_.erase(use);
        Pool& pool = poolOf(running.job.model);
        --pool.ranks[running.job.rank].running;
        pool.preemptible.remove({ .rank = running.job.rank, .grantedAt = running.grantedAt, .job = jobId });
        if (running.preemptedAt.count() > 0)
            pool.preemptible.noteSlotReturned();
        const Millis generated = running.firstTokenAt.count() > 0 && running.preemptedAt.count() == 0 ? now - running.firstTokenAt : Millis(0);
        pool.chooser.noteFinished(running.group, now - running.grantedAt, generated, running.job.cost, now);
        grantAll(running.job.model, pool, now, calls);
    }
    calls.run();
}

void Scheduler::pump()
{
    DeferredCalls calls;
    {
        std::lock_guard lock(mutex_);
        const Millis now = options_.clock();
        refuseExpired(now, calls);
        peers_.removeUnresponsive(pools_, now);
        for (auto& [model, pool] : pools_) {
            refreshReplicas(model, pool, now);
            grantAll(model, pool, now, calls);
            recordIdleSlots(pool, now);
        }
        pumpedAt_ = now;
    }
    calls.run();
}

void Scheduler::recordIdleSlots(const Pool& pool, Millis now)
{
    if (pumpedAt_.count() == 0)
        return;
    const double seconds = static_cast<double>((now - pumpedAt_).count()) / 1000;
    const IdleSlots idle = findIdleSlots(pool, now);
    idleSeconds_.notAsked += seconds * idle.notAsked;
    idleSeconds_.keptForUrgent += seconds * idle.keptForUrgent;
    idleSeconds_.notFound += seconds * idle.notFound;
}

IdleSlots Scheduler::idleSlotSeconds() const
{
    std::lock_guard lock(mutex_);
    return idleSeconds_;
}

void Scheduler::setPeerUse(const std::string& node, const NodeUse& use)
{
    std::lock_guard lock(mutex_);
    peers_.set(node, use, pools_, options_.clock());
}

void Scheduler::dropPeer(const std::string& node)
{
    std::lock_guard lock(mutex_);
    peers_.remove(node, pools_, options_.clock());
}

NodeUse Scheduler::use() const
{
    std::lock_guard lock(mutex_);
    NodeUse use { .inFlightByGroup = inFlight_, .callers = {} };
    const Millis now = options_.clock();
    for (const auto& [model, pool] : pools_) {
        for (const auto& [number, rank] : pool.ranks) {
            for (const CallerTokens& row : rank.queue.tokensByCaller(now))
                use.callers.push_back({ .model = model, .rank = number, .caller = row.caller, .tokens = row.tokens });
        }
    }
    return use;
}

size_t Scheduler::waitingCount() const
{
    std::lock_guard lock(mutex_);
    return waiting_.size();
}

std::vector<RankLoad> Scheduler::loads() const
{
    std::lock_guard lock(mutex_);
    std::map<uint32_t, RankLoad> byRank;
    for (const auto& [model, pool] : pools_) {
        for (const auto& [number, rank] : pool.ranks) {
            RankLoad& load = byRank[number];
            load.rank = number;
            load.waiting += rank.queue.size();
            load.running += rank.running;
        }
    }
    std::vector<RankLoad> loads;
    loads.reserve(byRank.size());
    for (const auto& [number, load] : byRank)
        loads.push_back(load);
    return loads;
}

} // namespace hemlockweir
