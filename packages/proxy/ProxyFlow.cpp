#include "proxy/ProxyFlow.h"

#include "http/StatusCodes.h"
#include "proxy/ForwardedHeaders.h"
#include "proxy/ForwardedRequest.h"
#include "proxy/RequestOutcome.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>

namespace hemlockweir {

// The longest time for a connection to an endpoint to open; links take a few ms.
static constexpr Millis connectTimeout { 400 };
// An answer that comes in time must still reach the caller.
static constexpr Millis giveUpMargin { 10 };
static constexpr Millis defaultDeadline { 60000 };

ProxyFlow::ProxyFlow(ProxyContext& context, Options options)
    : context_(context)
    , options_(std::move(options))
{
}

void ProxyFlow::start()
{
    requestId_ = std::string(requestHeader(context_.headers.requestId));
    times_.startedAt = options_.request.startedAt;
    options_.caller->onCallerDisconnected = [self = weak_from_this()] {
        if (const auto flow = self.lock())
            flow->cancel();
    };
    if (!findRoute())
        return;
    if (crashesEndpoints()) {
        answerError(statusInternalError, "crashes_endpoints");
        return;
    }
    readLimits();
    const Millis objectiveAt = options_.request.startedAt + (route_.objective.count() > 0 ? route_.objective : route_.timeout);
    context_.retries.earn(service_);
    requestPlace(objectiveAt, priority_);
}

// Finds the route and who asks; answers and returns false when there is none.
bool ProxyFlow::findRoute()
{
    if (!options_.routes) {
        answerError(statusUnavailable, "no_configuration", defaultRetryAfter);
        return false;
    }
    const Route* route = options_.routes->findRoute(options_.request.header("Host"), options_.request.target);
    if (!route) {
        answerError(statusNotFound, "no_route");
        return false;
    }
    route_ = *route;
    priority_ = route_.priority;
    const std::string_view key = requestHeader(context_.headers.key);
    const Organisation* organisation = key.empty() ? nullptr : options_.routes->findOrganisation(key);
    if (!organisation && !route_.isPublic && options_.routes->configuration().needsKeys) {
        answerError(statusUnauthorized, "unknown_key");
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
    Millis limit = Millis(deadline) - giveUpMargin;
    if (route_.timeout.count() > 0)
        limit = std::min(limit, route_.timeout);
    giveUpAt_ = options_.request.startedAt + limit;
    uint64_t lastId = 0;
    if (absl::SimpleAtoi(std::string(requestHeader(context_.headers.lastEventId)), &lastId))
        cutter_.setLastId(lastId);
}

void ProxyFlow::requestPlace(Millis objectiveAt, int priority)
{
    Ticket ticket {
        .id = options_.id,
        .service = service_,
        .model = model_,
        .priority = priority,
        .arrivedAt = context_.clock(),
        .objectiveAt = objectiveAt,
        .giveUpAt = giveUpAt_,
        .isBegun = isHeadSent_,
        .avoid = avoid_,
        .promptTokens = parsePromptTokens(requestHeader(context_.headers.tokenCounts)),
        .gapTarget = route_.gapTarget,
    };
    const auto self = shared_from_this();
    ticket.onPlaced = [self](const Target& target) { self->takePlace(target); };
    ticket.onRefused = [self](const PlaceRefusal& refusal) { self->takeRefusal(refusal); };
    isWaiting_ = true;
    times_.startWaiting(context_.clock());
    context_.dispatcher.submit(std::move(ticket));
}

void ProxyFlow::takeRefusal(const PlaceRefusal& refusal)
{
    isWaiting_ = false;
    times_.stopWaiting(context_.clock());
    if (isDone_)
        return;
    const bool mayHaveRun = runState_ == RunState::MayHaveRun;
    context_.log.noteFailure("request_refused", { { "request", requestId_ }, { "organisation", organisation_ }, { "route", route_.name }, { "model", model_ }, { "priority", std::to_string(priority_) }, { "reason", std::string(refusalReasonName(refusal.reason)) }, { "waiting_before", std::to_string(refusal.waitingBefore) }, { "targets", std::to_string(refusal.targets) }, { "retry_after_ms", std::to_string(refusal.retryAfter.count()) }, { "sends", std::to_string(sends_) }, { "config_version", std::to_string(options_.routes->configuration().version) } });
    if (mayHaveRun || isHeadSent_)
        fail(refusalReasonName(refusal.reason));
    else
        answerError(statusUnavailable, refusalReasonName(refusal.reason), refusal.retryAfter);
}

void ProxyFlow::takePlace(const Target& target)
{
    isWaiting_ = false;
    const Millis now = context_.clock();
    times_.stopWaiting(now);
    if (isDone_) {
        context_.dispatcher.release(target.id);
        return;
    }
    attempt_.emplace(Attempt { .target = target, .sentAt = now, .heardAt = now });
    lastTarget_ = target.id;
    ++sends_;
    const auto self = shared_from_this();
    // A kept connection may be dead without a sign: what must not run twice goes out on a new one.
    attempt_->connection = context_.pool.acquire(target.address, target.port, route_.isRepeatable());
    attempt_->connection->exchange(formatRequest(target),
        {
            .onHead = [self](const ResponseHead& head) { self->takeHead(head); },
            .onBody = [self](std::string_view bytes) { self->takeBody(bytes); },
            .onEnd = [self](ExchangeEnd how) { self->takeEnd(how); },
        });
}

std::string ProxyFlow::formatRequest(const Target& target) const
{
    return formatForwardedRequest(context_.headers,
        {
            .request = options_.request,
            .endpoint = target.id,
            .timeLeft = giveUpAt_ - context_.clock(),
            .organisation = organisation_,
            .urgency = model_.empty() ? std::nullopt : std::optional<int>(priority_),
            .lastEvent = sends_ > 1 ? cutter_.lastId() : std::nullopt,
        });
}

bool ProxyFlow::isStreaming() const
{
    return route_.kind == RequestKind::Stream && attempt_ && attempt_->head && attempt_->head->status / 100 == 2;
}

// Lets go of the attempt: its connection goes back to the pool if its answer is whole, or is closed,
// which cancels the work at the endpoint.
void ProxyFlow::dropAttempt(std::string_view result)
{
    if (!attempt_)
        return;
    const Attempt attempt = std::move(*attempt_);
    attempt_.reset();
    context_.metrics.countSend(std::string(result));
    context_.pool.release(attempt.target.address, attempt.target.port, attempt.connection);
    context_.dispatcher.release(attempt.target.id);
}

// Whether the request may be sent again, given what is known of whether and how often it ran.
bool ProxyFlow::mayRetry(RunState state, int runs) const
{
    const bool isRepeatable = route_.isRepeatable() && (!isHeadSent_ || route_.kind == RequestKind::Stream);
    if (!isRepeatable && state != RunState::NotRun)
        return false;
    // Without ids nothing says where a stream that has begun would go on.
    if (isHeadSent_ && !cutter_.lastId())
        return false;
    return runs + 1 <= route_.maxAttempts && sends_ < route_.maxAttempts + extraSends && context_.clock() < giveUpAt_;
}

// The same for each send of one request by its caller.
uint64_t ProxyFlow::fingerprint() const
{
    return CrashList::fingerprint(requestHeader(context_.headers.key), options_.request.method, options_.request.target, options_.request.body);
}

bool ProxyFlow::crashesEndpoints() const
{
    return !context_.crashes.isEmpty() && context_.crashes.isBlocked(fingerprint());
}

// Lets go of an attempt that failed; from here on its endpoint is avoided.
void ProxyFlow::noteFailedSend(std::string_view reason, bool blamesTarget)
{
    const Attempt attempt = *attempt_;
    const Millis now = context_.clock();
    const bool wasSent = attempt.connection->wasConnected();
    if (blamesTarget)
        context_.dispatcher.noteFailure(attempt.target.id, !attempt.head && reason != "malformed_answer");
    if (wasSent) {
        runState_ = RunState::MayHaveRun;
        ++runs_;
        if (reason == "connection_lost")
            context_.crashes.noteBroken(fingerprint(), attempt.target.id);
    }
    context_.log.noteFailure("send_failed", { { "request", requestId_ }, { "organisation", organisation_ }, { "route", route_.name }, { "endpoint", attempt.target.id }, { "model", model_ }, { "reason", std::string(reason) }, { "sent_ms_ago", std::to_string((now - attempt.sentAt).count()) }, { "heard_ms_ago", std::to_string((now - attempt.heardAt).count()) }, { "last_event", cutter_.lastId() ? std::to_string(*cutter_.lastId()) : "none" }, { "may_have_run", wasSent ? "true" : "false" } });
    attempt.connection->close();
    dropAttempt(reason);
    cutter_.dropPartial();
    avoid_.insert(attempt.target.id);
}

void ProxyFlow::retry()
{
    // A stream that has begun is already waited for: it goes first.
    requestPlace(isHeadSent_ ? giveUpAt_ : options_.request.startedAt + route_.objective, isHeadSent_ ? 0 : priority_);
}

// The attempt failed: sends the request elsewhere if it may run again, else tells the caller.
void ProxyFlow::retryOrFail(std::string_view reason, bool blamesTarget)
{
    if (isDone_ || !attempt_)
        return;
    const auto self = shared_from_this();
    noteFailedSend(reason, blamesTarget);
    if (crashesEndpoints())
        fail("crashes_endpoints");
    else if (mayRetry(runState_, runs_) && context_.retries.take(service_))
        retry();
    else
        fail(reason);
}

void ProxyFlow::fail(std::string_view reason)
{
    if (isDone_)
        return;
    if (isHeadSent_) {
        options_.caller->abort();
        finish("failed", reason);
        return;
    }
    if (runState_ == RunState::NotRun)
        answerError(statusUnavailable, reason, defaultRetryAfter);
    else
        answerError(reason == "timeout" ? statusGatewayTimeout : statusBadGateway, reason);
}

void ProxyFlow::answerError(int status, std::string_view reason, std::optional<Millis> retryAfter)
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

void ProxyFlow::checkSilence(Millis now)
{
    if (!attempt_->connection->wasConnected()) {
        if (now - attempt_->sentAt >= connectTimeout)
            retryOrFail("connect_timeout", true);
        return;
    }
    if (now - attempt_->heardAt < silenceLimit(route_, attempt_->head.has_value()) || !route_.isRepeatable())
        return;
    if (mayRetry(RunState::MayHaveRun, runs_ + 1))
        retryOrFail("endpoint_silent", true);
}

void ProxyFlow::checkTimeouts()
{
    if (isDone_)
        return;
    const Millis now = context_.clock();
    if (now < giveUpAt_) {
        if (attempt_)
            checkSilence(now);
        return;
    }
    if (isWaiting_)
        context_.dispatcher.cancel(options_.id);
    if (attempt_ && attempt_->connection->wasConnected())
        runState_ = RunState::MayHaveRun;
    if (attempt_)
        attempt_->connection->close();
    dropAttempt("timeout");
    fail("timeout");
}

// The caller has gone: nobody waits for the answer.
void ProxyFlow::cancel()
{
    if (isDone_)
        return;
    if (isWaiting_)
        context_.dispatcher.cancel(options_.id);
    if (attempt_)
        attempt_->connection->close();
    dropAttempt("caller_gone");
    finish("abandoned", "caller_gone");
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
        });
    options_.onDone(options_.id);
}

} // namespace hemlockweir
