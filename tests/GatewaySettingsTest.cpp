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

} // namespace
