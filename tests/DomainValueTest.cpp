#include "replicas/DomainValue.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Compares the value of a domain's hosts with a brute force over all assignments of hosts to replicas.

using namespace hemlockweir;

namespace {

// Tries each model, or none, for each host. A model's hosts count in whole replicas only.
double bruteForce(const std::vector<ModelSet>& hosts, const std::vector<ModelWeight>& models)
{
    double best = 0;
    std::vector<size_t> chosen(models.size(), 0);
    const std::function<void(size_t)> assign = [&](size_t host) {
        if (host == hosts.size()) {
            double value = 0;
            for (size_t model = 0; model < models.size(); ++model) {
                const size_t inReplicas = chosen[model] - chosen[model] % models[model].size;
                value += static_cast<double>(inReplicas) * models[model].engineValue;
            }
            best = std::max(best, value);
            return;
        }
        assign(host + 1);
        for (size_t model = 0; model < models.size(); ++model) {
            if ((hosts[host] >> model & 1) == 0)
                continue;
            ++chosen[model];
            assign(host + 1);
            --chosen[model];
        }
    };
    assign(0);
    return best;
}

RC_GTEST_PROP(DomainValue, EqualsTheBestOfAllAssignments, ())
{
    const size_t modelCount = *rc::gen::inRange<size_t>(1, 4);
    std::vector<ModelWeight> models;
    for (size_t i = 0; i < modelCount; ++i)
        models.push_back({ .size = *rc::gen::inRange<size_t>(1, 5), .engineValue = 0.25 * *rc::gen::inRange(1, 9) });
    const auto hosts = *rc::gen::container<std::vector<ModelSet>>(*rc::gen::inRange<size_t>(0, 8), rc::gen::inRange<ModelSet>(0, ModelSet { 1 } << modelCount));
    HostCounts counts {};
    for (const ModelSet warm : hosts)
        ++counts[warm];
    RC_ASSERT(std::abs(valueOfHosts(counts, models) - bruteForce(hosts, models)) < 1e-9);
}

RC_GTEST_PROP(DomainValue, ChosenCopiesGainWhatTheySay, ())
{
    const std::vector<ModelWeight> models { { .size = 4, .engineValue = 1 }, { .size = 2, .engineValue = 0.75 } };
    DomainState domain;
    domain.replicas = { 0, 1 };
    for (int i = 0; i < 12; ++i) {
        const int replica = i < 4 ? 0 : (i < 6 ? 1 : -1);
        const ModelSet own = replica < 0 ? 0 : ModelSet { 1 } << replica;
        domain.hosts.push_back({ .warm = own | *rc::gen::inRange<ModelSet>(0, 4), .warmAfterLoad = own, .replica = replica, .mayLoad = *rc::gen::arbitrary<bool>() });
    }
    const double before = valueOfDomain(domain, models);
    const std::optional<CopyChoice> choice = chooseCopies(domain, models);
    if (!choice)
        return;
    for (const size_t host : choice->hosts)
        RC_ASSERT(domain.hosts[host].mayLoad);
    applyCopies(domain, *choice);
    RC_ASSERT(choice->gainPerLoad > 0);
    RC_ASSERT(std::abs(valueOfDomain(domain, models) - before - choice->gainPerLoad * static_cast<double>(choice->hosts.size())) < 1e-6);
}

// Seven survivors and one free host without a copy: one load brings eight engines back.
TEST(DomainValue, CopyThatCompletesAReplicaIsChosenFirst)
{
    const std::vector<ModelWeight> models { { .size = 8 }, { .size = 4 } };
    DomainState domain;
    for (int i = 0; i < 7; ++i)
        domain.hosts.push_back({ .warm = 1, .warmAfterLoad = 1 });
    domain.hosts.push_back({ .mayLoad = true });
    const std::optional<CopyChoice> choice = chooseCopies(domain, models);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->model, 0U);
    EXPECT_EQ(choice->hosts, std::vector<size_t> { 7 });
    EXPECT_DOUBLE_EQ(choice->gainPerLoad, 8);
}

// Survivors that are seven of eight, with nothing to complete them, are worth a smaller replica.
TEST(DomainValue, SurvivorsOfALargeReplicaLoadASmallerModelTogether)
{
    const std::vector<ModelWeight> models { { .size = 8 }, { .size = 4 } };
    DomainState domain;
    for (int i = 0; i < 7; ++i)
        domain.hosts.push_back({ .warm = 1, .warmAfterLoad = 1, .mayLoad = true });
    const std::optional<CopyChoice> choice = chooseCopies(domain, models);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->model, 1U);
    EXPECT_EQ(choice->hosts.size(), 4U);
}

// Free hosts of a domain whose replicas would need them after a loss hold copies for that.
TEST(DomainValue, FreeHostsBecomeSparesOfServingReplicas)
{
    const std::vector<ModelWeight> models { { .size = 4 } };
    DomainState domain;
    domain.replicas = { 0 };
    for (int i = 0; i < 4; ++i)
        domain.hosts.push_back({ .warm = 1, .warmAfterLoad = 1, .replica = 0 });
    domain.hosts.push_back({ .mayLoad = true });
    const std::optional<CopyChoice> choice = chooseCopies(domain, models);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->hosts, std::vector<size_t> { 4 });
}

} // namespace
