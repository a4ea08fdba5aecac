#pragma once

#include "base/Clock.h"

#include <vector>

// Spreads requests over targets whose load is known only from old reports, while many nodes choose at the same moment. Answers the
// load pattern in which all nodes see the same target as the least loaded one, send their requests there until the next reports
// arrive, and leave the other targets idle. Two estimates replace what the reports don't show: how much of what they say still
// holds, and how many requests the other nodes have placed since. The requests are then spread as if all nodes filled the
// targets one after the other, the one with the shortest delay first. Performs no I/O.

namespace hemlockweir {

// What the reports of the other nodes about one model say about the present.
struct LoadForecast {
    double remainingFraction = 1; // of the reported requests that still run
    double unseenRequests = 0; // requests that the other nodes have placed since their reports and that still run
    double unseenPerSlot = 0; // the same, for each slot of all targets
    double typicalPromptTokens = 0; // prompt length of such a request

    auto operator<=>(const LoadForecast&) const = default;
};

// Part of the reported requests that must still run for a comparison of targets by these reports. With a draw by counts instead, prompts
// met at some replicas in a burst until these sent nothing for a second.
inline constexpr double comparableFraction = 0.5;

// Returns the forecast for reports of this age in ms. Requests hold a slot for `holdMs` on average; 0: unknown, then the reports are
// taken as they are. The total load is taken as steady: as many requests started since the reports as ended.
LoadForecast forecastLoad(double reportedRequests, double reportAgeMs, double holdMs);

// Returns how many requests all nodes together may send to a target with this many free slots, so that few of them find no slot.
// Nodes that don't see each other's placements choose by chance, so the number that come varies by its square root. Requests
// that are short against the age of the reports need no such margin: waiting for new reports takes longer than waiting at the
// target.
double assuredSlots(double freeSlots, const LoadForecast& forecast);

// A target that requests can be placed on.
struct SpreadTarget {
    double delayMs = 0; // expected delay of a request that is placed on it next
    double delayPerRequestMs = 1; // by which each further request delays the next one; above 0
    double room = 0; // requests that it has room for

    auto operator<=>(const SpreadTarget&) const = default;
};

// Returns how many of the requests each target gets if each request goes to the target with the shortest delay that has room
// left. The counts are fractional. Their sum is less than `requests` if the targets have no room for all.
std::vector<double> spreadRequests(const std::vector<SpreadTarget>& targets, double requests);

} // namespace hemlockweir
