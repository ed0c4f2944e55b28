#pragma once

#include "base/clock.h"

#include <cstddef>

namespace endivetrestle {

// Load of the endpoints that may serve a statement, including the statements queued for them.
struct QueueLoad {
    // Number of statements that are served before the new one: if it is to meet its objective, and if it is admitted as
    // late.
    std::size_t ahead = 0;
    std::size_t aheadIfLate = 0;
    // Statements that the endpoints complete per second, and recent arrivals per second.
    double completionsPerSecond = 0;
    double arrivalsPerSecond = 0;
    // Typical time that a statement takes at the endpoint.
    Duration latency {};
};

// How a statement that cannot start at once is treated.
enum class AdmissionDecision {
    // It waits in the order of priority and rank.
    OnTime,
    // It will miss its objective but can be served before it expires. It waits behind all statements that can still
    // meet theirs and uses only the capacity that they leave.
    Late,
    // It cannot be served before it expires.
    Refused,
};

// Longest time that a statement waits for a busy endpoint before it counts as late. When more statements arrive than
// the endpoints can run, this bound keeps in the queue only those that can meet their objective. If there is no
// endpoint at all, for example while a primary is being replaced, statements wait until they expire, because nothing
// else could be served meanwhile.
//
// The objective covers the whole operation; half of it is reserved for the endpoint and the network.
Duration waitLimit(Duration objective);

// Time that a statement is expected to wait behind the given number of others.
Duration expectedWait(std::size_t ahead, double completionsPerSecond);

// Share of the endpoints' capacity that arrivals leave to late statements. It is taken as at least one half, because a
// burst is expected to end; if it does not, lateAdmissionPause applies.
double lateCapacityShare(double completionsPerSecond, double arrivalsPerSecond);

// Time for which no statement is admitted as late after a late one has expired. The overload is then sustained, and a
// statement that would wait and expire is better refused at once.
constexpr Duration lateAdmissionPause = std::chrono::seconds(2);

// Decides on a new statement, or on one that has waited for waitLimit(). During a burst above the endpoints'
// capacity, statements that can meet their objective are served first, and the others are served after the burst
// instead of being refused although capacity is free a second later. Under sustained overload, statements that would
// wait and expire are refused at once.
AdmissionDecision decideAdmission(const QueueLoad& load, Duration objective, Duration timeLeft);

} // namespace endivetrestle
