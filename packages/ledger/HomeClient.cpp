#include "ledger/HomeClient.h"

#include "base/Log.h"
#include "ledger/BoundKey.h"

#include <algorithm>

namespace hemlockweir {

static ClaimOutcome outcomeOf(HomeVerdict verdict)
{
    switch (verdict) {
    case HomeVerdict::Granted:
        return ClaimOutcome::Granted;
    case HomeVerdict::Finished:
        return ClaimOutcome::Finished;
    case HomeVerdict::NotStored:
        return ClaimOutcome::NotStored;
    case HomeVerdict::Running:
        return ClaimOutcome::Running;
    case HomeVerdict::Mismatch:
        return ClaimOutcome::Mismatch;
    case HomeVerdict::Refused:
        return ClaimOutcome::Refused;
    case HomeVerdict::Lost:
    case HomeVerdict::OutcomeRecorded:
        break;
    }
    return ClaimOutcome::Lost;
}

static WireAnswer toWireAnswer(const StoredAnswer& answer)
{
    if (answer.body.size() > maxStoredAnswerBytes || answer.contentType.size() > maxContentTypeLength)
        return {};
    return { .isStored = true, .status = answer.status, .contentType = answer.contentType.toStdString(), .body = answer.body.toStdString() };
}

HomeClient::HomeClient(Options options)
    : options_(std::move(options))
{
}

void HomeClient::claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done)
{
    const auto key = parseBoundKey(request.idempotencyKey, request.caller, options_.clusterKey);
    if (!key.ok()) {
        done({ .outcome = ClaimOutcome::Foreign, .answer = {} });
        return;
    }
    const HomeClaim claim { .key = request.idempotencyKey.toStdString(),
        .caller = request.caller,
        .attempt = makeRandomId(options_.random) + makeRandomId(options_.random),
        .requestHash = request.requestHash.toStdString() };
    sendClaim(key->home, claim, options_.tries, done);
}

void HomeClient::sendClaim(const std::string& home, const HomeClaim& claim, int triesLeft, const std::function<void(const ClaimResult&)>& done)
{
    options_.sendClaim(home, claim, [this, home, claim, triesLeft, done](const absl::StatusOr<HomeAnswer>& answer) {
        if (answer.ok() && answer->attempt == claim.attempt) {
            handleVerdict(home, claim, *answer, done);
            return;
        }
        if (triesLeft > 1) {
            sendClaim(home, claim, triesLeft - 1, done);
            return;
        }
        // The home may have granted the claim. This attempt never runs, so the claim is released
        // there.
        settle(home, { .key = claim.key, .caller = claim.caller, .attempt = claim.attempt, .ran = false, .answer = {} }, 1, {});
        done({ .outcome = ClaimOutcome::Unreachable, .answer = {} });
    });
}

void HomeClient::handleVerdict(const std::string& home, const HomeClaim& claim, const HomeAnswer& answer, const std::function<void(const ClaimResult&)>& done)
{
    ClaimResult result { .outcome = outcomeOf(answer.verdict), .answer = {} };
    if (result.outcome == ClaimOutcome::Granted)
        held_[claim.key] = { .home = home, .attempt = claim.attempt };
    if (result.outcome == ClaimOutcome::Finished)
        result.answer = { .status = answer.answer.status, .contentType = QByteArray::fromStdString(answer.answer.contentType), .body = QByteArray::fromStdString(answer.answer.body) };
    done(result);
}

void HomeClient::complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done)
{
    const auto held = held_.extract(request.idempotencyKey.toStdString());
    if (held.empty()) {
        if (done)
            done(false);
        return;
    }
    settle(held.mapped().home, { .key = held.key(), .caller = request.caller, .attempt = held.mapped().attempt, .ran = true, .answer = toWireAnswer(answer) }, 1, done);
}

void HomeClient::abandon(const ClaimRequest& request)
{
    const auto held = held_.extract(request.idempotencyKey.toStdString());
    if (!held.empty())
        settle(held.mapped().home, { .key = held.key(), .caller = request.caller, .attempt = held.mapped().attempt, .ran = false, .answer = {} }, 1, {});
}

void HomeClient::settle(const std::string& home, const HomeOutcome& outcome, int tries, const std::function<void(bool)>& done)
{
    options_.sendOutcome(home, outcome, [this, home, outcome, tries, done](const absl::StatusOr<HomeAnswer>& answer) {
        const bool isAcknowledged = answer.ok() && answer->attempt == outcome.attempt;
        if (done)
            done(isAcknowledged && answer->verdict == HomeVerdict::OutcomeRecorded);
        if (!isAcknowledged)
            retryOutcome(home, outcome, tries);
    });
}

void HomeClient::retryOutcome(const std::string& home, const HomeOutcome& outcome, int tries)
{
    if (tries >= options_.backgroundTries || pendingRetries_ >= options_.maxPendingRetries) {
        logWarning("claim_left", { { "home", home }, { "reason", "the home node did not answer; the key remains in progress there" } });
        return;
    }
    constexpr int maxDoublings = 6;
    ++pendingRetries_;
    QTimer::singleShot(options_.retryDelay * (1 << std::min(tries - 1, maxDoublings)), this, [this, home, outcome, tries] {
        --pendingRetries_;
        settle(home, outcome, tries + 1, {});
    });
}

ClaimRouter::ClaimRouter(ClaimLedger& platform, HomeClient& homes)
    : platform_(platform)
    , homes_(homes)
{
}

void ClaimRouter::claim(const ClaimRequest& request, std::function<void(const ClaimResult&)> done)
{
    if (hasBoundKeyPrefix(request.idempotencyKey))
        homes_.claim(request, std::move(done));
    else
        platform_.claim(request, std::move(done));
}

void ClaimRouter::complete(const ClaimRequest& request, const StoredAnswer& answer, std::function<void(bool)> done)
{
    if (hasBoundKeyPrefix(request.idempotencyKey))
        homes_.complete(request, answer, std::move(done));
    else
        platform_.complete(request, answer, std::move(done));
}

void ClaimRouter::abandon(const ClaimRequest& request)
{
    if (hasBoundKeyPrefix(request.idempotencyKey))
        homes_.abandon(request);
    else
        platform_.abandon(request);
}

} // namespace hemlockweir
