#pragma once

#include "support/SoakFaults.h"

// Checks of the soak: what must always hold, from what callers received and what the endpoints' stand-ins did.
// Each returns what was broken, one line each; empty when the promise held.

namespace hemlockweir {

// What one endpoint did, in order.
struct SoakEffect {
    std::string endpoint;
    qint64 at = 0; // ms since the epoch
    std::string what;
    std::string request; // of a run
    std::string group;
    qint64 epoch = 0;
    std::string model;
    std::vector<std::string> members;

    bool isSameGroup(const SoakEffect& other) const { return group == other.group && epoch == other.epoch; }
};

using SoakEffects = std::map<std::string, std::vector<SoakEffect>>; // by endpoint

SoakEffects readEffects(GatewayCluster& cluster);

// A whole answer is the request's own; one that is cut off never looks whole and has no wrong byte.
QStringList checkAnswers(const std::vector<SoakRequest>& requests);

// A request that must not be repeated runs at most once.
QStringList checkRunsOnce(const std::vector<SoakRequest>& requests, const SoakEffects& effects);

// What was refused as not run did not run.
QStringList checkRefusals(const std::vector<SoakRequest>& requests, const SoakEffects& effects);

// A request runs only in a replica whose members all have been ready under its name, epoch and list.
QStringList checkWholeReplicas(const SoakEffects& effects);

// No engine joins another replica while the head of its own one serves.
QStringList checkOneReplica(const SoakEffects& effects, const std::vector<FaultInterval>& intervals);

// Every request ends by its deadline, unless something that concerns its gateway was broken.
QStringList checkDeadlines(const std::vector<SoakRequest>& requests, const std::vector<FaultInterval>& intervals);

// A gateway that knew a version never forgets it, within one process.
QStringList checkVersions(const std::vector<SoakRequest>& requests, const std::vector<FaultInterval>& intervals);

} // namespace hemlockweir
