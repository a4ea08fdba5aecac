#include "proxy/CrashList.h"

#include "proxy/Placement.h"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

// Tests of the detection of requests that crash every endpoint that runs them.

using namespace hemlockweir;

namespace {

class CrashListTest : public testing::Test {
protected:
    // The request loses its connection to the endpoint, and the endpoint is then found to be down.
    void crash(uint64_t request, const std::string& endpoint)
    {
        list_.noteConnectionLost({ .request = request }, endpoint);
        list_.noteEndpointDown(endpoint);
        now_ += Millis(2000);
    }

    Millis now_ { 100000 };
    std::vector<CrashReport> reportedCrashes_;
    std::vector<uint64_t> soundParts_; // published
    CrashList list_ { { .clock = [this] { return now_; }, .maxCrashes = 10, .onCrash = [this](const CrashReport& report, const std::string&) { reportedCrashes_.push_back(report); }, .onSoundPart = [this](uint64_t part) { soundParts_.push_back(part); } } };
};

TEST_F(CrashListTest, ThirdCrashBlocksTheRequest)
{
    crash(7, "e1");
    crash(7, "e2");
    EXPECT_FALSE(list_.isBlocked({ .request = 7 }));
    crash(7, "e3");
    EXPECT_TRUE(list_.isBlocked({ .request = 7 }));
    EXPECT_FALSE(list_.isBlocked({ .request = 8 }));
    EXPECT_EQ(reportedCrashes_.size(), 3U);
}

// An endpoint that corrupts or loses a response but stays alive has not crashed.
TEST_F(CrashListTest, LostConnectionToALiveEndpointIsNoCrash)
{
    for (int i = 0; i < 20; ++i) {
        list_.noteConnectionLost({ .request = 7 }, "e" + std::to_string(i));
        now_ += Millis(100);
    }
    EXPECT_FALSE(list_.isBlocked({ .request = 7 }));
}

TEST_F(CrashListTest, AnswerClearsTheRequest)
{
    crash(7, "e1");
    crash(7, "e2");
    list_.noteAnswered(7);
    crash(7, "e3");
    EXPECT_FALSE(list_.isBlocked({ .request = 7 }));
}

// A request that runs beside one that crashes the endpoint gets one crash, not another with each report of it.
TEST_F(CrashListTest, OneCrashCountsOnce)
{
    list_.noteConnectionLost({ .request = 7 }, "e1");
    list_.noteConnectionLost({ .request = 7 }, "e1");
    list_.noteEndpointDown("e1");
    list_.noteEndpointDown("e1");
    list_.notePeerCrash({ .subject = { .request = 7 }, .endpoint = hashTarget("e1") });
    list_.notePeerCrash({ .subject = { .request = 7 }, .endpoint = hashTarget("e1") });
    EXPECT_FALSE(list_.isBlocked({ .request = 7 }));
    EXPECT_EQ(reportedCrashes_.size(), 1U);
}

TEST_F(CrashListTest, RestartedEndpointCanCrashAgain)
{
    crash(7, "e1");
    crash(7, "e1");
    crash(7, "e1");
    EXPECT_TRUE(list_.isBlocked({ .request = 7 }));
}

TEST_F(CrashListTest, CrashesFoundByOtherNodesCount)
{
    crash(7, "e1");
    list_.notePeerCrash({ .subject = { .request = 7 }, .endpoint = hashTarget("e2") });
    list_.notePeerCrash({ .subject = { .request = 7 }, .endpoint = hashTarget("e3") });
    EXPECT_TRUE(list_.isBlocked({ .request = 7 }));
    EXPECT_EQ(reportedCrashes_.size(), 1U) << "a crash found by another node must not be published again";
}

TEST_F(CrashListTest, RequestExpires)
{
    crash(7, "e1");
    crash(7, "e2");
    crash(7, "e3");
    now_ += Millis(61000);
    list_.sweep();
    EXPECT_FALSE(list_.isBlocked({ .request = 7 }));
    EXPECT_TRUE(list_.isEmpty());
}

TEST_F(CrashListTest, LateReportOfADownEndpointIsIgnored)
{
    list_.noteConnectionLost({ .request = 7 }, "e1");
    now_ += Millis(6001);
    list_.noteEndpointDown("e1");
    EXPECT_TRUE(reportedCrashes_.empty());
}

TEST_F(CrashListTest, EvictsTheOldestBeyondTheLimit)
{
    for (uint64_t i = 0; i < 100; ++i)
        crash(i, "e" + std::to_string(i));
    for (int i = 0; i < 2; ++i)
        list_.notePeerCrash({ .subject = { .request = 99 }, .endpoint = static_cast<uint32_t>(i) });
    EXPECT_TRUE(list_.isBlocked({ .request = 99 }));
    for (int i = 0; i < 2; ++i)
        list_.notePeerCrash({ .subject = { .request = 0 }, .endpoint = static_cast<uint32_t>(i) });
    EXPECT_FALSE(list_.isBlocked({ .request = 0 })) << "the oldest entry should have been evicted";
}

// Tests of the detection of parts of prompts that crash every endpoint.
class CrashingParts : public CrashListTest {
protected:
    static constexpr uint64_t first = 100; // the part that all prompts here begin with
    static constexpr uint64_t deadly = 200;

    // A request with these parts loses its connection, and its endpoint is found to be down.
    void crash(std::vector<uint64_t> parts)
    {
        ++count_;
        list_.noteConnectionLost({ .request = count_, .sharedParts = std::move(parts) }, endpoint());
        confirm();
    }

    std::string endpoint() const { return "e" + std::to_string(count_); }

    void confirm()
    {
        list_.noteEndpointDown(endpoint());
        now_ += Millis(2000);
    }

    // Returns whether a request that was not seen before is blocked.
    bool isBlocked(std::vector<uint64_t> parts) { return list_.isBlocked({ .request = 999, .sharedParts = std::move(parts) }); }

    uint64_t count_ = 0; // crashes
};

TEST_F(CrashingParts, PartOfDifferentRequestsIsBlockedAfterThreeCrashes)
{
    crash({ first, deadly });
    crash({ first, deadly });
    EXPECT_FALSE(isBlocked({ first, deadly }));
    crash({ first, deadly });
    EXPECT_TRUE(isBlocked({ first, deadly }));
    EXPECT_TRUE(isBlocked({ 101, deadly }));
}

// In the incident all requests that crashed engines began with the same part, and no node had seen a response to it.
TEST_F(CrashingParts, PartBeforeItIsNotBlocked)
{
    for (int i = 0; i < 5; ++i)
        crash({ first, deadly });
    EXPECT_FALSE(isBlocked({ first }));
    EXPECT_FALSE(isBlocked({ first, 300 }));
}

// The ninth part of the prompts crashed one engine after the other and was never a suspect.
TEST_F(CrashingParts, PartIsBlockedWhereverItStands)
{
    for (const size_t position : { 8, 9, 2000 }) {
        std::vector<uint64_t> sound(position);
        std::iota(sound.begin(), sound.end(), 1000);
        list_.noteSoundParts(sound);
        std::vector<uint64_t> parts = sound;
        parts.push_back(100000 + position);
        for (int i = 0; i < 3; ++i)
            crash(parts);
        EXPECT_TRUE(isBlocked(parts)) << position;
        EXPECT_FALSE(isBlocked(sound)) << position;
    }
}

// Callers with long prompts of new parts must not hide the part that crashes endpoints, nor fill the memory.
TEST_F(CrashingParts, LongPromptsBesideItHideNothing)
{
    constexpr size_t longPrompt = 2700; // what a head of 16 KB holds
    uint64_t nextPart = 10000;
    for (int i = 0; i < 3; ++i) {
        for (uint64_t beside = 0; beside < 17; ++beside) {
            std::vector<uint64_t> parts(longPrompt);
            std::iota(parts.begin(), parts.end(), nextPart);
            nextPart += longPrompt;
            list_.noteConnectionLost({ .request = nextPart, .sharedParts = std::move(parts) }, "e" + std::to_string(count_ + 1));
        }
        crash({ first, deadly });
    }
    EXPECT_TRUE(isBlocked({ deadly }));
    EXPECT_FALSE(isBlocked({ first, 10000, nextPart - 1 }));
}

// Other nodes' reports of a long prompt come in several messages, and each of them several times.
TEST_F(CrashingParts, LaterPartsOfAReportAreNoFurtherCrash)
{
    list_.notePeerCrash({ .subject = { .request = 11, .sharedParts = { first } }, .endpoint = 5 });
    for (int i = 1; i <= 4; ++i) {
        now_ += Millis(1500);
        list_.notePeerCrash({ .subject = { .request = 11, .sharedParts = { 0, deadly } }, .endpoint = 5 }, Millis(1500 * i));
    }
    EXPECT_FALSE(list_.isBlocked({ .request = 11 }));
    list_.notePeerCrash({ .subject = { .request = 12, .sharedParts = { first, deadly } }, .endpoint = 6 });
    EXPECT_FALSE(isBlocked({ deadly }));
    list_.notePeerCrash({ .subject = { .request = 13, .sharedParts = { first, deadly } }, .endpoint = 7 });
    EXPECT_TRUE(isBlocked({ deadly }));
    EXPECT_FALSE(isBlocked({ first }));
}

TEST_F(CrashingParts, FirstPartIsBlockedIfNothingElseIsCommon)
{
    crash({ first, 301 });
    crash({ first, 302 });
    crash({ first });
    EXPECT_TRUE(isBlocked({ first }));
    EXPECT_FALSE(isBlocked({ 301 }));
}

// Repetitions of one request say nothing about the parts that it shares with others.
TEST_F(CrashingParts, RepeatedRequestIsBlockedAndNotItsParts)
{
    for (int i = 0; i < 4; ++i) {
        list_.noteConnectionLost({ .request = 7, .sharedParts = { first, deadly } }, endpoint());
        confirm();
        ++count_;
    }
    EXPECT_TRUE(list_.isBlocked({ .request = 7, .sharedParts = { first, deadly } }));
    EXPECT_FALSE(isBlocked({ first, deadly }));
}

// Streams that run beside it and are resumed elsewhere lose one engine after the other too.
TEST_F(CrashingParts, RequestsThatRanBesideItAreNotBlocked)
{
    constexpr uint64_t bystander = 50;
    for (int i = 0; i < 5; ++i) {
        ++count_;
        list_.noteConnectionLost({ .request = bystander, .sharedParts = { 400 } }, endpoint());
        list_.noteConnectionLost({ .request = count_, .sharedParts = { first, deadly } }, endpoint());
        confirm();
        EXPECT_FALSE(list_.isBlocked({ .request = bystander, .sharedParts = { 400 } })) << "after crash " << i + 1;
    }
    EXPECT_TRUE(isBlocked({ deadly }));
}

// An endpoint that crashed after the first event of each answer was taken for one that had survived the prompt.
TEST_F(CrashingParts, PartThatCrashesEndpointsAfterTheAnswerBeganIsBlocked)
{
    for (int i = 0; i < 3; ++i) {
        list_.noteBegunParts({ first, deadly });
        crash({ first, deadly });
    }
    EXPECT_TRUE(isBlocked({ deadly }));
    EXPECT_FALSE(isBlocked({ first })) << "the requests with the part crashed the endpoints, not all requests that begin alike";
}

// What runs beside the crashing requests and has not ended yet must not be taken for them.
TEST_F(CrashingParts, BegunPartInTheSamePlaceIsExaminedLast)
{
    constexpr uint64_t begun = 201;
    for (int i = 0; i < 5; ++i) {
        list_.noteBegunParts({ first, begun });
        list_.noteConnectionLost({ .request = 500 + count_, .sharedParts = { first, begun } }, "e" + std::to_string(count_ + 1));
        crash({ first, deadly });
    }
    EXPECT_TRUE(isBlocked({ deadly }));
    EXPECT_FALSE(isBlocked({ first, begun }));
}

TEST_F(CrashingParts, WholeAnswerLiftsTheBlockOfAPartWhoseAnswersBrokeOff)
{
    for (int i = 0; i < 3; ++i) {
        list_.noteBegunParts({ first });
        crash({ first });
    }
    EXPECT_TRUE(isBlocked({ first }));
    list_.noteBegunParts({ first });
    EXPECT_TRUE(isBlocked({ first })) << "the beginning of an answer proves nothing";
    list_.noteSoundParts({ first });
    EXPECT_FALSE(isBlocked({ first }));
}

TEST_F(CrashingParts, PartThatWasAnsweredIsSound)
{
    list_.noteSoundParts({ first });
    for (int i = 0; i < 5; ++i)
        crash({ first });
    EXPECT_FALSE(isBlocked({ first }));
    EXPECT_EQ(reportedCrashes_.back().subject.sharedParts, std::vector<uint64_t> { 0 }) << "sound parts are not published as suspects";
}

TEST_F(CrashingParts, AnswerLiftsABlockAndIsPublished)
{
    for (int i = 0; i < 3; ++i)
        crash({ first });
    EXPECT_TRUE(isBlocked({ first }));
    list_.noteSoundParts({ first });
    EXPECT_FALSE(isBlocked({ first }));
    EXPECT_EQ(soundParts_, std::vector<uint64_t> { first });
}

TEST_F(CrashingParts, AnswerAtAnotherNodeLiftsABlock)
{
    for (int i = 0; i < 3; ++i)
        crash({ first });
    list_.notePeerSoundPart(first);
    EXPECT_FALSE(isBlocked({ first }));
}

// A node that knows better tells the one that suspects the part.
TEST_F(CrashingParts, SuspicionOfASoundPartIsContradicted)
{
    list_.noteSoundParts({ first });
    list_.notePeerCrash({ .subject = { .request = 1, .sharedParts = { first, deadly } }, .endpoint = 5 });
    EXPECT_EQ(soundParts_, std::vector<uint64_t> { first });
    list_.notePeerBlock(first);
    EXPECT_FALSE(isBlocked({ first }));
    EXPECT_EQ(soundParts_.size(), 2U);
}

TEST_F(CrashingParts, CrashesFoundByOtherNodesCount)
{
    crash({ first, deadly });
    list_.notePeerCrash({ .subject = { .request = 11, .sharedParts = { first, deadly } }, .endpoint = 5 });
    list_.notePeerCrash({ .subject = { .request = 12, .sharedParts = { first, deadly } }, .endpoint = 6 });
    EXPECT_TRUE(isBlocked({ deadly }));
}

// A node that has started since learns it from the others, for as long as they report it.
TEST_F(CrashingParts, BlockOfAnotherNodeHoldsWhileItIsReported)
{
    list_.notePeerBlock(deadly);
    EXPECT_TRUE(list_.ownBlocks().empty()) << "what another node found must not be passed on for ever";
    now_ += Millis(4000);
    list_.notePeerBlock(deadly);
    now_ += Millis(4000);
    EXPECT_TRUE(isBlocked({ deadly }));
    EXPECT_TRUE(list_.ownBlocks().empty());
    now_ += Millis(5001);
    EXPECT_FALSE(isBlocked({ deadly }));
}

TEST_F(CrashingParts, OwnBlocksOfPartsArePublishedAndThoseOfRequestsAreNot)
{
    for (int i = 0; i < 3; ++i)
        crash({ first, deadly });
    for (int i = 0; i < 3; ++i) {
        list_.noteConnectionLost({ .request = 7 }, "f" + std::to_string(i));
        list_.noteEndpointDown("f" + std::to_string(i));
    }
    EXPECT_TRUE(list_.isBlocked({ .request = 7 }));
    EXPECT_TRUE(isBlocked({ deadly }));
    EXPECT_EQ(list_.ownBlocks(), std::vector<uint64_t> { deadly });
}

// Nothing that is blocked can prove to be sound, so a mistake must end by itself.
TEST_F(CrashingParts, BlockEndsAfterItsLongestTimeEvenIfRequestsAskForIt)
{
    for (int i = 0; i < 3; ++i)
        crash({ first });
    const Millis start = now_;
    while (isBlocked({ first }) && now_ - start < Millis(700000)) {
        now_ += Millis(20000);
        list_.sweep();
    }
    EXPECT_LE(now_ - start, Millis(640000));
}

// Callers decide how many parts there are.
TEST_F(CrashingParts, AnswerLiftsABlockAlsoIfTooManyPartsAreKnown)
{
    for (uint64_t part = 1000; part < 6000; ++part)
        list_.noteSoundParts({ part });
    for (int i = 0; i < 3; ++i)
        crash({ first });
    EXPECT_TRUE(isBlocked({ first }));
    list_.noteSoundParts({ first });
    EXPECT_FALSE(isBlocked({ first }));
}

TEST_F(CrashingParts, PartThatCrashesEndpointsAfterAWhileIsBlocked)
{
    list_.noteSoundParts({ first });
    now_ += Millis(61000);
    list_.sweep();
    for (int i = 0; i < 3; ++i)
        crash({ first });
    EXPECT_TRUE(isBlocked({ first }));
}

TEST_F(CrashingParts, UnusedBlockOfAnotherNodeExpires)
{
    list_.notePeerBlock(deadly);
    now_ += Millis(5001);
    list_.sweep();
    EXPECT_TRUE(list_.isEmpty());
}

TEST_F(CrashingParts, BlockHoldsWhileRequestsAskForIt)
{
    for (int i = 0; i < 3; ++i)
        crash({ first, deadly });
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(isBlocked({ deadly })) << i;
        now_ += Millis(50000);
        list_.sweep();
    }
    now_ += Millis(61000);
    list_.sweep();
    EXPECT_FALSE(isBlocked({ deadly }));
    EXPECT_TRUE(list_.isEmpty());
}

// Among sound prompts of a few callers, one part crashes what runs it. It is blocked by the fifth crash, and nothing else ever is.
RC_GTEST_PROP(CrashingPartsProperty, OnlyTheCrashingPartIsBlocked, ())
{
    Millis now { 100000 };
    CrashList list({ .clock = [&now] { return now; } });
    constexpr uint64_t deadly = 200;
    uint64_t request = 1000; // beyond the hashes of the parts
    int crashes = 0;
    const bool crashesAfterTheFirstEvent = *rc::gen::arbitrary<bool>();
    for (int step = 0; step < 200; ++step) {
        now += Millis(*rc::gen::inRange(1, 400));
        const uint64_t caller = *rc::gen::inRange<uint64_t>(1, 4);
        const bool isDeadly = *rc::gen::inRange(0, 5) == 0;
        const CrashSubject subject { .request = ++request, .sharedParts = isDeadly ? std::vector<uint64_t> { caller, deadly } : std::vector<uint64_t> { caller } };
        const bool isBlocked = list.isBlocked(subject);
        RC_ASSERT(isDeadly || !isBlocked);
        if (isBlocked)
            continue;
        if (!isDeadly) {
            list.noteAnswered(subject.request);
            list.noteSoundParts(subject.sharedParts);
            continue;
        }
        RC_ASSERT(++crashes <= 5);
        if (crashesAfterTheFirstEvent)
            list.noteBegunParts(subject.sharedParts);
        const std::string endpoint = "e" + std::to_string(request);
        // A sound prompt that is not answered yet runs beside it.
        list.noteConnectionLost({ .request = 100000 + request, .sharedParts = { *rc::gen::inRange<uint64_t>(1, 4) } }, endpoint);
        list.noteConnectionLost(subject, endpoint);
        list.noteEndpointDown(endpoint);
        now += Millis(1000);
    }
}

TEST(SharedParts, AreAllButTheLast)
{
    const std::vector<uint64_t> parts = CrashList::hashSharedParts("lm", "m", "aa:40, bb:165,cc:300");
    EXPECT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts, CrashList::hashSharedParts("lm", "m", "aa:41,bb:165,dd:7"));
    EXPECT_NE(parts, CrashList::hashSharedParts("other", "m", "aa:40,bb:165,cc:300"));
    EXPECT_NE(parts, CrashList::hashSharedParts("lm", "n", "aa:40,bb:165,cc:300"));
    EXPECT_TRUE(CrashList::hashSharedParts("lm", "m", "cc:300").empty());
    EXPECT_TRUE(CrashList::hashSharedParts("lm", "m", "").empty());
}

// Parts behind the eighth were not looked at.
TEST(SharedParts, CountWhereverTheyStand)
{
    std::string prompt;
    for (int i = 0; i < 1000; ++i)
        prompt += std::to_string(i) + ":1,";
    const std::vector<uint64_t> parts = CrashList::hashSharedParts("lm", "m", prompt);
    EXPECT_EQ(parts.size(), 1000U);
    EXPECT_EQ(std::set<uint64_t>(parts.begin(), parts.end()).size(), 1000U);
    EXPECT_TRUE(CrashList::hashSharedParts("lm", "m", ",,,").empty());
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
