#pragma once

#include "replicas/ReplicaPlanner.h"

#include <deque>

// Simulated engines of one service for tests of the planner. Orders take effect at once, joins and loads take time, and
// the list that the planner reads shows the engines as they were some time ago.

namespace hemlockweir {

class SimulatedEngines {
public:
    struct Options {
        EngineProfile profile;
        Millis listLag { 100 }; // ms, age of the list
        Millis openTime { 300 }; // ms from an open order to a serving head
    };

    explicit SimulatedEngines(Options options)
        : options_(std::move(options))
    {
    }

    void addEngines(const std::string& fabric, size_t count, const std::string& domain = "a")
    {
        for (size_t i = 0; i < count; ++i) {
            const std::string id = fabric + "-" + std::to_string(++added_);
            engines_[id].info = { .id = id, .service = "engines", .address = "127.0.0.1", .port = 1, .domain = domain, .fabric = fabric, .startedAtMs = 1 };
        }
    }

    // From now on loads take their full time.
    void startTraffic() { hasTraffic_ = true; }

    void kill(const std::string& id) { engines_.at(id).isAlive = false; }
    bool isAlive(const std::string& id) const { return engines_.count(id) > 0 && engines_.at(id).isAlive; }

    // Removes the entry of a dead engine.
    void removeEntry(const std::string& id) { engines_.erase(id); }

    void advance(Millis time)
    {
        now_ += time;
        for (auto& [id, engine] : engines_)
            advance(engine);
        history_.push_back({ now_, snapshot() });
        while (history_.size() > 1 && history_[1].first <= now_ - options_.listLag)
            history_.pop_front();
    }

    const std::vector<EndpointInfo>& list() const { return history_.front().second; }
    Millis now() const { return now_; }

    OrderResult execute(const EngineOrder& order)
    {
        const auto found = engines_.find(order.engine);
        if (found == engines_.end() || !found->second.isAlive)
            return OrderResult::Unreachable;
        Engine& engine = found->second;
        std::optional<Membership>& membership = engine.info.membership;
        const bool isOwnGroup = membership && membership->group == order.group && membership->epoch == order.epoch;
        switch (order.kind) {
        case EngineOrderKind::Join:
            return join(engine, order);
        case EngineOrderKind::Open:
            if (!isOwnGroup || membership->state != MemberState::Ready)
                return OrderResult::Refused;
            engine.opensAt = now_ + options_.openTime;
            return OrderResult::Begun;
        case EngineOrderKind::Close:
            if (isOwnGroup)
                membership->state = MemberState::Ready;
            return OrderResult::Done;
        case EngineOrderKind::Leave:
            if (isOwnGroup) {
                membership.reset();
                engine.info.model.clear();
            }
            return OrderResult::Done;
        case EngineOrderKind::Stage:
            if (!engine.loading.empty())
                return OrderResult::Refused;
            engine.loading = order.model;
            engine.loadedAt = now_ + loadTime(order.model);
            ++loads_;
            return OrderResult::Begun;
        }
        return OrderResult::Refused;
    }

    // Returns the engines in replicas that are whole and open, by model.
    std::map<std::string, size_t> countServing() const
    {
        std::map<std::string, size_t> serving;
        for (const auto& [id, engine] : engines_) {
            if (engine.info.membership && engine.info.membership->rank == 0 && engine.info.membership->state == MemberState::Open && isWhole(engine))
                serving[engine.model] += engine.members.size();
        }
        return serving;
    }

    // Returns the engines in such replicas whose members are in several fabric domains.
    size_t countSpanning() const
    {
        size_t spanning = 0;
        for (const auto& [id, engine] : engines_) {
            if (engine.info.membership && engine.info.membership->rank == 0 && engine.info.membership->state == MemberState::Open && isWhole(engine) && isSpanning(engine))
                spanning += engine.members.size();
        }
        return spanning;
    }

    size_t countAlive() const
    {
        return static_cast<size_t>(std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) { return entry.second.isAlive; }));
    }

    // Returns the ids of live engines in replicas, in one fabric domain or in all of them.
    std::vector<std::string> findMembers(const std::string& fabric = {}) const
    {
        std::vector<std::string> found;
        for (const auto& [id, engine] : engines_) {
            if (engine.isAlive && engine.info.membership && (fabric.empty() || engine.info.fabric == fabric))
                found.push_back(id);
        }
        return found;
    }

    const std::vector<std::string>& violations() const { return violations_; }
    size_t loads() const { return loads_; }

private:
    struct Engine {
        EndpointInfo info;
        bool isAlive = true;
        std::string model; // of the current or the latest group
        std::vector<std::string> members;
        uint64_t highestEpoch = 0;
        Millis readyAt { 0 };
        Millis opensAt { 0 }; // 0: no open order
        std::string loading;
        Millis loadedAt { 0 };
    };

    Millis loadTime(const std::string& model) const { return options_.profile.findModel(model)->loadTime / (hasTraffic_ ? 1 : 10); }

    OrderResult join(Engine& engine, const EngineOrder& order)
    {
        if (order.epoch < engine.highestEpoch)
            return OrderResult::Fenced;
        if (engine.info.membership && engine.info.membership->group != order.group)
            checkHeadIsNotServing(engine, order);
        Millis time { 200 };
        if (engine.model != order.model) {
            const bool hasCopy = !engine.info.staged.empty() && engine.info.staged.front() == order.model;
            time = hasCopy ? options_.profile.findModel(order.model)->warmTime : loadTime(order.model);
            if (!hasCopy)
                engine.info.staged = { order.model };
        }
        const auto rank = std::find(order.members.begin(), order.members.end(), order.engine) - order.members.begin();
        engine.info.membership = Membership { .group = order.group, .epoch = order.epoch, .rank = static_cast<size_t>(rank), .state = MemberState::Joining };
        engine.info.model = order.model;
        engine.model = order.model;
        engine.members = order.members;
        engine.highestEpoch = order.epoch;
        engine.readyAt = now_ + time;
        engine.opensAt = Millis(0);
        return OrderResult::Begun;
    }

    void checkHeadIsNotServing(const Engine& engine, const EngineOrder& order)
    {
        const auto head = engines_.find(engine.members.front());
        const bool isServing = head != engines_.end() && head->second.isAlive && head->second.info.membership && head->second.info.membership->group == engine.info.membership->group
            && head->second.info.membership->state == MemberState::Open;
        if (isServing)
            violations_.push_back(order.engine + " was ordered to " + order.group + " while " + engine.info.membership->group + " is open");
    }

    void advance(Engine& engine)
    {
        if (!engine.isAlive)
            return;
        if (engine.info.membership && engine.info.membership->state == MemberState::Joining && now_ >= engine.readyAt)
            engine.info.membership->state = MemberState::Ready;
        if (engine.info.membership && engine.opensAt.count() > 0 && now_ >= engine.opensAt) {
            engine.info.membership->state = MemberState::Open;
            engine.opensAt = Millis(0);
        }
        if (!engine.loading.empty() && now_ >= engine.loadedAt)
            engine.info.staged = { std::exchange(engine.loading, {}) };
    }

    bool isWhole(const Engine& head) const
    {
        return std::all_of(head.members.begin(), head.members.end(), [&](const std::string& id) {
            const auto member = engines_.find(id);
            return member != engines_.end() && member->second.isAlive && member->second.info.membership && member->second.info.membership->group == head.info.membership->group;
        });
    }

    bool isSpanning(const Engine& head) const
    {
        return std::any_of(head.members.begin(), head.members.end(), [&](const std::string& id) { return engines_.at(id).info.fabric != head.info.fabric; });
    }

    std::vector<EndpointInfo> snapshot() const
    {
        std::vector<EndpointInfo> list;
        for (const auto& [id, engine] : engines_)
            list.push_back(engine.info);
        return list;
    }

    Options options_;
    std::map<std::string, Engine> engines_;
    std::deque<std::pair<Millis, std::vector<EndpointInfo>>> history_;
    std::vector<std::string> violations_;
    Millis now_ { 1000 };
    size_t added_ = 0;
    size_t loads_ = 0;
    bool hasTraffic_ = false;
};

} // namespace hemlockweir
