#pragma once

#include "connection/connection_use.h"
#include "process/journal.h"
#include "request/endpoint_call.h"
#include "request/request.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace endivetrestle::controller {

// Actions that the user of a DatabaseController carries out for it. Answers and failures are passed back through the
// functions named with each action.

// Open a connection to an endpoint: onOpened() or onOpenFailed().
struct Open {
    PoolConnectionId connection;
    EndpointId endpoint;

    bool operator==(const Open&) const = default;
};

// Close a connection: onClosed().
struct Close {
    PoolConnectionId connection;

    bool operator==(const Close&) const = default;
};

// Roll back and clear a connection: onResetDone().
struct Reset {
    PoolConnectionId connection;
    std::uint64_t generation = 0;

    bool operator==(const Reset&) const = default;
};

// Run a statement: onExecuteAnswer() or onExecuteFailed().
struct Execute {
    ConnectionUse use;
    ExecuteCall call;
    Duration timeout {};

    bool operator==(const Execute&) const = default;
};

// Ask an endpoint for its status: onProbeAnswer() or onProbeFailed().
struct Probe {
    EndpointId endpoint;
    // Identifies the probe in the answer. At most one probe of each kind is outstanding at an endpoint.
    std::uint64_t number = 0;
    // With a positive wait the endpoint answers once its log has passed this position or the wait is over.
    Position after;
    Duration wait {};
    Duration timeout {};

    bool operator==(const Probe&) const = default;
};

// Fence an endpoint: onFenceAnswer() or onFenceFailed().
struct FenceEndpoint {
    EndpointId endpoint;
    FenceCall call;

    bool operator==(const FenceEndpoint&) const = default;
};

// Promote an endpoint: onPromoteAnswer() or onPromoteFailed().
struct PromoteEndpoint {
    EndpointId endpoint;
    PromoteCall call;

    bool operator==(const PromoteEndpoint&) const = default;
};

// Ask the primary for the outcome of a request: onResolveAnswer() or onResolveFailed().
struct Resolve {
    std::uint64_t ticket = 0;
    // Identifies the attempt in the answer.
    std::uint64_t number = 0;
    EndpointId endpoint;
    ResolveCall call;
    Duration timeout {};

    bool operator==(const Resolve&) const = default;
};

// Ask other daemons for their last contact with an endpoint: onOpinion() for each answer.
struct AskOpinions {
    EndpointId endpoint;
    std::uint64_t term = 0;

    bool operator==(const AskOpinions&) const = default;
};

// The request has an outcome. takeOutcome() must be called immediately before the answer is written to the socket.
struct Complete {
    std::uint64_t ticket = 0;

    bool operator==(const Complete&) const = default;
};

// Add an entry to the journal.
struct AddJournalEntry {
    JournalRecord record;

    bool operator==(const AddJournalEntry&) const = default;
};

// The primary is suspected; a failover is in progress until PrimaryReplaced or FailoverEnded.
struct FailoverStarted {
    JournalRecord record;

    bool operator==(const FailoverStarted&) const = default;
};

// Another primary has taken over.
struct PrimaryReplaced {
    EndpointId endpoint;
    std::uint64_t term = 0;
    // Time since the last contact with the previous primary; zero if none was known.
    Duration gap {};
    bool promotedHere = false;
    bool planned = false;

    bool operator==(const PrimaryReplaced&) const = default;
};

// The suspicion ended without a new primary.
struct FailoverEnded {
    bool operator==(const FailoverEnded&) const = default;
};

// Why a request is sent once more.
enum class RetryCause { Connection, Position, Term, Resolve };

// A request is sent once more; for metrics.
struct Retried {
    RetryCause cause = RetryCause::Connection;

    bool operator==(const Retried&) const = default;
};

// A call to an endpoint failed; for metrics.
struct CallFailed {
    EndpointId endpoint;

    bool operator==(const CallFailed&) const = default;
};

using Action = std::variant<Retried, CallFailed, Open, Close, Reset, Execute, Probe, FenceEndpoint, PromoteEndpoint,
    Resolve, AskOpinions, Complete, AddJournalEntry, FailoverStarted, PrimaryReplaced, FailoverEnded>;
using Actions = std::vector<Action>;

} // namespace endivetrestle::controller
