#include "schedule/ReplicaChooser.h"

#include "base/StableHash.h"

#include <algorithm>

namespace hemlockweir {

// Number of replicas compared for one job. Smaller fleets are compared completely.
static constexpr size_t sampleSize = 16;

// Penalty in ms for a replica outside this node's failure domain.
static constexpr double crossDomainPenaltyMs = 5;

// Random amount in ms, at most this, added to each score so that nodes do not all choose the same replica.
static constexpr double jitterMs = 4;

// Penalty in ms for a full replica, proportional to its load: a larger batch slows down every request in it.
static constexpr double fullBatchPenaltyMs = 20;

// Time constant in ms with which measurements of one replica lose weight against the mean of all, so that a slow
// replica is tried again.
static constexpr double measurementDecayMs = 5000;

// Time until the other nodes have received a report that includes a new job.
static constexpr Millis peerReportLag { 250 };

// Limit of the tokens for which a replica's time per token counts in its score.
static constexpr double maxWeighedTokens = 20;

uint32_t ownSlots(const std::string& group, uint32_t slots, const SlotSharers& sharers)
{
    const uint64_t hash = extendStableHash(stableHashStart, group);
    const size_t offset = (sharers.position + sharers.count - hash % sharers.count) % sharers.count;
    const uint32_t each = slots / static_cast<uint32_t>(sharers.count);
    return each + (offset < slots % sharers.count ? 1 : 0);
}

ReplicaChooser::ReplicaChooser(ReplicaChooserOptions options)
    : options_(std::move(options))
{
}

void ReplicaChooser::setReplicas(std::vector<Replica> replicas, const SlotSharers& sharers, Millis now)
{
    replicas_ = std::move(replicas);
    local_.clear();
    indexOf_.clear();
    for (size_t i = 0; i < replicas_.size(); ++i) {
        const Replica& replica = replicas_[i];
        indexOf_[replica.group] = i;
        if (replica.domain == options_.domain)
            local_.push_back(i);
        Load& load = loads_[replica.group];
        load.ownedSlots = ownSlots(replica.group, replica.slots, sharers);
        updateUnattributedJobs(replica, load);
        updateJobLimit(replica, load, sharers.count, now);
    }
    std::erase_if(loads_, [this](const auto& entry) { return entry.second.ownJobs == 0 && entry.second.peerJobs == 0 && !indexOf_.contains(entry.first); });
    updateCapacity(now);
}

// Updates the estimate of jobs on a replica that no node counts. Reports are older than the nodes' own counts, so they
// are used for this estimate only.
void ReplicaChooser::updateUnattributedJobs(const Replica& replica, Load& load)
{
    constexpr double knownWeight = 0.1;
    constexpr double reportWeight = 0.3;
    const double knownJobs = load.ownJobs + std::max(0, load.peerJobs);
    load.knownJobs += knownWeight * (knownJobs - load.knownJobs);
    if (replica.reportedAt == load.reportedAt)
        return;
    load.reportedAt = replica.reportedAt;
    const double surplus = static_cast<double>(replica.running) + replica.waiting - std::max(knownJobs, load.knownJobs);
    load.unattributedJobs = std::max(0.0, load.unattributedJobs + reportWeight * (surplus - load.unattributedJobs));
}

// Updates how many jobs this node may run on a replica, including borrowed slots. All nodes see the same free slots and
// learn only after a delay who uses them, so until then each node borrows at most an equal fraction of them. The
// fraction of a slot is rounded up or down at random.
void ReplicaChooser::updateJobLimit(const Replica& replica, Load& load, size_t sharers, Millis now)
{
    if (load.jobLimitAt.count() > 0 && now - load.jobLimitAt < peerReportLag)
        return;
    load.jobLimitAt = now;
    const double reserved = std::max(load.ownJobs, load.ownedSlots);
    const double free = replica.slots - reserved - load.recentPeerJobs.at(now) - load.unattributedJobs;
    const double slotsPerSharer = std::max(0.0, free) / static_cast<double>(sharers);
    const double wholeSlots = std::floor(slotsPerSharer);
    const bool roundsUp = static_cast<double>(options_.random() % 1024) < 1024 * (slotsPerSharer - wholeSlots);
    load.jobLimit = reserved + wholeSlots + (roundsUp ? 1 : 0);
}

void ReplicaChooser::updateCapacity(Millis now)
{
    capacity_ = 0;
    for (const Replica& replica : replicas_) {
        const Load& load = loads_[replica.group];
        const double unused = replica.slots - load.recentPeerJobs.at(now) - load.unattributedJobs;
        capacity_ += std::max<double>(load.ownedSlots, std::min(load.jobLimit, unused));
    }
}

void ReplicaChooser::addPeerUse(const std::string& group, int difference, Millis now)
{
    Load& load = loads_[group];
    load.peerJobs += difference;
    load.recentPeerJobs.set(std::max(0, load.peerJobs), now);
}

std::vector<size_t> ReplicaChooser::sampleReplicas(const std::optional<Affinity>& affinity)
{
    std::vector<size_t> sample;
    if (replicas_.size() <= sampleSize) {
        for (size_t i = 0; i < replicas_.size(); ++i)
            sample.push_back(i);
        return sample;
    }
    if (const auto found = indexOf_.find(affinity ? affinity->group : std::string()); found != indexOf_.end())
        sample.push_back(found->second);
    while (!recentlyFreed_.empty() && sample.size() < sampleSize / 4) {
        if (const auto found = indexOf_.find(recentlyFreed_.back()); found != indexOf_.end())
            sample.push_back(found->second);
        recentlyFreed_.pop_back();
    }
    while (!local_.empty() && sample.size() < sampleSize * 3 / 4)
        sample.push_back(local_[options_.random() % local_.size()]);
    while (sample.size() < sampleSize)
        sample.push_back(options_.random() % replicas_.size());
    return sample;
}

bool ReplicaChooser::hasSlot(const Job& job, const Replica& replica, const Load& load, Millis now, bool mayQueue) const
{
    if (std::find(job.avoidGroups.begin(), job.avoidGroups.end(), replica.group) != job.avoidGroups.end())
        return false;
    const double all = load.ownJobs + load.recentPeerJobs.at(now) + load.unattributedJobs;
    const bool mayBorrow = job.rank == 0 || load.ownJobs < load.jobLimit;
    if (load.ownJobs < load.ownedSlots || (mayBorrow && all + 1 <= replica.slots))
        return true;
    const uint32_t queued = std::max(1U, replica.slots / 4);
    return mayQueue && job.rank == 0 && load.ownJobs < load.ownedSlots + queued && all + 1 <= replica.slots + queued;
}

double ReplicaChooser::scoreOf(const Job& job, const Replica& replica, const Load& load, Millis now) const
{
    const double measurementWeight = std::exp(-static_cast<double>((now - load.sampledAt).count()) / measurementDecayMs);
    const auto measured = [measurementWeight](const MovingAverage& replicaAverage, const MovingAverage& all) {
        return all.valueOr(0) + measurementWeight * (replicaAverage.valueOr(all.valueOr(0)) - all.valueOr(0));
    };
    const double loadFraction = (load.ownJobs + std::max(0, load.peerJobs) + load.unattributedJobs) / std::max(1U, replica.slots);
    const double queued = std::max(0.0, loadFraction * replica.slots + 1 - replica.slots);
    return measured(load.firstTokenMs, firstTokenMs_) + std::min(job.cost, maxWeighedTokens) * measured(load.tokenMs, tokenMs_)
        + queued * holdMs() / std::max(1U, replica.slots) + fullBatchPenaltyMs * loadFraction + (replica.domain == options_.domain ? 0 : crossDomainPenaltyMs);
}

Candidate ReplicaChooser::choose(const Job& job, Millis now, bool mayQueue)
{
    Candidate best;
    const std::optional<Affinity> affinity = affinities_.find(job.prefix);
    for (const size_t index : sampleReplicas(affinity)) {
        const Replica& replica = replicas_[index];
        const Load& load = loads_[replica.group];
        if (!hasSlot(job, replica, load, now, mayQueue))
            continue;
        const double jitter = jitterMs * static_cast<double>(options_.random() % 1024) / 1024;
        // Time saved by the prefix cache is weighed against load and failure domain in ms, like any other time.
        const double saved = affinity && affinity->group == replica.group ? affinity->fraction * firstTokenMs_.valueOr(0) : 0;
        const double score = scoreOf(job, replica, load, now) + jitter - saved;
        if (!best.replica || score < best.scoreMs)
            best = { .replica = &replica, .scoreMs = score };
    }
    return best;
}

void ReplicaChooser::noteGranted(const Job& job, const std::string& group)
{
    ++loads_[group].ownJobs;
    affinities_.record(job.prefix, group);
}

void ReplicaChooser::noteFirstToken(const std::string& group, Millis latency, Millis now)
{
    Load& load = loads_[group];
    load.firstTokenMs.add(static_cast<double>(latency.count()));
    load.sampledAt = now;
    firstTokenMs_.add(static_cast<double>(latency.count()));
}

void ReplicaChooser::noteFinished(const std::string& group, Millis holdTime, Millis generated, double tokens, Millis now)
{
    Load& load = loads_[group];
    if (load.ownJobs > 0)
        --load.ownJobs;
    recentlyFreed_.push_back(group);
    if (recentlyFreed_.size() > sampleSize)
        recentlyFreed_.erase(recentlyFreed_.begin());
    holdMs_.add(static_cast<double>(holdTime.count()));
    if (generated.count() <= 0 || tokens < 1)
        return;
    load.tokenMs.add(static_cast<double>(generated.count()) / tokens);
    load.sampledAt = now;
    tokenMs_.add(static_cast<double>(generated.count()) / tokens);
}

} // namespace hemlockweir
