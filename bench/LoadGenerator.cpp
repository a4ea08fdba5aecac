#include "LoadGenerator.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace hemlockweir {

// Stays below 2^53 so that it is exact in JSON.
static constexpr int generationSeed = 7;

// The stand-in engines generate this text for a prompt.
static QByteArray expectedText(const Arrival& arrival)
{
    const QByteArray seed = QByteArray::fromStdString(arrival.prompt) + "[]" + QByteArray::number(generationSeed);
    QByteArray text;
    for (int i = 0; i < arrival.tokens; ++i)
        text += " " + QCryptographicHash::hash(seed + QByteArray::number(i), QCryptographicHash::Md5).toHex().left(4);
    return text;
}

class LoadGenerator::Call {
public:
    Call(const std::string& node, const Arrival& arrival)
        : arrival_(arrival)
    {
        const QUrl url(QString::fromStdString("http://" + node));
        started_.start();
        socket_.connectToHost(QHostAddress(url.host()), static_cast<quint16>(url.port()));
        socket_.write(makeRequest(node));
        QObject::connect(&socket_, &QTcpSocket::readyRead, [this] { read(); });
        QObject::connect(&socket_, &QTcpSocket::disconnected, [this] { over_ = true; });
        QObject::connect(&socket_, &QTcpSocket::errorOccurred, [this] { over_ = true; });
    }

    bool isOver(Millis patience) const { return over_ || started_.hasExpired(patience.count()); }

    Sample makeSample() const
    {
        Sample sample { .caller = arrival_.caller, .priority = arrival_.priority, .tokens = arrival_.tokens, .firstTokenMs = firstTokenMs_ };
        if (received_.contains("\"not_run\""))
            sample.outcome = CallerOutcome::Refused;
        else if (received_.contains("[DONE]") && answerText() == expectedText(arrival_))
            sample.outcome = CallerOutcome::Whole;
        return sample;
    }

private:
    QByteArray makeRequest(const std::string& node) const
    {
        const QJsonObject object { { "model", "m" }, { "prompt", QString::fromStdString(arrival_.prompt) }, { "max_tokens", arrival_.tokens }, { "stream", true }, { "seed", generationSeed } };
        const QByteArray body = QJsonDocument(object).toJson(QJsonDocument::Compact);
        return "POST /v1/completions HTTP/1.1\r\nHost: " + QByteArray::fromStdString(node) + "\r\nConnection: close\r\nContent-Type: application/json\r\nAuthorization: Bearer "
            + QByteArray::fromStdString(benchCallers()[arrival_.caller].key()) + "\r\nX-Priority: " + QByteArray::fromStdString(benchPriorities()[arrival_.priority].name)
            + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    }

    void read()
    {
        received_ += socket_.readAll();
        if (firstTokenMs_ < 0 && received_.contains("\"text\":\" "))
            firstTokenMs_ = static_cast<double>(started_.nsecsElapsed()) / 1e6;
        if (received_.contains("[DONE]") || received_.contains("\"outcome\":"))
            over_ = true;
    }

    QByteArray answerText() const
    {
        static const QByteArray field = "\"text\":\"";
        QByteArray text;
        for (qsizetype at = received_.indexOf(field); at >= 0; at = received_.indexOf(field, at)) {
            at += field.size();
            text += received_.mid(at, received_.indexOf('"', at) - at);
        }
        return text;
    }

    Arrival arrival_;
    QTcpSocket socket_;
    QElapsedTimer started_;
    QByteArray received_;
    double firstTokenMs_ = -1;
    bool over_ = false;
};

LoadGenerator::LoadGenerator(LoadOptions options)
    : options_(std::move(options))
{
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, [this] {
        sendDue();
        sweep();
    });
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::sendDue()
{
    for (; next_ < options_.arrivals.size() && options_.arrivals[next_].at.count() <= clock_.elapsed(); ++next_)
        calls_.push_back(std::make_unique<Call>(options_.nodes[next_ % options_.nodes.size()], options_.arrivals[next_]));
}

void LoadGenerator::sweep()
{
    std::erase_if(calls_, [this](const std::unique_ptr<Call>& call) {
        if (!call->isOver(options_.patience))
            return false;
        samples_.push_back(call->makeSample());
        return true;
    });
}

std::vector<Sample> LoadGenerator::run()
{
    clock_.start();
    timer_.start(2);
    while (samples_.size() < options_.arrivals.size())
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    timer_.stop();
    return std::move(samples_);
}

} // namespace hemlockweir
