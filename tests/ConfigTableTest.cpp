// ConfigTable keeps the highest revision, independent of the order in which documents arrive.

#include "rollout/ConfigTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

// Returns a configuration that is identified by its publication.
static Configuration makeConfiguration(int64_t revision)
{
    Configuration configuration;
    configuration.publication = "publication-" + std::to_string(revision);
    return configuration;
}

static void deliver(ConfigTable& table, int64_t revision)
{
    const int64_t before = table.snapshot().revision;
    const bool adopted = table.adopt(makeConfiguration(revision), revision, "document");
    RC_ASSERT(adopted == (revision > before));
    RC_ASSERT(table.snapshot().revision == std::max(before, revision));
}

RC_GTEST_PROP(ConfigTable, HoldsTheNewestOfAnyDeliveries, (const std::vector<uint8_t>& deliveries))
{
    ConfigTable table;
    int64_t newest = 0;
    for (const uint8_t revision : deliveries) {
        deliver(table, revision);
        newest = std::max<int64_t>(newest, revision);
    }
    RC_ASSERT(table.snapshot().revision == newest);
    RC_ASSERT(newest == 0 || table.snapshot().configuration->publication == makeConfiguration(newest).publication);
}

// Tables exchange their configurations in any order and with losses. No table goes back to an older
// revision, and all agree once each has received the newest one.
RC_GTEST_PROP(ConfigTable, ExchangesOnlyMoveUpAndEndInAgreement, ())
{
    constexpr size_t count = 5;
    std::vector<ConfigTable> tables(count);
    const auto steps = *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(rc::gen::arbitrary<std::pair<uint8_t, uint8_t>>());
    int64_t published = 0;
    for (const auto& [from, to] : steps) {
        ConfigTable& target = tables[to % count];
        if (from % (count + 1) == count)
            deliver(target, ++published);
        else if (const ConfigSnapshot received = tables[from % count].snapshot(); received.revision > 0)
            deliver(target, received.revision);
    }
    int64_t newest = 0;
    for (const ConfigTable& table : tables)
        newest = std::max(newest, table.snapshot().revision);
    RC_ASSERT(newest == published);
    for (ConfigTable& table : tables) {
        if (newest > 0)
            deliver(table, newest);
        RC_ASSERT(table.snapshot().revision == newest);
    }
}

} // namespace hemlockweir
