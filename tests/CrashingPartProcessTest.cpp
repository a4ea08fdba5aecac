// Tests that what crashes endpoints stays blocked when the only gateway is killed.

#include "support/Cluster.h"

#include <gtest/gtest.h>

namespace hemlockweir {

class KilledGateway : public testing::Test {
protected:
    static constexpr int endpointCount = 8;

    KilledGateway()
    {
        cluster_.startProgram("store", "standin-kvstore", { "--listen", QString::fromStdString(cluster_.addressOf("store")) }, cluster_.urlOf("store") + "/effects");
        for (const std::string& name : endpoints()) {
            const QString address = QString::fromStdString(cluster_.addressOf(name));
            cluster_.startProgram(name, "standin-member", { "--listen", address, "--id", QString::fromStdString(name), "--zone", "a", "--service", "desk", "--store", QString::fromStdString(cluster_.addressOf("store")), "--advertised", address, "--plain" }, cluster_.urlOf(name) + "/effects");
        }
        const std::string settings = "[gateway]\nnode = \"g\"\nfailure_domain = \"a\"\ncallers = \"" + cluster_.addressOf("g") + "\"\nready = \"" + cluster_.addressOf("ready") + "\"\ncontrol = \"" + cluster_.addressOf("control") + "\"\npeers = \""
            + cluster_.addressOf("peers") + "\"\nfirst_start = true\n\n[gateway.platform]\nstore = \"" + cluster_.addressOf("store") + "\"\n";
        cluster_.startProgram("g", "hemlockweir", { "--settings", cluster_.writeFile("g.toml", settings) }, "http://" + cluster_.addressOf("control") + "/metrics");
        const QByteArray configuration = R"({"version":2,"routes":[{"name":"look","host":")" + QByteArray::fromStdString(cluster_.addressOf("g")).split(':').first() + R"(","prefix":"/","service":"desk","kind":"safe","timeout_ms":5000,"target_latency_ms":1000,"max_attempts":2}],
            "services":[{"name":"desk","max_connections":200}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
        EXPECT_EQ(cluster_.call("PUT", cluster_.urlOf("store") + "/entry?key=op/config", configuration).status, 200);
        EXPECT_TRUE(waitUntil([this] { return isSoundServed(); }));
    }

    static std::vector<std::string> endpoints()
    {
        std::vector<std::string> names;
        for (int i = 1; i <= endpointCount; ++i)
            names.push_back("desk-" + std::to_string(i));
        return names;
    }

    int runningEndpoints()
    {
        const std::vector<std::string> names = endpoints();
        return static_cast<int>(std::count_if(names.begin(), names.end(), [this](const std::string& name) { return cluster_.isRunning(name); }));
    }

    // Sends a request whose prompt has the parts "aa", `part` if it is not empty, and one of its own. Returns the status of the answer.
    int send(const std::string& part, const QByteArray& body)
    {
        const QByteArray id = "r" + QByteArray::number(++sent_);
        const QByteArray prompt = "aa:40," + QByteArray::fromStdString(part.empty() ? "" : part + ":165,") + id + ":300";
        return cluster_.call("POST", cluster_.urlOf("g") + "/x", body, { { "X-Request-Id", id }, { "X-Prompt-Prefix", prompt } }).status;
    }

    bool isSoundServed() { return send("", "sound") == 200; }

    // Sends requests that crash endpoints until they are blocked, kills the gateway when it has kept the block, and starts it again.
    void blockAndKill(const std::function<int()>& sendCrashing)
    {
        ASSERT_TRUE(waitUntil([&] { return sendCrashing() == 500; })) << "not blocked";
        EXPECT_TRUE(waitUntil([this] { return cluster_.logOf("g").contains("event=block_kept"); })) << "the block was not written to the store";
        cluster_.kill("g");
        cluster_.restart("g");
        ASSERT_TRUE(waitUntil([this] { return isSoundServed(); }));
    }

    Cluster cluster_;
    int sent_ = 0;
};

// After a kill of all gateways a part of prompts that was blocked crashed endpoints anew.
TEST_F(KilledGateway, KeepsAPartThatCrashesEndpointsBlocked)
{
    const auto sendCrashing = [this] { return send("bad0", "poison " + QByteArray::number(sent_)); };
    blockAndKill(sendCrashing);
    const int running = runningEndpoints();
    EXPECT_EQ(sendCrashing(), 500);
    EXPECT_EQ(runningEndpoints(), running);
    EXPECT_TRUE(isSoundServed());
}

// The same for a request that its caller repeats.
TEST_F(KilledGateway, KeepsARequestThatCrashesEndpointsBlocked)
{
    const auto sendCrashing = [this] { return send("", "poison"); };
    blockAndKill(sendCrashing);
    const int running = runningEndpoints();
    EXPECT_EQ(sendCrashing(), 500);
    EXPECT_EQ(runningEndpoints(), running);
    EXPECT_TRUE(isSoundServed());
}

} // namespace hemlockweir
