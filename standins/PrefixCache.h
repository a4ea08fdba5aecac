#pragma once

#include <QByteArray>
#include <QHash>
#include <list>

// The prefix cache of the stand-in for an engine: an LRU cache of prompt blocks.

namespace hemlockweir {

class PrefixCache {
public:
    explicit PrefixCache(int capacity)
        : capacity_(capacity)
    {
    }

    // Adds the blocks of a prompt to the cache. Returns the fraction of its blocks that were not cached.
    double addPrompt(const QByteArray& prompt)
    {
        if (capacity_ == 0)
            return 1;
        constexpr qsizetype blockBytes = 64;
        const qsizetype count = prompt.size() / blockBytes + 1;
        qsizetype missing = 0;
        for (qsizetype i = 1; i <= count; ++i)
            missing += touch(qHash(QByteArrayView(prompt).first(std::min(i * blockBytes, prompt.size())))) ? 0 : 1;
        return static_cast<double>(missing) / static_cast<double>(count);
    }

private:
    bool touch(size_t hash)
    {
        const bool wasCached = positions_.contains(hash);
        if (wasCached)
            recency_.erase(positions_[hash]);
        recency_.push_front(hash);
        positions_[hash] = recency_.begin();
        if (positions_.size() > capacity_) {
            positions_.remove(recency_.back());
            recency_.pop_back();
        }
        return wasCached;
    }

    qsizetype capacity_; // blocks; 0: caching is disabled
    std::list<size_t> recency_; // block hashes, most recently used first
    QHash<size_t, std::list<size_t>::iterator> positions_;
};

} // namespace hemlockweir
