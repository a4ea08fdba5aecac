#include "schedule/FairQueue.h"

#include <algorithm>

namespace hemlockweir {

void FairQueue::push(uint64_t job, const std::string& caller, double weight)
{
    Line& line = lines_[caller];
    line.weight = weight;
    line.jobs.push_back(job);
    ++size_;
}

void FairQueue::pushFirst(uint64_t job, const std::string& caller, double weight)
{
    Line& line = lines_[caller];
    line.weight = weight;
    line.jobs.push_front(job);
    ++size_;
}

void FairQueue::remove(uint64_t job, const std::string& caller)
{
    const auto line = lines_.find(caller);
    if (line == lines_.end())
        return;
    size_ -= std::erase(line->second.jobs, job);
}

size_t FairQueue::sizeOf(const std::string& caller) const
{
    const auto line = lines_.find(caller);
    return line == lines_.end() ? 0 : line->second.jobs.size();
}

double FairQueue::usedByPeers(const std::string& caller) const
{
    double used = 0;
    for (const auto& [node, tokens] : peers_) {
        if (const auto found = tokens.find(caller); found != tokens.end())
            used += found->second;
    }
    return used;
}

double FairQueue::usedAnywhere(const std::string& caller, const Line& line, Millis now) const
{
    return (line.used.at(now) + usedByPeers(caller)) / line.weight;
}

bool FairQueue::isBelowMeanUse(const std::string& caller, Millis now) const
{
    constexpr double leastTokens = 0.5;
    double sum = 0;
    double callers = 0;
    for (const auto& [name, line] : lines_) {
        const double used = usedAnywhere(name, line, now);
        if (used < leastTokens)
            continue;
        sum += used;
        ++callers;
    }
    const auto own = lines_.find(caller);
    const double ownUsed = own == lines_.end() ? usedByPeers(caller) : usedAnywhere(caller, own->second, now);
    return callers > 0 && ownUsed * callers < sum;
}

std::optional<uint64_t> FairQueue::front(Millis now) const
{
    const Line* best = nullptr;
    double least = 0;
    for (const auto& [caller, line] : lines_) {
        if (line.jobs.empty())
            continue;
        const double used = usedAnywhere(caller, line, now);
        if (!best || used < least) {
            best = &line;
            least = used;
        }
    }
    return best ? std::optional(best->jobs.front()) : std::nullopt;
}

double FairQueue::aheadOf(const std::string& caller, double weight, double cost, Millis now) const
{
    const auto own = lines_.find(caller);
    const double ownJobs = own == lines_.end() ? 0 : static_cast<double>(own->second.jobs.size());
    const double ownUsed = own == lines_.end() ? 0 : usedAnywhere(caller, own->second, now);
    const double usedAtTurn = ownUsed + ownJobs * cost / weight;
    double ahead = ownJobs;
    for (const auto& [name, line] : lines_) {
        if (name == caller || line.jobs.empty())
            continue;
        const double turns = (usedAtTurn - usedAnywhere(name, line, now)) * line.weight / std::max(cost, 1.0) + 1;
        ahead += std::clamp(turns, 0.0, static_cast<double>(line.jobs.size()));
    }
    return ahead;
}

void FairQueue::charge(const std::string& caller, double tokens, Millis now)
{
    lines_[caller].used.add(tokens, now);
}

void FairQueue::setPeerTokens(const std::string& node, const std::map<std::string, double>& tokensByCaller)
{
    peers_[node] = tokensByCaller;
}

std::vector<CallerTokens> FairQueue::tokensByCaller(Millis now) const
{
    constexpr double leastTokens = 0.5;
    std::vector<CallerTokens> all;
    for (const auto& [caller, line] : lines_) {
        if (const double tokens = line.used.at(now); tokens >= leastTokens)
            all.push_back({ .caller = caller, .tokens = tokens });
    }
    return all;
}

} // namespace hemlockweir
