#include "http/ServerConnection.h"

#include "http/ReceiveBuffers.h"

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
static constexpr size_t maxPipelinedBytes = 16 * 1024;
// Unsent bytes of earlier answers above which no further request is read from a caller that doesn't read its answers.
static constexpr size_t maxUnsentBeforeRequest = 64 * 1024;
// Time after which part of an answer that waits for the caller counts as unread, if it is small. Most callers read it at once.
static constexpr Millis unreadTime { 1000 };
// Memory of a connection without any request, roughly: its objects, and the head of the request in the parser.
static constexpr size_t connectionBytes = 4 * 1024;
// Incomplete chunk header that may wait in addition to the trailers that the limit of the head leaves room for.
static constexpr size_t chunkHeaderBytes = 128;
// Size up to which an empty buffer is kept for the next bytes.
static constexpr size_t keptBufferBytes = 4 * 1024;
// Part of its size by which the buffer of a complete body may exceed it.
static constexpr size_t bodySlackShare = 4;
// Retry-After of a request that was refused for want of memory, in seconds: most unfinished requests end sooner.
static constexpr std::string_view memoryRetryAfter = "1";

bool ServerLimits::operator==(const ServerLimits& other) const
{
    return request.headBytes == other.request.headBytes && request.bodyBytes == other.request.bodyBytes && headTimeout == other.headTimeout
        && bodyTimeout == other.bodyTimeout && idleTimeout == other.idleTimeout && discardBytes == other.discardBytes;
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
    const auto release = [weak = weak_from_this(), executor = socket_.get_executor()] {
        asio::post(executor, [weak] {
            if (const auto self = weak.lock())
                self->releaseMemory();
        });
    };
    held_.emplace(options_.memory, release);
    writer_.onProgress = [this] { noteHeldBytes(); };
    noteHeldBytes();
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
    // Bytes behind the request that is being answered are part of no request yet: only a few are kept.
    const size_t most = state_ == State::Answering ? maxPipelinedBytes - std::min(maxPipelinedBytes - 1, unread_.size()) : buffer.size();
    const size_t size = socket_.read_some(asio::buffer(buffer.data(), std::min(most, buffer.size())), error);
    if (error && error != asio::error::would_block) {
        closeSocket();
        return;
    }
    if (state_ == State::Lingering) {
        if (discardInput(size))
            waitForBytes();
        return;
    }
    unread_.append(buffer.data(), size);
    receivedAt_ = options_.clock();
    if (state_ == State::ReadingHead || state_ == State::ReadingBody)
        readRequest();
    if (unread_.empty() && unread_.capacity() > keptBufferBytes)
        unread_ = std::string();
    noteHeldBytes();
    continueReading();
}

// Waits for more bytes, unless enough of them wait for the current answer, or for the caller to read it. Reading resumes then.
void ServerConnection::continueReading()
{
    const bool isPaused = state_ == State::Answering || (state_ == State::ReadingHead && writer_.unsentBytes() > maxUnsentBeforeRequest);
    if (!isPaused || unread_.size() < maxPipelinedBytes)
        waitForBytes();
}

void ServerConnection::readRequest()
{
    if (state_ == State::ReadingHead && (writer_.unsentBytes() > maxUnsentBeforeRequest || !readHead()))
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
    headBytes_ = end + headEnd.size();
    error_code error;
    unread_.erase(0, parser_->put(asio::buffer(unread_.data(), headBytes_), error));
    if (error) {
        refuse(static_cast<int>(ScanVerdict::BadRequest), "malformed_request");
        return false;
    }
    headers_.clear();
    headers_.reserve(16);
    for (const auto& field : parser_->get())
        headers_.push_back({ std::string(field.name_string()), std::string(field.value()) });
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
            break;
    }
    return checkTrailers() && parser_->is_done();
}

// Returns the size of a header line as sent.
static size_t lineBytes(size_t nameBytes, size_t valueBytes)
{
    return nameBytes + valueBytes + std::string_view(": \r\n").size();
}

// Refuses a request whose head and trailers together exceed the limit of a head. The parser consumes a body as it arrives,
// but leaves an incomplete trailer, or header of a chunk, unread.
bool ServerConnection::checkTrailers()
{
    size_t trailerBytes = 0;
    if (!parser_->is_done()) {
        trailerBytes = unread_.size() - std::min(unread_.size(), chunkHeaderBytes);
    } else if (parser_->chunked()) {
        for (const auto& field : parser_->get())
            trailerBytes += lineBytes(field.name_string().size(), field.value().size());
        for (const HeaderLine& header : headers_)
            trailerBytes -= lineBytes(header.name.size(), header.value.size());
    }
    if (headBytes_ + trailerBytes <= options_.limits->request.headBytes)
        return true;
    refuse(static_cast<int>(ScanVerdict::HeadTooLarge), "trailers_too_large");
    return false;
}

void ServerConnection::deliver()
{
    ServerRequest request;
    auto& message = parser_->get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.startedAt = startedAt_;
    request.number = ++requestCount_;
    request.headers = std::exchange(headers_, {});
    request.body = std::move(message.body());
    if (request.body.capacity() - request.body.size() > keptBufferBytes + request.body.size() / bodySlackShare)
        request.body.shrink_to_fit();
    requestBytes_ = headBytes_ + request.body.capacity();
    keepsAlive_ = message.keep_alive();
    isHttp10_ = message.version() < 11;
    isHeadRequest_ = message.method() == http::verb::head;
    parser_.reset();
    state_ = State::Answering;
    noteHeldBytes();
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
    noteHeldBytes();
}

void ServerConnection::sendBody(std::string_view bytes)
{
    if (isClosed_ || bytes.empty() || isHeadRequest_)
        return;
    if (!isChunked_) {
        writer_.write(bytes, shared_from_this());
        noteHeldBytes();
        return;
    }
    std::string chunk = absl::StrCat(absl::Hex(bytes.size()), "\r\n");
    chunk.append(bytes).append("\r\n");
    writer_.write(chunk, shared_from_this());
    noteHeldBytes();
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
    requestBytes_ = 0;
    // Closes only if this answer's head said `Connection: close`. Otherwise the caller may already have sent its next
    // request, and the answer to that one announces the close.
    if (isCloseAnnounced_) {
        linger();
        return;
    }
    state_ = State::ReadingHead;
    noteHeldBytes();
    if (writer_.unsentBytes() > maxUnsentBeforeRequest)
        writer_.onDrained = [this] { resumeReading(); };
    else
        resumeReading();
}

// Reads the next request, part of which may have arrived.
void ServerConnection::resumeReading()
{
    if (isClosed_ || state_ != State::ReadingHead)
        return;
    if (unread_.empty()) {
        waitForBytes();
        return;
    }
    // A pipelined request is read in the next iteration of the event loop, so that handlers don't nest.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->isClosed_ || self->state_ != State::ReadingHead)
            return;
        self->readRequest();
        if (!self->isClosed_)
            self->continueReading();
    });
}

void ServerConnection::refuse(int status, std::string_view reason)
{
    if (options_.onRefused)
        options_.onRefused(status, reason);
    keepsAlive_ = false;
    isHttp10_ = false;
    isHeadRequest_ = false;
    parser_.reset();
    headers_ = {};
    state_ = State::Answering;
    const bool isTemporary = status == static_cast<int>(http::status::service_unavailable);
    answer(status, isTemporary ? std::vector<HeaderLine> { { "Retry-After", std::string(memoryRetryAfter) } } : std::vector<HeaderLine>(), {});
}

void ServerConnection::linger()
{
    state_ = State::Lingering;
    startedAt_ = options_.clock();
    unread_ = std::string();
    noteHeldBytes();
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

// Counts input that follows the last answer. Returns whether more of it is read. Beyond the limit it costs the machine more than the
// answer is worth; the connection stays open for the linger timeout, so that a caller that reads while it sends gets the answer.
bool ServerConnection::discardInput(size_t bytes)
{
    discardedBytes_ += bytes;
    if (discardedBytes_ <= options_.limits->discardBytes)
        return true;
    error_code ignored; // the buffer is only larger than needed
    socket_.set_option(asio::socket_base::receive_buffer_size(stoppedBufferBytes), ignored);
    if (options_.onInputCut)
        options_.onInputCut();
    return false;
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
    noteHeldBytes();
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
        else if (options_.clock() - receivedAt_ >= std::max(options_.limits->idleTimeout, options_.limits->headTimeout))
            refuse(static_cast<int>(http::status::request_timeout), "body_stalled");
    } else if (waited >= (unsentBytes() > 0 ? options_.limits->idleTimeout : lingerTimeout)) {
        closeSocket();
    }
}

// Returns the memory of the request that is being read, and of bytes that follow the one being answered.
size_t ServerConnection::receivedBytes() const
{
    return unread_.capacity() + (parser_ ? parser_->get().body().capacity() : 0);
}

// Tells the budget what the connection holds, if that has changed.
void ServerConnection::noteHeldBytes()
{
    if (!held_ || !options_.memory)
        return;
    const size_t unsent = writer_.heldBytes();
    if (unsentBytes() == 0)
        unsentSince_ = Millis(0);
    else if (unsentSince_ == Millis(0))
        unsentSince_ = options_.clock();
    const bool isReading = state_ == State::ReadingHead || state_ == State::ReadingBody;
    MemoryBudget::Use use = MemoryBudget::Use::Needed;
    if (isReading && unsent <= receivedBytes() && (parser_ || !unread_.empty()))
        use = MemoryBudget::Use::Unfinished;
    else if (unsentBytes() > MemoryBudget::smallBytes || (unsentBytes() > 0 && options_.clock() - unsentSince_ >= unreadTime))
        use = MemoryBudget::Use::Unread;
    const size_t bytes = connectionBytes + receivedBytes() + requestBytes_ + unsent;
    if (bytes == notedBytes_ && use == notedUse_)
        return;
    notedBytes_ = bytes;
    notedUse_ = use;
    held_->update(bytes, use, use == MemoryBudget::Use::Unread ? unsentSince_ : startedAt_);
}

// Gives up what the connection holds, because the budget is exceeded: an unfinished request is refused, and an answer that
// its caller doesn't read is broken off.
void ServerConnection::releaseMemory()
{
    if (isClosed_)
        return;
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    if (notedUse_ == MemoryBudget::Use::Unfinished)
        refuse(static_cast<int>(http::status::service_unavailable), "memory_budget");
    else if (notedUse_ == MemoryBudget::Use::Unread)
        closeSocket();
}

std::optional<ServerConnection::EvictionRank> ServerConnection::evictionRank() const
{
    if (isClosed_ || state_ == State::Answering)
        return std::nullopt;
    if (state_ == State::Lingering)
        return EvictionRank { .group = 0, .since = startedAt_ };
    const bool isIdle = state_ == State::ReadingHead && !parser_ && unsentBytes() == 0;
    return EvictionRank { .group = isIdle ? 1 : 2, .since = startedAt_ };
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
