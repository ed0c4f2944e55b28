#pragma once

#include "process/durability/acknowledged_log.h"

#include <set>

namespace endivetrestle {

// What the choice of the endpoint that takes over is made from.
struct CandidateInput {
    LogEvidence evidence;
    std::set<EndpointId> draining;
    // Endpoints whose promotion the platform rejected.
    std::set<EndpointId> rejected;
    // Whether a candidate was given time to catch up with the old primary and did not.
    bool catchUpFailed = false;

    bool operator==(const CandidateInput&) const = default;
};

// What to do next in a replacement.
enum class CandidateAction {
    // No endpoint that reported may take over.
    NoCandidate,
    // It is not known whether the endpoint's log holds every acknowledged commit, or it does not: ask again.
    AwaitProof,
    // The old primary still has commits that the endpoint may lack: order it once it has caught up.
    CatchUp,
    // Order the promotion of the endpoint.
    Order,
};

// Endpoint that should take over, and how.
struct CandidateChoice {
    CandidateAction action = CandidateAction::NoCandidate;
    // Not set for NoCandidate.
    EndpointId endpoint;
    // Position that holds every acknowledged commit; no value if it is not known.
    std::optional<Position> required;
    // Whether the endpoint already leads with the highest term that was reported.
    bool alreadyLeads = false;

    bool operator==(const CandidateChoice&) const = default;
};

// Chooses the endpoint that takes over from the old primary. An endpoint that already leads because of an earlier order
// comes first, then the one with the highest received position. The old primary itself is chosen if it still leads and
// no replica has followed it, or if no replica catches up with commits that were acknowledged.
CandidateChoice chooseCandidate(const CandidateInput& input);

} // namespace endivetrestle
