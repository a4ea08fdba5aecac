#include "gateway/GatewaySettings.h"

#include <gtest/gtest.h>

using namespace hemlockweir;

namespace {

const std::string wellFormed = R"([gateway]
node = "n1"
failure_domain = "a"
callers = "127.0.0.1:1000"
ready = "127.0.0.1:1001"
control = "127.0.0.1:1002"
peers = "127.0.0.1:1003"
seeds = ["127.0.0.2:1002", "127.0.0.3:1002"]

[gateway.platform]
store = "127.0.0.9:2000"
)";

TEST(GatewaySettings, ReadsAddressesAndSeeds)
{
    ASSERT_TRUE(hasGatewaySettings(wellFormed, "f"));
    const absl::StatusOr<GatewaySettings> settings = parseGatewaySettings(wellFormed, "f");
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->control.toString(), "127.0.0.1:1002");
    EXPECT_EQ(settings->store.toString(), "127.0.0.9:2000");
    ASSERT_EQ(settings->seeds.size(), 2U);
    EXPECT_EQ(settings->seeds[1].toString(), "127.0.0.3:1002");
}

TEST(GatewaySettings, ReportsEveryErrorWithItsLine)
{
    std::string text = wellFormed;
    text.replace(text.find("127.0.0.3:1002"), 14, "nowhere");
    text += "colour = \"green\"\n";
    const absl::StatusOr<GatewaySettings> settings = parseGatewaySettings(text, "node.toml");
    ASSERT_FALSE(settings.ok());
    const std::string message(settings.status().message());
    EXPECT_NE(message.find("node.toml:8"), std::string::npos) << message;
    EXPECT_NE(message.find("colour"), std::string::npos) << message;
}

TEST(GatewaySettings, RequiresTheStore)
{
    const absl::StatusOr<GatewaySettings> settings = parseGatewaySettings(wellFormed.substr(0, wellFormed.find("[gateway.platform]")), "f");
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(std::string(settings.status().message()).find("platform"), std::string::npos);
}

TEST(GatewaySettings, DerivesTheBoundsFromTheMachine)
{
    const absl::StatusOr<GatewaySettings> settings = parseGatewaySettings(wellFormed + "\n[gateway.memory]\nmemory_mb = 112\nmax_open_files = 2870\n", "f");
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->bounds.callerMemory, 28U * 1024 * 1024);
    EXPECT_EQ(settings->bounds.endpointMemory, 28U * 1024 * 1024);
    // Each request at work has a connection to an endpoint too.
    EXPECT_LT(2 * settings->bounds.callerConnections + settings->bounds.idleEndpointConnections + 2 * settings->bounds.controlConnections, 2870U - 200);
    EXPECT_GT(settings->bounds.callerConnections, 900U);
}

// Seen with the settings left out: 80 callers took 331 MB of a process, since the budget was a gigabyte on any machine.
TEST(GatewaySettings, DerivesTheBoundsFromTheMachineWithoutSettings)
{
    const MachineLimits machine { .memory = size_t { 112 } * 1024 * 1024, .openFiles = 2870 };
    const absl::StatusOr<GatewaySettings> named = parseGatewaySettings(wellFormed + "\n[gateway.memory]\nmemory_mb = 112\nmax_open_files = 2870\n", "f");
    for (const char* memory : { "", "\n[gateway.memory]\n" }) {
        const absl::StatusOr<GatewaySettings> settings = parseGatewaySettings(wellFormed + memory, "f", machine);
        ASSERT_TRUE(settings.ok()) << settings.status();
        EXPECT_EQ(settings->bounds, named->bounds);
    }
    // What the settings name holds, whatever the machine has.
    const absl::StatusOr<GatewaySettings> other = parseGatewaySettings(wellFormed + "\n[gateway.memory]\nmemory_mb = 64\nmax_open_files = 256\n", "f", machine);
    EXPECT_EQ(other->bounds.callerMemory, 16U * 1024 * 1024);
    EXPECT_LT(other->bounds.callerConnections, 128U);
}

TEST(GatewaySettings, RefusesBoundsThatTheMachineCannotHold)
{
    for (const char* memory : { "memory_mb = 15", "max_open_files = 64", "memory_mb = 32\ncaller_memory_mb = 30", "max_open_files = 256\nmax_connections = 200", "memory = 3", "discard_bytes = -1" })
        EXPECT_FALSE(parseGatewaySettings(wellFormed + "\n[gateway.memory]\n" + memory + "\n", "f").ok()) << memory;
}

} // namespace
