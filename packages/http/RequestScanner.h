#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Validates the bytes of HTTP/1.x requests before Qt's lenient parser reads them. It enforces what that parser
// doesn't: limits on the size of heads and bodies, and a single unambiguous body length.

namespace hemlockweir {

// Size limits of one request.
struct RequestLimits {
    size_t headBytes = 16 * 1024; // bytes, request line and headers together
    size_t bodyBytes = 4 * 1024 * 1024; // bytes, body
};

// Result of a scan. Any value but Ok and Continue refuses the request with that HTTP status and closes the
// connection.
enum class ScanVerdict : uint16_t {
    Ok = 0,
    Continue = 100, // the caller waits for "100 Continue" before it sends the body
    BadRequest = 400,
    LengthRequired = 411,
    PayloadTooLarge = 413,
    HeadTooLarge = 431,
    NotImplemented = 501, // unknown method
    VersionNotSupported = 505,
};

// Result of checking a request head, and the framing of the body that follows it.
struct HeadCheck {
    ScanVerdict verdict = ScanVerdict::Ok;
    size_t bodyLength = 0; // bytes, from Content-Length; 0 when absent or chunked
    int hosts = 0; // Host headers
    bool isChunked = false; // chunked transfer encoding
    bool waitsForContinue = false; // the caller waits for "100 Continue" before it sends the body
};

// Checks one head, including its closing blank line. `allowsChunks` permits chunked bodies. Paths with dot segments are
// refused: a server that resolves them would serve another path than the one that a route was chosen for.
HeadCheck checkRequestHead(std::string_view head, bool allowsChunks);

// Returns whether a line feed without a carriage return before it ends a line of the head, or of its received part.
bool hasBareLineFeed(std::string_view head);

// Scans the requests of one connection. Every received byte must pass through scan(), in order.
class RequestScanner {
public:
    explicit RequestScanner(RequestLimits limits);

    // Scans the next bytes. Returns the first error, else Continue if a head among them asked for it, else Ok.
    ScanVerdict scan(std::string_view bytes);

    // Returns whether a request has started, but is not complete.
    bool isMidRequest() const { return bodyLeft_ > 0 || !head_.empty(); }

    // Returns the bytes of the incomplete request that were scanned so far.
    size_t partialBytes() const { return head_.size() + (bodyLeft_ > 0 ? bodyLength_ - bodyLeft_ : 0); }

    // Returns the number of complete requests so far.
    uint64_t requestsSeen() const { return requestsSeen_; }

private:
    ScanVerdict scanHeadByte(char byte);
    ScanVerdict checkHead();

    RequestLimits limits_;
    std::string head_;
    size_t bodyLength_ = 0; // of the request that is being scanned
    size_t bodyLeft_ = 0;
    uint64_t requestsSeen_ = 0;
};

} // namespace hemlockweir
