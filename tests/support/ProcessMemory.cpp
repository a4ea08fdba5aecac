#include "support/ProcessMemory.h"

#include <QDir>
#include <QFile>
#include <QHostAddress>
#include <QList>
#include <QtEndian>
#include <functional>

namespace hemlockweir {

qint64 memoryOfProcess(qint64 pid, const std::string& field)
{
    constexpr qint64 bytesPerKilobyte = 1024;
    QFile file("/proc/" + QString::number(pid) + "/status");
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    const QByteArray name = QByteArray::fromStdString(field + ":");
    for (const QByteArray& line : file.readAll().split('\n')) {
        if (line.startsWith(name))
            return line.mid(name.size()).trimmed().split(' ').front().toLongLong() * bytesPerKilobyte;
    }
    return 0;
}

qint64 descriptorsOfProcess(qint64 pid)
{
    return static_cast<qint64>(QDir("/proc/" + QString::number(pid) + "/fd").entryList(QDir::AllEntries | QDir::System | QDir::NoDotAndDotDot).size());
}

// Returns an endpoint in the form of /proc/net/tcp: the address as it lies in memory and the port, both in hexadecimal.
static QByteArray kernelForm(const std::string& endpoint)
{
    const auto colon = endpoint.rfind(':');
    const quint32 address = qToBigEndian(QHostAddress(QString::fromStdString(endpoint.substr(0, colon))).toIPv4Address());
    return QString::asprintf("%08X:%04X", address, static_cast<unsigned>(std::stoi(endpoint.substr(colon + 1)))).toLatin1();
}

// A connection of this machine in the kernel's table.
struct ConnectionRow {
    QByteArray local;
    QByteArray remote;
    QByteArray queues; // bytes to send and bytes to read, both in hexadecimal
};

// Calls the function with each connection from or to an endpoint, in the kernel's form, until it returns false. Returns whether all were
// visited. Takes only the endpoint's lines apart: the table has those of all processes.
static bool visitConnections(const QByteArray& endpoint, const std::function<bool(const ConnectionRow&)>& visit)
{
    constexpr qsizetype localField = 1;
    constexpr qsizetype remoteField = 2;
    constexpr qsizetype queuesField = 4;
    QFile file("/proc/net/tcp");
    if (!file.open(QIODevice::ReadOnly))
        return false;
    const QByteArray table = file.readAll();
    for (qsizetype at = table.indexOf(endpoint); at >= 0;) {
        const qsizetype start = table.lastIndexOf('\n', at) + 1;
        const qsizetype end = table.indexOf('\n', at);
        const QList<QByteArray> fields = table.mid(start, end - start).simplified().split(' ');
        if (fields.size() > queuesField && !visit({ fields[localField], fields[remoteField], fields[queuesField] }))
            return false;
        at = end < 0 ? end : table.indexOf(endpoint, end);
    }
    return true;
}

qint64 unreadBytesAt(const std::string& endpoint)
{
    constexpr int hexadecimal = 16;
    const QByteArray wanted = kernelForm(endpoint);
    qint64 bytes = 0;
    visitConnections(wanted, [&](const ConnectionRow& row) {
        if (row.local == wanted)
            bytes += row.queues.mid(row.queues.indexOf(':') + 1).toLongLong(nullptr, hexadecimal);
        return true;
    });
    return bytes;
}

bool hasReadAll(const std::string& endpoint)
{
    const QByteArray wanted = kernelForm(endpoint);
    return visitConnections(wanted, [&](const ConnectionRow& row) { return (row.local != wanted && row.remote != wanted) || row.queues == "00000000:00000000"; });
}

} // namespace hemlockweir
