#include "platform/Documents.h"
#include "gateway/EndpointFollower.h"
#include "support/FakeKvStore.h"
#include "support/ScriptedEndpoint.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

// Tests with entries of endpoints that another writer may have left in the platform's store.

using namespace hemlockweir;

namespace {

const std::string key = absl::StrCat(adapter::endpointPrefix, "i-1");

// Returns a sound entry with one field replaced or added.
std::string entryWith(const std::string& field, const std::string& value)
{
    const std::vector<std::pair<std::string, std::string>> sound { { "service", R"("desk")" }, { "address", R"("127.0.0.1:80")" }, { "zone", R"("z1")" }, { "slots", "6" }, { "state", R"("ready")" }, { "born", "1790000000000" } };
    std::string text;
    bool isReplaced = false;
    for (const auto& [name, usual] : sound) {
        const bool isField = name == field;
        isReplaced = isReplaced || isField;
        absl::StrAppend(&text, text.empty() ? "{" : ",", "\"", name, "\":", isField ? value : usual);
    }
    if (!isReplaced)
        absl::StrAppend(&text, ",\"", field, "\":", value);
    return text + "}";
}

std::string nested(const std::string& open, const std::string& close, size_t depth)
{
    std::string text;
    for (size_t i = 0; i < depth; ++i)
        text += open;
    text += "1";
    for (size_t i = 0; i < depth; ++i)
        text += close;
    return text;
}

std::vector<std::string> oddEntries()
{
    std::vector<std::string> entries { "", "{", "null", "[]", "\xff\xfe", std::string(1024 * 1024, '[') };
    for (const char* address : { "1", "null", R"("127.0.0.1")", R"("127.0.0.1:0")", R"("127.0.0.1:65536")", R"("127.0.0.1:-1")", R"("127.0.0.1:99999999999")", R"("host:80")", R"("127.0.0.1:80:80")" })
        entries.push_back(entryWith("address", address));
    for (const char* number : { "-1", "0.5", "1e300", "-1e300", "1e999", "18446744073709551616", R"("6")", "[]", "{}" })
        entries.push_back(entryWith("slots", number));
    for (const char* number : { "-1", "1e300", "18446744073709551616", R"("now")" })
        entries.push_back(entryWith("born", number));
    for (const char* group : { R"({"name":"g","epoch":1e300,"rank":0,"state":"open"})", R"({"name":"g","epoch":1,"rank":1e300,"state":"open"})", R"({"name":"g","epoch":1,"rank":-1,"state":"open"})", R"({"name":1,"epoch":1})" })
        entries.push_back(entryWith("group", group));
    for (const size_t depth : { 2000, 200000 }) {
        entries.push_back(entryWith("more", nested("[", "]", depth)));
        entries.push_back(entryWith("more", nested("{\"a\":", "}", depth)));
    }
    return entries;
}

TEST(OddEntry, DescribesNoEndpoint)
{
    ASSERT_TRUE(adapter::decodeEndpoint({ .key = key, .value = entryWith("more", "[1]") }).ok());
    for (const std::string& entry : oddEntries())
        EXPECT_FALSE(adapter::decodeEndpoint({ .key = key, .value = entry }).ok()) << entry.substr(0, 200);
}

// Nesting that the parser allows is searched for null fields.
TEST(OddEntry, MayBeNestedAsDeeplyAsTheParserAllows)
{
    for (const auto& [open, close] : { std::pair("[", "]"), std::pair("{\"a\":", "}") })
        EXPECT_TRUE(adapter::decodeEndpoint({ .key = key, .value = entryWith("more", nested(open, close, 1000)) }).ok());
}

TEST(ServiceDocument, NamesTheMemoryOfAReplica)
{
    const absl::StatusOr<ProxyConfiguration> configuration = adapter::decodeConfiguration(R"({"version":1,"routes":[],"services":[{"name":"engines","engine":{"models":[],"kv_capacity":90000}},{"name":"others","engine":{"models":[]}}]})");
    ASSERT_TRUE(configuration.ok()) << configuration.status();
    EXPECT_EQ(configuration->findService("engines")->engines->memoryTokens, 90000U);
    EXPECT_EQ(configuration->findService("others")->engines->memoryTokens, 0U) << "unknown";
}

// Guards against a node that stops following the list, or ends, because of one entry.
TEST(OddEntry, LeavesTheOthersInTheList)
{
    FakeKvStore store;
    DecisionLog log({ .clock = store.clock(), .descriptor = -1 });
    PlatformAdapter platform { .store = store.makeStore(), .configurationKey = "config", .endpointPrefix = adapter::endpointPrefix, .decodeEndpoint = adapter::decodeEndpoint };
    StoreFollower follower(store.context(), { .clock = store.clock(), .prefixes = { adapter::endpointPrefix }, .timing = { .wait = Millis(200), .pause = Millis(5) } }, platform.store, log);
    EndpointFollower endpoints(store.context(), { .clock = store.clock(), .onChange = [] {} }, follower, platform, log);
    store.put(key, entryWith("slots", "1"));
    follower.start();
    uint32_t slots = 1;
    for (const std::string& entry : oddEntries()) {
        store.put(absl::StrCat(adapter::endpointPrefix, "odd"), entry);
        store.put(key, entryWith("slots", std::to_string(++slots)));
        runUntil(store.context(), [&] { return endpoints.endpoints().size() == 1 && endpoints.endpoints().front().slots == slots; });
    }
    EXPECT_EQ(endpoints.endpoints().size(), 1U);
}

} // namespace
