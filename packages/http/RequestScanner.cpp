#include "http/RequestScanner.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace hemlockweir {

static constexpr std::string_view lineEnd = "\r\n";
static constexpr std::string_view headEnd = "\r\n\r\n";

static std::string lowercase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

static std::string_view trim(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

static std::optional<size_t> parseLength(std::string_view text)
{
    size_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

RequestScanner::RequestScanner(RequestLimits limits)
    : limits_(limits)
{
}

ScanVerdict RequestScanner::scan(std::string_view bytes)
{
    ScanVerdict verdict = ScanVerdict::Ok;
    for (size_t at = 0; at < bytes.size();) {
        if (bodyLeft_ > 0) {
            const size_t count = std::min(bodyLeft_, bytes.size() - at);
            bodyLeft_ -= count;
            at += count;
            requestsSeen_ += bodyLeft_ == 0;
            continue;
        }
        const ScanVerdict found = scanHeadByte(bytes[at++]);
        if (found == ScanVerdict::Continue)
            verdict = found;
        else if (found != ScanVerdict::Ok)
            return found;
    }
    return verdict;
}

ScanVerdict RequestScanner::scanHeadByte(char byte)
{
    // RFC 9112 allows empty lines before a request line.
    if (head_.empty() && (byte == '\r' || byte == '\n'))
        return ScanVerdict::Ok;
    if (head_.size() >= limits_.headBytes)
        return ScanVerdict::HeadTooLarge;
    head_ += byte;
    if (byte == '\0' || (byte == '\n' && (head_.size() < 2 || head_[head_.size() - 2] != '\r')))
        return ScanVerdict::BadRequest;
    if (!head_.ends_with(headEnd))
        return ScanVerdict::Ok;
    const ScanVerdict verdict = checkHead();
    head_.clear();
    requestsSeen_ += bodyLeft_ == 0;
    return verdict;
}

// Returns whether the text is a token as defined by RFC 9110, which is what Qt's parser accepts as a header name.
static bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) { return std::isalnum(c) || marks.find(static_cast<char>(c)) != std::string_view::npos; });
}

static bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

static bool hasControl(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

// Returns whether the path has a segment "." or "..", also if its dots or separators are percent-encoded.
static bool hasDotSegment(std::string_view target)
{
    std::string path = lowercase(target.substr(0, target.find('?')));
    constexpr std::array<std::pair<std::string_view, std::string_view>, 4> equivalents { { { "%2e", "." }, { "%2f", "/" }, { "%5c", "/" }, { "\\", "/" } } };
    for (const auto& [from, to] : equivalents) {
        for (size_t at = path.find(from); at != std::string::npos; at = path.find(from, at + to.size()))
            path.replace(at, from.size(), to);
    }
    path += '/';
    return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
}

static bool isKnownMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 7> methods { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

static ScanVerdict checkRequestLine(std::string_view line)
{
    const size_t first = line.find(' ');
    const size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || first == 0)
        return ScanVerdict::BadRequest;
    if (line.substr(0, last).find(' ', first + 1) != std::string_view::npos)
        return ScanVerdict::BadRequest;
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    if (!isToken(method) || !target.starts_with('/') || !isPrintable(target) || hasDotSegment(target) || !version.starts_with("HTTP/"))
        return ScanVerdict::BadRequest;
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return ScanVerdict::VersionNotSupported;
    return isKnownMethod(method) ? ScanVerdict::Ok : ScanVerdict::NotImplemented;
}

HeadCheck checkRequestHead(std::string_view head, bool allowsChunks)
{
    HeadCheck check;
    const auto refuse = [&check](ScanVerdict verdict) {
        check.verdict = verdict;
        return check;
    };
    std::string_view rest = head.substr(0, head.size() - lineEnd.size());
    const size_t lineLength = rest.find(lineEnd);
    if (const ScanVerdict verdict = checkRequestLine(rest.substr(0, lineLength)); verdict != ScanVerdict::Ok)
        return refuse(verdict);
    rest.remove_prefix(lineLength + lineEnd.size());

    std::optional<size_t> length;
    bool expectsContinue = false;
    while (!rest.empty()) {
        const size_t end = rest.find(lineEnd);
        const std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end + lineEnd.size());
        const size_t colon = line.find(':');
        // Parsers disagree about whitespace before the colon and about folded lines.
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || hasControl(line.substr(colon + 1)))
            return refuse(ScanVerdict::BadRequest);
        const std::string name = lowercase(line.substr(0, colon));
        const std::string_view value = trim(line.substr(colon + 1));
        // Qt's server would wait for another protocol after an upgrade, and none is supported.
        if (name == "upgrade")
            return refuse(ScanVerdict::BadRequest);
        if (name == "transfer-encoding") {
            if (!allowsChunks)
                return refuse(ScanVerdict::LengthRequired);
            // Parsers disagree about other codings and about repeated headers.
            if (check.isChunked || lowercase(value) != "chunked")
                return refuse(ScanVerdict::BadRequest);
            check.isChunked = true;
        }
        if (name == "host")
            ++check.hosts;
        if (name == "expect")
            expectsContinue = lowercase(value) == "100-continue";
        if (name != "content-length")
            continue;
        const std::optional<size_t> parsed = parseLength(value);
        if (!parsed || length)
            return refuse(ScanVerdict::BadRequest);
        length = parsed;
    }
    if (length && check.isChunked)
        return refuse(ScanVerdict::BadRequest);
    check.bodyLength = length.value_or(0);
    check.waitsForContinue = expectsContinue && (check.bodyLength > 0 || check.isChunked);
    return check;
}

bool hasBareLineFeed(std::string_view head)
{
    for (size_t at = head.find('\n'); at != std::string_view::npos; at = head.find('\n', at + 1)) {
        if (at == 0 || head[at - 1] != '\r')
            return true;
    }
    return false;
}

ScanVerdict RequestScanner::checkHead()
{
    const HeadCheck check = checkRequestHead(head_, false);
    if (check.verdict != ScanVerdict::Ok)
        return check.verdict;
    bodyLength_ = bodyLeft_ = check.bodyLength;
    if (bodyLeft_ > limits_.bodyBytes)
        return ScanVerdict::PayloadTooLarge;
    return check.waitsForContinue ? ScanVerdict::Continue : ScanVerdict::Ok;
}

} // namespace hemlockweir
