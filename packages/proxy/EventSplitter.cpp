#include "proxy/EventSplitter.h"

#include <algorithm>
#include <array>
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

// Returns whether the text is empty, or a line of it is a comment or starts with the name of a field (HTML, 9.2.6).
static bool isEvent(std::string_view text)
{
    if (text.find_first_not_of("\r\n") == std::string_view::npos)
        return true;
    constexpr std::array<std::string_view, 5> starts { "id:", "data:", "event:", "retry:", ":" };
    for (size_t at = 0; at < text.size(); at = text.find('\n', at) + 1) {
        const std::string_view line = text.substr(at);
        if (std::any_of(starts.begin(), starts.end(), [line](std::string_view start) { return line.starts_with(start); }))
            return true;
        if (text.find('\n', at) == std::string_view::npos)
            break;
    }
    return false;
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
