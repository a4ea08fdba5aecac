#include "schedule/ReplicaChooser.h"

#include "base/StableHash.h"

#include <algorithm>

namespace hemlockweir {

// Replicas looked at for one job; in smaller fleets all are.
static constexpr size_t sampleSize = 16;

// ms that a job's first token may come later for staying in the node's failure domain.
static constexpr double otherDomainMs = 5;

// ms over which ties are broken by chance, so that nodes do not all take the same replica.
static constexpr double jitterMs = 4;

// ms by which a full replica is worse than an empty one, for the tokens of all slow down.
static constexpr double fullBatchMs = 20;

// ms after which half of what was measured on a replica is forgotten, so that it is tried again.
static constexpr double probeAfterMs = 5000;

// Time until the other nodes have heard of a job.
static constexpr Millis usageLag { 250 };

// Tokens of a job over which a slow replica is held against it.
static constexpr double mostTokensWeighed = 20;

uint32_t ownSlots(const std::string& group, uint32_t slots, const SlotSharers& sharers)
{
    const uint64_t hash = extendStableHash(stableHashStart, group);
    const size_t offset = (sharers.own + sharers.count - hash % sharers.count) % sharers.count;
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
        load.share = ownSlots(replica.group, replica.slots, sharers);
        correctReport(replica, load);
        borrow(replica, load, sharers.count, now);
    }
    std::erase_if(loads_, [this](const auto& entry) { return entry.second.own == 0 && entry.second.peers == 0 && !indexOf_.contains(entry.first); });
    updateCapacity(now);
}

// A report is older than the nodes' own counts, so it only tells of work that no node counts.
void ReplicaChooser::correctReport(const Replica& replica, Load& load)
{
    constexpr double knownWeight = 0.1;
    constexpr double reportWeight = 0.3;
    const double known = load.own + std::max(0, load.peers);
    load.known += knownWeight * (known - load.known);
    if (replica.reportedAt == load.reportedAt)
        return;
    load.reportedAt = replica.reportedAt;
    const double surplus = static_cast<double>(replica.running) + replica.waiting - std::max(known, load.known);
    load.foreign = std::max(0.0, load.foreign + reportWeight * (surplus - load.foreign));
}

// All nodes see the same free slots, and hear late who took them: in that time each takes no more
// than its part of them, rounded by chance.
void ReplicaChooser::borrow(const Replica& replica, Load& load, size_t sharers, Millis now)
{
    if (load.allowedAt.count() > 0 && now - load.allowedAt < usageLag)
        return;
    load.allowedAt = now;
    const double kept = std::max(load.own, load.share);
    const double free = replica.slots - kept - load.peersLately.at(now) - load.foreign;
    const double part = std::max(0.0, free) / static_cast<double>(sharers);
    const double whole = std::floor(part);
    const bool roundsUp = static_cast<double>(options_.random() % 1024) < 1024 * (part - whole);
    load.allowed = kept + whole + (roundsUp ? 1 : 0);
}

void ReplicaChooser::updateCapacity(Millis now)
{
    capacity_ = 0;
    for (const Replica& replica : replicas_) {
        const Load& load = loads_[replica.group];
        const double unused = replica.slots - load.peersLately.at(now) - load.foreign;
        capacity_ += std::max<double>(load.share, std::min(load.allowed, unused));
    }
}

void ReplicaChooser::addPeerUse(const std::string& group, int difference, Millis now)
{
    Load& load = loads_[group];
    load.peers += difference;
    load.peersLately.set(std::max(0, load.peers), now);
}

std::vector<size_t> ReplicaChooser::pickSample(const std::optional<Affinity>& affinity)
{
    std::vector<size_t> sample;
    if (replicas_.size() <= sampleSize) {
        for (size_t i = 0; i < replicas_.size(); ++i)
            sample.push_back(i);
        return sample;
    }
    if (const auto found = indexOf_.find(affinity ? affinity->group : std::string()); found != indexOf_.end())
        sample.push_back(found->second);
    while (!freed_.empty() && sample.size() < sampleSize / 4) {
        if (const auto found = indexOf_.find(freed_.back()); found != indexOf_.end())
            sample.push_back(found->second);
        freed_.pop_back();
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
    const double all = load.own + load.peersLately.at(now) + load.foreign;
    const bool mayBorrow = job.rank == 0 || load.own < load.allowed;
    if (load.own < load.share || (mayBorrow && all + 1 <= replica.slots))
        return true;
    const uint32_t queued = std::max(1U, replica.slots / 4);
    return mayQueue && job.rank == 0 && load.own < load.share + queued && all + 1 <= replica.slots + queued;
}

double ReplicaChooser::scoreOf(const Job& job, const Replica& replica, const Load& load, Millis now) const
{
    const double trust = std::exp(-static_cast<double>((now - load.sampledAt).count()) / probeAfterMs);
    const auto measured = [trust](const Average& own, const Average& all) {
        return all.valueOr(0) + trust * (own.valueOr(all.valueOr(0)) - all.valueOr(0));
    };
    const double load01 = (load.own + std::max(0, load.peers) + load.foreign) / std::max(1U, replica.slots);
    const double queued = std::max(0.0, load01 * replica.slots + 1 - replica.slots);
    return measured(load.firstTokenMs, firstTokenMs_) + std::min(job.cost, mostTokensWeighed) * measured(load.tokenMs, tokenMs_)
        + queued * holdMs() / std::max(1U, replica.slots) + fullBatchMs * load01 + (replica.domain == options_.domain ? 0 : otherDomainMs);
}

Candidate ReplicaChooser::choose(const Job& job, Millis now, bool mayQueue)
{
    Candidate best;
    const std::optional<Affinity> affinity = affinities_.find(job.prefix);
    for (const size_t index : pickSample(affinity)) {
        const Replica& replica = replicas_[index];
        const Load& load = loads_[replica.group];
        if (!hasSlot(job, replica, load, now, mayQueue))
            continue;
        const double jitter = jitterMs * static_cast<double>(options_.random() % 1024) / 1024;
        // What the prefix cache saves counts against load and distance like any other time.
        const double saved = affinity && affinity->group == replica.group ? affinity->share * firstTokenMs_.valueOr(0) : 0;
        const double score = scoreOf(job, replica, load, now) + jitter - saved;
        if (!best.replica || score < best.firstTokenMs)
            best = { .replica = &replica, .firstTokenMs = score };
    }
    return best;
}

void ReplicaChooser::noteGranted(const Job& job, const std::string& group)
{
    ++loads_[group].own;
    affinities_.record(job.prefix, group);
}

void ReplicaChooser::noteFirstToken(const std::string& group, Millis took, Millis now)
{
    Load& load = loads_[group];
    load.firstTokenMs.add(static_cast<double>(took.count()));
    load.sampledAt = now;
    firstTokenMs_.add(static_cast<double>(took.count()));
}

void ReplicaChooser::noteFinished(const std::string& group, Millis held, Millis generated, double tokens, Millis now)
{
    Load& load = loads_[group];
    if (load.own > 0)
        --load.own;
    freed_.push_back(group);
    if (freed_.size() > sampleSize)
        freed_.erase(freed_.begin());
    holdMs_.add(static_cast<double>(held.count()));
    if (generated.count() <= 0 || tokens < 1)
        return;
    load.tokenMs.add(static_cast<double>(generated.count()) / tokens);
    load.sampledAt = now;
    tokenMs_.add(static_cast<double>(generated.count()) / tokens);
}

} // namespace hemlockweir
