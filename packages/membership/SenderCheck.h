#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"

#include <bitset>
#include <map>
#include <vector>

// Detects replayed datagrams among the authenticated ones. Pure: time and randomness are injected.
//
// A tag proves that a node made a datagram, not when. So a node whose incarnation is unknown first
// has to answer a fresh challenge; its datagrams are accepted from that answer on. Incarnations
// need no order: a replacement node may run on an instance whose clock is behind.

namespace hemlockweir {

// Decision on a datagram.
enum class SenderVerdict {
    Accept,
    Refuse, // a replay, or too old
    Challenge, // the sender's incarnation is not confirmed
};

// Accepts every sequence number once, unless it is too far behind the highest one seen.
class ReplayWindow {
public:
    // Treats all numbers up to `floor` as seen.
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
        Millis challengeTimeout { 5000 }; // ms; minimum time during which a challenge can be answered
        size_t maxSenders = 2000; // maximum number of tracked nodes
        uint64_t secret = 0; // random value of this process
    };

    explicit SenderCheck(Options options);

    // Checks a datagram. An accepted one counts as seen.
    SenderVerdict check(const Sender& sender);

    // Returns whether a message that a confirmed relay forwards was not seen before, and marks it
    // as seen.
    bool acceptRelayed(const Sender& sender);

    // Returns the nonce for a challenge to a sender. It is derived from the secret and the time, so
    // unauthenticated senders cannot fill memory with challenges.
    uint64_t nonceFor(const Sender& sender, Millis now) const;

    // Checks the answer to a challenge. Returns true if it confirms this incarnation of the sender.
    // An incarnation that another one has replaced is not accepted again.
    bool confirm(const Sender& sender, uint64_t nonce, Millis now);

    // Removes the state of a node that is no longer in use.
    void forget(const std::string& node);

private:
    struct State {
        uint64_t incarnation = 0;
        ReplayWindow window;
        std::vector<uint64_t> retired; // previous incarnations, newest last
    };

    uint64_t nonceAt(const Sender& sender, int64_t period) const;

    Options options_;
    std::map<std::string, State> senders_; // confirmed senders, by node
    std::map<std::string, State> relayed_; // senders known only through relays, by node
};

} // namespace hemlockweir
