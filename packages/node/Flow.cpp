#include "node/Flow.h"

#include "base/Log.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QThreadStorage>

namespace hemlockweir {

Flow::Flow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request)
    : context_(context)
    , arrivedAt_(context.clock())
    , handle_(std::make_shared<Handle>())
    , exchange_(std::move(exchange))
    , request_(std::move(request))
{
    handle_->flow = this;
    record_.caller = request_.caller.name;
    record_.priority = request_.priority.name;
    record_.requestId = request_.requestId;
    exchange_->onDisconnected = [this] {
        // A claimed request runs to its end: the caller may fetch the answer with the same key.
        if (!claimed_) {
            cancelWork();
            end(RequestEnd::Abandoned);
        }
    };
}

Flow::~Flow()
{
    exchange_->onDisconnected = {};
    std::lock_guard lock(handle_->mutex);
    handle_->flow = nullptr;
}

HttpClient& Flow::client()
{
    static QThreadStorage<std::shared_ptr<HttpClient>> clients;
    if (!clients.hasLocalData())
        clients.setLocalData(std::make_shared<HttpClient>());
    return *clients.localData();
}

Flow::Poster Flow::poster() const
{
    return [handle = handle_](std::function<void()> step) {
        std::lock_guard lock(handle->mutex);
        // Qt drops a step that is still queued when the flow is deleted.
        if (handle->flow)
            QMetaObject::invokeMethod(handle->flow, std::move(step), Qt::QueuedConnection);
    };
}

ClaimRequest Flow::makeClaimRequest() const
{
    const QByteArray requestText = exchange_->method() + '\n' + exchange_->path().toUtf8() + '\n' + exchange_->body();
    return { .caller = request_.caller.name,
        .idempotencyKey = request_.idempotencyKey,
        .requestHash = QCryptographicHash::hash(requestText, QCryptographicHash::Sha256) };
}

void Flow::claim(std::function<void()> onGranted)
{
    if (request_.idempotencyKey.isEmpty()) {
        onGranted();
        return;
    }
    claimed_ = true;
    auto onResult = [this, onGranted](const ClaimResult& result) { handleClaimResult(result, onGranted); };
    QMetaObject::invokeMethod(&context_.ledger, [ledger = &context_.ledger, claim = makeClaimRequest(), onResult, post = poster()] {
        ledger->claim(claim, [onResult, post](const ClaimResult& result) {
            post([onResult, result] { onResult(result); });
        });
    });
}

void Flow::handleClaimResult(const ClaimResult& result, const std::function<void()>& onGranted)
{
    claimed_ = result.outcome == ClaimOutcome::Granted;
    switch (result.outcome) {
    case ClaimOutcome::Granted:
        onGranted();
        return;
    case ClaimOutcome::Finished:
        exchange_->sendBytes(result.answer.status, result.answer.contentType, result.answer.body,
            { { "X-Request-Id", QByteArray::fromStdString(request_.requestId) }, { "Idempotent-Replay", "true" } });
        end(RequestEnd::Whole);
        return;
    case ClaimOutcome::NotStored:
        fail({ .status = 409, .type = "answer_not_kept", .message = "the request with this Idempotency-Key ran; its answer was too large to keep", .outcome = Outcome::Ran });
        return;
    case ClaimOutcome::Running:
        fail({ .status = 409, .type = "in_progress_or_unknown", .message = "a request with this Idempotency-Key was started before; it is running or its outcome is unknown, and it will not be run again", .outcome = Outcome::Unknown, .retryAfter = Millis(1000) });
        return;
    case ClaimOutcome::Mismatch:
        fail({ .status = 422, .type = "idempotency_key_reused", .message = "this Idempotency-Key was used for another request", .outcome = Outcome::NotRun });
        return;
    case ClaimOutcome::Unavailable:
        fail({ .status = 503, .type = "claim_unavailable", .message = "the request could not be claimed, so it was not run", .outcome = Outcome::NotRun, .retryAfter = Millis(1000) });
        return;
    case ClaimOutcome::Refused:
        fail({ .status = 503, .type = "key_refused", .message = "nothing ran under this Idempotency-Key and nothing will, since its home node stops or is full; fetch a new key", .outcome = Outcome::NotRun, .retryAfter = Millis(1000) });
        return;
    case ClaimOutcome::Unreachable:
        fail({ .status = 503, .type = "home_unreachable", .message = "the home node of this Idempotency-Key gave no answer, so this request was not run; an earlier one under the key may have been", .outcome = Outcome::Unknown, .retryAfter = Millis(1000) });
        return;
    case ClaimOutcome::Lost:
        fail({ .status = 409, .type = "key_lost", .message = "this Idempotency-Key is too old or its home node has restarted; a request under it may have run, and none will be run again", .outcome = Outcome::Unknown });
        return;
    case ClaimOutcome::Foreign:
        fail({ .status = 400, .type = "foreign_idempotency_key", .message = "this Idempotency-Key is not one that this system made for this caller, so this request was not run", .outcome = Outcome::Unknown });
        return;
    }
}

void Flow::storeAnswer(const StoredAnswer& answer, std::function<void()> done)
{
    if (!claimed_) {
        done();
        return;
    }
    QMetaObject::invokeMethod(&context_.ledger, [ledger = &context_.ledger, claim = makeClaimRequest(), answer, done, post = poster()] {
        ledger->complete(claim, answer, [done, post](bool) { post(done); });
    });
}

// Releases the claim if the request did not run. Otherwise stores the error as the answer to later
// requests with the same key.
void Flow::settleClaim(const ErrorReply& error)
{
    if (!claimed_)
        return;
    auto step = [ledger = &context_.ledger, claim = makeClaimRequest(), error] {
        if (error.outcome == Outcome::NotRun)
            ledger->abandon(claim);
        else
            ledger->complete(claim, { .status = error.status, .contentType = "application/json", .body = QJsonDocument(formatError(error)).toJson(QJsonDocument::Compact) }, {});
    };
    QMetaObject::invokeMethod(&context_.ledger, step);
}

void Flow::fail(ErrorReply error)
{
    if (ended_)
        return;
    error.requestId = request_.requestId;
    record_.reason = error.type + ": " + error.message;
    record_.outcome = outcomeName(error.outcome);
    settleClaim(error);
    logInfo("request_failed", { { "request", request_.requestId }, { "caller", request_.caller.name }, { "type", error.type }, { "outcome", outcomeName(error.outcome) } });
    sendError(*exchange_, error);
    end(error.outcome == Outcome::NotRun ? RequestEnd::Refused : RequestEnd::Failed);
}

void Flow::end(RequestEnd requestEnd)
{
    if (ended_)
        return;
    ended_ = true;
    record_.end = requestEnd;
    record_.total = context_.clock() - arrivedAt_;
    context_.metrics.recordRequest(record_);
    deleteLater();
}

} // namespace hemlockweir
