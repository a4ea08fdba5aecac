#include "platform/StoreClient.h"
#include "support/ScriptedEndpoint.h"

#include <gtest/gtest.h>

// Tests the client of the key-value store against answers that are malformed or incomplete.

using namespace hemlockweir;

namespace {

class StoreClientTest : public testing::Test {
protected:
    // Makes the store send these bodies, one after the other.
    void answerWith(std::vector<std::string> bodies)
    {
        server_.setScript([bodies = std::move(bodies)](int count) {
            const std::string& body = bodies.at(std::min(bodies.size(), static_cast<size_t>(count)) - 1);
            return ScriptedResponse { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
        });
    }

    absl::StatusOr<KvItems> list()
    {
        std::optional<absl::StatusOr<KvItems>> result;
        store_.list("p/", false, [&](absl::StatusOr<KvItems> items) { result = std::move(items); });
        runUntil(context_, [&] { return result.has_value(); });
        return *result;
    }

    absl::StatusOr<KvChanges> watch()
    {
        std::optional<absl::StatusOr<KvChanges>> result;
        store_.watch("p/", 1, Millis(10), [&](absl::StatusOr<KvChanges> changes) { result = std::move(changes); });
        runUntil(context_, [&] { return result.has_value(); });
        return *result;
    }

    boost::asio::io_context context_;
    ScriptedEndpoint server_ { context_ };
    size_t unreadable_ = 0; // answers that were reported as unreadable
    adapter::StoreClient client_ { context_, { .address = "127.0.0.1", .port = server_.port(), .clock = makeSteadyClock(), .onUnreadable = [this](const std::string&) { ++unreadable_; } } };
    KvStore store_ = client_.makeStore();
};

TEST_F(StoreClientTest, ListsAllPages)
{
    answerWith({ R"({"items":[{"key":"p/a","value":"eA==","revision":3}],"has_more":true,"at":9})", R"({"items":[{"key":"p/b","value":"","revision":4}],"at":11})" });
    const absl::StatusOr<KvItems> items = list();
    ASSERT_TRUE(items.ok()) << items.status();
    ASSERT_EQ(items->items.size(), 2U);
    EXPECT_EQ(items->items[0].value, "x");
    EXPECT_EQ(items->revision, 9U);
}

// An answer that lacks the items must not pass for an empty list: the node would drop all endpoints.
TEST_F(StoreClientTest, AnswerThatIsNoListIsAnError)
{
    for (const char* body : { "", "{}", "[]", "null", R"({"at":9})", R"({"items":{},"at":9})", R"({"items":[]})", R"({"items":[],"at":-1})", R"({"items":[],"at":1e300})", R"({"items":[],"has_more":true,"at":9})" }) {
        answerWith({ body });
        EXPECT_EQ(list().status().code(), absl::StatusCode::kUnknown) << body;
    }
    EXPECT_EQ(unreadable_, 10U);
}

TEST_F(StoreClientTest, ListThatNeverEndsIsAnError)
{
    answerWith({ R"({"items":[{"key":"p/a","value":"","revision":3}],"has_more":true,"at":9})", R"({"items":[],"has_more":true,"at":9})" });
    EXPECT_EQ(list().status().code(), absl::StatusCode::kUnknown);
    EXPECT_EQ(server_.requests().size(), 2U);
}

TEST_F(StoreClientTest, WatchWithoutChangesIsNoError)
{
    answerWith({ R"({"events":[],"at":12})" });
    const absl::StatusOr<KvChanges> changes = watch();
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_EQ(changes->revision, 12U);
    answerWith({ R"({"events":7,"at":12})" });
    EXPECT_FALSE(watch().ok());
}

TEST_F(StoreClientTest, LeaseWithoutAnIdOrATtlIsAnError)
{
    for (const char* body : { "{}", R"({"lease":7})", R"({"ttl_ms":900})", R"({"lease":"x","ttl_ms":900})", R"({"lease":7,"ttl_ms":-3})" }) {
        answerWith({ body });
        std::optional<absl::StatusOr<KvLease>> result;
        store_.grantLease(Millis(900), [&](const absl::StatusOr<KvLease>& lease) { result = lease; });
        runUntil(context_, [&] { return result.has_value(); });
        EXPECT_FALSE(result->ok()) << body;
    }
}

} // namespace
