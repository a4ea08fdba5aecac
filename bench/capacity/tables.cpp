// Measures the time of single operations on tables and codecs at several sizes. Run manually:
//
//   capacity-tables --benchmark_min_time=0.2

#include "ctl/Publish.h"
#include "fleet/FleetTable.h"
#include "membership/NodeTable.h"
#include "rollout/ConfigExchange.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace hemlockweir {

static constexpr int membersPerGroup = 4;

static Millis now()
{
    return Millis(1000);
}

static InstanceStatus makeStatus(int i)
{
    InstanceStatus status { .id = "instance-" + std::to_string(i), .state = EngineState::Ready };
    status.group = "domain-0/model/" + std::to_string(i / membersPerGroup);
    status.epoch = 7;
    status.model = "model";
    for (int member = 0; member < membersPerGroup; ++member)
        status.members.push_back("instance-" + std::to_string(i / membersPerGroup * membersPerGroup + member));
    status.slots = 16;
    return status;
}

static void fill(FleetTable& table, int count)
{
    std::vector<Instance> instances;
    instances.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        instances.push_back({ .id = "instance-" + std::to_string(i), .address = "10.0.0.1:" + std::to_string(i), .domain = "domain-0", .fabric = "fabric", .pool = "models" });
    table.setInstances(instances);
    for (int i = 0; i < count; ++i)
        table.setStatus(instances[static_cast<size_t>(i)].id, makeStatus(i), now());
}

static void findReplicasOfFleet(benchmark::State& state)
{
    const auto before = mallinfo2().uordblks;
    FleetTable table({ .clock = now });
    fill(table, static_cast<int>(state.range(0)));
    state.counters["bytes_per_instance"] = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(state.range(0));
    size_t found = 0;
    for (auto step : state)
        found += table.findReplicas("model").size();
    state.counters["replicas"] = static_cast<double>(found) / static_cast<double>(state.iterations());
}
BENCHMARK(findReplicasOfFleet)->Arg(60)->Arg(240)->Arg(500)->Arg(1500)->Arg(6000)->Unit(benchmark::kMicrosecond);

static void setStatusOfFleet(benchmark::State& state)
{
    FleetTable table({ .clock = now });
    fill(table, static_cast<int>(state.range(0)));
    int i = 0;
    for (auto step : state) {
        i = (i + 1) % static_cast<int>(state.range(0));
        table.setStatus("instance-" + std::to_string(i), makeStatus(i), now());
    }
}
BENCHMARK(setStatusOfFleet)->Arg(60)->Arg(500)->Arg(6000)->Unit(benchmark::kMicrosecond);

static Configuration makeConfiguration(int callers)
{
    Configuration configuration { .publication = "0123456789abcdef", .priorities = { { .name = "urgent" } } };
    for (int i = 0; i < callers; ++i) {
        const std::string name = "caller-" + std::to_string(i);
        configuration.callers.push_back({ .name = name, .keySha256 = hashCallerKey(QByteArray::fromStdString(name)), .defaultPriority = "urgent" });
    }
    return configuration;
}

static void parseDocument(benchmark::State& state)
{
    const QByteArray json = formatConfiguration(makeConfiguration(static_cast<int>(state.range(0))));
    for (auto step : state)
        benchmark::DoNotOptimize(parseConfiguration(json));
    state.counters["json_bytes"] = static_cast<double>(json.size());
    state.counters["packed_bytes"] = static_cast<double>(packDocument(json).size());
}
BENCHMARK(parseDocument)->Arg(10)->Arg(100)->Arg(1000)->Arg(6000)->Unit(benchmark::kMicrosecond);

static void packOneDocument(benchmark::State& state)
{
    const QByteArray json = formatConfiguration(makeConfiguration(static_cast<int>(state.range(0))));
    for (auto step : state)
        benchmark::DoNotOptimize(packDocument(json));
}
BENCHMARK(packOneDocument)->Arg(10)->Arg(1000)->Arg(6000)->Unit(benchmark::kMicrosecond);

static NodeTable makeNodeTable(int nodes)
{
    NodeTable table({ .node = "own" });
    table.setOwn({ .domain = "domain-0", .region = "region-0", .callerEndpoint = "10.0.0.1:8080", .peerEndpoint = "10.0.0.1:8081" });
    for (int i = 0; i < nodes; ++i) {
        const Heartbeat heartbeat { .domain = "domain-0", .region = "region-0", .callerEndpoint = "10.0.0.1:8080", .peerEndpoint = "10.0.0.1:8081" };
        table.applyRecord({ .node = "node-" + std::to_string(i), .incarnation = 1, .beat = 1, .heartbeat = heartbeat }, now(), true);
    }
    return table;
}

static void takeWholeDigest(benchmark::State& state)
{
    NodeTable table = makeNodeTable(static_cast<int>(state.range(0)));
    const std::vector<BeatRow> rows = table.beats(true);
    uint32_t beat = 1;
    for (auto step : state) {
        ++beat;
        for (const BeatRow& row : rows)
            table.applyBeat({ .id = row.id, .beat = beat }, now());
    }
}
BENCHMARK(takeWholeDigest)->Arg(3)->Arg(15)->Arg(31)->Arg(75)->Arg(150)->Unit(benchmark::kMicrosecond);

static void sealAndOpenDigest(benchmark::State& state)
{
    const NodeTable table = makeNodeTable(static_cast<int>(state.range(0)));
    const Digest digest { .records = {}, .beats = table.beats(true) };
    const QByteArray key = "a key for benchmarks only";
    qsizetype bytes = 0;
    for (auto step : state) {
        const QByteArray sealed = sealMessage(digest, { .node = "own", .incarnation = 1, .sequence = 1 }, key);
        bytes = sealed.size();
        const auto envelope = openEnvelope(sealed, key);
        benchmark::DoNotOptimize(decodeBody<Digest>(envelope->body));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(sealAndOpenDigest)->Arg(3)->Arg(15)->Arg(31)->Arg(75)->Arg(150)->Unit(benchmark::kMicrosecond);

} // namespace hemlockweir

BENCHMARK_MAIN();
