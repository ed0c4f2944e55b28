#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "connection/answer_history.h"
#include "connection/session_state.h"
#include "request/scheduled_statement.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace endivetrestle {

// Called with the answer to a control command, or with null if the connection was lost or the command timed out.
using ControlCallback = std::function<void(const EndpointAnswer* answer)>;

// Control command that waits for a connection to an endpoint or runs on one.
struct ControlTask {
    EndpointCommand command;
    ControlCallback callback;
    // Timer after which the command fails without an answer.
    std::uint64_t timer = 0;
    bool finished = false;
};

using ControlTaskPtr = std::shared_ptr<ControlTask>;

// State of one connection to an endpoint.
//
//     Opening -> Idle -> Running -> Idle            statement outside a transaction
//                        Running -> Pinned -> ...   transaction that waits for its next statement
//                        Running -> Ending -> Idle  rollback or reset that the proxy initiated
struct EndpointConnection {
    enum class Phase { Opening, Idle, Running, Pinned, Ending };

    ConnectionId id = 0;
    EndpointId endpoint;
    // Workspace in whose name the session was started; empty for none. It never changes.
    WorkspaceId workspace;
    Phase phase = Phase::Opening;
    ConnectionSessionState sessionState;
    AnswerHistory answers;
    // Whether values were set or reset by answers that are not proven yet.
    bool valuesUnproven = false;
    // Error to the statement that runs, which may repeat an earlier one.
    std::optional<EndpointAnswer> heldError;
    // Whether the endpoint has repeated an answer on it.
    bool repeats = false;
    // Commands that are not answered yet. Only the first one has been sent; the last one is the statement itself.
    std::deque<EndpointCommand> pendingCommands;
    // Statement that runs; null in all phases but Running.
    ExecutionPtr execution;
    // Control command that runs instead of a statement.
    ControlTaskPtr control;
    bool inTransaction = false;
    // Time at which the open transaction was started.
    Time transactionSince;
    // Whether the open transaction may write.
    bool writableTransaction = false;
    // Whether a write of the open transaction has been sent.
    bool transactionWrote = false;
    // Term of the group's primary when the statement that runs, or the open transaction, was started.
    std::uint64_t startedInTerm = 0;
    // Time at which the outstanding command was sent.
    Time sentAt;
    Time idleSince;
    // Time at which the statement that runs was started, and the slot time for which its workspace was charged then.
    Time startedAt;
    Duration chargedSlotTime {};
    // Whether a statement was sent on it.
    bool served = false;
    // Whether another connection was closed to make room for it.
    bool replacesEvicted = false;
};

} // namespace endivetrestle
