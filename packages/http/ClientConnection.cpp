#include "http/ClientConnection.h"

#include "http/StatusCodes.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cctype>
#include <charconv>
#include <glog/logging.h>
#include <limits>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace hemlockweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Reuse limit of an idle connection when the server sends no Keep-Alive timeout; RFC 9112 defines no default.
static constexpr Millis defaultKeepAliveTimeout { 4000 };
// Subtracted from the server's Keep-Alive timeout, to allow for the time that a request needs to arrive.
static constexpr Millis keepAliveMargin { 1000 };
static constexpr size_t readBufferBytes = 64 * 1024;

// Returns whether HTTP has answers of this status (RFC 9110, section 15). The parser accepts any three digits. A switch of
// protocols is none, because no request asks for it.
static bool isValidStatus(unsigned status)
{
    return status >= 100 && status <= 599 && status != statusSwitchingProtocols;
}

// Returns whether an answer that ends with its head announces a body. Its bytes would be read as the next answer. The length
// in an answer with status 304 or to HEAD is that of another answer (RFC 9110, section 8.6).
static bool announcesForbiddenBody(const http::response_header<>& head, bool isHeadRequest)
{
    const bool isEmpty = isHeadRequest || head.result_int() == statusNoContent || head.result_int() == statusNotModified;
    const auto length = head.find(http::field::content_length);
    const bool hasLength = head.result_int() == statusNoContent && length != head.end() && length->value() != "0";
    const bool isChunked = !isHeadRequest && head.find(http::field::transfer_encoding) != head.end();
    return isEmpty && (hasLength || isChunked);
}

bool isSameHeaderName(std::string_view one, std::string_view other)
{
    const auto isSame = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return one.size() == other.size() && std::equal(one.begin(), one.end(), other.begin(), isSame);
}

std::optional<std::string_view> findHeader(const std::vector<HeaderLine>& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HeaderLine& header) { return isSameHeaderName(header.name, name); });
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

ClientConnection::ClientConnection(asio::io_context& context, Options options)
    : options_(std::move(options))
    , socket_(context)
    , writer_(socket_)
    , held_(options_.memory)
    , keepAliveTimeout_(defaultKeepAliveTimeout)
{
}

void ClientConnection::exchange(std::string request, Hooks hooks)
{
    CHECK(!isExchanging_ && !isClosed_) << "an exchange was started on a connection that is busy or closed";
    hooks_ = std::move(hooks);
    request_ = std::move(request);
    isExchanging_ = true;
    hasHead_ = false;
    wasSent_ = false;
    interimAnswers_ = 0;
    ++exchanges_;
    isHeadRequest_ = request_.starts_with("HEAD ");
    writer_.onProgress = [this] { noteHeldBytes(); };
    noteHeldBytes();
    startParser();
    if (isConnected_)
        sendRequest();
    else
        connect();
}

void ClientConnection::startParser()
{
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(options_.headBytes));
    parser_->body_limit(std::numeric_limits<uint64_t>::max());
    parser_->skip(isHeadRequest_);
}

void ClientConnection::connect()
{
    error_code addressError;
    const auto address = asio::ip::make_address(options_.address, addressError);
    if (addressError) {
        // Posted, so that no callback runs before exchange() returns.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(ExchangeEnd::NotConnected); });
        return;
    }
    socket_.async_connect({ address, options_.port }, [self = shared_from_this()](const error_code& error) {
        if (self->isClosed_)
            return;
        if (error) {
            self->end(ExchangeEnd::NotConnected);
            return;
        }
        error_code ignored; // a socket option that can't be set only costs latency
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->socket_.non_blocking(true, ignored);
        self->isConnected_ = true;
        self->waitForBytes();
        self->sendRequest();
    });
}

void ClientConnection::sendRequest()
{
    if (hooks_.maySend && !hooks_.maySend()) {
        // Posted, so that no callback runs before exchange() returns.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(ExchangeEnd::Withheld); });
        return;
    }
    wasSent_ = true;
    const std::string request = std::exchange(request_, {});
    writer_.write(request, shared_from_this());
    noteHeldBytes();
}

size_t ClientConnection::untakenBytes() const
{
    int unacknowledged = 0; // bytes that the kernel keeps for the server
    if (isClosed_ || ::ioctl(const_cast<SocketWriter::Socket&>(socket_).native_handle(), SIOCOUTQ, &unacknowledged) != 0)
        unacknowledged = 0;
    return request_.size() + writer_.unsentBytes() + static_cast<size_t>(unacknowledged);
}

void ClientConnection::waitForBytes()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        if (!error && !self->isClosed_)
            self->readBytes();
    });
}

void ClientConnection::readBytes()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    error_code error;
    const size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        waitForBytes();
        return;
    }
    if (error) {
        handleClose(error == asio::error::eof);
        return;
    }
    // Bytes received outside of an exchange belong to no request, so the connection is unusable.
    if (!isExchanging_) {
        close();
        return;
    }
    const std::shared_ptr<ClientConnection> self = shared_from_this();
    size_t consumed = 0;
    bool continues = false;
    if (unread_.empty()) {
        continues = parse(buffer.data(), size, consumed);
        if (continues)
            unread_.assign(buffer.data() + consumed, size - consumed);
    } else {
        std::string pending = std::exchange(unread_, {});
        pending.append(buffer.data(), size);
        continues = parse(pending.data(), pending.size(), consumed);
        if (continues)
            unread_ = pending.substr(consumed);
    }
    // The parser consumes a body as it arrives, but keeps an incomplete head, chunk header or trailer, which some servers
    // in trouble never end.
    if (continues && unread_.size() > options_.headBytes) {
        end(ExchangeEnd::Malformed);
        return;
    }
    noteHeldBytes();
    if (continues && !isClosed_)
        waitForBytes();
}

// Tells the budget the memory of a request that is not sent yet and of received bytes that are not parsed yet.
void ClientConnection::noteHeldBytes()
{
    held_.update(request_.capacity() + unread_.capacity() + writer_.heldBytes());
}

// Parses the received bytes and runs the callbacks. Returns false once the connection is closed.
bool ClientConnection::parse(const char* data, size_t size, size_t& consumed)
{
    std::array<char, readBufferBytes> body;
    while (isExchanging_ && consumed < size) {
        error_code error;
        parser_->get().body().data = body.data();
        parser_->get().body().size = body.size();
        parser_->get().body().more = true;
        const size_t parsed = parser_->put(asio::buffer(data + consumed, size - consumed), error);
        consumed += parsed;
        if (error == http::error::need_buffer)
            error = {};
        if (error && error != http::error::need_more) {
            end(ExchangeEnd::Malformed);
            return false;
        }
        if (!hasHead_ && parser_->is_header_done() && !isValidStatus(parser_->get().result_int())) {
            end(ExchangeEnd::Malformed);
            return false;
        }
        if (parser_->is_done() && parser_->get().result_int() / 100 == 1) {
            if (++interimAnswers_ > options_.interimAnswers) {
                end(ExchangeEnd::Malformed);
                return false;
            }
            startParser(); // interim (1xx) answer; the final one follows
            continue;
        }
        if (!hasHead_ && parser_->is_header_done()) {
            deliverHead();
            if (isClosed_)
                return false;
        }
        const size_t bodySize = hasHead_ ? body.size() - parser_->get().body().size : 0;
        if (bodySize > 0) {
            hooks_.onBody({ body.data(), bodySize });
            if (isClosed_)
                return false;
        }
        if (parser_->is_done()) {
            // Bytes after a complete answer belong to no request, so the connection is not reused.
            keepsAlive_ = keepsAlive_ && parser_->get().keep_alive() && consumed == size && writer_.unsentBytes() == 0 && !writer_.hasFailed() && !announcesForbiddenBody(parser_->get(), isHeadRequest_);
            if (!keepsAlive_)
                closeSocket();
            end(ExchangeEnd::Complete);
            return !isClosed_;
        }
        if (parsed == 0 && bodySize == 0)
            break;
    }
    return !isClosed_;
}

void ClientConnection::deliverHead()
{
    hasHead_ = true;
    ResponseHead head;
    head.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get())
        head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    if (const auto length = parser_->content_length())
        head.bodyLength = *length;
    readKeepAliveTimeout();
    hooks_.onHead(head);
}

void ClientConnection::readKeepAliveTimeout()
{
    const auto field = parser_->get().find(http::field::keep_alive);
    if (field == parser_->get().end())
        return;
    constexpr std::string_view name = "timeout=";
    const std::string_view value(field->value().data(), field->value().size());
    const size_t at = value.find(name);
    int seconds = 0;
    if (at == std::string_view::npos)
        return;
    std::from_chars(value.data() + at + name.size(), value.data() + value.size(), seconds);
    keepAliveTimeout_ = std::max(Millis(0), Millis(seconds * 1000) - keepAliveMargin);
}

void ClientConnection::handleClose(bool isOrderly)
{
    const std::shared_ptr<ClientConnection> self = shared_from_this();
    const bool isWaiting = isExchanging_;
    error_code error;
    bool isWhole = false;
    // Without a length, an orderly close marks the end of the answer.
    if (isWaiting && isOrderly && !writer_.hasLostConnection() && hasHead_ && parser_->need_eof()) {
        parser_->put_eof(error);
        isWhole = !error && parser_->is_done();
    }
    closeSocket();
    if (isWaiting)
        end(isWhole ? ExchangeEnd::Complete : ExchangeEnd::Broken);
}

void ClientConnection::close()
{
    closeSocket();
    isExchanging_ = false;
    // close() may be called by one of the hooks, which must outlive its own call.
    if (hooks_.onEnd)
        asio::post(socket_.get_executor(), [hooks = std::exchange(hooks_, {})] {});
}

void ClientConnection::closeSocket()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    isConnected_ = false;
    error_code ignored; // the descriptor is released either way
    socket_.close(ignored);
}

void ClientConnection::end(ExchangeEnd outcome)
{
    if (!isExchanging_)
        return;
    isExchanging_ = false;
    idleSince_ = options_.clock();
    if (outcome != ExchangeEnd::Complete)
        closeSocket();
    const Hooks hooks = std::exchange(hooks_, {});
    parser_.reset();
    if (hooks.onEnd)
        hooks.onEnd(outcome);
}

} // namespace hemlockweir
