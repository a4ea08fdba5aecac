#include "http/HttpClient.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <cstring>
#include <map>

namespace hemlockweir {

// Qt 6.4 opens at most this many connections per host and manager at once, and queues further calls.
static constexpr int callsPerHostAndManager = 6;

// A sequential request body. It can't be rewound, so Qt can't send it a second time.
class HttpCall::Body : public QIODevice {
public:
    explicit Body(const QByteArray& bytes)
        : bytes_(bytes)
    {
        open(QIODevice::ReadOnly | QIODevice::Unbuffered);
    }

    bool isSequential() const override { return true; }
    qint64 bytesAvailable() const override { return bytes_.size() - position_ + QIODevice::bytesAvailable(); }
    bool wasRead() const { return wasRead_; }

protected:
    qint64 readData(char* data, qint64 maxSize) override
    {
        wasRead_ = true;
        const qint64 count = std::min<qint64>(maxSize, bytes_.size() - position_);
        if (count == 0)
            return -1;
        std::memcpy(data, bytes_.constData() + position_, static_cast<size_t>(count));
        position_ += count;
        return count;
    }

    qint64 writeData(const char*, qint64) override { return -1; }

private:
    QByteArray bytes_;
    qint64 position_ = 0;
    bool wasRead_ = false;
};

HttpCall::HttpCall(CallOptions options, CallHooks hooks)
    : options_(std::move(options))
    , hooks_(std::move(hooks))
    , sequentialBody_(std::make_shared<Body>(options_.body))
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, &HttpCall::handleTimeout);
}

HttpCall::~HttpCall()
{
    cancel();
}

// Qt writes the head together with the first bytes of the body. If the body was not read, nothing was sent.
// An empty body is never read: in that case only a refused connection proves that nothing was sent.
bool HttpCall::mayHaveBeenSent() const
{
    if (headSeen_ || sequentialBody_->wasRead())
        return true;
    return options_.body.isEmpty() && !(reply_ && reply_->error() == QNetworkReply::ConnectionRefusedError);
}

void HttpCall::attach(QNetworkReply* reply)
{
    reply_ = reply;
    // The reply may read the body until the reply is destroyed, which may happen after this call is destroyed.
    connect(reply, &QObject::destroyed, [body = sequentialBody_] {});
    timer_.start(options_.firstByteTimeout);
    connect(reply, &QNetworkReply::metaDataChanged, this, [this] {
        if (headSeen_ || !reply_)
            return;
        headSeen_ = true;
        restartSilenceTimer();
        if (hooks_.onHead)
            hooks_.onHead(reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt());
    });
    connect(reply, &QNetworkReply::readyRead, this, &HttpCall::readData);
    connect(reply, &QNetworkReply::finished, this, &HttpCall::finish);
}

void HttpCall::restartSilenceTimer()
{
    if (options_.silenceTimeout.count() > 0)
        timer_.start(options_.silenceTimeout);
    else
        timer_.stop();
}

void HttpCall::readData()
{
    if (done_ || !reply_)
        return;
    restartSilenceTimer();
    const QByteArray piece = reply_->readAll();
    const int status = reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (hooks_.onData && status == 200)
        hooks_.onData(piece);
    else
        received_ += piece;
}

void HttpCall::handleTimeout()
{
    timedOut_ = true;
    if (reply_)
        reply_->abort();
}

static CallEnd classifyEnd(const QNetworkReply& reply, bool timedOut, bool maySent, int status)
{
    if (timedOut)
        return maySent ? CallEnd::TimedOut : CallEnd::NotSent;
    if (reply.error() == QNetworkReply::NoError)
        return CallEnd::Answered;
    // Qt reports a 4xx or 5xx answer as an error although the answer is complete.
    const bool contentError = reply.error() >= QNetworkReply::ContentAccessDenied && reply.error() != QNetworkReply::ContentReSendError
        && reply.error() <= QNetworkReply::UnknownServerError;
    if (status >= 300 && contentError)
        return CallEnd::Answered;
    return maySent ? CallEnd::Broken : CallEnd::NotSent;
}

void HttpCall::finish()
{
    if (done_ || !reply_)
        return;
    if (reply_->bytesAvailable() > 0)
        readData();
    if (done_ || !reply_)
        return;
    done_ = true;
    timer_.stop();
    CallResult result;
    result.status = reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    result.end = classifyEnd(*reply_, timedOut_, mayHaveBeenSent(), result.status);
    result.contentType = reply_->header(QNetworkRequest::ContentTypeHeader).toByteArray();
    result.body = received_;
    result.error = timedOut_ ? QStringLiteral("timeout") : reply_->errorString();
    reply_->deleteLater();
    reply_ = nullptr;
    if (onRelease_)
        onRelease_();
    // The callback may destroy this call, and with it hooks_.
    const auto onDone = std::move(hooks_.onDone);
    if (onDone)
        onDone(result);
}

void HttpCall::cancel()
{
    if (done_)
        return;
    done_ = true;
    timer_.stop();
    if (!reply_)
        return;
    reply_->disconnect(this);
    reply_->abort();
    reply_->deleteLater();
    reply_ = nullptr;
    if (onRelease_)
        onRelease_();
}

struct HttpClient::Manager {
    QNetworkAccessManager network;
    std::map<QString, int> callsByHost;
};

struct HttpClient::Managers {
    std::vector<std::unique_ptr<Manager>> all;

    // Returns a manager that can run another call to this host at once; creates one if needed.
    Manager& findFree(const QString& host)
    {
        for (const auto& manager : all) {
            if (manager->callsByHost[host] < callsPerHostAndManager)
                return *manager;
        }
        auto& manager = *all.emplace_back(std::make_unique<Manager>());
        manager.network.setProxy(QNetworkProxy::NoProxy);
        manager.network.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
        return manager;
    }
};

HttpClient::HttpClient()
    : managers_(std::make_shared<Managers>())
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::start(CallOptions options, CallHooks hooks)
{
    const QString host = options.url.authority();
    Manager& manager = managers_->findFree(host);
    ++manager.callsByHost[host];

    QNetworkRequest request(options.url);
    for (const HttpHeader& header : options.headers)
        request.setRawHeader(header.name, header.value);
    request.setRawHeader("Connection", "close");
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);

    std::shared_ptr<HttpCall> call(new HttpCall(std::move(options), std::move(hooks)));
    // Weak, because a call may outlive its client.
    call->onRelease_ = [weak = std::weak_ptr(managers_), raw = &manager, host] {
        if (const auto managers = weak.lock()) {
            if (--raw->callsByHost[host] == 0)
                raw->callsByHost.erase(host);
        }
    };
    // Even a GET gets an (empty) body device: without one, Qt may resend the request.
    if (!request.hasRawHeader("Content-Type") && !call->options_.body.isEmpty())
        request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setHeader(QNetworkRequest::ContentLengthHeader, call->options_.body.size());
    call->attach(manager.network.sendCustomRequest(request, call->options_.method, call->sequentialBody_.get()));
    return call;
}

} // namespace hemlockweir
