// Admission: which jobs are refused at once for want of time.

#include "schedule/Scheduler.h"

#include <gtest/gtest.h>
#include <optional>

namespace hemlockweir {

namespace {

    // A scheduler over one replica, with a clock that the test moves.
    struct Fixture {
        Millis now { 1000 };
        Scheduler scheduler { SchedulerOptions { .maxWaiting = 100,
            .domain = "a",
            .clock = [this] { return now; },
            .random = makeSeededRandom(1),
            .findReplicas = [this](const std::string& model) { return std::vector<Replica> { { .group = "g", .epoch = 1, .model = model, .domain = "a", .leader = "10.0.0.1:80", .slots = 4, .reportedAt = now } }; } } };

        std::optional<Decision> submit(uint64_t id, Millis firstTokenTarget)
        {
            auto decision = std::make_shared<std::optional<Decision>>();
            const Job job { .id = id, .model = "m", .caller = "c", .deadline = now + Millis(10000), .target = now + firstTokenTarget, .cost = 10 };
            scheduler.submit(job, { .onDecision = [decision](const Decision& made) { *decision = made; } });
            return *decision;
        }
    };

} // namespace

TEST(Admission, LetsAnIdlePoolShowThatItIsFastAgain)
{
    Fixture fixture;
    const std::optional<Decision> first = fixture.submit(1, Millis(310));
    ASSERT_TRUE(first && first->isGranted());
    // The replica stood still for a minute: its first token came far beyond any target.
    fixture.now += Millis(60000);
    fixture.scheduler.noteFirstToken(1);
    fixture.scheduler.finish(1);

    fixture.now += Millis(1000);
    const std::optional<Decision> next = fixture.submit(2, Millis(310));
    EXPECT_TRUE(next && next->isGranted()) << "nothing waits and slots are free, yet the job is refused by an old measurement";
}

} // namespace hemlockweir
