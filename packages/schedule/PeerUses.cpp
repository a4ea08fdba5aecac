#include "schedule/PeerUses.h"

#include <utility>

namespace hemlockweir {

void PeerUses::replace(const std::string& node, const NodeUse& before, const NodeUse& after, Pools& pools, Millis now)
{
    for (auto& [model, pool] : pools) {
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
            rank.queue.setPeerTokens(node, tokens[number], now);
    }
}

void PeerUses::set(const std::string& node, const NodeUse& use, Pools& pools, Millis now)
{
    Peer& peer = peers_[node];
    const NodeUse before = std::exchange(peer.use, use);
    peer.receivedAt = now;
    replace(node, before, use, pools, now);
}

void PeerUses::remove(const std::string& node, Pools& pools, Millis now)
{
    const auto found = peers_.find(node);
    if (found == peers_.end())
        return;
    replace(node, found->second.use, {}, pools, now);
    peers_.erase(found);
    for (auto& [model, pool] : pools) {
        for (auto& [number, rank] : pool.ranks)
            rank.queue.dropPeer(node, now);
    }
}

void PeerUses::removeUnresponsive(Pools& pools, Millis now)
{
    constexpr Millis checkInterval { 200 };
    constexpr Millis peerTimeout { 2000 };
    if (now - checkedAt_ < checkInterval)
        return;
    checkedAt_ = now;
    std::vector<std::string> unresponsive;
    for (const auto& [node, peer] : peers_) {
        if (now - peer.receivedAt > peerTimeout)
            unresponsive.push_back(node);
    }
    for (const std::string& node : unresponsive)
        remove(node, pools, now);
}

void PeerUses::applyTo(Pool& pool, Millis now) const
{
    for (const auto& [node, peer] : peers_) {
        for (const auto& [group, count] : peer.use.inFlightByGroup)
            pool.chooser.addPeerUse(group, static_cast<int>(count), now);
    }
}

SlotSharers PeerUses::sharers(const std::string& ownNode) const
{
    const auto before = static_cast<size_t>(std::distance(peers_.begin(), peers_.lower_bound(ownNode)));
    return { .count = peers_.size() + 1, .position = before };
}

} // namespace hemlockweir
