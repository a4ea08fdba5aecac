// Fault-injecting proxy: forwards TCP connections and UDP datagrams and disturbs them on request.
//
// Each --link NAME,LISTEN,TARGET[,udp] forwards from one address to another. Faults, set by POST /faults on
// --listen:
//   NAME.cut              bool: refuse and close connections
//   NAME.freeze           bool: hold all bytes of all connections
//   NAME.silence          number: each change makes the open connections silent for good; new ones work
//   NAME.black_hole       number: like silence, but the kernel does not acknowledge packets on these connections
//                         either, as after a power failure of the host or a cut link
//   NAME.delay_ms         delays bytes and datagrams
//   NAME.answer_delay_ms  delay towards the caller; default: the same as delay_ms
//   NAME.cut_from         text ADDRESS:PORT,...: drop datagrams of these senders, for cuts in one direction
//   NAME.drop_answers     bool: forward only towards the target
//   NAME.bytes_per_s      number: read at most so many bytes a second from each caller; the rest stays with its kernel

#include "StandIn.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QNetworkDatagram>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUdpSocket>
#include <QUrl>
#include <deque>
#include <iostream>
#include <linux/filter.h>
#include <set>
#include <sys/socket.h>
#include <utility>

using namespace hemlockweir;
namespace options = boost::program_options;

namespace {

struct Target {
    QHostAddress address;
    quint16 port = 0;
};

Target parseTarget(const QString& text)
{
    const QUrl url("http://" + text);
    return { .address = QHostAddress(url.host()), .port = static_cast<quint16>(url.port()) };
}

// The faults of one link. They are read again for each chunk.
struct LinkFaults {
    bool cut = false;
    bool freeze = false;
    bool dropAnswers = false;
    int silence = 0;
    int blackHole = 0;
    int delayMs = 0;
    int answerDelayMs = 0;
    int bytesPerSecond = 0; // 0: no limit
    QStringList cutFrom; // UDP senders, ADDRESS:PORT
};

// Makes the kernel drop incoming packets of a socket before TCP processes them, so that it sends neither
// acknowledgements nor resets.
void dropIncoming(const QTcpSocket& socket)
{
    sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program { .len = 1, .filter = &dropAll };
    if (::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0)
        std::cerr << "cannot attach a filter to a socket\n";
}

using ReadFaults = std::function<LinkFaults()>;

// One TCP connection through the proxy.
class ProxiedConnection : public QObject {
public:
    ProxiedConnection(QTcpSocket* caller, const Target& target, ReadFaults faults)
        : caller_(caller)
        , target_(new QTcpSocket(this))
        , faults_(std::move(faults))
        , silenceAtStart_(faults_().silence)
        , blackHoleAtStart_(faults_().blackHole)
    {
        caller_->setParent(this);
        for (QTcpSocket* socket : { caller_, target_ }) {
            connect(socket, &QTcpSocket::readyRead, this, [this] { forward(); });
            connect(socket, &QTcpSocket::disconnected, this, [this] { close(); });
            connect(socket, &QTcpSocket::errorOccurred, this, [this] { close(); });
        }
        connect(target_, &QTcpSocket::connected, this, [this] { forward(); });
        limitRate();
        target_->connectToHost(target.address, target.port);
    }

    // Forwards the bytes received so far, unless a fault blocks the connection.
    void forward()
    {
        const LinkFaults faults = faults_();
        if (faults.cut) {
            close();
            return;
        }
        if (faults.blackHole != blackHoleAtStart_) {
            startBlackHole();
            return;
        }
        if (isBlocked(faults))
            return;
        transfer(caller_, target_, faults.delayMs);
        if (!faults.dropAnswers)
            transfer(target_, caller_, faults.answerDelayMs);
    }

private:
    // Bytes in transit, with the time of their delivery in ms since the epoch.
    struct Chunk {
        QByteArray bytes;
        qint64 dueAt = 0;
    };

    // Lets the kernel take only little, and reads it in small parts.
    void limitRate()
    {
        const int bytesPerSecond = faults_().bytesPerSecond;
        if (bytesPerSecond == 0)
            return;
        constexpr int intervalMs = 10;
        constexpr int kernelBytes = 64 * 1024;
        bytesPerInterval_ = std::max(1, bytesPerSecond * intervalMs / 1000);
        caller_->setReadBufferSize(bytesPerInterval_);
        caller_->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, kernelBytes);
        connect(&rateTimer_, &QTimer::timeout, this, [this] {
            mayRead_ = true;
            forward();
        });
        rateTimer_.start(intervalMs);
    }

    bool isBlocked(const LinkFaults& faults) const
    {
        return faults.freeze || faults.silence != silenceAtStart_ || faults.blackHole != blackHoleAtStart_;
    }

    void startBlackHole()
    {
        if (std::exchange(isBlackHoled_, true))
            return;
        dropIncoming(*caller_);
        dropIncoming(*target_);
    }

    void transfer(QTcpSocket* from, QTcpSocket* to, int delayMs)
    {
        if (to->state() != QAbstractSocket::ConnectedState || from->bytesAvailable() == 0)
            return;
        if (from == caller_ && bytesPerInterval_ > 0 && !std::exchange(mayRead_, false))
            return;
        // If the delay becomes shorter, bytes must not overtake earlier ones.
        std::deque<Chunk>& chunks = from == caller_ ? towardsTarget_ : towardsCaller_;
        const qint64 now = QDateTime::currentMSecsSinceEpoch();
        const qint64 previousDueAt = chunks.empty() ? 0 : chunks.back().dueAt;
        chunks.push_back({ .bytes = from->readAll(), .dueAt = std::max(now + delayMs, previousDueAt) });
        deliver(to, chunks);
    }

    void deliver(QTcpSocket* to, std::deque<Chunk>& chunks)
    {
        const qint64 now = QDateTime::currentMSecsSinceEpoch();
        while (!chunks.empty() && chunks.front().dueAt <= now) {
            to->write(chunks.front().bytes);
            chunks.pop_front();
        }
        if (!chunks.empty())
            QTimer::singleShot(static_cast<int>(chunks.front().dueAt - now), to, [this, to, &chunks] { deliver(to, chunks); });
    }

    void close()
    {
        const LinkFaults faults = faults_();
        if (closing_ || (!faults.cut && isBlocked(faults)))
            return;
        closing_ = true;
        forward();
        constexpr int lingerMs = 100;
        const qint64 now = QDateTime::currentMSecsSinceEpoch();
        const qint64 lastDue = std::max({ now, towardsCaller_.empty() ? now : towardsCaller_.back().dueAt, towardsTarget_.empty() ? now : towardsTarget_.back().dueAt });
        const int wait = static_cast<int>(lastDue - now) + faults.delayMs + (caller_->bytesToWrite() > 0 ? lingerMs : 0);
        QTimer::singleShot(faults.cut ? 0 : wait, this, [this, faults] {
            if (faults.cut) {
                caller_->abort();
                target_->abort();
            } else {
                caller_->disconnectFromHost();
                target_->disconnectFromHost();
            }
            deleteLater();
        });
    }

    QTcpSocket* caller_;
    QTcpSocket* target_;
    std::deque<Chunk> towardsCaller_;
    std::deque<Chunk> towardsTarget_;
    ReadFaults faults_;
    int silenceAtStart_;
    int blackHoleAtStart_;
    QTimer rateTimer_;
    int bytesPerInterval_ = 0; // 0: no limit
    bool mayRead_ = false; // in this interval
    bool isBlackHoled_ = false;
    bool closing_ = false;
};

// One TCP link.
class TcpLink : public QObject {
public:
    TcpLink(const Target& listen, const Target& target, ReadFaults faults)
        : target_(target)
        , faults_(std::move(faults))
    {
        connect(&server_, &QTcpServer::newConnection, this, &TcpLink::accept);
        if (!server_.listen(listen.address, listen.port)) {
            std::cerr << "cannot listen on port " << listen.port << '\n';
            std::exit(1);
        }
    }

    void applyFaults()
    {
        for (const QPointer<ProxiedConnection>& connection : connections_) {
            if (connection)
                connection->forward();
        }
    }

private:
    void accept()
    {
        while (QTcpSocket* socket = server_.nextPendingConnection()) {
            if (faults_().cut) {
                socket->abort();
                socket->deleteLater();
                continue;
            }
            std::erase_if(connections_, [](const QPointer<ProxiedConnection>& connection) { return connection.isNull(); });
            connections_.emplace_back(new ProxiedConnection(socket, target_, faults_));
        }
    }

    QTcpServer server_;
    Target target_;
    ReadFaults faults_;
    std::vector<QPointer<ProxiedConnection>> connections_;
};

// One UDP link. It forwards only towards the target, because nodes send to a peer's address from their own socket.
class UdpLink : public QObject {
public:
    UdpLink(const Target& listen, const Target& target, ReadFaults faults)
        : target_(target)
        , faults_(std::move(faults))
    {
        connect(&socket_, &QUdpSocket::readyRead, this, &UdpLink::read);
        if (!socket_.bind(listen.address, listen.port)) {
            std::cerr << "cannot bind port " << listen.port << '\n';
            std::exit(1);
        }
    }

private:
    void read()
    {
        while (socket_.hasPendingDatagrams()) {
            const QNetworkDatagram datagram = socket_.receiveDatagram();
            const QByteArray bytes = datagram.data();
            const QString sender = datagram.senderAddress().toString() + ":" + QString::number(datagram.senderPort());
            const LinkFaults faults = faults_();
            if (faults.cut || faults.freeze || faults.cutFrom.contains(sender))
                continue;
            if (faults.delayMs == 0)
                socket_.writeDatagram(bytes, target_.address, target_.port);
            else
                QTimer::singleShot(faults.delayMs, this, [this, bytes] { socket_.writeDatagram(bytes, target_.address, target_.port); });
        }
    }

    QUdpSocket socket_;
    Target target_;
    ReadFaults faults_;
};

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    options::options_description description("The fault-injecting proxy");
    addStandInOptions(description);
    description.add_options()("link", options::value<std::vector<std::string>>()->required(), "NAME,LISTEN,TARGET[,udp]");
    const auto values = readOptions(argc, argv, description);
    StandIn standIn(values, [](const std::shared_ptr<Exchange>& exchange) { exchange->sendJson(404, {}); });
    std::vector<std::unique_ptr<TcpLink>> tcpLinks;
    std::vector<std::unique_ptr<UdpLink>> udpLinks;
    for (const std::string& link : values["link"].as<std::vector<std::string>>()) {
        const QStringList parts = QString::fromStdString(link).split(',');
        if (parts.size() < 3) {
            std::cerr << "write --link NAME,LISTEN,TARGET[,udp]\n";
            return 2;
        }
        auto faults = [&standIn, name = parts[0].toStdString()] {
            const int delayMs = standIn.fault((name + ".delay_ms").c_str());
            return LinkFaults { .cut = standIn.hasFault((name + ".cut").c_str()),
                .freeze = standIn.hasFault((name + ".freeze").c_str()),
                .dropAnswers = standIn.hasFault((name + ".drop_answers").c_str()),
                .silence = standIn.fault((name + ".silence").c_str()),
                .blackHole = standIn.fault((name + ".black_hole").c_str()),
                .delayMs = delayMs,
                .answerDelayMs = standIn.faults()[QString::fromStdString(name + ".answer_delay_ms")].toInt(delayMs),
                .bytesPerSecond = standIn.fault((name + ".bytes_per_s").c_str()),
                .cutFrom = standIn.faults()[QString::fromStdString(name + ".cut_from")].toString().split(',', Qt::SkipEmptyParts) };
        };
        if (parts.size() > 3 && parts[3] == "udp")
            udpLinks.push_back(std::make_unique<UdpLink>(parseTarget(parts[1]), parseTarget(parts[2]), faults));
        else
            tcpLinks.push_back(std::make_unique<TcpLink>(parseTarget(parts[1]), parseTarget(parts[2]), faults));
    }
    standIn.onFaultsChanged = [&] {
        for (const auto& link : tcpLinks)
            link->applyFaults();
    };
    return QCoreApplication::exec();
}
