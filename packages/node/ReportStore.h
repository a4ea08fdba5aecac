#pragma once

#include "fleet/FleetTable.h"
#include "platform/KvClient.h"
#include "report/CounterTable.h"
#include "report/EventLog.h"
#include "wire/Codec.h"

#include <QTimer>

// Keeps this node's figures of the shared report and copies of other nodes': tells changed rows
// to peers at a slow pace and writes each part under a platform key of its own, so that figures
// outlive the instance that counted them. Lives on the control thread; record(), report() and
// the explain calls may come from any thread.

namespace hemlockweir {

struct ReportOptions {
    PartId own;
    Millis publishInterval { 1000 }; // ms, between two messages to peers
    Millis flushInterval { 30000 }; // ms, between two writes to the platform
    Millis freshness { 1500 }; // ms, oldest report of an instance that still counts
    Clock clock; // of the fleet table
    std::function<void(const Counters&)> broadcast; // to peers
    std::function<bool(const PartId&)> isRunning; // whether a peer of this very incarnation is alive
    std::function<std::vector<WasteRow>()> waste; // this incarnation's totals, by cause
};

class ReportStore : public QObject {
    Q_OBJECT
public:
    ReportStore(ReportOptions options, FleetTable& fleet, KvClient& platform);

    void start();

    // Writes this node's figures once more; `done` follows also when the platform fails.
    void stop(std::function<void()> done);

    // Counts one finished request.
    void record(const RequestRecord& record);

    // Takes a peer's rows.
    void handleCounters(const Envelope& envelope);

    // Every part that this node holds, for `hemlockctl report`.
    QJsonObject report() const;

    // Why a request ended, a group is down, or an instance stands idle; each with its events.
    QJsonObject explainRequest(const std::string& requestId) const;
    QJsonObject explainGroup(const std::string& group) const;
    QJsonObject explainInstance(const std::string& instance) const;

private:
    void publish();
    void flushAll();
    void flush(const PartId& id, std::function<void()> done);
    void write(const ReportPart& stored, int64_t modRevision, const std::function<void()>& done);
    void recordStored(const ReportPart& storedPart);
    void updateWaste();
    void observeGroups();
    std::string goneReason(const GroupObservation& group) const;

    ReportOptions options_;
    FleetTable& fleet_;
    KvClient& platform_;
    CounterTable counters_;
    RequestLog requests_;
    GroupLog groups_;
    QTimer publishTimer_;
    QTimer flushTimer_;
    ReportPart published_; // own rows as last told to peers
    std::map<PartId, ReportPart> stored_; // parts as last known to stand on the platform
    size_t nextResend_ = 0;
};

} // namespace hemlockweir
