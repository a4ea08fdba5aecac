#include "LoadGenerator.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace hemlockweir {

// Must stay below 2^53, the limit for exact integers in JSON.
static constexpr int generationSeed = 7;

// Returns the text that the stand-in engines generate for a prompt.
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
    Call(const std::string& node, const Arrival& arrival, int attempts)
        : arrival_(arrival)
        , attempts_(attempts)
    {
        const QUrl url(QString::fromStdString("http://" + node));
        elapsed_.start();
        socket_.connectToHost(QHostAddress(url.host()), static_cast<quint16>(url.port()));
        socket_.write(makeRequest(node));
        QObject::connect(&socket_, &QTcpSocket::readyRead, [this] { read(); });
        QObject::connect(&socket_, &QTcpSocket::disconnected, [this] { isFinished_ = true; });
        QObject::connect(&socket_, &QTcpSocket::errorOccurred, [this] { isFinished_ = true; });
    }

    bool isFinished(Millis timeout) const { return isFinished_ || elapsed_.hasExpired(timeout.count()); }

    const Arrival& arrival() const { return arrival_; }
    int attempts() const { return attempts_; }

    Sample makeSample() const
    {
        Sample sample { .caller = arrival_.caller, .priority = arrival_.priority, .tokens = arrival_.tokens, .firstTokenMs = firstTokenMs_, .isOrder = isOrder() };
        if (received_.contains("\"not_run\""))
            sample.outcome = CallerOutcome::Refused;
        else if (isOrder())
            sample.outcome = received_.startsWith("HTTP/1.1 200") && received_.contains("\"order\"") ? CallerOutcome::Complete : CallerOutcome::Failed;
        else if (received_.contains("[DONE]") && answerText() == expectedText(arrival_))
            sample.outcome = CallerOutcome::Complete;
        if (sample.outcome == CallerOutcome::Failed)
            sample.error = errorText();
        return sample;
    }

private:
    bool isOrder() const { return !arrival_.orderKey.empty(); }

    QByteArray makeRequest(const std::string& node) const
    {
        return isOrder() ? makeOrder(node) : makeCompletion(node);
    }

    QByteArray makeHead(const QByteArray& path, const std::string& node, qsizetype bodySize) const
    {
        return "POST " + path + " HTTP/1.1\r\nHost: " + QByteArray::fromStdString(node) + "\r\nConnection: close\r\nContent-Type: application/json\r\nAuthorization: Bearer "
            + QByteArray::fromStdString(benchCallers()[arrival_.caller].key()) + "\r\nX-Priority: " + QByteArray::fromStdString(benchPriorities()[arrival_.priority].name)
            + "\r\nContent-Length: " + QByteArray::number(bodySize) + "\r\n";
    }

    QByteArray makeOrder(const std::string& node) const
    {
        const QByteArray key = QByteArray::fromStdString(arrival_.orderKey);
        const QByteArray body = "{\"plate\":\"" + key + "\"}";
        return makeHead("/orders", node, body.size()) + "Idempotency-Key: " + key + "\r\n\r\n" + body;
    }

    QByteArray makeCompletion(const std::string& node) const
    {
        const QJsonObject object { { "model", "m" }, { "prompt", QString::fromStdString(arrival_.prompt) }, { "max_tokens", arrival_.tokens }, { "stream", true }, { "seed", generationSeed } };
        const QByteArray body = QJsonDocument(object).toJson(QJsonDocument::Compact);
        return makeHead("/v1/completions", node, body.size()) + "\r\n" + body;
    }

    void read()
    {
        received_ += socket_.readAll();
        if (firstTokenMs_ < 0 && received_.contains("\"text\":\" "))
            firstTokenMs_ = static_cast<double>(elapsed_.nsecsElapsed()) / 1e6;
        // The response to an order ends when the connection closes.
        if (!isOrder() && (received_.contains("[DONE]") || received_.contains("\"outcome\":")))
            isFinished_ = true;
    }

    std::string errorText() const
    {
        const QByteArray text = textAfter("\"message\":\"", 0);
        if (!text.isEmpty())
            return text.toStdString();
        return received_.isEmpty() ? "connection closed without a response" : "response truncated or incorrect";
    }

    QByteArray textAfter(const QByteArray& field, qsizetype from) const
    {
        const qsizetype at = received_.indexOf(field, from);
        return at < 0 ? QByteArray() : received_.mid(at + field.size(), received_.indexOf('"', at + field.size()) - at - field.size());
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
    int attempts_; // times sent, including this one; above 1 only for orders
    QTcpSocket socket_;
    QElapsedTimer elapsed_;
    QByteArray received_;
    double firstTokenMs_ = -1;
    bool isFinished_ = false;
};

LoadGenerator::LoadGenerator(LoadOptions options)
    : options_(std::move(options))
{
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, [this] {
        sendDue();
        sendDueRetries();
        collectFinishedCalls();
    });
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::send(const Arrival& arrival, int attempts)
{
    const size_t count = options_.nodes.size();
    for (size_t tries = 0; tries < count && options_.isInRotation && !options_.isInRotation(nextNode_ % count); ++tries)
        ++nextNode_;
    calls_.push_back(std::make_unique<Call>(options_.nodes[nextNode_++ % count], arrival, attempts));
}

void LoadGenerator::sendDue()
{
    for (; nextArrival_ < options_.arrivals.size() && options_.arrivals[nextArrival_].at.count() <= clock_.elapsed(); ++nextArrival_) {
        maxLagMs_ = std::max<qint64>(maxLagMs_, clock_.elapsed() - options_.arrivals[nextArrival_].at.count());
        send(options_.arrivals[nextArrival_], 1);
    }
}

void LoadGenerator::sendDueRetries()
{
    for (const Retry& retry : retries_) {
        if (retry.at <= clock_.elapsed())
            send(retry.arrival, retry.attempts + 1);
    }
    std::erase_if(retries_, [this](const Retry& retry) { return retry.at <= clock_.elapsed(); });
}

bool LoadGenerator::shouldRetry(const Call& call) const
{
    constexpr int maxAttempts = 8;
    const Sample sample = call.makeSample();
    return sample.isOrder && sample.outcome != CallerOutcome::Complete && call.attempts() < maxAttempts;
}

Sample LoadGenerator::addDelay(Sample sample) const
{
    if (sample.firstTokenMs >= 0)
        sample.firstTokenMs += 2 * options_.delayMs;
    return sample;
}

void LoadGenerator::collectFinishedCalls()
{
    constexpr qint64 retryDelayMs = 500;
    std::erase_if(calls_, [this](const std::unique_ptr<Call>& call) {
        if (!call->isFinished(options_.timeout))
            return false;
        if (shouldRetry(*call))
            retries_.push_back({ .at = clock_.elapsed() + retryDelayMs, .arrival = call->arrival(), .attempts = call->attempts() });
        else
            samples_.push_back(addDelay(call->makeSample()));
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
