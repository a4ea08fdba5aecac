#include "gateway/StoredBlocks.h"

#include "gateway/Presence.h"
#include "support/FakeKvStore.h"
#include "support/LogCapture.h"
#include "support/ScriptedEndpoint.h"

#include <gtest/gtest.h>

// Tests that what crashes endpoints stays blocked across the end of all processes, by the platform's store.

using namespace hemlockweir;

namespace {

constexpr uint64_t deadly = 0xbad0;
constexpr uint64_t request = 7;
const std::string partKey = "hemlockweir/blocked/part/000000000000bad0";
const std::string requestKey = "hemlockweir/blocked/request/0000000000000007";

// One process of a node: a crash list whose blocks are kept in the store.
class Node {
public:
    Node(FakeKvStore& store, bool isPlanner)
        : store_(store)
        , isPlanner_(isPlanner)
    {
        follower_.start();
    }

    // Three endpoints go down on different requests with the part, and three on one request.
    void crashEndpoints()
    {
        for (uint64_t i = 1; i <= 3; ++i) {
            const std::string endpoint = "e" + std::to_string(i);
            crashes.noteConnectionLost({ .request = 100 + i, .sharedParts = { deadly } }, endpoint);
            crashes.noteEndpointDown(endpoint);
            crashes.noteConnectionLost({ .request = request }, "f" + endpoint);
            crashes.noteEndpointDown("f" + endpoint);
        }
        ASSERT_TRUE(blocksBoth());
    }

    bool blocksPart() { return crashes.isBlocked({ .request = 999, .sharedParts = { deadly } }); }
    bool blocksBoth() { return blocksPart() && crashes.isBlocked({ .request = request }); }
    bool hasKey(const std::string& key) const { return follower_.find(key) != nullptr; }
    bool hasBothKeys() const { return hasKey(partKey) && hasKey(requestKey); }

    // Moves the node's time forward.
    void advance(Millis time)
    {
        offset_ += time;
        crashes.sweep();
    }

private:
    Millis offset_ { 0 };
    FakeKvStore& store_;
    bool isPlanner_ = false;
    Clock clock_ = [this, steady = makeSteadyClock()] { return steady() + offset_; };
    LogCapture logLines_;
    DecisionLog log_ { { .clock = clock_, .descriptor = logLines_.descriptor() } };
    PlatformAdapter adapter_ { .store = store_.makeStore() };
    StoreFollower follower_ { store_.context(), { .clock = makeSteadyClock(), .prefixes = { Presence::keyPrefix }, .timing = { .wait = Millis(200), .pause = Millis(10), .retryDelay = Millis(25) } }, adapter_.store, log_ };

public:
    CrashList crashes { { .clock = clock_ } };

private:
    StoredBlocks blocks_ { { .clock = clock_, .node = "a", .retryInterval = Millis(100), .mayWrite = [this] { return isPlanner_; }, .blocks = [this] { return crashes.blocks(); }, .onBlock = [this](const CrashBlock& block) { crashes.noteKeptBlock(block); } }, follower_, adapter_, log_ };
};

class StoredBlocksTest : public testing::Test {
protected:
    void waitUntil(const std::function<bool()>& condition) { runUntil(store_.context(), condition); }

    FakeKvStore store_;
};

TEST_F(StoredBlocksTest, ProcessThatStartsAfterAllHaveEndedBlocksWhatCrashedEndpoints)
{
    {
        Node killed(store_, true);
        killed.crashEndpoints();
        waitUntil([&] { return killed.hasBothKeys(); });
    }
    for (const bool isPlanner : { false, true }) {
        Node started(store_, isPlanner);
        EXPECT_FALSE(started.blocksPart());
        waitUntil([&] { return started.blocksBoth(); });
        EXPECT_EQ(started.crashes.ownBlocks(), std::vector<uint64_t> { deadly }) << "nodes that start without the store learn it from this one";
    }
}

// The store's keys must not make a mistake last: a block ends by the node's own rules, and its key with it.
TEST_F(StoredBlocksTest, KeyIsRemovedWhenTheBlockEnds)
{
    Node planner(store_, true);
    Node other(store_, false);
    planner.crashEndpoints();
    waitUntil([&] { return other.blocksBoth() && planner.hasBothKeys(); });
    planner.crashes.noteSoundParts({ deadly });
    waitUntil([&] { return !other.hasKey(partKey); });
    EXPECT_TRUE(other.hasKey(requestKey));
    planner.advance(Millis(61000));
    waitUntil([&] { return !other.hasKey(requestKey); });
    EXPECT_TRUE(other.blocksBoth()) << "until its own time is over";
    other.advance(Millis(61000));
    EXPECT_TRUE(other.crashes.isEmpty());
}

TEST_F(StoredBlocksTest, OnlyThePlannerWrites)
{
    Node other(store_, false);
    other.crashEndpoints();
    store_.run(Millis(300));
    EXPECT_FALSE(other.hasKey(partKey) || other.hasKey(requestKey));
}

TEST_F(StoredBlocksTest, BlockFoundWhileTheStoreIsAwayIsKeptAfterItsReturn)
{
    Node planner(store_, true);
    store_.run(Millis(50));
    store_.setDown(true);
    planner.crashEndpoints();
    store_.run(Millis(300));
    EXPECT_TRUE(planner.blocksBoth());
    store_.setDown(false);
    waitUntil([&] { return planner.hasBothKeys(); });
}

TEST_F(StoredBlocksTest, WriteWithALostAnswerTakesEffectOnce)
{
    Node planner(store_, true);
    store_.loseAnswers(1);
    planner.crashEndpoints();
    waitUntil([&] { return planner.hasBothKeys(); });
}

// A copy of the store may lack the keys.
TEST_F(StoredBlocksTest, KeysThatARestoreOfTheStoreLostAreWrittenAgain)
{
    store_.setEra(1);
    Node planner(store_, true);
    store_.run(Millis(50));
    store_.keepCopy();
    planner.crashEndpoints();
    waitUntil([&] { return planner.hasBothKeys(); });
    store_.restoreCopy();
    waitUntil([&] { return !planner.hasKey(partKey); });
    waitUntil([&] { return planner.hasBothKeys(); });
}

// Keys of other writers must not end a process or block anything.
TEST_F(StoredBlocksTest, UnreadableKeysAreIgnoredAndRemoved)
{
    for (const std::string key : { "", "part/", "part/xyz", "request", "\x01/7", "part/00000000000000000000bad0" })
        store_.put(StoredBlocks::keyPrefix + key, "\xff");
    store_.put(requestKey, "a");
    Node planner(store_, true);
    waitUntil([&] { return planner.crashes.isBlocked({ .request = request }); });
    waitUntil([&] { return !planner.hasKey(StoredBlocks::keyPrefix) && !planner.hasKey(StoredBlocks::keyPrefix + "part/xyz"); });
    EXPECT_TRUE(planner.hasKey(requestKey));
}

} // namespace
