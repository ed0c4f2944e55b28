#pragma once

#include "connection/endpoint_state.h"

#include <functional>

namespace endivetrestle {

// What the choice of a connection to evict asks about the statements that wait.
struct EvictionQuestions {
    // Whether a statement of the workspace waits.
    std::function<bool(const WorkspaceId&)> waits;
};

// Time for which a connection that has not served yet is kept for the statement for which it was opened. Bounded,
// because that statement may wait for another endpoint by then.
constexpr Duration unservedProtection = std::chrono::seconds(1);

// The idle connection to the endpoint that is least likely to be needed again soon, or null if none may be closed. A
// connection in use is never chosen, nor one that was opened for a statement that still waits. The first idle
// connection of a workspace is needed with its next statement, the second only if two statements overlap.
EndpointConnection* leastNeededConnection(EndpointState& endpoint, const EvictionQuestions& questions, Time now);

} // namespace endivetrestle
