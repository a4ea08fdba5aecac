#include "http/ServerConnection.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <glog/logging.h>

namespace hemlockweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr size_t readBufferBytes = 64 * 1024;
static constexpr std::string_view headEnd = "\r\n\r\n";
// Time for which input is read and discarded after the last answer. Closing the connection immediately would reset
// it, and the caller could lose the answer. One second covers any round trip.
static constexpr Millis lingerTimeout { 1000 };
// Pipelined bytes to buffer while a request is being processed, before reading pauses.
static constexpr size_t maxPipelinedBytes = 64 * 1024;

bool ServerLimits::operator==(const ServerLimits& other) const
{
    return request.headBytes == other.request.headBytes && request.bodyBytes == other.request.bodyBytes && headTimeout == other.headTimeout
        && bodyTimeout == other.bodyTimeout && idleTimeout == other.idleTimeout;
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    return { phrase.data(), phrase.size() };
}

ServerConnection::ServerConnection(SocketWriter::Socket socket, Options options)
    : options_(std::move(options))
    , socket_(std::move(socket))
    , writer_(socket_)
{
    error_code ignored; // a socket option that can't be set only costs latency
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

void ServerConnection::start()
{
    startedAt_ = options_.clock();
    waitForBytes();
}

void ServerConnection::waitForBytes()
{
    if (isReading_ || isClosed_)
        return;
    isReading_ = true;
    socket_.async_wait(SocketWriter::Socket::wait_read, [self = shared_from_this()](const error_code& error) {
        self->isReading_ = false;
        if (!error && !self->isClosed_)
            self->readBytes();
    });
}

void ServerConnection::readBytes()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    error_code error;
    const size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        closeSocket();
        return;
    }
    if (state_ != State::Lingering)
        unread_.append(buffer.data(), size);
    if (state_ == State::ReadingHead || state_ == State::ReadingBody)
        readRequest();
    // Above the limit for pipelined bytes, reading resumes after the current answer.
    if (state_ != State::Answering || unread_.size() <= maxPipelinedBytes)
        waitForBytes();
}

void ServerConnection::readRequest()
{
    if (state_ == State::ReadingHead && !readHead())
        return;
    if (state_ == State::ReadingBody && readBody())
        deliver();
}

// Checks the head once it is complete. Returns false while it is incomplete or when it is refused.
bool ServerConnection::readHead()
{
    // RFC 9112 allows empty lines before a request line.
    const size_t blank = unread_.find_first_not_of("\r\n");
    unread_.erase(0, std::min(blank, unread_.size()));
    if (unread_.empty())
        return false;
    if (!parser_) {
        startedAt_ = options_.clock();
        parser_.emplace();
        parser_->header_limit(static_cast<uint32_t>(options_.limits->request.headBytes));
        parser_->body_limit(options_.limits->request.bodyBytes);
        parser_->eager(true);
    }
    const size_t end = unread_.find(headEnd);
    if (hasBareLineFeed(std::string_view(unread_).substr(0, end))) {
        refuse(static_cast<int>(ScanVerdict::BadRequest), "malformed_head");
        return false;
    }
    if (end == std::string::npos || end + headEnd.size() > options_.limits->request.headBytes) {
        if (unread_.size() > options_.limits->request.headBytes)
            refuse(static_cast<int>(ScanVerdict::HeadTooLarge), "head_too_large");
        return false;
    }
    const HeadCheck check = checkRequestHead(std::string_view(unread_).substr(0, end + headEnd.size()), true);
    if (check.verdict != ScanVerdict::Ok) {
        refuse(static_cast<int>(check.verdict), "malformed_head");
        return false;
    }
    // RFC 9112, 3.2: a request of HTTP/1.1 names exactly one host.
    const bool isHttp11 = std::string_view(unread_).substr(0, unread_.find('\r')).ends_with("HTTP/1.1");
    if (check.hosts > 1 || (isHttp11 && check.hosts == 0)) {
        refuse(static_cast<int>(ScanVerdict::BadRequest), "not_one_host");
        return false;
    }
    if (check.bodyLength > options_.limits->request.bodyBytes) {
        refuse(static_cast<int>(ScanVerdict::PayloadTooLarge), "body_too_large");
        return false;
    }
    if (check.waitsForContinue)
        writer_.write("HTTP/1.1 100 Continue\r\n\r\n", shared_from_this());
    state_ = State::ReadingBody;
    return true;
}

// Parses the received part of the request. Returns true once the body is complete.
bool ServerConnection::readBody()
{
    while (!parser_->is_done() && !unread_.empty()) {
        error_code error;
        const size_t consumed = parser_->put(asio::buffer(unread_), error);
        unread_.erase(0, consumed);
        if (error == http::error::body_limit) {
            refuse(static_cast<int>(ScanVerdict::PayloadTooLarge), "body_too_large");
            return false;
        }
        if (error && error != http::error::need_more) {
            refuse(static_cast<int>(ScanVerdict::BadRequest), "malformed_request");
            return false;
        }
        if (consumed == 0)
            return false;
    }
    return parser_->is_done();
}

void ServerConnection::deliver()
{
    ServerRequest request;
    auto& message = parser_->get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.startedAt = startedAt_;
    request.number = ++requestCount_;
    request.headers.reserve(16);
    for (const auto& field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    keepsAlive_ = message.keep_alive();
    isHttp10_ = message.version() < 11;
    isHeadRequest_ = message.method() == http::verb::head;
    parser_.reset();
    state_ = State::Answering;
    options_.onRequest(shared_from_this(), std::move(request));
}

void ServerConnection::answer(int status, const std::vector<HeaderLine>& headers, std::string_view body)
{
    startAnswer(status, headers, body.size());
    sendBody(body);
    finishAnswer();
}

void ServerConnection::startAnswer(int status, const std::vector<HeaderLine>& headers, std::optional<uint64_t> bodyLength)
{
    CHECK(state_ == State::Answering || isClosed_) << "startAnswer() called without a pending request";
    if (isClosed_)
        return;
    isChunked_ = !bodyLength && !isHttp10_;
    if (!bodyLength && isHttp10_)
        keepsAlive_ = false;
    std::string head = absl::StrCat("HTTP/1.1 ", status, " ", std::string(reasonPhrase(status)), "\r\n");
    for (const HeaderLine& header : headers)
        absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
    if (bodyLength)
        absl::StrAppend(&head, "Content-Length: ", *bodyLength, "\r\n");
    else if (isChunked_)
        head += "Transfer-Encoding: chunked\r\n";
    isCloseAnnounced_ = !keepsAlive_ || closesAfterAnswer_;
    if (isCloseAnnounced_)
        head += "Connection: close\r\n";
    else if (isHttp10_)
        head += "Connection: keep-alive\r\n";
    writer_.write(head + "\r\n", shared_from_this());
}

void ServerConnection::sendBody(std::string_view bytes)
{
    if (isClosed_ || bytes.empty() || isHeadRequest_)
        return;
    if (!isChunked_) {
        writer_.write(bytes, shared_from_this());
        return;
    }
    std::string chunk = absl::StrCat(absl::Hex(bytes.size()), "\r\n");
    chunk.append(bytes).append("\r\n");
    writer_.write(chunk, shared_from_this());
}

void ServerConnection::finishAnswer()
{
    if (isClosed_)
        return;
    if (isChunked_ && !isHeadRequest_)
        writer_.write("0\r\n\r\n", shared_from_this());
    isChunked_ = false;
    onCallerDisconnected = {};
    startedAt_ = options_.clock();
    // Closes only if this answer's head said `Connection: close`. Otherwise the caller may already have sent its next
    // request, and the answer to that one announces the close.
    if (isCloseAnnounced_) {
        linger();
        return;
    }
    state_ = State::ReadingHead;
    // A pipelined request is read in the next iteration of the event loop, so that handlers don't nest.
    if (!unread_.empty()) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            if (!self->isClosed_ && self->state_ == State::ReadingHead)
                self->readRequest();
        });
    }
    waitForBytes();
}

void ServerConnection::refuse(int status, std::string_view reason)
{
    if (options_.onRefused)
        options_.onRefused(status, reason);
    keepsAlive_ = false;
    isHttp10_ = false;
    isHeadRequest_ = false;
    parser_.reset();
    state_ = State::Answering;
    answer(status, {}, {});
}

void ServerConnection::linger()
{
    state_ = State::Lingering;
    startedAt_ = options_.clock();
    unread_.clear();
    const auto shutDownWriting = [this] {
        startedAt_ = options_.clock();
        error_code ignored; // the socket is closed after the linger timeout in any case
        socket_.shutdown(SocketWriter::Socket::shutdown_send, ignored);
    };
    if (writer_.unsentBytes() == 0)
        shutDownWriting();
    else
        writer_.onDrained = shutDownWriting;
    waitForBytes();
}

void ServerConnection::abort()
{
    closeSocket();
}

void ServerConnection::closeWhenIdle()
{
    closesAfterAnswer_ = true;
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    // A request may have arrived that was not read yet.
    if (!isClosed_ && state_ == State::ReadingHead && unread_.empty())
        readBytes();
    const bool isIdle = state_ == State::ReadingHead && unread_.empty();
    if (!isIdle)
        return;
    if (unsentBytes() == 0)
        closeSocket();
    else
        linger();
}

// A caller that reads its answer slowly is idle only while it reads nothing.
void ServerConnection::noteWriteProgress()
{
    const size_t unsent = unsentBytes();
    if (unsent < std::exchange(unsentAtLastCheck_, unsent))
        startedAt_ = options_.clock();
}

void ServerConnection::checkTimeouts()
{
    if (isClosed_ || state_ == State::Answering)
        return;
    const bool isIdle = state_ == State::ReadingHead && !parser_;
    if (isIdle || state_ == State::Lingering)
        noteWriteProgress();
    const Millis waited = options_.clock() - startedAt_;
    if (isIdle) {
        if (waited >= options_.limits->idleTimeout)
            closeSocket();
    } else if (state_ == State::ReadingHead) {
        if (waited >= options_.limits->headTimeout)
            refuse(static_cast<int>(http::status::request_timeout), "head_timeout");
    } else if (state_ == State::ReadingBody) {
        if (waited >= options_.limits->bodyTimeout)
            refuse(static_cast<int>(http::status::request_timeout), "body_timeout");
    } else if (waited >= (unsentBytes() > 0 ? options_.limits->idleTimeout : lingerTimeout)) {
        closeSocket();
    }
}

void ServerConnection::closeSocket()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    error_code ignored; // the descriptor is released either way
    socket_.close(ignored);
    const auto callback = std::exchange(onCallerDisconnected, {});
    if (state_ == State::Answering && callback)
        callback();
    if (options_.onClosed)
        options_.onClosed(self);
}

} // namespace hemlockweir
