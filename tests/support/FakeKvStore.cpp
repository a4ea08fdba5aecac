#include "support/FakeKvStore.h"

#include <boost/asio/post.hpp>

namespace hemlockweir {

// Interval at which a watch checks for changes.
static constexpr Millis watchPollInterval { 5 };

static const absl::Status downStatus = absl::UnavailableError("the store is down");

void FakeKvStore::post(std::function<void()> task)
{
    ++calls_;
    boost::asio::post(context_, [this, task = std::move(task)] {
        expireLeases();
        task();
    });
}

void FakeKvStore::run(Millis time)
{
    context_.restart();
    context_.run_for(time);
}

void FakeKvStore::put(const std::string& key, const std::string& value, uint64_t lease)
{
    items_.insert_or_assign(key, KvItem { .key = key, .value = value, .revision = ++revision_, .lease = lease });
    deleted_.erase(key);
}

void FakeKvStore::remove(const std::string& key)
{
    if (items_.erase(key) > 0)
        deleted_[key] = ++revision_;
}

void FakeKvStore::expireLeases()
{
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.endsAt > now_()) {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == it->first)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
        it = leases_.erase(it);
    }
}

void FakeKvStore::pollWatch(const std::string& prefix, uint64_t after, Millis until, const KvStore::Done<KvChanges>& done)
{
    expireLeases();
    if (isDown_) {
        done(downStatus);
        return;
    }
    if (!retainsHistory_ || after < historyStart_) {
        done(absl::OutOfRangeError("history is gone"));
        return;
    }
    KvChanges changes { .revision = revision_ };
    for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix) && item.revision > after)
            changes.written.push_back(item);
    }
    for (const auto& [key, revision] : deleted_) {
        if (key.starts_with(prefix) && revision > after)
            changes.deleted.push_back({ .key = key, .revision = revision });
    }
    if (!changes.written.empty() || !changes.deleted.empty() || now_() >= until) {
        done(std::move(changes));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, watchPollInterval);
    timer->async_wait([this, prefix, after, until, done, timer](const boost::system::error_code&) { pollWatch(prefix, after, until, done); });
}

absl::StatusOr<uint64_t> FakeKvStore::commit(const KvTransaction& transaction)
{
    for (const KvTransaction::Condition& condition : transaction.conditions) {
        const auto found = items_.find(condition.key);
        if ((found == items_.end() ? 0 : found->second.revision) != condition.revision)
            return absl::FailedPreconditionError("the condition does not hold");
    }
    for (const KvItem& item : transaction.puts) {
        if (item.lease != 0 && leases_.count(item.lease) == 0)
            return absl::NotFoundError("no such lease");
    }
    for (const KvItem& item : transaction.puts)
        put(item.key, item.value, item.lease);
    for (const std::string& key : transaction.removals)
        remove(key);
    return revision_;
}

KvStore FakeKvStore::makeStore()
{
    return {
        .get =
            [this](const std::string& key, KvStore::Done<KvItem> done) {
                post([this, key, done] {
                    const auto found = items_.find(key);
                    if (isDown_)
                        done(downStatus);
                    else if (found == items_.end())
                        done(absl::NotFoundError("no such key"));
                    else
                        done(found->second);
                });
            },
        .list =
            [this](const std::string& prefix, bool, KvStore::Done<KvItems> done) {
                post([this, prefix, done] {
                    KvItems found { .revision = revision_ };
                    for (const auto& [key, item] : items_) {
                        if (key.starts_with(prefix))
                            found.items.push_back(item);
                    }
                    isDown_ ? done(downStatus) : done(std::move(found));
                });
            },
        .watch = [this](const std::string& prefix, uint64_t after, Millis wait, KvStore::Done<KvChanges> done) { post([this, prefix, after, wait, done] { pollWatch(prefix, after, now_() + wait, done); }); },
        .commit =
            [this](const KvTransaction& transaction, KvStore::Done<uint64_t> done) {
                post([this, transaction, done] {
                    if (isDown_) {
                        done(downStatus);
                        return;
                    }
                    const absl::StatusOr<uint64_t> result = commit(transaction);
                    if (answersToLose_ > 0 && answersToLose_-- > 0)
                        done(absl::UnknownError("the answer is lost"));
                    else
                        done(result);
                });
            },
        .grantLease =
            [this](Millis ttl, KvStore::Done<KvLease> done) {
                post([this, ttl, done] {
                    if (isDown_) {
                        done(downStatus);
                        return;
                    }
                    const Millis granted = std::min(ttl, maxLeaseTtl_);
                    leases_[++lastLease_] = { .ttl = granted, .endsAt = now_() + granted };
                    done(KvLease { .id = lastLease_, .ttl = granted });
                });
            },
        .renewLease =
            [this](uint64_t lease, KvStore::Done<Millis> done) {
                post([this, lease, done] {
                    const auto found = leases_.find(lease);
                    if (isDown_) {
                        done(downStatus);
                    } else if (found == leases_.end()) {
                        done(absl::NotFoundError("no such lease"));
                    } else {
                        found->second.endsAt = now_() + found->second.ttl;
                        done(found->second.ttl);
                    }
                });
            },
        .endLease =
            [this](uint64_t lease) {
                post([this, lease] {
                    if (const auto found = leases_.find(lease); found != leases_.end())
                        found->second.endsAt = Millis(0);
                    expireLeases();
                });
            },
    };
}

} // namespace hemlockweir
