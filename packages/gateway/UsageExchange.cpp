#include "gateway/UsageExchange.h"

#include "wire/Codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cmath>

namespace hemlockweir {

namespace asio = boost::asio;
using boost::system::error_code;

static constexpr size_t maxMessageBytes = 32 * 1024;

bool UsageSequence::accept(uint64_t sequence)
{
    const auto incarnationOf = [](uint64_t of) { return of >> 32; };
    const bool isSameProcess = incarnationOf(sequence) == incarnationOf(last_);
    if (isSameProcess ? sequence <= last_ : incarnationOf(sequence) == previousIncarnation_)
        return false;
    if (!isSameProcess)
        previousIncarnation_ = incarnationOf(last_);
    last_ = sequence;
    return true;
}

UsageExchange::UsageExchange(asio::io_context& context, Options options, DecisionLog& log)
    : options_(std::move(options))
    , log_(log)
    , socket_(context)
    , timer_(context, [this] { publish(); })
{
}

absl::Status UsageExchange::start()
{
    error_code error;
    const asio::ip::udp::endpoint address(asio::ip::make_address(options_.address.address, error), options_.address.port);
    if (!error)
        socket_.open(address.protocol(), error);
    if (!error)
        socket_.bind(address, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return absl::UnavailableError("can't bind " + options_.address.toString() + " for other nodes: " + error.message());
    sequence_ = UsageSequence::start(options_.random);
    receive();
    publish();
    return absl::OkStatus();
}

void UsageExchange::setPeers(const std::vector<Presence::Peer>& peers)
{
    peers_.clear();
    for (const Presence::Peer& peer : peers) {
        const absl::StatusOr<Endpoint> endpoint = parseEndpoint(peer.address);
        error_code error;
        const auto address = endpoint.ok() ? asio::ip::make_address(endpoint->address, error) : asio::ip::address();
        if (endpoint.ok() && !error)
            peers_.emplace_back(address, endpoint->port);
    }
}

void UsageExchange::publish()
{
    UsageMessage message { .node = options_.node, .sequence = ++sequence_ };
    addUsage(message);
    addReports(message);
    addLimits(message);
    addOrganisations(message);
    if (message.rows.size() > UsageMessage::maxRows)
        message.rows.resize(UsageMessage::maxRows);
    const QByteArray bytes = encodeBody(message);
    for (const auto& peer : peers_) {
        error_code ignored; // the next datagram supersedes one that can't be sent
        socket_.send_to(asio::buffer(bytes.constData(), static_cast<size_t>(bytes.size())), peer, 0, ignored);
    }
    publishedAt_ = options_.clock();
    isEarlyPublishScheduled_ = false;
    timer_.callAfter(options_.minInterval + options_.intervalPerPeer * static_cast<int64_t>(peers_.size()));
}

void UsageExchange::addUsage(UsageMessage& message)
{
    const PeerUsage usage = options_.ownUsage();
    for (const auto& [target, use] : usage.byTarget)
        message.rows.push_back({ .target = target, .running = use.running, .promptMs = use.promptMs });
    for (const uint32_t target : std::exchange(suspects_, {}))
        message.rows.push_back({ .target = target, .isSuspect = true });
    for (const auto& [model, waiting] : usage.waitingByModel) {
        if (message.queues.size() < UsageMessage::maxQueues)
            message.queues.push_back({ .model = model, .waiting = waiting });
    }
}

// Adds what this node found about requests that crash endpoints.
void UsageExchange::addReports(UsageMessage& message)
{
    for (WaitingCrash& crash : crashes_) {
        if (message.crashes.size() == UsageMessage::maxCrashes)
            break;
        message.crashes.push_back(crash.row);
        message.crashes.back().ageMs = static_cast<uint32_t>((options_.clock() - crash.addedAt).count());
        --crash.remaining;
    }
    std::erase_if(crashes_, [](const WaitingCrash& crash) { return crash.remaining <= 0; });
    for (auto& [part, remaining] : soundParts_) {
        if (message.soundParts.size() == UsageMessage::maxSoundParts)
            break;
        message.soundParts.push_back(part);
        --remaining;
    }
    std::erase_if(soundParts_, [](const auto& entry) { return entry.second <= 0; });
    if (options_.ownBlocks)
        message.blocks = options_.ownBlocks();
    if (message.blocks.size() > UsageMessage::maxBlocks)
        message.blocks.resize(UsageMessage::maxBlocks);
}

void UsageExchange::addLimits(UsageMessage& message)
{
    if (!options_.takeLimitReports)
        return;
    for (const LimitReport& report : options_.takeLimitReports()) {
        if (message.limits.size() == UsageMessage::maxLimits)
            break;
        message.limits.push_back({ .target = report.target, .startedAtMs = report.startedAtMs, .perSecond = report.perSecond, .ageMs = static_cast<uint32_t>(report.age.count()), .sent = report.sent });
    }
}

void UsageExchange::handleLimits(const UsageMessage& message)
{
    if (!options_.onLimits)
        return;
    std::vector<LimitReport> reports;
    for (const LimitRow& row : message.limits) {
        if (std::isfinite(row.perSecond))
            reports.push_back({ .target = row.target, .startedAtMs = row.startedAtMs, .perSecond = row.perSecond, .age = Millis(row.ageMs), .sent = row.sent });
    }
    options_.onLimits(message.node, reports);
}

void UsageExchange::addOrganisations(UsageMessage& message)
{
    if (!options_.ownOrganisations)
        return;
    for (const OrganisationUse& use : options_.ownOrganisations()) {
        if (message.organisations.size() == UsageMessage::maxOrganisations)
            break;
        message.organisations.push_back({ .organisation = use.organisation, .useMs = use.useMs });
    }
}

void UsageExchange::handleOrganisations(const UsageMessage& message)
{
    // A node in which nothing waited lately sends no rows. What it reported before decays.
    if (!options_.onOrganisations || message.organisations.empty())
        return;
    std::vector<OrganisationUse> uses;
    uses.reserve(message.organisations.size());
    for (const OrganisationRow& row : message.organisations)
        uses.push_back({ .organisation = row.organisation, .useMs = row.useMs });
    options_.onOrganisations(message.node, uses);
}

// Returns the rows of a report: those of its parts in which there is a suspect, or one without parts.
static std::vector<CrashRow> splitReport(const CrashReport& report)
{
    const std::vector<uint64_t>& parts = report.subject.sharedParts;
    std::vector<CrashRow> rows;
    for (size_t from = 0; from < parts.size(); from += CrashRow::maxParts) {
        const auto begin = parts.begin() + static_cast<ptrdiff_t>(from);
        const auto end = parts.begin() + static_cast<ptrdiff_t>(std::min(parts.size(), from + CrashRow::maxParts));
        if (std::any_of(begin, end, [](uint64_t part) { return part != 0; }))
            rows.push_back({ .request = report.subject.request, .endpoint = report.endpoint, .position = static_cast<uint32_t>(from), .parts = std::vector<uint64_t>(begin, end) });
    }
    if (rows.empty())
        rows.push_back({ .request = report.subject.request, .endpoint = report.endpoint });
    return rows;
}

static CrashReport makeReport(const CrashRow& row)
{
    CrashReport report { .subject = { .request = row.request }, .endpoint = row.endpoint };
    if (row.position > CrashRow::maxPosition)
        return report;
    report.subject.sharedParts.resize(row.position);
    report.subject.sharedParts.insert(report.subject.sharedParts.end(), row.parts.begin(), row.parts.end());
    return report;
}

void UsageExchange::addCrash(const CrashReport& crash)
{
    for (CrashRow& row : splitReport(crash)) {
        if (crashes_.size() < maxWaitingCrashes)
            crashes_.push_back({ .row = std::move(row), .addedAt = options_.clock() });
    }
}

void UsageExchange::publishSoon()
{
    if (std::exchange(isEarlyPublishScheduled_, true))
        return;
    const Millis earliest = publishedAt_ + options_.earlyInterval + options_.earlyIntervalPerPeer * static_cast<int64_t>(peers_.size());
    timer_.callAfter(std::max(Millis(0), earliest - options_.clock()));
}

void UsageExchange::receive()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const error_code& error) {
        if (error)
            return;
        static thread_local std::array<char, maxMessageBytes> buffer;
        error_code readError;
        while (true) {
            const size_t size = socket_.receive_from(asio::buffer(buffer), sender_, 0, readError);
            if (readError)
                break;
            if (std::find(peers_.begin(), peers_.end(), sender_) != peers_.end())
                handleMessage({ buffer.data(), size });
        }
        receive();
    });
}

void UsageExchange::handleMessage(const std::string& bytes)
{
    const absl::StatusOr<UsageMessage> message = decodeBody<UsageMessage>(QByteArray::fromStdString(bytes));
    if (!message.ok() || message->format != UsageMessage::currentFormat) {
        log_.noteChange("peer_unreadable", { { "peer", sender_.address().to_string() }, { "error", message.ok() ? "unknown format" : std::string(message.status().message()) } });
        return;
    }
    if (!sequences_[message->node].accept(message->sequence))
        return;
    PeerUsage usage { .receivedAt = options_.clock() };
    for (const UsageRow& row : message->rows) {
        if (row.isSuspect)
            options_.onSuspect(row.target);
        else
            usage.byTarget[row.target] = { .running = row.running, .promptMs = row.promptMs };
    }
    for (const QueueRow& queue : message->queues)
        usage.waitingByModel[queue.model] = queue.waiting;
    for (const CrashRow& crash : message->crashes)
        options_.onCrash(makeReport(crash), Millis(crash.ageMs));
    for (const uint64_t part : message->soundParts) {
        if (options_.onSoundPart)
            options_.onSoundPart(part);
    }
    for (const uint64_t blocked : message->blocks) {
        if (options_.onBlock)
            options_.onBlock(blocked);
    }
    handleLimits(*message);
    handleOrganisations(*message);
    options_.onUsage(message->node, std::move(usage));
}

} // namespace hemlockweir
