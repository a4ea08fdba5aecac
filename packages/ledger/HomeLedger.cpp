#include "ledger/HomeLedger.h"

#include <algorithm>
#include <limits>

namespace hemlockweir {

HomeLedger::HomeLedger(Options options)
    : options_(std::move(options))
    , floor_(std::numeric_limits<int64_t>::min())
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
        if (!hasRoom(caller))
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
    auto say = [&](HomeVerdict verdict) { return HomeAnswer { .attempt = request.attempt, .verdict = verdict, .answer = {} }; };
    std::lock_guard lock(mutex_);
    expire(now);
    if (isLost(key, now))
        return say(HomeVerdict::Lost);
    const RecordId id { key->issuedAtMs, key->nonce };
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.state != State::Free)
        return judgeHeld(request, found->second);
    if (isRefused(*key, request.caller))
        return say(HomeVerdict::Refused);
    if (found != records_.end() && std::find(found->second.burned.begin(), found->second.burned.end(), request.attempt) != found->second.burned.end())
        return say(HomeVerdict::Running);
    if (found == records_.end() && !hasRoom(request.caller)) {
        raiseFloor(request.caller, now);
        return say(HomeVerdict::Refused);
    }
    Record& record = found == records_.end() ? addRecord(id, request.caller) : found->second;
    hold(record, request, holder);
    return say(HomeVerdict::Granted);
}

void HomeLedger::hold(Record& record, const HomeClaim& request, const std::string& holder)
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

HomeAnswer HomeLedger::judgeHeld(const HomeClaim& request, const Record& record) const
{
    HomeAnswer answer { .attempt = request.attempt, .verdict = HomeVerdict::Running, .answer = {} };
    if (record.requestHash != request.requestHash) {
        answer.verdict = HomeVerdict::Mismatch;
    } else if (record.state == State::Claimed) {
        // The answer to an earlier send of this very attempt was lost.
        answer.verdict = record.attempt == request.attempt ? HomeVerdict::Granted : HomeVerdict::Running;
    } else {
        answer.verdict = record.answer.isKept ? HomeVerdict::Finished : HomeVerdict::NotKept;
        answer.answer = record.answer;
    }
    return answer;
}

HomeAnswer HomeLedger::settle(const HomeSettle& outcome)
{
    const Millis now = options_.clock();
    const auto key = parseBoundKey(QByteArray::fromStdString(outcome.key), outcome.caller, options_.clusterKey);
    HomeAnswer answer { .attempt = outcome.attempt, .verdict = HomeVerdict::Lost, .answer = {} };
    std::lock_guard lock(mutex_);
    expire(now);
    if (isLost(key, now))
        return answer;
    answer.verdict = HomeVerdict::Settled;
    const RecordId id { key->issuedAtMs, key->nonce };
    const auto found = records_.find(id);
    const bool isHeld = found != records_.end() && found->second.state == State::Claimed && found->second.attempt == outcome.attempt;
    if (isHeld && outcome.ran)
        keepAnswer(id, found->second, outcome.answer);
    else if (isHeld)
        release(found->second, State::Free);
    if (outcome.ran)
        return answer;
    if (found != records_.end())
        burn(found->second, outcome.attempt);
    else if (hasRoom(outcome.caller))
        burn(addRecord(id, outcome.caller), outcome.attempt);
    return answer;
}

void HomeLedger::drain()
{
    std::lock_guard lock(mutex_);
    isDraining_ = true;
    floor_ = std::numeric_limits<int64_t>::max();
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
        dropAnswer(record);
        if (record.state == State::Claimed)
            release(record, State::Free);
        const auto count = counts_.find(record.caller);
        if (--count->second == 0)
            counts_.erase(count);
        records_.erase(records_.begin());
    }
}

void HomeLedger::dropAnswer(Record& record)
{
    if (record.answerNumber == 0)
        return;
    answers_.erase(record.answerNumber);
    answerBytes_ -= record.answer.body.size();
    record.answer = {};
    record.answerNumber = 0;
}

void HomeLedger::keepAnswer(const RecordId& id, Record& record, const KeptAnswer& answer)
{
    release(record, State::Done);
    if (!answer.isKept)
        return;
    record.answer = answer;
    record.answerNumber = ++lastAnswer_;
    answers_[record.answerNumber] = id;
    answerBytes_ += answer.body.size();
    while (answerBytes_ > options_.maxAnswerBytes)
        dropAnswer(records_.at(answers_.begin()->second));
}

bool HomeLedger::isRefused(const BoundKey& key, const std::string& caller) const
{
    const auto floor = floors_.find(caller);
    return key.issuedAtMs <= floor_ || (floor != floors_.end() && key.issuedAtMs <= floor->second);
}

bool HomeLedger::hasRoom(const std::string& caller) const
{
    const auto count = counts_.find(caller);
    return records_.size() < options_.maxRecords && (count == counts_.end() || count->second < options_.maxRecordsPerCaller);
}

void HomeLedger::raiseFloor(const std::string& caller, Millis now)
{
    if (records_.size() >= options_.maxRecords)
        floor_ = std::max<int64_t>(floor_, now.count());
    else
        floors_[caller] = now.count();
}

HomeLedger::Record& HomeLedger::addRecord(const RecordId& id, const std::string& caller)
{
    ++counts_[caller];
    Record& record = records_[id];
    record.caller = caller;
    return record;
}

void HomeLedger::burn(Record& record, const std::string& attempt)
{
    if (record.burned.size() >= maxBurned)
        record.burned.erase(record.burned.begin());
    record.burned.push_back(attempt);
}

} // namespace hemlockweir
