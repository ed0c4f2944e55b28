#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "connection/session_state.h"
#include "request/scheduled_statement.h"

#include <deque>
#include <functional>

namespace endivetrestle {

// Answer to a control command; no answer means that the connection was lost or the time ran out.
using ControlCallback = std::function<void(const EndpointAnswer* answer)>;

// Control command that waits for a connection to an endpoint or runs on one.
struct ControlTask {
    EndpointCommand command;
    ControlCallback callback;
    // Timer that gives the command up.
    std::uint64_t timer = 0;
    bool finished = false;
};

using ControlTaskPtr = std::shared_ptr<ControlTask>;

// State of one connection to an endpoint.
//
//     Opening -> Idle -> Running -> Idle            statement outside a transaction
//                        Running -> Pinned -> ...   transaction that waits for its next statement
//                        Running -> Ending -> Idle  rollback or reset of the proxy's own
struct EndpointConnection {
    enum class Phase { Opening, Idle, Running, Pinned, Ending };

    ConnectionId id = 0;
    EndpointId endpoint;
    Phase phase = Phase::Opening;
    HeldState held;
    // Commands that remain, the first of which has been sent. The last one is the statement itself.
    std::deque<EndpointCommand> steps;
    // Statement that runs; null in other phases than Running.
    ExecutionPtr execution;
    // Control command that runs instead of a statement.
    ControlTaskPtr control;
    // Whether a transaction is open, and whether it may write.
    bool inTransaction = false;
    bool plainTransaction = false;
    // Whether a write of the open transaction has been sent.
    bool transactionWrote = false;
    // Time at which the outstanding command was sent.
    Time sentAt;
    Time idleSince;
};

} // namespace endivetrestle
