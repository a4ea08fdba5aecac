#include "support/ProxyTest.h"

// Requests of callers that are unusual, ambiguous or malformed. Each was first sent by hand to a node that answered it
// wrongly.

using namespace hemlockweir;

namespace {

class CallerRequestsTest : public ProxyTest {
protected:
    CallerRequestsTest() { configure(); }

    // Makes the endpoints answer with the id of the request, as real ones do.
    void echoIds()
    {
        for (ScriptedEndpoint* endpoint : { &first_, &second_ })
            endpoint->setScript([endpoint](int) { return ScriptedResponse { sealedResponse(headerOf(endpoint->requests().back(), "Test-Id"), "whole") }; });
    }

    // Returns the value of a header, or an empty text when it is absent.
    static std::string headerOf(const std::string& message, const std::string& name)
    {
        const size_t at = message.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const size_t start = at + name.size() + 4;
        return message.substr(start, message.find("\r\n", start) - start);
    }

    static std::string withoutId(const std::string& path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: shop\r\nTest-Key: secret\r\nTest-Deadline: 2000\r\nContent-Length: 2\r\n\r\nhi";
    }

    // Expects that the request is refused with status 400, at once, on a connection that is then closed.
    void expectBadRequest(const std::string& bytes)
    {
        const Millis start = clock_();
        const std::string answer = exchange(bytes);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << bytes << answer;
        EXPECT_EQ(headerOf(answer, "Connection"), "close") << bytes;
        EXPECT_LT(clock_() - start, Millis(500)) << bytes;
        EXPECT_EQ(requestCount(), 0U) << bytes;
    }
};

// Endpoints reject a request without an id, and logs can't name it.
TEST_F(CallerRequestsTest, RequestWithoutAnIdGetsOne)
{
    echoIds();
    const std::string answer = exchange(withoutId("/order/7"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    ASSERT_EQ(requestCount(), 1U);
    EXPECT_FALSE(headerOf(answer, "Test-Id").empty());
    EXPECT_EQ(headerOf(answer, "Test-Id"), headerOf(lastRequest(), "Test-Id"));
    const std::string other = exchange(withoutId("/order/7"));
    EXPECT_NE(headerOf(other, "Test-Id"), headerOf(answer, "Test-Id"));
}

TEST_F(CallerRequestsTest, RefusalOfARequestWithoutAnIdNamesOne)
{
    dispatcher_.setTargets("desk", {});
    const std::string answer = exchange(withoutId("/order/7"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_FALSE(headerOf(answer, "Test-Id").empty());
}

TEST_F(CallerRequestsTest, InvalidIdIsRefused)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    for (const std::string& id : { std::string(129, 'x'), std::string("two words"), std::string("\xc3\xa4") })
        EXPECT_TRUE(exchange(request("/order/7", id)).starts_with("HTTP/1.1 400 ")) << id;
    EXPECT_TRUE(exchange(request("/order/7", "r1", "Test-Id: r2\r\n")).starts_with("HTTP/1.1 400 "));
    EXPECT_EQ(requestCount(), 0U);
}

// Only a lack of room can be cured by another endpoint.
TEST_F(CallerRequestsTest, BadRequestOfAnEndpointIsForwarded)
{
    script([](int) { return ScriptedResponse { "HTTP/1.1 400 Bad Request\r\nTest-Id: r1\r\nTest-Seal: s\r\nTest-Not-Run: 1\r\nContent-Length: 3\r\n\r\nbad" }; });
    const std::string answer = exchange(request("/order/7", "r1"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nbad")) << answer;
    EXPECT_EQ(requestCount(), 1U);
}

// Endpoints may resolve dot segments: the request would run under the rules of another route.
TEST_F(CallerRequestsTest, DotSegmentsAreRefused)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    for (const char* path : { "/look/../order/1", "/look/%2e%2e/order/1", "/look/%2E./order/1", "/look/./1", "/look/..", "/look/..%2forder/1", "/look/..\\order/1", "/look/..%5Corder/1" })
        expectBadRequest(request(path, "r1"));
}

TEST_F(CallerRequestsTest, DotsInsideOfASegmentAreForwarded)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    for (const char* path : { "/look/..1/a..b/...", "/look/v1.2", "/look/1?back=../order/" })
        EXPECT_TRUE(exchange(request(path, "r1")).ends_with("whole")) << path;
}

// A header that is listed in Connection concerns one connection only, but not one that the proxy acts on.
TEST_F(CallerRequestsTest, ConnectionHeaderRemovesNoHeaderOfTheProxy)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    const std::string answer = exchange(request("/look/7", "r1", "Connection: Test-Id, test-model, Private\r\nTest-Model: m\r\nPrivate: x\r\n"));
    EXPECT_TRUE(answer.ends_with("whole")) << answer;
    EXPECT_EQ(headerOf(lastRequest(), "Test-Id"), "r1");
    EXPECT_EQ(headerOf(lastRequest(), "Test-Model"), "m");
    EXPECT_EQ(lastRequest().find("Private"), std::string::npos);
}

TEST_F(CallerRequestsTest, OrderThatExpectsContinueRuns)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    const std::string bytes = request("/order/7", "r1", "Expect: 100-continue\r\n");
    ScriptedCaller caller(context_, proxy_.port());
    caller.send(bytes.substr(0, bytes.size() - 2));
    caller.readUntil("HTTP/1.1 100 Continue\r\n\r\n");
    caller.send(bytes.substr(bytes.size() - 2));
    caller.readUntil("\r\n\r\nwhole");
    EXPECT_EQ(requestCount(), 1U);
}

// The process is paused while it connects to the endpoint. The time left that the request tells the endpoint is over by
// then, and its caller is gone or has asked again.
TEST_F(CallerRequestsTest, RequestIsNotSentAfterAPauseWhileConnecting)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    ScriptedCaller caller(context_, proxy_.port());
    caller.send(request("/order/7", "r1"));
    while (proxy_.flowCount() == 0)
        context_.run_one();
    clockOffset_ = Millis(5000);
    runUntil(context_, [this] { return proxy_.flowCount() == 0; });
    EXPECT_EQ(requestCount(), 0U);
    caller.readUntil("HTTP/1.1 503 ");
}

TEST_F(CallerRequestsTest, RequestNamesExactlyOneHost)
{
    script([](int) { return ScriptedResponse { sealedResponse("r1", "whole") }; });
    expectBadRequest("GET /look/1 HTTP/1.1\r\nTest-Id: r1\r\nTest-Key: secret\r\n\r\n");
    expectBadRequest("GET /look/1 HTTP/1.1\r\nHost: shop\r\nHost: shop\r\nTest-Id: r1\r\nTest-Key: secret\r\n\r\n");
}

// Some parsers accept a bare line feed as the end of a line, others don't.
TEST_F(CallerRequestsTest, BareLineFeedInAHeadIsRefusedAtOnce)
{
    expectBadRequest("GET /look/1 HTTP/1.1\nHost: shop\nTest-Id: r1\nTest-Key: secret\n\n");
    expectBadRequest("GET /look/1 HTTP/1.1\r\nHost: shop\nTest-Id: r1\r\nTest-Key: secret\r\n");
}

} // namespace
