#include "gateway/Presence.h"

#include "base/StableHash.h"
#include "replicas/PlannerTerm.h"

#include <absl/strings/str_split.h>
#include <algorithm>

namespace hemlockweir {

static const std::string nodePrefix = std::string(Presence::keyPrefix) + "nodes/";
static const std::string plannerKey = std::string(Presence::keyPrefix) + "planner";

Presence::Presence(boost::asio::io_context& context, Options options, StoreFollower& store, const PlatformAdapter& adapter, DecisionLog& log)
    : options_(std::move(options))
    , adapter_(adapter)
    , log_(log)
    , timer_(context, [this] { maintainLease(); })
    , store_(store)
{
    store_.addListener([this] { applyKeys(); });
    adapter_.store.eras->addListener([this](uint64_t) { handleNewEra(); });
}

void Presence::start()
{
    maintainLease();
}

bool Presence::isPlanner() const
{
    return isPlanner_ && hasLease();
}

bool Presence::hasLease() const
{
    return options_.clock() < leaseEndsAt_ - options_.leaseMargin;
}

void Presence::maintainLease()
{
    if (isResigned_)
        return;
    if (isPlanner_ && !isPlanner())
        setRole(false, term_);
    if (lease_ == 0)
        acquireLease();
    else
        renew();
}

void Presence::acquireLease()
{
    const Millis sentAt = options_.clock();
    adapter_.store.grantLease(options_.leaseTtl, [this, sentAt, restores = restores_](absl::StatusOr<KvLease> lease) {
        // The call began before a restore of the store. It is repeated.
        if (restores != restores_)
            return;
        if (!lease.ok()) {
            timer_.callAfter(options_.renewInterval);
            return;
        }
        lease_ = lease->id;
        extendLease(sentAt, lease->ttl);
        applyKeys();
        timer_.callAfter(options_.renewInterval);
    });
}

// The store starts the lease when the call arrives. The time of sending is a safe lower bound for that.
void Presence::extendLease(Millis sentAt, Millis ttl)
{
    if (ttl.count() > 0)
        grantedTtl_ = ttl;
    leaseEndsAt_ = sentAt + grantedTtl_;
}

void Presence::renew()
{
    const Millis sentAt = options_.clock();
    adapter_.store.renewLease(lease_, [this, sentAt, restores = restores_](absl::StatusOr<Millis> ttl) {
        // The store may have renewed another node's lease that got the number of this one after a restore.
        if (restores != restores_)
            return;
        if (ttl.ok()) {
            extendLease(sentAt, *ttl);
            if (isClaimDelayed_ && mayClaim()) {
                isClaimDelayed_ = false;
                applyKeys();
            }
        } else if (absl::IsNotFound(ttl.status())) {
            log_.noteChange("lease_lost", { { "lease", std::to_string(lease_) } });
            lease_ = 0;
            setRole(false, term_);
            acquireLease();
            return;
        }
        timer_.callAfter(options_.renewInterval);
    });
}

// The value of a node's key holds its two addresses, separated by a space.
static Presence::Peer parsePeer(const std::string& node, const std::string& value)
{
    const std::vector<std::string> fields = absl::StrSplit(value, ' ');
    return { .node = node, .address = fields.front(), .control = fields.size() > 1 ? fields[1] : std::string() };
}

void Presence::applyKeys()
{
    // The numbers of leases in a copy of an earlier era belong to other nodes now.
    if (isResigned_ || lease_ == 0 || !store_.hasData() || !store_.isOfCurrentEra())
        return;
    updatePeers();
    const KvItem* own = store_.find(nodePrefix + options_.node);
    isListed_ = own != nullptr;
    const bool isAnnounced = own && own->lease == lease_;
    const KvItem* planner = store_.find(plannerKey);
    if (planner && planner->revision != plannerRevision_)
        updateTerm(*planner);
    // The local copy of the key may be stale: without a valid lease the key no longer belongs to this node.
    const bool holdsPlannerKey = planner && planner->value == options_.incarnation && planner->lease == lease_ && hasLease();
    setRole(holdsPlannerKey, plannerTerm_);
    const Millis now = options_.clock();
    if (now - writtenAt_ < options_.writeInterval || !store_.isReachable())
        return;
    // A claim that was sent before a restore and carried out after it has bound the key to another node's lease.
    const bool isBoundToOtherLease = planner && planner->value == options_.incarnation && planner->lease != lease_;
    const bool claims = (!planner || isBoundToOtherLease) && mayClaim();
    if (!isAnnounced || claims)
        writtenAt_ = now;
    if (!isAnnounced)
        announce();
    if (claims)
        claim(planner);
}

// Lists the other nodes. After a restore of the store those that have not registered again are retained for some time.
void Presence::updatePeers()
{
    peers_.clear();
    for (const KvItem* item : store_.itemsWith(nodePrefix)) {
        const std::string node = item->key.substr(nodePrefix.size());
        if (node != options_.node)
            peers_.push_back(parsePeer(node, item->value));
    }
    if (options_.clock() >= earlierPeersUntil_)
        earlierPeers_.clear();
    for (const Peer& earlier : earlierPeers_) {
        if (!store_.find(nodePrefix + earlier.node))
            peers_.push_back(earlier);
    }
}

// Derives the term from a planner's key. `plannerRevision_` tells which keys were seen, so that each counts once.
void Presence::updateTerm(const KvItem& planner)
{
    plannerRevision_ = planner.revision;
    plannerTerm_ = plannerTerm(planner.revision.era(), planner.revision.number(), plannerTerm_);
}

bool Presence::mayClaim() const
{
    return options_.clock() >= claimsFrom_;
}

// Called when this node learns that the store was restored, before it uses anything of the new era.
void Presence::handleNewEra()
{
    if (isResigned_)
        return;
    ++restores_;
    const Millis now = options_.clock();
    const bool wasPlanner = isPlanner();
    if (lease_ != 0)
        log_.noteChange("lease_lost", { { "lease", std::to_string(lease_) }, { "era", std::to_string(adapter_.store.eras->current()) } });
    lease_ = 0;
    leaseEndsAt_ = Millis(0);
    setRole(false, term_);
    earlierPeers_ = peers_;
    earlierPeersUntil_ = now + options_.peerRetention;
    claimsFrom_ = wasPlanner ? now : now + std::max(options_.leaseTtl, grantedTtl_);
    isClaimDelayed_ = !wasPlanner;
    const auto spread = static_cast<uint64_t>(std::max<int64_t>(1, options_.eraSpread.count()));
    timer_.callAfter(wasPlanner ? Millis(0) : Millis(extendStableHash(stableHashStart, options_.node) % spread));
}

void Presence::announce()
{
    KvTransaction transaction;
    transaction.puts.push_back({ .key = nodePrefix + options_.node, .value = options_.address + " " + options_.control, .lease = lease_ });
    adapter_.store.commit(transaction, [](const absl::StatusOr<StoreRevision>&) {
        // The watch reports whether the write took effect.
    });
}

// `planner` is the present item of the planner's key, or null.
void Presence::claim(const KvItem* planner)
{
    KvTransaction transaction;
    transaction.conditions.push_back({ .key = plannerKey, .revision = planner ? planner->revision : StoreRevision() });
    transaction.puts.push_back({ .key = plannerKey, .value = options_.incarnation, .lease = lease_ });
    adapter_.store.commit(transaction, [](const absl::StatusOr<StoreRevision>&) {
        // The watch reports who holds the key, even if this answer was lost.
    });
}

void Presence::setRole(bool isPlanner, uint64_t term)
{
    if (isPlanner == isPlanner_ && term == term_)
        return;
    const bool hasRoleChanged = isPlanner != isPlanner_;
    isPlanner_ = isPlanner;
    term_ = term;
    if (!hasRoleChanged)
        return;
    log_.noteChange(isPlanner ? "planner_started" : "planner_stopped", { { "term", std::to_string(term) }, { "lease", std::to_string(lease_) }, { "lease_left_ms", std::to_string((leaseEndsAt_ - options_.clock()).count()) } });
    options_.onRoleChanged(isPlanner, term);
}

void Presence::resign()
{
    isResigned_ = true;
    timer_.stop();
    setRole(false, term_);
    if (lease_ != 0)
        adapter_.store.endLease(lease_);
    lease_ = 0;
}

} // namespace hemlockweir
