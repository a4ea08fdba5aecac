#include "quarantine/SuspectExchange.h"

namespace hemlockweir {

SuspectExchange::SuspectExchange(Quarantine& quarantine, Broadcast broadcast)
    : quarantine_(quarantine)
    , broadcast_(std::move(broadcast))
{
}

void SuspectExchange::publish()
{
    constexpr int changeTicks = 3; // repeats each change, since a datagram may be lost
    constexpr int repeatTicks = 25; // between repeats of unchanged deaths
    const Suspects message = quarantine_.makeMessage();
    std::vector<uint64_t> deaths;
    deaths.reserve(message.deaths.size());
    for (const DeathRow& row : message.deaths)
        deaths.push_back(row.deathId ^ (row.fingerprint << 1) ^ (row.cleared ? 1 : 0));
    const bool hasChanged = deaths != lastDeaths_ || message.groups != lastGroups_;
    unchangedTicks_ = hasChanged ? 0 : unchangedTicks_ + 1;
    lastDeaths_ = std::move(deaths);
    lastGroups_ = message.groups;
    // A reservation lapses at the peers unless it is repeated.
    const bool isDue = !message.groups.empty() || (!message.deaths.empty() && unchangedTicks_ % repeatTicks == 0);
    if (unchangedTicks_ < changeTicks || isDue)
        broadcast_(message);
}

void SuspectExchange::handle(const Envelope& envelope)
{
    if (envelope.kind != MessageKind::Suspects)
        return;
    const absl::StatusOr<Suspects> message = decodeBody<Suspects>(envelope.body);
    if (message.ok())
        quarantine_.merge(envelope.sender.node, *message);
}

} // namespace hemlockweir
