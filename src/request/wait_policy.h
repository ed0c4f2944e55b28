#pragma once

#include "base/clock.h"

#include <cstddef>

namespace endivetrestle {

// Load that waits in front of the endpoints which may serve a statement.
struct WaitOutlook {
    // Statements that are served before the new one, if it is to be in time and if it waits behind all that can be.
    std::size_t ahead = 0;
    std::size_t aheadIfLate = 0;
    // Statements that the endpoints complete in a second, and that have lately arrived in a second.
    double completionsPerSecond = 0;
    double arrivalsPerSecond = 0;
    // Usual time of a statement at the endpoint.
    Duration latency {};
};

// How a statement that cannot start at once is treated.
enum class Admission {
    // It waits in the order of priority and arrival.
    InTime,
    // It will miss its objective, but can be served within its time. It waits behind all statements that can still be
    // in time and uses only what they leave.
    Late,
    // It cannot be served within its time.
    Refused,
};

// Longest time that a statement waits for a busy endpoint among those that can be in time. When more statements arrive
// than the endpoints can run, a queue bounded by this time keeps those that are served within their objective. An
// endpoint that is missing altogether (a primary being replaced) is waited for until the statement's time is over,
// because there is nothing else to serve meanwhile.
//
// The objective covers the whole operation; half of it is left for the endpoint and the network.
Duration longestWait(Duration objective);

// Time that a statement is expected to wait behind the given number of others.
Duration expectedWait(std::size_t ahead, double completionsPerSecond);

// Part of the endpoints' work that arrivals leave to late statements. It is never taken for less than half, since a
// burst ends at some time; where it does not, latePause applies.
double shareLeft(double completionsPerSecond, double arrivalsPerSecond);

// Time for which no statement is admitted as late after one has run out of its time. The load lasts then, and what
// would be held and refused in the end is better refused at once.
constexpr Duration latePause = std::chrono::seconds(2);

// Decides on a new statement, or on one that has waited for longestWait(). Answers bursts above what the endpoints can
// run: those that can be in time are, and others are served when the burst is over instead of being refused while there
// is room a second later. Under a load that lasts, what would be held and then refused is refused at once.
Admission admit(const WaitOutlook& outlook, Duration objective, Duration timeLeft);

} // namespace endivetrestle
