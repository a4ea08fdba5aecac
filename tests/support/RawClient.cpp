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
    waitUntil([this] { return socket_.state() == QAbstractSocket::ConnectedState || socket_.state() == QAbstractSocket::UnconnectedState; });
}

void RawClient::startTls()
{
    socket_.setPeerVerifyMode(QSslSocket::VerifyNone);
    socket_.startClientEncryption();
    // The event loop also reads the output of the processes under test, which would otherwise wait for it.
    waitUntil([this] { return socket_.isEncrypted() || socket_.state() == QAbstractSocket::UnconnectedState; });
}

void RawClient::stopReading()
{
    constexpr int kernelBytes = 4096;
    isReading_ = false;
    socket_.setReadBufferSize(1);
    socket_.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, kernelBytes);
}

void RawClient::send(const QByteArray& bytes)
{
    socket_.write(bytes);
    socket_.flush();
}

const QByteArray& RawClient::received()
{
    if (isReading_)
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
