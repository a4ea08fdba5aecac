#include "node/CallerSums.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlockweir {

// Rows of one sum: with usual names it stays near one datagram's target.
static constexpr size_t maxCallerRows = 32;

CallerSums::CallerSums(Options options)
    : options_(std::move(options))
{
}

void CallerSums::noteNode(const std::string& node, const std::vector<CallerUse>& callers, Millis now)
{
    nodes_[node] = { .callers = callers, .heardAt = now };
}

void CallerSums::dropNode(const std::string& node)
{
    nodes_.erase(node);
}

DomainUse CallerSums::make(const std::vector<CallerUse>& own, Millis now) const
{
    std::map<std::tuple<std::string, uint32_t, std::string>, float> tokens;
    auto add = [&](const std::vector<CallerUse>& callers) {
        for (const CallerUse& row : callers) {
            if (std::isfinite(row.tokens) && row.tokens > 0)
                tokens[{ row.model, row.rank, row.caller }] += row.tokens;
        }
    };
    add(own);
    for (const auto& [node, use] : nodes_) {
        if (counts(use.heardAt, now))
            add(use.callers);
    }
    DomainUse sum { .domain = options_.domain, .callers = {} };
    for (const auto& [key, value] : tokens)
        sum.callers.push_back({ .model = std::get<0>(key), .rank = std::get<1>(key), .caller = std::get<2>(key), .tokens = value });
    std::sort(sum.callers.begin(), sum.callers.end(), [](const CallerUse& a, const CallerUse& b) { return a.tokens > b.tokens; });
    sum.callers.resize(std::min(sum.callers.size(), maxCallerRows));
    return sum;
}

bool CallerSums::take(const DomainUse& sum, const Sender& sender, Millis now)
{
    if (sum.domain == options_.domain)
        return false;
    Heard& heard = sums_[sum.domain];
    const bool isSameStart = heard.sender.node == sender.node && heard.sender.incarnation == sender.incarnation;
    if (isSameStart && sender.sequence <= heard.sender.sequence)
        return false;
    heard = { .sum = sum, .sender = sender, .heardAt = now };
    return true;
}

std::vector<DomainUse> CallerSums::current(Millis now) const
{
    std::vector<DomainUse> found;
    for (const auto& [domain, heard] : sums_) {
        if (counts(heard.heardAt, now))
            found.push_back(heard.sum);
    }
    return found;
}

bool CallerSums::covers(const std::string& domain, Millis now) const
{
    const auto found = sums_.find(domain);
    return found != sums_.end() && counts(found->second.heardAt, now);
}

void CallerSums::prune(Millis now)
{
    std::erase_if(nodes_, [&](const auto& entry) { return !counts(entry.second.heardAt, now); });
    std::erase_if(sums_, [&](const auto& entry) { return !counts(entry.second.heardAt, now); });
}

} // namespace hemlockweir
