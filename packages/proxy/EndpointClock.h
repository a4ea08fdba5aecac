#pragma once

#include <cstdint>
#include <optional>

// Orders what an endpoint says of itself by the endpoint's own clock. A store may carry out a write seconds late, so the order
// of arrival says nothing about the order in which an endpoint made its statements.

namespace hemlockweir {

// When an endpoint made a statement: the start of its process, and the number of the statement within that process. Numbers
// start anew with each process. They compare only within one series, such as the entries of one key.
struct StatementTime {
    int64_t startedAtMs = 0; // ms since the Unix epoch; 0: unknown
    std::optional<uint64_t> sequence; // absent: unknown

    bool operator==(const StatementTime&) const = default;

    // Returns whether this statement is known to be older than another one. Neither of two statements is, if what is unknown of
    // them would decide.
    bool isBefore(const StatementTime& other) const;
};

// Remembers the newest statement of one endpoint.
class EndpointClock {
public:
    // Returns false if a newer statement was accepted before. A statement that can't be ordered is accepted, and the one
    // that was the newest stays so.
    bool accept(const StatementTime& time);

private:
    StatementTime newest_;
};

} // namespace hemlockweir
