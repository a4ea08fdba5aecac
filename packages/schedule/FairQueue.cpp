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

double FairQueue::weightedUse(const std::string& caller, const CallerQueue& queue, Millis now) const
{
    return used_.at(caller, now) / queue.weight;
}

bool FairQueue::isBelowMeanUse(const std::string& caller, Millis now) const
{
    std::vector<double> uses;
    uses.reserve(queues_.size());
    for (const auto& [name, queue] : queues_)
        uses.push_back(weightedUse(name, queue, now));
    const auto own = queues_.find(caller);
    return isBelowMean(own == queues_.end() ? used_.at(caller, now) : weightedUse(caller, own->second, now), uses);
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
        ahead += turnsBefore(usedAtTurn, weightedUse(name, queue, now), std::max(cost, 1.0) / queue.weight, queue.jobs.size());
    }
    return ahead;
}

void FairQueue::charge(const std::string& caller, double tokens, Millis now)
{
    queues_.try_emplace(caller);
    used_.charge(caller, tokens, now);
}

std::vector<CallerTokens> FairQueue::tokensByCaller(Millis now) const
{
    constexpr double minTokens = 0.5;
    std::vector<CallerTokens> all;
    for (const auto& [caller, tokens] : used_.own(now, minTokens))
        all.push_back({ .caller = caller, .tokens = tokens });
    return all;
}

} // namespace hemlockweir
