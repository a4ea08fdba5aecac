#pragma once

#include "gateway/KvStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

// A key-value store in the test's own process, with the faults that the platform's store has. Calls
// return on the event loop, watches when something changes or their time is over.

namespace hemlockweir {

class FakeKvStore {
public:
    KvStore makeStore();
    Clock clock() const { return makeSteadyClock(); }
    boost::asio::io_context& context() { return context_; }

    // Runs the event loop for so long.
    void run(Millis time);

    void put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void remove(const std::string& key);

    void setDown(bool isDown) { isDown_ = isDown; }
    void setRetainsHistory(bool retains) { retainsHistory_ = retains; }

    // Forgets the history up to now.
    void loseHistory() { historyStart_ = revision_; }

    // The next transactions take effect and are not answered as done.
    void loseAnswers(int count) { answersToLose_ = count; }

    size_t calls() const { return calls_; }

    // When the lease that was granted last ends unless it is renewed.
    Millis lastLeaseEnd() const { return leases_.at(lastLease_).endsAt; }

private:
    struct Lease {
        Millis ttl { 0 };
        Millis endsAt { 0 };
    };

    void post(std::function<void()> task);
    void expireLeases();
    void pollWatch(const std::string& prefix, uint64_t after, Millis until, const KvStore::Done<KvChanges>& done);
    absl::StatusOr<uint64_t> commit(const KvTransaction& transaction);

    boost::asio::io_context context_;
    Clock now_ = makeSteadyClock();
    std::map<std::string, KvItem> items_;
    std::map<std::string, uint64_t> deleted_; // revision of the deletion, by key
    std::map<uint64_t, Lease> leases_;
    uint64_t revision_ = 1;
    uint64_t historyStart_ = 0;
    uint64_t lastLease_ = 0;
    size_t calls_ = 0;
    int answersToLose_ = 0;
    bool isDown_ = false;
    bool retainsHistory_ = true;
};

} // namespace hemlockweir
