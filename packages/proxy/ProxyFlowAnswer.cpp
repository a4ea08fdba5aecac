#include "proxy/ProxyFlow.h"

#include "http/StatusCodes.h"
#include "proxy/ForwardedHeaders.h"

#include <algorithm>

// The flow's part that takes an endpoint's answer and passes it on.

namespace hemlockweir {

// Bytes of a stream that a caller may leave unread before it is cut off.
static constexpr size_t maxUnsentBytes = 512 * 1024;
// Bytes of a plain answer that are held to be retried as a whole.
static constexpr size_t maxHeldBytes = 1024 * 1024;

void ProxyFlow::takeHead(const ResponseHead& head)
{
    Attempt& attempt = *attempt_;
    attempt.heardAt = context_.clock();
    const auto id = findHeader(head.headers, context_.headers.requestId);
    if (id && *id != requestId_) {
        retryOrFail("answer_of_another_request", true);
        return;
    }
    if (const auto load = parseLoad(findHeader(head.headers, context_.headers.load).value_or("")))
        context_.dispatcher.noteLoad(attempt.target.id, load->running, load->waiting);
    const bool isRejection = head.status == statusMisdirected || findHeader(head.headers, context_.headers.notRun);
    if (isRejection) {
        takeRejection(head);
        return;
    }
    if (head.status / 100 == 2 && !findHeader(head.headers, context_.headers.seal)) {
        retryOrFail("unsealed_answer", true);
        return;
    }
    // A stream that has begun goes on with events or not at all.
    if (isHeadSent_ && head.status / 100 != 2) {
        retryOrFail("endpoint_error", false);
        return;
    }
    const bool isFailure = head.status >= 500;
    if (isFailure && route_.isRepeatable() && !isHeadSent_ && mayRetry(RunState::MayHaveRun, runs_ + 1) && context_.retries.take(service_)) {
        noteFailedSend("endpoint_error", false);
        retry();
        return;
    }
    // A promise that the endpoint did not make can't be passed on in its name.
    if (head.status == statusUnavailable || head.status == statusTooMany || head.status == statusRequestTimeout) {
        retryOrFail("unproved_rejection", false);
        return;
    }
    attempt.head = head;
}

// The endpoint did not run the request and never will.
void ProxyFlow::takeRejection(const ResponseHead& head)
{
    const bool isWrongEndpoint = head.status == statusMisdirected;
    const std::string reason = isWrongEndpoint ? "not_that_endpoint" : "endpoint_rejected";
    const std::string target = attempt_->target.id;
    context_.log.noteFailure("send_rejected", { { "request", requestId_ }, { "endpoint", target }, { "status", std::to_string(head.status) } });
    // One that is not who it was is gone; one that only rejects may be full, or have lost a member.
    if (isWrongEndpoint)
        context_.dispatcher.noteFailure(target, false);
    else if (!model_.empty())
        context_.dispatcher.noteRejection(target);
    dropAttempt(reason);
    avoid_.insert(target);
    if (sends_ < route_.maxAttempts + extraSends && context_.retries.take(service_)) {
        requestPlace(std::max(options_.request.startedAt + route_.objective, context_.clock() + Millis(1)), isHeadSent_ ? 0 : priority_);
        return;
    }
    if (runState_ == RunState::MayHaveRun || isHeadSent_)
        fail(reason);
    else
        answerError(statusUnavailable, reason, defaultRetryAfter);
}

void ProxyFlow::takeBody(std::string_view bytes)
{
    if (!attempt_ || !attempt_->head)
        return;
    attempt_->heardAt = context_.clock();
    if (isStreaming()) {
        const auto self = shared_from_this();
        context_.dispatcher.noteSuccess(attempt_->target.id);
        cutter_.feed(bytes, [this](std::string_view event) { sendEvent(event); });
        return;
    }
    if (isHeadSent_) {
        options_.caller->sendBody(bytes);
        return;
    }
    attempt_->body += bytes;
    if (attempt_->body.size() <= maxHeldBytes)
        return;
    // Too large to hold: from here on it goes through as it comes.
    isHeadSent_ = true;
    times_.firstByteAt = context_.clock();
    options_.caller->startAnswer(attempt_->head->status, dropConnectionHeaders(attempt_->head->headers), attempt_->head->bodyLength);
    options_.caller->sendBody(std::exchange(attempt_->body, {}));
}

void ProxyFlow::startStream(const ResponseHead& head)
{
    isHeadSent_ = true;
    times_.firstByteAt = context_.clock();
    if (attempt_)
        context_.dispatcher.noteFirstByte(service_, model_, times_.firstByteAt - attempt_->sentAt);
    options_.caller->startAnswer(head.status, dropConnectionHeaders(head.headers), std::nullopt);
}

void ProxyFlow::sendEvent(std::string_view event)
{
    if (isDone_)
        return;
    if (!isHeadSent_)
        startStream(*attempt_->head);
    times_.noteEvent(context_.clock());
    options_.caller->sendBody(event);
    if (options_.caller->unsentBytes() <= maxUnsentBytes)
        return;
    dropAttempt("caller_too_slow");
    options_.caller->abort();
    finish("abandoned", "caller_too_slow");
}

void ProxyFlow::takeEnd(ExchangeEnd how)
{
    if (isDone_ || !attempt_)
        return;
    if (how == ExchangeEnd::Complete) {
        takeWholeAnswer();
        return;
    }
    if (how == ExchangeEnd::NotConnected) {
        retryOrFail("connection_refused", true);
        return;
    }
    // A kept connection that ends before its answer says little about the endpoint.
    const bool blamesTarget = attempt_->connection->isFirstExchange() || attempt_->head;
    retryOrFail(how == ExchangeEnd::Malformed ? "malformed_answer" : "connection_lost", blamesTarget);
}

void ProxyFlow::takeWholeAnswer()
{
    const auto self = shared_from_this();
    const Attempt attempt = *attempt_;
    if (!attempt.head) {
        retryOrFail("malformed_answer", true);
        return;
    }
    context_.dispatcher.noteSuccess(attempt.target.id);
    if (!context_.crashes.isEmpty())
        context_.crashes.noteServed(fingerprint());
    dropAttempt("answered");
    const ResponseHead& head = *attempt.head;
    if (route_.kind == RequestKind::Stream && head.status / 100 == 2) {
        if (!isHeadSent_)
            startStream(head);
        options_.caller->finishAnswer();
    } else if (isHeadSent_) {
        options_.caller->finishAnswer();
    } else {
        times_.firstByteAt = context_.clock();
        options_.caller->answer(head.status, dropConnectionHeaders(head.headers), attempt.body);
    }
    if (head.status / 100 != 2)
        finish("failed", "endpoint_error");
    else
        finish(times_.isLate(route_) ? "late" : "served", "");
}

} // namespace hemlockweir
