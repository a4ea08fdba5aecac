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

// HTTP calls to endpoints and the platform through Qt's network access, on the thread that owns
// the client.
//
//   HttpClient client;
//   client.start({ .url = url, .body = body }, { .onDone = [](const CallResult& result) { ... } });
//
// Every call opens a connection of its own and sends its body once: a kept connection that has
// gone silent can then harm only the call on it, and Qt can not repeat a request by itself.

class QNetworkAccessManager;
class QNetworkReply;

namespace hemlockweir {

// One call.
struct CallOptions {
    QByteArray method = "POST"; // GET, POST, PUT or DELETE
    QUrl url; // http://ADDRESS:PORT/path, ADDRESS an IP number
    std::vector<HttpHeader> headers;
    QByteArray body;
    Millis firstByteTimeout { 5000 }; // ms, from start to the answer's head
    Millis silenceTimeout { 5000 }; // ms, between pieces of the answer; 0: none
};

// How a call ended.
enum class CallEnd {
    Answered, // the whole answer arrived, whatever its status
    NotSent, // no byte of the request left this process
    Broken, // the connection failed after the request may have been sent
    TimedOut, // a timeout passed after the request may have been sent
    Cancelled, // cancel() was called
};

// The result of one call.
struct CallResult {
    CallEnd end = CallEnd::NotSent;
    int status = 0; // HTTP status, 0 if no head arrived
    QByteArray contentType; // as the answer's head says
    QByteArray body; // empty when onData took the pieces
    QString error; // text for logs

    bool isSuccess() const { return end == CallEnd::Answered && status >= 200 && status < 300; }
};

// What the caller of start() wants to hear; unset hooks are skipped.
struct CallHooks {
    std::function<void(int status)> onHead; // once, before any data
    std::function<void(const QByteArray&)> onData; // each piece; only for status 200
    std::function<void(const CallResult&)> onDone; // once, last; not after cancel()
};

// A running call; destroying it cancels.
class HttpCall : public QObject {
    Q_OBJECT
public:
    ~HttpCall() override;

    // Ends the call without further hooks.
    void cancel();

    // Whether any byte of the request may have left this process.
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

// Opens calls; keeps as many Qt managers as the busiest endpoint needs, since each runs at most
// six calls to one host and queues the rest unseen.
class HttpClient : public QObject {
    Q_OBJECT
public:
    HttpClient();
    ~HttpClient() override;

    // Starts a call. Keep the pointer for as long as the call is wanted.
    std::shared_ptr<HttpCall> start(CallOptions options, CallHooks hooks);

private:
    struct Manager;
    struct Managers;

    std::shared_ptr<Managers> managers_;
};

} // namespace hemlockweir
