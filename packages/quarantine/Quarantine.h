#pragma once

#include "base/Clock.h"
#include "wire/SuspectMessages.h"

#include <QByteArray>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

// Which requests crash the endpoints that run them. Every death of an endpoint counts once, by its
// id, against each request that was on it, whichever nodes saw it. A request with one death is a
// suspect: it runs only where no other suspect does, so that a second death tells it from its
// companions. With `limit` deaths it is quarantined. Finishing elsewhere clears its deaths.
//
// Each group has one owner among the living nodes, which takes it for a suspect at once. Any other
// node announces it first, and uses it if no peer names it at the end of that time. Of two that
// announce one group the one that ranks first for it stays, so that nodes in lockstep go on too.
//
// Thread-safe; its lock is a leaf.

namespace hemlockweir {

class Quarantine {
public:
    struct Options {
        std::string node; // this node's name
        size_t limit = 2; // deaths across the fleet after which a request is refused
        Millis expiry { 600000 }; // ms that a death counts
        Millis announceTime { 1000 }; // ms that a group of another node is announced before it is used
        Millis peerTimeout { 5000 }; // ms that a peer's groups count after it last named them
        size_t maxFingerprints = 10000; // requests held; new ones are not taken beyond
        Clock clock;
        std::function<bool(const std::string& group)> ownsGroup; // whether this node sends suspects there
        std::function<void()> onChange; // called without the lock when makeMessage() has news for peers
    };

    explicit Quarantine(Options options);

    // Identifies what a caller asks for, whatever node it comes to.
    static uint64_t fingerprintOf(const std::string& caller, const QByteArray& body);

    // Identifies the death of one group in one epoch.
    static uint64_t deathIdOf(const std::string& group, uint64_t epoch);

    // Counts a death that this node saw against a request that was there.
    void addDeath(uint64_t fingerprint, uint64_t deathId);

    // Clears a request that finished.
    void clear(uint64_t fingerprint);

    // Whether a request has any death, or too many.
    bool isSuspect(uint64_t fingerprint) const;
    bool isQuarantined(uint64_t fingerprint) const;

    // Reserves one of the groups for a suspect, the first that it may have: one that this node
    // owns, at once, or else any, once it was announced. None until then, or while other suspects
    // are on all of them: call again. The same run keeps its group, announced or not, until it is
    // released or the group is no longer among `groups`.
    std::optional<std::string> reserve(const std::vector<std::string>& groups, const std::string& run);
    void release(const std::string& run);

    // The role whose ranking tells which node owns a group; the same on every node.
    static std::string roleOf(const std::string& group) { return "suspects of " + group; }

    // Exchange with peers: what this node saw and runs, and what a peer tells.
    Suspects makeMessage() const;
    void merge(const std::string& node, const Suspects& message);
    void dropPeer(const std::string& node);

    // Every death that counts, for tests and reports.
    std::vector<DeathRow> deaths() const;

private:
    struct Death {
        Millis seenAt { 0 };
        bool cleared = false;
        bool isLocal = false; // this node saw it, and tells of it
    };

    // A group that a run has, or that is announced for it.
    struct Reservation {
        std::string group;
        Millis usableAt { 0 };
        bool isUsed = false; // given to the run: peers give way from then on
    };

    // The groups that a peer names.
    struct PeerGroups {
        std::set<std::string> groups;
        Millis receivedAt { 0 };
    };

    bool isReserved(const std::string& group) const;
    bool isReservedBy(const PeerGroups& peer, const std::string& group) const;
    bool isReservedByPeer(const std::string& group) const;
    bool mustYield(const Reservation& reservation) const;
    void dropLostReservation(const std::vector<std::string>& groups, const std::string& run);
    std::optional<std::string> findFreeGroup(const std::vector<std::string>& groups) const;
    std::string groupOf(const std::string& run) const;
    std::optional<std::string> tryReserve(const std::vector<std::string>& groups, const std::vector<std::string>& owned, const std::string& run);
    void mergeDeath(uint64_t fingerprint, uint64_t deathId, const Death& death);
    size_t countDeaths(uint64_t fingerprint) const;
    bool isExpired(const Death& death) const;

    Options options_;
    mutable std::mutex mutex_;
    std::map<uint64_t, std::map<uint64_t, Death>> deaths_; // by fingerprint, by death
    std::map<std::string, Reservation> reserved_; // by run
    std::map<std::string, PeerGroups> peerGroups_; // by node
};

} // namespace hemlockweir
