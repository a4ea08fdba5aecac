// Stand-in for one of the users' endpoints. It implements their published protocol, either as an engine that
// joins replicas or, with --plain, as a separate service. It writes its entry to the stand-in of the store. Its
// answers depend only on the requests, so that a caller can detect a wrong answer.
//
// The process exits on a body that contains "poison".
//
// Faults:
//   answer_bytes  number: with --plain, answers are streams of so many bytes
//   lose_answers  count: runs a request, then resets the connection
//   garble        count: closes the connection in the middle of an answer
//   reject        count: answers 503 without running the request
//   hang          count: does not answer
//   slow          number: multiplies the times for joining, opening, staging and answering
//   late_orders   count: does not answer an order, and executes it two seconds later
//   leave         bool: reports that it is leaving, serves a while longer, then exits
//   unlisted      bool: stops writing its entry
//   limit         number, decimals allowed: names this many requests a second in all answers to requests, also in
//                 rejections; 0: none
//   cold          number: is cold for so many ms from the change of this fault on, and says so in its entry and in all
//                 answers to requests; 0: it is not
//
// Effects: "arrived" when a request with an id arrives, also one that is rejected; "run" when a request starts;
// "joined", "ready", "open", "closing", "closed", "broken" and "left" for the state of a replica; "leaving" when the
// store has acknowledged that state; "limited" when an answer names a limit for the first time since it was set, and
// "unlimited" when such a limit is taken away.

#include "StandIn.h"

#include "http/HttpClient.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <QUrlQuery>
#include <map>

using namespace hemlockweir;

namespace {

constexpr int heartbeatMs = 400;
constexpr int entryTtlMs = 3 * heartbeatMs;
constexpr int memberPollMs = 100; // interval at which the leader polls its members
constexpr int memberLossTimeoutMs = 1500; // time without a member until the replica is broken
constexpr int sameModelJoinMs = 40; // time to join with the model that was joined last
constexpr int stagedModelJoinMs = 250; // time to join with a model that is staged on the host
constexpr int loadMs = 1200;
constexpr int openMs = 60;
constexpr int drainMs = 2000;
constexpr int lateOrderMs = 2000;
constexpr int eventIntervalMs = 15;
constexpr int plainRunMs = 12;
constexpr int tokensPerEvent = 5;
constexpr int slots = 6;

const std::map<QString, int> modelSizes { { "large", 3 }, { "small", 2 } };

struct Options {
    std::string id;
    std::string zone;
    std::string fabric;
    std::string service;
    std::string store; // ADDRESS:PORT
    std::string advertised; // ADDRESS:PORT for callers
    std::vector<std::string> members; // ID=ADDRESS:PORT of each engine in its fabric domain
    bool isPlain = false;
};

QString toQString(const std::string& text)
{
    return QString::fromStdString(text);
}

// One running streaming request.
struct Run {
    std::shared_ptr<Exchange> exchange;
    QByteArray body;
    int next = 1; // id of the next event
    int last = 0; // id of the last event
    bool hasStarted = false;
    bool isTruncated = false;
};

class Member {
public:
    Member(const boost::program_options::variables_map& values, Options options)
        : options_(std::move(options))
        , standIn_(values, [this](const std::shared_ptr<Exchange>& exchange) { handle(exchange); })
    {
        for (const std::string& member : options_.members) {
            const QString text = toQString(member);
            addresses_[text.section('=', 0, 0)] = text.section('=', 1);
        }
        standIn_.onFaultsChanged = [this] {
            if (standIn_.hasFault("leave") && !isLeaving_)
                leave();
            const int cold = standIn_.fault("cold");
            if (std::exchange(cold_, cold) != cold) {
                coldUntilMs_ = nowMs() + cold;
                writeEntry();
            }
            if (requestLimit() <= 0 && std::exchange(namedLimit_, 0) > 0)
                standIn_.recordEffect("unlimited");
        };
        startTimer(heartbeatTimer_, heartbeatMs, [this] { writeEntry(); });
        startTimer(pollTimer_, memberPollMs, [this] { pollMembers(); });
        startTimer(streamTimer_, eventIntervalMs, [this] { advanceStreams(); });
        writeEntry();
    }

private:
    static void startTimer(QTimer& timer, int ms, const std::function<void()>& call)
    {
        QObject::connect(&timer, &QTimer::timeout, call);
        timer.start(ms);
    }

    void runAfter(int ms, const std::function<void()>& call)
    {
        const int factor = std::max(1, standIn_.fault("slow"));
        QTimer::singleShot(ms * factor, &streamTimer_, call);
    }

    QJsonObject makeEntry() const
    {
        QJsonObject entry { { "service", toQString(options_.service) }, { "address", toQString(options_.advertised) }, { "zone", toQString(options_.zone) }, { "version", "1" }, { "slots", slots },
            { "state", isLeaving_ ? "draining" : "ready" }, { "cold_remaining_ms", static_cast<double>(coldLeftMs()) }, { "sequence", sequence_ }, { "born", static_cast<double>(startedAtMs_) } };
        if (options_.isPlain)
            return entry;
        entry["domain"] = toQString(options_.fabric);
        entry["staged"] = stagedModel_.isEmpty() ? QJsonArray {} : QJsonArray { stagedModel_ };
        entry["models"] = model_.isEmpty() ? QJsonArray {} : QJsonArray { QJsonObject { { "name", model_ }, { "version", 1 } } };
        if (!group_.isEmpty())
            entry["group"] = QJsonObject { { "name", group_ }, { "epoch", static_cast<double>(epoch_) }, { "rank", rank_ }, { "state", state_ } };
        return entry;
    }

    qint64 coldLeftMs() const { return std::max<qint64>(0, coldUntilMs_ - nowMs()); }

    void writeEntry()
    {
        if (standIn_.hasFault("unlisted"))
            return;
        QUrl url("http://" + toQString(options_.store) + "/entry");
        url.setQuery(QUrlQuery { { "key", "servers/" + toQString(options_.id) }, { "ttl_ms", QString::number(entryTtlMs) } });
        QJsonObject entry = makeEntry();
        entry.remove("sequence");
        entryCall_ = client_.start({ .method = "PUT", .url = url, .body = QJsonDocument(entry).toJson(QJsonDocument::Compact), .firstByteTimeout = Millis(heartbeatMs) },
            { .onDone = [this](const CallResult& result) {
                if (isLeaving_ && result.status == 200 && !std::exchange(isLeavingPublished_, true))
                    standIn_.recordEffect("leaving");
            } });
    }

    void leave()
    {
        isLeaving_ = true;
        writeEntry();
        QTimer::singleShot(drainMs * 2, &streamTimer_, [this] { exitWhenIdle(); });
    }

    void exitWhenIdle()
    {
        if (runs_.empty() && plainRuns_ == 0)
            std::_Exit(0);
        QTimer::singleShot(memberPollMs, &streamTimer_, [this] { exitWhenIdle(); });
    }

    void handle(const std::shared_ptr<Exchange>& exchange)
    {
        const QByteArray expected = exchange->header("X-Expect-Instance");
        const QByteArray request = exchange->header("X-Request-Id");
        if (!request.isEmpty())
            standIn_.recordEffect("arrived", { { "request", QString::fromLatin1(request) } });
        if (exchange->path() == "/report")
            exchange->sendJson(200, makeEntry());
        else if (!expected.isEmpty() && expected != QByteArray::fromStdString(options_.id))
            reject(*exchange, 421);
        else if (exchange->path() == "/order")
            handleOrder(exchange);
        else
            handleRequest(exchange);
    }

    void reject(Exchange& exchange, int status)
    {
        std::vector<HttpHeader> headers { { "X-Request-Id", exchange.header("X-Request-Id") }, { "X-Not-Executed", "1" } };
        addLimit(headers);
        exchange.sendBytes(status, "text/plain", {}, headers);
    }

    // Returns the limit in requests a second; 0: none.
    double requestLimit() const { return standIn_.faults()["limit"].toDouble(); }

    // Adds the limit, if any, and the cold time to the headers of an answer that is about to be sent.
    void addLimit(std::vector<HttpHeader>& headers)
    {
        headers.push_back({ "X-Cold-Ms", QByteArray::number(coldLeftMs()) });
        const double limit = requestLimit();
        if (limit <= 0)
            return;
        headers.push_back({ "Server-Limit", QByteArray::number(limit) });
        if (std::exchange(namedLimit_, limit) != limit)
            standIn_.recordEffect("limited", { { "limit", limit } });
    }

    void handleOrder(const std::shared_ptr<Exchange>& exchange)
    {
        const QJsonObject order = QJsonDocument::fromJson(exchange->body()).object();
        if (!standIn_.consumeFault("late_orders")) {
            exchange->sendJson(executeOrder(order), {});
            return;
        }
        unanswered_.push_back(exchange);
        QTimer::singleShot(lateOrderMs, &streamTimer_, [this, order] { executeOrder(order); });
    }

    int executeOrder(const QJsonObject& order)
    {
        const QString operation = order["operation"].toString();
        if (operation == "join")
            return join(order);
        if (operation == "stage")
            return stage(order["model"].toString());
        const bool isOwnGroup = order["group"].toString() == group_ && static_cast<qint64>(order["epoch"].toDouble()) == epoch_;
        if (operation == "open")
            return isOwnGroup ? open() : 409;
        if (operation == "close")
            return isOwnGroup ? close() : 409;
        if (operation == "leave")
            return isOwnGroup ? leaveGroup() : 409;
        return 400;
    }

    QJsonObject groupFields() const
    {
        return { { "group", group_ }, { "epoch", static_cast<double>(epoch_) }, { "rank", rank_ }, { "model", model_ }, { "members", members_ } };
    }

    int join(const QJsonObject& order)
    {
        const auto epoch = static_cast<qint64>(order["epoch"].toDouble());
        const QString group = order["group"].toString();
        const QJsonArray members = order["members"].toArray();
        const bool isSame = group == group_ && epoch == epoch_;
        if (epoch < highestEpoch_ || (isSame && members != members_))
            return 412;
        if (isSame)
            return 200;
        abortRuns();
        highestEpoch_ = epoch;
        const QString model = order["model"].toString();
        const int joinMs = model == lastModel_ ? sameModelJoinMs : stagedModel_ == model ? stagedModelJoinMs
                                                                                         : loadMs;
        group_ = group;
        epoch_ = epoch;
        members_ = members;
        model_ = model;
        lastModel_ = model;
        rank_ = static_cast<int>(std::distance(members.begin(), std::find(members.begin(), members.end(), QJsonValue(toQString(options_.id)))));
        setState("joining", "joined");
        runAfter(joinMs, [this, group, epoch, model] {
            if (group != group_ || epoch != epoch_)
                return;
            stagedModel_ = model;
            setState("ready", "ready");
        });
        return 202;
    }

    void setState(const QString& state, const QString& effect)
    {
        state_ = state;
        ++sequence_;
        standIn_.recordEffect(effect, groupFields());
        writeEntry();
    }

    int open()
    {
        if (state_ == "open")
            return 200;
        if (state_ != "ready" || rank_ != 0)
            return 409;
        missingSinceMs_ = 0;
        runAfter(openMs, [this, epoch = epoch_] {
            if (epoch == epoch_ && state_ == "ready")
                setState("open", "open");
        });
        return 202;
    }

    int close()
    {
        if (state_ != "open")
            return state_ == "ready" ? 200 : 409;
        setState("closing", "closing");
        return 202;
    }

    int leaveGroup()
    {
        abortRuns();
        const QJsonObject leftGroup = groupFields();
        group_.clear();
        state_.clear();
        model_.clear();
        ++sequence_;
        standIn_.recordEffect("left", leftGroup);
        writeEntry();
        return 200;
    }

    int stage(const QString& model)
    {
        if (stagedModel_ == model)
            return 200;
        ++sequence_;
        runAfter(loadMs, [this, model] {
            stagedModel_ = model;
            writeEntry();
        });
        return 202;
    }

    // The leader stalls while a member is missing. After memberLossTimeoutMs the replica is broken.
    void pollMembers()
    {
        memberPolls_.clear();
        if (state_ != "open" && state_ != "closing")
            return;
        for (const QJsonValue& member : members_) {
            const QString id = member.toString();
            if (id == toQString(options_.id))
                continue;
            memberPolls_.push_back(client_.start({ .method = "GET", .url = QUrl("http://" + addresses_[id] + "/report"), .firstByteTimeout = Millis(memberPollMs) },
                { .onDone = [this, epoch = epoch_, name = group_, id](const CallResult& result) {
                    const QJsonObject reportedGroup = QJsonDocument::fromJson(result.body).object()["group"].toObject();
                    const bool isPresent = result.isSuccess() && reportedGroup["name"].toString() == name && static_cast<qint64>(reportedGroup["epoch"].toDouble()) == epoch;
                    recordMember(epoch, id, isPresent);
                } }));
        }
        if (missingSinceMs_ != 0 && nowMs() - missingSinceMs_ > memberLossTimeoutMs)
            breakGroup();
    }

    void recordMember(qint64 epoch, const QString& id, bool isPresent)
    {
        if (epoch != epoch_)
            return;
        if (isPresent)
            missingMembers_.remove(id);
        else
            missingMembers_.insert(id);
        if (missingMembers_.isEmpty())
            missingSinceMs_ = 0;
        else if (missingSinceMs_ == 0)
            missingSinceMs_ = nowMs();
    }

    void breakGroup()
    {
        abortRuns();
        setState("broken", "broken");
    }

    bool isStalled() const { return missingSinceMs_ != 0; }

    void handleRequest(const std::shared_ptr<Exchange>& exchange)
    {
        if (exchange->header("X-Request-Id").isEmpty()) {
            reject(*exchange, 400);
            return;
        }
        if (!options_.isPlain && (rank_ != 0 || group_.isEmpty())) {
            reject(*exchange, 421);
            return;
        }
        const bool isFull = options_.isPlain ? plainRuns_ >= slots : runs_.size() >= slots;
        if (isFull || (!options_.isPlain && state_ != "open") || standIn_.consumeFault("reject")) {
            reject(*exchange, 503);
            return;
        }
        if (standIn_.consumeFault("hang")) {
            recordRun(*exchange);
            unanswered_.push_back(exchange);
            return;
        }
        if (options_.isPlain)
            runPlain(exchange);
        else
            addStream(exchange);
    }

    void recordRun(Exchange& exchange)
    {
        QJsonObject fields = groupFields();
        fields["request"] = QString::fromLatin1(exchange.header("X-Request-Id"));
        fields["organisation"] = QString::fromLatin1(exchange.header("X-Tenant"));
        fields["path"] = exchange.path();
        standIn_.recordEffect("run", fields);
        if (exchange.body().contains("poison"))
            std::_Exit(1);
    }

    std::vector<HttpHeader> answerHeaders(Exchange& exchange)
    {
        std::vector<HttpHeader> headers { { "X-Request-Id", exchange.header("X-Request-Id") }, { "X-Server-Seal", "seal-" + QByteArray::fromStdString(options_.id) }, { "X-Server-Load", QByteArray::number(static_cast<int>(runs_.size()) + plainRuns_) + ",0," + QByteArray::number(slots) } };
        addLimit(headers);
        return headers;
    }

    void runPlain(const std::shared_ptr<Exchange>& exchange)
    {
        recordRun(*exchange);
        ++plainRuns_;
        runAfter(plainRunMs, [this, exchange] {
            --plainRuns_;
            const QByteArray answer = QCryptographicHash::hash(exchange->path().toUtf8() + exchange->body(), QCryptographicHash::Md5).toHex();
            if (exchange->isOver())
                return;
            if (standIn_.consumeFault("lose_answers")) {
                exchange->abort();
            } else if (standIn_.consumeFault("garble")) {
                exchange->startStream("text/plain", answerHeaders(*exchange));
                exchange->sendChunk(answer.left(answer.size() / 2));
                exchange->abort();
            } else if (const int bytes = standIn_.fault("answer_bytes"); bytes > 0) {
                exchange->startStream("text/plain", answerHeaders(*exchange));
                exchange->sendChunk(QByteArray(bytes, 'x'));
                exchange->finishStream();
            } else {
                exchange->sendBytes(200, "text/plain", answer, answerHeaders(*exchange));
            }
        });
    }

    void addStream(const std::shared_ptr<Exchange>& exchange)
    {
        const int tokens = QString::fromLatin1(exchange->header("X-Token-Counts")).section(',', 1).toInt();
        const int lastReceived = exchange->header("Last-Event-Id").toInt();
        runs_.push_back({ .exchange = exchange, .body = exchange->body(), .next = lastReceived + 1, .last = std::max(1, tokens / tokensPerEvent) });
    }

    void advanceStreams()
    {
        if (isStalled() || nowMs() - advancedAtMs_ < static_cast<qint64>(eventIntervalMs) * std::max(1, standIn_.fault("slow")))
            return;
        advancedAtMs_ = nowMs();
        std::vector<Run> current = std::exchange(runs_, {});
        for (Run& run : current) {
            if (sendNext(run))
                runs_.push_back(std::move(run));
        }
        if (state_ == "closing" && runs_.empty())
            setState("ready", "closed");
    }

    // Sends the next event. Returns false when the run is over.
    bool sendNext(Run& run)
    {
        if (run.exchange->isOver())
            return false;
        if (!run.hasStarted) {
            run.hasStarted = true;
            recordRun(*run.exchange);
            if (standIn_.consumeFault("lose_answers")) {
                run.exchange->abort();
                return false;
            }
            run.isTruncated = standIn_.consumeFault("garble");
            run.exchange->startStream("text/event-stream", answerHeaders(*run.exchange));
        }
        if (run.next <= run.last) {
            const QByteArray token = QCryptographicHash::hash(run.body + QByteArray::number(run.next), QCryptographicHash::Md5).toHex().left(6);
            const QByteArray event = "id: " + QByteArray::number(run.next) + "\ndata: " + token + "\n\n";
            if (run.isTruncated && run.next >= run.last / 2) {
                run.exchange->sendChunk(event.left(event.size() - 5));
                run.exchange->abort();
                return false;
            }
            run.exchange->sendChunk(event);
            ++run.next;
        }
        if (run.next <= run.last)
            return true;
        run.exchange->finishStream();
        return false;
    }

    void abortRuns()
    {
        for (const Run& run : std::exchange(runs_, {}))
            run.exchange->abort();
    }

    static qint64 nowMs() { return QDateTime::currentMSecsSinceEpoch(); }

    Options options_;
    StandIn standIn_;
    HttpClient client_;
    std::shared_ptr<HttpCall> entryCall_;
    std::vector<std::shared_ptr<HttpCall>> memberPolls_;
    std::map<QString, QString> addresses_; // by id
    QTimer heartbeatTimer_;
    QTimer pollTimer_;
    QTimer streamTimer_;
    std::vector<Run> runs_;
    std::vector<std::shared_ptr<Exchange>> unanswered_; // kept open without an answer
    QSet<QString> missingMembers_; // ids
    QString group_;
    QString model_;
    QString lastModel_;
    QString stagedModel_;
    QString state_;
    QJsonArray members_;
    qint64 startedAtMs_ = nowMs();
    qint64 epoch_ = 0;
    qint64 highestEpoch_ = 0;
    qint64 missingSinceMs_ = 0; // ms since the epoch; 0: none is missing
    int cold_ = 0; // ms, the fault
    qint64 coldUntilMs_ = 0; // since the Unix epoch
    double namedLimit_ = 0; // limit that the last answer named, in requests a second; 0: none
    qint64 advancedAtMs_ = 0; // ms since the epoch, last call of advanceStreams() that sent events
    int rank_ = 0;
    int sequence_ = 0;
    int plainRuns_ = 0;
    bool isLeaving_ = false;
    bool isLeavingPublished_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    QCoreApplication application(argc, argv);
    Options parameters;
    po::options_description description("Stand-in for one of the users' endpoints");
    addStandInOptions(description);
    description.add_options()("id", po::value(&parameters.id)->required(), "unique name")("zone", po::value(&parameters.zone)->required(), "failure domain")(
        "fabric", po::value(&parameters.fabric), "fabric domain")("service", po::value(&parameters.service)->required(), "service")(
        "store", po::value(&parameters.store)->required(), "ADDRESS:PORT of the store")("advertised", po::value(&parameters.advertised)->required(), "ADDRESS:PORT for callers")(
        "member", po::value(&parameters.members), "ID=ADDRESS:PORT of an engine of the fabric domain")("plain", po::bool_switch(&parameters.isPlain), "a separate service instead of an engine");
    const auto values = readOptions(argc, argv, description);
    const Member member(values, parameters);
    return QCoreApplication::exec();
}
