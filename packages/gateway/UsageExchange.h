#pragma once

#include "base/DecisionLog.h"
#include "config/Settings.h"
#include "gateway/Presence.h"
#include "proxy/CrashList.h"
#include "proxy/Dispatcher.h"
#include "wire/Bounded.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

// Nodes send each other, many times a second, how many requests they run on each target and queue for each model, which targets failed to
// answer, and which requests crashed an endpoint. The messages are UDP datagrams encoded by cereal. Each message
// carries the complete usage, so that a lost one is superseded by the next. A target that failed to answer is reported
// in one message, a crash in several. Datagrams are accepted only from the addresses of nodes that are registered in
// the platform's store.

namespace hemlockweir {

// One target in a datagram.
struct UsageRow {
    uint32_t target = 0; // hashTarget() of its id
    uint32_t running = 0; // requests
    uint32_t promptMs = 0; // ms until their prompts are processed
    bool isSuspect = false; // the target has just failed to answer

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target, running, promptMs, isSuspect);
    }
    auto operator<=>(const UsageRow&) const = default;
};

// A request that crashed an endpoint, with some of the suspected parts of its prompt. A report of more parts takes several rows.
struct CrashRow {
    static constexpr uint32_t maxParts = 8;
    static constexpr uint32_t maxPosition = 16384; // of a part in a prompt; a head has fewer

    uint64_t request = 0; // CrashList::fingerprint()
    uint32_t endpoint = 0; // hashTarget() of its id
    uint32_t ageMs = 0; // since the crash was found
    uint32_t position = 0; // of the first of these parts
    std::vector<uint64_t> parts; // some of CrashList::hashSharedParts(), 0 for those that are no suspects

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request, endpoint, ageMs, position, bounded(parts, maxParts));
    }
    auto operator<=>(const CrashRow&) const = default;
};

// The request limit of one endpoint in a datagram; see LimitReport.
struct LimitRow {
    uint32_t target = 0;
    int64_t startedAtMs = 0;
    double perSecond = 0;
    uint32_t ageMs = 0;
    uint64_t sent = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(target, startedAtMs, perSecond, ageMs, sent);
    }
    auto operator<=>(const LimitRow&) const = default;
};

// The queue of one model in a datagram.
struct QueueRow {
    uint32_t model = 0; // hashModel()
    uint32_t waiting = 0; // requests

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(model, waiting);
    }
    auto operator<=>(const QueueRow&) const = default;
};

// The recent use of one organisation in a datagram; see OrganisationUse.
struct OrganisationRow {
    uint32_t organisation = 0;
    uint32_t useMs = 0; // ms of engine time

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, useMs);
    }
    auto operator<=>(const OrganisationRow&) const = default;
};

struct UsageMessage {
    static constexpr uint32_t currentFormat = 7;
    static constexpr uint32_t maxNameBytes = 200;
    static constexpr uint32_t maxRows = 4000;
    static constexpr uint32_t maxCrashes = 64;
    static constexpr uint32_t maxBlocks = 32;
    static constexpr uint32_t maxSoundParts = 64;
    static constexpr uint32_t maxLimits = 300;
    static constexpr uint32_t maxQueues = 64;
    static constexpr uint32_t maxOrganisations = OrganisationShares::maxReports;

    uint32_t format = currentFormat;
    std::string node;
    uint64_t sequence = 0; // of this message; see UsageSequence
    std::vector<UsageRow> rows;
    std::vector<CrashRow> crashes;
    std::vector<uint64_t> blocks; // CrashList::ownBlocks()
    std::vector<uint64_t> soundParts; // hashes of suspected parts of prompts that an endpoint has answered
    std::vector<LimitRow> limits;
    std::vector<QueueRow> queues; // models with waiting requests
    std::vector<OrganisationRow> organisations;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(format, bounded(node, maxNameBytes), sequence, bounded(rows, maxRows), bounded(crashes, maxCrashes), bounded(blocks, maxBlocks), bounded(soundParts, maxSoundParts), bounded(limits, maxLimits), bounded(queues, maxQueues), bounded(organisations, maxOrganisations));
    }
    auto operator<=>(const UsageMessage&) const = default;
};

// Accepts the messages of one node in order. A message that arrives late, even from before a restart, must not replace
// newer usage. The high half of a sequence is drawn at each start of the process, because the time of day may jump and
// nothing else outlives a restart; the low half counts messages.
class UsageSequence {
public:
    // Returns the first sequence of a process.
    static uint64_t start(const Random& random) { return random() << 32; }

    // Returns whether a message is newer than all accepted ones, and records it if so.
    bool accept(uint64_t sequence);

private:
    uint64_t last_ = 0;
    std::optional<uint64_t> previousIncarnation_; // high half of the sequences of the process before
};

class UsageExchange {
public:
    struct Options {
        Clock clock;
        Random random;
        std::string node;
        Endpoint address; // UDP, of this node
        Millis minInterval { 60 }; // ms between two regular messages
        Millis intervalPerPeer { 5 }; // ms added for each peer; bounds the datagrams per second
        Millis earlyInterval { 10 }; // ms, minimum between a message and an early one
        Millis earlyIntervalPerPeer { 1 }; // ms added for each peer
        std::function<PeerUsage()> ownUsage; // returns this node's usage
        std::function<void(const std::string& node, PeerUsage)> onUsage; // a peer's usage was received
        std::function<void(uint32_t target)> onSuspect; // a peer got no answer from the target
        std::function<void(const CrashReport&, Millis age)> onCrash; // a peer detected a crash so long ago; the report may have only some of the suspected parts
        std::function<std::vector<uint64_t>()> ownBlocks; // returns what this node blocks because it crashes endpoints; may be empty
        std::function<void(uint64_t blocked)> onBlock; // a peer blocks a request or a part of prompts; may be empty
        std::function<void(uint64_t part)> onSoundPart; // a peer got a response to a suspected part; may be empty
        std::function<std::vector<LimitReport>()> takeLimitReports; // returns what to tell about the limits of endpoints; may be empty
        std::function<void(const std::string& node, const std::vector<LimitReport>&)> onLimits; // a peer's message told this, maybe nothing; may be empty
        std::function<std::vector<OrganisationUse>()> ownOrganisations; // returns the recent use of organisations at this node; may be empty
        std::function<void(const std::string& node, const std::vector<OrganisationUse>&)> onOrganisations; // a peer's message told this, maybe nothing; may be empty
    };

    UsageExchange(boost::asio::io_context& context, Options options, DecisionLog& log);

    // Binds the socket and starts to send and receive. Returns Unavailable if the address can't be bound.
    absl::Status start();

    // Sets the other nodes, as registered in the platform's store.
    void setPeers(const std::vector<Presence::Peer>& peers);

    // Reports a target that failed to answer in the next message.
    void addSuspect(uint32_t target) { suspects_.insert(target); }

    // Reports a request that crashed an endpoint in the next few messages.
    void addCrash(const CrashReport& crash);

    // Reports a suspected part of prompts that is sound in the next few messages.
    void addSoundPart(uint64_t part) { soundParts_[part] = messagesPerReport; }

    // Sends the next message ahead of the regular interval, because other nodes should receive a change soon.
    void publishSoon();

private:
    // Number of messages that carry one report. More than one, because datagrams may be lost.
    static constexpr int messagesPerReport = 3;
    // Rows of crashes that wait for their messages; beyond this further ones are dropped.
    static constexpr size_t maxWaitingCrashes = 1024;

    // A row of a crash, to be sent in so many more messages.
    struct WaitingCrash {
        CrashRow row;
        Millis addedAt { 0 };
        int remaining = messagesPerReport;
    };

    void publish();
    void addUsage(UsageMessage& message);
    void addReports(UsageMessage& message);
    void addLimits(UsageMessage& message);
    void handleLimits(const UsageMessage& message);
    void addOrganisations(UsageMessage& message);
    void handleOrganisations(const UsageMessage& message);
    void receive();
    void handleMessage(const std::string& bytes);

    Options options_;
    DecisionLog& log_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    RepeatingTimer timer_;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    std::map<std::string, UsageSequence> sequences_; // by node
    std::set<uint32_t> suspects_;
    std::vector<WaitingCrash> crashes_;
    std::map<uint64_t, int> soundParts_; // with the number of messages still to carry it
    uint64_t sequence_ = 0;
    Millis publishedAt_ { 0 };
    bool isEarlyPublishScheduled_ = false;
};

} // namespace hemlockweir
