// The envelopes and messages between nodes.

#include "wire/Codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static const QByteArray key = "a key for tests only";
static const Sender sender { .node = "n1", .incarnation = 7, .sequence = 9 };

TEST(Codec, ReturnsWhatWasSealed)
{
    const Heartbeat heartbeat { .domain = "a", .region = "r", .callers = "10.0.0.1:80", .peers = "10.0.0.1:81", .configRevision = 12, .leaving = true };
    const absl::StatusOr<Envelope> envelope = openEnvelope(sealMessage(heartbeat, sender, key), key);
    ASSERT_TRUE(envelope.ok());
    EXPECT_EQ(envelope->sender, sender);
    const absl::StatusOr<Heartbeat> decoded = decodeBody<Heartbeat>(envelope->body);
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(*decoded, heartbeat);
}

TEST(Codec, RefusesAnotherKey)
{
    EXPECT_TRUE(absl::IsPermissionDenied(openEnvelope(sealMessage(Heartbeat {}, sender, key), "another key").status()));
}

TEST(Codec, RefusesALengthBeyondTheMessageBeforeSizingIt)
{
    // Little-endian flag of the portable archive, then a vector that claims 2^32 - 1 rows.
    const QByteArray body("\x01\xff\xff\xff\xff", 5);
    EXPECT_TRUE(absl::IsInvalidArgument(decodeBody<Groups>(body).status()));
}

RC_GTEST_PROP(Codec, RefusesEveryChangedByte, ())
{
    QByteArray bytes = sealMessage(Usage { .groups = { { .group = "g1", .inFlight = 3 } } }, sender, key);
    const auto at = *rc::gen::inRange<int>(0, static_cast<int>(bytes.size()));
    const auto flip = *rc::gen::inRange<int>(1, 256);
    bytes[at] = static_cast<char>(bytes[at] ^ flip);
    RC_ASSERT(!openEnvelope(bytes, key).ok());
}

RC_GTEST_PROP(Codec, SurvivesArbitraryBodies, (const std::string& bytes))
{
    const QByteArray body = QByteArray::fromStdString(bytes);
    (void)decodeBody<Heartbeat>(body);
    (void)decodeBody<Groups>(body);
    (void)decodeBody<Usage>(body);
    (void)openEnvelope(body, key);
}

} // namespace hemlockweir
