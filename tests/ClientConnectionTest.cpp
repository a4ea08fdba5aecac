#include "http/ClientConnection.h"
#include "support/ScriptedEndpoint.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

// Tests of exchanges on one connection with a server that answers before it has read the whole request.

using namespace hemlockweir;

namespace asio = boost::asio;

namespace {

// More than the sockets of both sides buffer, so that the client always has bytes left to write.
constexpr size_t uploadBytes = 64 * 1024 * 1024;

class EarlyAnswer : public testing::Test {
protected:
    EarlyAnswer()
    {
        connection_->exchange(absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", uploadBytes, "\r\n\r\n", std::string(uploadBytes, 'u')),
            {
                .onHead = [](const ResponseHead&) {},
                .onBody = [this](std::string_view bytes) { body_ += bytes; },
                .onEnd = [this](ExchangeEnd end) { end_ = end; },
            });
        runUntil(context_, [this] { return connection_->wasSent(); });
        server_ = acceptor_.accept();
    }

    void answer(const std::string& bytes) { asio::write(server_, asio::buffer(bytes)); }

    // Closes without a FIN: the client gets a reset.
    void resetConnection()
    {
        server_.set_option(asio::socket_base::linger(true, 0));
        server_.close();
    }

    ExchangeEnd awaitEnd()
    {
        runUntil(context_, [this] { return end_.has_value(); });
        return end_.value_or(ExchangeEnd::NotConnected);
    }

    const std::string head_ = "HTTP/1.1 200 OK\r\n";
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_ { context_, { asio::ip::make_address("127.0.0.1"), 0 } };
    asio::ip::tcp::socket server_ { context_ };
    std::shared_ptr<ClientConnection> connection_ = std::make_shared<ClientConnection>(context_, ClientConnection::Options { .address = "127.0.0.1", .port = acceptor_.local_endpoint().port(), .clock = makeSteadyClock() });
    std::string body_;
    std::optional<ExchangeEnd> end_;
};

// Guards against a truncated answer that looks whole: the write of the rest of the upload failed first and took the reset
// from the socket, so that the read after it saw an orderly close.
TEST_F(EarlyAnswer, ResetDuringTheUploadBreaksAnAnswerWithoutALength)
{
    answer(head_ + "\r\nhalf");
    resetConnection();
    EXPECT_EQ(awaitEnd(), ExchangeEnd::Broken);
}

TEST_F(EarlyAnswer, ResetAfterPartOfAnAnswerWithoutALengthWasRead)
{
    answer(head_ + "\r\nhalf");
    runUntil(context_, [this] { return body_ == "half"; });
    resetConnection();
    EXPECT_EQ(awaitEnd(), ExchangeEnd::Broken);
}

TEST_F(EarlyAnswer, OrderlyCloseDuringTheUploadCompletesAnAnswerWithoutALength)
{
    answer(head_ + "\r\nwhole");
    server_.shutdown(asio::ip::tcp::socket::shutdown_send);
    EXPECT_EQ(awaitEnd(), ExchangeEnd::Complete);
    EXPECT_EQ(body_, "whole");
}

// The server ends its answer, and closes with the rest of the upload unread, which resets the connection.
TEST_F(EarlyAnswer, ResetAfterAnOrderlyCloseLeavesTheAnswerComplete)
{
    answer(head_ + "\r\nwhole");
    server_.shutdown(asio::ip::tcp::socket::shutdown_send);
    server_.close();
    EXPECT_EQ(awaitEnd(), ExchangeEnd::Complete);
    EXPECT_EQ(body_, "whole");
}

// A whole answer that has a length stays whole, but the connection can't be used again.
TEST_F(EarlyAnswer, ConnectionWithAFailedWriteIsNotReused)
{
    answer(head_ + "Content-Length: 5\r\n\r\nwho");
    runUntil(context_, [this] { return body_ == "who"; });
    answer("le");
    server_.shutdown(asio::ip::tcp::socket::shutdown_send);
    server_.close();
    EXPECT_EQ(awaitEnd(), ExchangeEnd::Complete);
    EXPECT_FALSE(connection_->isReusable());
}

} // namespace
