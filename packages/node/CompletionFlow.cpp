#include "node/CompletionFlow.h"

#include "base/Log.h"

#include <QJsonDocument>
#include <algorithm>
#include <utility>

namespace hemlockweir {

// A request fails after this many failed attempts that an engine may have accepted. Attempts that
// no engine accepted cost nothing and are not counted: they are repeated until the deadline, at the
// rate at which groups report their status.
static constexpr uint32_t maxFailures = 4;

void CompletionFlow::start(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion)
{
    auto* flow = new CompletionFlow(context, std::move(exchange), std::move(request), std::move(completion));
    flow->claim([flow] { flow->schedule(); });
}

CompletionFlow::CompletionFlow(NodeContext& context, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion)
    : Flow(context, std::move(exchange), std::move(request))
    , completion_(std::move(completion))
    , seed_(completion_.body.contains("seed") ? static_cast<uint64_t>(completion_.body["seed"].toDouble()) : context.random() >> 32)
    , prefix_(hashPrefix(promptOf(completion_).toStdString()))
    , runId_(makeRandomId(context.random))
    , fingerprint_(Quarantine::fingerprintOf(this->request().caller.name, this->exchange().body()))
    , reply_(this->exchange(), this->request().requestId, completion_)
{
}

CompletionFlow::~CompletionFlow()
{
    context_.quarantine.release(runId_);
}

void CompletionFlow::cancelWork()
{
    call_.reset();
    deathCheck_.reset();
    if (jobId_ != 0 && !holdsSlot_)
        context_.scheduler.cancel(jobId_);
    releaseSlot();
}

// Returns the latest useful start of the next attempt. Once tokens have arrived, the time counts from
// the interruption, so that an answer can be resumed after its original deadline.
Millis CompletionFlow::deadline() const
{
    return (receivedTokens_ > 0 ? interruptedAt_ : arrivedAt_) + request().deadline;
}

static double loadOf(const Replica& replica)
{
    return static_cast<double>(replica.running + replica.waiting) / std::max(1U, replica.slots);
}

// Returns the groups to avoid. For a suspect, reserves one group and returns all others, so that no
// two suspects run on one group; returns nullopt if every group is reserved already.
std::optional<std::vector<std::string>> CompletionFlow::isolateIfSuspect()
{
    std::vector<std::string> avoidedGroups = groupsToAvoid();
    if (!context_.quarantine.isSuspect(fingerprint_)) {
        context_.quarantine.release(runId_);
        return avoidedGroups;
    }
    std::vector<Replica> replicas = context_.fleet.findReplicas(completion_.model);
    // Least loaded groups first: a crash ends fewer other requests there, and a slot is free sooner.
    std::stable_sort(replicas.begin(), replicas.end(), [](const Replica& a, const Replica& b) { return loadOf(a) < loadOf(b); });
    std::vector<std::string> excludedGroups = failedGroups_;
    std::vector<std::string> candidates;
    for (const Replica& replica : replicas) {
        excludedGroups.push_back(replica.group);
        if (std::find(avoidedGroups.begin(), avoidedGroups.end(), replica.group) == avoidedGroups.end())
            candidates.push_back(replica.group);
    }
    const std::optional<std::string> reserved = context_.quarantine.reserve(candidates, runId_);
    if (!reserved)
        return std::nullopt;
    reservedGroup_ = *reserved;
    std::erase(excludedGroups, reservedGroup_);
    return excludedGroups;
}

void CompletionFlow::waitForGroup()
{
    constexpr Millis interval { 50 };
    if (context_.clock() > deadline()) {
        fail({ .status = 503, .type = "overloaded", .message = "no whole group was free for this request before the deadline", .outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun });
        return;
    }
    QTimer::singleShot(interval, this, [this] {
        if (!hasEnded())
            schedule();
    });
}

// Reserves another group if the reserved one disappears before it grants a slot.
void CompletionFlow::watchReservation(uint64_t jobId)
{
    constexpr Millis interval { 500 };
    QTimer::singleShot(interval, this, [this, jobId] {
        if (jobId != jobId_ || holdsSlot_ || hasEnded())
            return;
        const std::vector<Replica> replicas = context_.fleet.findReplicas(completion_.model);
        if (std::any_of(replicas.begin(), replicas.end(), [this](const Replica& replica) { return replica.group == reservedGroup_; })) {
            watchReservation(jobId);
            return;
        }
        context_.scheduler.cancel(jobId);
        releaseSlot();
        context_.quarantine.release(runId_);
        schedule();
    });
}

void CompletionFlow::schedule()
{
    if (context_.quarantine.isQuarantined(fingerprint_)) {
        fail({ .status = 422, .type = "quarantined", .message = "endpoints died while they ran this request, so it is refused for a time", .outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun });
        return;
    }
    const std::optional<std::vector<std::string>> avoidedGroups = isolateIfSuspect();
    if (!avoidedGroups) {
        waitForGroup();
        return;
    }
    jobId_ = context_.nextJob++;
    const Job job {
        .id = jobId_,
        .model = completion_.model,
        .caller = request().caller.name,
        .weight = request().caller.weight,
        .rank = request().priority.rank,
        .floorShare = request().priority.floorShare,
        .deadline = deadline(),
        // The first token of a retry is due at the deadline, since its original target may have passed.
        .target = attempt_ > 0 ? Millis(0) : arrivedAt_ + Millis(request().priority.firstTokenMs),
        .cost = static_cast<double>(completion_.maxTokens - receivedTokens_),
        .avoidGroups = *avoidedGroups,
        .prefix = prefix_,
        .preemptions = preemptions_,
    };
    const uint64_t id = jobId_;
    auto post = poster();
    JobHooks hooks {
        .onDecision = [this, id, post](const Decision& decision) { post([this, id, decision] { handleDecision(id, decision); }); },
        .onPreempt = [this, id, post] { post([this, id] { handlePreemption(id); }); },
    };
    context_.scheduler.submit(job, hooks);
    if (context_.quarantine.isSuspect(fingerprint_))
        watchReservation(id);
}

void CompletionFlow::handleDecision(uint64_t jobId, const Decision& decision)
{
    if (jobId != jobId_ || hasEnded())
        return;
    if (decision.isGranted()) {
        holdsSlot_ = true;
        // The scheduler refreshes its replicas only periodically, so this one may no longer be whole.
        if (context_.fleet.findReplica(decision.replica.group, decision.replica.epoch)) {
            attempt(decision.replica);
            return;
        }
        releaseSlot();
        waitForGroup();
        return;
    }
    jobId_ = 0;
    const Outcome outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
    ErrorReply error { .status = 503, .type = "overloaded", .message = "no slot became free before the deadline", .outcome = outcome, .retryAfter = decision.retryAfter };
    if (decision.refusal == Refusal::QueueFull)
        error.message = "too many requests are waiting";
    else if (decision.refusal == Refusal::RetryBudget)
        error.message = "too many retries after failures of endpoints";
    else if (decision.refusal == Refusal::NoReplica)
        error.message = "no whole group serves this model now";
    fail(error);
}

void CompletionFlow::releaseSlot()
{
    // This also finishes a job whose grant has not reached this thread yet.
    if (jobId_ != 0)
        context_.scheduler.finish(jobId_);
    jobId_ = 0;
    holdsSlot_ = false;
}

void CompletionFlow::handlePreemption(uint64_t jobId)
{
    if (jobId != jobId_ || hasEnded() || isClaimed())
        return;
    mayHaveRun_ = mayHaveRun_ || call_;
    call_.reset();
    releaseSlot();
    interruptedAt_ = context_.clock();
    ++preemptions_;
    schedule();
}

// Returns the groups that failed this request, if the model has another group. Otherwise returns
// none: a group whose connection went silent may be healthy, and it may be the only one.
std::vector<std::string> CompletionFlow::groupsToAvoid() const
{
    if (failedGroups_.empty())
        return {};
    for (const Replica& replica : context_.fleet.findReplicas(completion_.model)) {
        if (std::find(failedGroups_.begin(), failedGroups_.end(), replica.group) == failedGroups_.end())
            return failedGroups_;
    }
    return {};
}

void CompletionFlow::attempt(const Replica& replica)
{
    replica_ = replica;
    ++attempt_;
    record_.attempts = attempt_;
    QJsonObject body = completion_.body;
    body["stream"] = true;
    body["max_tokens"] = static_cast<int>(completion_.maxTokens);
    body["seed"] = static_cast<double>(seed_);
    const QString path = completion_.isChat ? QStringLiteral("/v1/chat/completions") : QStringLiteral("/v1/completions");
    CallOptions options {
        .url = QUrl(QStringLiteral("http://") + QString::fromStdString(replica.leader) + path),
        .headers = {
            { "X-Request-Id", QByteArray::fromStdString(request().requestId) },
            { "X-Run-Id", QByteArray::fromStdString(runId_) },
            { "X-Attempt", QByteArray::number(attempt_) },
            { "X-Group", QByteArray::fromStdString(replica.group) },
            { "X-Group-Epoch", QByteArray::number(static_cast<qulonglong>(replica.epoch)) },
            { "X-Priority-Rank", QByteArray::number(request().priority.rank) },
            { "X-Resume-Offset", QByteArray::number(receivedTokens_) },
        },
        .body = QJsonDocument(body).toJson(QJsonDocument::Compact),
        .firstByteTimeout = context_.silenceTimeout,
        .silenceTimeout = context_.silenceTimeout,
    };
    answer_ = std::make_unique<AnswerStream>(AnswerStream::Options {
        .runId = runId_,
        .attempt = attempt_,
        .receivedTokens = receivedTokens_,
        .onToken = [this](const QString& text, bool isFirst) { handleToken(text, isFirst); },
        .onFailure = [this](const char* reason) { abortAttempt(reason); },
    });
    CallHooks hooks;
    hooks.onData = [this](const QByteArray& bytes) { answer_->feed(bytes); };
    hooks.onDone = [this](const CallResult& result) { handleCallEnd(result); };
    call_ = client().start(options, hooks);
}

void CompletionFlow::handleToken(const QString& text, bool isFirst)
{
    if (receivedTokens_ == 0)
        record_.firstToken = context_.clock() - arrivedAt_;
    if (isFirst)
        context_.scheduler.noteFirstToken(jobId_);
    ++receivedTokens_;
    record_.tokens = receivedTokens_;
    reply_.addToken(text);
}

// Cancels the current attempt. Its end is handled later because the call is still on the stack.
void CompletionFlow::abortAttempt(const char* reason)
{
    call_->cancel();
    poster()([this, attempt = attempt_, reason] {
        if (attempt == attempt_ && !hasEnded())
            handleCallEnd({ .end = CallEnd::Broken, .error = QString::fromLatin1(reason) });
    });
}

// Returns whether an engine may have accepted the request. An engine that answers 409 or 503
// instead of a stream has not accepted it.
static bool mayHaveBeenAccepted(const CallResult& result)
{
    const bool isRefused = result.end == CallEnd::Answered && (result.status == 409 || result.status == 503);
    return result.end != CallEnd::NotSent && !isRefused;
}

void CompletionFlow::handleCallEnd(const CallResult& result)
{
    answer_->close();
    mayHaveRun_ = mayHaveRun_ || mayHaveBeenAccepted(result);
    releaseSlot();
    const bool isRefusal = result.end == CallEnd::Answered && result.status >= 400 && result.status < 500 && result.status != 409 && result.status != 429;
    if (receivedTokens_ > 0)
        interruptedAt_ = context_.clock();
    if (result.isSuccess() && !answer_->finishReason().isEmpty())
        finishAnswer();
    else if (isRefusal)
        forwardRefusal(result);
    else if (result.end == CallEnd::Broken)
        checkGroupDeath(result);
    else
        retryOrFail(result);
}

// Checks whether the group died. If so, counts the death against this request; then retries or fails.
void CompletionFlow::checkGroupDeath(const CallResult& result)
{
    deathCheck_ = std::make_unique<DeathCheck>(DeathCheck::Options { .client = client(), .leader = replica_->leader, .epoch = replica_->epoch, .timeout = context_.silenceTimeout }, [this, result](bool isDead) {
        if (isDead) {
            logWarning("death_on_request", { { "request", request().requestId }, { "group", replica_->group }, { "epoch", std::to_string(replica_->epoch) }, { "fingerprint", std::to_string(fingerprint_) } });
            context_.quarantine.addDeath(fingerprint_, Quarantine::deathIdOf(replica_->group, replica_->epoch));
        }
        retryOrFail(result);
    });
}

// Fails with the engine's client error. The request itself is invalid, so other groups would refuse
// it as well.
void CompletionFlow::forwardRefusal(const CallResult& result)
{
    fail({ .status = result.status, .type = "refused_by_endpoint", .message = "the engine refused the request: " + result.body.left(200).toStdString(), .outcome = Outcome::Unknown });
}

void CompletionFlow::retryOrFail(const CallResult& result)
{
    logWarning("attempt_failed", { { "request", request().requestId }, { "group", replica_->group }, { "epoch", std::to_string(replica_->epoch) }, { "attempt", std::to_string(attempt_) }, { "http", std::to_string(result.status) }, { "error", result.error.toStdString() } });
    context_.fleet.suspectGroup(replica_->group, replica_->epoch);
    context_.quarantine.release(runId_);
    failedGroups_.push_back(replica_->group);
    const bool wasAccepted = mayHaveBeenAccepted(result);
    failures_ += wasAccepted ? 1 : 0;
    const bool canRetry = wasAccepted ? !isClaimed() && failures_ < maxFailures : context_.clock() < deadline();
    if (canRetry && !answer_->hasRestarted()) {
        schedule();
        return;
    }
    const Outcome outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
    fail({ .status = 502, .type = "endpoint_failed", .message = "the endpoint failed and the request could not be taken up by another", .outcome = outcome });
}

void CompletionFlow::finishAnswer()
{
    context_.quarantine.clear(fingerprint_);
    context_.quarantine.release(runId_);
    const QString finishReason = answer_->finishReason();
    const QByteArray completeBody = reply_.makeCompleteBody(finishReason, receivedTokens_);
    storeAnswer({ .status = 200, .contentType = "application/json", .body = completeBody }, [this, finishReason, completeBody] {
        reply_.finish(finishReason, completeBody);
        const bool isLate = record_.firstToken > Millis(request().priority.firstTokenMs);
        end(isLate ? RequestEnd::Late : RequestEnd::Whole);
    });
}

} // namespace hemlockweir
