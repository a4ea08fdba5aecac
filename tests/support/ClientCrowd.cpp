#include "support/ClientCrowd.h"

#include <QHostAddress>
#include <algorithm>

namespace hemlockweir {

static constexpr qsizetype partBytes = 16 * 1024;
static constexpr qsizetype maxDatagramBytes = 20000;
static constexpr int maxPipelined = 40;

// What a client sends: first a head, then the same part again and again until `bytes` were sent.
struct ClientKind {
    QByteArray head;
    QByteArray part;
    qint64 bytes = std::numeric_limits<qint64>::max();
    bool readsAnswers = true;
};

struct ClientCrowd::Client {
    QTcpSocket socket;
    ClientKind kind;
    qint64 sent = 0;
    bool hasSentHead = false;
};

static ClientKind makeKind(uint64_t number, const QByteArray& path)
{
    const QByteArray post = "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\n";
    const QByteArray chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const QByteArray get = "GET " + path + " HTTP/1.1\r\nHost: soak.test\r\n\r\n";
    const QByteArray filling(partBytes, 'x');
    constexpr qint64 chunkBytes = 1000000;
    const std::vector<ClientKind> kinds {
        { .head = chunked + "2\r\nhi\r\n0\r\nTrailer: ", .part = filling },
        { .head = chunked + QByteArray::number(chunkBytes, 16) + "\r\n", .part = filling, .bytes = chunkBytes - partBytes },
        { .head = chunked, .part = QByteArray("1\r\nx\r\n").repeated(partBytes / 6) },
        { .head = post + "Content-Length: 900000\r\n\r\n", .part = filling, .bytes = 900000 - partBytes },
        { .head = post + "Content-Length: 90000000\r\n\r\n", .part = filling },
        { .head = "GET " + path + " HTTP/1.1\r\nX-Long: ", .part = filling },
        { .head = "GET " + path + " HTTP/1.1\r\nX-Slow: ", .part = "x" },
        { .head = get, .part = get },
        { .head = get, .part = get.repeated(maxPipelined), .readsAnswers = false },
        { .head = post + "Content-Length: 2\r\n\r\n{}", .part = post + "Content-Length: 2\r\n\r\n{}" },
        { .head = "G", .part = {}, .bytes = 0 },
    };
    return kinds[number % kinds.size()];
}

ClientCrowd::ClientCrowd(std::vector<CrowdAddress> addresses, Random random, size_t clients)
    : random_(std::move(random))
{
    for (CrowdAddress& address : addresses)
        (address.isDatagram ? datagrams_ : streams_).push_back(std::move(address));
    for (size_t i = 0; i < clients; ++i)
        clients_.push_back(std::make_unique<Client>());
}

ClientCrowd::~ClientCrowd() = default;

static QHostAddress hostOf(const std::string& endpoint)
{
    return QHostAddress(QString::fromStdString(endpoint.substr(0, endpoint.rfind(':'))));
}

static quint16 portOf(const std::string& endpoint)
{
    return static_cast<quint16>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
}

void ClientCrowd::reconnect(Client& client)
{
    const CrowdAddress& address = streams_[random_() % streams_.size()];
    client.kind = makeKind(random_(), address.path);
    client.sent = 0;
    client.hasSentHead = false;
    client.socket.abort();
    client.socket.setReadBufferSize(client.kind.readsAnswers ? 0 : 1);
    client.socket.connectToHost(hostOf(address.endpoint), portOf(address.endpoint));
    ++connections_;
}

void ClientCrowd::sendDatagram(const CrowdAddress& address)
{
    udp_.writeDatagram(QByteArray(static_cast<qsizetype>(random_() % maxDatagramBytes), static_cast<char>(random_())), hostOf(address.endpoint), portOf(address.endpoint));
}

void ClientCrowd::update()
{
    for (const auto& client : clients_) {
        if (client->socket.state() == QAbstractSocket::UnconnectedState)
            reconnect(*client);
        if (client->socket.state() != QAbstractSocket::ConnectedState)
            continue;
        if (client->kind.readsAnswers)
            client->socket.readAll();
        if (!std::exchange(client->hasSentHead, true))
            client->socket.write(client->kind.head);
        if (client->socket.bytesToWrite() > partBytes || client->sent >= client->kind.bytes)
            continue;
        client->sent += client->kind.part.size();
        client->socket.write(client->kind.part);
    }
    if (!datagrams_.empty())
        sendDatagram(datagrams_[random_() % datagrams_.size()]);
}

} // namespace hemlockweir
