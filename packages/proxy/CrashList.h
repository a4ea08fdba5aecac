#pragma once

#include "base/Clock.h"
#include "proxy/RecentParts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

// Detects what crashes every endpoint that runs it, and blocks it before it takes down one endpoint after another: a
// request that its caller repeats, on any node, or a part of a prompt that different requests share. Performs no I/O.
//
// A lost connection alone is no evidence of a crash: the endpoint may have failed this one response only. It counts
// as a crash once the endpoint is found to be down. All requests that ran on the endpoint at that time are suspects; a
// suspect is cleared as soon as an endpoint answers it.
//
// A part of a prompt is blocked when it explains enough crashes by itself. Prompts that share a part mostly share the parts
// before it too, so the last parts are examined first, and a crash that is explained is not held against another part. A
// part with a whole answer by one endpoint, here or at another node, is sound. An answer that only began proves nothing, since an
// endpoint may crash at any event of it; but of two parts in the same place one without even that is examined first.

namespace hemlockweir {

// What identifies a request to the crash list.
struct CrashSubject {
    uint64_t request = 0; // CrashList::fingerprint()
    std::vector<uint64_t> sharedParts; // hashes of the parts of its prompt that other requests may have, in their order; 0: no suspect

    auto operator<=>(const CrashSubject&) const = default;
};

// A request that ran on an endpoint which crashed.
struct CrashReport {
    CrashSubject subject;
    uint32_t endpoint = 0; // hashTarget() of its id

    auto operator<=>(const CrashReport&) const = default;
};

// What crashes endpoints and is not sent to any.
struct CrashBlock {
    uint64_t blocked = 0; // fingerprint of a request, or hash of a part of prompts
    bool isPart = false;
    bool isOwn = false; // found by this node or kept from before, and not only reported by another node

    auto operator<=>(const CrashBlock&) const = default;
};

class CrashList {
public:
    struct Options {
        Clock clock;
        size_t crashThreshold = 3; // crashes after which a request or a part is blocked; two may be coincidence
        size_t requestThreshold = 2; // different requests that must have crashed with a part before the part is blocked
        Millis confirmationWindow { 6000 }; // ms, for which a lost connection can still be confirmed as a crash; the endpoint list lags by some seconds
        Millis retention { 60000 }; // ms, for which a crash counts, and a block holds after its last crash or request
        Millis maxBlockTime { 600000 }; // ms, after which a block ends in any case: nothing that is blocked can prove to be sound
        Millis soundPartLifetime { 60000 }; // ms, for which a part counts as sound after a whole answer
        Millis peerBlockLifetime { 5000 }; // ms, for which a block of another node holds after it was last reported
        size_t maxCrashes = 300; // crashes and lost connections to track; beyond this the oldest are dropped
        size_t maxSuspectsPerCrash = 256; // more requests on one endpoint are ignored
        size_t maxSuspectParts = 20000; // parts in all crashes; beyond this the oldest crashes are dropped, and of one crash the longest prompts
        size_t maxSoundParts = 4000; // to remember; beyond this those without an answer for the longest time are dropped
        std::function<void(const std::string& endpoint)> onConnectionLost; // asks to check whether the endpoint is alive; may be empty
        std::function<void(const CrashReport&, const std::string& endpoint)> onCrash; // a crash of this endpoint found by this node, to be published; may be empty
        std::function<void(uint64_t part)> onSoundPart; // a suspected part is sound, to be published; may be empty
        std::function<void(uint64_t blocked, size_t crashes)> onBlocked; // this node found what explains so many crashes; may be empty
    };

    explicit CrashList(Options options);

    // Returns the fingerprint of a request. Repetitions of a request by the same caller have the same fingerprint.
    static uint64_t fingerprint(std::string_view caller, std::string_view method, std::string_view target, std::string_view body);

    // Returns the hashes of the shared parts of a prompt, "ID:TOKENS,ID:TOKENS,...": all but the last one, which belongs to the
    // request itself. The same part has another hash for another service or model.
    static std::vector<uint64_t> hashSharedParts(std::string_view service, std::string_view model, std::string_view prompt);

    // Records that the connection on which an endpoint ran the request was lost, at any point of the response.
    void noteConnectionLost(const CrashSubject& subject, const std::string& endpoint);

    // Records that an endpoint is down. Requests that lost their connection to it within confirmationWindow may have
    // crashed it.
    void noteEndpointDown(const std::string& endpoint);

    // Applies a crash that another node found so long ago, or some of the suspected parts of one.
    void notePeerCrash(const CrashReport& report, Millis age = Millis(0));

    // Clears a request that one endpoint answered completely.
    void noteAnswered(uint64_t request);

    // Records that an endpoint began to answer a request that has these parts.
    void noteBegunParts(const std::vector<uint64_t>& parts);

    // Records that an endpoint survived these parts: it wrote the whole answer to a request that has them.
    void noteSoundParts(const std::vector<uint64_t>& parts);

    // Applies what another node reported: a part is sound, or blocked.
    void notePeerSoundPart(uint64_t part);
    void notePeerBlock(uint64_t part);

    // Applies a block that was kept from before this process started. It holds like one that this node finds now.
    void noteKeptBlock(const CrashBlock& block);

    // Returns the fingerprint of the request, or the hash of a part of its prompt, if it crashed so many endpoints that it must
    // not be sent to another one; nullopt if the request may be sent. A block holds on while requests ask for what is blocked,
    // up to maxBlockTime.
    std::optional<uint64_t> findBlock(const CrashSubject& subject);
    bool isBlocked(const CrashSubject& subject) { return findBlock(subject).has_value(); }

    // Returns all blocks in force.
    std::vector<CrashBlock> blocks();

    // Returns the parts that this node itself found to crash endpoints, to be published to nodes that have started since.
    std::vector<uint64_t> ownBlocks() const;

    // Removes expired entries. Call periodically.
    void sweep();

    // Returns whether nothing is suspected.
    bool isEmpty() const { return crashes_.empty() && lost_.empty() && blocks_.empty(); }

private:
    // A lost connection; the endpoint's state is not known yet.
    struct LostConnection {
        CrashReport report;
        Millis at { 0 };
    };

    // A crash of an endpoint, and the requests that it ran, with their suspected parts.
    struct Crash {
        uint32_t endpoint = 0; // hashTarget() of its id
        Millis at { 0 };
        std::map<uint64_t, std::vector<uint64_t>> suspects; // by fingerprint

        size_t countParts() const;
    };

    struct Block {
        Millis foundAt { 0 };
        Millis expiresAt { 0 };
        bool isOwn = false; // found by this node and not only reported by another
        bool isPart = false; // of prompts; else a request
    };

    // The crashes in which a part or request is a suspect.
    struct Evidence {
        bool hasBegun = false; // an endpoint began to answer a request with the part
        size_t position = 0; // largest position of the part in a prompt
        std::set<size_t> crashes; // indices in crashes_
        std::set<uint64_t> requests;
    };

    bool isSound(uint64_t part) const { return soundParts_.contains(part); }
    std::vector<uint64_t> withoutSoundParts(const std::vector<uint64_t>& parts) const;
    void addCrash(const CrashReport& report, Millis at);
    void limitParts(Crash& crash);
    void limitCrashes();
    void clearParts(const std::unordered_set<uint64_t>& parts);
    void findBlocks();
    std::map<uint64_t, Evidence> collectPartEvidence() const;
    void blockIfUnexplained(uint64_t blocked, bool isPart, const std::set<size_t>& crashes, std::set<size_t>& explained);
    bool extendBlock(uint64_t blocked);

    Options options_;
    std::vector<LostConnection> lost_;
    std::vector<Crash> crashes_; // in order of time
    RecentParts soundParts_;
    RecentParts begunParts_;
    std::map<uint64_t, Block> blocks_; // by fingerprint or hash of a part
    bool hasNewEvidence_ = false; // blocks_ has to be computed again
};

} // namespace hemlockweir
