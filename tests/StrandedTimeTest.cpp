// Checks how accelerator time is attributed to causes.

#include "fleet/StrandedTime.h"

#include <gtest/gtest.h>

namespace hemlockweir {

class StrandedTimeTest : public testing::Test {
protected:
    void add(const std::string& id, EngineState state, const std::string& group = {}, const std::vector<std::string>& members = {})
    {
        snapshot.instances.push_back({ .instance = { .id = id, .domain = "a", .pool = "models" },
            .status = InstanceStatus { .id = id, .state = state, .group = group, .epoch = 1, .members = members } });
    }

    StrandedTotals advance(Millis step)
    {
        snapshot.now += step;
        for (InstanceView& view : snapshot.instances)
            view.polledAt = snapshot.now;
        stranded.observe(snapshot);
        return stranded.totals();
    }

    StrandedTime::Snapshot snapshot { .domain = "a", .pools = { "models" }, .instances = {}, .now = Millis(10000) };
    StrandedTime stranded;
};

TEST_F(StrandedTimeTest, CountsEachInstanceUnderOneCause)
{
    add("i1", EngineState::Ready, "g", { "i1", "i2" });
    add("i2", EngineState::Ready, "g", { "i1", "i2" });
    add("i3", EngineState::Loading, "h", { "i3" });
    add("i4", EngineState::Ready, "k", { "i4", "gone" });
    add("i5", EngineState::Idle);
    add("i6", EngineState::Idle);
    snapshot.instances.back().draining = true;
    snapshot.instances.push_back({ .instance = { .id = "i7", .domain = "a", .pool = "models" } });
    snapshot.instances.push_back({ .instance = { .id = "o1", .domain = "a", .pool = "orders" } });
    advance(Millis(0));
    const StrandedTotals expected { .missingMemberMs = 300, .loadingMs = 300, .noPartnerMs = 300, .leavingMs = 300, .notReportingMs = 300, .servingMs = 600, .groupDownMs = 300 };
    EXPECT_EQ(advance(Millis(300)), expected);
}

TEST_F(StrandedTimeTest, AttributesTimeToThePlatformWhileItIsUnreachable)
{
    add("i1", EngineState::Idle);
    snapshot.isCutOff = true;
    advance(Millis(0));
    EXPECT_EQ(advance(Millis(300)), (StrandedTotals { .cutOffMs = 300 }));
}

TEST_F(StrandedTimeTest, CountsAGapInObservationAsUnobserved)
{
    add("i1", EngineState::Idle);
    advance(Millis(0));
    EXPECT_EQ(advance(Millis(60000)), (StrandedTotals { .unobservedMs = 60000 }));
    stranded.suspend();
    EXPECT_EQ(advance(Millis(60000)), (StrandedTotals { .unobservedMs = 60000 }));
}

} // namespace hemlockweir
