#include "support/RawClient.h"

#include <QHostAddress>
#include <QUrl>

namespace hemlockweir {

RawClient::RawClient(const std::string& endpoint, const std::string& from)
{
    if (!from.empty())
        socket_.bind(QHostAddress(QString::fromStdString(from)));
    const QUrl url(QString::fromStdString("tcp://" + endpoint));
    socket_.connectToHost(url.host(), static_cast<quint16>(url.port()));
    socket_.waitForConnected();
}

void RawClient::send(const QByteArray& bytes)
{
    socket_.write(bytes);
    socket_.flush();
}

const QByteArray& RawClient::received()
{
    received_ += socket_.readAll();
    return received_;
}

QByteArray RawClient::body()
{
    const qsizetype headEnd = received().lastIndexOf("\r\n\r\n");
    return headEnd < 0 ? QByteArray() : received_.mid(headEnd + 4);
}

int RawClient::waitForStatus()
{
    constexpr qsizetype statusAt = sizeof("HTTP/1.1 ") - 1;
    waitUntil([this] { return received().contains("\r\n\r\n") || socket_.state() == QAbstractSocket::UnconnectedState; });
    return received().startsWith("HTTP/1.1 ") ? received_.mid(statusAt, 3).toInt() : 0;
}

bool RawClient::waitForText(const QByteArray& text)
{
    waitUntil([&] { return received().contains(text) || socket_.state() == QAbstractSocket::UnconnectedState; });
    return received().contains(text);
}

bool RawClient::waitForClose()
{
    return waitUntil([this] {
        received();
        return socket_.state() == QAbstractSocket::UnconnectedState;
    });
}

void RawClient::resetConnection()
{
    socket_.abort();
}

} // namespace hemlockweir
