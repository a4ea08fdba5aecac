#include "membership/SenderCheck.h"

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
    if (found == senders_.end() || found->second.incarnation == 0 || found->second.incarnation != sender.incarnation)
        return SenderVerdict::Challenge;
    return found->second.window.accept(sender.sequence) ? SenderVerdict::Accept : SenderVerdict::Refuse;
}

std::optional<uint64_t> SenderCheck::challenge(const Sender& sender, Millis now, const Random& random)
{
    if (!senders_.contains(sender.node) && senders_.size() >= options_.maxSenders)
        return std::nullopt;
    State& state = senders_[sender.node];
    const bool isPending = state.nonce != 0 && now - state.challengedAt < options_.challengeInterval;
    if (isPending)
        return std::nullopt;
    state.challenged = sender.incarnation;
    state.nonce = random() | 1;
    state.challengedAt = now;
    return state.nonce;
}

bool SenderCheck::confirm(const Sender& sender, uint64_t nonce, Millis now)
{
    const auto found = senders_.find(sender.node);
    if (found == senders_.end())
        return false;
    State& state = found->second;
    const bool isAnswer = state.nonce != 0 && state.nonce == nonce && state.challenged == sender.incarnation && now - state.challengedAt < options_.challengeTimeout;
    if (!isAnswer)
        return false;
    state.nonce = 0;
    state.incarnation = sender.incarnation;
    state.window = ReplayWindow(sender.sequence);
    return true;
}

void SenderCheck::forget(const std::string& node)
{
    senders_.erase(node);
}

} // namespace hemlockweir
