#include "node/CompletionFlow.h"

#include "base/Log.h"

#include <QJsonDocument>
#include <algorithm>
#include <utility>

namespace hemlockweir {

// Attempts of one request that may fail after they were taken before it is given up. Those that no
// engine took cost nothing: they go on until the deadline, at the pace of the groups' reports.
static constexpr uint32_t maxFailures = 4;

void CompletionFlow::start(Tables& tables, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion)
{
    auto* flow = new CompletionFlow(tables, std::move(exchange), std::move(request), std::move(completion));
    flow->claim([flow] { flow->schedule(); });
}

CompletionFlow::CompletionFlow(Tables& tables, std::shared_ptr<Exchange> exchange, CallerRequest request, CompletionRequest completion)
    : Flow(tables, std::move(exchange), std::move(request))
    , completion_(std::move(completion))
    , seed_(completion_.body.contains("seed") ? static_cast<uint64_t>(completion_.body["seed"].toDouble()) : tables.random() >> 32)
    , prefix_(hashPrefix(promptOf(completion_).toStdString()))
    , runId_(makeRandomId(tables.random))
    , fingerprint_(Quarantine::fingerprintOf(this->request().caller.name, this->exchange().body()))
    , reply_(this->exchange(), this->request().requestId, completion_)
{
}

CompletionFlow::~CompletionFlow()
{
    tables_.quarantine.release(runId_);
}

void CompletionFlow::cancelWork()
{
    call_.reset();
    look_.reset();
    if (jobId_ != 0 && !holdsSlot_)
        tables_.scheduler.cancel(jobId_);
    freeSlot();
}

// The latest useful start. An answer that has begun is taken up again though its first start is past.
Millis CompletionFlow::deadline() const
{
    return (received_ > 0 ? resumedAt_ : arrivedAt_) + request().deadline;
}

static double loadOf(const Replica& replica)
{
    return static_cast<double>(replica.running + replica.waiting) / std::max(1U, replica.slots);
}

// Returns the groups to avoid so that a suspect runs apart from other suspects; none when each
// group has one already.
std::optional<std::vector<std::string>> CompletionFlow::isolate()
{
    std::vector<std::string> avoid = groupsToAvoid();
    if (!tables_.quarantine.isSuspect(fingerprint_)) {
        tables_.quarantine.release(runId_);
        return avoid;
    }
    std::vector<Replica> replicas = tables_.fleet.findReplicas(completion_.model);
    // The emptiest first: fewer neighbours to end, and a slot sooner.
    std::stable_sort(replicas.begin(), replicas.end(), [](const Replica& a, const Replica& b) { return loadOf(a) < loadOf(b); });
    std::vector<std::string> groups = failedGroups_;
    std::vector<std::string> candidates;
    for (const Replica& replica : replicas) {
        groups.push_back(replica.group);
        if (std::find(avoid.begin(), avoid.end(), replica.group) == avoid.end())
            candidates.push_back(replica.group);
    }
    const std::optional<std::string> reserved = tables_.quarantine.reserve(candidates, runId_);
    if (!reserved)
        return std::nullopt;
    reservedGroup_ = *reserved;
    std::erase(groups, reservedGroup_);
    return groups;
}

void CompletionFlow::waitForGroup()
{
    constexpr Millis interval { 50 };
    if (tables_.clock() > deadline()) {
        fail({ .status = 503, .type = "overloaded", .message = "no whole group was free for this request before the deadline", .outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun });
        return;
    }
    QTimer::singleShot(interval, this, [this] {
        if (!hasEnded())
            schedule();
    });
}

// A reserved group may go before it grants a slot: then another one is reserved.
void CompletionFlow::watchReservation(uint64_t jobId)
{
    constexpr Millis interval { 500 };
    QTimer::singleShot(interval, this, [this, jobId] {
        if (jobId != jobId_ || holdsSlot_ || hasEnded())
            return;
        const std::vector<Replica> replicas = tables_.fleet.findReplicas(completion_.model);
        if (std::any_of(replicas.begin(), replicas.end(), [this](const Replica& replica) { return replica.group == reservedGroup_; })) {
            watchReservation(jobId);
            return;
        }
        tables_.scheduler.cancel(jobId);
        freeSlot();
        tables_.quarantine.release(runId_);
        schedule();
    });
}

void CompletionFlow::schedule()
{
    if (tables_.quarantine.isQuarantined(fingerprint_)) {
        fail({ .status = 422, .type = "quarantined", .message = "endpoints died while they ran this request, so it is refused for a time", .outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun });
        return;
    }
    const std::optional<std::vector<std::string>> avoid = isolate();
    if (!avoid) {
        waitForGroup();
        return;
    }
    jobId_ = tables_.nextJob++;
    const Job job {
        .id = jobId_,
        .model = completion_.model,
        .caller = request().caller.name,
        .weight = request().caller.weight,
        .rank = request().priority.rank,
        .floorShare = request().priority.floorShare,
        .deadline = deadline(),
        // A request that was begun is taken up again though its first token is late by now.
        .target = attempt_ > 0 ? Millis(0) : arrivedAt_ + Millis(request().priority.firstTokenMs),
        .cost = static_cast<double>(completion_.maxTokens - received_),
        .avoidGroups = *avoid,
        .prefix = prefix_,
        .preemptions = preemptions_,
    };
    const uint64_t id = jobId_;
    auto post = poster();
    JobHooks hooks {
        .onDecision = [this, id, post](const Decision& decision) { post([this, id, decision] { takeDecision(id, decision); }); },
        .onPreempt = [this, id, post] { post([this, id] { yieldSlot(id); }); },
    };
    tables_.scheduler.submit(job, hooks);
    if (tables_.quarantine.isSuspect(fingerprint_))
        watchReservation(id);
}

void CompletionFlow::takeDecision(uint64_t jobId, const Decision& decision)
{
    if (jobId != jobId_ || hasEnded())
        return;
    if (decision.isGranted()) {
        holdsSlot_ = true;
        // The scheduler reads its replicas now and then; the table may know better by now.
        if (tables_.fleet.findReplica(decision.replica.group, decision.replica.epoch)) {
            attempt(decision.replica);
            return;
        }
        freeSlot();
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

void CompletionFlow::freeSlot()
{
    // A job whose grant is still on its way to this thread is finished as well.
    if (jobId_ != 0)
        tables_.scheduler.finish(jobId_);
    jobId_ = 0;
    holdsSlot_ = false;
}

void CompletionFlow::yieldSlot(uint64_t jobId)
{
    if (jobId != jobId_ || hasEnded() || isClaimed())
        return;
    mayHaveRun_ = mayHaveRun_ || call_;
    call_.reset();
    freeSlot();
    resumedAt_ = tables_.clock();
    ++preemptions_;
    schedule();
}

// Groups that failed this request, while another group could take it: a group whose connection
// went silent is healthy and may be the only one.
std::vector<std::string> CompletionFlow::groupsToAvoid() const
{
    if (failedGroups_.empty())
        return {};
    for (const Replica& replica : tables_.fleet.findReplicas(completion_.model)) {
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
            { "X-Resume-Offset", QByteArray::number(received_) },
        },
        .body = QJsonDocument(body).toJson(QJsonDocument::Compact),
        .firstByteTimeout = tables_.silenceTimeout,
        .silenceTimeout = tables_.silenceTimeout,
    };
    answer_ = std::make_unique<AnswerStream>(AnswerStream::Options {
        .runId = runId_,
        .attempt = attempt_,
        .received = received_,
        .onToken = [this](const QString& text, bool isFirst) { takeToken(text, isFirst); },
        .onBroken = [this](const char* why) { breakAttempt(why); },
    });
    CallHooks hooks;
    hooks.onData = [this](const QByteArray& bytes) { answer_->feed(bytes); };
    hooks.onDone = [this](const CallResult& result) { takeCallEnd(result); };
    call_ = client().start(options, hooks);
}

void CompletionFlow::takeToken(const QString& text, bool isFirst)
{
    if (received_ == 0)
        record_.firstToken = tables_.clock() - arrivedAt_;
    if (isFirst)
        tables_.scheduler.noteFirstToken(jobId_);
    ++received_;
    record_.tokens = received_;
    reply_.addToken(text);
}

// Gives the current attempt up. Its end is handled later: the call is still on the stack.
void CompletionFlow::breakAttempt(const char* why)
{
    call_->cancel();
    poster()([this, attempt = attempt_, why] {
        if (attempt == attempt_ && !hasEnded())
            takeCallEnd({ .end = CallEnd::Broken, .error = QString::fromLatin1(why) });
    });
}

// An engine that answers 409 or 503 in place of a stream says that it did not take the request.
static bool mayHaveBeenTaken(const CallResult& result)
{
    const bool isRefused = result.end == CallEnd::Answered && (result.status == 409 || result.status == 503);
    return result.end != CallEnd::NotSent && !isRefused;
}

void CompletionFlow::takeCallEnd(const CallResult& result)
{
    answer_->close();
    mayHaveRun_ = mayHaveRun_ || mayHaveBeenTaken(result);
    freeSlot();
    const bool isRefusal = result.end == CallEnd::Answered && result.status >= 400 && result.status < 500 && result.status != 409 && result.status != 429;
    if (received_ > 0)
        resumedAt_ = tables_.clock();
    if (result.isSuccess() && !answer_->finishReason().isEmpty())
        sendFinish();
    else if (isRefusal)
        passRefusal(result);
    else if (result.end == CallEnd::Broken)
        checkDeath(result);
    else
        retryOrFail(result);
}

// Counts a death of the group against this request before it goes on.
void CompletionFlow::checkDeath(const CallResult& result)
{
    look_ = std::make_unique<DeathLook>(DeathLook::Options { .client = client(), .leader = replica_->leader, .epoch = replica_->epoch, .timeout = tables_.silenceTimeout }, [this, result](bool isDead) {
        if (isDead) {
            logWarning("death_on_request", { { "request", request().requestId }, { "group", replica_->group }, { "epoch", std::to_string(replica_->epoch) }, { "fingerprint", std::to_string(fingerprint_) } });
            tables_.quarantine.addDeath(fingerprint_, Quarantine::deathIdOf(replica_->group, replica_->epoch));
        }
        retryOrFail(result);
    });
}

// The engine finds fault with the request itself: another group would as well.
void CompletionFlow::passRefusal(const CallResult& result)
{
    fail({ .status = result.status, .type = "refused_by_endpoint", .message = "the engine refused the request: " + result.body.left(200).toStdString(), .outcome = Outcome::Unknown });
}

void CompletionFlow::retryOrFail(const CallResult& result)
{
    logWarning("attempt_failed", { { "request", request().requestId }, { "group", replica_->group }, { "epoch", std::to_string(replica_->epoch) }, { "attempt", std::to_string(attempt_) }, { "http", std::to_string(result.status) }, { "error", result.error.toStdString() } });
    tables_.fleet.suspectGroup(replica_->group, replica_->epoch);
    tables_.quarantine.release(runId_);
    failedGroups_.push_back(replica_->group);
    const bool wasTaken = mayHaveBeenTaken(result);
    failures_ += wasTaken ? 1 : 0;
    const bool mayRepeat = wasTaken ? !isClaimed() && failures_ < maxFailures : tables_.clock() < deadline();
    if (mayRepeat && !answer_->beganAnew()) {
        schedule();
        return;
    }
    const Outcome outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
    fail({ .status = 502, .type = "endpoint_failed", .message = "the endpoint failed and the request could not be taken up by another", .outcome = outcome });
}

void CompletionFlow::sendFinish()
{
    tables_.quarantine.clear(fingerprint_);
    tables_.quarantine.release(runId_);
    const QString finishReason = answer_->finishReason();
    const QByteArray whole = reply_.makeWhole(finishReason, received_);
    storeAnswer({ .status = 200, .contentType = "application/json", .body = whole }, [this, finishReason, whole] {
        reply_.finish(finishReason, whole);
        const bool isLate = record_.firstToken > Millis(request().priority.firstTokenMs);
        end(isLate ? RequestEnd::Late : RequestEnd::Whole);
    });
}

} // namespace hemlockweir
