// Tests which jobs are refused immediately because they can not be on time.

#include "schedule/Scheduler.h"

#include <gtest/gtest.h>
#include <optional>

namespace hemlockweir {

namespace {

    // A scheduler with one replica of four slots, and a clock that the test advances.
    struct Fixture {
        Millis now { 1000 };
        Scheduler scheduler { SchedulerOptions { .maxWaiting = 100,
            .domain = "a",
            .clock = [this] { return now; },
            .random = makeSeededRandom(1),
            .findReplicas = [this](const std::string& model) { return std::vector<Replica> { { .group = "g", .epoch = 1, .model = model, .domain = "a", .leader = "10.0.0.1:80", .slots = 4, .reportedAt = now } }; } } };

        std::optional<Decision> submit(uint64_t id, Millis firstTokenTarget, const std::string& caller = "c")
        {
            auto decision = std::make_shared<std::optional<Decision>>();
            const Job job { .id = id, .model = "m", .caller = caller, .deadline = now + Millis(10000), .target = now + firstTokenTarget, .cost = 10 };
            scheduler.submit(job, { .onDecision = [decision](const Decision& made) { *decision = made; } });
            return *decision;
        }
    };

} // namespace

TEST(Admission, AdmitsJobsToAnIdlePoolAfterSlowMeasurements)
{
    Fixture fixture;
    const std::optional<Decision> first = fixture.submit(1, Millis(310));
    ASSERT_TRUE(first && first->isGranted());
    // The replica stalled for a minute: its first token came far later than any target.
    fixture.now += Millis(60000);
    fixture.scheduler.noteFirstToken(1);
    fixture.scheduler.finish(1);

    fixture.now += Millis(1000);
    const std::optional<Decision> next = fixture.submit(2, Millis(310));
    EXPECT_TRUE(next && next->isGranted()) << "slots are free and no job is waiting, but an old measurement caused a refusal";
}

// All four slots are full, and first tokens take 300 ms of the allowed 310.
TEST(Admission, ACallerBelowItsShareIsNotRefusedForTheLoadOfOthers)
{
    Fixture fixture;
    uint64_t id = 1;
    for (int round = 0; round < 8; ++round) {
        const uint64_t first = id;
        for (int i = 0; i < 4; ++i)
            fixture.submit(id++, Millis(310), "large");
        fixture.now += Millis(300);
        for (uint64_t job = first; job < id; ++job)
            fixture.scheduler.noteFirstToken(job);
        fixture.now += Millis(100);
        for (uint64_t job = first; job < id && round < 7; ++job)
            fixture.scheduler.finish(job);
    }
    // The slots are full, and one job may queue in the engine.
    fixture.submit(id++, Millis(310), "large");
    const std::optional<Decision> large = fixture.submit(id++, Millis(310), "large");
    ASSERT_TRUE(large && !large->isGranted());
    EXPECT_EQ(large->refusal, Refusal::DeadlineUnreachable);
    EXPECT_FALSE(fixture.submit(id++, Millis(310), "small")) << "the small caller waits for the next slot";
    const std::optional<Decision> second = fixture.submit(id++, Millis(310), "small");
    EXPECT_TRUE(second && !second->isGranted()) << "only one request of a caller is admitted in spite of the estimate";
}

} // namespace hemlockweir
