#include "schedule/FairQueue.h"

#include <algorithm>

namespace hemlockweir {

void FairQueue::push(uint64_t job, const std::string& caller, double weight)
{
    CallerQueue& queue = queues_[caller];
    queue.weight = weight;
    queue.jobs.push_back(job);
    ++size_;
}

void FairQueue::pushFront(uint64_t job, const std::string& caller, double weight)
{
    CallerQueue& queue = queues_[caller];
    queue.weight = weight;
    queue.jobs.push_front(job);
    ++size_;
}

void FairQueue::remove(uint64_t job, const std::string& caller)
{
    const auto queue = queues_.find(caller);
    if (queue == queues_.end())
        return;
    size_ -= std::erase(queue->second.jobs, job);
}

size_t FairQueue::sizeOf(const std::string& caller) const
{
    const auto queue = queues_.find(caller);
    return queue == queues_.end() ? 0 : queue->second.jobs.size();
}

double FairQueue::peerUse(const std::string& caller) const
{
    double used = 0;
    for (const auto& [node, tokens] : peerTokens_) {
        if (const auto found = tokens.find(caller); found != tokens.end())
            used += found->second;
    }
    return used;
}

double FairQueue::weightedUse(const std::string& caller, const CallerQueue& queue, Millis now) const
{
    return (queue.used.at(now) + peerUse(caller)) / queue.weight;
}

bool FairQueue::isBelowMeanUse(const std::string& caller, Millis now) const
{
    constexpr double minTokens = 0.5;
    double sum = 0;
    double callers = 0;
    for (const auto& [name, queue] : queues_) {
        const double used = weightedUse(name, queue, now);
        if (used < minTokens)
            continue;
        sum += used;
        ++callers;
    }
    const auto own = queues_.find(caller);
    const double ownUsed = own == queues_.end() ? peerUse(caller) : weightedUse(caller, own->second, now);
    return callers > 0 && ownUsed * callers < sum;
}

std::optional<uint64_t> FairQueue::front(Millis now) const
{
    const CallerQueue* best = nullptr;
    double lowestUse = 0;
    for (const auto& [caller, queue] : queues_) {
        if (queue.jobs.empty())
            continue;
        const double used = weightedUse(caller, queue, now);
        if (!best || used < lowestUse) {
            best = &queue;
            lowestUse = used;
        }
    }
    return best ? std::optional(best->jobs.front()) : std::nullopt;
}

double FairQueue::jobsAhead(const std::string& caller, double weight, double cost, Millis now) const
{
    const auto own = queues_.find(caller);
    const double ownJobs = own == queues_.end() ? 0 : static_cast<double>(own->second.jobs.size());
    const double ownUsed = own == queues_.end() ? 0 : weightedUse(caller, own->second, now);
    const double usedAtTurn = ownUsed + ownJobs * cost / weight;
    double ahead = ownJobs;
    for (const auto& [name, queue] : queues_) {
        if (name == caller || queue.jobs.empty())
            continue;
        const double turns = (usedAtTurn - weightedUse(name, queue, now)) * queue.weight / std::max(cost, 1.0) + 1;
        ahead += std::clamp(turns, 0.0, static_cast<double>(queue.jobs.size()));
    }
    return ahead;
}

void FairQueue::charge(const std::string& caller, double tokens, Millis now)
{
    queues_[caller].used.add(tokens, now);
}

void FairQueue::setPeerTokens(const std::string& node, const std::map<std::string, double>& tokensByCaller)
{
    peerTokens_[node] = tokensByCaller;
}

std::vector<CallerTokens> FairQueue::tokensByCaller(Millis now) const
{
    constexpr double minTokens = 0.5;
    std::vector<CallerTokens> all;
    for (const auto& [caller, queue] : queues_) {
        if (const double tokens = queue.used.at(now); tokens >= minTokens)
            all.push_back({ .caller = caller, .tokens = tokens });
    }
    return all;
}

} // namespace hemlockweir
