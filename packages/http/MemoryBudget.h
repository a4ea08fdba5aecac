#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>

// Counts the bytes that a process holds for one kind of peer and bounds them. Over the bound, it drops the holders that
// have held the most bytes for the longest time. It counts connections likewise, with one unit for each. Thread-safe; no other lock is acquired while its mutex is held, except by
// the functions that drop a holder.

namespace hemlockweir {

class MemoryBudget {
public:
    // What the bytes of a holder are. Unfinished requests are dropped before unread answers.
    enum class Use : uint8_t {
        Unfinished, // a request that is still being received
        Unread, // an answer that its reader has not read
        Needed, // of a request at work: never dropped
    };

    // Bound without settings, in bytes.
    static constexpr size_t defaultBytes = size_t { 1024 } * 1024 * 1024;
    // A holder of at most this many bytes is within the bound up to the last eighth of the budget, which larger holders
    // can't take. It lets small requests, such as readiness checks, through while requests at work fill the rest.
    static constexpr size_t smallBytes = size_t { 32 } * 1024;

    // Bytes held by one connection or request, released at the end of its lifetime.
    class Holder {
    public:
        // `budget` may be null; then nothing is counted. `drop` is called on any thread, with the budget locked: it must only
        // schedule the drop. Without it the holder is never dropped.
        explicit Holder(std::shared_ptr<MemoryBudget> budget, std::function<void()> drop = {});
        ~Holder();
        Holder(const Holder&) = delete;
        Holder& operator=(const Holder&) = delete;

        // Replaces the number of bytes. `since` is the time at which the request or the unread answer began. Drops holders,
        // perhaps this one, if the bytes have grown and exceed the budget.
        void update(size_t bytes, Use use = Use::Needed, Millis since = Millis(0));

        // Returns whether a drop is scheduled that has not released the bytes yet.
        bool isDropping() const;

    private:
        friend class MemoryBudget;

        std::shared_ptr<MemoryBudget> budget_;
        std::function<void()> drop_;
        size_t bytes_ = 0;
        Millis since_ { 0 };
        Use use_ = Use::Needed;
        bool isDropping_ = false; // drop_ was called, and the bytes are not released yet
    };

    MemoryBudget(size_t bytes, Clock clock);

    // Returns whether so many more bytes fit. It reserves nothing.
    bool hasRoom(size_t bytes) const;

    size_t limit() const { return limit_; }

    // Returns the time on the clock that `since` of a holder is compared with.
    Millis now() const { return clock_(); }
    size_t used() const;

    // Returns the number of holders dropped so far.
    uint64_t drops() const;

private:
    void relieve(size_t threshold);
    Holder* findVictim(Use use) const;

    const size_t limit_;
    const Clock clock_;
    mutable std::mutex mutex_;
    std::unordered_set<Holder*> droppable_;
    size_t used_ = 0;
    size_t dropping_ = 0; // bytes of holders that are being dropped
    uint64_t drops_ = 0;
};

} // namespace hemlockweir
