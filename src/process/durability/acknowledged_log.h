#pragma once

#include "base/identifier.h"
#include "process/endpoint_report.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace endivetrestle {

// What is known about the logs of a group whose primary is being replaced. It is collected after all daemons have
// stopped using the primary, so no further commit is acknowledged meanwhile.
struct LogEvidence {
    // Number of replicas that had received a commit before it was acknowledged. With 0, only the primary needs to hold
    // an acknowledged commit.
    std::size_t syncReplicas = 0;
    EndpointId oldPrimary;
    // Term in which the old primary led.
    std::uint64_t term = 0;
    // All endpoints that may hold a commit, including those that left the registry without a successor.
    std::set<EndpointId> members;
    // Reports of those that answered.
    std::map<EndpointId, EndpointReport> reports;

    bool operator==(const LogEvidence&) const = default;
};

// Returns the position that a log must have reached to contain every commit that was acknowledged under syncReplicas;
// no value if the evidence does not tell. With syncReplicas 0 the result is the start of the log.
//
// A commit may be on any `syncReplicas` of the replicas. So the replicas prove the position only if fewer than that
// many of them have not reported; the report of the old primary proves it alone. A report from before the old primary's
// term proves nothing: the endpoint has not followed it, or has lost its log.
std::optional<Position> acknowledgedPosition(const LogEvidence& evidence);

} // namespace endivetrestle
