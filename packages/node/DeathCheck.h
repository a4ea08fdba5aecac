#pragma once

#include "http/HttpClient.h"

#include <QObject>
#include <string>

// Finds out whether a group died after a connection to its leader broke. A lost connection alone
// does not prove a death, so the check polls the leader's status.

namespace hemlockweir {

class DeathCheck : public QObject {
public:
    struct Options {
        HttpClient& client;
        std::string leader; // ADDRESS:PORT
        uint64_t epoch = 0; // epoch of the group when the connection was opened
        Millis timeout { 0 }; // ms, for one poll
    };

    // Starts the check. Calls `onDone` once, never from the constructor. Destroying the object
    // cancels the check.
    DeathCheck(Options options, std::function<void(bool isDead)> onDone);

private:
    void poll(int pollsLeft);

    Options options_;
    std::function<void(bool isDead)> onDone_;
    std::shared_ptr<HttpCall> call_;
};

} // namespace hemlockweir
