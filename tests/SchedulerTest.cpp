#include "support/FakeFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace hemlockweir;

// Returns the most jobs on a replica: the most urgent jobs may queue in its engine beyond its slots.
static uint32_t maxInFlight(uint32_t slots)
{
    return slots + std::max(1U, slots / 4);
}

RC_GTEST_PROP(Scheduler, GrantsWithinTheSlotsAndDecidesOnce, ())
{
    const uint32_t slots = *rc::gen::inRange(1, 6);
    FakeFleet fleet(makeReplicas(*rc::gen::inRange(1, 4), slots), 20);
    std::vector<uint64_t> submitted;
    std::set<uint64_t> cancelled;
    std::set<uint64_t> finished;
    for (const int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 8))) {
        if (step <= 4) {
            Job job = fleet.makeJob("c" + std::to_string(step), static_cast<uint32_t>(step) % 3);
            job.deadline = fleet.now() + Millis(50 * step);
            job.floorShare = step % 3 == 0 ? 0 : 0.2;
            submitted.push_back(fleet.submit(job));
        } else if (step == 5 && !submitted.empty()) {
            const uint64_t id = submitted.front();
            if (!fleet.hasDecision(id))
                cancelled.insert(id);
            fleet.scheduler().cancel(id);
        } else if (step == 6) {
            for (const uint64_t id : submitted) {
                if (fleet.isGranted(id) && finished.insert(id).second) {
                    fleet.scheduler().finish(id);
                    break;
                }
            }
        } else {
            fleet.advance(Millis(30));
        }
        size_t running = 0;
        for (const auto& [group, count] : fleet.scheduler().use().inFlightByGroup) {
            RC_ASSERT(count <= maxInFlight(slots));
            running += count;
        }
        size_t granted = 0;
        for (const uint64_t id : submitted)
            granted += fleet.isGranted(id) ? 1 : 0;
        RC_ASSERT(running == granted - finished.size());
    }
    fleet.advance(Millis(1000));
    for (const uint64_t id : submitted) {
        // Each job has exactly one decision, a cancelled job none.
        RC_ASSERT(cancelled.contains(id) != fleet.hasDecision(id));
        RC_ASSERT(cancelled.contains(id) || fleet.decisions().at(id).size() == 1);
    }
}

RC_GTEST_PROP(Scheduler, IdleSlotTimeAddsUpToTheSlotsThatNothingRunsOn, ())
{
    const uint32_t slots = *rc::gen::inRange(1, 9);
    FakeFleet fleet(makeReplicas(1, slots));
    fleet.advance(Millis(5));
    const int jobs = *rc::gen::inRange(0, 12);
    for (int i = 0; i < jobs; ++i)
        fleet.submit("c", *rc::gen::inRange(1U, 3U));
    fleet.advance(Millis(5));
    const IdleSlots before = fleet.scheduler().idleSlotSeconds();
    for (int i = 0; i < 100; ++i)
        fleet.advance(Millis(10));
    const IdleSlots after = fleet.scheduler().idleSlotSeconds();
    const double expected = std::max(0, static_cast<int>(slots) - jobs);
    const double sum = after.notAsked + after.keptForUrgent + after.notFound - before.notAsked - before.keptForUrgent - before.notFound;
    RC_ASSERT(std::abs(sum - (jobs == 0 ? 0 : expected)) < 1e-6);
    RC_ASSERT(after.keptForUrgent == 0.0);
}

TEST(Scheduler, MoreUrgentWorkGoesFirst)
{
    FakeFleet fleet(makeReplicas(1, 2));
    const uint64_t running = fleet.submit("c", 2);
    fleet.submit("c", 2);
    const uint64_t batch = fleet.submit("c", 2);
    const uint64_t standard = fleet.submit("c", 1);
    fleet.scheduler().finish(running);
    EXPECT_TRUE(fleet.isGranted(standard));
    EXPECT_FALSE(fleet.hasDecision(batch));
}

TEST(Scheduler, AFloodOfUrgentWorkRespectsTheFloor)
{
    FakeFleet fleet(makeReplicas(1, 10));
    std::map<uint32_t, int> granted;
    std::deque<uint64_t> running;
    std::vector<uint64_t> open;
    for (int round = 0; round < 4000; ++round) {
        for (const uint32_t rank : { 0U, 0U, 2U }) {
            Job job = fleet.makeJob("c", rank);
            job.floorShare = rank == 2 ? 0.2 : 0;
            job.preemptions = 1; // jobs that were preempted are not refused by estimate
            open.push_back(fleet.submit(job));
        }
        fleet.advance(Millis(5));
        std::erase_if(open, [&](uint64_t id) {
            if (!fleet.isGranted(id))
                return fleet.isRefused(id);
            ++granted[fleet.rankOf(id)];
            running.push_back(id);
            return true;
        });
        if (!running.empty()) {
            fleet.scheduler().finish(running.front());
            running.pop_front();
        }
    }
    EXPECT_GE(granted[2], 0.95 * 0.2 * (granted[0] + granted[2]));
    EXPECT_GT(granted[0], granted[2]);
}

TEST(Scheduler, RefusesAtOnceWhatCanNotStartInTime)
{
    FakeFleet fleet(makeReplicas(1, 1));
    const uint64_t first = fleet.submit("c", 2);
    fleet.advance(Millis(1000));
    fleet.scheduler().finish(first);
    fleet.submit("c", 2);
    fleet.submit("c", 2);
    Job late = fleet.makeJob("c", 2);
    late.deadline = fleet.now() + Millis(500);
    fleet.submit(late);
    ASSERT_TRUE(fleet.isRefused(late.id));
    EXPECT_EQ(fleet.decision(late.id).refusal, Refusal::DeadlineUnreachable);
    EXPECT_GE(fleet.decision(late.id).retryAfter, Millis(500));
}

TEST(Scheduler, BadEstimatesDoNotStarveAPriority)
{
    FakeFleet fleet(makeReplicas(1, 4));
    const uint64_t slow = fleet.submit("c", 0);
    fleet.advance(Millis(2000));
    fleet.scheduler().noteFirstToken(slow);
    fleet.scheduler().finish(slow);
    Job job = fleet.makeJob("c", 0);
    job.target = fleet.now() + Millis(300);
    fleet.submit(job);
    EXPECT_TRUE(fleet.isGranted(job.id));
}

TEST(Scheduler, TheMostUrgentPreemptsTheLeastUrgent)
{
    FakeFleet fleet(makeReplicas(1, 4));
    Job unpreemptible = fleet.makeJob("c", 2);
    unpreemptible.preemptions = 2;
    fleet.submit(unpreemptible);
    const uint64_t standard = fleet.submit("c", 1);
    fleet.advance(Millis(10));
    const uint64_t batch = fleet.submit("c", 2);
    while (fleet.preempted().empty() && fleet.scheduler().waitingCount() < 10)
        fleet.submit("c", 0);
    ASSERT_EQ(fleet.preempted().size(), 1U);
    EXPECT_EQ(fleet.preempted().front(), batch);
    EXPECT_TRUE(fleet.isGranted(standard));
    fleet.scheduler().finish(batch);
    for (int i = 0; i < 10; ++i)
        fleet.submit("c", 0);
    EXPECT_EQ(std::count(fleet.preempted().begin(), fleet.preempted().end(), unpreemptible.id), 0);
}

TEST(Scheduler, RetriesAreBounded)
{
    FakeFleet fleet(makeReplicas(2, 100));
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
        Job retry = fleet.makeJob("c", 1);
        retry.avoidGroups = { "a-g0" };
        granted += fleet.isGranted(fleet.submit(retry)) ? 1 : 0;
    }
    EXPECT_EQ(granted, 30);
}

TEST(Scheduler, WithoutReplicasJobsWaitForTheirDeadline)
{
    FakeFleet fleet({});
    Job job = fleet.makeJob("c", 0);
    job.deadline = fleet.now() + Millis(100);
    fleet.submit(job);
    fleet.advance(Millis(90));
    EXPECT_FALSE(fleet.hasDecision(job.id));
    fleet.advance(Millis(20));
    ASSERT_TRUE(fleet.isRefused(job.id));
    EXPECT_EQ(fleet.decision(job.id).refusal, Refusal::NoReplica);
}

TEST(Scheduler, OneCallerCanNotFillTheQueue)
{
    FakeFleet fleet(makeReplicas(1, 1), 100);
    for (int i = 0; i < 200; ++i)
        fleet.submit("large", 2);
    const uint64_t small = fleet.submit("small", 2);
    EXPECT_LE(fleet.scheduler().waitingCount(), 26U);
    EXPECT_FALSE(fleet.isRefused(small));
}

TEST(Scheduler, APreemptedJobIsNotRefusedAtItsDeadline)
{
    FakeFleet fleet(makeReplicas(1, 1));
    const uint64_t running = fleet.submit("c", 2);
    Job preemptedJob = fleet.makeJob("c", 2);
    preemptedJob.deadline = fleet.now() + Millis(100);
    preemptedJob.preemptions = 1;
    const uint64_t other = fleet.submit("c", 2);
    fleet.submit(preemptedJob);
    fleet.advance(Millis(500));
    EXPECT_FALSE(fleet.hasDecision(preemptedJob.id));
    fleet.scheduler().finish(running);
    EXPECT_TRUE(fleet.isGranted(preemptedJob.id));
    EXPECT_FALSE(fleet.hasDecision(other));
}
