#pragma once

#include "fleet/Instance.h"
#include "fleet/StatusConnection.h"

#include <QTimer>
#include <map>

// Asks instances for their status again and again, each on a kept connection, spread over the
// interval. Lives on the control thread.
//
//   StatusPoller poller({ .clock = clock, .onStatus = ..., .onUnreachable = ... });
//   poller.setTargets(instances);
//
// A paused or cut-off instance simply stops answering. One whose process ends closes its kept
// connection and is asked again at once, so that its death shows sooner than at its next phase.

namespace hemlockweir {

class StatusPoller : public QObject {
    Q_OBJECT
public:
    struct Options {
        Millis interval { 300 }; // ms, between two requests to one instance
        Millis responseTimeout { 1500 }; // ms, until a request on a new connection is given up
        Clock clock;
        std::function<void(const std::string& id, const InstanceStatus& status, Millis polledAt)> onStatus;
        std::function<void(const std::string& id)> onUnreachable;
    };

    explicit StatusPoller(Options options);

    // Replaces the instances to poll; new ones are asked at once.
    void setTargets(const std::vector<Instance>& instances);

    size_t size() const { return targets_.size(); }

private:
    struct Target {
        std::unique_ptr<StatusConnection> connection;
        std::string address;
        std::string lastBody; // an equal one needs no parsing
        InstanceStatus status; // of lastBody
        int phase = 0; // the part of the interval that it is asked in
        Millis repolledAt { 0 }; // the last time that it was asked out of phase
    };

    void pollNext();
    std::unique_ptr<StatusConnection> connectTo(const Instance& instance);
    void handleResponse(const std::string& id, const std::string& body, Millis polledAt);
    void handleClosed(const std::string& id);

    Options options_;
    std::map<std::string, Target> targets_; // by instance
    QTimer timer_;
    int phase_ = 0;
    int nextPhase_ = 0; // of the next new target
};

} // namespace hemlockweir
