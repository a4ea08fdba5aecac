#pragma once

#include "http/HttpClient.h"

#include <QObject>
#include <string>

// Looks at the leader of a group whose connection broke: a cut connection alone is no death.

namespace hemlockweir {

class DeathCheck : public QObject {
public:
    struct Options {
        HttpClient& client;
        std::string leader; // ADDRESS:PORT
        uint64_t epoch = 0; // of the group when the connection was made
        Millis timeout { 0 }; // ms, of one poll
    };

    // Starts looking. Calls back once, later; destroy it to poll no more.
    DeathCheck(Options options, std::function<void(bool isDead)> onDone);

private:
    void poll(int pollsLeft);

    Options options_;
    std::function<void(bool isDead)> onDone_;
    std::shared_ptr<HttpCall> call_;
};

} // namespace hemlockweir
