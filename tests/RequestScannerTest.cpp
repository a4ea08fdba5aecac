// Tests of the scanner that validates requests before Qt's lenient HTTP parser.

#include "http/RequestScanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockweir {

static ScanVerdict scanWhole(const std::string& bytes, RequestLimits limits = {})
{
    RequestScanner scanner(limits);
    return scanner.scan(bytes);
}

TEST(RequestScanner, AcceptsOneAndPipelinedRequests)
{
    RequestScanner scanner({});
    EXPECT_EQ(scanner.scan("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n"), ScanVerdict::Ok);
    EXPECT_EQ(scanner.requestsSeen(), 2U);
    EXPECT_FALSE(scanner.isMidRequest());
}

TEST(RequestScanner, RefusesAmbiguousLengths)
{
    EXPECT_EQ(scanWhole("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"), ScanVerdict::BadRequest);
    EXPECT_EQ(scanWhole("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), ScanVerdict::BadRequest);
    EXPECT_EQ(scanWhole("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), ScanVerdict::LengthRequired);
    EXPECT_EQ(scanWhole("POST / HTTP/9.9\r\n\r\n"), ScanVerdict::VersionNotSupported);
    EXPECT_EQ(scanWhole("POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n"), ScanVerdict::BadRequest);
}

TEST(RequestScanner, EnforcesTheLimits)
{
    const RequestLimits limits { .headBytes = 64, .bodyBytes = 10 };
    EXPECT_EQ(scanWhole("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", limits), ScanVerdict::PayloadTooLarge);
    EXPECT_EQ(scanWhole("GET / HTTP/1.1\r\nX: " + std::string(100, 'x'), limits), ScanVerdict::HeadTooLarge);
}

TEST(RequestScanner, RequestsTheBodyAfterExpectContinue)
{
    EXPECT_EQ(scanWhole("POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"), ScanVerdict::Continue);
}

RC_GTEST_PROP(RequestScanner, FindsTheSameRequestsForAnySplit, ())
{
    const std::string bytes = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    RequestScanner scanner({});
    for (size_t at = 0; at < bytes.size();) {
        const auto count = *rc::gen::inRange<size_t>(1, 20);
        RC_ASSERT(scanner.scan(std::string_view(bytes).substr(at, count)) == ScanVerdict::Ok);
        at += count;
    }
    RC_ASSERT(scanner.requestsSeen() == 2U);
}

} // namespace hemlockweir
