#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"

#include <bitset>
#include <map>
#include <vector>

// Decides which authenticated datagrams are new. Pure: time and randomness are given.
//
// A tag shows that a datagram was made by a node, not when. So a start of a node that was not
// heard before first has to answer a fresh challenge, and its datagrams count from that answer on.
// No order between incarnations is needed: a node may be replaced on an instance whose clock is behind.

namespace hemlockweir {

// What to do with a datagram.
enum class SenderVerdict {
    Accept,
    Refuse, // a copy, or too old
    Challenge, // its sender's start is not confirmed
};

// Accepts every sequence number once, if it is not far behind the highest.
class ReplayWindow {
public:
    // All numbers up to `floor` count as seen.
    explicit ReplayWindow(uint64_t floor = 0)
        : highest_(floor)
    {
        seen_.set();
    }

    bool accept(uint64_t sequence);

private:
    static constexpr size_t width = 256;

    uint64_t highest_;
    std::bitset<width> seen_; // bit i: highest_ - i was seen
};

class SenderCheck {
public:
    struct Options {
        Millis challengeTimeout { 5000 }; // ms that an answer may take, at least
        size_t maxSenders = 2000; // nodes remembered
        uint64_t secret = 0; // random, of this process
    };

    explicit SenderCheck(Options options);

    // Judges a datagram; an accepted one counts as seen.
    SenderVerdict check(const Sender& sender);

    // Whether a message that a confirmed relay passes on was not seen before; then it counts as seen.
    bool acceptRelayed(const Sender& sender);

    // Returns the nonce to challenge a start of a node with. It follows from the secret and the
    // time, so strangers can not fill memory with challenges.
    uint64_t nonceFor(const Sender& sender, Millis now) const;

    // Takes an answer; true when it confirms this start of the sender. A start that another one
    // has followed does not come back.
    bool confirm(const Sender& sender, uint64_t nonce, Millis now);

    // Forgets nodes that are not in use any more.
    void forget(const std::string& node);

private:
    struct State {
        uint64_t incarnation = 0;
        ReplayWindow window;
        std::vector<uint64_t> retired; // incarnations before, newest last
    };

    uint64_t nonceAt(const Sender& sender, int64_t period) const;

    Options options_;
    std::map<std::string, State> senders_; // by node, those confirmed
    std::map<std::string, State> relayed_; // by node, those that only relays tell of
};

} // namespace hemlockweir
