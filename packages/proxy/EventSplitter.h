#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

// Cuts a stream of server-sent events into whole events, so that a stream which breaks in the
// middle of one can go on elsewhere after the last whole event.

namespace hemlockweir {

class EventSplitter {
public:
    // Takes the next bytes and calls onEvent with each whole event, its blank line included, that
    // is new: one whose id is not above the last is left out.
    void feed(std::string_view bytes, const std::function<void(std::string_view)>& onEvent);

    // Forgets the part of an event that was cut off.
    void discardPartial() { pending_.clear(); }

    // The id of the last whole event; absent before the first.
    const std::optional<uint64_t>& lastId() const { return lastId_; }

    // Sets the event after which the stream is to go on.
    void setLastId(uint64_t id) { lastId_ = id; }

private:
    static size_t findEnd(std::string_view text, size_t from);

    std::string pending_;
    std::optional<uint64_t> lastId_;
};

} // namespace hemlockweir
