#pragma once

#include "support/SoakFaults.h"

// Invariants of the soak test, checked on what callers received and what the endpoint stand-ins did. Each check
// returns a list with one line for each violation; empty if the invariant holds.

namespace hemlockweir {

// One action of an endpoint.
struct SoakEffect {
    std::string endpoint;
    qint64 at = 0; // ms since the Unix epoch
    std::string what;
    std::string request; // only if `what` is "run" or "arrived"
    std::string group;
    qint64 epoch = 0;
    std::string model;
    std::vector<std::string> members;
    double limit = 0; // requests a second, only if `what` is "limited"

    bool isSameGroup(const SoakEffect& other) const { return group == other.group && epoch == other.epoch; }
};

using SoakEffects = std::map<std::string, std::vector<SoakEffect>>; // by endpoint, in order of time

// Reads the actions of all endpoints.
SoakEffects readEffects(GatewayCluster& cluster);

// A complete answer is exactly the expected one. A truncated answer is recognisable as such and is a prefix of the
// expected one.
QStringList checkAnswers(const std::vector<SoakRequest>& requests);

// A request that must not be repeated, an order, runs at most once.
QStringList checkRunsOnce(const std::vector<SoakRequest>& requests, const SoakEffects& effects);

// A request that was refused with a status that means "not run" did not run.
QStringList checkRefusals(const std::vector<SoakRequest>& requests, const SoakEffects& effects);

// A request runs only in a replica whose members were all ready before, with the same group name, epoch and member
// list.
QStringList checkWholeReplicas(const SoakEffects& effects);

// No engine joins another replica while the head of its current replica serves.
QStringList checkOneReplica(const SoakEffects& effects, const std::vector<FaultInterval>& intervals);

// Every request ends by its deadline, unless a fault affected its gateway.
QStringList checkDeadlines(const std::vector<SoakRequest>& requests, const std::vector<FaultInterval>& intervals);

// A gateway process never goes back to an older configuration version.
QStringList checkVersions(const std::vector<SoakRequest>& requests, const std::vector<FaultInterval>& intervals);

// Time of a window in which the requests to a limited endpoint are counted, in ms.
inline constexpr qint64 limitWindowMs = 4000;

// Returns the most requests that may reach an endpoint in a window. The limit is in requests a second.
size_t maxLimitedArrivals(double limit);

// An endpoint that limits its requests gets no more than maxLimitedArrivals() from all gateways together in any
// window, from the time in which all of them must know the limit, unless a fault affected a gateway or the link to the
// endpoint.
QStringList checkLimits(const SoakEffects& effects, const std::vector<FaultInterval>& intervals);

} // namespace hemlockweir
