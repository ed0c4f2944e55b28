#pragma once

#include "base/clock.h"

#include <cstddef>

namespace endivetrestle {

// Load that waits in front of the endpoints which may serve a statement.
struct WaitOutlook {
    // Statements that are served before the new one.
    std::size_t ahead = 0;
    // Statements that the endpoints complete in a second.
    double completionsPerSecond = 0;
    // Usual time of a statement at the endpoint.
    Duration latency {};
};

// Longest time that a statement waits for a busy endpoint. When more statements arrive than the endpoints can run, a
// queue bounded by this time keeps those that are served within their objective, and the rest is refused at once, while
// its client can still try again. An endpoint that is missing altogether (a primary being replaced) is waited for until
// the statement's time is over, because there is nothing else to serve meanwhile.
//
// The objective covers the whole operation; half of it is left for the endpoint and the network.
Duration longestWait(Duration objective);

// Time that a statement is expected to wait.
Duration expectedWait(const WaitOutlook& outlook);

// Whether a new statement should be refused instead of queued.
bool shouldRefuse(const WaitOutlook& outlook, Duration objective, Duration timeLeft);

} // namespace endivetrestle
