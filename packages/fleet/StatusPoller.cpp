#include "fleet/StatusPoller.h"

namespace hemlockweir {

// The number of phases per interval over which the polls are spread.
static constexpr int phases = 6;

StatusPoller::StatusPoller(Options options)
    : options_(std::move(options))
{
    connect(&timer_, &QTimer::timeout, this, &StatusPoller::pollNext);
    timer_.setInterval(std::max(options_.interval / phases, Millis(1)));
}

void StatusPoller::setTargets(const std::vector<Instance>& instances)
{
    std::map<std::string, Target> retained;
    for (const Instance& instance : instances) {
        auto known = targets_.extract(instance.id);
        if (known && known.mapped().address == instance.address) {
            retained.insert(std::move(known));
            continue;
        }
        Target& target = retained[instance.id];
        target.address = instance.address;
        target.phase = nextPhase_++ % phases;
        target.connection = connectTo(instance);
    }
    targets_ = std::move(retained);
    if (targets_.empty())
        timer_.stop();
    else if (!timer_.isActive())
        timer_.start();
}

std::unique_ptr<StatusConnection> StatusPoller::connectTo(const Instance& instance)
{
    auto connection = std::make_unique<StatusConnection>(StatusConnection::Options { .address = instance.address,
        // Less than two intervals, so that it has passed at the second poll after a missing
        // response.
        .reuseTimeout = 2 * options_.interval - options_.interval / phases,
        .responseTimeout = options_.responseTimeout,
        .clock = options_.clock,
        .onResponse = [this, id = instance.id](const std::string& body, Millis polledAt) { handleResponse(id, body, polledAt); },
        .onUnreachable = [this, id = instance.id] { options_.onUnreachable(id); },
        .onClosed = [this, id = instance.id] { handleClosed(id); } });
    connection->poll();
    return connection;
}

void StatusPoller::pollNext()
{
    phase_ = (phase_ + 1) % phases;
    for (auto& [id, target] : targets_) {
        if (target.phase == phase_)
            target.connection->poll();
    }
}

void StatusPoller::handleResponse(const std::string& id, const std::string& body, Millis polledAt)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    Target& target = found->second;
    if (body != target.lastBody) {
        absl::StatusOr<InstanceStatus> status = parseInstanceStatus(QByteArray::fromRawData(body.data(), static_cast<qsizetype>(body.size())));
        // Another instance than the listed one may have taken over the address.
        if (!status.ok() || status->id != id)
            return;
        target.lastBody = body;
        target.status = *std::move(status);
    }
    options_.onStatus(id, target.status, polledAt);
}

// At most one extra poll per interval, because some servers close every idle connection.
void StatusPoller::handleClosed(const std::string& id)
{
    const auto found = targets_.find(id);
    const Millis now = options_.clock();
    if (found == targets_.end() || now - found->second.repolledAt < options_.interval)
        return;
    found->second.repolledAt = now;
    found->second.connection->poll();
}

} // namespace hemlockweir
