#include "membership/SenderCheck.h"

#include "base/Rendezvous.h"

#include <algorithm>

namespace hemlockweir {

bool ReplayWindow::accept(uint64_t sequence)
{
    if (sequence > highest_) {
        const uint64_t step = sequence - highest_;
        seen_ = step < width ? seen_ << step : std::bitset<width>();
        seen_.set(0);
        highest_ = sequence;
        return true;
    }
    const uint64_t behind = highest_ - sequence;
    if (behind >= width || seen_.test(behind))
        return false;
    seen_.set(behind);
    return true;
}

SenderCheck::SenderCheck(Options options)
    : options_(options)
{
}

SenderVerdict SenderCheck::check(const Sender& sender)
{
    const auto found = senders_.find(sender.node);
    if (found == senders_.end())
        return SenderVerdict::Challenge;
    State& state = found->second;
    if (state.incarnation == sender.incarnation)
        return state.window.accept(sender.sequence) ? SenderVerdict::Accept : SenderVerdict::Refuse;
    const bool isRetired = std::find(state.retired.begin(), state.retired.end(), sender.incarnation) != state.retired.end();
    return isRetired ? SenderVerdict::Refuse : SenderVerdict::Challenge;
}

bool SenderCheck::acceptRelayed(const Sender& sender)
{
    const auto found = senders_.find(sender.node);
    if (found != senders_.end() && found->second.incarnation == sender.incarnation)
        return found->second.window.accept(sender.sequence);
    if (!relayed_.contains(sender.node) && relayed_.size() >= options_.maxSenders)
        relayed_.erase(relayed_.begin());
    State& state = relayed_[sender.node];
    if (state.incarnation != sender.incarnation) {
        state.incarnation = sender.incarnation;
        state.window = ReplayWindow(sender.sequence);
        return true;
    }
    return state.window.accept(sender.sequence);
}

uint64_t SenderCheck::nonceAt(const Sender& sender, int64_t period) const
{
    return stableHash(std::to_string(options_.secret) + "/" + sender.node + "/" + std::to_string(sender.incarnation) + "/" + std::to_string(period));
}

uint64_t SenderCheck::nonceFor(const Sender& sender, Millis now) const
{
    return nonceAt(sender, now / options_.challengeTimeout);
}

bool SenderCheck::confirm(const Sender& sender, uint64_t nonce, Millis now)
{
    const int64_t period = now / options_.challengeTimeout;
    if (nonce != nonceAt(sender, period) && nonce != nonceAt(sender, period - 1))
        return false;
    if (!senders_.contains(sender.node) && senders_.size() >= options_.maxSenders)
        return false;
    State& state = senders_[sender.node];
    const bool isRetired = std::find(state.retired.begin(), state.retired.end(), sender.incarnation) != state.retired.end();
    if (isRetired || state.incarnation == sender.incarnation)
        return !isRetired;
    constexpr size_t maxRetired = 8;
    if (state.incarnation != 0)
        state.retired.push_back(state.incarnation);
    if (state.retired.size() > maxRetired)
        state.retired.erase(state.retired.begin());
    state.incarnation = sender.incarnation;
    state.window = ReplayWindow(sender.sequence);
    return true;
}

void SenderCheck::forget(const std::string& node)
{
    senders_.erase(node);
}

} // namespace hemlockweir
