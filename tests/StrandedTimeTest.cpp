// Accelerator time by cause.

#include "fleet/StrandedTime.h"

#include <gtest/gtest.h>

namespace hemlockweir {

class StrandedTimeTest : public testing::Test {
protected:
    void add(const std::string& id, EngineState state, const std::string& group = {}, const std::vector<std::string>& members = {})
    {
        look.instances.push_back({ .instance = { .id = id, .domain = "a", .pool = "models" },
            .status = InstanceStatus { .id = id, .state = state, .group = group, .epoch = 1, .members = members } });
    }

    StrandedTotals pass(Millis step)
    {
        look.now += step;
        for (InstanceView& view : look.instances)
            view.seenAt = look.now;
        stranded.observe(look);
        return stranded.totals();
    }

    StrandedTime::Look look { .domain = "a", .pools = { "models" }, .instances = {}, .now = Millis(10000) };
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
    look.instances.back().draining = true;
    look.instances.push_back({ .instance = { .id = "i7", .domain = "a", .pool = "models" } });
    look.instances.push_back({ .instance = { .id = "o1", .domain = "a", .pool = "orders" } });
    pass(Millis(0));
    const StrandedTotals expected { .missingMemberMs = 300, .loadingMs = 300, .noPartnerMs = 300, .leavingMs = 300, .notReportingMs = 300, .servingMs = 600, .groupDownMs = 300 };
    EXPECT_EQ(pass(Millis(300)), expected);
}

TEST_F(StrandedTimeTest, BlamesThePlatformWhileItCanNotBeReached)
{
    add("i1", EngineState::Idle);
    look.isCutOff = true;
    pass(Millis(0));
    EXPECT_EQ(pass(Millis(300)), (StrandedTotals { .cutOffMs = 300 }));
}

TEST_F(StrandedTimeTest, DoesNotGuessWhatItDidNotSee)
{
    add("i1", EngineState::Idle);
    pass(Millis(0));
    EXPECT_EQ(pass(Millis(60000)), (StrandedTotals { .unobservedMs = 60000 }));
    stranded.skip();
    EXPECT_EQ(pass(Millis(60000)), (StrandedTotals { .unobservedMs = 60000 }));
}

} // namespace hemlockweir
