// Tests that every mistake in service files is reported with file, line and what to write instead.

#include "config/ServiceFile.h"
#include "support/Mutate.h"

#include <gtest/gtest.h>

namespace hemlockweir {

static const std::string validFile = R"([[priority]]
name = "urgent"
floor_share = 0.6

[[caller]]
name = "press-floor"
key_sha256 = "5e4c7d3e825723600e74d95212cff2dc1d783e6066804bc930658735d8449284"
default_priority = "urgent"

[[model]]
name = "m"
pool = "models"

[[service]]
name = "orders"
pool = "orders"
path = "/orders"
)";

static std::string errorMessage(const std::vector<ServiceFile>& files)
{
    return std::string(buildConfiguration(files).status().message());
}

// Returns the error message for a valid file together with `text` as a second file.
static std::string errorMessageWithSecondFile(const std::string& text)
{
    return errorMessage({ { .name = "a.toml", .text = validFile }, { .name = "b.toml", .text = text } });
}

TEST(ServiceFile, AcceptsAValidFile)
{
    EXPECT_EQ(errorMessage({ { .name = "a.toml", .text = validFile } }), "");
}

TEST(ServiceFile, ReportsBothLocationsOfADuplicate)
{
    const std::string message = errorMessageWithSecondFile("\n[[model]]\nname = \"m\"\npool = \"more\"\n");
    EXPECT_NE(message.find("b.toml:2: the name 'm' is used twice, defined in a.toml:10 and b.toml:2; keep one"), std::string::npos) << message;
}

TEST(ServiceFile, ReportsLocationAndFixOfEachError)
{
    struct Case {
        std::string text;
        std::string expected;
    };
    const std::vector<Case> cases {
        { "[[caller]]\nname = \"x\"\nkey_sha256 = \"abc\"\ndefault_priority = \"urgent\"\n", "b.toml:3: caller.key_sha256: write the 64" },
        { "[[caller]]\nname = \"x\"\nkey_sha256 = \"" + std::string(64, 'a') + "\"\ndefault_priority = \"late\"\n", "b.toml:1: caller.default_priority: 'late' is not a priority of these files; write one of: urgent" },
        { "[[caller]]\nname = \"x\"\nkey_sha256 = \"5e4c7d3e825723600e74d95212cff2dc1d783e6066804bc930658735d8449284\"\ndefault_priority = \"urgent\"\n", "have the same key" },
        { "[[priority]]\nname = \"batch\"\nfloor_share = 0.5\n", "a.toml:1, b.toml:1: floor_share adds up to 1.1" },
        { "[[priority]]\nname = \"batch\"\nfirst_token_s = 5\n", "b.toml:3: priority.first_token_s: unknown key; write first_token_ms" },
        { "[[priority]]\nname = \"batch\"\nrank = \"1\"\n", "b.toml:3: priority.rank: write a whole number from 0 to 9" },
        { "[[model]]\nname = \"n\"\npool = \"models\"\nmembers = 65\n", "b.toml:4: model.members: write a whole number from 1 to 64" },
        { "[[service]]\nname = \"x\"\npool = \"x\"\npath = \"/v1/models\"\n", "b.toml:4: service.path: overlaps /v1" },
        { "[[service]]\nname = \"x\"\npool = \"x\"\npath = \"/orders/new\"\n", "the paths /orders and /orders/new overlap" },
        { "[[service]]\nname = \"x\"\npool = \"models\"\npath = \"/x\"\n", "'models' is the pool of model 'm' in a.toml:10" },
        { "[[service]]\nname = \"x\"\npool = \"x\"\npath = \"x\"\n", "b.toml:4: service.path: write a path such as" },
        { "[model]\nname = \"n\"\n", "b.toml:1: model: write [[model]] above each entry" },
        { "\n\nname = \n", "b.toml:3: " },
        { "[[[[", "b.toml:1: " },
        { std::string(100000, '['), "b.toml:1: " },
    };
    for (const Case& testCase : cases)
        EXPECT_NE(errorMessageWithSecondFile(testCase.text).find(testCase.expected), std::string::npos) << errorMessageWithSecondFile(testCase.text);
}

TEST(ServiceFile, RejectsOrAcceptsArbitraryInput)
{
    EXPECT_TRUE(rc::check([] {
        const std::string text = mutate(validFile);
        const absl::StatusOr<Configuration> configuration = buildConfiguration({ { .name = "a.toml", .text = text } });
        if (!configuration.ok())
            RC_ASSERT(configuration.status().message().find("a.toml:") != std::string_view::npos);
        else
            RC_ASSERT(validateConfiguration(*configuration).ok());
    }));
}

} // namespace hemlockweir
