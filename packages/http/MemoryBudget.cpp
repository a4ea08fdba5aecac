#include "http/MemoryBudget.h"

#include <utility>

namespace hemlockweir {

// Part of the budget that only small holders may use.
static constexpr size_t smallShare = 8;

MemoryBudget::Holder::Holder(std::shared_ptr<MemoryBudget> budget, std::function<void()> drop)
    : budget_(std::move(budget))
    , drop_(std::move(drop))
{
    if (!budget_ || !drop_)
        return;
    const std::lock_guard lock(budget_->mutex_);
    budget_->droppable_.insert(this);
}

MemoryBudget::Holder::~Holder()
{
    if (!budget_)
        return;
    const std::lock_guard lock(budget_->mutex_);
    budget_->used_ -= bytes_;
    if (isDropping_)
        budget_->dropping_ -= bytes_;
    budget_->droppable_.erase(this);
}

void MemoryBudget::Holder::update(size_t bytes, Use use, Millis since)
{
    if (!budget_)
        return;
    const std::lock_guard lock(budget_->mutex_);
    const size_t before = std::exchange(bytes_, bytes);
    use_ = use;
    since_ = since;
    budget_->used_ += bytes - before;
    if (isDropping_) {
        budget_->dropping_ -= before;
        isDropping_ = bytes >= before && use != Use::Needed;
        if (isDropping_)
            budget_->dropping_ += bytes;
    }
    if (bytes > before)
        budget_->relieve(bytes <= smallBytes ? budget_->limit_ : budget_->limit_ - budget_->limit_ / smallShare);
}

bool MemoryBudget::Holder::isDropping() const
{
    if (!budget_)
        return false;
    const std::lock_guard lock(budget_->mutex_);
    return isDropping_;
}

MemoryBudget::MemoryBudget(size_t bytes, Clock clock)
    : limit_(bytes)
    , clock_(std::move(clock))
{
}

bool MemoryBudget::hasRoom(size_t bytes) const
{
    const std::lock_guard lock(mutex_);
    return used_ + bytes <= limit_;
}

size_t MemoryBudget::used() const
{
    const std::lock_guard lock(mutex_);
    return used_;
}

uint64_t MemoryBudget::drops() const
{
    const std::lock_guard lock(mutex_);
    return drops_;
}

// Drops holders until the bytes of the others are within the threshold. Each search drops a holder, so the cost of the
// searches is bounded by the number of dropped requests.
void MemoryBudget::relieve(size_t threshold)
{
    while (used_ - dropping_ > threshold) {
        Holder* victim = findVictim(Use::Unfinished);
        if (!victim)
            victim = findVictim(Use::Unread);
        if (!victim)
            return;
        victim->isDropping_ = true;
        dropping_ += victim->bytes_;
        ++drops_;
        victim->drop_();
    }
}

// Returns the holder with the largest product of bytes and time. A request that arrives quickly is small in it, however
// large it is, compared with one that stays open.
MemoryBudget::Holder* MemoryBudget::findVictim(Use use) const
{
    const Millis now = clock_();
    Holder* victim = nullptr;
    double largest = 0;
    for (Holder* holder : droppable_) {
        if (holder->use_ != use || holder->isDropping_)
            continue;
        const double score = static_cast<double>(holder->bytes_) * static_cast<double>((now - holder->since_).count() + 1);
        if (score > largest) {
            largest = score;
            victim = holder;
        }
    }
    return victim;
}

} // namespace hemlockweir
