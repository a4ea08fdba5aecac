#include "ledger/ClaimLedger.h"

#include "base/Log.h"

#include <QCryptographicHash>
#include <QJsonDocument>

namespace hemlockweir {

static QByteArray hashOf(const QByteArray& bytes)
{
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex();
}

ClaimLedger::ClaimLedger(Options options, KvClient& platform)
    : options_(std::move(options))
    , platform_(platform)
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &ClaimLedger::flush);
}

QByteArray ClaimLedger::keyOf(const ClaimRequest& request) const
{
    return "/hemlockweir/claims/" + hashOf(QByteArray::fromStdString(request.caller) + '\n' + request.idempotencyKey);
}

QByteArray ClaimLedger::valueOf(const Pending& pending) const
{
    const QJsonObject value {
        { "token", QString::fromLatin1(pending.token) },
        { "owner", QString::fromStdString(options_.owner) },
        { "request", QString::fromLatin1(pending.request.requestHash.toHex()) },
        { "state", "claimed" },
    };
    return QJsonDocument(value).toJson(QJsonDocument::Compact);
}

void ClaimLedger::claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done)
{
    queue_.push_back({ .request = request,
        .token = QByteArray::fromStdString(makeRandomId(options_.random)),
        .triesLeft = options_.tries,
        .done = std::move(done) });
    if (queue_.size() >= options_.maxBatch)
        flush();
    else if (!timer_.isActive())
        timer_.start(options_.batchInterval);
}

void ClaimLedger::ensureLease()
{
    if (lease_ != 0)
        return;
    platform_.grantLease(options_.retention, [this](absl::StatusOr<int64_t> lease) {
        if (lease.ok()) {
            lease_ = *lease;
            flush();
            return;
        }
        for (const Pending& pending : std::exchange(queue_, {}))
            pending.done({ .outcome = ClaimOutcome::Unavailable, .answer = {} });
    });
}

void ClaimLedger::flush()
{
    if (queue_.empty())
        return;
    if (lease_ == 0) {
        ensureLease();
        return;
    }
    writeBatch(std::exchange(queue_, {}));
}

void ClaimLedger::writeBatch(std::vector<Pending> batch)
{
    std::vector<KvWrite> writes;
    for (Pending& pending : batch) {
        --pending.triesLeft;
        writes.push_back({ .key = keyOf(pending.request), .value = valueOf(pending), .expectedModRevision = 0, .lease = lease_ });
    }
    platform_.compareAndPutEach(writes, [this, batch](const absl::StatusOr<std::vector<KvWriteResult>>& results) mutable {
        std::vector<Pending> again;
        for (size_t i = 0; i < batch.size(); ++i) {
            if (results.ok())
                settle(batch[i], (*results)[i]);
            else if (batch[i].triesLeft > 0)
                again.push_back(batch[i]);
            else
                batch[i].done({ .outcome = ClaimOutcome::Unavailable, .answer = {} });
        }
        if (!again.empty())
            writeBatch(std::move(again));
    });
}

void ClaimLedger::settle(Pending& pending, const KvWriteResult& result)
{
    const QByteArray key = keyOf(pending.request);
    if (result.applied) {
        held_[key] = { .token = pending.token, .modRevision = result.revision };
        pending.done({ .outcome = ClaimOutcome::Granted, .answer = {} });
        return;
    }
    const QJsonObject value = QJsonDocument::fromJson(result.current.value).object();
    // An earlier try of this very claim took effect although its answer was lost.
    if (value["token"].toString().toLatin1() == pending.token) {
        held_[key] = { .token = pending.token, .modRevision = result.current.modRevision };
        pending.done({ .outcome = ClaimOutcome::Granted, .answer = {} });
        return;
    }
    if (value["request"].toString().toLatin1() != pending.request.requestHash.toHex()) {
        pending.done({ .outcome = ClaimOutcome::Mismatch, .answer = {} });
        return;
    }
    if (value["state"].toString() != "done") {
        pending.done({ .outcome = ClaimOutcome::Running, .answer = {} });
        return;
    }
    pending.done({ .outcome = ClaimOutcome::Finished,
        .answer = {
            .status = value["status"].toInt(),
            .contentType = value["content_type"].toString().toUtf8(),
            .body = QByteArray::fromBase64(value["body"].toString().toLatin1()),
        } });
}

void ClaimLedger::complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done)
{
    const auto held = held_.extract(keyOf(request));
    if (held.empty()) {
        done(false);
        return;
    }
    QJsonObject value {
        { "token", QString::fromLatin1(held.mapped().token) },
        { "owner", QString::fromStdString(options_.owner) },
        { "request", QString::fromLatin1(request.requestHash.toHex()) },
        { "state", "done" },
        { "status", answer.status },
        { "content_type", QString::fromUtf8(answer.contentType) },
    };
    if (answer.body.size() <= options_.maxAnswerBytes)
        value["body"] = QString::fromLatin1(answer.body.toBase64());
    const KvWrite write { .key = held.key(), .value = QJsonDocument(value).toJson(QJsonDocument::Compact), .expectedModRevision = held.mapped().modRevision, .lease = lease_ };
    platform_.compareAndPut(write, [done](const absl::StatusOr<KvWriteResult>& result) { done(result.ok() && result->applied); });
}

void ClaimLedger::abandon(const ClaimRequest& request)
{
    const auto held = held_.extract(keyOf(request));
    if (!held.empty())
        platform_.compareAndDelete(held.key(), held.mapped().modRevision, [](const absl::StatusOr<KvWriteResult>&) {});
}

} // namespace hemlockweir
