#include "fleet/StatusPoller.h"

namespace hemlockweir {

// Parts of the interval that instances are spread over.
static constexpr int turns = 6;

StatusPoller::StatusPoller(Options options)
    : options_(std::move(options))
{
    connect(&timer_, &QTimer::timeout, this, &StatusPoller::askNext);
    timer_.setInterval(std::max(options_.interval / turns, Millis(1)));
}

void StatusPoller::setTargets(const std::vector<Instance>& instances)
{
    std::map<std::string, Target> kept;
    for (const Instance& instance : instances) {
        auto known = targets_.extract(instance.id);
        if (known && known.mapped().address == instance.address) {
            kept.insert(std::move(known));
            continue;
        }
        Target& target = kept[instance.id];
        target.address = instance.address;
        target.turn = nextTurn_++ % turns;
        target.connection = connectTo(instance);
    }
    targets_ = std::move(kept);
    if (targets_.empty())
        timer_.stop();
    else if (!timer_.isActive())
        timer_.start();
}

std::unique_ptr<StatusConnection> StatusPoller::connectTo(const Instance& instance)
{
    auto connection = std::make_unique<StatusConnection>(StatusConnection::Options { .address = instance.address,
        // Less than two intervals, so that the second turn finds it passed.
        .keptTimeout = 2 * options_.interval - options_.interval / turns,
        .answerTimeout = options_.answerTimeout,
        .clock = options_.clock,
        .onAnswer = [this, id = instance.id](const std::string& body, Millis askedAt) { takeAnswer(id, body, askedAt); },
        .onUnreachable = [this, id = instance.id] { options_.onUnreachable(id); },
        .onClosed = [this, id = instance.id] { noteClosed(id); } });
    connection->ask();
    return connection;
}

void StatusPoller::askNext()
{
    turn_ = (turn_ + 1) % turns;
    for (auto& [id, target] : targets_) {
        if (target.turn == turn_)
            target.connection->ask();
    }
}

void StatusPoller::takeAnswer(const std::string& id, const std::string& body, Millis askedAt)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    Target& target = found->second;
    if (body != target.lastBody) {
        absl::StatusOr<InstanceStatus> status = parseInstanceStatus(QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size())));
        // An address may have been taken over by another instance than the one listed there.
        if (!status.ok() || status->id != id)
            return;
        target.lastBody = body;
        target.status = *std::move(status);
    }
    options_.onStatus(id, target.status, askedAt);
}

// Not more often than once an interval: some servers close every connection that is idle.
void StatusPoller::noteClosed(const std::string& id)
{
    const auto found = targets_.find(id);
    const Millis now = options_.clock();
    if (found == targets_.end() || now - found->second.reaskedAt < options_.interval)
        return;
    found->second.reaskedAt = now;
    found->second.connection->ask();
}

} // namespace hemlockweir
