#pragma once

#include "support/Cluster.h"

#include <QFile>
#include <unistd.h>

// Resources that a node has used since its start, from /proc and from the node's metrics.

namespace hemlockweir {

struct NodeUsage {
    double bytesSent = 0;
    double bytesReceived = 0;
    double datagramsSent = 0;
    double cpuSeconds = 0;
    double residentMb = 0;
};

inline double readMetric(const QByteArray& metrics, const char* name)
{
    for (const QByteArray& line : metrics.split('\n')) {
        if (line.startsWith(QByteArray(name) + " "))
            return line.split(' ').last().toDouble();
    }
    return 0;
}

inline QByteArray readProc(qint64 pid, const char* file)
{
    QFile proc(QString("/proc/%1/%2").arg(pid).arg(file));
    return proc.open(QIODevice::ReadOnly) ? proc.readAll() : QByteArray();
}

inline double readCpuSeconds(qint64 pid)
{
    constexpr int userTimeField = 11; // counted after the name in parentheses
    const QByteArray stat = readProc(pid, "stat");
    const QList<QByteArray> fields = stat.mid(stat.lastIndexOf(')') + 2).split(' ');
    if (fields.size() <= userTimeField + 1)
        return 0;
    return (fields[userTimeField].toDouble() + fields[userTimeField + 1].toDouble()) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

inline double readResidentMb(qint64 pid)
{
    constexpr double bytesPerMb = 1024.0 * 1024.0;
    const QList<QByteArray> fields = readProc(pid, "statm").split(' ');
    return fields.size() < 2 ? 0 : fields[1].toDouble() * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMb;
}

inline NodeUsage readUsage(Cluster& cluster, const std::string& node)
{
    const QByteArray metrics = cluster.call("GET", cluster.urlOf(node) + "/metrics").body;
    const qint64 pid = cluster.pidOf(node);
    return { .bytesSent = readMetric(metrics, "hemlockweir_peer_bytes_sent_total"),
        .bytesReceived = readMetric(metrics, "hemlockweir_peer_bytes_received_total"),
        .datagramsSent = readMetric(metrics, "hemlockweir_peer_datagrams_sent_total"),
        .cpuSeconds = readCpuSeconds(pid),
        .residentMb = readResidentMb(pid) };
}

} // namespace hemlockweir
