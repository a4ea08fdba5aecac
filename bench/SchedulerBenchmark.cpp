// hw-scheduler-benchmark: measures the time of one scheduling decision for several numbers of replicas
// and waiting jobs.

#include "schedule/Scheduler.h"

#include <benchmark/benchmark.h>

using namespace hemlockweir;

namespace {

// A scheduler with fully used replicas, a queue and a simulated clock.
struct SchedulerFixture {
    SchedulerFixture(size_t replicas, size_t waiting)
        : scheduler({ .maxWaiting = 1000000,
            .node = "n1",
            .domain = "d0",
            .clock = [this] { return now; },
            .random = makeSeededRandom(1),
            .findReplicas = [this](const std::string&) { return table; } })
    {
        constexpr size_t domains = 12;
        for (size_t i = 0; i < replicas; ++i)
            table.push_back({ .group = "group-" + std::to_string(i), .epoch = 1, .model = "m", .domain = "d" + std::to_string(i % domains), .leader = "10.0.0.1:8000", .slots = 4 });
        while (scheduler.waitingCount() < waiting)
            submit();
    }

    void submit()
    {
        constexpr uint64_t callers = 10;
        constexpr uint32_t ranks = 3;
        const uint64_t id = nextId++;
        scheduler.submit({ .id = id, .model = "m", .caller = "caller-" + std::to_string(id % callers), .rank = static_cast<uint32_t>(id % ranks), .deadline = now + Millis(1000000000), .cost = 20 },
            { .onDecision = [this, id](const Decision& decision) {
                 if (decision.isGranted())
                     running.push_back(id);
             },
                .onPreempt = {} });
    }

    // Finishes the oldest running job and submits a new one.
    void replaceFinishedJob()
    {
        now += Millis(1);
        scheduler.finish(running.front());
        running.pop_front();
        submit();
    }

    Millis now { 1000 };
    uint64_t nextId = 1;
    std::vector<Replica> table;
    std::deque<uint64_t> running;
    Scheduler scheduler;
};

void finishAndSubmit(benchmark::State& state)
{
    SchedulerFixture fixture(static_cast<size_t>(state.range(0)), static_cast<size_t>(state.range(1)));
    for (auto _ : state)
        fixture.replaceFinishedJob();
}

} // namespace

BENCHMARK(finishAndSubmit)->ArgNames({ "replicas", "waiting" })->Args({ 15, 60 })->Args({ 15, 600 })->Args({ 15, 6000 })->Args({ 150, 600 })->Args({ 1500, 60 })->Args({ 1500, 600 })->Args({ 1500, 6000 });

BENCHMARK_MAIN();
