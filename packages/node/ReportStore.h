#pragma once

#include "fleet/FleetTable.h"
#include "platform/KvClient.h"
#include "report/CounterTable.h"
#include "report/EventLog.h"
#include "wire/Codec.h"

#include <QTimer>

// Stores this node's counters of the shared report and copies of the counters of other nodes. It
// publishes changed rows to peers at a low rate. It also writes each node's part under its own key of
// the platform, so that the counters survive the end of the node that counted them. Runs on the
// control thread; record(), report() and the explain functions may be called from any thread.

namespace hemlockweir {

struct ReportOptions {
    PartId own; // name and incarnation of this node
    Millis publishInterval { 1000 }; // ms, between two messages to peers
    Millis flushInterval { 30000 }; // ms, between two writes to the platform
    Millis freshness { 1500 }; // ms, maximum age of an instance's report
    Clock clock; // the clock of the fleet table
    std::function<void(const Counters&)> broadcast; // to peers
    std::function<bool(const PartId&)> isRunning; // whether a peer with this name and incarnation is alive
    std::function<std::vector<WasteRow>()> waste; // this incarnation's totals by cause
};

class ReportStore : public QObject {
    Q_OBJECT
public:
    ReportStore(ReportOptions options, FleetTable& fleet, KvClient& platform);

    void start();

    // Publishes and writes this node's counters a last time. Calls `done` even if the platform fails.
    void stop(std::function<void()> done);

    // Adds one finished request to the counters and to the log of requests.
    void record(const RequestRecord& record);

    // Merges the rows of a peer's Counters message.
    void handleCounters(const Envelope& envelope);

    // Returns all parts that this node stores, for `hemlockctl report`.
    QJsonObject report() const;

    // Explain why a request ended, a group is down or an instance is idle, with the recorded events.
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
    ReportPart published_; // own rows as last published to peers
    std::map<PartId, ReportPart> stored_; // parts as last read from or written to the platform
    size_t nextResend_ = 0; // counts the repeated rows; see publish()
};

} // namespace hemlockweir
