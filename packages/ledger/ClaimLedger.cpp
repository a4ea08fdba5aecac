#include "ledger/ClaimLedger.h"

#include "base/Log.h"

#include <algorithm>

namespace hemlockweir {

ClaimStore makeClaimStore(KvClient& platform)
{
    return {
        .writeEach = [&platform](const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done) { platform.compareAndPutEach(writes, std::move(done)); },
        .get = [&platform](const QByteArray& key, Callback<KvRange> done) { platform.get(key, std::move(done)); },
        .compareAndDelete = [&platform](const QByteArray& key, int64_t modRevision, Callback<KvWriteResult> done) { platform.compareAndDelete(key, modRevision, std::move(done)); },
        .grantLease = [&platform](std::chrono::seconds ttl, Callback<int64_t> done) { platform.grantLease(ttl, std::move(done)); },
    };
}

ClaimLedger::ClaimLedger(Options options, ClaimStore store)
    : options_(std::move(options))
    , store_(std::move(store))
    , writer_({ .writeEach = store_.writeEach })
{
}

ClaimValue ClaimLedger::valueOf(const ClaimRequest& request, const QByteArray& token) const
{
    return { .token = token, .owner = options_.owner, .requestHash = request.requestHash, .state = ClaimState::Claimed, .answer = {} };
}

// Runs `step` once a lease exists that outlives the retention of a claim made now.
void ClaimLedger::withLease(std::function<void(bool)> step)
{
    const Millis now = options_.clock();
    if (lease_ != 0 && now < leaseGrantedAt_ + options_.leaseRotation) {
        step(true);
        return;
    }
    waitingForLease_.push_back(std::move(step));
    if (waitingForLease_.size() > 1)
        return;
    store_.grantLease(options_.retention + options_.leaseRotation, [this, now](const absl::StatusOr<int64_t>& lease) { applyLease(lease, now); });
}

void ClaimLedger::applyLease(const absl::StatusOr<int64_t>& lease, Millis requestedAt)
{
    lease_ = lease.ok() ? *lease : 0;
    leaseGrantedAt_ = requestedAt;
    for (const auto& step : std::exchange(waitingForLease_, {}))
        step(lease.ok());
}

void ClaimLedger::claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done)
{
    const Pending pending { .request = request,
        .key = claimKey(request),
        .token = QByteArray::fromStdString(makeRandomId(options_.random)),
        .triesLeft = options_.tries,
        .done = std::move(done) };
    withLease([this, pending](bool ok) {
        if (ok)
            writeClaim(pending);
        else
            failUnavailable(pending);
    });
}

void ClaimLedger::writeClaim(const Pending& pending)
{
    const KvWrite write { .key = pending.key, .value = formatClaim(valueOf(pending.request, pending.token)), .expectedModRevision = pending.expectedModRevision, .lease = lease_ };
    writer_.write(write, [this, pending](const absl::StatusOr<KvWriteResult>& result) { handleWriteResult(pending, result); });
}

void ClaimLedger::handleWriteResult(Pending pending, const absl::StatusOr<KvWriteResult>& result)
{
    if (result.ok()) {
        if (result->applied)
            grant(pending, result->revision);
        else
            resolveConflict(std::move(pending), result->current);
        return;
    }
    pending.maybeWritten = pending.maybeWritten || !absl::IsUnavailable(result.status());
    if (--pending.triesLeft > 0) {
        writeClaim(pending);
        return;
    }
    // The platform may have refused the write because of the lease, so the next claim acquires a
    // new one.
    lease_ = 0;
    failUnavailable(pending);
}

// Resolves a failed compare-and-swap by the value that is stored under the key.
void ClaimLedger::resolveConflict(Pending pending, const KvEntry& current)
{
    const ClaimValue value = parseClaim(current.value);
    const QByteArray& token = value.token;
    // An earlier write of this attempt took effect although its answer was lost.
    if (token == pending.token) {
        grant(pending, current.modRevision);
        return;
    }
    const auto abandoned = abandoned_.find(pending.key);
    const bool isOurs = abandoned != abandoned_.end() && abandoned->second.token == token;
    // The claim can be written if the stored one was deleted meanwhile or was abandoned by this
    // node.
    if (current.value.isEmpty() || isOurs) {
        pending.expectedModRevision = current.value.isEmpty() ? 0 : current.modRevision;
        if (--pending.triesLeft > 0)
            writeClaim(pending);
        else
            failUnavailable(pending);
        return;
    }
    pending.done(evaluate(value, pending.request));
}

// Maps the claim of another attempt to the result of this request.
ClaimResult ClaimLedger::evaluate(const ClaimValue& value, const ClaimRequest& request)
{
    if (value.requestHash != request.requestHash)
        return { .outcome = ClaimOutcome::Mismatch, .answer = {} };
    if (value.state == ClaimState::Claimed)
        return { .outcome = ClaimOutcome::Running, .answer = {} };
    if (!value.answer)
        return { .outcome = ClaimOutcome::NotStored, .answer = {} };
    return { .outcome = ClaimOutcome::Finished, .answer = *value.answer };
}

void ClaimLedger::grant(const Pending& pending, int64_t modRevision)
{
    abandoned_.erase(pending.key);
    held_[pending.key] = { .token = pending.token, .modRevision = modRevision };
    pending.done({ .outcome = ClaimOutcome::Granted, .answer = {} });
}

// Reports that no claim could be made, and deletes a claim that may have been written.
void ClaimLedger::failUnavailable(const Pending& pending)
{
    if (pending.maybeWritten) {
        abandoned_[pending.key] = { .token = pending.token, .modRevision = 0 };
        deleteAbandoned(pending.key, pending.token, 1);
    }
    pending.done({ .outcome = ClaimOutcome::Unavailable, .answer = {} });
}

void ClaimLedger::complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done)
{
    const auto held = held_.extract(claimKey(request));
    if (held.empty()) {
        if (done)
            done(false);
        return;
    }
    ClaimValue value = valueOf(request, held.mapped().token);
    value.state = ClaimState::Done;
    if (answer.body.size() <= options_.maxAnswerBytes)
        value.answer = answer;
    const KvWrite write { .key = held.key(), .value = formatClaim(value), .expectedModRevision = held.mapped().modRevision };
    writeCompletion(write, 1, done);
}

void ClaimLedger::writeCompletion(const KvWrite& write, int tries, const std::function<void(bool)>& done)
{
    withLease([this, write, tries, done](bool hasLease) {
        auto onResult = [this, write, tries, done](const absl::StatusOr<KvWriteResult>& result) {
            if (done)
                done(result.ok() && result->applied);
            if (!result.ok() && tries < options_.backgroundTries)
                QTimer::singleShot(delayAfter(tries), this, [this, write, tries] { writeCompletion(write, tries + 1, {}); });
        };
        if (!hasLease) {
            onResult(absl::UnavailableError("no lease"));
            return;
        }
        KvWrite leased = write;
        leased.lease = lease_;
        writer_.write(leased, onResult);
    });
}

void ClaimLedger::abandon(const ClaimRequest& request)
{
    const auto held = held_.extract(claimKey(request));
    if (held.empty())
        return;
    abandoned_[held.key()] = held.mapped();
    deleteAbandoned(held.key(), held.mapped().token, 1);
}

Millis ClaimLedger::delayAfter(int tries) const
{
    constexpr int maxDoublings = 6;
    return options_.retryDelay * (1 << std::min(tries - 1, maxDoublings));
}

void ClaimLedger::deleteAbandoned(const QByteArray& key, const QByteArray& token, int tries)
{
    const auto found = abandoned_.find(key);
    if (found == abandoned_.end() || found->second.token != token)
        return;
    auto onResult = [this, key, token, tries](const absl::Status& status) {
        const auto entry = abandoned_.find(key);
        if (entry == abandoned_.end() || entry->second.token != token)
            return;
        if (status.ok())
            abandoned_.erase(entry);
        else
            retryAbandoned(key, token, tries);
    };
    if (found->second.modRevision != 0) {
        store_.compareAndDelete(key, found->second.modRevision, [onResult](const absl::StatusOr<KvWriteResult>& result) { onResult(result.status()); });
        return;
    }
    store_.get(key, [this, key, token, tries, onResult](const absl::StatusOr<KvRange>& range) {
        if (!range.ok()) {
            onResult(range.status());
            return;
        }
        const auto entry = abandoned_.find(key);
        const bool isOurs = !range->entries.empty() && parseClaim(range->entries.front().value).token == token;
        if (!isOurs || entry == abandoned_.end() || entry->second.token != token) {
            onResult(absl::OkStatus());
            return;
        }
        entry->second.modRevision = range->entries.front().modRevision;
        deleteAbandoned(key, token, tries);
    });
}

void ClaimLedger::retryAbandoned(const QByteArray& key, const QByteArray& token, int tries)
{
    if (tries >= options_.backgroundTries) {
        logWarning("claim_left", { { "key", key.toStdString() }, { "reason", "the platform did not answer; the claim remains until its lease expires" } });
        abandoned_.erase(key);
        return;
    }
    QTimer::singleShot(delayAfter(tries), this, [this, key, token, tries] { deleteAbandoned(key, token, tries + 1); });
}

} // namespace hemlockweir
