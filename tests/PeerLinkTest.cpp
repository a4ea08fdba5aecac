// Tests membership: replay protection, failure detection and forwarding by relays.

#include "membership/PeerLink.h"
#include "base/Rendezvous.h"
#include "support/Wait.h"

#include <QCoreApplication>
#include <QNetworkDatagram>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace hemlockweir {

static const QByteArray key = "a key for tests only";

// Links in one process on loopback ports. Each receives through a forwarding socket that can be
// cut.
class Links {
public:
    struct Member {
        std::unique_ptr<PeerLink> link;
        std::unique_ptr<QUdpSocket> inbound; // forwards to the link's own port
        bool isCut = false;
        std::vector<QByteArray> forwarded; // datagrams that were forwarded to the link
        std::vector<std::string> receivedGroups; // group names received in broadcasts
    };

    Member& start(const std::string& node, const std::string& domain, const std::vector<std::string>& seeds, uint64_t incarnation = 1)
    {
        Member& member = members_[node];
        member.link.reset();
        if (!member.inbound)
            openInbound(member);
        const quint16 port = freePort();
        std::vector<std::string> endpoints;
        endpoints.reserve(seeds.size());
        for (const std::string& seed : seeds)
            endpoints.push_back(endpointOf(seed));
        member.link = std::make_unique<PeerLink>(PeerLinkOptions { .node = node, .incarnation = incarnation, .address = QHostAddress::LocalHost, .port = port, .seeds = endpoints, .clusterKey = key, .heartbeatInterval = Millis(20), .aliveTimeout = Millis(400), .clock = makeSteadyClock(), .random = makeSeededRandom(stableHash(node)) });
        ports_[node] = port;
        member.link->setHeartbeat({ .domain = domain, .peerEndpoint = endpointOf(node) });
        member.link->onMessage = [&member](const Envelope& envelope) {
            if (const auto groups = decodeBody<Groups>(envelope.body); envelope.kind == MessageKind::Groups && groups.ok())
                member.receivedGroups.push_back(groups->rows.front().group);
        };
        EXPECT_TRUE(member.link->start().ok());
        return member;
    }

    Member& operator[](const std::string& node) { return members_.at(node); }
    std::string endpointOf(const std::string& node) { return "127.0.0.1:" + std::to_string(members_.at(node).inbound->localPort()); }

    // Sends bytes to a node from a socket outside the cluster.
    void inject(const std::string& node, const QByteArray& bytes) { unknownSender_.writeDatagram(bytes, QHostAddress::LocalHost, ports_.at(node)); }

    // Returns the incarnation of `peer` that `node` considers alive, or 0 if there is none.
    uint64_t knownIncarnation(const std::string& node, const std::string& peer)
    {
        for (const Peer& known : members_.at(node).link->peers()) {
            if (known.node == peer && known.alive)
                return known.incarnation;
        }
        return 0;
    }

    bool waitForKnown(const std::string& node, const std::string& peer, uint64_t incarnation = 1)
    {
        return waitUntil([&] { return knownIncarnation(node, peer) == incarnation; });
    }

    void stop(const std::string& node) { members_.at(node).link.reset(); }

private:
    static quint16 freePort()
    {
        QUdpSocket probe;
        probe.bind(QHostAddress::LocalHost);
        return probe.localPort();
    }

    void openInbound(Member& member)
    {
        member.inbound = std::make_unique<QUdpSocket>();
        ASSERT_TRUE(member.inbound->bind(QHostAddress::LocalHost));
        QObject::connect(member.inbound.get(), &QUdpSocket::readyRead, member.inbound.get(), [this, &member] { forward(member); });
    }

    void forward(Member& member)
    {
        while (member.inbound->hasPendingDatagrams()) {
            const QByteArray bytes = member.inbound->receiveDatagram().data();
            if (member.isCut || !member.link)
                continue;
            member.forwarded.push_back(bytes);
            for (const auto& [name, other] : members_) {
                if (&other == &member)
                    member.inbound->writeDatagram(bytes, QHostAddress::LocalHost, ports_.at(name));
            }
        }
    }

    std::map<std::string, Member> members_;
    std::map<std::string, quint16> ports_;
    QUdpSocket unknownSender_;
};

RC_GTEST_PROP(ReplayWindow, AcceptsEachNumberOnceAndNothingUpToItsFloor, (const std::vector<uint16_t>& numbers, uint8_t floor))
{
    ReplayWindow window(floor);
    std::set<uint64_t> accepted;
    for (const uint16_t number : numbers) {
        if (window.accept(number))
            RC_ASSERT(number > floor && accepted.insert(number).second);
    }
}

RC_GTEST_PROP(ReplayWindow, AcceptsReorderedDatagrams, ())
{
    ReplayWindow window(10);
    const auto order = *rc::gen::container<std::set<uint8_t>>(rc::gen::inRange<uint8_t>(11, 255));
    for (auto it = order.rbegin(); it != order.rend(); ++it)
        RC_ASSERT(window.accept(*it));
}

TEST(SenderCheck, AcceptsAnIncarnationOnlyAfterItsAnswer)
{
    SenderCheck check({ .secret = 1 });
    const Sender sender { .node = "n2", .incarnation = 9, .sequence = 5 };
    EXPECT_EQ(check.check(sender), SenderVerdict::Challenge);
    const uint64_t nonce = check.nonceFor(sender, Millis(0));
    EXPECT_NE(nonce, SenderCheck({ .secret = 2 }).nonceFor(sender, Millis(0))) << "an answer to the challenge of another node is rejected";
    EXPECT_FALSE(check.confirm(sender, nonce + 1, Millis(1)));
    EXPECT_FALSE(check.confirm({ .node = "n2", .incarnation = 8, .sequence = 5 }, nonce, Millis(1)));
    EXPECT_FALSE(check.confirm(sender, nonce, Millis(10000))) << "too late";
    EXPECT_TRUE(check.confirm(sender, nonce, Millis(1)));
    EXPECT_EQ(check.check({ .node = "n2", .incarnation = 9, .sequence = 4 }), SenderVerdict::Refuse) << "older than the answer";
    EXPECT_EQ(check.check({ .node = "n2", .incarnation = 9, .sequence = 6 }), SenderVerdict::Accept);
    EXPECT_EQ(check.check({ .node = "n2", .incarnation = 9, .sequence = 6 }), SenderVerdict::Refuse) << "a replay";
}

TEST(SenderCheck, ReplacedIncarnationIsNotAcceptedAgain)
{
    SenderCheck check({ .secret = 1 });
    const Sender first { .node = "n2", .incarnation = 9, .sequence = 5 };
    const Sender second { .node = "n2", .incarnation = 3, .sequence = 1 };
    ASSERT_TRUE(check.confirm(first, check.nonceFor(first, Millis(0)), Millis(0)));
    ASSERT_TRUE(check.confirm(second, check.nonceFor(second, Millis(0)), Millis(0)));
    EXPECT_EQ(check.check({ .node = "n2", .incarnation = 9, .sequence = 6 }), SenderVerdict::Refuse);
    EXPECT_FALSE(check.confirm(first, check.nonceFor(first, Millis(0)), Millis(0))) << "a replayed answer";
    EXPECT_EQ(check.check({ .node = "n2", .incarnation = 3, .sequence = 2 }), SenderVerdict::Accept);
}

RC_GTEST_PROP(Rendezvous, OnlyTheLostNamesRoleMoves, (const std::set<std::string>& names))
{
    const std::vector<std::string> all(names.begin(), names.end());
    const std::vector<std::string> picked = pickByRendezvous(all, "role", 2);
    RC_ASSERT(picked.size() == std::min<size_t>(2, all.size()));
    for (const std::string& lost : all) {
        std::vector<std::string> rest = all;
        std::erase(rest, lost);
        const std::vector<std::string> next = pickByRendezvous(rest, "role", 2);
        for (const std::string& name : picked)
            RC_ASSERT(name == lost || std::find(next.begin(), next.end(), name) != next.end());
    }
}

RC_GTEST_PROP(Rendezvous, OthersOnlyFillRemainingPlaces, (const std::set<std::string>& names))
{
    constexpr size_t count = 2;
    std::vector<std::string> preferred;
    std::vector<std::string> others;
    for (const std::string& name : names)
        (*rc::gen::arbitrary<bool>() ? preferred : others).push_back(name);
    const std::vector<std::string> picked = pickPreferred(preferred, others, "role", count);
    RC_ASSERT(picked.size() == std::min(count, names.size()));
    const auto isPreferred = [&](const std::string& name) { return std::find(preferred.begin(), preferred.end(), name) != preferred.end(); };
    RC_ASSERT(static_cast<size_t>(std::count_if(picked.begin(), picked.end(), isPreferred)) == std::min(count, preferred.size()));
}

// A node reports the platform as unreachable until its next poll, which may be a minute later.
TEST(PeerLink, RoleIsFilledThoughOnlyOneNodeReachesThePlatform)
{
    Links links;
    const std::vector<std::string> nodes { "n1", "n2", "n3", "n4" };
    for (const std::string& node : nodes)
        links.start(node, "a", { "n1" });
    for (const char* node : { "n2", "n3", "n4" })
        links[node].link->setHeartbeat({ .domain = "a", .peerEndpoint = links.endpointOf(node), .platformDown = true });
    constexpr size_t watchers = 2;
    const auto isSelected = [&](const std::string& node) { return links[node].link->isSelectedFor("watcher", watchers); };
    const auto knowsAll = [&](const std::string& node) {
        const std::vector<Peer> peers = links[node].link->peers();
        return peers.size() == nodes.size() - 1
            && std::all_of(peers.begin(), peers.end(), [](const Peer& peer) { return peer.alive && peer.heartbeat.platformDown == (peer.node != "n1"); });
    };
    EXPECT_TRUE(waitUntil([&] { return std::all_of(nodes.begin(), nodes.end(), knowsAll) && std::count_if(nodes.begin(), nodes.end(), isSelected) == watchers; }));
    EXPECT_TRUE(isSelected("n1"));
}

TEST(PeerLink, NodesOfThreeDomainsDiscoverEachOther)
{
    Links links;
    links.start("n1", "a", {});
    links.start("n2", "a", { "n1" });
    links.start("n3", "b", { "n1" });
    links.start("n4", "c", { "n2" });
    for (const char* node : { "n1", "n2", "n3", "n4" }) {
        for (const char* peer : { "n1", "n2", "n3", "n4" })
            EXPECT_TRUE(node == peer || links.waitForKnown(node, peer)) << node << " of " << peer;
    }
}

TEST(PeerLink, UpdatesBypassAOneWayCut)
{
    Links links;
    links.start("n1", "a", {});
    links.start("n2", "a", { "n1" });
    links.start("n3", "a", { "n1", "n2" });
    ASSERT_TRUE(links.waitForKnown("n1", "n3"));
    ASSERT_TRUE(links.waitForKnown("n2", "n3"));
    // n3 receives nothing, so it loses all peers; the others still receive from it.
    links["n3"].isCut = true;
    EXPECT_TRUE(waitUntil([&] { return links.knownIncarnation("n3", "n1") == 0 && links.knownIncarnation("n3", "n2") == 0; }));
    EXPECT_NE(links.knownIncarnation("n1", "n2"), 0u);
    links["n3"].isCut = false;
    EXPECT_TRUE(links.waitForKnown("n3", "n1"));
    EXPECT_TRUE(links.waitForKnown("n1", "n3"));
}

TEST(PeerLink, AnotherRelayTakesOverFromADeadOne)
{
    Links links;
    links.start("a1", "a", {});
    const std::vector<std::string> others { "b1", "b2", "b3", "b4" };
    for (const std::string& node : others)
        links.start(node, "b", { "a1" });
    auto reachesAll = [&](const std::vector<std::string>& nodes, const std::string& group) {
        return waitUntil([&] {
            links["a1"].link->broadcast(Groups { .rows = { { .group = group } } });
            return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
                const auto& receivedGroups = links[node].receivedGroups;
                return std::find(receivedGroups.begin(), receivedGroups.end(), group) != receivedGroups.end();
            });
        });
    };
    EXPECT_TRUE(reachesAll(others, "first"));
    const std::string relay = pickByRendezvous(others, "relay", 1).front();
    links.stop(relay);
    std::vector<std::string> rest = others;
    std::erase(rest, relay);
    EXPECT_TRUE(reachesAll(rest, "second"));
    for (const std::string& node : rest)
        EXPECT_TRUE(links.waitForKnown(node, "a1"));
}

TEST(PeerLink, RestartedNodeReplacesItsPreviousIncarnationThoughItsClockIsBehind)
{
    Links links;
    links.start("n1", "a", {});
    links.start("n2", "a", { "n1" }, 1000);
    links.start("n3", "b", { "n1" });
    ASSERT_TRUE(links.waitForKnown("n1", "n2", 1000));
    ASSERT_TRUE(links.waitForKnown("n3", "n2", 1000));
    links.start("n2", "a", { "n1" }, 7);
    EXPECT_TRUE(links.waitForKnown("n1", "n2", 7));
    EXPECT_TRUE(links.waitForKnown("n3", "n2", 7));
}

TEST(PeerLink, ReplayedDatagramsAreRefused)
{
    Links links;
    links.start("n1", "a", {});
    links.start("n2", "a", { "n1" }, 1000);
    ASSERT_TRUE(links.waitForKnown("n1", "n2", 1000));
    ASSERT_TRUE(waitUntil([&] { return links["n1"].forwarded.size() > 10; }));
    const std::vector<QByteArray> old = links["n1"].forwarded;
    links.start("n2", "a", { "n1" }, 7);
    ASSERT_TRUE(links.waitForKnown("n1", "n2", 7));
    uint64_t staleCount = 0;
    links["n1"].link->onMessage = [&](const Envelope& envelope) { staleCount += envelope.sender.incarnation == 1000 ? 1 : 0; };
    const uint64_t received = links["n1"].link->traffic().datagramsReceived;
    for (const QByteArray& bytes : old)
        links.inject("n1", bytes);
    ASSERT_TRUE(waitUntil([&] { return links["n1"].link->traffic().datagramsReceived > received + old.size() + 20; }));
    EXPECT_EQ(staleCount, 0u);
    EXPECT_EQ(links.knownIncarnation("n1", "n2"), 7u);
}

TEST(PeerLink, ForeignForgedAndTruncatedDatagramsDoNoHarm)
{
    Links links;
    links.start("n1", "a", {});
    links.start("n2", "a", { "n1" });
    ASSERT_TRUE(links.waitForKnown("n1", "n2"));
    ASSERT_TRUE(waitUntil([&] { return links["n1"].forwarded.size() > 5; }));
    const std::vector<QByteArray> genuine = links["n1"].forwarded;
    uint64_t sent = 0;
    const uint64_t refused = links["n1"].link->refusedCount();
    EXPECT_TRUE(rc::check("datagrams with arbitrary content are refused", [&](const std::string& text) {
        QByteArray bytes = genuine[*rc::gen::inRange<size_t>(0, genuine.size())];
        const int kind = *rc::gen::inRange(0, 4);
        if (kind == 0)
            bytes = QByteArray::fromStdString(text);
        else if (kind == 1)
            bytes.truncate(*rc::gen::inRange<int>(0, static_cast<int>(bytes.size())));
        else if (kind == 2)
            bytes[*rc::gen::inRange<int>(0, static_cast<int>(bytes.size()))] ^= 1;
        else
            bytes = sealMessage(Digest {}, { .node = "n2", .incarnation = 1, .sequence = 100000 }, "another key");
        links.inject("n1", bytes);
        ++sent;
        QCoreApplication::processEvents();
    }));
    EXPECT_TRUE(waitUntil([&] { return links["n1"].link->refusedCount() >= refused + sent; }));
    EXPECT_EQ(links.knownIncarnation("n1", "n2"), 1u);
}

// Bodies that a node with the cluster key could send because of a bug.
TEST(PeerLink, ArbitraryBodiesUnderTheRightKeyDoNoHarm)
{
    Links links;
    links.start("n1", "a", {});
    links.start("n2", "a", { "n1" });
    ASSERT_TRUE(links.waitForKnown("n1", "n2"));
    uint64_t sequence = 1000000;
    EXPECT_TRUE(rc::check("a body with arbitrary content has no effect", [&](uint8_t kind, const std::string& body) {
        const Envelope envelope { .kind = static_cast<MessageKind>(kind), .sender = { .node = "n2", .incarnation = 1, .sequence = sequence-- }, .body = QByteArray::fromStdString(body) };
        links.inject("n1", sealEnvelope(envelope, key));
        QCoreApplication::processEvents();
    }));
    EXPECT_TRUE(links.waitForKnown("n1", "n2"));
    EXPECT_TRUE(links.waitForKnown("n2", "n1"));
}

// The table of a node, and so its traffic, must not grow with the size of the fleet.
TEST(NodeTable, KnowsItsDomainAndOnlyDelegatesOfOthers)
{
    NodeTable table({ .node = "own" });
    table.setOwn({ .domain = "d0" });
    constexpr int domains = 12;
    constexpr int nodesPerDomain = 31;
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < nodesPerDomain; ++i)
            table.applyRecord({ .node = "n" + std::to_string(domain) + "-" + std::to_string(i), .incarnation = 1, .beat = 1, .heartbeat = { .domain = "d" + std::to_string(domain) } }, Millis(0), false);
    }
    constexpr size_t delegates = 4;
    EXPECT_EQ(table.beats(true).size(), nodesPerDomain + (domains - 1) * delegates);
    EXPECT_LE(table.beats(false).size(), domains * delegates);
    EXPECT_EQ(table.farRelays().size(), (domains - 1) * 2u);
}

} // namespace hemlockweir
