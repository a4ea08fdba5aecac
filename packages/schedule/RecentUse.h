#pragma once

#include "schedule/Decayed.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

// The recent use of each caller over this node and its peers, for fair shares. Use decays with a time constant, so a share
// that a caller does not use goes to the others, who are not charged for it for long. Keys identify callers; the unit of use
// is the user's: tokens, or ms of engine time.

namespace hemlockweir {

// Time constant of the decay of use.
inline constexpr Millis recentUseTime { 3000 };

template <class Key>
class RecentUse {
public:
    // Charges use at this node.
    void charge(const Key& caller, double amount, Millis now)
    {
        Entry& entry = entries_[caller];
        entry.own.add(amount, now);
        entry.total.add(amount, now);
    }

    // Replaces the use that a node reported. It decays until the next report, as the node's own sum does.
    void setPeer(const std::string& node, const std::map<Key, double>& uses, Millis now)
    {
        dropPeer(node, now);
        for (const auto& [caller, use] : uses)
            entries_[caller].total.add(use, now);
        peers_.insert_or_assign(node, Peer { uses, now });
    }

    // Removes the use that a node reported.
    void dropPeer(const std::string& node, Millis now)
    {
        const auto found = peers_.find(node);
        if (found == peers_.end())
            return;
        constexpr double negligible = 0.001;
        for (const auto& [caller, use] : found->second.uses) {
            DecayedSum& total = entries_[caller].total;
            total.add(-decayed(use, now - found->second.receivedAt), now);
            if (total.at(now) < negligible)
                entries_.erase(caller);
        }
        peers_.erase(found);
    }

    // Removes the peers whose last report was before this time.
    void dropPeersBefore(Millis oldest, Millis now)
    {
        std::vector<std::string> silent;
        for (const auto& [node, peer] : peers_) {
            if (peer.receivedAt < oldest)
                silent.push_back(node);
        }
        for (const std::string& node : silent)
            dropPeer(node, now);
    }

    // Forgets the callers for which the predicate is false.
    template <class Predicate>
    void retainIf(Predicate predicate)
    {
        const auto isForgotten = [&](const auto& entry) { return !predicate(entry.first); };
        std::erase_if(entries_, isForgotten);
        for (auto& [node, peer] : peers_)
            std::erase_if(peer.uses, isForgotten);
    }

    // Returns a caller's recent use over all nodes.
    double at(const Key& caller, Millis now) const
    {
        const auto found = entries_.find(caller);
        return found == entries_.end() ? 0 : std::max(0.0, found->second.total.at(now));
    }

    // Returns the recent use at this node, by caller, without what is below `smallest`.
    std::map<Key, double> own(Millis now, double smallest) const
    {
        std::map<Key, double> uses;
        for (const auto& [caller, entry] : entries_) {
            if (const double use = entry.own.at(now); use >= smallest)
                uses.emplace(caller, use);
        }
        return uses;
    }

private:
    struct Entry {
        DecayedSum own { recentUseTime }; // at this node
        DecayedSum total { recentUseTime }; // at this node and its peers
    };
    struct Peer {
        std::map<Key, double> uses;
        Millis receivedAt { 0 };
    };

    static double decayed(double use, Millis age) { return use * std::exp(-static_cast<double>(age.count()) / static_cast<double>(recentUseTime.count())); }

    std::map<Key, Entry> entries_;
    std::map<std::string, Peer> peers_; // by node
};

// Returns how many of another caller's `waiting` jobs start before a job whose caller's use, divided by its weight, will be
// `usedAtTurn` when it is the job's turn. `otherUsed` is the other caller's use, divided by its weight; `perJob` is what one
// of its jobs adds to that.
inline double turnsBefore(double usedAtTurn, double otherUsed, double perJob, size_t waiting)
{
    return std::clamp((usedAtTurn - otherUsed) / perJob + 1, 0.0, static_cast<double>(waiting));
}

// Returns whether a use is below the mean of all uses that are noticeable.
template <class Uses>
bool isBelowMean(double use, const Uses& uses)
{
    constexpr double noticeable = 0.5;
    double sum = 0;
    double count = 0;
    for (const double other : uses) {
        if (other < noticeable)
            continue;
        sum += other;
        ++count;
    }
    return count > 0 && use * count < sum;
}

} // namespace hemlockweir
