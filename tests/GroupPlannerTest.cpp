// Checks the planner's orders step by step, against simulated instances that follow them or not.

#include "fleet/GroupPlanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

// Simulated instances of one failure domain that follow orders at once and load in one step.
struct Pool {
    explicit Pool(const PlannerOptions& plannerOptions = {})
        : planner(withEpochs(plannerOptions))
    {
    }

    PlannerOptions withEpochs(PlannerOptions options)
    {
        options.nextEpoch = [this] { return ++epoch; };
        return options;
    }

    void add(const std::string& fabric, int count, const std::string& pool = "models")
    {
        for (int i = 0; i < count; ++i) {
            const std::string id = fabric + "-" + std::to_string(views.size());
            views[id] = { .instance = { .id = id, .address = id + ":1", .domain = "a", .fabric = fabric, .pool = pool }, .status = InstanceStatus { .id = id } };
        }
    }

    std::vector<Order> plan(Millis step = Millis(300))
    {
        now += step;
        std::vector<InstanceView> instances;
        for (auto& [id, view] : views) {
            if (!unresponsive.contains(id))
                view.polledAt = now;
            instances.push_back(view);
        }
        return planner.plan({ .domain = "a", .models = models, .instances = instances, .now = now });
    }

    // Applies an order as an engine does.
    void apply(const Order& order)
    {
        InstanceStatus& status = *views.at(order.instance).status;
        if (order.epoch < status.epoch)
            return;
        const bool joins = order.kind == OrderKind::Join;
        status.state = joins ? EngineState::Loading : EngineState::Idle;
        status.group = joins ? order.group : std::string();
        status.epoch = order.epoch;
        status.model = order.model;
        status.members = order.members;
    }

    void finishLoading()
    {
        for (auto& [id, view] : views) {
            if (view.status->state == EngineState::Loading)
                view.status->state = EngineState::Ready;
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            for (const Order& order : plan())
                apply(order);
            finishLoading();
        }
    }

    DomainView domainView() { return makeDomainView("a", snapshot = list(), now, Millis(1500)); }

    std::vector<InstanceView> list() const
    {
        std::vector<InstanceView> instances;
        for (const auto& [id, view] : views)
            instances.push_back(view);
        return instances;
    }

    std::map<std::string, int> groupsByModel()
    {
        std::map<std::string, int> counts;
        for (const AgreedGroup& group : domainView().groups)
            ++counts[group.report().model];
        return counts;
    }

    std::vector<Model> models { { .name = "m", .pool = "models", .members = 2, .replicas = 0 } };
    std::map<std::string, InstanceView> views;
    std::vector<InstanceView> snapshot;
    std::set<std::string> unresponsive;
    Millis now { 100000 };
    uint64_t epoch = 0;
    GroupPlanner planner;
};

TEST(GroupPlanner, MakesOneGroupOfTheSurvivorsOfTwo)
{
    Pool pool;
    pool.add("f", 4);
    pool.run(4);
    const std::vector<AgreedGroup> groups = pool.domainView().groups;
    ASSERT_EQ(groups.size(), 2U);
    pool.unresponsive = { groups[0].members[0]->instance.id, groups[1].members[1]->instance.id };
    pool.run(12);
    EXPECT_EQ(pool.domainView().groups.size(), 1U);
}

TEST(GroupPlanner, DoesNotReleaseSurvivorsThatNoModelNeeds)
{
    Pool pool;
    pool.add("f", 2);
    pool.run(4);
    pool.unresponsive = { pool.domainView().groups.front().members[1]->instance.id };
    for (int i = 0; i < 12; ++i)
        EXPECT_TRUE(pool.plan().empty());
    pool.unresponsive.clear();
    EXPECT_TRUE(pool.plan().empty());
    EXPECT_EQ(pool.domainView().groups.size(), 1U);
}

TEST(GroupPlanner, ReformsAGroupThatIsBrokenThoughEveryMemberReports)
{
    Pool pool;
    pool.add("f", 2);
    pool.run(4);
    for (auto& [id, view] : pool.views)
        view.status->state = EngineState::Broken;
    pool.run(4);
    EXPECT_EQ(pool.domainView().groups.size(), 1U);
}

TEST(GroupPlanner, LoadsNoMoreGroupsAtOnceThanTheLimit)
{
    Pool pool({ .maxLoadingGroups = 2 });
    pool.add("f", 12);
    EXPECT_EQ(pool.plan().size(), 4U);
    for (int i = 0; i < 20; ++i) {
        for (const Order& order : pool.plan())
            pool.apply(order);
        const std::vector<AgreedGroup> groups = pool.domainView().groups;
        EXPECT_LE(std::count_if(groups.begin(), groups.end(), [](const AgreedGroup& group) { return group.isLoading; }), 2);
        if (i % 3 == 2)
            pool.finishLoading();
    }
    EXPECT_EQ(pool.domainView().groups.size(), 6U);
}

TEST(GroupPlanner, GivesEachModelItsReplicasAndTheRestByDemand)
{
    Pool pool({ .demand = [](const Model& model) { return model.name == "busy" ? 3.0 : 1.0; } });
    pool.models = { { .name = "busy", .pool = "models", .members = 2, .replicas = 0 }, { .name = "calm", .pool = "models", .members = 2, .replicas = 0 }, { .name = "fixed", .pool = "models", .members = 4, .replicas = 2 } };
    pool.add("f", 24);
    pool.run(10);
    EXPECT_EQ(pool.groupsByModel(), (std::map<std::string, int> { { "busy", 6 }, { "calm", 2 }, { "fixed", 2 } }));
}

TEST(GroupPlanner, ReplacesALeavingGroupAndReleasesItWhenItsRequestsHaveEnded)
{
    Pool pool;
    pool.models.front().replicas = 1;
    pool.add("f", 4);
    pool.run(3);
    const InstanceView old = *pool.domainView().groups.front().leader;
    pool.views[old.status->members[1]].draining = true;
    pool.views[old.instance.id].status->running = 1;
    pool.run(20);
    EXPECT_EQ(pool.domainView().groups.size(), 2U) << "the spares serve while the previous group finishes its requests";
    EXPECT_EQ(pool.views[old.instance.id].status->epoch, old.status->epoch);
    pool.views[old.instance.id].status->running = 0;
    pool.run(2);
    EXPECT_EQ(pool.views[old.instance.id].status->state, EngineState::Idle);
    pool.run(20);
    EXPECT_EQ(pool.domainView().groups.size(), 1U);
}

TEST(GroupPlanner, EndsADrainAtItsTimeLimit)
{
    Pool pool({ .drainTimeout = Millis(5000) });
    pool.add("f", 2);
    pool.run(3);
    for (auto& [id, view] : pool.views) {
        view.draining = true;
        view.status->running = 1;
    }
    pool.run(15);
    EXPECT_EQ(pool.domainView().groups.size(), 1U);
    pool.run(5);
    EXPECT_EQ(pool.domainView().groups.size(), 0U);
}

TEST(GroupPlanner, SwapsAStragglerOutWhenASpareExists)
{
    Pool pool;
    pool.add("f", 5);
    for (auto& [id, view] : pool.views)
        view.status->stepMs = 5;
    pool.run(4);
    const std::string slow = pool.domainView().groups.front().members[1]->instance.id;
    pool.views[slow].status->stepMs = 50;
    pool.run(40);
    EXPECT_EQ(pool.domainView().groups.size(), 2U);
    EXPECT_EQ(pool.views[slow].status->state, EngineState::Idle);
    const uint64_t epoch = pool.epoch;
    pool.run(40);
    EXPECT_EQ(pool.epoch, epoch) << "a replacement is not undone or repeated";
}

TEST(GroupPlanner, PrefersHealthyInstancesToAnIdleStraggler)
{
    Pool pool;
    pool.models.front().replicas = 1;
    pool.add("f", 5);
    for (auto& [id, view] : pool.views) {
        view.status->stepMs = id == "f-0" ? 50 : 5;
        view.status->leaving = true;
    }
    pool.run(40);
    for (auto& [id, view] : pool.views)
        view.status->leaving = false;
    const std::vector<Order> orders = pool.plan();
    ASSERT_EQ(orders.size(), 2U);
    for (const Order& order : orders)
        EXPECT_NE(order.instance, "f-0");
}

TEST(GroupPlanner, ReleasesAMemberThatReturnsToADissolvedGroup)
{
    Pool pool;
    pool.models.front().replicas = 1;
    pool.add("f", 3);
    pool.views["f-2"].status = InstanceStatus { .id = "f-2", .state = EngineState::Ready, .group = "old", .epoch = 0, .model = "m", .members = { "f-1", "f-2" } };
    pool.run(4);
    EXPECT_EQ(pool.views["f-2"].status->state, EngineState::Idle);
}

TEST(GroupPlanner, DoesNotRepeatOrdersThatAreNotAppliedYet)
{
    Pool pool;
    pool.add("f", 2);
    EXPECT_EQ(pool.plan().size(), 2U);
    EXPECT_TRUE(pool.plan().empty());
    EXPECT_EQ(pool.plan(Millis(3300)).size(), 2U);
}

// Instances fail, return, leave and lose orders at random. Finally all are healthy again, and the
// planner must form as many groups as fit.
RC_GTEST_PROP(GroupPlanner, KeepsItsInvariantsAndConverges, ())
{
    Pool pool;
    const auto members = static_cast<uint32_t>(*rc::gen::inRange(1, 5));
    pool.models.front().members = members;
    const std::vector<int> fabrics { *rc::gen::inRange(0, 10), *rc::gen::inRange(0, 10) };
    pool.add("f", fabrics[0]);
    pool.add("g", fabrics[1]);
    const auto steps = *rc::gen::inRange(0, 40);
    for (int i = 0; i < steps; ++i) {
        for (auto& [id, view] : pool.views) {
            switch (*rc::gen::inRange(0, 60)) {
            case 0:
                pool.unresponsive.insert(id);
                break;
            case 1: // returns with its previous state
                pool.unresponsive.erase(id);
                break;
            case 2: // returns after a restart
                pool.unresponsive.erase(id);
                *view.status = InstanceStatus { .id = id };
                break;
            case 3:
                view.draining = !view.draining;
                break;
            default:
                break;
            }
        }
        pool.now += Millis(300);
        for (auto& [id, view] : pool.views)
            view.polledAt = pool.unresponsive.contains(id) ? view.polledAt : pool.now;
        std::set<std::string> whole;
        for (const AgreedGroup& group : pool.domainView().groups) {
            if (group.isLeaving)
                continue;
            for (const InstanceView* member : group.members)
                whole.insert(member->instance.id);
        }
        std::set<std::string> ordered;
        for (const Order& order : pool.plan(Millis(0))) {
            RC_ASSERT(ordered.insert(order.instance).second);
            RC_ASSERT(!whole.contains(order.instance));
            RC_ASSERT(order.kind == OrderKind::Release || order.members.size() == members);
            for (const std::string& member : order.members)
                RC_ASSERT(pool.views.at(member).instance.fabric == pool.views.at(order.instance).instance.fabric);
            if (*rc::gen::inRange(0, 8) != 0)
                pool.apply(order);
        }
        if (*rc::gen::arbitrary<bool>())
            pool.finishLoading();
    }
    pool.unresponsive.clear();
    for (auto& [id, view] : pool.views)
        view.draining = false;
    pool.run(60);
    RC_ASSERT(pool.domainView().groups.size() == static_cast<size_t>(fabrics[0]) / members + static_cast<size_t>(fabrics[1]) / members);
}

} // namespace hemlockweir
