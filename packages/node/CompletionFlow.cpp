#include "node/CompletionFlow.h"

#include "base/Log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockweir {

// Attempts of one request that may fail after they were taken before it is given up. Those that no
// engine took cost nothing: they go on until the deadline, at the pace of the groups' reports.
static constexpr uint32_t maxFailures = 4;

// Looks at a leader whose connection broke, while the looks break as well.
static constexpr int looksAtDeath = 4;
static constexpr Millis lookInterval { 50 };

static constexpr uint32_t defaultTokens = 128; // when a request names none
static constexpr double mostTokens = 1000000;
static constexpr double maxSeed = 9007199254740992.0; // 2^53: JSON numbers are exact up to it

static bool isWholeNumber(const QJsonValue& value, double least, double most)
{
    return value.isDouble() && value.toDouble() >= least && value.toDouble() <= most && std::floor(value.toDouble()) == value.toDouble();
}

absl::StatusOr<CompletionRequest> parseCompletionRequest(const QByteArray& body, bool isChat)
{
    QJsonParseError error {};
    const QJsonDocument document = QJsonDocument::fromJson(body, &error);
    if (!document.isObject())
        return absl::InvalidArgumentError("the body is not a JSON object: " + error.errorString().toStdString());
    const QJsonObject object = document.object();
    if (!object["model"].isString() || object["model"].toString().isEmpty())
        return absl::InvalidArgumentError("\"model\" is required and is a string");
    if (isChat && !object["messages"].isArray())
        return absl::InvalidArgumentError("\"messages\" is required and is an array");
    if (!isChat && !object["prompt"].isString())
        return absl::InvalidArgumentError("\"prompt\" is required and is a string");
    if (object.contains("stream") && !object["stream"].isBool())
        return absl::InvalidArgumentError("\"stream\" takes true or false");
    if (object.contains("seed") && !isWholeNumber(object["seed"], 0, maxSeed))
        return absl::InvalidArgumentError("\"seed\" takes a whole number from 0 to 2^53");
    if (object.contains("max_tokens") && !isWholeNumber(object["max_tokens"], 1, mostTokens))
        return absl::InvalidArgumentError("\"max_tokens\" takes a whole number from 1 to 1000000");
    CompletionRequest request { .body = object, .model = object["model"].toString().toStdString(), .isChat = isChat, .isStreamed = object["stream"].toBool(), .maxTokens = defaultTokens };
    if (object.contains("max_tokens"))
        request.maxTokens = static_cast<uint32_t>(object["max_tokens"].toInt());
    return request;
}

static QByteArray promptOf(const CompletionRequest& completion)
{
    if (completion.isChat)
        return QJsonDocument(completion.body["messages"].toArray()).toJson(QJsonDocument::Compact);
    return completion.body["prompt"].toString().toUtf8();
}

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
{
}

CompletionFlow::~CompletionFlow()
{
    tables_.quarantine.release(runId_);
}

void CompletionFlow::cancelWork()
{
    call_.reset();
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
    attemptOver_ = false;
    hasToken_ = false;
    finishReason_.clear();
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
    events_ = std::make_unique<EventStream>([this](const QByteArray& data) { takeEvent(data); });
    CallHooks hooks;
    hooks.onData = [this](const QByteArray& bytes) { takeBytes(bytes); };
    hooks.onDone = [this](const CallResult& result) { takeCallEnd(result); };
    call_ = client().start(options, hooks);
}

void CompletionFlow::takeBytes(const QByteArray& bytes)
{
    if (!events_->feed(bytes))
        breakAttempt("an event of the stream is over the limit");
}

void CompletionFlow::takeEvent(const QByteArray& data)
{
    if (attemptOver_)
        return;
    const QJsonObject event = QJsonDocument::fromJson(data).object();
    // A piece of another request or attempt is never passed on.
    const bool isOurs = event["run_id"].toString().toStdString() == runId_ && event["attempt"].toInt() == static_cast<int>(attempt_);
    if (!isOurs)
        return;
    if (event.contains("finish_reason")) {
        takeFinish(event);
        return;
    }
    const int index = event["index"].toInt(-1);
    if (index == static_cast<int>(received_)) {
        takeToken(event);
    } else if (index > static_cast<int>(received_)) {
        breakAttempt("a token is missing");
    } else if (!hasToken_) {
        // What was sent already must not be followed by the tokens of another generation.
        cannotResume_ = true;
        breakAttempt("the engine began anew instead of resuming");
    }
}

void CompletionFlow::takeToken(const QJsonObject& event)
{
    if (received_ == 0)
        record_.firstToken = tables_.clock() - arrivedAt_;
    if (!std::exchange(hasToken_, true))
        tables_.scheduler.noteFirstToken(jobId_);
    ++received_;
    record_.tokens = received_;
    sendToken(event["text"].toString());
}

void CompletionFlow::takeFinish(const QJsonObject& event)
{
    if (event["tokens"].toInt(-1) == static_cast<int>(received_))
        finishReason_ = event["finish_reason"].toString();
    else
        breakAttempt("the engine counts other tokens than arrived");
}

// Gives the current attempt up. Its end is handled later: the call is still on the stack.
void CompletionFlow::breakAttempt(const char* why)
{
    attemptOver_ = true;
    call_->cancel();
    poster()([this, attempt = attempt_, why] {
        if (attempt == attempt_ && !hasEnded())
            takeCallEnd({ .end = CallEnd::Broken, .error = QString::fromLatin1(why) });
    });
}

// An engine that answers 409 or 503 in place of a stream says that it did not take the request.
static bool saysNotRun(const CallResult& result)
{
    return result.end == CallEnd::Answered && (result.status == 409 || result.status == 503);
}

void CompletionFlow::takeCallEnd(const CallResult& result)
{
    attemptOver_ = true;
    mayHaveRun_ = mayHaveRun_ || (result.end != CallEnd::NotSent && !saysNotRun(result));
    freeSlot();
    const bool isRefusal = result.end == CallEnd::Answered && result.status >= 400 && result.status < 500 && result.status != 409 && result.status != 429;
    if (received_ > 0)
        resumedAt_ = tables_.clock();
    if (result.isSuccess() && !finishReason_.isEmpty())
        sendFinish();
    else if (isRefusal)
        passRefusal(result);
    else if (result.end == CallEnd::Broken)
        checkDeath(result, looksAtDeath);
    else
        retryOrFail(result);
}

// Whether a look at the leader shows that the group of this epoch is gone: nobody listens, it was
// started anew, or it lost a member. A cut connection alone is no death.
static bool showsDeath(const CallResult& look, uint64_t epoch)
{
    if (look.end == CallEnd::NotSent)
        return true;
    const QJsonObject status = QJsonDocument::fromJson(look.body).object();
    const double current = status["epoch"].toDouble();
    return look.isSuccess() && (current < static_cast<double>(epoch) || (current == static_cast<double>(epoch) && status["state"].toString() == "broken"));
}

// Counts a death of the group against this request before it goes on.
void CompletionFlow::checkDeath(const CallResult& result, int looksLeft)
{
    const CallOptions look { .method = "GET",
        .url = QUrl(QStringLiteral("http://") + QString::fromStdString(replica_->leader) + QStringLiteral("/status")),
        .headers = {},
        .body = {},
        .firstByteTimeout = tables_.silenceTimeout,
        .silenceTimeout = tables_.silenceTimeout };
    call_ = client().start(look, { .onHead = {}, .onData = {}, .onDone = [this, result, looksLeft](const CallResult& seen) {
        // A process that is just ending may still have taken the connection.
        if (seen.end == CallEnd::Broken && looksLeft > 1) {
            QTimer::singleShot(lookInterval, this, [this, result, looksLeft] {
                if (!hasEnded())
                    checkDeath(result, looksLeft - 1);
            });
            return;
        }
        if (showsDeath(seen, replica_->epoch)) {
            logWarning("death_on_request", { { "request", request().requestId }, { "group", replica_->group }, { "epoch", std::to_string(replica_->epoch) }, { "fingerprint", std::to_string(fingerprint_) } });
            tables_.quarantine.addDeath(fingerprint_, Quarantine::deathOf(replica_->group, replica_->epoch));
        }
        retryOrFail(result); } });
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
    const bool wasTaken = result.end != CallEnd::NotSent && !saysNotRun(result);
    failures_ += wasTaken ? 1 : 0;
    const bool mayRepeat = wasTaken ? !isClaimed() && failures_ < maxFailures : tables_.clock() < deadline();
    if (mayRepeat && !cannotResume_) {
        schedule();
        return;
    }
    const Outcome outcome = mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun;
    fail({ .status = 502, .type = "endpoint_failed", .message = "the endpoint failed and the request could not be taken up by another", .outcome = outcome });
}

QJsonObject CompletionFlow::makeChunk(const QString& text, const QJsonValue& finishReason) const
{
    QJsonObject choice { { "index", 0 }, { "finish_reason", finishReason } };
    if (completion_.isChat)
        choice["delta"] = text.isEmpty() ? QJsonObject() : QJsonObject { { "content", text } };
    else
        choice["text"] = text;
    return {
        { "id", QString::fromStdString(request().requestId) },
        { "object", completion_.isChat ? "chat.completion.chunk" : "text_completion" },
        { "model", QString::fromStdString(completion_.model) },
        { "choices", QJsonArray { choice } },
    };
}

QJsonObject CompletionFlow::makeWhole() const
{
    QJsonObject choice { { "index", 0 }, { "finish_reason", finishReason_ } };
    if (completion_.isChat)
        choice["message"] = QJsonObject { { "role", "assistant" }, { "content", text_ } };
    else
        choice["text"] = text_;
    return {
        { "id", QString::fromStdString(request().requestId) },
        { "object", completion_.isChat ? "chat.completion" : "text_completion" },
        { "model", QString::fromStdString(completion_.model) },
        { "choices", QJsonArray { choice } },
        { "usage", QJsonObject { { "completion_tokens", static_cast<int>(received_) } } },
    };
}

void CompletionFlow::sendToken(const QString& text)
{
    text_ += text;
    if (!completion_.isStreamed)
        return;
    if (!exchange().isStreaming())
        exchange().startStream("text/event-stream", { { "X-Request-Id", QByteArray::fromStdString(request().requestId) } });
    exchange().sendEvent(QJsonDocument(makeChunk(text, QJsonValue())).toJson(QJsonDocument::Compact));
}

void CompletionFlow::sendFinish()
{
    tables_.quarantine.clear(fingerprint_);
    tables_.quarantine.release(runId_);
    const QByteArray whole = QJsonDocument(makeWhole()).toJson(QJsonDocument::Compact);
    storeAnswer({ .status = 200, .contentType = "application/json", .body = whole }, [this, whole] {
        if (completion_.isStreamed) {
            exchange().startStream("text/event-stream");
            exchange().sendEvent(QJsonDocument(makeChunk({}, finishReason_)).toJson(QJsonDocument::Compact));
            exchange().sendEvent("[DONE]");
            exchange().finishStream();
        } else {
            exchange().sendBytes(200, "application/json", whole, { { "X-Request-Id", QByteArray::fromStdString(request().requestId) } });
        }
        const bool isLate = record_.firstToken > Millis(request().priority.firstTokenMs);
        end(isLate ? RequestEnd::Late : RequestEnd::Whole);
    });
}

} // namespace hemlockweir
