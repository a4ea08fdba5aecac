// The published configuration as nodes read it: a field of a wrong type is never a default.

#include "config/Configuration.h"
#include "support/Mutate.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <gtest/gtest.h>

namespace hemlockweir {

static Configuration makeGood()
{
    return { .publication = "p1",
        .author = "desk",
        .publishedAtMs = 1700000000000,
        .priorities = { { .name = "urgent", .rank = 1, .firstTokenMs = 300, .deadlineMs = 900, .floorShare = 0.25 } },
        .callers = { { .name = "c", .keySha256 = std::string(64, 'a'), .weight = 2.5, .defaultPriority = "urgent" } },
        .models = { { .name = "m", .pool = "models", .members = 4, .replicas = 2 } },
        .services = { { .name = "orders", .pool = "orders", .path = "/orders", .idempotent = true } } };
}

TEST(Configuration, ReadsWhatItWrote)
{
    const absl::StatusOr<Configuration> read = parseConfiguration(formatConfiguration(makeGood()));
    ASSERT_TRUE(read.ok()) << read.status().message();
    EXPECT_EQ(*read, makeGood());
}

static bool isTaken(const QJsonObject& root)
{
    return parseConfiguration(QJsonDocument(root).toJson()).ok();
}

TEST(Configuration, RefusesAWrongTypeInEveryField)
{
    const QJsonObject good = QJsonDocument::fromJson(formatConfiguration(makeGood())).object();
    const std::vector<QJsonValue> others { QJsonValue(QJsonValue::Null), true, -1, 1e300, 0.5, "text", QJsonArray { 1 }, QJsonObject { { "a", 1 } } };
    for (const QString& section : good.keys()) {
        for (const QJsonValue& other : others) {
            QJsonObject root = good;
            root[section] = other;
            if (other.type() != good[section].type()) {
                EXPECT_FALSE(isTaken(root)) << section.toStdString();
            }
        }
        if (!good[section].isArray())
            continue;
        const QJsonObject row = good[section].toArray().at(0).toObject();
        for (const QString& field : row.keys()) {
            for (const QJsonValue& other : others) {
                QJsonObject changed = row;
                changed[field] = other;
                QJsonObject root = good;
                root[section] = QJsonArray { changed };
                if (other.type() != row[field].type() || other.toDouble() < 0 || other.toDouble() > 1e299) {
                    EXPECT_FALSE(isTaken(root)) << section.toStdString() << "." << field.toStdString();
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
    EXPECT_FALSE(parseConfiguration(formatConfiguration(makeGood()) + QByteArray(maxConfigurationBytes, ' ')).ok());
}

TEST(Configuration, RefusesOrTakesWhateverItIsGiven)
{
    const std::string good = formatConfiguration(makeGood()).toStdString();
    EXPECT_TRUE(rc::check([&] {
        const absl::StatusOr<Configuration> read = parseConfiguration(QByteArray::fromStdString(mutate(good)));
        if (!read.ok())
            return;
        RC_ASSERT(validateConfiguration(*read).ok());
        const absl::StatusOr<Configuration> again = parseConfiguration(formatConfiguration(*read));
        RC_ASSERT(again.ok());
        RC_ASSERT(*again == *read);
    }));
}

} // namespace hemlockweir
