// Stand-in for a model engine: one instance that joins groups when ordered to and generates tokens.
//
// The leader of a group polls every member each 50 ms (--check-ms). If a member does not answer or reports
// another epoch, the group is broken and all of its requests are aborted. With --checks-members 0 the leader
// never detects a missing member and serves every request that is sent for its group and epoch.
//
// Faults:
//   token_ms, prefill_ms, load_ms  override the options of the same name
//   slow_factor     number: multiplies the time per token
//   pause           bool: answers nothing
//   crash_on        text: the process exits on a prompt that contains it
//   leaving         bool: reports that it is leaving
//   refuse          bool: answers 503 to every request
//   crossed_chunks  bool: sends chunks of other requests, of an old attempt and with a duplicate index between
//                   the tokens
//   lose_tokens     count: tokens that are generated and not sent
//   cannot_resume   bool: ignores the resume offset and starts from the first token
//
// While a request waits or prefills, the engine sends a comment line every 200 ms as a keep-alive.

#include "PrefixCache.h"
#include "StandIn.h"

#include "http/HttpClient.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <algorithm>
#include <deque>
#include <list>

using namespace hemlockweir;
namespace options = boost::program_options;

namespace {

struct EngineOptions {
    std::string id;
    int slots = 16; // maximum concurrent requests
    int tokenMs = 5; // ms for each token
    int prefillMs = 10; // ms before the first token if no block of the prompt is in the prefix cache
    int cacheBlocks = 0; // blocks in the prefix cache; 0: no cache
    int loadMs = 100; // ms to load a model
    int loadLagMs = 200; // ms, age of the reported load
    int stepMs = 1; // ms between two steps of token generation
    int checkMs = 50; // ms between two polls of the members by the leader
    bool checksFencing = true; // refuse orders with an older epoch
    bool checksMembers = true; // the leader detects missing members
};

struct Run {
    std::shared_ptr<Exchange> exchange;
    QString requestId; // set by the caller; recorded in the effects
    QString runId; // echoed in each event
    int attempt = 0;
    int rank = 0;
    int next = 0; // index of the next token
    int maxTokens = 0;
    qint64 nextTokenAtMs = 0; // ms since the epoch
    qint64 lastSentAtMs = 0; // ms since the epoch, last chunk sent
    QByteArray seed;
};

qint64 nowMs()
{
    return QDateTime::currentMSecsSinceEpoch();
}

class Engine {
public:
    Engine(const boost::program_options::variables_map& values, EngineOptions engineOptions)
        : options_(std::move(engineOptions))
        , incarnation_(QString::number(nowMs()))
        , standIn_(values, [this](std::shared_ptr<Exchange> exchange) { handle(std::move(exchange)); })
    {
        QObject::connect(&stepTimer_, &QTimer::timeout, [this] { step(); });
        QObject::connect(&memberTimer_, &QTimer::timeout, [this] { checkMembers(); });
        stepTimer_.setTimerType(Qt::PreciseTimer);
        stepTimer_.start(options_.stepMs);
        memberTimer_.start(options_.checkMs);
    }

private:
    void handle(std::shared_ptr<Exchange> exchange)
    {
        if (standIn_.hasFault("pause")) {
            paused_.push_back(std::move(exchange));
            return;
        }
        const QString path = exchange->path();
        if (path == "/status")
            exchange->sendJson(200, makeStatus());
        else if (path == "/orders")
            handleOrder(*exchange);
        else if (path == "/member")
            exchange->sendJson(200, { { "epoch", epoch_ }, { "step_ms", ownStepMs() } });
        else if (path == "/v1/completions" || path == "/v1/chat/completions")
            startRun(exchange);
        else
            exchange->sendJson(404, {});
    }

    QJsonObject makeStatus()
    {
        sampleLoad();
        return {
            { "id", QString::fromStdString(options_.id) },
            { "incarnation", incarnation_ },
            { "state", state_ },
            { "group", group_ },
            { "epoch", epoch_ },
            { "model", model_ },
            { "members", members_ },
            { "running", reportedRunning_ },
            { "waiting", reportedWaiting_ },
            { "slots", options_.slots },
            { "leaving", standIn_.hasFault("leaving") },
            { "step_ms", ownStepMs() },
        };
    }

    struct LoadSample {
        qint64 at = 0;
        int running = 0;
        int waiting = 0;
    };

    void sampleLoad()
    {
        loads_.push_back({ .at = nowMs(), .running = static_cast<int>(running_.size()), .waiting = static_cast<int>(queue_.size()) });
        while (loads_.size() > 1 && loads_[1].at <= nowMs() - options_.loadLagMs)
            loads_.pop_front();
        reportedRunning_ = loads_.front().running;
        reportedWaiting_ = loads_.front().waiting;
    }

    void handleOrder(Exchange& exchange)
    {
        const QJsonObject order = QJsonDocument::fromJson(exchange.body()).object();
        const double epoch = order["epoch"].toDouble();
        if (options_.checksFencing && epoch < epoch_) {
            standIn_.recordEffect("order_refused", order);
            exchange.sendJson(409, { { "epoch", epoch_ } });
            return;
        }
        standIn_.recordEffect("order", order);
        abortRuns("regrouped");
        const bool isJoin = order["type"].toString() == "join";
        epoch_ = epoch;
        group_ = isJoin ? order["group"].toString() : QString();
        model_ = isJoin ? order["model"].toString() : QString();
        members_ = isJoin ? order["members"].toArray() : QJsonArray();
        addresses_ = isJoin ? order["member_addresses"].toArray() : QJsonArray();
        state_ = isJoin ? "loading" : "idle";
        const int loadMs = standIn_.faults().contains("load_ms") ? standIn_.fault("load_ms") : options_.loadMs;
        if (isJoin) {
            QTimer::singleShot(loadMs, [this, epoch] {
                if (epoch_ == epoch && state_ == "loading")
                    state_ = "ready";
            });
        }
        exchange.sendJson(200, { { "epoch", epoch_ } });
    }

    bool isLeader() const { return !members_.isEmpty() && members_.at(0).toString().toStdString() == options_.id; }

    void checkMembers()
    {
        if (!options_.checksMembers || !isLeader() || state_ != "ready" || standIn_.hasFault("pause"))
            return;
        for (qsizetype i = 1; i < addresses_.size(); ++i) {
            const QString address = addresses_.at(i).toString();
            if (memberCalls_.contains(address))
                continue;
            const double epoch = epoch_;
            const CallOptions call { .method = "GET", .url = QUrl("http://" + address + "/member"), .headers = {}, .body = {}, .firstByteTimeout = Millis(500), .silenceTimeout = Millis(500) };
            memberCalls_[address] = client_.start(call, { .onHead = {}, .onData = {}, .onDone = [this, address, epoch](const CallResult& result) {
                const auto finishedCall = memberCalls_.extract(address);
                const QJsonObject member = QJsonDocument::fromJson(result.body).object();
                const double memberEpoch = member["epoch"].toDouble();
                memberStepMs_[address] = member["step_ms"].toInt();
                if (epoch == epoch_ && (!result.isSuccess() || memberEpoch != epoch))
                    breakGroup(); } });
        }
    }

    void breakGroup()
    {
        if (state_ != "ready")
            return;
        state_ = "broken";
        standIn_.recordEffect("group_broken", { { "group", group_ }, { "epoch", epoch_ } });
        abortRuns("group_broken");
    }

    void abortRuns(const QString& why)
    {
        for (std::list<Run>* runs : { &running_, &queue_ }) {
            for (Run& run : *runs) {
                standIn_.recordEffect("run_aborted", { { "request", run.requestId }, { "why", why } });
                run.exchange->abort();
            }
            runs->clear();
        }
    }

    void startRun(const std::shared_ptr<Exchange>& exchange)
    {
        const QJsonObject body = QJsonDocument::fromJson(exchange->body()).object();
        const QString prompt = body["prompt"].toString() + QString::fromUtf8(QJsonDocument(body["messages"].toArray()).toJson(QJsonDocument::Compact));
        const QString requestId = exchange->header("X-Request-Id");
        const QString crashOn = standIn_.faults()["crash_on"].toString();
        if ((!crashOn.isEmpty() && prompt.contains(crashOn)) || prompt.contains("CRASH-ENGINE"))
            std::_Exit(66);
        const bool isAddressedHere = state_ == "ready" && isLeader() && QString(exchange->header("X-Group")) == group_ && exchange->header("X-Group-Epoch").toDouble() == epoch_;
        if (standIn_.hasFault("refuse")) {
            standIn_.recordEffect("run_refused", { { "request", requestId }, { "group", group_ } });
            exchange->sendJson(503, { { "error", "refusing work" } });
            return;
        }
        if (!isAddressedHere) {
            standIn_.recordEffect("run_refused", { { "request", requestId }, { "group", QString(exchange->header("X-Group")) } });
            exchange->sendJson(409, { { "error", "not serving this group and epoch" } });
            return;
        }
        Run run {
            .exchange = exchange,
            .requestId = requestId,
            .runId = exchange->header("X-Run-Id"),
            .attempt = exchange->header("X-Attempt").toInt(),
            .rank = exchange->header("X-Priority-Rank").toInt(),
            .next = standIn_.hasFault("cannot_resume") ? 0 : exchange->header("X-Resume-Offset").toInt(),
            .maxTokens = body["max_tokens"].toInt(16),
            .nextTokenAtMs = 0,
            .lastSentAtMs = nowMs(),
            .seed = prompt.toUtf8() + QByteArray::number(body["seed"].toDouble(), 'f', 0),
        };
        standIn_.recordEffect("run_started", { { "request", requestId }, { "prompt", prompt.left(64) }, { "attempt", run.attempt }, { "from", run.next }, { "group", group_ }, { "epoch", epoch_ }, { "rank", run.rank } });
        exchange->startStream("text/event-stream");
        // The queue is ordered by rank; urgent requests have the lowest rank.
        auto at = queue_.begin();
        while (at != queue_.end() && at->rank <= run.rank)
            ++at;
        queue_.insert(at, std::move(run));
    }

    // Returns the ms per token. Each token takes as long as the slowest member needs.
    int tokenMs() const
    {
        int slowest = ownStepMs();
        for (const QJsonValue& address : addresses_) {
            const auto found = memberStepMs_.find(address.toString());
            slowest = std::max(slowest, found == memberStepMs_.end() ? 0 : found->second);
        }
        return slowest;
    }
    int ownStepMs() const { return faultOr("token_ms", options_.tokenMs) * std::max(1, standIn_.fault("slow_factor")); }
    int faultOr(const char* name, int fallback) const { return standIn_.faults().contains(QLatin1String(name)) ? standIn_.fault(name) : fallback; }

    int prefillMsOf(const Run& run)
    {
        const double missing = cache_.addPrompt(run.seed);
        return static_cast<int>(missing * faultOr("prefill_ms", options_.prefillMs));
    }

    void step()
    {
        if (standIn_.hasFault("pause"))
            return;
        for (auto& exchange : std::exchange(paused_, {}))
            handle(std::move(exchange));
        const qint64 now = nowMs();
        std::erase_if(queue_, [this](const Run& run) { return recordIfCancelled(run); });
        while (!queue_.empty() && running_.size() < static_cast<size_t>(options_.slots)) {
            running_.splice(running_.end(), queue_, queue_.begin());
            running_.back().nextTokenAtMs = now + prefillMsOf(running_.back());
        }
        std::erase_if(running_, [&](Run& run) { return advance(run, now); });
        for (std::list<Run>* runs : { &running_, &queue_ })
            std::for_each(runs->begin(), runs->end(), [now](Run& run) { sendKeepAlive(run, now); });
    }

    static void sendKeepAlive(Run& run, qint64 now)
    {
        constexpr qint64 intervalMs = 200;
        if (now - run.lastSentAtMs < intervalMs)
            return;
        run.lastSentAtMs = now;
        run.exchange->sendChunk(": alive\n\n");
    }

    bool recordIfCancelled(const Run& run)
    {
        if (!run.exchange->isOver())
            return false;
        standIn_.recordEffect("run_cancelled", { { "request", run.requestId }, { "tokens", run.next } });
        return true;
    }

    // Generates the tokens that are due. Returns true when the run is over.
    bool advance(Run& run, qint64 now)
    {
        while (run.nextTokenAtMs <= now && run.next < run.maxTokens && !run.exchange->isOver()) {
            // The same prompt and seed give the same token at the same index on every engine.
            const QByteArray digest = QCryptographicHash::hash(run.seed + QByteArray::number(run.next), QCryptographicHash::Md5).toHex().left(4);
            if (standIn_.hasFault("crossed_chunks"))
                sendCrossedChunks(run);
            if (!standIn_.consumeFault("lose_tokens"))
                send(run, { { "index", run.next }, { "text", QString(" " + digest) } });
            ++run.next;
            run.nextTokenAtMs += tokenMs();
        }
        if (recordIfCancelled(run))
            return true;
        if (run.next < run.maxTokens)
            return false;
        send(run, { { "finish_reason", "length" }, { "tokens", run.next } });
        run.exchange->sendEvent("[DONE]");
        run.exchange->finishStream();
        standIn_.recordEffect("run_finished", { { "request", run.requestId }, { "attempt", run.attempt }, { "tokens", run.next }, { "group", group_ }, { "epoch", epoch_ } });
        return true;
    }

    // Sends chunks that do not belong to this point of the stream, as a lost or mixed-up connection could
    // deliver them: chunks of all other runs and of an earlier attempt, and the previous token again.
    void sendCrossedChunks(Run& run)
    {
        std::vector<std::pair<QString, int>> senders { { "another", run.attempt }, { run.runId, run.attempt - 1 } };
        for (const Run& other : running_) {
            if (other.runId != run.runId)
                senders.emplace_back(other.runId, other.attempt);
        }
        Run wrongRun = run;
        for (const auto& [runId, attempt] : senders) {
            wrongRun.runId = runId;
            wrongRun.attempt = attempt;
            send(wrongRun, { { "index", run.next }, { "text", " WRONG" } });
            send(wrongRun, { { "finish_reason", "stop" }, { "tokens", run.next } });
        }
        if (run.next > 0)
            send(run, { { "index", run.next - 1 }, { "text", " WRONG" } });
    }

    static void send(Run& run, QJsonObject event)
    {
        run.lastSentAtMs = nowMs();
        event["run_id"] = run.runId;
        event["attempt"] = run.attempt;
        run.exchange->sendEvent(QJsonDocument(event).toJson(QJsonDocument::Compact));
    }

    EngineOptions options_;
    QString incarnation_;
    QString state_ = "idle";
    QString group_;
    QString model_;
    double epoch_ = 0;
    QJsonArray members_;
    QJsonArray addresses_;
    PrefixCache cache_ { options_.cacheBlocks };
    std::list<Run> running_;
    std::list<Run> queue_;
    std::vector<std::shared_ptr<Exchange>> paused_;
    std::deque<LoadSample> loads_;
    int reportedRunning_ = 0;
    int reportedWaiting_ = 0;
    HttpClient client_;
    std::map<QString, std::shared_ptr<HttpCall>> memberCalls_;
    std::map<QString, int> memberStepMs_; // ms, by address
    QTimer stepTimer_;
    QTimer memberTimer_;
    StandIn standIn_;
};

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    EngineOptions engine;
    options::options_description description("Stand-in for a model engine");
    addStandInOptions(description);
    description.add_options()("id", options::value(&engine.id)->required(), "instance id")(
        "slots", options::value(&engine.slots), "maximum concurrent requests")("token-ms", options::value(&engine.tokenMs), "ms for each token")(
        "prefill-ms", options::value(&engine.prefillMs), "ms before the first token")("cache-blocks", options::value(&engine.cacheBlocks), "blocks of prompts in the prefix cache")("load-ms", options::value(&engine.loadMs), "ms to load a model")(
        "load-lag-ms", options::value(&engine.loadLagMs), "ms, age of the reported load")("fencing", options::value(&engine.checksFencing), "refuse orders with an older epoch")(
        "checks-members", options::value(&engine.checksMembers), "as a leader, detect missing members")("step-ms", options::value(&engine.stepMs), "ms between two steps of token generation")(
        "check-ms", options::value(&engine.checkMs), "ms between two polls of the members by the leader");
    const auto values = readOptions(argc, argv, description);
    Engine standIn(values, engine);
    return QCoreApplication::exec();
}
