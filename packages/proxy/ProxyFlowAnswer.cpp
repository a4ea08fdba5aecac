#include "proxy/ProxyFlow.h"

#include "http/StatusCodes.h"

#include <algorithm>

// The part of ProxyFlow that handles the endpoint's response and forwards it to the caller.

namespace hemlockweir {

// Bytes of a stream that may wait for a slow caller before its connection is closed.
static constexpr size_t maxUnsentBytes = 512 * 1024;
// Bytes of a non-stream response that are buffered, so that the request can be retried until the response is complete.
static constexpr size_t maxBufferedBytes = 1024 * 1024;
// Bytes of an unexpected header's value that are logged.
static constexpr size_t maxLoggedBytes = 64;

void ProxyFlow::handleHead(const ResponseHead& head)
{
    Attempt& attempt = *attempt_;
    attempt.progressAt = context_.clock();
    const auto id = findHeader(head.headers, context_.headers.requestId);
    // A reused connection may still deliver a second, late answer to an earlier request. Only the id tells them apart.
    const bool isUnidentified = !id && !requestId_.empty() && !attempt.connection->isFirstExchange();
    if (isUnidentified || (id && *id != requestId_)) {
        retryOrFail("answer_of_another_request", true);
        return;
    }
    if (const auto load = parseLoad(findHeader(head.headers, context_.headers.load).value_or("")))
        context_.dispatcher.noteReportedLoad(attempt.target.id, load->running, load->waiting);
    noteAnnouncements(head);
    // A bad request is one at any endpoint, so it is not sent to another although it did not run.
    const bool isRejection = head.status == statusMisdirected || (findHeader(head.headers, context_.headers.notRun) && head.status != statusBadRequest);
    if (isRejection) {
        handleRejection(head);
        return;
    }
    if (head.status / 100 == 2 && !findHeader(head.headers, context_.headers.seal)) {
        retryOrFail("unsealed_answer", true);
        return;
    }
    // A started stream can only be continued with events, not with an error response.
    if (isHeadSent_ && head.status / 100 != 2) {
        retryOrFail("endpoint_error", false);
        return;
    }
    const bool isFailure = head.status >= 500;
    if (isFailure && route_.isRetryable() && !isHeadSent_ && canRetry(ExecutionState::MayHaveRun, executions_ + 1) && context_.retries.tryConsume(service_)) {
        noteFailedSend("endpoint_error", false);
        retry();
        return;
    }
    // These statuses tell the caller that the request did not run. Without the endpoint's not-run header that is not
    // proven, so they are not forwarded.
    if (head.status == statusUnavailable || head.status == statusTooMany || head.status == statusRequestTimeout) {
        retryOrFail("unproved_rejection", false);
        return;
    }
    attempt.head = head;
}

// Records the requests a second that the endpoint takes, which an answer without such a limit ends.
void ProxyFlow::noteRequestLimit(const ResponseHead& head)
{
    const Target& target = attempt_->target;
    const auto text = findHeader(head.headers, context_.headers.requestLimit);
    const std::optional<double> limit = text ? parseRequestLimit(*text) : std::nullopt;
    // Another process may have answered, or one in trouble: only an answer to a run shows that the limit has ended.
    const bool isRunAnswer = head.status / 100 == 2 && findHeader(head.headers, context_.headers.seal) && !findHeader(head.headers, context_.headers.notRun);
    if (!text && !isRunAnswer)
        return;
    if (text && !limit)
        context_.log.noteFailure("endpoint_announced", { { "endpoint", target.id }, { "what", "unreadable_limit" }, { "requests_per_s", std::string(text->substr(0, maxLoggedBytes)) }, { "request", requestId_ } });
    else if (context_.dispatcher.noteRequestLimit(target, limit, attempt_->sentAt))
        context_.log.noteChange("endpoint_announced", { { "endpoint", target.id }, { "what", limit ? "limit" : "limit_ended" }, { "requests_per_s", text ? std::string(text->substr(0, maxLoggedBytes)) : "none" }, { "request", requestId_ } });
}

// Records for how long the endpoint is still cold.
void ProxyFlow::noteColdTime(const ResponseHead& head)
{
    const Target& target = attempt_->target;
    const auto text = findHeader(head.headers, context_.headers.coldTime);
    // Another process answers with 421. Without a rate it makes no difference.
    if (!text || head.status == statusMisdirected || target.coldPerSecond <= 0)
        return;
    const std::optional<Millis> time = parseColdTime(*text);
    if (!time)
        context_.log.noteFailure("endpoint_announced", { { "endpoint", target.id }, { "what", "unreadable_cold_time" }, { "cold_ms", std::string(text->substr(0, maxLoggedBytes)) }, { "request", requestId_ } });
    else if (context_.dispatcher.noteCold(target, *time))
        context_.log.noteChange("endpoint_announced", { { "endpoint", target.id }, { "what", "cold" }, { "cold_ms", std::string(text->substr(0, maxLoggedBytes)) }, { "request", requestId_ } });
}

// Records what the endpoint announces of itself: that it leaves, wants no request for some time, limits its requests, or is cold.
void ProxyFlow::noteAnnouncements(const ResponseHead& head)
{
    noteRequestLimit(head);
    noteColdTime(head);
    const Target& target = attempt_->target;
    if (findHeader(head.headers, context_.headers.leaving) == "1" && context_.dispatcher.noteLeaving(target))
        context_.log.noteChange("endpoint_announced", { { "endpoint", target.id }, { "what", "leaving" }, { "request", requestId_ } });
    const auto text = findHeader(head.headers, "Retry-After");
    if (head.status != statusUnavailable || !text)
        return;
    const std::optional<Millis> pause = parseRetryAfter(*text);
    if (pause)
        context_.dispatcher.notePause(target, *pause);
    context_.log.noteFailure("endpoint_announced", { { "endpoint", target.id }, { "what", pause ? "pause" : "unreadable_pause" }, { "retry_after", std::string(text->substr(0, maxLoggedBytes)) }, { "request", requestId_ } });
}

// Handles a rejection: the endpoint did not run the request and never will.
void ProxyFlow::handleRejection(const ResponseHead& head)
{
    const bool isWrongEndpoint = head.status == statusMisdirected;
    const std::string reason = isWrongEndpoint ? "not_that_endpoint" : "endpoint_rejected";
    const std::string target = attempt_->target.id;
    context_.log.noteFailure("send_rejected", { { "request", requestId_ }, { "endpoint", target }, { "status", std::to_string(head.status) }, { "caused_by", std::string(findHeader(head.headers, context_.headers.faultyEndpoint).value_or("")) } });
    // An endpoint with another identity has replaced the target, which is gone. One that only rejects may be full, or its
    // replica has lost a member.
    const auto faulty = findHeader(head.headers, context_.headers.faultyEndpoint);
    // The head of a replica names the member that it lost. It will reject all requests, so the other nodes are told.
    const bool hasLostMember = !model_.empty() && faulty && !faulty->empty() && *faulty != target;
    if (isWrongEndpoint || hasLostMember)
        context_.dispatcher.noteFailure(target, hasLostMember);
    else if (!model_.empty())
        context_.dispatcher.noteRejection(target);
    endAttempt(reason);
    excludedEndpoints_.insert(target);
    if (sends_ < route_.maxAttempts + maxUnexecutedSends && context_.retries.tryConsume(service_)) {
        requestPlacement(std::max(options_.request.startedAt + route_.objective, context_.clock() + Millis(1)), isHeadSent_ ? 0 : priority_);
        return;
    }
    if (executionState_ == ExecutionState::MayHaveRun || isHeadSent_)
        fail(reason);
    else
        sendError(statusUnavailable, reason, defaultRetryAfter);
}

// Returns the headers of a response as forwarded to the caller. They always name the request.
std::vector<HeaderLine> ProxyFlow::responseHeaders(const ResponseHead& head) const
{
    std::vector<HeaderLine> headers = removeHopByHopHeaders(context_.headers, head.headers);
    if (!findHeader(headers, context_.headers.requestId))
        headers.push_back({ context_.headers.requestId, requestId_ });
    return headers;
}

bool ProxyFlow::isStreaming() const
{
    return route_.kind == RequestKind::Stream && attempt_ && attempt_->head && attempt_->head->status / 100 == 2;
}

void ProxyFlow::handleBody(std::string_view bytes)
{
    if (!attempt_ || !attempt_->head)
        return;
    if (isStreaming()) {
        handleEvents(bytes);
        return;
    }
    attempt_->progressAt = context_.clock();
    attempt_->hasBody = true;
    if (isHeadSent_) {
        options_.caller->sendBody(bytes);
        cutSlowCaller();
        return;
    }
    attempt_->body += bytes;
    noteHeldBytes();
    if (attempt_->body.size() <= maxBufferedBytes && !isMemoryFull())
        return;
    // The response is too large to buffer, or too much is held for endpoints: from here on it is forwarded as it arrives and can't be retried.
    isHeadSent_ = true;
    times_.firstByteAt = context_.clock();
    options_.caller->startAnswer(attempt_->head->status, responseHeaders(*attempt_->head), attempt_->head->bodyLength);
    options_.caller->sendBody(std::exchange(attempt_->body, {}));
    noteHeldBytes();
}

// Forwards the complete events of a stream. Only they count as progress: an endpoint in trouble may send a byte now and
// then without ever completing an event.
void ProxyFlow::handleEvents(std::string_view bytes)
{
    const auto self = shared_from_this();
    bool hasEvent = false;
    const bool isEventStream = eventSplitter_.feed(bytes, [&](std::string_view event) {
        hasEvent = true;
        sendEvent(event);
    });
    if (isDone_ || !attempt_)
        return;
    noteHeldBytes();
    if (!isEventStream) {
        retryOrFail("malformed_answer", true);
        return;
    }
    if (!hasEvent) {
        // Whole events are passed on at once. An event that grows while too much is held is the only part of a stream to drop.
        if (eventSplitter_.partialBytes() > MemoryBudget::smallBytes && isMemoryFull())
            retryOrFail("memory_budget", false);
        return;
    }
    attempt_->progressAt = context_.clock();
    if (!std::exchange(attempt_->hasBody, true)) {
        attempt_->firstEventAt = attempt_->progressAt;
        context_.crashes.noteBegunParts(sharedPromptParts());
    }
    context_.dispatcher.noteSuccess(attempt_->target.id);
}

void ProxyFlow::startStream(const ResponseHead& head)
{
    isHeadSent_ = true;
    times_.firstByteAt = context_.clock();
    if (attempt_)
        context_.dispatcher.noteFirstByte(attempt_->target, times_.firstByteAt - attempt_->sentAt);
    options_.caller->startAnswer(head.status, responseHeaders(head), std::nullopt);
}

void ProxyFlow::sendEvent(std::string_view event)
{
    if (isDone_)
        return;
    if (!isHeadSent_)
        startStream(*attempt_->head);
    times_.noteEvent(context_.clock());
    options_.caller->sendBody(event);
    cutSlowCaller();
}

// Ends the flow if too many bytes wait for the caller to read them. Returns whether it did.
bool ProxyFlow::cutSlowCaller()
{
    if (options_.caller->unsentBytes() <= maxUnsentBytes)
        return false;
    if (attempt_)
        attempt_->connection->close();
    endAttempt("caller_too_slow");
    abortAnswer("abandoned", "caller_too_slow");
    return true;
}

void ProxyFlow::handleEnd(ExchangeEnd how)
{
    if (isDone_ || !attempt_)
        return;
    if (how == ExchangeEnd::Complete) {
        handleCompleteResponse();
        return;
    }
    if (how == ExchangeEnd::NotConnected) {
        retryOrFail("connection_refused", true);
        return;
    }
    if (how == ExchangeEnd::Withheld) {
        retryOrFail(context_.dispatcher.isTarget(attempt_->target) ? "connect_timeout" : "target_gone", false);
        return;
    }
    // A pooled connection that closes before the response is no evidence of an endpoint failure: it may have been stale.
    const bool isMalformed = how == ExchangeEnd::Malformed;
    const bool isTargetFault = isMalformed || attempt_->connection->isFirstExchange() || attempt_->head;
    retryOrFail(isMalformed ? "malformed_answer" : "connection_lost", isTargetFault);
}

// Returns whether a stream that seems complete was broken off: inside an event or, where it ends with its connection, before
// its first event. An endpoint that crashes closes the connection too.
bool ProxyFlow::isTruncated() const
{
    const ResponseHead& head = *attempt_->head;
    const bool endsWithConnection = !head.bodyLength && !findHeader(head.headers, "Transfer-Encoding");
    return eventSplitter_.hasPartial() || (endsWithConnection && !attempt_->hasBody);
}

// Records how long the request ran. A stream that was resumed says nothing about the pace of whole ones.
void ProxyFlow::noteServiceTime(const Attempt& attempt)
{
    ServiceTime time { .total = context_.clock() - attempt.sentAt };
    const bool isWhole = executions_ == 0 && requestHeader(context_.headers.lastEventId).empty();
    if (route_.kind == RequestKind::Stream && attempt.hasBody && isWhole) {
        time.untilFirstEvent = attempt.firstEventAt - attempt.sentAt;
        time.answerTokens = tokenCounts_.maxAnswer;
    }
    context_.serviceTimes.note(route_.name, time);
}

void ProxyFlow::handleCompleteResponse()
{
    const auto self = shared_from_this();
    const Attempt attempt = *attempt_;
    if (!attempt.head) {
        retryOrFail("malformed_answer", true);
        return;
    }
    if (isStreaming() && isTruncated()) {
        retryOrFail("stream_truncated", true);
        return;
    }
    context_.dispatcher.noteSuccess(attempt.target.id);
    // The endpoint that writes the rest of a stream may not have reached the point at which the one before it crashed.
    if (!context_.crashes.isEmpty() && !attempt.isResumed)
        context_.crashes.noteAnswered(fingerprint());
    context_.dispatcher.noteAnswered(attempt.target.id, options_.id);
    endAttempt("answered");
    const ResponseHead& head = *attempt.head;
    if (head.status / 100 == 2) {
        if (attempt.hasBody && !attempt.isResumed)
            context_.crashes.noteSoundParts(sharedPromptParts());
        noteServiceTime(attempt);
    }
    if (route_.kind == RequestKind::Stream && head.status / 100 == 2) {
        if (!isHeadSent_)
            startStream(head);
        options_.caller->finishAnswer();
    } else if (isHeadSent_) {
        options_.caller->finishAnswer();
    } else {
        times_.firstByteAt = context_.clock();
        options_.caller->answer(head.status, responseHeaders(head), attempt.body);
    }
    if (head.status / 100 != 2)
        finish("failed", "endpoint_error");
    else
        finish(times_.isLate(route_) ? "late" : "served", "");
}

} // namespace hemlockweir
