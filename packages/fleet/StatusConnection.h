#pragma once

#include "base/Clock.h"

#include <QTcpSocket>
#include <QUrl>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

// A persistent HTTP connection to an instance that only sends GET /status. The request is
// idempotent, so if it fails on a reused connection, it is retried once on a new one.
//
// Qt transfers the bytes on the thread's event loop, and Boost.Beast parses the response.

namespace hemlockweir {

class StatusConnection : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string address; // ADDRESS:PORT
        Millis reuseTimeout { 550 }; // ms without a response after which a reused connection is replaced
        Millis responseTimeout { 1500 }; // ms without a response after which a new connection is replaced
        Clock clock;
        std::function<void(const std::string& body, Millis polledAt)> onResponse; // complete response with status 200
        std::function<void()> onUnreachable; // connection refused, or closed or corrupted before the response was complete
        std::function<void()> onClosed; // a persistent connection closed between two requests
    };

    explicit StatusConnection(Options options);
    ~StatusConnection() override;

    // Sends a request, unless a previous one is pending and has not timed out.
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
    QByteArray unread_; // incomplete header, not parsed yet
    bool isConnected_ = false;
    bool isPolling_ = false;
    bool isReused_ = false; // this connection has already delivered a response
    Millis polledAt_ { 0 };
};

} // namespace hemlockweir
