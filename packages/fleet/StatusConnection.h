#pragma once

#include "base/Clock.h"

#include <QTcpSocket>
#include <QUrl>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

// One kept connection to an instance, for GET /status and nothing else. Repeating such a request is
// harmless, so a request that a kept connection lost is sent once more on a new one.
//
// Qt carries the bytes on the thread's own event loop, and Boost.Beast reads the answer.

namespace hemlockweir {

class StatusConnection : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string address; // ADDRESS:PORT
        Millis reuseTimeout { 550 }; // ms without an answer after which a kept connection is replaced
        Millis responseTimeout { 1500 }; // ms without an answer after which a new one is
        Clock clock;
        std::function<void(const std::string& body, Millis polledAt)> onResponse; // status 200, whole
        std::function<void()> onUnreachable; // refused, or lost before the answer
        std::function<void()> onClosed; // a kept connection ended between two requests
    };

    explicit StatusConnection(Options options);
    ~StatusConnection() override;

    // Asks, unless an answer is on its way in time.
    void poll();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void open();
    void close();
    void send();
    void readResponse();
    void handleClosed();
    void finish();
    void fail();

    Options options_;
    QUrl url_;
    QByteArray request_;
    std::unique_ptr<QTcpSocket> socket_;
    std::optional<Parser> parser_;
    QByteArray unread_; // of a head that is not whole yet
    bool isConnected_ = false;
    bool isPolling_ = false;
    bool isReused_ = false; // an answer has come on this connection before
    Millis polledAt_ { 0 };
};

} // namespace hemlockweir
