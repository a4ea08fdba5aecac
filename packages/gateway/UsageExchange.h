#pragma once

#include "base/DecisionLog.h"
#include "config/Settings.h"
#include "gateway/Presence.h"
#include "proxy/Dispatcher.h"
#include "wire/Bounded.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

// Nodes publish each other, many times a second, how many requests each of them runs on each target, and
// which targets gave no answer. Datagrams over UDP, encoded by cereal; one that is lost is made good by
// the next. Only the addresses of nodes that stand in the platform's store are listened to.

namespace hemlockweir {

// One target in a datagram.
struct UsageRow {
    uint32_t target = 0; // hashTarget() of its id
    uint32_t running = 0; // requests
    uint32_t promptMs = 0; // ms, until their prompts are read
    bool isSuspect = false; // it gave no answer just now

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target, running, promptMs, isSuspect);
    }
    auto operator<=>(const UsageRow&) const = default;
};

// A request that crashed an endpoint.
struct CrashRow {
    uint64_t request = 0; // CrashList::fingerprint()
    uint32_t endpoint = 0; // hashTarget() of its id

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request, endpoint);
    }
    auto operator<=>(const CrashRow&) const = default;
};

struct UsageMessage {
    static constexpr uint32_t currentFormat = 3;
    static constexpr uint32_t maxNameBytes = 200;
    static constexpr uint32_t maxRows = 4000;
    static constexpr uint32_t maxCrashes = 64;

    uint32_t format = currentFormat;
    std::string node;
    uint64_t sequence = 0; // grows with each message of a process
    std::vector<UsageRow> rows;
    std::vector<CrashRow> crashes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(format, bounded(node, maxNameBytes), sequence, bounded(rows, maxRows), bounded(crashes, maxCrashes));
    }
    auto operator<=>(const UsageMessage&) const = default;
};

class UsageExchange {
public:
    struct Options {
        Clock clock;
        std::string node;
        Endpoint address; // UDP, of this node
        Millis minInterval { 60 }; // ms between two tellings
        Millis intervalPerPeer { 5 }; // ms more for each other node: datagrams a second stay bounded
        Millis earlyInterval { 10 }; // ms, at least, before an early telling
        Millis earlyIntervalPerPeer { 1 }; // ms more for each other node
        std::function<std::map<uint32_t, TargetUsage>()> ownUsage;
        std::function<void(const std::string& node, PeerUsage)> onUsage;
        std::function<void(uint32_t target)> onSuspect; // another node got no answer from it
        std::function<void(const CrashRow&)> onCrash; // that another node found
    };

    UsageExchange(boost::asio::io_context& context, Options options, DecisionLog& log);

    absl::Status start();

    // The other nodes, as they stand in the platform's store.
    void setPeers(const std::vector<Presence::Peer>& peers);

    // Tells of a target that gave no answer, in the next message.
    void addSuspect(uint32_t target) { suspects_.insert(target); }

    // Tells of a request that crashed an endpoint, in the next messages.
    void addCrash(const CrashRow& crash);

    // Tells sooner than at the next regular time, of something that others should know at once.
    void publishSoon();

private:
    void publish();
    void receive();
    void handleMessage(const std::string& bytes);

    Options options_;
    DecisionLog& log_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    RepeatingTimer timer_;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    std::map<std::string, uint64_t> lastSequence_; // by node
    std::set<uint32_t> suspects_;
    std::vector<std::pair<CrashRow, int>> crashes_; // with the number of messages that are still to publish of it
    uint64_t sequence_ = 0;
    Millis publishedAt_ { 0 };
    bool isEarlyPublishScheduled_ = false;
};

} // namespace hemlockweir
