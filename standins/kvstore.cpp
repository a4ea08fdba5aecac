// Stand-in for the users' key-value store. It implements the store's published protocol: keys with revisions,
// paged lists, watches with a bounded history, conditional transactions and leases.
//
// Operators and endpoints write by PUT /entry?key=KEY with the value as the body, and by DELETE /entry?key=KEY.
// The answer acknowledges the write. With ttl_ms, the key is removed unless it is written again in time.
//
// Faults:
//   down          bool: answers 503
//   busy          bool: answers 429
//   silent        bool: does not answer
//   delay_ms      delays the handling of requests
//   lose_answers  count: a write takes effect, but its answer does not arrive
//   late_writes   count: a write gets no answer, and is committed a second later if its conditions still hold
//   forget        number: each change drops the history and all watches
//   keep_copy     number: each change keeps a copy of the store
//   restore       number: each change restores the store from the copy: later writes and all leases are lost, revisions and
//                 numbers of leases are given out again, and the era rises. Watches go on. Operators write theirs again
//                 after a while, and endpoints with their next heartbeat.
//   era_header    text: sent as the era instead of the true one

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

constexpr int pageItems = 20; // small, so that tests read lists in several pages
constexpr int lateWriteMs = 1000;
// Time after a restore at which the operators write again what was lost.
constexpr int rewriteMs = 500;

qint64 nowMs()
{
    return QDateTime::currentMSecsSinceEpoch();
}

struct Item {
    QByteArray value;
    qint64 revision = 0;
    qint64 createRevision = 0;
    qint64 lease = 0;
    qint64 expiresAt = 0; // ms since the epoch; 0: never
};

struct Lease {
    qint64 ttlMs = 0;
    qint64 endsAt = 0; // ms since the epoch
};

struct Event {
    QByteArray key;
    qint64 revision = 0;
    bool isDeletion = false;
    Item item;
};

struct Watcher {
    QByteArray prefix;
    qint64 after = 0;
    qint64 deadlineMs = 0; // ms since the epoch
    std::shared_ptr<Exchange> exchange;
};

class Store {
public:
    explicit Store(const boost::program_options::variables_map& values)
        : standIn_(values, [this](const std::shared_ptr<Exchange>& exchange) { handle(exchange); })
    {
        standIn_.onFaultsChanged = [this] {
            if (std::exchange(forgetCount_, standIn_.fault("forget")) != standIn_.fault("forget"))
                dropHistory();
            if (std::exchange(copyCount_, standIn_.fault("keep_copy")) != standIn_.fault("keep_copy"))
                keepCopy();
            if (std::exchange(restoreCount_, standIn_.fault("restore")) != standIn_.fault("restore"))
                restoreCopy();
        };
        QObject::connect(&timer_, &QTimer::timeout, [this] { removeExpired(); });
        timer_.start(20);
    }

private:
    // What a restore brings back.
    struct Copy {
        std::map<QByteArray, Item> items;
        qint64 revision = 1;
        qint64 lastLeaseId = 0;
    };

    // Sends an answer with the era.
    void sendJson(Exchange& exchange, int status, const QJsonObject& object) const
    {
        const QString text = standIn_.faults()["era_header"].toString();
        exchange.sendJson(status, object, { { "Store-Era", text.isEmpty() ? QByteArray::number(era_) : text.toUtf8() } });
    }

    void handle(const std::shared_ptr<Exchange>& exchange)
    {
        // Faults do not apply to operators and endpoints.
        if (exchange->path() == "/entry") {
            handleEntry(*exchange);
            return;
        }
        if (standIn_.hasFault("silent")) {
            unanswered_.push_back(exchange);
        } else if (standIn_.hasFault("down")) {
            sendJson(*exchange, 503, {});
        } else if (standIn_.hasFault("busy")) {
            sendJson(*exchange, 429, {});
        } else {
            QTimer::singleShot(standIn_.fault("delay_ms"), [this, exchange] { answer(exchange); });
        }
    }

    void answer(const std::shared_ptr<Exchange>& exchange)
    {
        const QString path = exchange->path();
        if (path == "/kv-key")
            sendItem(*exchange);
        else if (path == "/kv-range")
            sendRange(*exchange);
        else if (path == "/kv-watch")
            addWatcher(exchange);
        else if (path == "/kv-txn")
            handleTransaction(exchange);
        else if (path == "/kv-lease")
            grantLease(*exchange);
        else if (path.startsWith("/kv-keep/"))
            renewLease(*exchange, path.section('/', 2).toLongLong());
        else if (path.startsWith("/kv-lease-end/"))
            revokeLease(*exchange, path.section('/', 2).toLongLong());
        else
            sendJson(*exchange, 404, {});
    }

    static QJsonObject formatItem(const QByteArray& key, const Item& item)
    {
        return { { "key", QString::fromUtf8(key) }, { "value", QString::fromLatin1(item.value.toBase64()) }, { "revision", static_cast<double>(item.revision) }, { "created", static_cast<double>(item.createRevision) }, { "lease", static_cast<double>(item.lease) } };
    }

    QJsonValue at() const { return static_cast<double>(revision_); }

    void sendItem(Exchange& exchange) const
    {
        const QByteArray key = exchange.query("key").toUtf8();
        const auto found = items_.find(key);
        if (found == items_.end()) {
            sendJson(exchange, 404, {});
            return;
        }
        QJsonObject object = formatItem(key, found->second);
        object["at"] = at();
        sendJson(exchange, 200, object);
    }

    void sendRange(Exchange& exchange) const
    {
        const QByteArray prefix = exchange.query("prefix").toUtf8();
        const QByteArray after = exchange.query("after").toUtf8();
        QJsonArray items;
        bool hasMore = false;
        for (auto it = after.isEmpty() ? items_.lower_bound(prefix) : items_.upper_bound(after); it != items_.end() && it->first.startsWith(prefix); ++it) {
            hasMore = items.size() >= pageItems;
            if (hasMore)
                break;
            items.append(formatItem(it->first, it->second));
        }
        sendJson(exchange, 200, { { "items", items }, { "has_more", hasMore }, { "at", at() } });
    }

    void addWatcher(const std::shared_ptr<Exchange>& exchange)
    {
        const Watcher watcher { .prefix = exchange->query("prefix").toUtf8(), .after = exchange->query("after").toLongLong(), .deadlineMs = nowMs() + exchange->query("wait_ms").toLongLong(), .exchange = exchange };
        if (watcher.after < historyStart_ || watcher.after > revision_)
            sendJson(*exchange, 410, {});
        else if (!sendEvents(watcher, false))
            watchers_.push_back(watcher);
    }

    // Answers a watch if it has events or if `isOver`. Returns false if it must continue to wait.
    bool sendEvents(const Watcher& watcher, bool isOver) const
    {
        QJsonArray events;
        for (const Event& event : history_) {
            if (event.revision <= watcher.after || !event.key.startsWith(watcher.prefix))
                continue;
            if (event.isDeletion)
                events.append(QJsonObject { { "key", QString::fromUtf8(event.key) }, { "revision", static_cast<double>(event.revision) }, { "deleted", true } });
            else
                events.append(formatItem(event.key, event.item));
        }
        if (events.isEmpty() && !isOver)
            return false;
        sendJson(*watcher.exchange, 200, { { "events", events }, { "at", at() } });
        return true;
    }

    void notifyWatchers()
    {
        const qint64 now = nowMs();
        std::erase_if(watchers_, [&](const Watcher& watcher) { return watcher.exchange->isOver() || sendEvents(watcher, now >= watcher.deadlineMs); });
    }

    void write(const QByteArray& key, const QByteArray& value, qint64 lease, qint64 expiresAt = 0)
    {
        Item& item = items_[key];
        item.value = value;
        item.revision = ++revision_;
        item.lease = lease;
        item.expiresAt = expiresAt;
        if (item.createRevision == 0)
            item.createRevision = revision_;
        history_.push_back({ .key = key, .revision = revision_, .item = item });
    }

    void remove(const QByteArray& key)
    {
        if (items_.erase(key) > 0)
            history_.push_back({ .key = key, .revision = ++revision_, .isDeletion = true });
    }

    void handleEntry(Exchange& exchange)
    {
        const QByteArray key = exchange.query("key").toUtf8();
        const qint64 ttl = exchange.query("ttl_ms").toLongLong();
        const qint64 expiresAt = ttl > 0 ? nowMs() + ttl : 0;
        const auto found = items_.find(key);
        const bool isDeletion = exchange.method() == "DELETE";
        if (isDeletion ? operatorWrites_.count(key) > 0 : expiresAt == 0)
            operatorWrites_[key] = isDeletion ? std::nullopt : std::optional(exchange.body());
        if (isDeletion)
            remove(key);
        else if (found != items_.end() && found->second.value == exchange.body())
            found->second.expiresAt = expiresAt; // a heartbeat that changes nothing is not an event
        else
            write(key, exchange.body(), 0, expiresAt);
        sendJson(exchange, 200, { { "revision", at() } });
        notifyWatchers();
    }

    void handleTransaction(const std::shared_ptr<Exchange>& exchange)
    {
        if (standIn_.consumeFault("late_writes")) {
            unanswered_.push_back(exchange);
            QTimer::singleShot(lateWriteMs, [this, body = exchange->body()] { commit(QJsonDocument::fromJson(body).object()); });
            return;
        }
        const QJsonObject result = commit(QJsonDocument::fromJson(exchange->body()).object());
        if (standIn_.consumeFault("lose_answers"))
            unanswered_.push_back(exchange);
        else
            sendJson(*exchange, result["status"].toInt(), result);
    }

    // Applies a transaction completely or not at all.
    QJsonObject commit(const QJsonObject& transaction)
    {
        for (const QJsonValue& row : transaction["precondition"].toArray()) {
            const auto found = items_.find(row["key"].toString().toUtf8());
            const qint64 revision = found == items_.end() ? 0 : found->second.revision;
            if (revision != static_cast<qint64>(row["revision"].toDouble()))
                return { { "status", 412 } };
        }
        for (const QJsonValue& put : transaction["puts"].toArray()) {
            const auto lease = static_cast<qint64>(put["lease"].toDouble());
            if (lease != 0 && leases_.count(lease) == 0)
                return { { "status", 404 } };
        }
        for (const QJsonValue& put : transaction["puts"].toArray())
            write(put["key"].toString().toUtf8(), QByteArray::fromBase64(put["value"].toString().toLatin1()), static_cast<qint64>(put["lease"].toDouble()));
        for (const QJsonValue& key : transaction["remove"].toArray())
            remove(key.toString().toUtf8());
        notifyWatchers();
        return { { "status", 200 }, { "revision", at() } };
    }

    void grantLease(Exchange& exchange)
    {
        const auto ttl = static_cast<qint64>(QJsonDocument::fromJson(exchange.body()).object()["ttl_ms"].toDouble());
        leases_[++lastLeaseId_] = { .ttlMs = ttl, .endsAt = nowMs() + ttl };
        sendJson(exchange, 200, { { "lease", static_cast<double>(lastLeaseId_) }, { "ttl_ms", static_cast<double>(ttl) } });
    }

    void renewLease(Exchange& exchange, qint64 id)
    {
        const auto found = leases_.find(id);
        if (found == leases_.end()) {
            sendJson(exchange, 404, {});
            return;
        }
        found->second.endsAt = nowMs() + found->second.ttlMs;
        sendJson(exchange, 200, { { "ttl_ms", static_cast<double>(found->second.ttlMs) } });
    }

    void revokeLease(Exchange& exchange, qint64 id)
    {
        removeLease(id);
        sendJson(exchange, 200, {});
        notifyWatchers();
    }

    void removeLease(qint64 id)
    {
        leases_.erase(id);
        removeIf([id](const Item& item) { return item.lease == id; });
    }

    void removeIf(const std::function<bool(const Item&)>& condition)
    {
        std::vector<QByteArray> keys;
        for (const auto& [key, item] : items_) {
            if (condition(item))
                keys.push_back(key);
        }
        for (const QByteArray& key : keys)
            remove(key);
    }

    void removeExpired()
    {
        const qint64 now = nowMs();
        std::vector<qint64> expired;
        for (const auto& [id, lease] : leases_) {
            if (lease.endsAt <= now)
                expired.push_back(id);
        }
        for (const qint64 id : expired)
            removeLease(id);
        removeIf([now](const Item& item) { return item.expiresAt != 0 && item.expiresAt <= now; });
        notifyWatchers();
        std::erase_if(unanswered_, [](const auto& exchange) { return exchange->isOver(); });
    }

    void dropHistory()
    {
        history_.clear();
        historyStart_ = revision_;
        const std::vector<Watcher> aborted = std::exchange(watchers_, {});
        for (const Watcher& watcher : aborted)
            watcher.exchange->abort();
    }

    void keepCopy()
    {
        copy_ = { .items = items_, .revision = revision_, .lastLeaseId = lastLeaseId_ };
        std::erase_if(copy_.items, [](const auto& entry) { return entry.second.lease != 0; });
    }

    void restoreCopy()
    {
        standIn_.recordEffect("restored", { { "revision", copy_.revision }, { "lost_revision", revision_ }, { "era", ++era_ } });
        items_ = copy_.items;
        revision_ = copy_.revision;
        lastLeaseId_ = copy_.lastLeaseId;
        leases_.clear();
        history_.clear();
        historyStart_ = revision_;
        QTimer::singleShot(rewriteMs, [this] { rewriteOperatorWrites(); });
    }

    void rewriteOperatorWrites()
    {
        for (const auto& [key, value] : operatorWrites_) {
            const auto found = items_.find(key);
            if (!value)
                remove(key);
            else if (found == items_.end() || found->second.value != *value)
                write(key, *value, 0);
        }
        notifyWatchers();
    }

    StandIn standIn_;
    QTimer timer_;
    Copy copy_;
    std::map<QByteArray, std::optional<QByteArray>> operatorWrites_; // last value of each key that operators wrote; unset: removed
    std::map<QByteArray, Item> items_;
    std::map<qint64, Lease> leases_;
    std::vector<Event> history_;
    std::vector<Watcher> watchers_;
    std::vector<std::shared_ptr<Exchange>> unanswered_;
    qint64 revision_ = 1;
    qint64 historyStart_ = 0;
    qint64 lastLeaseId_ = 0;
    qint64 era_ = 1;
    int forgetCount_ = 0;
    int copyCount_ = 0;
    int restoreCount_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    boost::program_options::options_description description("Stand-in for the users' key-value store");
    addStandInOptions(description);
    const Store store(readOptions(argc, argv, description));
    return QCoreApplication::exec();
}
