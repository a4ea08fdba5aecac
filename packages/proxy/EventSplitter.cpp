#include "proxy/EventSplitter.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace hemlockweir {

// Returns the position after the blank line of the first event at or after `from`; npos if the event is incomplete.
size_t EventSplitter::findEnd(std::string_view text, size_t from)
{
    const size_t plain = text.find("\n\n", from);
    const size_t carriage = text.find("\r\n\r\n", from);
    if (plain == std::string_view::npos && carriage == std::string_view::npos)
        return std::string_view::npos;
    return plain < carriage ? plain + 2 : carriage + 4;
}

static std::optional<uint64_t> parseId(std::string_view event)
{
    constexpr std::string_view name = "id:";
    size_t at = 0;
    while (at < event.size()) {
        const size_t end = event.find('\n', at);
        std::string_view line = event.substr(at, end - at);
        at = end == std::string_view::npos ? event.size() : end + 1;
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            return id;
    }
    return std::nullopt;
}

// Returns whether a line of an event is empty, a comment or a field: a name that may be followed by a colon and a value. Names
// that HTML (9.2.6) doesn't define are an endpoint's own, and need the colon.
static bool isFieldOrComment(std::string_view line)
{
    constexpr std::array<std::string_view, 4> names { "id", "data", "event", "retry" };
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    const std::string_view name = line.substr(0, line.find(':'));
    if (name.size() == line.size())
        return line.empty() || std::find(names.begin(), names.end(), name) != names.end();
    return std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
}

static bool isEvent(std::string_view text)
{
    while (!text.empty()) {
        const size_t end = std::min(text.find('\n'), text.size());
        if (!isFieldOrComment(text.substr(0, end)))
            return false;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return true;
}

bool EventSplitter::feed(std::string_view bytes, const std::function<void(std::string_view)>& onEvent)
{
    pending_ += bytes;
    size_t start = 0;
    while (true) {
        const size_t end = findEnd(pending_, start);
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(pending_).substr(start, end - start);
        start = end;
        if (!isEvent(event))
            return false;
        const std::optional<uint64_t> id = parseId(event);
        if (id && lastId_ && *id <= *lastId_)
            continue;
        if (id)
            lastId_ = id;
        onEvent(event);
    }
    pending_.erase(0, start);
    return pending_.size() <= maxEventBytes;
}

} // namespace hemlockweir
