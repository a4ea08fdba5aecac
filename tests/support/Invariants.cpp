#include "support/Invariants.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QRegularExpression>
#include <algorithm>
#include <set>

namespace hemlockweir {

QString expectedText(const SentCompletion& sent, int tokens)
{
    const QByteArray seed = QByteArray::fromStdString(sent.marker) + "[]" + QByteArray::number(sent.seed);
    QString text;
    for (int i = 0; i < tokens; ++i)
        text += ' ' + QCryptographicHash::hash(seed + QByteArray::number(i), QCryptographicHash::Md5).toHex().left(4);
    return text;
}

// The text of an answer, streamed or not, and whether the answer was marked as complete.
struct ReceivedText {
    QString text;
    bool isComplete = false;
};

static ReceivedText readText(const SentCompletion& sent)
{
    ReceivedText received;
    if (!sent.stream) {
        received.isComplete = sent.answer.end == CallEnd::Answered && sent.answer.status == 200;
        if (received.isComplete)
            received.text = sent.answer.json()["choices"].toArray().at(0).toObject()["text"].toString();
        return received;
    }
    for (QByteArray event : sent.answer.body.split('\n')) {
        if (!event.startsWith("data: "))
            continue;
        event.remove(0, 6);
        if (event == "[DONE]")
            received.isComplete = true;
        received.text += QJsonDocument::fromJson(event).object()["choices"].toArray().at(0).toObject()["text"].toString();
    }
    return received;
}

QStringList checkCompleteAnswers(const std::vector<SentCompletion>& sentCompletions)
{
    QStringList violations;
    for (const SentCompletion& sent : sentCompletions) {
        const ReceivedText received = readText(sent);
        const QString expected = expectedText(sent, sent.maxTokens);
        const bool isExpected = received.isComplete ? received.text == expected : expected.startsWith(received.text);
        if (!isExpected)
            violations << QString::fromStdString(sent.marker) + ": got \"" + received.text + "\" instead of \"" + expected + "\"";
    }
    return violations;
}

static std::set<QString> collect(Cluster& cluster, const std::vector<std::string>& names, const QString& what, const QString& field)
{
    std::set<QString> found;
    for (const std::string& name : names) {
        for (const QJsonObject& effect : cluster.effects(name, what))
            found.insert(effect[field].toString());
    }
    return found;
}

QStringList checkNotRun(Cluster& cluster, const std::vector<std::string>& engines, const std::vector<std::string>& services,
    const std::vector<SentCompletion>& completions, const std::vector<SentOrder>& orders)
{
    QStringList violations;
    const std::set<QString> prompts = collect(cluster, engines, "run_started", "prompt");
    for (const SentCompletion& sent : completions) {
        const QString prompt = QString::fromStdString(sent.marker) + "[]";
        if (sent.answer.outcome() == "not_run" && prompts.contains(prompt))
            violations << "refused as not run, yet an engine started it: " + prompt;
    }
    // Callers retry an order after "not_run". The order must not have run if all of its answers say so.
    std::map<std::string, bool> isNotRun;
    for (const SentOrder& sent : orders) {
        const bool reportedNotRun = sent.answer.outcome() == "not_run";
        isNotRun[sent.marker] = reportedNotRun && (!isNotRun.contains(sent.marker) || isNotRun[sent.marker]);
    }
    const std::set<QString> bodies = collect(cluster, services, "order", "body");
    for (const auto& [marker, reportedNotRun] : isNotRun) {
        if (reportedNotRun && bodies.contains(QString::fromStdString(marker)))
            violations << "refused as not run each time, yet a service ran it: " + QString::fromStdString(marker);
    }
    return violations;
}

QStringList checkAtMostOnce(Cluster& cluster, const std::vector<std::string>& services)
{
    std::map<QString, int> runs;
    for (const std::string& service : services) {
        for (const QJsonObject& effect : cluster.effects(service, "order"))
            ++runs[effect["body"].toString()];
    }
    QStringList violations;
    for (const auto& [body, count] : runs) {
        if (count > 1)
            violations << body + " ran " + QString::number(count) + " times";
    }
    return violations;
}

namespace {

    // The group that an engine joined at a time; an empty group means none.
    struct Assignment {
        qint64 at = 0;
        QString group;
        qint64 epoch = 0;
        QJsonArray members;
    };

    std::vector<Assignment> readAssignments(Cluster& cluster, const std::string& engine)
    {
        std::vector<Assignment> assignments;
        for (const QJsonObject& effect : cluster.effects(engine, {})) {
            const QString what = effect["what"].toString();
            const auto at = static_cast<qint64>(effect["at"].toDouble());
            if (what == "order" && effect["type"].toString() == "join")
                assignments.push_back({ .at = at, .group = effect["group"].toString(), .epoch = static_cast<qint64>(effect["epoch"].toDouble()), .members = effect["members"].toArray() });
            else if (what == "order" || what == "started")
                assignments.push_back({ .at = at });
        }
        return assignments;
    }

    // Returns the assignments of one engine that overlap [from, until].
    std::vector<Assignment> assignmentsWithin(const std::vector<Assignment>& all, qint64 from, qint64 until)
    {
        std::vector<Assignment> found;
        for (size_t i = 0; i < all.size(); ++i) {
            const qint64 end = i + 1 < all.size() ? all[i + 1].at : until + 1;
            if (all[i].at <= until && end >= from)
                found.push_back(all[i]);
        }
        return found;
    }

    // Returns whether the engine was paused for longer than the detection bound until shortly before the
    // run, and never finished the run. Such an engine reads a request that waited in its socket during
    // the pause. The node has closed that connection, so nothing of this run reaches a caller.
    bool isLeftoverOfPause(const QJsonObject& run, const std::vector<QJsonObject>& finished, const std::string& engine, const std::vector<Outage>& outages)
    {
        const auto at = static_cast<qint64>(run["at"].toDouble());
        const bool wasPaused = std::any_of(outages.begin(), outages.end(), [&](const Outage& outage) {
            return outage.name == engine && outage.until <= at && outage.until > at - detectionBound.count() && outage.until - outage.from > detectionBound.count();
        });
        const bool hasFinished = std::any_of(finished.begin(), finished.end(), [&](const QJsonObject& end) {
            return end["request"] == run["request"] && end["attempt"] == run["attempt"];
        });
        return wasPaused && !hasFinished;
    }

} // namespace

QStringList checkCompleteGroups(Cluster& cluster, const std::vector<std::string>& engines, const std::vector<Outage>& outages)
{
    std::map<std::string, std::vector<Assignment>> assignments;
    for (const std::string& engine : engines)
        assignments[engine] = readAssignments(cluster, engine);
    QStringList violations;
    for (const std::string& engine : engines) {
        const std::vector<QJsonObject> finished = cluster.effects(engine, "run_finished");
        for (const QJsonObject& run : cluster.effects(engine, "run_started")) {
            if (isLeftoverOfPause(run, finished, engine, outages))
                continue;
            const auto at = static_cast<qint64>(run["at"].toDouble());
            const QString group = run["group"].toString();
            const auto epoch = static_cast<qint64>(run["epoch"].toDouble());
            QString leaderOutages;
            for (const Outage& outage : outages) {
                if (outage.name == engine)
                    leaderOutages += " (gone " + QString::number(outage.from) + ".." + QString::number(outage.until) + ")";
            }
            QJsonArray members;
            for (const Assignment& assignment : assignments[engine]) {
                if (assignment.group == group && assignment.epoch == epoch)
                    members = assignment.members;
            }
            for (const QJsonValue& value : members) {
                const std::string member = value.toString().toStdString();
                const QString description = group + " led by " + QString::fromStdString(engine) + " at " + QString::number(at) + leaderOutages + ": member " + value.toString();
                bool wasAssigned = false;
                for (const Assignment& assignment : assignmentsWithin(assignments[member], at - detectionBound.count(), at))
                    wasAssigned = wasAssigned || (assignment.group == group && assignment.epoch == epoch);
                if (!wasAssigned)
                    violations << description + " had been in another group or none for the whole detection bound";
                for (const Outage& outage : outages) {
                    if (outage.name == member && outage.from < at - detectionBound.count() && (outage.until == 0 || outage.until > at))
                        violations << description + " had been gone for longer than the detection bound";
                }
            }
        }
    }
    return violations;
}

QStringList checkRevisionsIncrease(Cluster& cluster, const std::vector<std::string>& nodes)
{
    static const QRegularExpression adopted("event=configuration_adopted revision=(\\d+)");
    QStringList violations;
    for (const std::string& node : nodes) {
        qint64 last = 0;
        for (const QByteArray& line : cluster.logOf(node).split('\n')) {
            if (line.contains("event=node_started"))
                last = 0;
            const QRegularExpressionMatch match = adopted.match(QString::fromUtf8(line));
            if (!match.hasMatch())
                continue;
            const qint64 revision = match.captured(1).toLongLong();
            if (revision <= last)
                violations << QString::fromStdString(node) + " went from revision " + QString::number(last) + " to " + QString::number(revision);
            last = revision;
        }
    }
    return violations;
}

} // namespace hemlockweir
