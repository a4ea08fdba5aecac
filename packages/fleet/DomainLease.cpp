#include "fleet/DomainLease.h"

#include "base/Log.h"

namespace hemlockweir {

// Orders that one holder can give: the low bits of a fencing number.
static constexpr int orderBits = 20;
// Part of the lease's life after which its holder stops trusting it.
static constexpr double trustedShare = 0.8;

DomainLease::DomainLease(Options options, KvClient& platform)
    : options_(std::move(options))
    , platform_(platform)
{
}

QByteArray DomainLease::key() const
{
    return "/hemlockweir/planners/" + QByteArray::fromStdString(options_.domain);
}

bool DomainLease::isHeld() const
{
    return term_ != 0 && options_.clock() < heldUntil_;
}

uint64_t DomainLease::nextEpoch()
{
    CHECK(term_ != 0) << "nextEpoch() needs the lease";
    return (static_cast<uint64_t>(term_) << orderBits) | ++orders_;
}

void DomainLease::keep()
{
    const Millis now = options_.clock();
    if (busy_ || now < nextTry_)
        return;
    nextTry_ = now + Millis(options_.ttl) / 4;
    if (lease_ != 0 && term_ != 0)
        renew();
    else
        acquire();
}

void DomainLease::acquire()
{
    busy_ = true;
    const Millis askedAt = options_.clock();
    platform_.get(key(), [this, askedAt](absl::StatusOr<KvRange> range) {
        busy_ = false;
        if (!range.ok() || !range->entries.empty())
            return;
        busy_ = true;
        platform_.grantLease(options_.ttl, [this, askedAt](absl::StatusOr<int64_t> lease) {
            busy_ = false;
            if (lease.ok())
                createKey(*lease, askedAt);
        });
    });
}

void DomainLease::createKey(int64_t lease, Millis askedAt)
{
    busy_ = true;
    const KvWrite write { .key = key(), .value = QByteArray::fromStdString(options_.node), .expectedModRevision = 0, .lease = lease };
    platform_.compareAndPut(write, [this, lease, askedAt](absl::StatusOr<KvWriteResult> result) {
        busy_ = false;
        // After a lost answer the key may be held by nobody that knows it; its lease then lapses.
        if (!result.ok() || !result->applied)
            return;
        lease_ = lease;
        term_ = result->revision;
        orders_ = 0;
        heldUntil_ = askedAt + std::chrono::duration_cast<Millis>(options_.ttl * trustedShare);
        logInfo("planner_lease_taken", { { "domain", options_.domain }, { "term", std::to_string(term_) } });
    });
}

void DomainLease::renew()
{
    busy_ = true;
    const Millis askedAt = options_.clock();
    platform_.renewLease(lease_, [this, askedAt](absl::StatusOr<int64_t> lease) {
        busy_ = false;
        if (lease.ok())
            heldUntil_ = askedAt + std::chrono::duration_cast<Millis>(options_.ttl * trustedShare);
        else if (absl::IsNotFound(lease.status()))
            drop();
    });
}

void DomainLease::drop()
{
    logWarning("planner_lease_lost", { { "domain", options_.domain } });
    lease_ = 0;
    term_ = 0;
}

void DomainLease::release()
{
    if (term_ == 0)
        return;
    const int64_t term = term_;
    drop();
    platform_.compareAndDelete(key(), term, [](const absl::StatusOr<KvWriteResult>&) {});
}

} // namespace hemlockweir
