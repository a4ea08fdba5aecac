// Tests the encoding of messages between nodes, their envelopes and TCP frames, and the packing of
// configuration documents.

#include "wire/Codec.h"
#include "rollout/ConfigExchange.h"
#include "wire/Frame.h"
#include "wire/MembershipMessages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static const QByteArray key = "a key for tests only";
static const Sender sender { .node = "n1", .incarnation = 7, .sequence = 9 };

TEST(Codec, ReturnsWhatWasSealed)
{
    const Heartbeat heartbeat { .domain = "a", .region = "r", .callerEndpoint = "10.0.0.1:80", .peerEndpoint = "10.0.0.1:81", .configRevision = 12, .leaving = true };
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
    // The endianness flag of the portable archive (little-endian), then a vector length of 2^32 - 1.
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
    (void)decodeBody<Digest>(body);
    (void)decodeBody<RecordsRequest>(body);
    (void)decodeBody<Challenge>(body);
    (void)decodeBody<Relayed>(body);
    (void)decodeBody<ConfigRequest>(body);
    (void)decodeBody<ConfigDocument>(body);
    (void)openEnvelope(body, key);
}

RC_GTEST_PROP(Codec, ReturnsEveryDigest, (const std::vector<uint64_t>& ids, const std::string& name))
{
    Digest digest { .records = { { .node = name.substr(0, maxNameLength), .incarnation = 3, .beat = 4, .heartbeat = { .domain = "a", .platformDown = true } } }, .beats = {} };
    for (const uint64_t id : ids)
        digest.beats.push_back({ .id = id, .beat = static_cast<uint32_t>(id) });
    RC_PRE(digest.beats.size() <= maxBeatsPerDigest);
    const auto decoded = decodeBody<Digest>(encodeBody(digest));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == digest);
}

RC_GTEST_PROP(Frame, IsExtractedWholeHoweverTheStreamIsSplit, (const std::vector<std::string>& messages))
{
    constexpr qsizetype limit = 1 << 20;
    QByteArray stream;
    for (const std::string& message : messages)
        stream += makeFrame(QByteArray::fromStdString(message));
    QByteArray received;
    size_t next = 0;
    while (next < messages.size()) {
        const auto frame = extractFrame(received, limit);
        RC_ASSERT(frame.ok());
        if (*frame) {
            RC_ASSERT((*frame)->toStdString() == messages[next++]);
            continue;
        }
        RC_ASSERT(!stream.isEmpty());
        const auto piece = *rc::gen::inRange<qsizetype>(1, stream.size() + 1);
        received += stream.left(piece);
        stream.remove(0, piece);
    }
}

TEST(Frame, RefusesALengthBeyondTheLimitBeforeTheBytesCome)
{
    QByteArray received("\xff\xff\xff\xff", 4);
    EXPECT_TRUE(absl::IsInvalidArgument(extractFrame(received, 1024).status()));
}

TEST(PackedDocument, ReturnsWhatWasPackedAndRefusesAClaimedSizeBeyondTheLimit)
{
    const QByteArray json(900000, 'x');
    EXPECT_EQ(unpackDocument(packDocument(json)).value(), json);
    std::string bomb = packDocument(json);
    bomb[0] = '\x7f'; // claims 2 GB
    EXPECT_TRUE(absl::IsInvalidArgument(unpackDocument(bomb).status()));
    EXPECT_TRUE(absl::IsInvalidArgument(unpackDocument("").status()));
    EXPECT_TRUE(absl::IsInvalidArgument(unpackDocument("abcdefgh").status()));
}

// A document of the maximum size fits in one message, and a larger one cannot be encoded.
TEST(Codec, CarriesTheLargestDocument)
{
    const ConfigDocument document { .revision = 9, .packed = std::string(maxPackedDocumentBytes, '\x80') };
    const auto envelope = openEnvelope(sealMessage(document, sender, key), key);
    ASSERT_TRUE(envelope.ok());
    EXPECT_EQ(decodeBody<ConfigDocument>(envelope->body).value(), document);
    const ConfigDocument tooLarge { .revision = 9, .packed = std::string(maxPackedDocumentBytes + 1, 'x') };
    EXPECT_THROW((void)encodeBody(tooLarge), std::length_error);
}

} // namespace hemlockweir
