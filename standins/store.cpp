// Stand-in for the platform: a key-value service with the interface of etcd v3's JSON gateway, and the list of
// instances, which is updated with a delay.
//
// Faults:
//   down              bool: resets connections
//   delay_ms          delays the handling of requests
//   lose_answers      count: a write takes effect, but its answer does not arrive
//   calls_per_second  limit; further calls get 429; 0: no limit
//   list_lag_ms       delay until a new list of instances is visible
//
// PUT /instances with {"instances":[...]} replaces the list of instances, GET /instances returns it.

#include "StandIn.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <map>
#include <optional>

using namespace hemlockweir;

namespace {

qint64 nowMs()
{
    return QDateTime::currentMSecsSinceEpoch();
}

QByteArray decodeBase64(const QJsonValue& value)
{
    return QByteArray::fromBase64(value.toString().toLatin1());
}

qint64 parseInteger(const QJsonValue& value)
{
    return value.isString() ? value.toString().toLongLong() : static_cast<qint64>(value.toDouble());
}

struct Entry {
    QByteArray value;
    qint64 createRevision = 0;
    qint64 modRevision = 0;
    qint64 lease = 0;
};

struct Lease {
    qint64 ttlSeconds = 0;
    qint64 expiresAt = 0; // ms since the epoch
};

struct Watcher {
    QByteArray key;
    std::shared_ptr<Exchange> exchange;
};

// The keys, leases and watchers of the platform. In a nested transaction, a failed compare selects the failure
// branch of that transaction only; the enclosing transaction continues.
class Store {
public:
    explicit Store(const boost::program_options::variables_map& values)
        : standIn_(values, [this](std::shared_ptr<Exchange> exchange) { handle(std::move(exchange)); })
    {
        QObject::connect(&timer_, &QTimer::timeout, [this] { expireLeases(); });
        timer_.start(50);
    }

private:
    void handle(std::shared_ptr<Exchange> exchange)
    {
        ++calls_;
        if (standIn_.hasFault("down")) {
            exchange->abort();
            return;
        }
        if (!consumeCallBudget()) {
            exchange->sendJson(429, { { "error", "too many calls" } });
            return;
        }
        const int delay = standIn_.fault("delay_ms");
        if (delay == 0) {
            answer(*exchange, exchange);
            return;
        }
        QTimer::singleShot(delay, [this, exchange] { answer(*exchange, exchange); });
    }

    bool consumeCallBudget()
    {
        const int limit = standIn_.fault("calls_per_second");
        const qint64 second = nowMs() / 1000;
        if (second != budgetSecond_) {
            budgetSecond_ = second;
            budgetUsed_ = 0;
        }
        return limit == 0 || ++budgetUsed_ <= limit;
    }

    void answer(Exchange& exchange, const std::shared_ptr<Exchange>& shared)
    {
        const QString path = exchange.path();
        const QJsonObject body = QJsonDocument::fromJson(exchange.body()).object();
        if (path == "/v3/kv/range")
            exchange.sendJson(200, range(body));
        else if (path == "/v3/kv/put")
            finishWrite(exchange, put(body));
        else if (path == "/v3/kv/txn")
            finishWrite(exchange, txnWithHeader(body));
        else if (path == "/v3/lease/grant")
            exchange.sendJson(200, grantLease(body));
        else if (path == "/v3/lease/keepalive")
            exchange.sendJson(200, keepAlive(body));
        else if (path == "/v3/watch")
            watch(shared, body);
        else if (path == "/instances")
            instances(exchange);
        else if (path == "/calls")
            exchange.sendJson(200, { { "calls", static_cast<double>(calls_) } });
        else
            exchange.sendJson(404, { { "error", "no such path" } });
    }

    void finishWrite(Exchange& exchange, const QJsonObject& result)
    {
        if (standIn_.consumeFault("lose_answers"))
            exchange.abort();
        else
            exchange.sendJson(200, result);
    }

    QJsonObject header() const { return { { "revision", QString::number(revision_) } }; }

    QJsonObject formatEntry(const QByteArray& key, const Entry& entry) const
    {
        return { { "key", QString::fromLatin1(key.toBase64()) }, { "value", QString::fromLatin1(entry.value.toBase64()) },
            { "create_revision", QString::number(entry.createRevision) }, { "mod_revision", QString::number(entry.modRevision) },
            { "lease", QString::number(entry.lease) } };
    }

    QJsonObject formatEntryWithoutValue(const QByteArray& key, const Entry& entry) const
    {
        QJsonObject object = formatEntry(key, entry);
        object.remove("value");
        return object;
    }

    QJsonObject range(const QJsonObject& body) const
    {
        const QByteArray key = decodeBase64(body["key"]);
        const QByteArray end = decodeBase64(body["range_end"]);
        QJsonArray found;
        for (auto it = entries_.lower_bound(key); it != entries_.end() && (end.isEmpty() ? it->first == key : it->first < end); ++it)
            found.append(body["keys_only"].toBool() ? formatEntryWithoutValue(it->first, it->second) : formatEntry(it->first, it->second));
        return { { "header", header() }, { "kvs", found }, { "count", QString::number(found.size()) } };
    }

    void notifyWatchers(const QByteArray& key, const QJsonObject& entry, const char* type)
    {
        const QJsonObject event { { "type", type }, { "kv", entry } };
        const QJsonObject message { { "result", QJsonObject { { "header", header() }, { "events", QJsonArray { event } } } } };
        std::erase_if(watchers_, [](const Watcher& watcher) { return watcher.exchange->isOver(); });
        for (const Watcher& watcher : watchers_) {
            if (watcher.key == key)
                watcher.exchange->sendChunk(QJsonDocument(message).toJson(QJsonDocument::Compact) + "\n");
        }
    }

    QJsonObject put(const QJsonObject& body)
    {
        const QByteArray key = decodeBase64(body["key"]);
        Entry& entry = entries_[key];
        ++revision_;
        entry.value = decodeBase64(body["value"]);
        entry.lease = parseInteger(body["lease"]);
        entry.createRevision = entry.createRevision == 0 ? revision_ : entry.createRevision;
        entry.modRevision = revision_;
        standIn_.recordEffect("put", { { "key", QString::fromUtf8(key) }, { "revision", static_cast<double>(revision_) } });
        notifyWatchers(key, formatEntry(key, entry), "PUT");
        return { { "header", header() } };
    }

    void erase(const QByteArray& key)
    {
        if (entries_.erase(key) == 0)
            return;
        ++revision_;
        standIn_.recordEffect("delete", { { "key", QString::fromUtf8(key) }, { "revision", static_cast<double>(revision_) } });
        notifyWatchers(key, { { "key", QString::fromLatin1(key.toBase64()) }, { "mod_revision", QString::number(revision_) } }, "DELETE");
    }

    bool evaluateCompare(const QJsonObject& compare) const
    {
        const auto found = entries_.find(decodeBase64(compare["key"]));
        const bool exists = found != entries_.end();
        const QString target = compare["target"].toString();
        if (target == "MOD")
            return (exists ? found->second.modRevision : 0) == parseInteger(compare["mod_revision"]);
        if (target == "CREATE")
            return (exists ? found->second.createRevision : 0) == parseInteger(compare["create_revision"]);
        return target == "VALUE" && exists && found->second.value == decodeBase64(compare["value"]);
    }

    QJsonObject runStep(const QJsonObject& step)
    {
        if (step.contains("request_put"))
            return { { "response_put", put(step["request_put"].toObject()) } };
        if (step.contains("request_range"))
            return { { "response_range", range(step["request_range"].toObject()) } };
        if (step.contains("request_txn"))
            return { { "response_txn", txn(step["request_txn"].toObject()) } };
        erase(decodeBase64(step["request_delete_range"].toObject()["key"]));
        return { { "response_delete_range", QJsonObject { { "header", header() } } } };
    }

    QJsonObject txn(const QJsonObject& body)
    {
        bool succeeded = true;
        for (const QJsonValue& compare : body["compare"].toArray())
            succeeded = succeeded && evaluateCompare(compare.toObject());
        QJsonArray responses;
        for (const QJsonValue& step : body[QLatin1String(succeeded ? "success" : "failure")].toArray())
            responses.append(runStep(step.toObject()));
        return { { "succeeded", succeeded }, { "responses", responses } };
    }

    QJsonObject txnWithHeader(const QJsonObject& body)
    {
        QJsonObject result = txn(body);
        result["header"] = header();
        return result;
    }

    QJsonObject grantLease(const QJsonObject& body)
    {
        const qint64 id = ++lastLeaseId_;
        const qint64 ttl = parseInteger(body["TTL"]);
        leases_[id] = { .ttlSeconds = ttl, .expiresAt = nowMs() + ttl * 1000 };
        return { { "header", header() }, { "ID", QString::number(id) }, { "TTL", QString::number(ttl) } };
    }

    QJsonObject keepAlive(const QJsonObject& body)
    {
        const qint64 id = parseInteger(body["ID"]);
        const auto found = leases_.find(id);
        qint64 ttl = 0;
        if (found != leases_.end()) {
            ttl = found->second.ttlSeconds;
            found->second.expiresAt = nowMs() + ttl * 1000;
        }
        return { { "result", QJsonObject { { "header", header() }, { "ID", QString::number(id) }, { "TTL", QString::number(ttl) } } } };
    }

    void expireLeases()
    {
        for (auto it = leases_.begin(); it != leases_.end();) {
            if (it->second.expiresAt > nowMs()) {
                ++it;
                continue;
            }
            std::vector<QByteArray> keys;
            for (const auto& [key, entry] : entries_) {
                if (entry.lease == it->first)
                    keys.push_back(key);
            }
            standIn_.recordEffect("lease_expired", { { "lease", static_cast<double>(it->first) } });
            it = leases_.erase(it);
            for (const QByteArray& key : keys)
                erase(key);
        }
    }

    void watch(const std::shared_ptr<Exchange>& exchange, const QJsonObject& body)
    {
        const QJsonObject create = body["create_request"].toObject();
        const QByteArray key = decodeBase64(create["key"]);
        exchange->startStream("application/json");
        exchange->sendChunk(QJsonDocument(QJsonObject { { "result", QJsonObject { { "header", header() }, { "created", true } } } }).toJson(QJsonDocument::Compact) + "\n");
        watchers_.push_back({ .key = key, .exchange = exchange });
        const auto found = entries_.find(key);
        if (found != entries_.end() && found->second.modRevision >= parseInteger(create["start_revision"]))
            notifyWatchers(key, formatEntry(key, found->second), "PUT");
    }

    void instances(Exchange& exchange)
    {
        if (exchange.method() == "PUT") {
            const QByteArray list = exchange.body();
            QTimer::singleShot(standIn_.fault("list_lag_ms"), [this, list] { instances_ = list; });
            exchange.sendJson(200, {});
            return;
        }
        exchange.sendBytes(200, "application/json", instances_);
    }

    std::map<QByteArray, Entry> entries_;
    std::map<qint64, Lease> leases_;
    std::vector<Watcher> watchers_;
    QByteArray instances_ = "{\"instances\":[]}";
    qint64 revision_ = 1;
    qint64 lastLeaseId_ = 1000;
    qint64 calls_ = 0;
    qint64 budgetSecond_ = 0;
    int budgetUsed_ = 0;
    QTimer timer_;
    StandIn standIn_;
};

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    boost::program_options::options_description description("Stand-in for the platform");
    addStandInOptions(description);
    const auto values = readOptions(argc, argv, description);
    Store store(values);
    return QCoreApplication::exec();
}
