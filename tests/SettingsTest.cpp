// Tests that every mistake in a settings file is reported with file, line and what to write instead.

#include "config/Settings.h"
#include "support/Mutate.h"

#include <gtest/gtest.h>

namespace hemlockweir {

static const std::string validNode = R"([node]
name = "n1"
failure_domain = "a"
callers = "10.0.0.4:8080"
peers = "10.0.0.4:8081"
cluster_key = "opaque-0001-nodes"
operator_key = "opaque-0002-operators"
)";
static const std::string validPlatform = R"([platform]
urls = ["http://10.0.0.2:2379"]
instances_url = "http://10.0.0.2:2379/instances"
)";

static std::string errorMessage(const std::string& text)
{
    return std::string(parseSettings(text, "n.toml").status().message());
}

TEST(Settings, AcceptsAValidFile)
{
    EXPECT_EQ(errorMessage(validNode + validPlatform), "");
    const absl::StatusOr<Settings> settings = parseSettings(validNode + validPlatform + "[limits]\nmax_requests_per_caller = 7\n", "n.toml");
    ASSERT_TRUE(settings.ok());
    EXPECT_EQ(settings->maxRequestsPerCaller, 7);
}

TEST(Settings, DerivesBoundsFromTheMachine)
{
    const MachineLimits machine { .memory = size_t { 112 } * 1024 * 1024, .openFiles = 256 };
    const std::string text = validNode + validPlatform;
    const absl::StatusOr<Settings> settings = parseSettings(text, "n.toml", machine);
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->callerMemory, 28U * 1024 * 1024);
    EXPECT_LT(2 * settings->maxConnections + settings->maxPeerConnections, 256);
    EXPECT_EQ(parseSettings(text, "n.toml")->maxConnections, Settings().maxConnections);
    // Connections with TLS take more memory.
    const std::string tls = text + "[tls]\ncertificate_file = \"c\"\nkey_file = \"k\"\n";
    const MachineLimits small { .memory = size_t { 16 } * 1024 * 1024, .openFiles = 100000 };
    EXPECT_LT(parseSettings(tls, "n.toml", small)->maxConnections, parseSettings(text, "n.toml", small)->maxConnections);
    // More than the descriptors leave is no error: such files were valid before.
    EXPECT_EQ(parseSettings(text + "[limits]\nmax_connections = 20000\n", "n.toml", machine)->maxConnections, settings->maxConnections);
    EXPECT_EQ(parseSettings(text + "[limits]\nmax_connections = 10\n", "n.toml", machine)->maxConnections, 10);
}

TEST(Settings, ReportsLocationAndFixOfEachError)
{
    struct Case {
        std::string text;
        std::string expected;
    };
    const std::vector<Case> cases {
        { validNode + "seeds = [\"10.0.0.5:8081\", \"10.0.0.5:8081\"]\n" + validPlatform, "n.toml:8: node.seeds: '10.0.0.5:8081' is listed twice" },
        { validNode + "seeds = [\"host:8081\"]\n" + validPlatform, "n.toml:8: node.seeds: 'host:8081': write ADDRESS:PORT with an IP address" },
        { validNode + "workers = \"2\"\n" + validPlatform, "n.toml:8: node.workers: write a whole number from 1 to 64" },
        { validNode + "workers = 2.5\n" + validPlatform, "n.toml:8: node.workers: write a whole number from 1 to 64" },
        { validNode + validPlatform + "[limits]\nrequest_timeout_s = 10\n", "n.toml:12: limits.request_timeout_s: unknown key; write request_timeout_ms" },
        { validNode + validPlatform + "[limits]\nmax_connections = 10\nmax_connections_per_address = 20\n", "n.toml:13: limits.max_connections_per_address: is above max_connections and has no effect; write at most 10" },
        { validNode + validPlatform + "[timing]\nstatus_interval_ms = 1000\n", "timing.status_freshness_ms: write at least twice status_interval_ms" },
        { validNode + validPlatform + "[timing]\nreport_flush_interval_ms = 500\n", "n.toml:12: timing.report_flush_interval_ms: write at least report_share_interval_ms" },
        { validNode + validPlatform + "[tls]\nkey_file = \"node.key\"\n", "tls.certificate_file: is required with key_file" },
        { validNode + validPlatform + "[extra]\n", "n.toml:11: extra: unknown key" },
        { validNode, "platform.urls: write at least one URL" },
        { validPlatform, "node.operator_key: is required" },
        { "[[[[", "n.toml:1: " },
        { std::string(100000, '['), "n.toml:1: " },
        { "a = " + std::string(100000, '['), "n.toml:1: " },
    };
    for (const Case& testCase : cases)
        EXPECT_NE(errorMessage(testCase.text).find(testCase.expected), std::string::npos) << errorMessage(testCase.text).substr(0, 2000);
}

TEST(Settings, RejectsOrAcceptsArbitraryInput)
{
    EXPECT_TRUE(rc::check([] {
        const std::string message = errorMessage(mutate(validNode + validPlatform + "[limits]\nhead_bytes = 4096\n[timing]\nlease_ttl_ms = 5000\n"));
        RC_ASSERT(message.empty() || message.find("n.toml:") != std::string::npos);
        RC_ASSERT(message.find("opaque") == std::string::npos);
    }));
}

} // namespace hemlockweir
