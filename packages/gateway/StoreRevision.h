#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hemlockweir {

// A revision of the platform's store. A store that was restored from a copy gives its revisions out again, so a number orders
// changes only within one era. Eras rise by one with each restore; a store that tells no era has era 0.
class StoreRevision {
public:
    // Implicit: a plain number is a revision of a store that tells no era.
    constexpr StoreRevision(uint64_t number = 0) // NOLINT(google-explicit-constructor)
        : number_(number)
    {
    }
    constexpr StoreRevision(uint64_t era, uint64_t number)
        : era_(era)
        , number_(number)
    {
    }

    constexpr uint64_t era() const { return era_; }
    constexpr uint64_t number() const { return number_; } // within the era; 0: none

    // Returns the revision for a log line: "ERA.NUMBER", or "NUMBER" in era 0.
    std::string toString() const { return (era_ == 0 ? std::string() : std::to_string(era_) + ".") + std::to_string(number_); }

    constexpr auto operator<=>(const StoreRevision&) const = default;

private:
    uint64_t era_ = 0; // compared first
    uint64_t number_ = 0;
};

} // namespace hemlockweir
