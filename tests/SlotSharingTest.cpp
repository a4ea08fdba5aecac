#include "support/UsageReports.h"

#include <gtest/gtest.h>
#include <memory>

// Tests that nodes share the slots of a small service: requests that always wait at some nodes must not keep those of others
// from all slots.

using namespace hemlockweir;

namespace {

struct Load {
    std::string name;
    size_t busyNodes = 1; // they have requests waiting at all times
    size_t calmNodes = 1; // they get one request at a time
    uint32_t slots = 6; // of the only endpoint
    Millis hold { 200 }; // mean time that a request takes at the endpoint
    double minUtilization = 0.9; // of the slots

    friend std::ostream& operator<<(std::ostream& stream, const Load& load) { return stream << load.name; }
};

// Runs the dispatchers of several nodes against one endpoint, which rejects requests beyond its slots.
class SharedEndpoint {
public:
    explicit SharedEndpoint(const Load& load)
        : load_(load)
        , nodes_(load.busyNodes + load.calmNodes)
    {
        const Target target { .id = "e", .service = "desk", .address = "127.0.0.1", .port = 1, .domain = "a", .slots = load.slots };
        for (size_t i = 0; i < nodes_.size(); ++i) {
            Node& node = nodes_[i];
            node.dispatcher = std::make_unique<Dispatcher>(Dispatcher::Options { .clock = [this] { return now_; }, .random = makeSeededRandom(i + 1), .domain = "a", .onUsageChanged = [&node] { node.hasNews = true; } });
            node.dispatcher->setTargets("desk", { target });
            node.publishedAt = now_ - Millis(static_cast<int64_t>(7 * i)); // the nodes don't report at the same time
        }
    }

    void run(Millis time)
    {
        const Millis end = now_ + time;
        while (now_ < end) {
            now_ += Millis(1);
            usedMs_ += static_cast<double>(running_);
            endRequests();
            exchangeReports();
            for (size_t i = 0; i < nodes_.size(); ++i) {
                // A refused request comes again after one ms.
                const size_t wanted = i < load_.busyNodes ? load_.slots : 1 - std::min<size_t>(1, nodes_[i].running);
                for (size_t left = wanted - std::min(wanted, nodes_[i].waiting); left > 0; --left)
                    submit(i);
                // The nodes' timers don't fire at the same time.
                if ((now_.count() + static_cast<int64_t>(7 * i)) % 20 == 0)
                    nodes_[i].dispatcher->tick();
            }
        }
    }

    size_t answeredBy(size_t node) const { return nodes_[node].answered; }

    // Returns the part of the slots' time in which they were used.
    double utilization() const { return usedMs_ / static_cast<double>(load_.slots) / static_cast<double>((now_ - startedAt_).count()); }

private:
    struct Node {
        std::unique_ptr<Dispatcher> dispatcher;
        Millis publishedAt { 0 };
        bool hasNews = false;
        size_t waiting = 0;
        size_t running = 0;
        size_t answered = 0;
    };

    // As in UsageExchange: 60 ms and 5 ms for each peer between two messages, and 10 ms and 1 ms before an early one.
    Millis reportInterval(const Node& node) const
    {
        const auto peers = static_cast<int64_t>(nodes_.size() - 1);
        return node.hasNews ? Millis(10 + peers) : Millis(60 + 5 * peers);
    }

    void submit(size_t node)
    {
        const uint64_t id = ++lastId_;
        ++nodes_[node].waiting;
        nodes_[node].dispatcher->submit({
            .id = id,
            .service = "desk",
            .arrivedAt = now_,
            .objectiveAt = now_ + Millis(1000),
            .deadlineAt = now_ + Millis(5000),
            .onPlaced = [this, id, node](const Target&) { place(id, node); },
            .onRefused = [this, node](const PlacementRefusal&) { --nodes_[node].waiting; },
        });
    }

    void place(uint64_t id, size_t node)
    {
        --nodes_[node].waiting;
        ++nodes_[node].running;
        const bool isRejected = running_ >= load_.slots;
        running_ += isRejected ? 0 : 1;
        const Millis hold = load_.hold / 2 + Millis(static_cast<int64_t>(random_() % static_cast<uint64_t>(load_.hold.count())));
        ends_.emplace(now_ + (isRejected ? Millis(1) : hold), Placement { .id = id, .node = node, .isRejected = isRejected });
    }

    void endRequests()
    {
        while (!ends_.empty() && ends_.begin()->first <= now_) {
            const Placement placement = ends_.begin()->second;
            ends_.erase(ends_.begin());
            Node& node = nodes_[placement.node];
            --node.running;
            if (!placement.isRejected) {
                --running_;
                ++node.answered;
                node.dispatcher->noteSuccess("e");
                node.dispatcher->noteAnswered("e", placement.id);
            } else {
                node.dispatcher->noteRejection("e");
            }
            node.dispatcher->release("e", placement.id);
        }
    }

    void exchangeReports()
    {
        for (size_t from = 0; from < nodes_.size(); ++from) {
            const Node& node = nodes_[from];
            if (now_ - node.publishedAt >= reportInterval(node))
                reportUsage(nodes_, from, now_);
        }
    }

    struct Placement {
        uint64_t id = 0;
        size_t node = 0;
        bool isRejected = false;
    };

    const Load load_;
    const Millis startedAt_ { 100000 };
    Millis now_ { startedAt_ };
    Random random_ = makeSeededRandom(1);
    std::vector<Node> nodes_;
    std::multimap<Millis, Placement> ends_;
    size_t running_ = 0; // at the endpoint
    double usedMs_ = 0;
    uint64_t lastId_ = 0;
};

class SlotSharing : public testing::TestWithParam<Load> { };

// A node used each slot that it freed for its own waiting requests, so the requests at the other nodes were refused, all of them,
// after the longest wait. Each node must get some answers in 30 s, and nine tenths of the slots stay in use; fewer with many calm nodes:
// a slot that a node does not need any more is free until the others have learned it.
TEST_P(SlotSharing, NoNodeWithWaitingRequestsGetsNothing)
{
    SharedEndpoint endpoint(GetParam());
    endpoint.run(Millis(30000));
    size_t least = SIZE_MAX;
    for (size_t i = 0; i < GetParam().busyNodes + GetParam().calmNodes; ++i) {
        least = std::min(least, endpoint.answeredBy(i));
        EXPECT_GE(endpoint.answeredBy(i), 1U) << "node " << i;
    }
    RecordProperty("least", static_cast<int>(least));
    RecordProperty("utilization_per_mille", static_cast<int>(1000 * endpoint.utilization()));
    EXPECT_GE(endpoint.utilization(), GetParam().minUtilization);
}

INSTANTIATE_TEST_SUITE_P(Loads, SlotSharing,
    testing::Values(Load { .name = "OneBusyNode" }, Load { .name = "ShortRequests", .hold = Millis(10) }, Load { .name = "LongRequests", .hold = Millis(2000) }, Load { .name = "OneSlot", .slots = 1 },
        Load { .name = "OnlyBusyNodes", .busyNodes = 3, .calmNodes = 0 }, Load { .name = "MoreNodesThanSlots", .busyNodes = 24, .calmNodes = 0 }, Load { .name = "ManyCalmNodes", .busyNodes = 2, .calmNodes = 22, .minUtilization = 0.6 }),
    [](const auto& parameter) { return parameter.param.name; });

} // namespace
