#include "proxy/CrashList.h"

#include "base/StableHash.h"
#include "proxy/Placement.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace hemlockweir {

// Two reports about the same endpoint within this time refer to the same crash, since a restart takes longer.
static constexpr Millis sameCrashWindow { 1000 };

CrashList::CrashList(Options options)
    : options_(std::move(options))
    , soundParts_({ .limit = options_.maxSoundParts, .lifetime = options_.soundPartLifetime })
    , begunParts_({ .limit = options_.maxSoundParts, .lifetime = options_.soundPartLifetime })
{
}

static uint64_t hashTexts(std::initializer_list<std::string_view> texts)
{
    uint64_t hash = stableHashStart;
    for (const std::string_view text : texts) {
        hash = extendStableHash(hash, text);
        hash = extendStableHash(hash, std::string_view("\0", 1));
    }
    return hash;
}

uint64_t CrashList::fingerprint(std::string_view caller, std::string_view method, std::string_view target, std::string_view body)
{
    return hashTexts({ caller, method, target, body });
}

std::vector<uint64_t> CrashList::hashSharedParts(std::string_view service, std::string_view model, std::string_view prompt)
{
    std::vector<uint64_t> hashes;
    size_t at = 0;
    for (size_t comma = prompt.find(','); comma != std::string_view::npos; comma = prompt.find(',', at)) {
        const std::string_view part = prompt.substr(at, comma - at);
        at = comma + 1;
        const std::string_view id = part.substr(0, part.find(':'));
        const size_t start = id.find_first_not_of(" \t");
        if (start != std::string_view::npos)
            hashes.push_back(hashTexts({ service, model, id.substr(start) }));
    }
    return hashes;
}

// Returns the parts with a 0 in place of each sound one, so that the others keep their positions.
std::vector<uint64_t> CrashList::withoutSoundParts(const std::vector<uint64_t>& parts) const
{
    std::vector<uint64_t> suspects = parts;
    std::replace_if(
        suspects.begin(), suspects.end(), [this](uint64_t part) { return isSound(part); }, 0);
    return suspects;
}

// Drops the oldest elements beyond the limit.
template <typename T>
static void limitSize(std::vector<T>& elements, size_t limit)
{
    if (elements.size() > limit)
        elements.erase(elements.begin(), elements.end() - static_cast<ptrdiff_t>(limit));
}

void CrashList::noteConnectionLost(const CrashSubject& subject, const std::string& endpoint)
{
    lost_.push_back({ .report = { .subject = { .request = subject.request, .sharedParts = withoutSoundParts(subject.sharedParts) }, .endpoint = hashTarget(endpoint) }, .at = options_.clock() });
    limitSize(lost_, options_.maxCrashes);
    if (options_.onConnectionLost)
        options_.onConnectionLost(endpoint);
}

void CrashList::noteEndpointDown(const std::string& endpoint)
{
    const uint32_t hash = hashTarget(endpoint);
    const Millis earliest = options_.clock() - options_.confirmationWindow;
    std::vector<LostConnection> confirmed;
    std::copy_if(lost_.begin(), lost_.end(), std::back_inserter(confirmed), [&](const LostConnection& lost) { return lost.report.endpoint == hash && lost.at >= earliest; });
    std::erase_if(lost_, [hash](const LostConnection& lost) { return lost.report.endpoint == hash; });
    std::set<CrashReport> reported;
    for (const LostConnection& lost : confirmed) {
        addCrash(lost.report, lost.at);
        if (reported.insert(lost.report).second && options_.onCrash)
            options_.onCrash(lost.report, endpoint);
    }
}

void CrashList::notePeerCrash(const CrashReport& report, Millis age)
{
    for (const uint64_t part : report.subject.sharedParts) {
        if (isSound(part) && options_.onSoundPart)
            options_.onSoundPart(part);
    }
    addCrash({ .subject = { .request = report.subject.request, .sharedParts = withoutSoundParts(report.subject.sharedParts) }, .endpoint = report.endpoint }, options_.clock() - age);
}

// Adds the suspected parts of a prompt to those known of it. Returns whether one is new.
static bool addParts(std::vector<uint64_t>& known, const std::vector<uint64_t>& parts)
{
    if (std::all_of(parts.begin(), parts.end(), [](uint64_t part) { return part == 0; }))
        return false;
    bool hasNew = false;
    known.resize(std::max(known.size(), parts.size()));
    for (size_t position = 0; position < parts.size(); ++position) {
        if (parts[position] == 0 || known[position] != 0)
            continue;
        known[position] = parts[position];
        hasNew = true;
    }
    return hasNew;
}

void CrashList::addCrash(const CrashReport& report, Millis at)
{
    auto crash = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& known) { return known.endpoint == report.endpoint && std::chrono::abs(known.at - at) < sameCrashWindow; });
    if (crash == crashes_.end()) {
        crash = crashes_.insert(std::upper_bound(crashes_.begin(), crashes_.end(), at, [](Millis time, const Crash& known) { return time < known.at; }), Crash { .endpoint = report.endpoint, .at = at });
    }
    const bool isFull = crash->suspects.size() >= options_.maxSuspectsPerCrash;
    if (isFull && crash->suspects.count(report.subject.request) == 0)
        return;
    const auto [suspect, isNew] = crash->suspects.try_emplace(report.subject.request);
    const bool hasNewParts = addParts(suspect->second, report.subject.sharedParts);
    if (!isNew && !hasNewParts)
        return;
    hasNewEvidence_ = true;
    limitParts(*crash);
    limitCrashes();
}

size_t CrashList::Crash::countParts() const
{
    return std::accumulate(suspects.begin(), suspects.end(), size_t { 0 }, [](size_t count, const auto& suspect) { return count + suspect.second.size(); });
}

// Drops the parts of the longest prompts beyond what leaves room for as many crashes as explain a block.
void CrashList::limitParts(Crash& crash)
{
    for (size_t count = crash.countParts(); count > options_.maxSuspectParts / options_.crashThreshold;) {
        const auto longest = std::max_element(crash.suspects.begin(), crash.suspects.end(), [](const auto& one, const auto& other) { return one.second.size() < other.second.size(); });
        count -= std::exchange(longest->second, {}).size();
    }
}

// Drops the oldest crashes beyond the limits.
void CrashList::limitCrashes()
{
    limitSize(crashes_, options_.maxCrashes);
    auto oldestKept = crashes_.end();
    for (size_t parts = 0; oldestKept != crashes_.begin(); --oldestKept) {
        parts += std::prev(oldestKept)->countParts();
        if (parts > options_.maxSuspectParts)
            break;
    }
    crashes_.erase(crashes_.begin(), oldestKept);
}

void CrashList::noteAnswered(uint64_t request)
{
    std::erase_if(lost_, [request](const LostConnection& lost) { return lost.report.subject.request == request; });
    for (Crash& crash : crashes_)
        hasNewEvidence_ = crash.suspects.erase(request) > 0 || hasNewEvidence_;
    std::erase_if(crashes_, [](const Crash& crash) { return crash.suspects.empty(); });
    blocks_.erase(request);
}

void CrashList::noteBegunParts(const std::vector<uint64_t>& parts)
{
    for (const uint64_t part : parts)
        hasNewEvidence_ = begunParts_.note(part, options_.clock()) || hasNewEvidence_;
}

void CrashList::noteSoundParts(const std::vector<uint64_t>& parts)
{
    std::unordered_set<uint64_t> cleared;
    for (const uint64_t part : parts) {
        if (soundParts_.note(part, options_.clock()))
            cleared.insert(part);
    }
    clearParts(cleared);
}

void CrashList::notePeerSoundPart(uint64_t part)
{
    if (!isSound(part))
        noteSoundParts({ part });
}

// Withdraws the suspicion against the parts, and tells the other nodes of each against which there was one.
void CrashList::clearParts(const std::unordered_set<uint64_t>& parts)
{
    if (parts.empty())
        return;
    std::set<uint64_t> suspects;
    for (const uint64_t part : parts) {
        if (blocks_.erase(part) > 0)
            suspects.insert(part);
    }
    for (Crash& crash : crashes_) {
        for (auto& [request, suspected] : crash.suspects) {
            for (uint64_t& part : suspected) {
                if (parts.contains(part))
                    suspects.insert(std::exchange(part, 0));
            }
        }
    }
    hasNewEvidence_ = hasNewEvidence_ || !suspects.empty();
    if (!options_.onSoundPart)
        return;
    for (const uint64_t part : suspects)
        options_.onSoundPart(part);
}

void CrashList::notePeerBlock(uint64_t part)
{
    if (isSound(part)) {
        if (options_.onSoundPart)
            options_.onSoundPart(part);
        return;
    }
    const Millis now = options_.clock();
    Block& block = blocks_.try_emplace(part, Block { .foundAt = now, .isPart = true }).first->second;
    block.expiresAt = std::max(block.expiresAt, now + options_.peerBlockLifetime);
}

void CrashList::noteKeptBlock(const CrashBlock& kept)
{
    if (kept.isPart && isSound(kept.blocked)) {
        if (options_.onSoundPart)
            options_.onSoundPart(kept.blocked);
        return;
    }
    const Millis now = options_.clock();
    Block& block = blocks_.try_emplace(kept.blocked, Block { .foundAt = now, .isPart = kept.isPart }).first->second;
    block.isOwn = true;
    block.expiresAt = std::max(block.expiresAt, std::min(now + options_.retention, block.foundAt + options_.maxBlockTime));
}

std::map<uint64_t, CrashList::Evidence> CrashList::collectPartEvidence() const
{
    std::map<uint64_t, Evidence> evidence;
    for (size_t i = 0; i < crashes_.size(); ++i) {
        for (const auto& [request, parts] : crashes_[i].suspects) {
            for (size_t position = 0; position < parts.size(); ++position) {
                if (parts[position] == 0)
                    continue;
                Evidence& found = evidence[parts[position]];
                found.hasBegun = begunParts_.contains(parts[position]);
                found.position = std::max(found.position, position);
                found.crashes.insert(i);
                found.requests.insert(request);
            }
        }
    }
    return evidence;
}

// Blocks a part or a request that is a suspect in enough crashes that nothing else explains; these are explained then. Lifts
// an earlier block if something else explains them now.
void CrashList::blockIfUnexplained(uint64_t blocked, bool isPart, const std::set<size_t>& crashes, std::set<size_t>& explained)
{
    const auto unexplained = static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(), [&](size_t crash) { return explained.count(crash) == 0; }));
    if (unexplained < options_.crashThreshold) {
        if (unexplained < crashes.size())
            blocks_.erase(blocked);
        return;
    }
    explained.insert(crashes.begin(), crashes.end());
    Block& block = blocks_.try_emplace(blocked, Block { .foundAt = options_.clock(), .isPart = isPart }).first->second;
    if (!std::exchange(block.isOwn, true) && options_.onBlocked)
        options_.onBlocked(blocked, crashes.size());
    block.expiresAt = std::max(block.expiresAt, crashes_[*crashes.rbegin()].at + options_.retention);
}

void CrashList::findBlocks()
{
    if (!std::exchange(hasNewEvidence_, false) || crashes_.size() < options_.crashThreshold)
        return;
    std::set<size_t> explained;
    const std::map<uint64_t, Evidence> evidence = collectPartEvidence();
    std::vector<std::pair<uint64_t, const Evidence*>> parts;
    parts.reserve(evidence.size());
    for (const auto& [part, found] : evidence)
        parts.emplace_back(part, &found);
    std::stable_sort(parts.begin(), parts.end(), [](const auto& one, const auto& other) {
        return std::tuple(one.second->position, !one.second->hasBegun, one.second->crashes.size()) > std::tuple(other.second->position, !other.second->hasBegun, other.second->crashes.size());
    });
    for (const auto& [part, found] : parts) {
        if (found->requests.size() >= options_.requestThreshold)
            blockIfUnexplained(part, true, found->crashes, explained);
    }
    std::map<uint64_t, std::set<size_t>> requests;
    for (size_t i = 0; i < crashes_.size(); ++i) {
        for (const auto& [request, suspectParts] : crashes_[i].suspects)
            requests[request].insert(i);
    }
    for (const auto& [request, crashes] : requests)
        blockIfUnexplained(request, false, crashes, explained);
}

// Returns whether the request or part is blocked, and if so extends a block that this node found.
bool CrashList::extendBlock(uint64_t blocked)
{
    const auto found = blocks_.find(blocked);
    const Millis now = options_.clock();
    if (found == blocks_.end() || found->second.expiresAt <= now)
        return false;
    Block& block = found->second;
    if (block.isOwn)
        block.expiresAt = std::min(now + options_.retention, block.foundAt + options_.maxBlockTime);
    return true;
}

std::optional<uint64_t> CrashList::findBlock(const CrashSubject& subject)
{
    findBlocks();
    const auto part = std::find_if(subject.sharedParts.begin(), subject.sharedParts.end(), [this](uint64_t shared) { return extendBlock(shared); });
    if (part != subject.sharedParts.end())
        return *part;
    return extendBlock(subject.request) ? std::optional<uint64_t>(subject.request) : std::nullopt;
}

std::vector<CrashBlock> CrashList::blocks()
{
    findBlocks();
    std::vector<CrashBlock> inForce;
    for (const auto& [blocked, block] : blocks_) {
        if (block.expiresAt > options_.clock())
            inForce.push_back({ .blocked = blocked, .isPart = block.isPart, .isOwn = block.isOwn });
    }
    return inForce;
}

std::vector<uint64_t> CrashList::ownBlocks() const
{
    std::vector<uint64_t> own;
    for (const auto& [blocked, block] : blocks_) {
        if (block.isOwn && block.isPart)
            own.push_back(blocked);
    }
    return own;
}

void CrashList::sweep()
{
    const Millis now = options_.clock();
    std::erase_if(lost_, [&](const LostConnection& lost) { return now - lost.at > options_.confirmationWindow; });
    if (std::erase_if(crashes_, [&](const Crash& crash) { return now - crash.at > options_.retention; }) > 0)
        hasNewEvidence_ = true;
    std::erase_if(blocks_, [&](const auto& entry) { return entry.second.expiresAt <= now; });
    soundParts_.removeExpired(now);
    begunParts_.removeExpired(now);
}

} // namespace hemlockweir
