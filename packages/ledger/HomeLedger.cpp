#include "ledger/HomeLedger.h"

#include <algorithm>
#include <limits>

namespace hemlockweir {

HomeLedger::HomeLedger(Options options)
    : options_(std::move(options))
    , cutoff_(std::numeric_limits<int64_t>::min())
{
}

absl::StatusOr<QByteArray> HomeLedger::issue(const std::string& caller)
{
    const Millis now = options_.clock();
    const uint64_t nonce = options_.random();
    {
        std::lock_guard lock(mutex_);
        expire(now);
        if (isDraining_)
            return absl::UnavailableError("this node is in a planned stop");
        if (!hasCapacity(caller))
            return absl::ResourceExhaustedError("this node keeps as many claims as it may");
    }
    return formatBoundKey({ .home = options_.home, .start = options_.start, .issuedAtMs = now.count(), .nonce = nonce }, caller, options_.clusterKey);
}

bool HomeLedger::isLost(const absl::StatusOr<BoundKey>& key, Millis now) const
{
    return !key.ok() || key->start != options_.start || Millis(key->issuedAtMs) + options_.keyLifetime <= now;
}

HomeAnswer HomeLedger::claim(const HomeClaim& request, const std::string& holder)
{
    const Millis now = options_.clock();
    const auto key = parseBoundKey(QByteArray::fromStdString(request.key), request.caller, options_.clusterKey);
    auto makeAnswer = [&](HomeVerdict verdict) { return HomeAnswer { .attempt = request.attempt, .verdict = verdict, .answer = {} }; };
    std::lock_guard lock(mutex_);
    expire(now);
    if (isLost(key, now))
        return makeAnswer(HomeVerdict::Lost);
    const RecordId id { key->issuedAtMs, key->nonce };
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.state != State::Free)
        return answerExisting(request, found->second);
    if (isRefused(*key, request.caller))
        return makeAnswer(HomeVerdict::Refused);
    if (found != records_.end() && std::find(found->second.cancelledAttempts.begin(), found->second.cancelledAttempts.end(), request.attempt) != found->second.cancelledAttempts.end())
        return makeAnswer(HomeVerdict::Running);
    if (found == records_.end() && !hasCapacity(request.caller)) {
        raiseCutoff(request.caller, now);
        return makeAnswer(HomeVerdict::Refused);
    }
    Record& record = found == records_.end() ? addRecord(id, request.caller) : found->second;
    acquire(record, request, holder);
    return makeAnswer(HomeVerdict::Granted);
}

void HomeLedger::acquire(Record& record, const HomeClaim& request, const std::string& holder)
{
    record.state = State::Claimed;
    record.attempt = request.attempt;
    record.holder = holder;
    record.requestHash = request.requestHash;
    ++held_[holder];
}

void HomeLedger::release(Record& record, State next)
{
    const auto held = held_.find(record.holder);
    if (--held->second == 0)
        held_.erase(held);
    record.state = next;
}

HomeAnswer HomeLedger::answerExisting(const HomeClaim& request, const Record& record) const
{
    HomeAnswer answer { .attempt = request.attempt, .verdict = HomeVerdict::Running, .answer = {} };
    if (record.requestHash != request.requestHash) {
        answer.verdict = HomeVerdict::Mismatch;
    } else if (record.state == State::Claimed) {
        // The answer to an earlier copy of this claim was lost.
        answer.verdict = record.attempt == request.attempt ? HomeVerdict::Granted : HomeVerdict::Running;
    } else {
        answer.verdict = record.answer.isStored ? HomeVerdict::Finished : HomeVerdict::NotStored;
        answer.answer = record.answer;
    }
    return answer;
}

HomeAnswer HomeLedger::settle(const HomeOutcome& outcome)
{
    const Millis now = options_.clock();
    const auto key = parseBoundKey(QByteArray::fromStdString(outcome.key), outcome.caller, options_.clusterKey);
    HomeAnswer answer { .attempt = outcome.attempt, .verdict = HomeVerdict::Lost, .answer = {} };
    std::lock_guard lock(mutex_);
    expire(now);
    if (isLost(key, now))
        return answer;
    answer.verdict = HomeVerdict::OutcomeRecorded;
    const RecordId id { key->issuedAtMs, key->nonce };
    const auto found = records_.find(id);
    const bool isHeld = found != records_.end() && found->second.state == State::Claimed && found->second.attempt == outcome.attempt;
    if (isHeld && outcome.ran)
        storeAnswer(id, found->second, outcome.answer);
    else if (isHeld)
        release(found->second, State::Free);
    if (outcome.ran)
        return answer;
    if (found != records_.end())
        cancelAttempt(found->second, outcome.attempt);
    else if (hasCapacity(outcome.caller))
        cancelAttempt(addRecord(id, outcome.caller), outcome.attempt);
    return answer;
}

void HomeLedger::drain()
{
    std::lock_guard lock(mutex_);
    isDraining_ = true;
    cutoff_ = std::numeric_limits<int64_t>::max();
}

std::vector<std::string> HomeLedger::holders() const
{
    std::lock_guard lock(mutex_);
    std::vector<std::string> nodes;
    for (const auto& [node, count] : held_)
        nodes.push_back(node);
    return nodes;
}

size_t HomeLedger::heldCount() const
{
    std::lock_guard lock(mutex_);
    size_t claims = 0;
    for (const auto& [node, count] : held_)
        claims += count;
    return claims;
}

size_t HomeLedger::recordCount() const
{
    std::lock_guard lock(mutex_);
    return records_.size();
}

size_t HomeLedger::answerBytes() const
{
    std::lock_guard lock(mutex_);
    return answerBytes_;
}

void HomeLedger::expire(Millis now)
{
    while (!records_.empty() && Millis(records_.begin()->first.first) + options_.keyLifetime <= now) {
        Record& record = records_.begin()->second;
        removeAnswer(record);
        if (record.state == State::Claimed)
            release(record, State::Free);
        const auto count = counts_.find(record.caller);
        if (--count->second == 0)
            counts_.erase(count);
        records_.erase(records_.begin());
    }
}

void HomeLedger::removeAnswer(Record& record)
{
    if (record.answerNumber == 0)
        return;
    answers_.erase(record.answerNumber);
    answerBytes_ -= record.answer.body.size();
    record.answer = {};
    record.answerNumber = 0;
}

void HomeLedger::storeAnswer(const RecordId& id, Record& record, const WireAnswer& answer)
{
    release(record, State::Done);
    if (!answer.isStored)
        return;
    record.answer = answer;
    record.answerNumber = ++lastAnswer_;
    answers_[record.answerNumber] = id;
    answerBytes_ += answer.body.size();
    while (answerBytes_ > options_.maxAnswerBytes)
        removeAnswer(records_.at(answers_.begin()->second));
}

bool HomeLedger::isRefused(const BoundKey& key, const std::string& caller) const
{
    const auto cutoff = callerCutoffs_.find(caller);
    return key.issuedAtMs <= cutoff_ || (cutoff != callerCutoffs_.end() && key.issuedAtMs <= cutoff->second);
}

bool HomeLedger::hasCapacity(const std::string& caller) const
{
    const auto count = counts_.find(caller);
    return records_.size() < options_.maxRecords && (count == counts_.end() || count->second < options_.maxRecordsPerCaller);
}

void HomeLedger::raiseCutoff(const std::string& caller, Millis now)
{
    if (records_.size() >= options_.maxRecords)
        cutoff_ = std::max<int64_t>(cutoff_, now.count());
    else
        callerCutoffs_[caller] = now.count();
}

HomeLedger::Record& HomeLedger::addRecord(const RecordId& id, const std::string& caller)
{
    ++counts_[caller];
    Record& record = records_[id];
    record.caller = caller;
    return record;
}

void HomeLedger::cancelAttempt(Record& record, const std::string& attempt)
{
    if (record.cancelledAttempts.size() >= maxCancelledAttempts)
        record.cancelledAttempts.erase(record.cancelledAttempts.begin());
    record.cancelledAttempts.push_back(attempt);
}

} // namespace hemlockweir
