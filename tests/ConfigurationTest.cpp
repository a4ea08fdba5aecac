// Tests how nodes parse the published configuration. A field of the wrong type must be an error and
// must not fall back to its default.

#include "config/Configuration.h"
#include "support/Mutate.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <gtest/gtest.h>

namespace hemlockweir {

static Configuration makeValidConfiguration()
{
    return { .publication = "p1",
        .author = "desk",
        .publishedAtMs = 1700000000000,
        .priorities = { { .name = "urgent", .rank = 1, .firstTokenMs = 300, .deadlineMs = 900, .floorShare = 0.25 } },
        .callers = { { .name = "c", .keySha256 = std::string(64, 'a'), .weight = 2.5, .defaultPriority = "urgent" } },
        .models = { { .name = "m", .pool = "models", .members = 4, .replicas = 2 } },
        .services = { { .name = "orders", .pool = "orders", .path = "/orders", .idempotent = true } } };
}

TEST(Configuration, ParsesItsOwnOutput)
{
    const absl::StatusOr<Configuration> read = parseConfiguration(formatConfiguration(makeValidConfiguration()));
    ASSERT_TRUE(read.ok()) << read.status().message();
    EXPECT_EQ(*read, makeValidConfiguration());
}

static bool isAccepted(const QJsonObject& root)
{
    return parseConfiguration(QJsonDocument(root).toJson()).ok();
}

TEST(Configuration, RefusesAWrongTypeInEveryField)
{
    const QJsonObject valid = QJsonDocument::fromJson(formatConfiguration(makeValidConfiguration())).object();
    const std::vector<QJsonValue> wrongValues { QJsonValue(QJsonValue::Null), true, -1, 1e300, 0.5, "text", QJsonArray { 1 }, QJsonObject { { "a", 1 } } };
    for (const QString& section : valid.keys()) {
        for (const QJsonValue& wrongValue : wrongValues) {
            QJsonObject root = valid;
            root[section] = wrongValue;
            if (wrongValue.type() != valid[section].type()) {
                EXPECT_FALSE(isAccepted(root)) << section.toStdString();
            }
        }
        if (!valid[section].isArray())
            continue;
        const QJsonObject row = valid[section].toArray().at(0).toObject();
        for (const QString& field : row.keys()) {
            for (const QJsonValue& wrongValue : wrongValues) {
                QJsonObject changed = row;
                changed[field] = wrongValue;
                QJsonObject root = valid;
                root[section] = QJsonArray { changed };
                if (wrongValue.type() != row[field].type() || wrongValue.toDouble() < 0 || wrongValue.toDouble() > 1e299) {
                    EXPECT_FALSE(isAccepted(root)) << section.toStdString() << "." << field.toStdString();
                }
            }
        }
    }
}

TEST(Configuration, RefusesDeepAndOversizeDocuments)
{
    EXPECT_FALSE(parseConfiguration("[[[[").ok());
    EXPECT_FALSE(parseConfiguration(QByteArray(100000, '[')).ok());
    EXPECT_FALSE(parseConfiguration("{\"priorities\":" + QByteArray(100000, '[')).ok());
    EXPECT_FALSE(parseConfiguration(formatConfiguration(makeValidConfiguration()) + QByteArray(maxConfigurationBytes, ' ')).ok());
}

TEST(Configuration, RejectsOrAcceptsArbitraryInput)
{
    const std::string valid = formatConfiguration(makeValidConfiguration()).toStdString();
    EXPECT_TRUE(rc::check([&] {
        const absl::StatusOr<Configuration> read = parseConfiguration(QByteArray::fromStdString(mutate(valid)));
        if (!read.ok())
            return;
        RC_ASSERT(validateConfiguration(*read).ok());
        const absl::StatusOr<Configuration> again = parseConfiguration(formatConfiguration(*read));
        RC_ASSERT(again.ok());
        RC_ASSERT(*again == *read);
    }));
}

} // namespace hemlockweir
