#pragma once

#include "base/identifier.h"
#include "process/durability/commit_holders.h"
#include "process/endpoint_report.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace endivetrestle {

// What is known about the logs of a group whose primary is being replaced. It is collected after all daemons have
// stopped using the primary, so no further commit is acknowledged meanwhile.
struct LogEvidence {
    // Number of replicas that had received a commit before it was acknowledged. With 0, only the primary needs to hold
    // an acknowledged commit.
    std::size_t syncReplicas = 0;
    // Not set if only a copy of the store tells that there was one.
    EndpointId oldPrimary;
    // Term in which the old primary led.
    std::uint64_t term = 0;
    // All endpoints that may hold a commit.
    std::set<EndpointId> members;
    // Reports of those that answered.
    std::map<EndpointId, EndpointReport> reports;
    // Whether there may be others beside the members, of which only a store that was restored has known.
    bool mayLackMembers = false;
    // Members of which an earlier process may hold a commit: their reports do not tell what it held.
    std::set<EndpointId> restarted;
    // Endpoint that has the log of the old primary, if the platform has handed it over.
    std::optional<EndpointId> oldPrimarySuccessor;

    bool operator==(const LogEvidence&) const = default;
};

// Adds the endpoints that may hold a commit to the evidence: those that are registered, and the recorded holders.
void addMembers(LogEvidence& evidence, const CommitHolders& holders, const std::vector<EndpointRecord>& listed);

// Returns the position that a log must have reached to contain every commit that was acknowledged under syncReplicas;
// no value if the evidence does not tell. With syncReplicas 0 the result is the start of the log.
//
// A commit may be on any `syncReplicas` of the replicas. So the replicas prove the position only if fewer than that
// many of them have not reported; the report of the old primary proves it alone. A report from before the old primary's
// term proves nothing: the endpoint has not followed it, or has lost its log.
std::optional<Position> acknowledgedPosition(const LogEvidence& evidence);

} // namespace endivetrestle
