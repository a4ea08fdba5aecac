#include "platform/KvClient.h"

#include <QJsonDocument>
#include <glog/logging.h>

namespace hemlockweir {

static QString encode(const QByteArray& bytes)
{
    return QString::fromLatin1(bytes.toBase64());
}

static int64_t readNumber(const QJsonValue& value)
{
    return value.isString() ? value.toString().toLongLong() : static_cast<int64_t>(value.toDouble());
}

static KvEntry readEntry(const QJsonObject& object)
{
    return {
        .key = QByteArray::fromBase64(object["key"].toString().toLatin1()),
        .value = QByteArray::fromBase64(object["value"].toString().toLatin1()),
        .createRevision = readNumber(object["create_revision"]),
        .modRevision = readNumber(object["mod_revision"]),
    };
}

static KvRange readRange(const QJsonObject& object)
{
    KvRange range { .entries = {}, .revision = readNumber(object["header"].toObject()["revision"]) };
    for (const QJsonValue& entry : object["kvs"].toArray())
        range.entries.push_back(readEntry(entry.toObject()));
    return range;
}

static QJsonObject makeCompare(const QByteArray& key, int64_t modRevision)
{
    return { { "key", encode(key) }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", QString::number(modRevision) } };
}

static QJsonObject makeTxn(const QByteArray& key, int64_t modRevision, const QJsonObject& operation)
{
    const QJsonObject read { { "request_range", QJsonObject { { "key", encode(key) } } } };
    return {
        { "compare", QJsonArray { makeCompare(key, modRevision) } },
        { "success", QJsonArray { operation } },
        { "failure", QJsonArray { read } },
    };
}

static QJsonObject makePutTxn(const KvWrite& write)
{
    QJsonObject put { { "key", encode(write.key) }, { "value", encode(write.value) } };
    if (write.lease != 0)
        put["lease"] = QString::number(write.lease);
    return makeTxn(write.key, write.expectedModRevision, { { "request_put", put } });
}

static KvWriteResult readWriteResult(const QJsonObject& txn, int64_t revision)
{
    KvWriteResult result { .applied = txn["succeeded"].toBool(), .revision = revision, .current = {} };
    if (result.applied)
        return result;
    const QJsonObject range = txn["responses"].toArray().at(0).toObject()["response_range"].toObject();
    const QJsonArray entries = range["kvs"].toArray();
    if (!entries.isEmpty())
        result.current = readEntry(entries.at(0).toObject());
    return result;
}

static int64_t headerRevision(const QJsonObject& answer)
{
    return readNumber(answer["header"].toObject()["revision"]);
}

KvClient::KvClient(Options options)
    : options_(std::move(options))
{
    CHECK(!options_.endpoints.empty()) << "KvClient needs at least one endpoint";
}

KvClient::~KvClient() = default;

QUrl KvClient::urlFor(const QString& path) const
{
    QUrl url = options_.endpoints[endpointIndex_ % options_.endpoints.size()];
    url.setPath(path);
    return url;
}

void KvClient::post(const QString& path, const QJsonObject& body, Callback<QJsonObject> done)
{
    ++callsMade_;
    const uint64_t id = nextCall_++;
    CallOptions options {
        .url = urlFor(path),
        .headers = {},
        .body = QJsonDocument(body).toJson(QJsonDocument::Compact),
        .firstByteTimeout = options_.timeout,
        .silenceTimeout = options_.timeout,
    };
    calls_[id] = client_.start(options, { .onHead = {}, .onData = {}, .onDone = [this, id, done](const CallResult& result) {
        const auto keep = calls_.extract(id);
        if (result.end != CallEnd::Answered)
            ++endpointIndex_;
        if (result.isSuccess()) {
            const QJsonDocument document = QJsonDocument::fromJson(result.body);
            done(document.isObject() ? absl::StatusOr<QJsonObject>(document.object()) : absl::UnknownError("the platform's answer is not JSON"));
        } else if (result.end == CallEnd::NotSent || result.status == 429 || result.status == 503) {
            done(absl::UnavailableError("platform unavailable: " + result.error.toStdString()));
        } else {
            done(absl::UnknownError("platform call without a usable answer: " + result.error.toStdString()));
        } } });
}

void KvClient::get(const QByteArray& key, Callback<KvRange> done)
{
    post("/v3/kv/range", { { "key", encode(key) } }, [done](absl::StatusOr<QJsonObject> answer) {
        done(answer.ok() ? absl::StatusOr<KvRange>(readRange(*answer)) : answer.status());
    });
}

void KvClient::getPrefix(const QByteArray& prefix, Callback<KvRange> done)
{
    CHECK(!prefix.isEmpty()) << "getPrefix needs a prefix";
    QByteArray end = prefix;
    end.back() = static_cast<char>(end.back() + 1);
    post("/v3/kv/range", { { "key", encode(prefix) }, { "range_end", encode(end) } }, [done](absl::StatusOr<QJsonObject> answer) {
        done(answer.ok() ? absl::StatusOr<KvRange>(readRange(*answer)) : answer.status());
    });
}

void KvClient::getRevision(const QByteArray& key, Callback<KvRange> done)
{
    post("/v3/kv/range", { { "key", encode(key) }, { "keys_only", true } }, [done](absl::StatusOr<QJsonObject> answer) {
        done(answer.ok() ? absl::StatusOr<KvRange>(readRange(*answer)) : answer.status());
    });
}

void KvClient::compareAndPut(const KvWrite& write, Callback<KvWriteResult> done)
{
    post("/v3/kv/txn", makePutTxn(write), [done](absl::StatusOr<QJsonObject> answer) {
        done(answer.ok() ? absl::StatusOr<KvWriteResult>(readWriteResult(*answer, headerRevision(*answer))) : answer.status());
    });
}

void KvClient::compareAndPutEach(const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done)
{
    QJsonArray steps;
    for (const KvWrite& write : writes)
        steps.append(QJsonObject { { "request_txn", makePutTxn(write) } });
    post("/v3/kv/txn", { { "compare", QJsonArray() }, { "success", steps }, { "failure", QJsonArray() } },
        [done, count = writes.size()](absl::StatusOr<QJsonObject> answer) {
            if (!answer.ok()) {
                done(answer.status());
                return;
            }
            const QJsonArray responses = (*answer)["responses"].toArray();
            std::vector<KvWriteResult> results;
            for (const QJsonValue& response : responses)
                results.push_back(readWriteResult(response.toObject()["response_txn"].toObject(), headerRevision(*answer)));
            if (results.size() == count)
                done(results);
            else
                done(absl::UnknownError("the platform answered another number of writes"));
        });
}

void KvClient::compareAndDelete(const QByteArray& key, int64_t expectedModRevision, Callback<KvWriteResult> done)
{
    const QJsonObject erase { { "request_delete_range", QJsonObject { { "key", encode(key) } } } };
    post("/v3/kv/txn", makeTxn(key, expectedModRevision, erase), [done](absl::StatusOr<QJsonObject> answer) {
        done(answer.ok() ? absl::StatusOr<KvWriteResult>(readWriteResult(*answer, headerRevision(*answer))) : answer.status());
    });
}

void KvClient::grantLease(std::chrono::seconds ttl, Callback<int64_t> done)
{
    post("/v3/lease/grant", { { "TTL", QString::number(ttl.count()) } }, [done](absl::StatusOr<QJsonObject> answer) {
        done(answer.ok() ? absl::StatusOr<int64_t>(readNumber((*answer)["ID"])) : answer.status());
    });
}

void KvClient::renewLease(int64_t lease, Callback<int64_t> done)
{
    post("/v3/lease/keepalive", { { "ID", QString::number(lease) } }, [done, lease](absl::StatusOr<QJsonObject> answer) {
        if (!answer.ok()) {
            done(answer.status());
            return;
        }
        if (readNumber((*answer)["result"].toObject()["TTL"]) > 0)
            done(lease);
        else
            done(absl::NotFoundError("the lease has lapsed"));
    });
}

std::shared_ptr<HttpCall> KvClient::watch(
    const QByteArray& key, int64_t fromRevision, std::function<void(const KvEntry&)> onEntry, std::function<void()> onEnd)
{
    ++callsMade_;
    const QJsonObject create { { "key", encode(key) }, { "start_revision", QString::number(fromRevision) } };
    CallOptions options {
        .url = urlFor("/v3/watch"),
        .headers = {},
        .body = QJsonDocument(QJsonObject { { "create_request", create } }).toJson(QJsonDocument::Compact),
        .firstByteTimeout = options_.timeout,
        .silenceTimeout = Millis(0),
    };
    auto pending = std::make_shared<QByteArray>();
    CallHooks hooks;
    hooks.onData = [pending, onEntry](const QByteArray& piece) {
        *pending += piece;
        for (qsizetype end = pending->indexOf('\n'); end >= 0; end = pending->indexOf('\n')) {
            const QJsonObject message = QJsonDocument::fromJson(pending->left(end)).object();
            pending->remove(0, end + 1);
            for (const QJsonValue& event : message["result"].toObject()["events"].toArray())
                onEntry(readEntry(event.toObject()["kv"].toObject()));
        }
    };
    hooks.onDone = [onEnd](const CallResult&) { onEnd(); };
    return client_.start(options, hooks);
}

} // namespace hemlockweir
