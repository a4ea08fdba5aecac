#include "proxy/ProxyFlow.h"

#include "http/StatusCodes.h"
#include "proxy/ForwardedRequest.h"
#include "proxy/RequestOutcome.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>

namespace hemlockweir {

// Timeout for connecting to an endpoint; the links have a latency of a few ms.
static constexpr Millis connectTimeout { 400 };
// Reserved before the caller's deadline for the transfer of the response to the caller.
static constexpr Millis deadlineMargin { 10 };
static constexpr Millis defaultDeadline { 60000 };
static constexpr size_t maxRequestIdBytes = 128;
// Body from which on it is observed how an endpoint takes it. The kernel takes a smaller one at once.
static constexpr size_t largeBodyBytes = size_t { 64 } * 1024;

ProxyFlow::ProxyFlow(ProxyContext& context, Options options)
    : context_(context)
    , options_(std::move(options))
    , held_(context.endpointMemory)
{
}

void ProxyFlow::start()
{
    times_.startedAt = options_.request.startedAt;
    options_.caller->onCallerDisconnected = [self = weak_from_this()] {
        if (const auto flow = self.lock())
            flow->cancel();
    };
    if (!readRequestId() || !findRoute())
        return;
    if (isCrashBlocked()) {
        endCrashing();
        return;
    }
    readLimits();
    if (!endsBeforeExit()) {
        refuseForExit();
        return;
    }
    const Millis objectiveAt = options_.request.startedAt + (route_.objective.count() > 0 ? route_.objective : route_.timeout);
    context_.retries.noteRequest(service_);
    requestPlacement(objectiveAt, priority_);
}

static bool isValidRequestId(std::string_view id)
{
    return id.size() <= maxRequestIdBytes && std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Reads the request's id, or makes one if the caller sent none. If it is invalid, sends an error and returns false.
bool ProxyFlow::readRequestId()
{
    const std::string& name = context_.headers.requestId;
    std::vector<HeaderLine>& headers = options_.request.headers;
    std::erase_if(headers, [&](const HeaderLine& header) { return isSameHeaderName(header.name, name) && header.value.empty(); });
    const auto count = std::count_if(headers.begin(), headers.end(), [&](const HeaderLine& header) { return isSameHeaderName(header.name, name); });
    if (count == 0)
        headers.push_back({ name, makeRandomId(context_.random) });
    const std::string_view id = requestHeader(name);
    if (count <= 1 && isValidRequestId(id)) {
        requestId_ = id;
        return true;
    }
    sendError(statusBadRequest, "invalid_request_id");
    return false;
}

// Finds the route and the organisation of the request. If there is none, sends an error and returns false.
bool ProxyFlow::findRoute()
{
    if (!options_.routes) {
        sendError(statusUnavailable, "no_configuration", defaultRetryAfter);
        return false;
    }
    const Route* route = options_.routes->findRoute(options_.request.header("Host"), options_.request.target);
    if (!route) {
        sendError(statusNotFound, "no_route");
        return false;
    }
    route_ = *route;
    priority_ = route_.priority;
    const std::string_view key = requestHeader(context_.headers.key);
    const Organisation* organisation = key.empty() ? nullptr : options_.routes->findOrganisation(key);
    if (!organisation && !route_.isPublic && options_.routes->configuration().requiresKeys) {
        sendError(statusUnauthorized, "unknown_key");
        return false;
    }
    if (organisation) {
        organisation_ = organisation->name;
        priority_ = organisation->priority.value_or(priority_);
    }
    service_ = chooseService(route_, context_.random());
    const EndpointService* service = options_.routes->configuration().findService(service_);
    if (service && service->engines)
        model_ = std::string(requestHeader(context_.headers.model));
    return true;
}

void ProxyFlow::readLimits()
{
    int64_t deadline = defaultDeadline.count();
    const std::string text(requestHeader(context_.headers.deadline));
    if (!text.empty() && (!absl::SimpleAtoi(text, &deadline) || deadline < 0))
        deadline = defaultDeadline.count();
    Millis limit = Millis(deadline) - deadlineMargin;
    if (route_.timeout.count() > 0)
        limit = std::min(limit, route_.timeout);
    deadlineAt_ = options_.request.startedAt + limit;
    tokenCounts_ = parseTokenCounts(requestHeader(context_.headers.tokenCounts));
    uint64_t lastId = 0;
    if (absl::SimpleAtoi(std::string(requestHeader(context_.headers.lastEventId)), &lastId))
        eventSplitter_.setLastId(lastId);
}

// Returns the time that the request is expected to take at most at an endpoint, if that is known.
std::optional<Millis> ProxyFlow::longestServiceTime() const
{
    return context_.serviceTimes.longest(route_.name, route_.kind == RequestKind::Stream ? tokenCounts_.maxAnswer : 0);
}

// Returns whether a request that would run from now on ends before this process does, if it shuts down. The estimate from
// recent requests may be exceeded and its request cut. It counts only while a refused caller may be sent back to this node;
// later, only the request's own deadline is a bound.
bool ProxyFlow::endsBeforeExit() const
{
    if (!context_.shutdown)
        return true;
    const Millis now = context_.clock();
    const std::optional<Millis> expected = now < context_.shutdown->deregisteredAt ? longestServiceTime() : std::nullopt;
    return endsInTime(context_.shutdown->endsAt - now, expected, deadlineAt_ - now);
}

std::optional<ProxyFlow::ExitOutlook> ProxyFlow::exitOutlook() const
{
    if (!context_.shutdown)
        return std::nullopt;
    return ExitOutlook { .timeLeft = context_.shutdown->endsAt - context_.clock(), .expectedTime = longestServiceTime() };
}

static std::string formatTime(std::optional<Millis> time)
{
    return time ? std::to_string(time->count()) : "unknown";
}

// Refuses a request that has not run, because this process would end before its response. The caller reaches another node.
void ProxyFlow::refuseForExit()
{
    const ExitOutlook outlook = *exitOutlook();
    context_.log.noteFailure("request_refused", { { "request", requestId_ }, { "route", route_.name }, { "reason", "stopping" }, { "time_left_ms", formatTime(outlook.timeLeft) }, { "longest_ms", formatTime(outlook.expectedTime) }, { "deadline_ms", formatTime(deadlineAt_ - context_.clock()) } });
    sendError(statusUnavailable, "stopping", stoppingRetryAfter);
}

// Logs a request whose run the exit interrupts, with what was expected of it when it was sent.
void ProxyFlow::logCut() const
{
    const Millis now = context_.clock();
    const std::optional<ExitOutlook>& outlook = attempt_->exitOutlook;
    context_.log.noteChange("request_cut", { { "request", requestId_ }, { "route", route_.name }, { "endpoint", attempt_->target.id }, { "sent_ms_ago", formatTime(now - attempt_->sentAt) }, { "time_left_ms", outlook ? formatTime(outlook->timeLeft) : "not_stopping" }, { "longest_ms", outlook ? formatTime(outlook->expectedTime) : "not_stopping" }, { "deadline_ms", formatTime(deadlineAt_ - now) }, { "first_event_ms", attempt_->hasBody ? formatTime(attempt_->firstEventAt - attempt_->sentAt) : "none" }, { "last_event", eventSplitter_.lastId() ? std::to_string(*eventSplitter_.lastId()) : "none" } });
}

void ProxyFlow::requestPlacement(Millis objectiveAt, int priority)
{
    PlacementRequest request {
        .id = options_.id,
        .service = service_,
        .model = model_,
        .organisation = organisation_,
        .workMs = options_.routes->configuration().estimateWorkMs(service_, model_, tokenCounts_.prompt, tokenCounts_.maxAnswer),
        .priority = priority,
        .arrivedAt = context_.clock(),
        .objectiveAt = objectiveAt,
        .deadlineAt = deadlineAt_,
        .hasResponseStarted = isHeadSent_,
        .excludedEndpoints = excludedEndpoints_,
        .promptTokens = tokenCounts_.prompt,
        .gapTarget = route_.gapTarget,
    };
    const auto self = shared_from_this();
    request.onPlaced = [self](const Target& target) { self->handlePlacement(target); };
    request.onRefused = [self](const PlacementRefusal& refusal) { self->handleRefusal(refusal); };
    isQueued_ = true;
    times_.startWaiting(context_.clock());
    context_.dispatcher.submit(std::move(request));
}

void ProxyFlow::handleRefusal(const PlacementRefusal& refusal)
{
    isQueued_ = false;
    times_.stopWaiting(context_.clock());
    if (isDone_)
        return;
    const bool mayHaveRun = executionState_ == ExecutionState::MayHaveRun;
    context_.log.noteFailure("request_refused", { { "request", requestId_ }, { "organisation", organisation_ }, { "route", route_.name }, { "model", model_ }, { "priority", std::to_string(priority_) }, { "organisation_use_ms", std::to_string(std::llround(context_.dispatcher.organisationUse(organisation_))) }, { "reason", std::string(refusalReasonName(refusal.reason)) }, { "waiting_before", std::to_string(refusal.requestsAhead) }, { "targets", std::to_string(refusal.targets) }, { "retry_after_ms", std::to_string(refusal.retryAfter.count()) }, { "sends", std::to_string(sends_) }, { "config_version", std::to_string(options_.routes->configuration().version) } });
    if (mayHaveRun || isHeadSent_)
        fail(refusalReasonName(refusal.reason));
    else
        sendError(statusUnavailable, refusalReasonName(refusal.reason), refusal.retryAfter);
}

void ProxyFlow::handlePlacement(const Target& target)
{
    isQueued_ = false;
    const Millis now = context_.clock();
    times_.stopWaiting(now);
    if (isDone_) {
        context_.dispatcher.release(target.id, options_.id);
        return;
    }
    if (isCrashBlocked()) {
        context_.dispatcher.release(target.id, options_.id);
        endCrashing();
        return;
    }
    if (mayRefuse() && !endsBeforeExit()) {
        context_.dispatcher.release(target.id, options_.id);
        refuseForExit();
        return;
    }
    if (!hasMemoryFor(target))
        return;
    const size_t bodyBytes = options_.request.body.size();
    attempt_.emplace(Attempt { .target = target, .sentAt = now, .exitOutlook = exitOutlook(), .untakenBytes = bodyBytes >= largeBodyBytes ? bodyBytes : 0, .isResumed = eventSplitter_.lastId().has_value(), .progressAt = now });
    lastTarget_ = target.id;
    ++sends_;
    const auto self = shared_from_this();
    // A pooled connection may be dead without notice, so a request that must not run twice gets a new connection.
    attempt_->connection = context_.pool.acquire(target.address, target.port, route_.isRetryable());
    attempt_->connection->exchange(formatRequest(target),
        {
            .maySend = [self] { return self->maySend(); },
            .onHead = [self](const ResponseHead& head) { self->handleHead(head); },
            .onBody = [self](std::string_view bytes) { self->handleBody(bytes); },
            .onEnd = [self](ExchangeEnd how) { self->handleEnd(how); },
        });
}

// Refuses a queued request that no longer ends before the exit of this process.
void ProxyFlow::leaveQueue()
{
    context_.dispatcher.cancel(options_.id);
    isQueued_ = false;
    times_.stopWaiting(context_.clock());
    refuseForExit();
}

// Returns whether a request that waited for its connection may still be sent. The time left that it tells the endpoint is that of its
// placement: after a pause of this process the endpoint would work too long. The endpoint may also have been evacuated meanwhile.
bool ProxyFlow::maySend() const
{
    const Millis now = context_.clock();
    return attempt_ && now < deadlineAt_ && now - attempt_->sentAt <= connectTimeout && context_.dispatcher.isTarget(attempt_->target);
}

std::string ProxyFlow::formatRequest(const Target& target) const
{
    return formatForwardedRequest(context_.headers,
        {
            .request = options_.request,
            .endpoint = target.id,
            .timeLeft = deadlineAt_ - context_.clock(),
            .organisation = organisation_,
            .urgency = model_.empty() ? std::nullopt : std::optional<int>(priority_),
            .lastEvent = sends_ > 1 ? eventSplitter_.lastId() : std::nullopt,
        });
}

// Ends the current attempt and frees its slot. Its connection returns to the pool if the response is complete;
// otherwise it is closed, which cancels the request at the endpoint.
void ProxyFlow::endAttempt(std::string_view result)
{
    if (!attempt_)
        return;
    const Attempt attempt = std::move(*attempt_);
    attempt_.reset();
    noteHeldBytes();
    context_.metrics.countSend(std::string(result));
    context_.pool.release(attempt.target.address, attempt.target.port, attempt.connection);
    context_.dispatcher.release(attempt.target.id, options_.id);
}

// Returns whether the request may be sent again, given whether and how often it may have run.
bool ProxyFlow::canRetry(ExecutionState state, int executions) const
{
    const bool isRetryable = route_.isRetryable() && (!isHeadSent_ || route_.kind == RequestKind::Stream);
    if (!isRetryable && state != ExecutionState::NotRun)
        return false;
    // A started stream without event ids has no position to resume from.
    if (isHeadSent_ && !eventSplitter_.lastId())
        return false;
    return executions + 1 <= route_.maxAttempts && sends_ < route_.maxAttempts + maxUnexecutedSends && context_.clock() < deadlineAt_;
}

// Returns a value that is the same for each repetition of the request by its caller.
uint64_t ProxyFlow::fingerprint() const
{
    if (!fingerprint_)
        fingerprint_ = CrashList::fingerprint(requestHeader(context_.headers.key), options_.request.method, options_.request.target, options_.request.body);
    return *fingerprint_;
}

std::vector<uint64_t> ProxyFlow::sharedPromptParts() const
{
    return CrashList::hashSharedParts(service_, model_, requestHeader(context_.headers.promptPrefix));
}

// Returns whether the request, or a part of its prompt, crashes endpoints.
bool ProxyFlow::isCrashBlocked() const
{
    if (context_.crashes.isEmpty())
        return false;
    const std::optional<uint64_t> blocked = context_.crashes.findBlock({ .request = fingerprint(), .sharedParts = sharedPromptParts() });
    if (blocked)
        context_.log.noteFailure("request_blocked", { { "request", requestId_ }, { "organisation", organisation_ }, { "route", route_.name }, { "blocked", absl::StrFormat("%016x", *blocked) }, { "sends", std::to_string(sends_) } });
    return blocked.has_value();
}

// Ends a request that crashes endpoints. The error has no Retry-After: no repetition will be served.
void ProxyFlow::endCrashing()
{
    if (isHeadSent_)
        fail("crashes_endpoints");
    else
        sendError(statusInternalError, "crashes_endpoints");
}

// Ends a failed attempt, records the failure and excludes the endpoint from further attempts.
void ProxyFlow::noteFailedSend(std::string_view reason, bool isTargetFault)
{
    const Attempt attempt = *attempt_;
    const Millis now = context_.clock();
    const bool wasSent = attempt.connection->wasSent();
    if (isTargetFault)
        context_.dispatcher.noteFailure(attempt.target.id, !attempt.head && reason != "malformed_answer");
    if (wasSent) {
        executionState_ = ExecutionState::MayHaveRun;
        ++executions_;
        if (reason == "connection_lost" || reason == "stream_truncated")
            context_.crashes.noteConnectionLost({ .request = fingerprint(), .sharedParts = sharedPromptParts() }, attempt.target.id);
    }
    context_.log.noteFailure("send_failed", { { "request", requestId_ }, { "organisation", organisation_ }, { "route", route_.name }, { "endpoint", attempt.target.id }, { "model", model_ }, { "reason", std::string(reason) }, { "sent_ms_ago", std::to_string((now - attempt.sentAt).count()) }, { "heard_ms_ago", std::to_string((now - attempt.progressAt).count()) }, { "last_event", eventSplitter_.lastId() ? std::to_string(*eventSplitter_.lastId()) : "none" }, { "may_have_run", wasSent ? "true" : "false" } });
    attempt.connection->close();
    endAttempt(reason);
    eventSplitter_.discardPartial();
    excludedEndpoints_.insert(attempt.target.id);
}

void ProxyFlow::retry()
{
    // A started stream gets the highest priority, since its caller is already reading it.
    requestPlacement(isHeadSent_ ? deadlineAt_ : options_.request.startedAt + route_.objective, isHeadSent_ ? 0 : priority_);
}

// Handles a failed attempt: sends the request to another endpoint if it may run again, else reports the failure to the
// caller.
void ProxyFlow::retryOrFail(std::string_view reason, bool isTargetFault)
{
    if (isDone_ || !attempt_)
        return;
    const auto self = shared_from_this();
    noteFailedSend(reason, isTargetFault);
    if (isCrashBlocked())
        endCrashing();
    else if (canRetry(executionState_, executions_) && context_.retries.tryConsume(service_))
        retry();
    else
        fail(reason);
}

void ProxyFlow::fail(std::string_view reason)
{
    if (isDone_)
        return;
    if (isHeadSent_) {
        abortAnswer("failed", reason);
        return;
    }
    if (executionState_ == ExecutionState::NotRun)
        sendError(statusUnavailable, reason, defaultRetryAfter);
    else
        sendError(reason == "timeout" ? statusGatewayTimeout : statusBadGateway, reason);
}

void ProxyFlow::sendError(int status, std::string_view reason, std::optional<Millis> retryAfter)
{
    if (isDone_)
        return;
    std::vector<HeaderLine> headers;
    if (!requestId_.empty())
        headers.push_back({ context_.headers.requestId, requestId_ });
    if (retryAfter)
        headers.push_back({ "Retry-After", absl::StrFormat("%.2f", std::chrono::duration<double>(*retryAfter).count()) });
    options_.caller->answer(status, headers, {});
    finish(status == statusUnavailable ? "refused" : "failed", reason);
}

// What an endpoint takes of a large request is progress: its link may need longer for the whole than it may be silent.
void ProxyFlow::noteTakenBytes(Millis now)
{
    if (attempt_->untakenBytes == 0)
        return;
    const size_t untaken = attempt_->connection->untakenBytes();
    if (untaken < attempt_->untakenBytes)
        attempt_->progressAt = now;
    attempt_->untakenBytes = untaken;
}

void ProxyFlow::checkInactivity(Millis now)
{
    if (!attempt_->connection->wasSent()) {
        if (now - attempt_->sentAt >= connectTimeout)
            retryOrFail("connect_timeout", true);
        return;
    }
    noteTakenBytes(now);
    if (now - attempt_->progressAt < inactivityTimeout(route_, attempt_->head.has_value()) || !route_.isRetryable())
        return;
    // A slow request is not given up unless another endpoint may run or continue it.
    if (!canRetry(ExecutionState::MayHaveRun, executions_ + 1) || !context_.retries.hasBudget(service_))
        return;
    std::set<std::string> tried = excludedEndpoints_;
    tried.insert(attempt_->target.id);
    if (context_.dispatcher.hasTargetBeside(service_, model_, tried))
        retryOrFail("endpoint_silent", true);
    else if (!std::exchange(attempt_->isSilenceNoted, true))
        context_.dispatcher.noteSilence(attempt_->target.id);
}

void ProxyFlow::checkTimeouts()
{
    if (isDone_)
        return;
    const Millis now = context_.clock();
    if (now < deadlineAt_) {
        if (attempt_)
            checkInactivity(now);
        else if (isQueued_ && mayRefuse() && !endsBeforeExit())
            leaveQueue();
        return;
    }
    giveUp("timeout");
}

// Stops waiting for a slot or a response, and reports the failure to the caller.
void ProxyFlow::giveUp(std::string_view reason)
{
    if (isQueued_)
        context_.dispatcher.cancel(options_.id);
    if (attempt_ && attempt_->connection->wasSent())
        executionState_ = ExecutionState::MayHaveRun;
    if (attempt_)
        attempt_->connection->close();
    endAttempt(reason);
    fail(reason);
}

void ProxyFlow::handleExit()
{
    if (isDone_)
        return;
    if (attempt_)
        logCut();
    giveUp("stopped");
}

// Ends the flow because the caller closed its connection.
void ProxyFlow::cancel()
{
    if (isDone_)
        return;
    if (isQueued_)
        context_.dispatcher.cancel(options_.id);
    if (attempt_)
        attempt_->connection->close();
    endAttempt("caller_gone");
    finish("abandoned", "caller_gone");
}

// Ends the flow and breaks off its answer. In this order, since the closed connection would end the flow as abandoned.
void ProxyFlow::abortAnswer(const std::string& end, std::string_view reason)
{
    const auto self = shared_from_this();
    finish(end, reason);
    options_.caller->abort();
}

void ProxyFlow::finish(const std::string& end, std::string_view reason)
{
    if (isDone_)
        return;
    isDone_ = true;
    noteOutcome(context_,
        {
            .requestId = requestId_,
            .organisation = organisation_,
            .route = route_.name,
            .priority = priority_,
            .end = end,
            .reason = std::string(reason),
            .times = times_,
            .sends = sends_,
            .endpoint = lastTarget_,
            .configurationVersion = options_.routes ? std::optional<uint64_t>(options_.routes->configuration().version) : std::nullopt,
            .numberOnConnection = options_.request.number,
        });
    options_.onDone(options_.id);
}

} // namespace hemlockweir
