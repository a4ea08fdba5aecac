#pragma once

#include "base/Clock.h"
#include "http/HttpServer.h"

#include <QByteArray>
#include <QObject>
#include <QTimer>
#include <QUrl>
#include <functional>
#include <memory>
#include <vector>

// An HTTP client for calls to endpoints and the platform. It uses QNetworkAccessManager and runs on the thread
// that owns the client.
//
//   HttpClient client;
//   client.start({ .url = url, .body = body }, { .onDone = [](const CallResult& result) { ... } });
//
// Every call opens its own connection and sends its body once. So an unresponsive keep-alive connection can't
// affect other calls, and Qt can't resend a request on its own.

class QNetworkAccessManager;
class QNetworkReply;

namespace hemlockweir {

// Request and timeouts of one call.
struct CallOptions {
    QByteArray method = "POST"; // GET, POST, PUT or DELETE
    QUrl url; // http://ADDRESS:PORT/path; ADDRESS is an IP address
    std::vector<HttpHeader> headers;
    QByteArray body;
    Millis firstByteTimeout { 5000 }; // ms, from start() to the answer's head
    Millis silenceTimeout { 5000 }; // ms, without receiving a piece of the answer; 0: none
};

// How a call ended.
enum class CallEnd {
    Answered, // the whole answer was received, with any status
    NotSent, // no byte of the request was sent
    Broken, // the connection failed after the request may have been sent
    TimedOut, // a timeout passed after the request may have been sent
    Cancelled, // cancel() was called
};

// The result of one call.
struct CallResult {
    CallEnd end = CallEnd::NotSent;
    int status = 0; // HTTP status, 0 if no head arrived
    QByteArray contentType; // Content-Type header of the answer
    QByteArray body; // empty when onData received the pieces
    QString error; // Qt's error text, for logs

    bool isSuccess() const { return end == CallEnd::Answered && status >= 200 && status < 300; }
};

// Callbacks of one call; unset ones are skipped.
struct CallHooks {
    std::function<void(int status)> onHead; // once, before any data
    std::function<void(const QByteArray&)> onData; // each piece; only for status 200
    std::function<void(const CallResult&)> onDone; // once, last; not after cancel()
};

// A running call. Destroying it cancels the call.
class HttpCall : public QObject {
    Q_OBJECT
public:
    ~HttpCall() override;

    // Ends the call. No callback follows.
    void cancel();

    // Returns whether any byte of the request may have been sent.
    bool mayHaveBeenSent() const;

private:
    friend class HttpClient;
    class Body;

    HttpCall(CallOptions options, CallHooks hooks);
    void attach(QNetworkReply* reply);
    void restartSilenceTimer();
    void readData();
    void finish();
    void handleTimeout();

    CallOptions options_;
    CallHooks hooks_;
    std::shared_ptr<Body> sequentialBody_;
    QNetworkReply* reply_ = nullptr;
    std::function<void()> onRelease_;
    QTimer timer_;
    QByteArray received_;
    bool headSeen_ = false;
    bool timedOut_ = false;
    bool done_ = false;
};

// Starts calls. It creates as many QNetworkAccessManagers as the busiest host needs, because each manager runs at
// most six calls to one host at once and silently queues the rest.
class HttpClient : public QObject {
    Q_OBJECT
public:
    HttpClient();
    ~HttpClient() override;

    // Starts a call. The call is cancelled when the last copy of the returned pointer is destroyed.
    std::shared_ptr<HttpCall> start(CallOptions options, CallHooks hooks);

private:
    struct Manager;
    struct Managers;

    std::shared_ptr<Managers> managers_;
};

} // namespace hemlockweir
