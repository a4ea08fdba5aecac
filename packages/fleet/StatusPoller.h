#pragma once

#include "fleet/Instance.h"
#include "fleet/StatusConnection.h"

#include <QTimer>
#include <map>

// Polls the status of instances periodically. Each instance has a persistent connection, and the
// polls are spread over the interval. Lives on the control thread.
//
//   StatusPoller poller({ .clock = clock, .onStatus = ..., .onUnreachable = ... });
//   poller.setTargets(instances);
//
// A paused or cut-off instance stops responding. An instance whose process ends closes its
// persistent connection and is polled again at once, so that its failure is detected before its
// next regular poll.

namespace hemlockweir {

class StatusPoller : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis interval { 300 }; // ms, between two polls of an instance
        Millis responseTimeout { 1500 }; // ms, until a request on a new connection is abandoned
        Clock clock;
        std::function<void(const std::string& id, const InstanceStatus& status, Millis polledAt)> onStatus;
        std::function<void(const std::string& id)> onUnreachable;
    };

    explicit StatusPoller(Options options);

    // Replaces the instances to poll. New ones are polled at once.
    void setTargets(const std::vector<Instance>& instances);

    size_t size() const { return targets_.size(); }

private:
    struct Target {
        std::unique_ptr<StatusConnection> connection;
        std::string address;
        std::string lastBody; // an identical body is not parsed again
        InstanceStatus status; // parsed from lastBody
        int phase = 0; // the phase of the interval in which it is polled
        Millis repolledAt { 0 }; // last poll outside its phase, after its connection closed
    };

    void pollNext();
    std::unique_ptr<StatusConnection> connectTo(const Instance& instance);
    void handleResponse(const std::string& id, const std::string& body, Millis polledAt);
    void handleClosed(const std::string& id);

    Options options_;
    std::map<std::string, Target> targets_; // by instance
    QTimer timer_;
    int phase_ = 0;
    int nextPhase_ = 0; // phase of the next new target
};

} // namespace hemlockweir
