#include "proxy/CrashList.h"

#include "proxy/Placement.h"

#include <gtest/gtest.h>

// Tests of the detection of requests that crash every endpoint that runs them.

using namespace hemlockweir;

namespace {

class CrashListTest : public testing::Test {
protected:
    // The request loses its connection to the endpoint, and the endpoint is then found to be down.
    void crash(uint64_t request, const std::string& endpoint)
    {
        list_.noteConnectionLost(request, endpoint);
        list_.noteEndpointDown(endpoint);
        now_ += Millis(2000);
    }

    Millis now_ { 100000 };
    std::vector<std::pair<uint64_t, uint32_t>> reportedCrashes_;
    CrashList list_ { { .clock = [this] { return now_; }, .maxRequests = 10, .onCrash = [this](uint64_t request, uint32_t endpoint) { reportedCrashes_.emplace_back(request, endpoint); } } };
};

TEST_F(CrashListTest, ThirdCrashBlocksTheRequest)
{
    crash(7, "e1");
    crash(7, "e2");
    EXPECT_FALSE(list_.isBlocked(7));
    crash(7, "e3");
    EXPECT_TRUE(list_.isBlocked(7));
    EXPECT_FALSE(list_.isBlocked(8));
    EXPECT_EQ(reportedCrashes_.size(), 3U);
}

// An endpoint that corrupts or loses a response but stays alive has not crashed.
TEST_F(CrashListTest, LostConnectionToALiveEndpointIsNoCrash)
{
    for (int i = 0; i < 20; ++i) {
        list_.noteConnectionLost(7, "e" + std::to_string(i));
        now_ += Millis(100);
    }
    EXPECT_FALSE(list_.isBlocked(7));
}

TEST_F(CrashListTest, AnswerClearsTheRequest)
{
    crash(7, "e1");
    crash(7, "e2");
    list_.noteAnswered(7);
    crash(7, "e3");
    EXPECT_FALSE(list_.isBlocked(7));
}

// A request that runs beside one that crashes the endpoint gets one crash, not another with each report of it.
TEST_F(CrashListTest, OneCrashCountsOnce)
{
    list_.noteConnectionLost(7, "e1");
    list_.noteConnectionLost(7, "e1");
    list_.noteEndpointDown("e1");
    list_.noteEndpointDown("e1");
    list_.notePeerCrash(7, hashTarget("e1"));
    list_.notePeerCrash(7, hashTarget("e1"));
    EXPECT_FALSE(list_.isBlocked(7));
    EXPECT_EQ(reportedCrashes_.size(), 1U);
}

TEST_F(CrashListTest, RestartedEndpointCanCrashAgain)
{
    crash(7, "e1");
    crash(7, "e1");
    crash(7, "e1");
    EXPECT_TRUE(list_.isBlocked(7));
}

TEST_F(CrashListTest, CrashesFoundByOtherNodesCount)
{
    crash(7, "e1");
    list_.notePeerCrash(7, hashTarget("e2"));
    list_.notePeerCrash(7, hashTarget("e3"));
    EXPECT_TRUE(list_.isBlocked(7));
    EXPECT_EQ(reportedCrashes_.size(), 1U) << "a crash found by another node must not be published again";
}

TEST_F(CrashListTest, RequestExpires)
{
    crash(7, "e1");
    crash(7, "e2");
    crash(7, "e3");
    now_ += Millis(61000);
    list_.sweep();
    EXPECT_FALSE(list_.isBlocked(7));
    EXPECT_TRUE(list_.isEmpty());
}

TEST_F(CrashListTest, LateReportOfADownEndpointIsIgnored)
{
    list_.noteConnectionLost(7, "e1");
    now_ += Millis(6001);
    list_.noteEndpointDown("e1");
    EXPECT_TRUE(reportedCrashes_.empty());
}

TEST_F(CrashListTest, EvictsTheOldestBeyondTheLimit)
{
    for (uint64_t i = 0; i < 100; ++i)
        crash(i, "e" + std::to_string(i));
    for (int i = 0; i < 2; ++i)
        list_.notePeerCrash(99, static_cast<uint32_t>(i));
    EXPECT_TRUE(list_.isBlocked(99));
    for (int i = 0; i < 2; ++i)
        list_.notePeerCrash(0, static_cast<uint32_t>(i));
    EXPECT_FALSE(list_.isBlocked(0)) << "the oldest entry should have been evicted";
}

TEST(Fingerprint, DiffersByCallerPathAndBody)
{
    const uint64_t one = CrashList::fingerprint("key", "POST", "/a/1", "body");
    EXPECT_EQ(one, CrashList::fingerprint("key", "POST", "/a/1", "body"));
    EXPECT_NE(one, CrashList::fingerprint("key2", "POST", "/a/1", "body"));
    EXPECT_NE(one, CrashList::fingerprint("key", "POST", "/a/", "1body"));
    EXPECT_NE(one, CrashList::fingerprint("key", "POST", "/a/1", "body2"));
}

} // namespace
