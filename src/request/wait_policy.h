#pragma once

#include "base/clock.h"

#include <cstddef>

namespace endivetrestle {

// Load that waits in front of the endpoints which may serve a statement.
struct WaitOutlook {
    // Statements that are served before the new one, if it is to be in time and if it waits behind all that can be.
    std::size_t ahead = 0;
    std::size_t aheadIfLate = 0;
    // Statements that the endpoints complete in a second.
    double completionsPerSecond = 0;
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

// Decides on a new statement, or on one that has waited for longestWait(). Answers bursts above what the endpoints can
// run: those that can be in time are, and the others are served when the burst is over instead of being refused while
// there is room a second later.
Admission admit(const WaitOutlook& outlook, Duration objective, Duration timeLeft);

} // namespace endivetrestle
