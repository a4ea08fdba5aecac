#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

// Splits a stream of server-sent events into complete events, so that a stream that is interrupted within an event can
// be resumed at another endpoint after the last complete one.

namespace hemlockweir {

class EventSplitter {
public:
    static constexpr size_t maxEventBytes = 256 * 1024;

    // Parses the next bytes and calls onEvent with each complete event, including its blank line. Skips events whose id
    // is not greater than the last one, since a resumed stream may repeat events. Returns false if an event is longer than
    // maxEventBytes, or if one of its lines is neither a comment nor a field: such bytes are another answer.
    bool feed(std::string_view bytes, const std::function<void(std::string_view)>& onEvent);

    // Returns whether the last event is incomplete. Line ends alone are no event.
    bool hasPartial() const { return pending_.find_first_not_of("\r\n") != std::string::npos; }

    // Returns the bytes of an incomplete event.
    size_t partialBytes() const { return pending_.size(); }

    // Discards the bytes of an incomplete event.
    void discardPartial() { pending_.clear(); }

    // Returns the id of the last complete event; nullopt before the first.
    const std::optional<uint64_t>& lastId() const { return lastId_; }

    // Sets the id of the event after which the stream is to be resumed.
    void setLastId(uint64_t id) { lastId_ = id; }

private:
    static size_t findEnd(std::string_view text, size_t from);

    std::string pending_; // bytes of an incomplete event
    std::optional<uint64_t> lastId_;
};

} // namespace hemlockweir
