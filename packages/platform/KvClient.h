#pragma once

#include "http/HttpClient.h"

#include <QJsonArray>
#include <QJsonObject>
#include <absl/status/statusor.h>
#include <map>

// The platform's key-value service, spoken to in the shape of etcd v3's JSON gateway: keys and
// values in base64, 64-bit numbers as strings. And the platform's list of instances.

namespace hemlockweir {

// One key with its value and revisions.
struct KvEntry {
    QByteArray key;
    QByteArray value;
    int64_t createRevision = 0;
    int64_t modRevision = 0;
};

// What a read returned.
struct KvRange {
    std::vector<KvEntry> entries;
    int64_t revision = 0; // of the whole store, when it was read
};

// One create-or-compare step of a transaction.
struct KvWrite {
    QByteArray key;
    QByteArray value;
    int64_t expectedModRevision = 0; // 0: the key must not exist
    int64_t lease = 0; // 0: none
};

// How one write ended: applied, or the entry that stood in its way.
struct KvWriteResult {
    bool applied = false;
    int64_t revision = 0; // of the store after the transaction
    KvEntry current; // meaningful when not applied
};

template <typename T>
using Callback = std::function<void(absl::StatusOr<T>)>;

// Calls to the platform's key-value service. An error of code Unknown means that a write may
// have taken effect; Unavailable means that it did not leave this process.
class KvClient : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::vector<QUrl> endpoints; // tried in turn
        Millis timeout { 1000 }; // ms, one call
    };

    explicit KvClient(Options options);
    ~KvClient() override;

    // Reads one key, or every key with the prefix.
    void get(const QByteArray& key, Callback<KvRange> done);
    void getPrefix(const QByteArray& prefix, Callback<KvRange> done);

    // Reads one key without its value, however large that is.
    void getRevision(const QByteArray& key, Callback<KvRange> done);

    // Writes one key if its revision is still the expected one.
    void compareAndPut(const KvWrite& write, Callback<KvWriteResult> done);

    // Writes several keys in one call, each by its own compare: one result each, in order.
    void compareAndPutEach(const std::vector<KvWrite>& writes, Callback<std::vector<KvWriteResult>> done);

    // Deletes one key if its revision is still the expected one.
    void compareAndDelete(const QByteArray& key, int64_t expectedModRevision, Callback<KvWriteResult> done);

    // Grants a lease and renews it. The id is 0 on no error.
    void grantLease(std::chrono::seconds ttl, Callback<int64_t> done);
    void renewLease(int64_t lease, Callback<int64_t> done);

    // Watches a key from a revision on; onEntry per change, onEnd once when the watch breaks.
    // Destroying the returned call ends the watch.
    std::shared_ptr<HttpCall> watch(const QByteArray& key, int64_t fromRevision, std::function<void(const KvEntry&)> onEntry,
        std::function<void()> onEnd);

    // Calls made so far, for the platform's budget.
    uint64_t callsMade() const { return callsMade_; }

private:
    void post(const QString& path, const QJsonObject& body, Callback<QJsonObject> done);
    QUrl urlFor(const QString& path) const;

    Options options_;
    HttpClient client_;
    std::map<uint64_t, std::shared_ptr<HttpCall>> calls_;
    uint64_t nextCall_ = 1;
    size_t endpointIndex_ = 0;
    uint64_t callsMade_ = 0;
};

} // namespace hemlockweir
