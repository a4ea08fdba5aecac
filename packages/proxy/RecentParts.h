#pragma once

#include "base/Clock.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>

// The parts of prompts that were noted recently. The number of parts is bounded: a new one takes the place of the one that was not
// noted for the longest time, so that callers with many parts do not keep the parts of the others out.

namespace hemlockweir {

class RecentParts {
public:
    struct Options {
        size_t limit = 0; // parts
        Millis lifetime { 0 }; // ms, for which a part is remembered after it was last noted
    };

    explicit RecentParts(Options options)
        : options_(options)
    {
    }

    // Notes a part. Returns whether it was not remembered.
    bool note(uint64_t part, Millis now)
    {
        const auto [noted, isNew] = parts_.push_back({ .part = part, .notedAt = now });
        if (!isNew) {
            parts_.modify(noted, [now](Entry& entry) { entry.notedAt = now; });
            parts_.relocate(parts_.end(), noted);
        }
        if (parts_.size() > options_.limit)
            parts_.pop_front();
        return isNew;
    }

    bool contains(uint64_t part) const { return parts_.get<1>().count(part) > 0; }

    void removeExpired(Millis now)
    {
        while (!parts_.empty() && now - parts_.front().notedAt > options_.lifetime)
            parts_.pop_front();
    }

private:
    struct Entry {
        uint64_t part = 0;
        Millis notedAt { 0 };
    };

    Options options_;
    // In the order in which they were noted last, and by part.
    boost::multi_index_container<Entry, boost::multi_index::indexed_by<boost::multi_index::sequenced<>, boost::multi_index::hashed_unique<boost::multi_index::member<Entry, uint64_t, &Entry::part>>>> parts_;
};

} // namespace hemlockweir
