#include "fleet/DomainLease.h"

#include "base/Log.h"

#include <QJsonDocument>
#include <algorithm>

namespace hemlockweir {

// The low bits of a fencing number count the orders of one holder.
static constexpr int orderBits = 20;
// The fraction of the lease's lifetime after which its holder no longer trusts it.
static constexpr double trustedFraction = 0.8;
// Renewals per lifetime of the lease.
static constexpr int renewalsPerTtl = 4;

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
    CHECK(term_ != 0) << "nextEpoch() called without holding the lease";
    return (static_cast<uint64_t>(term_) << orderBits) | ++orders_;
}

Millis DomainLease::trustedUntil(Millis requestedAt) const
{
    return requestedAt + std::chrono::duration_cast<Millis>(options_.ttl * trustedFraction);
}

// Attempts are spread randomly, so that nodes that lost the platform at the same time do not all
// return at the same time.
void DomainLease::scheduleNext(size_t rank)
{
    if (term_ != 0) {
        nextTryAt_ = options_.clock() + Millis(options_.ttl) / renewalsPerTtl;
        return;
    }
    const int64_t mean = options_.tryInterval.count() * static_cast<int64_t>(1 + rank);
    nextTryAt_ = options_.clock() + Millis(mean / 2 + static_cast<int64_t>(options_.random() % static_cast<uint64_t>(mean)));
}

void DomainLease::keepAlive(size_t rank)
{
    isRequested_ = true;
    if (isBusy_ || options_.clock() < nextTryAt_)
        return;
    scheduleNext(rank);
    if (term_ != 0)
        renew();
    else
        acquire();
}

void DomainLease::acquire()
{
    isBusy_ = true;
    platform_.get(key(), [this](absl::StatusOr<KvRange> range) {
        isBusy_ = false;
        recordResponse(range.status());
        if (!range.ok())
            return;
        if (range->entries.empty())
            grant();
        else
            handleEntry(range->entries.front());
    });
}

// A write may succeed although its response is lost. The unique value then shows that this node
// wrote the key.
void DomainLease::handleEntry(const KvEntry& entry)
{
    if (writtenLease_ == 0 || entry.value != value_)
        return;
    // The lease is trusted only after a renewal has shown that it still exists.
    recordAcquisition(writtenLease_, entry.createRevision, Millis(0), "planner_lease_recognised");
    if (term_ != 0)
        renew();
}

void DomainLease::grant()
{
    isBusy_ = true;
    const Millis requestedAt = options_.clock();
    platform_.grantLease(options_.ttl, [this, requestedAt](absl::StatusOr<int64_t> lease) {
        isBusy_ = false;
        if (lease.ok() && isRequested_)
            createKey(*lease, requestedAt);
    });
}

void DomainLease::createKey(int64_t lease, Millis requestedAt)
{
    isBusy_ = true;
    const QJsonObject holder { { "node", QString::fromStdString(options_.node) },
        { "incarnation", QString::number(options_.incarnation) },
        { "nonce", QString::fromStdString(makeRandomId(options_.random)) } };
    value_ = QJsonDocument(holder).toJson(QJsonDocument::Compact);
    writtenLease_ = lease;
    const KvWrite write { .key = key(), .value = value_, .expectedModRevision = 0, .lease = lease };
    platform_.compareAndPut(write, [this, lease, requestedAt](absl::StatusOr<KvWriteResult> result) {
        isBusy_ = false;
        // Without a response, the key may or may not be this node's, so it is read again at once.
        if (!result.ok())
            nextTryAt_ = Millis(0);
        else if (result->applied)
            recordAcquisition(lease, result->revision, trustedUntil(requestedAt), "planner_lease_taken");
    });
}

void DomainLease::recordAcquisition(int64_t lease, int64_t term, Millis heldUntil, const char* event)
{
    lease_ = lease;
    term_ = term;
    orders_ = 0;
    heldUntil_ = heldUntil;
    scheduleNext(0);
    logInfo(event, { { "domain", options_.domain }, { "term", std::to_string(term_) } });
    if (!isRequested_)
        release();
}

void DomainLease::renew()
{
    isBusy_ = true;
    const Millis requestedAt = options_.clock();
    platform_.renewLease(lease_, [this, requestedAt](absl::StatusOr<int64_t> lease) {
        isBusy_ = false;
        recordResponse(lease.status());
        if (lease.ok())
            heldUntil_ = trustedUntil(requestedAt);
        else if (absl::IsNotFound(lease.status()) && term_ != 0)
            drop();
    });
}

void DomainLease::recordResponse(const absl::Status& status)
{
    if (status.ok() || absl::IsNotFound(status))
        lastResponseAt_ = options_.clock();
}

bool DomainLease::isCutOff() const
{
    constexpr int missedTries = 3;
    return options_.clock() - lastResponseAt_ > std::max(Millis(options_.ttl), options_.tryInterval * missedTries);
}

void DomainLease::drop()
{
    logWarning("planner_lease_lost", { { "domain", options_.domain } });
    lease_ = 0;
    term_ = 0;
    writtenLease_ = 0;
}

void DomainLease::release()
{
    isRequested_ = false;
    if (term_ == 0)
        return;
    const int64_t term = term_;
    drop();
    platform_.compareAndDelete(key(), term, [](const absl::StatusOr<KvWriteResult>&) {});
}

} // namespace hemlockweir
