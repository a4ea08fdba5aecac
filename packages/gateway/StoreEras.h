#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

// Tracks the era of the platform's store, which rises with each restore from a copy. Decides which answers still count: one of
// a lower era than known was sent before the restore and arrived late. Shared by the client of the store and by the parts of
// the gateway that must forget what they know of an earlier era.

namespace hemlockweir {

class StoreEras {
public:
    // Answers whose era was of no use, since the last call of takeIgnored().
    struct Ignored {
        uint64_t unreadable = 0; // the era is no number; the answer counted as one of the current era
        uint64_t lower = 0; // the era is lower than the current one; the answer was dropped

        bool operator==(const Ignored&) const = default;
    };

    // Adds a listener that is called when the era rises, before the answer that told it is used. It isn't called for the first
    // era that this node learns, because nothing is known from before. Listeners are called in the order of their addition.
    void addListener(std::function<void(uint64_t before)> onRise) { listeners_.push_back(std::move(onRise)); }

    // Takes the era that an answer tells; unset: it tells none. Returns the era in which the answer counts, or unset if it must
    // be dropped.
    std::optional<uint64_t> accept(std::optional<uint64_t> era)
    {
        if (!era)
            return current_.emplace(current());
        if (era < current_) {
            ++ignored_.lower;
            return std::nullopt;
        }
        const std::optional<uint64_t> before = std::exchange(current_, era);
        if (before && *before < *era) {
            for (const auto& listener : listeners_)
                listener(*before);
        }
        return era;
    }

    // Counts an answer whose era can't be read.
    void noteUnreadable() { ++ignored_.unreadable; }

    // Returns the highest era that any answer told; 0 if none did.
    uint64_t current() const { return current_.value_or(0); }

    // Returns the counts of answers without a usable era, and starts anew.
    Ignored takeIgnored() { return std::exchange(ignored_, {}); }

private:
    std::optional<uint64_t> current_; // unset: no answer yet
    std::vector<std::function<void(uint64_t before)>> listeners_;
    Ignored ignored_;
};

} // namespace hemlockweir
