#include "replicas/DomainValue.h"

#include <algorithm>
#include <bit>

namespace hemlockweir {

// Weight of the value after a loss relative to the value now.
static constexpr double lossWeight = 1;
// A gain below this is a rounding error.
static constexpr double minGain = 1e-6;

// Searches the numbers of replicas of each model for the highest value. The hosts suffice for a combination if for
// each set of models enough hosts are warm for one of them (Hall's theorem).
class CombinationSearch {
public:
    CombinationSearch(const HostCounts& hosts, const std::vector<ModelWeight>& models)
        : models_(models)
        , modelCount_(std::min(models.size(), maxCopyModels))
    {
        for (ModelSet set = 1; set < modelSetCount; ++set) {
            for (ModelSet warm = 1; warm < modelSetCount; ++warm)
                available_[set] += (set & warm) != 0 ? hosts[warm] : 0;
        }
    }

    double run()
    {
        search(0, 0);
        return best_;
    }

private:
    void search(size_t model, double value)
    {
        best_ = std::max(best_, value);
        if (model == modelCount_)
            return;
        const ModelWeight& weight = models_[model];
        const uint32_t before = needed_[model];
        do {
            search(model + 1, value);
            needed_[model] += static_cast<uint32_t>(weight.size);
            value += static_cast<double>(weight.size) * weight.engineValue;
        } while (sufficesFor(model));
        needed_[model] = before;
    }

    // Returns whether the hosts suffice for the chosen replicas of each set of models that contains this one.
    bool sufficesFor(size_t model) const
    {
        for (ModelSet set = 1; set < ModelSet { 1 } << modelCount_; ++set) {
            if ((set >> model & 1) == 0)
                continue;
            uint32_t needed = 0;
            for (size_t other = 0; other < modelCount_; ++other)
                needed += (set >> other & 1) != 0 ? needed_[other] : 0;
            if (needed > available_[set])
                return false;
        }
        return true;
    }

    const std::vector<ModelWeight>& models_;
    size_t modelCount_;
    HostCounts available_ {}; // hosts that are warm for any model of the set
    std::array<uint32_t, maxCopyModels> needed_ {}; // hosts of the chosen replicas, by model
    double best_ = 0;
};

double valueOfHosts(const HostCounts& hosts, const std::vector<ModelWeight>& models)
{
    return CombinationSearch(hosts, models).run();
}

static double replicaValue(const ModelWeight& model)
{
    return static_cast<double>(model.size) * model.engineValue;
}

static void add(HostCounts& counts, const HostCounts& other)
{
    for (size_t i = 0; i < counts.size(); ++i)
        counts[i] += other[i];
}

// The hosts of a domain, counted for the free ones and for each replica.
struct CountedDomain {
    HostCounts free {};
    std::vector<HostCounts> members; // by replica
};

static CountedDomain countHosts(const DomainState& domain)
{
    CountedDomain counted;
    counted.members.resize(domain.replicas.size());
    for (const DomainHost& host : domain.hosts)
        ++(host.replica < 0 ? counted.free : counted.members[static_cast<size_t>(host.replica)])[host.warm];
    return counted;
}

// Returns the value of the free hosts if at most one replica other than `lost` may be broken up for them.
static double valueWithBreakUp(const HostCounts& free, const CountedDomain& counted, const DomainState& domain, const std::vector<ModelWeight>& models, std::optional<size_t> lost)
{
    double best = valueOfHosts(free, models);
    for (size_t replica = 0; replica < domain.replicas.size(); ++replica) {
        if (replica == lost)
            continue;
        HostCounts more = free;
        add(more, counted.members[replica]);
        best = std::max(best, valueOfHosts(more, models) - replicaValue(models[domain.replicas[replica]]));
    }
    return best;
}

// Returns the hosts that survive the loss of a member, assuming that the lost one held the most copies.
static HostCounts countSurvivors(HostCounts members)
{
    size_t lost = 0;
    for (size_t warm = 0; warm < members.size(); ++warm) {
        if (members[warm] > 0 && std::popcount(warm) >= std::popcount(lost))
            lost = warm;
    }
    if (members[lost] > 0)
        --members[lost];
    return members;
}

double valueOfDomain(const DomainState& domain, const std::vector<ModelWeight>& models)
{
    const CountedDomain counted = countHosts(domain);
    double value = valueWithBreakUp(counted.free, counted, domain, models, std::nullopt);
    double serving = 0;
    for (const size_t model : domain.replicas)
        serving += static_cast<double>(models[model].size);
    for (size_t replica = 0; replica < domain.replicas.size(); ++replica) {
        HostCounts free = counted.free;
        add(free, countSurvivors(counted.members[replica]));
        const double chance = static_cast<double>(models[domain.replicas[replica]].size) / serving;
        value += lossWeight * chance * valueWithBreakUp(free, counted, domain, models, replica);
    }
    return value;
}

// Returns the hosts that can load the model, in the order in which they should: free hosts without a copy, other free
// hosts, members of replicas. Members are sorted by replica, because survivors of one replica serve together.
static std::vector<size_t> findCandidates(const DomainState& domain, size_t model)
{
    std::vector<size_t> candidates;
    for (size_t i = 0; i < domain.hosts.size(); ++i) {
        if (domain.hosts[i].mayLoad && (domain.hosts[i].warm >> model & 1) == 0)
            candidates.push_back(i);
    }
    const auto rank = [&](size_t index) {
        const DomainHost& host = domain.hosts[index];
        if (host.replica >= 0)
            return 2 + host.replica;
        return host.warm == host.warmAfterLoad ? 0 : 1;
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&](size_t one, size_t other) { return rank(one) < rank(other); });
    return candidates;
}

void applyCopies(DomainState& domain, const CopyChoice& choice)
{
    for (const size_t index : choice.hosts) {
        DomainHost& host = domain.hosts[index];
        host.warm = host.warmAfterLoad | ModelSet { 1 } << choice.model;
        host.mayLoad = false;
    }
}

std::optional<CopyChoice> chooseCopies(const DomainState& domain, const std::vector<ModelWeight>& models)
{
    const double before = valueOfDomain(domain, models);
    std::optional<CopyChoice> best;
    for (size_t model = 0; model < std::min(models.size(), maxCopyModels); ++model) {
        const std::vector<size_t> candidates = findCandidates(domain, model);
        // One copy alone may gain nothing where several complete a replica.
        for (size_t count = 1; count <= std::min(candidates.size(), models[model].size); ++count) {
            CopyChoice choice { .model = model, .hosts = { candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count) } };
            DomainState after = domain;
            applyCopies(after, choice);
            choice.gainPerLoad = (valueOfDomain(after, models) - before) / (static_cast<double>(count) * models[model].loadCost);
            if (choice.gainPerLoad > (best ? best->gainPerLoad : 0) + minGain)
                best = std::move(choice);
        }
    }
    return best;
}

} // namespace hemlockweir
