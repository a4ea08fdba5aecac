#include "quarantine/Quarantine.h"

#include "base/Rendezvous.h"

#include <QCryptographicHash>
#include <QtEndian>
#include <algorithm>

namespace hemlockweir {

static uint64_t hashOf(const QByteArray& bytes)
{
    return qFromBigEndian<quint64>(QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).constData());
}

Quarantine::Quarantine(Options options)
    : options_(std::move(options))
{
}

uint64_t Quarantine::fingerprintOf(const std::string& caller, const QByteArray& body)
{
    return hashOf(QByteArray::fromStdString(caller) + '\n' + body);
}

uint64_t Quarantine::deathIdOf(const std::string& group, uint64_t epoch)
{
    return hashOf(QByteArray::fromStdString(group) + '\n' + QByteArray::number(static_cast<qulonglong>(epoch)));
}

bool Quarantine::isExpired(const Death& death) const
{
    return options_.clock() - death.seenAt > options_.expiry;
}

void Quarantine::mergeDeath(uint64_t fingerprint, uint64_t deathId, const Death& death)
{
    for (auto it = deaths_.begin(); it != deaths_.end();) {
        std::erase_if(it->second, [this](const auto& row) { return isExpired(row.second); });
        it = it->second.empty() ? deaths_.erase(it) : std::next(it);
    }
    if (isExpired(death) || (deaths_.size() >= options_.maxFingerprints && !deaths_.contains(fingerprint)))
        return;
    const auto [at, isNew] = deaths_[fingerprint].try_emplace(deathId, death);
    at->second.cleared = at->second.cleared || death.cleared;
    at->second.isLocal = at->second.isLocal || death.isLocal;
    at->second.seenAt = std::min(at->second.seenAt, death.seenAt);
}

void Quarantine::addDeath(uint64_t fingerprint, uint64_t deathId)
{
    {
        std::lock_guard lock(mutex_);
        mergeDeath(fingerprint, deathId, { .seenAt = options_.clock(), .cleared = false, .isLocal = true });
    }
    if (options_.onChange)
        options_.onChange();
}

void Quarantine::clear(uint64_t fingerprint)
{
    std::lock_guard lock(mutex_);
    const auto found = deaths_.find(fingerprint);
    if (found == deaths_.end())
        return;
    for (auto& [id, death] : found->second) {
        death.cleared = true;
        death.isLocal = true;
    }
}

size_t Quarantine::countDeaths(uint64_t fingerprint) const
{
    const auto found = deaths_.find(fingerprint);
    if (found == deaths_.end())
        return 0;
    return static_cast<size_t>(std::count_if(found->second.begin(), found->second.end(), [this](const auto& row) { return !row.second.cleared && !isExpired(row.second); }));
}

bool Quarantine::isSuspect(uint64_t fingerprint) const
{
    std::lock_guard lock(mutex_);
    return countDeaths(fingerprint) > 0;
}

bool Quarantine::isQuarantined(uint64_t fingerprint) const
{
    std::lock_guard lock(mutex_);
    return countDeaths(fingerprint) >= options_.limit;
}

bool Quarantine::isReserved(const std::string& group) const
{
    return std::any_of(reserved_.begin(), reserved_.end(), [&](const auto& row) { return row.second.group == group; })
        || isReservedByPeer(group);
}

bool Quarantine::isReservedBy(const PeerGroups& peer, const std::string& group) const
{
    return peer.groups.contains(group) && options_.clock() - peer.receivedAt <= options_.peerTimeout;
}

bool Quarantine::isReservedByPeer(const std::string& group) const
{
    return std::any_of(peerGroups_.begin(), peerGroups_.end(), [&](const auto& row) { return isReservedBy(row.second, group); });
}

// Returns whether this node must yield an announced group to a peer that reserves it too. During
// the announcement it yields only to a peer with a higher rank. At the end it yields to any peer,
// since a peer that has not yielded by then is using the group.
bool Quarantine::mustYield(const Reservation& reservation) const
{
    const bool isTimeOver = options_.clock() >= reservation.usableAt;
    return std::any_of(peerGroups_.begin(), peerGroups_.end(), [&](const auto& row) {
        const auto& [peer, reservedGroups] = row;
        return isReservedBy(reservedGroups, reservation.group)
            && (isTimeOver || pickByRendezvous({ options_.node, peer }, roleOf(reservation.group), 1).front() == peer);
    });
}

// Drops the reservation of a run if its group no longer exists or must be yielded to a peer.
void Quarantine::dropLostReservation(const std::vector<std::string>& groups, const std::string& run)
{
    const auto found = reserved_.find(run);
    if (found == reserved_.end())
        return;
    const Reservation& reservation = found->second;
    const bool isListed = std::find(groups.begin(), groups.end(), reservation.group) != groups.end();
    if (!isListed || (!reservation.isUsed && mustYield(reservation)))
        reserved_.erase(found);
}

std::optional<std::string> Quarantine::findFreeGroup(const std::vector<std::string>& groups) const
{
    const auto freeGroup = std::find_if(groups.begin(), groups.end(), [this](const std::string& group) { return !isReserved(group); });
    return freeGroup == groups.end() ? std::nullopt : std::optional(*freeGroup);
}

std::string Quarantine::groupOf(const std::string& run) const
{
    const auto found = reserved_.find(run);
    return found == reserved_.end() ? std::string() : found->second.group;
}

// Returns the group that the run may use now. If there is none, announces a free group.
std::optional<std::string> Quarantine::tryReserve(const std::vector<std::string>& groups, const std::vector<std::string>& owned, const std::string& run)
{
    dropLostReservation(groups, run);
    const Millis now = options_.clock();
    const auto existing = reserved_.find(run);
    const bool hasReservation = existing != reserved_.end();
    if (hasReservation && (existing->second.isUsed || now >= existing->second.usableAt)) {
        existing->second.isUsed = true;
        return existing->second.group;
    }
    // An owned group that became free is usable before an announced one.
    if (const std::optional<std::string> freeGroup = findFreeGroup(owned)) {
        reserved_[run] = { .group = *freeGroup, .usableAt = now, .isUsed = true };
        return freeGroup;
    }
    if (hasReservation)
        return std::nullopt;
    if (const std::optional<std::string> freeGroup = findFreeGroup(groups))
        reserved_[run] = { .group = *freeGroup, .usableAt = now + options_.announceTime, .isUsed = false };
    return std::nullopt;
}

std::optional<std::string> Quarantine::reserve(const std::vector<std::string>& groups, const std::string& run)
{
    // The callbacks are called without holding the lock.
    std::vector<std::string> owned;
    std::copy_if(groups.begin(), groups.end(), std::back_inserter(owned), options_.ownsGroup);
    std::optional<std::string> usable;
    bool hasChanged = false;
    {
        std::lock_guard lock(mutex_);
        const std::string before = groupOf(run);
        usable = tryReserve(groups, owned, run);
        hasChanged = groupOf(run) != before;
    }
    if (hasChanged && options_.onChange)
        options_.onChange();
    return usable;
}

void Quarantine::release(const std::string& run)
{
    {
        std::lock_guard lock(mutex_);
        if (reserved_.erase(run) == 0)
            return;
    }
    if (options_.onChange)
        options_.onChange();
}

Suspects Quarantine::makeMessage() const
{
    std::lock_guard lock(mutex_);
    Suspects message;
    for (const auto& [fingerprint, deaths] : deaths_) {
        for (const auto& [id, death] : deaths) {
            const Millis age = options_.clock() - death.seenAt;
            if (death.isLocal && !isExpired(death) && message.deaths.size() < maxRowsPerMessage)
                message.deaths.push_back({ .fingerprint = fingerprint, .deathId = id, .cleared = death.cleared, .ageMs = static_cast<uint32_t>(age.count()) });
        }
    }
    for (const auto& [run, reservation] : reserved_) {
        if (message.groups.size() < maxRowsPerMessage)
            message.groups.push_back(reservation.group);
    }
    return message;
}

void Quarantine::merge(const std::string& node, const Suspects& message)
{
    std::lock_guard lock(mutex_);
    for (const DeathRow& row : message.deaths)
        mergeDeath(row.fingerprint, row.deathId, { .seenAt = options_.clock() - Millis(row.ageMs), .cleared = row.cleared, .isLocal = false });
    peerGroups_[node] = { .groups = { message.groups.begin(), message.groups.end() }, .receivedAt = options_.clock() };
}

void Quarantine::dropPeer(const std::string& node)
{
    std::lock_guard lock(mutex_);
    peerGroups_.erase(node);
}

std::vector<DeathRow> Quarantine::deaths() const
{
    std::lock_guard lock(mutex_);
    std::vector<DeathRow> all;
    for (const auto& [fingerprint, deaths] : deaths_) {
        for (const auto& [id, death] : deaths) {
            if (!isExpired(death))
                all.push_back({ .fingerprint = fingerprint, .deathId = id, .cleared = death.cleared, .ageMs = static_cast<uint32_t>((options_.clock() - death.seenAt).count()) });
        }
    }
    return all;
}

} // namespace hemlockweir
