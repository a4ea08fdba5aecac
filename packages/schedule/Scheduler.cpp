#include "schedule/Scheduler.h"

#include <algorithm>

namespace hemlockweir {

// The replicas of a model are read again after this time, or longer in large fleets.
static constexpr Millis refreshInterval { 20 };
static constexpr size_t replicasPerRefreshMs = 10;

// Share of the slots kept free for the most urgent work while there is some.
static constexpr double headroomShare = 0.15;

// Most of the queue that one priority, and one caller at one priority, may fill.
static constexpr size_t ranksPerQueue = 2;
static constexpr size_t callersPerQueue = 4;

// A request gives its slot back at most this often.
static constexpr uint32_t maxPreemptions = 2;

// A job that was asked to yield and did not in this time keeps its slot.
static constexpr Millis preemptTimeout { 200 };

// A job that gave its slot back waits at least this long for another.
static constexpr Millis yieldedPatience { 30000 };

static constexpr Millis leastRetryAfter { 100 };
static constexpr Millis mostRetryAfter { 30000 };

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

void Scheduler::Calls::run() const
{
    for (const Verdict& verdict : verdicts)
        verdict.hook(verdict.decision);
    for (const auto& hook : preempted) {
        if (hook)
            hook();
    }
}

Scheduler::Pool& Scheduler::poolOf(const std::string& model)
{
    const auto found = pools_.find(model);
    if (found != pools_.end())
        return found->second;
    Pool& pool = pools_.emplace(model, Pool { .chooser = ReplicaChooser({ .domain = options_.domain, .random = options_.random }), .ranks = {} }).first->second;
    const Millis now = options_.clock();
    for (const auto& [node, peer] : peers_) {
        for (const auto& [group, count] : peer.use.inFlightByGroup)
            pool.chooser.addPeerUse(group, static_cast<int>(count), now);
    }
    return pool;
}

SlotSharers Scheduler::sharers() const
{
    const auto before = static_cast<size_t>(std::distance(peers_.begin(), peers_.lower_bound(options_.node)));
    return { .count = peers_.size() + 1, .own = before };
}

void Scheduler::refresh(const std::string& model, Pool& pool, Millis now)
{
    const Millis interval = std::max(refreshInterval, Millis(pool.chooser.size() / replicasPerRefreshMs));
    if (pool.refreshedAt.count() >= 0 && now - pool.refreshedAt < interval && pool.chooser.size() > 0)
        return;
    pool.refreshedAt = now;
    pool.chooser.setReplicas(options_.findReplicas(model), sharers(), now);
}

void Scheduler::submit(const Job& job, JobHooks hooks)
{
    Calls calls;
    bool isWaiting = false;
    {
        std::lock_guard lock(mutex_);
        const Millis now = options_.clock();
        Pool& pool = poolOf(job.model);
        refresh(job.model, pool, now);
        pool.ranks[job.rank].floorShare = job.floorShare;
        if (const std::optional<Refusal> refusal = refusalOf(job, pool, now)) {
            calls.verdicts.push_back({ hooks.onDecision, makeRefusal(*refusal, job, pool, now) });
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
    // It has started in time: the deadline is past for it, and its work is not thrown away.
    queue.pushFirst(job.id, job.caller, job.weight);
    expiries_.emplace(std::max(job.deadline, now + yieldedPatience), job.id);
}

bool Scheduler::isFull(const Job& job, const Pool& pool) const
{
    if (waiting_.size() >= options_.maxWaiting)
        return true;
    const FairQueue& queue = pool.ranks.at(job.rank).queue;
    return queue.size() * ranksPerQueue >= std::max(options_.maxWaiting, ranksPerQueue)
        || queue.sizeOf(job.caller) * callersPerQueue >= std::max(options_.maxWaiting, callersPerQueue);
}

std::optional<Refusal> Scheduler::refusalOf(const Job& job, Pool& pool, Millis now)
{
    if (waiting_.size() >= options_.maxWaiting)
        return Refusal::QueueFull;
    if (options_.policy != SchedulePolicy::Full)
        return std::nullopt;
    if (isFull(job, pool))
        return Refusal::QueueFull;
    if (!job.avoidGroups.empty())
        return retries_.take(job.caller) ? std::nullopt : std::optional(Refusal::RetryBudget);
    retries_.earn(job.caller);
    // Work that was begun is not given up for a lack of time.
    if (job.preemptions > 0 || pool.chooser.size() == 0)
        return std::nullopt;
    // What starts at once is not refused by a measurement: only by running does the pool show that
    // it is fast again.
    const Rank& rank = pool.ranks[job.rank];
    if (rank.queue.size() == 0 && mayTake(pool, job.rank, now))
        return std::nullopt;
    const double firstTokenAt = static_cast<double>(now.count()) + expectedWaitMs(job, pool, now) + rank.firstTokenMs.upperOr(pool.chooser.firstTokenMs());
    if (firstTokenAt > static_cast<double>(job.dueAt().count()))
        return Refusal::DeadlineUnreachable;
    return std::nullopt;
}

double Scheduler::expectedWaitMs(const Job& job, const Pool& pool, Millis now) const
{
    const double holdMs = pool.chooser.holdMs();
    const Rank& rank = pool.ranks.at(job.rank);
    if (holdMs <= 0 || (rank.queue.size() == 0 && mayTake(pool, job.rank, now)))
        return 0;
    const double slotsPerMs = pool.chooser.capacity() / holdMs;
    double leftPerMs = slotsPerMs * (1 - reservedFor(pool, job.rank));
    double urgentAhead = 0;
    for (const auto& [other, load] : pool.ranks) {
        if (other >= job.rank)
            break;
        leftPerMs -= load.granted.ratePerMs(now);
        urgentAhead += static_cast<double>(load.queue.size());
    }
    const double turns = rank.queue.aheadOf(job.caller, job.weight, job.cost, now) + 1;
    // What more urgent work leaves, or the floor, whichever is sooner.
    constexpr double leastShare = 0.01;
    const double afterUrgent = (turns + urgentAhead) / std::max(leftPerMs, leastShare * slotsPerMs);
    const double byFloor = turns / (std::max(rank.floorShare, leastShare) * slotsPerMs);
    return std::min(afterUrgent, byFloor);
}

Decision Scheduler::makeRefusal(Refusal refusal, const Job& job, const Pool& pool, Millis now) const
{
    const Millis wait(static_cast<int64_t>(expectedWaitMs(job, pool, now)));
    return { .refusal = refusal, .replica = {}, .retryAfter = std::clamp(wait, leastRetryAfter, mostRetryAfter) };
}

double Scheduler::runningIn(const Pool& pool)
{
    double running = 0;
    for (const auto& [rank, load] : pool.ranks)
        running += load.running;
    return running;
}

double Scheduler::reservedFor(const Pool& pool, uint32_t besides)
{
    double reserved = 0;
    for (const auto& [rank, load] : pool.ranks) {
        if (rank > besides && load.queue.size() > 0)
            reserved += load.floorShare;
    }
    return reserved;
}

double Scheduler::headroom(const Pool& pool, Millis now)
{
    constexpr double fewJobs = 0.1;
    const auto urgent = pool.ranks.find(0);
    const bool isNeeded = urgent != pool.ranks.end() && (urgent->second.running > 0 || urgent->second.granted.at(now) > fewJobs);
    return isNeeded ? std::max(1.0, headroomShare * pool.chooser.capacity()) : 0;
}

bool Scheduler::isBelowFloor(const Pool& pool, uint32_t rank)
{
    const Rank& load = pool.ranks.at(rank);
    return load.running < load.floorShare * pool.chooser.capacity();
}

double Scheduler::urgentLimit(const Pool& pool, Millis now)
{
    // A burst may run into the floors of the rest, and queue briefly in the engines; a flood not.
    constexpr double burstShare = 0.35;
    constexpr double floodAt = 0.6;
    const double capacity = pool.chooser.capacity();
    const double limit = capacity * (1 - reservedFor(pool, 0));
    const double usedLately = pool.ranks.at(0).granted.ratePerMs(now) * pool.chooser.holdMs();
    return usedLately < floodAt * limit ? limit + burstShare * capacity : limit;
}

bool Scheduler::mayTake(const Pool& pool, uint32_t rank, Millis now)
{
    const double capacity = pool.chooser.capacity();
    if (isBelowFloor(pool, rank))
        return true;
    if (rank == 0)
        return pool.ranks.at(0).running + 1 <= std::max(1.0, urgentLimit(pool, now));
    const double open = capacity - headroom(pool, now);
    // A node with hardly a slot of its own still serves when nothing else runs.
    return runningIn(pool) < std::max(1.0, open);
}

Scheduler::Waiting Scheduler::takeWaiting(uint64_t jobId)
{
    Waiting waiting = std::move(waiting_.extract(jobId).mapped());
    poolOf(waiting.job.model).ranks[waiting.job.rank].queue.remove(jobId, waiting.job.caller);
    return waiting;
}

void Scheduler::refuse(uint64_t jobId, Refusal refusal, Millis now, Calls& calls)
{
    const Waiting waiting = takeWaiting(jobId);
    calls.verdicts.push_back({ waiting.hooks.onDecision, makeRefusal(refusal, waiting.job, poolOf(waiting.job.model), now) });
}

void Scheduler::refuseExpired(Millis now, Calls& calls)
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

void Scheduler::grant(Pool& pool, uint64_t jobId, const Replica& replica, Millis now, Calls& calls)
{
    const Waiting waiting = takeWaiting(jobId);
    Rank& rank = pool.ranks[waiting.job.rank];
    ++rank.running;
    rank.granted.add(1, now);
    rank.queue.charge(waiting.job.caller, waiting.job.cost, now);
    pool.chooser.noteGranted(waiting.job, replica.group);
    ++inFlight_[replica.group];
    running_[jobId] = { .job = waiting.job, .hooks = waiting.hooks, .group = replica.group, .grantedAt = now };
    if (waiting.job.rank > 0 && waiting.job.preemptions < maxPreemptions)
        pool.yieldable.insert({ waiting.job.rank, now, jobId });
    calls.verdicts.push_back({ waiting.hooks.onDecision, { .refusal = Refusal::None, .replica = replica } });
}

// While others behind it can still be on time, a job that can not is refused in their favour.
bool Scheduler::refuseStale(Pool& pool, Rank& rank, const Job& job, Millis now, Calls& calls)
{
    const Millis latestGrant = job.dueAt() - Millis(static_cast<int64_t>(rank.firstTokenMs.upperOr(pool.chooser.firstTokenMs())));
    const bool isStale = now > latestGrant && job.avoidGroups.empty() && job.preemptions == 0;
    if (!isStale || static_cast<double>(rank.queue.size()) <= pool.chooser.capacity() / 4)
        return false;
    refuse(job.id, Refusal::DeadlineUnreachable, now, calls);
    return true;
}

bool Scheduler::grantFrom(Pool& pool, uint32_t rankNumber, Millis now, Calls& calls)
{
    Rank& rank = pool.ranks[rankNumber];
    while (const std::optional<uint64_t> next = rank.queue.front(now)) {
        const Job job = waiting_.at(*next).job;
        if (refuseStale(pool, rank, job, now, calls))
            continue;
        const Candidate candidate = pool.chooser.choose(job, now);
        if (!candidate.replica)
            return false;
        grant(pool, *next, *candidate.replica, now, calls);
        return true;
    }
    return false;
}

bool Scheduler::grantNext(Pool& pool, Millis now, Calls& calls)
{
    // Floors first: they are small, and more urgent work has the rest.
    for (auto& [number, rank] : pool.ranks) {
        if (number > 0 && rank.queue.size() > 0 && isBelowFloor(pool, number) && grantFrom(pool, number, now, calls))
            return true;
    }
    for (auto& [number, rank] : pool.ranks) {
        if (rank.queue.size() > 0 && mayTake(pool, number, now) && grantFrom(pool, number, now, calls))
            return true;
    }
    return false;
}

void Scheduler::grantBaseline(const std::string& model, Pool& pool, Millis now, Calls& calls)
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
        const bool takesTurns = options_.policy == SchedulePolicy::RoundRobin;
        const Replica chosen = takesTurns ? usable[nextTurn_++ % usable.size()]
                                          : *std::min_element(usable.begin(), usable.end(), [&](const Replica& a, const Replica& b) { return inFlight(a) < inFlight(b); });
        grant(pool, id, chosen, now, calls);
    }
}

void Scheduler::grantAll(const std::string& model, Pool& pool, Millis now, Calls& calls)
{
    if (options_.policy != SchedulePolicy::Full) {
        grantBaseline(model, pool, now, calls);
        return;
    }
    while (grantNext(pool, now, calls)) { }
    preempt(pool, now, calls);
}

Scheduler::Running* Scheduler::findVictim(Pool& pool)
{
    // The least urgent priority that has more than its floor, and of its jobs the one that has done least.
    for (auto rank = pool.ranks.rbegin(); rank != pool.ranks.rend() && rank->first > 0; ++rank) {
        if (rank->second.running == 0 || isBelowFloor(pool, rank->first))
            continue;
        const auto after = pool.yieldable.lower_bound({ rank->first + 1, Millis(0), 0 });
        if (after != pool.yieldable.begin() && std::prev(after)->rank == rank->first)
            return &running_.at(std::prev(after)->job);
    }
    return nullptr;
}

void Scheduler::preempt(Pool& pool, Millis now, Calls& calls)
{
    const auto urgent = pool.ranks.find(0);
    if (urgent == pool.ranks.end() || urgent->second.queue.size() == 0 || !mayTake(pool, 0, now))
        return;
    while (!pool.preemptedAt.empty() && now - pool.preemptedAt.front() >= preemptTimeout)
        pool.preemptedAt.pop_front();
    if (pool.preemptedAt.size() >= urgent->second.queue.size())
        return;
    Running* victim = findVictim(pool);
    if (!victim)
        return;
    pool.yieldable.erase({ victim->job.rank, victim->grantedAt, victim->job.id });
    pool.preemptedAt.push_back(now);
    victim->preemptedAt = now;
    calls.preempted.push_back(victim->hooks.onPreempt);
}

void Scheduler::cancel(uint64_t jobId)
{
    std::lock_guard lock(mutex_);
    if (waiting_.contains(jobId))
        takeWaiting(jobId);
}

void Scheduler::noteFirstToken(uint64_t jobId)
{
    std::lock_guard lock(mutex_);
    const auto found = running_.find(jobId);
    if (found == running_.end() || found->second.firstTokenAt.count() > 0)
        return;
    Running& running = found->second;
    running.firstTokenAt = options_.clock();
    const Millis took = running.firstTokenAt - running.grantedAt;
    Pool& pool = poolOf(running.job.model);
    pool.ranks[running.job.rank].firstTokenMs.add(static_cast<double>(took.count()));
    pool.chooser.noteFirstToken(running.group, took, running.firstTokenAt);
}

void Scheduler::finish(uint64_t jobId)
{
    Calls calls;
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
        pool.yieldable.erase({ running.job.rank, running.grantedAt, jobId });
        if (running.preemptedAt.count() > 0 && !pool.preemptedAt.empty())
            pool.preemptedAt.pop_front();
        const Millis generated = running.firstTokenAt.count() > 0 && running.preemptedAt.count() == 0 ? now - running.firstTokenAt : Millis(0);
        pool.chooser.noteFinished(running.group, now - running.grantedAt, generated, running.job.cost, now);
        grantAll(running.job.model, pool, now, calls);
    }
    calls.run();
}

void Scheduler::pump()
{
    Calls calls;
    {
        std::lock_guard lock(mutex_);
        const Millis now = options_.clock();
        refuseExpired(now, calls);
        forgetSilentPeers(now);
        for (auto& [model, pool] : pools_) {
            refresh(model, pool, now);
            grantAll(model, pool, now, calls);
        }
    }
    calls.run();
}

void Scheduler::replaceUse(const std::string& node, const NodeUse& before, const NodeUse& after, Millis now)
{
    for (auto& [model, pool] : pools_) {
        for (const auto& [group, count] : before.inFlightByGroup)
            pool.chooser.addPeerUse(group, -static_cast<int>(count), now);
        for (const auto& [group, count] : after.inFlightByGroup)
            pool.chooser.addPeerUse(group, static_cast<int>(count), now);
        std::map<uint32_t, std::map<std::string, double>> tokens;
        for (const CallerTokensRow& row : after.callers) {
            if (row.model == model)
                tokens[row.rank][row.caller] = row.tokens;
        }
        for (auto& [number, rank] : pool.ranks)
            rank.queue.setPeerTokens(node, tokens[number]);
    }
}

void Scheduler::setPeerUse(const std::string& node, const NodeUse& use)
{
    std::lock_guard lock(mutex_);
    const Millis now = options_.clock();
    Peer& peer = peers_[node];
    const NodeUse before = std::exchange(peer.use, use);
    peer.heardAt = now;
    replaceUse(node, before, use, now);
}

void Scheduler::forget(const std::string& node, Millis now)
{
    const auto found = peers_.find(node);
    if (found == peers_.end())
        return;
    replaceUse(node, found->second.use, {}, now);
    peers_.erase(found);
    for (auto& [model, pool] : pools_) {
        for (auto& [number, rank] : pool.ranks)
            rank.queue.dropPeer(node);
    }
}

void Scheduler::dropPeer(const std::string& node)
{
    std::lock_guard lock(mutex_);
    forget(node, options_.clock());
}

void Scheduler::forgetSilentPeers(Millis now)
{
    constexpr Millis checkInterval { 200 };
    constexpr Millis silence { 2000 };
    if (now - peersCheckedAt_ < checkInterval)
        return;
    peersCheckedAt_ = now;
    std::vector<std::string> silent;
    for (const auto& [node, peer] : peers_) {
        if (now - peer.heardAt > silence)
            silent.push_back(node);
    }
    for (const std::string& node : silent)
        forget(node, now);
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
