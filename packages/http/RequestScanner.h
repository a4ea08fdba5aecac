#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Checks the bytes of HTTP/1.x requests before Qt's lenient parser acts on them. It keeps the
// promises that the parser does not: bounded heads and bodies, one unambiguous length.

namespace hemlockweir {

// Limits on what one caller may send.
struct RequestLimits {
    size_t headBytes = 16 * 1024; // bytes, request line and headers together
    size_t bodyBytes = 4 * 1024 * 1024; // bytes, one body
};

// What the scanner found; anything but Ok or Continue ends the connection with that status.
enum class ScanVerdict : uint16_t {
    Ok = 0,
    Continue = 100, // the caller waits for "100 Continue"
    BadRequest = 400,
    LengthRequired = 411,
    PayloadTooLarge = 413,
    HeadTooLarge = 431,
    NotImplemented = 501, // a method that no path here takes
    VersionNotSupported = 505,
};

// What the head of one request says about what follows it.
struct HeadCheck {
    ScanVerdict verdict = ScanVerdict::Ok;
    size_t bodyLength = 0; // bytes, as announced; 0 when chunked
    bool isChunked = false; // the body comes in chunks
    bool waitsForContinue = false; // the caller wants "100 Continue" before it sends the body
};

// Checks one head, its closing blank line included. With `allowsChunks`, a body may come in chunks.
HeadCheck checkRequestHead(std::string_view head, bool allowsChunks);

// Follows one connection's requests. Feed it every byte read, in order.
class RequestScanner {
public:
    explicit RequestScanner(RequestLimits limits);

    // Takes the next bytes; returns the first verdict that is not Ok among them.
    ScanVerdict scan(std::string_view bytes);

    // Whether a request has begun whose last byte has not been seen.
    bool isMidRequest() const { return bodyLeft_ > 0 || !head_.empty(); }

    // The number of requests seen whole so far.
    uint64_t requestsSeen() const { return requestsSeen_; }

private:
    ScanVerdict scanHeadByte(char byte);
    ScanVerdict checkHead();

    RequestLimits limits_;
    std::string head_;
    size_t bodyLeft_ = 0;
    uint64_t requestsSeen_ = 0;
};

} // namespace hemlockweir
