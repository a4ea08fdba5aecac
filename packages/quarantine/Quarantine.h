#pragma once

#include "base/Clock.h"
#include "wire/SuspectMessages.h"

#include <QByteArray>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

// Detects requests that crash the endpoints that run them.
//
// Each death of an endpoint has an id and counts once against every request that was running there,
// however many nodes observed it. A request with one death is a suspect. It runs only on a group
// without another suspect, so that a second death can be attributed to it alone. A request with
// `limit` deaths is quarantined. A request that finishes on another endpoint is cleared.
//
// Each group has one owner among the live nodes. The owner may reserve the group for a suspect
// immediately. Any other node announces the group first, and uses it only if no peer has reserved
// it by the end of the announcement. If two nodes announce the same group, the one with the higher
// rendezvous rank keeps it, so nodes that act in lockstep still make progress.
//
// Thread-safe. No other lock is acquired while its lock is held.

namespace hemlockweir {

class Quarantine {
public:
    struct Options {
        std::string node; // name of this node
        size_t limit = 2; // deaths in the whole fleet at which a request is quarantined
        Millis expiry { 600000 }; // ms after which a death no longer counts
        Millis announceTime { 1000 }; // ms between announcing a group owned by another node and using it
        Millis peerTimeout { 5000 }; // ms after which a peer's reservations lapse unless it repeats them
        size_t maxFingerprints = 10000; // limit of stored requests; further ones are ignored
        Clock clock;
        std::function<bool(const std::string& group)> ownsGroup; // whether this node owns the group
        std::function<void()> onChange; // called without the lock after addDeath() and when a reservation changes
    };

    explicit Quarantine(Options options);

    // Returns a hash of the caller and the request body. It is the same on every node.
    static uint64_t fingerprintOf(const std::string& caller, const QByteArray& body);

    // Returns the id of the death of one group in one epoch.
    static uint64_t deathIdOf(const std::string& group, uint64_t epoch);

    // Counts a death that this node observed against a request that was running there.
    void addDeath(uint64_t fingerprint, uint64_t deathId);

    // Clears the deaths of a request that finished.
    void clear(uint64_t fingerprint);

    // Returns whether a request has at least one death, or at least `limit`, that still counts.
    bool isSuspect(uint64_t fingerprint) const;
    bool isQuarantined(uint64_t fingerprint) const;

    // Reserves one of `groups` for a suspect and returns it. A free group that this node owns is
    // returned immediately; any other group is returned once its announcement has ended. Returns
    // nothing while an announcement is pending or all groups are reserved; call it again later. A
    // run keeps its group until release(), until the group is no longer in `groups`, or until this
    // node yields an announced group to a peer.
    std::optional<std::string> reserve(const std::vector<std::string>& groups, const std::string& run);
    void release(const std::string& run);

    // Returns the rendezvous role that determines the owner of a group. It is the same on every node.
    static std::string roleOf(const std::string& group) { return "suspects of " + group; }

    // Returns the deaths that this node observed or cleared and the groups that it has reserved or
    // announced, to be sent to peers.
    Suspects makeMessage() const;

    // Applies a message of makeMessage() from a peer. Its groups replace the peer's previous ones.
    void merge(const std::string& node, const Suspects& message);

    // Drops the reservations of a peer; its deaths stay.
    void dropPeer(const std::string& node);

    // Returns all deaths that have not expired, including cleared ones. For tests and metrics.
    std::vector<DeathRow> deaths() const;

private:
    struct Death {
        Millis seenAt { 0 };
        bool cleared = false;
        bool isLocal = false; // this node observed or cleared it, and publishes it
    };

    // A group that is reserved or announced for a run.
    struct Reservation {
        std::string group;
        Millis usableAt { 0 }; // end of the announcement
        bool isUsed = false; // returned to the run; this node no longer yields it to peers
    };

    // The groups that a peer has reserved or announced.
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
    std::map<uint64_t, std::map<uint64_t, Death>> deaths_; // by fingerprint, then by death id
    std::map<std::string, Reservation> reserved_; // by run
    std::map<std::string, PeerGroups> peerGroups_; // by node
};

} // namespace hemlockweir
