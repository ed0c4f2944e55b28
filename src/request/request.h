#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "base/position.h"

#include <optional>
#include <string>

namespace endivetrestle {

// Operation that a request asks for.
enum class RequestKind {
    Read,
    Write,
    // Opens a transaction on a connection of its own.
    Begin,
    // Runs in the transaction named by Request::transaction.
    Statement,
    Commit,
    Rollback,
    // Asks for the outcome of an earlier request with the same request id.
    Resolve,
};

// Scheduling class. Lower values are served first.
enum class Priority { Payment, Write, Read, Glance };

// One request of a caller after it was parsed and authenticated. Immutable once built.
struct Request {
    RequestId id;
    CallerId caller;
    DatabaseId database;
    RequestKind kind = RequestKind::Read;
    Priority priority = Priority::Read;
    // Whether the caller allows the request to run more than once.
    bool repeatable = false;
    // Statement text, opaque to the proxy.
    std::string statement;
    // Largest age of the data that the caller accepts. No value: the session's own writes suffice and age is not
    // bounded.
    std::optional<Duration> maxAge;
    // Position from the session token. Zero if the session has not written to this database.
    Position minPosition;
    // Set if the session token overflowed and does not list the database: the read must run at a confirmed primary.
    bool requiresPrimary = false;
    // Monotonic time of this process after which the caller no longer waits.
    Time deadline;
    TransactionId transaction;

    bool operator==(const Request&) const = default;
};

// Result of a request.
struct Outcome {
    OutcomeState state = OutcomeState::Unknown;
    std::error_code code;
    // Result rows as JSON text; empty if there are none.
    std::string rows;
    // Position that the session must see from now on. For a write this is the position of the write.
    Position position;
    EndpointId servedBy;
    bool servedByReplica = false;
    // Identifier of the transaction that a Begin opened.
    TransactionId transaction;
    // Suggested delay before a refused request is sent again. Zero if there is no suggestion.
    Duration retryAfter {};
    std::string detail;

    bool operator==(const Outcome&) const = default;
};

// Builds the outcome of a request that had no effect.
inline Outcome didNotRun(ErrorCode code, std::string detail = {}, Duration retryAfter = {})
{
    Outcome outcome;
    outcome.state = OutcomeState::DidNotRun;
    outcome.code = code;
    outcome.detail = std::move(detail);
    outcome.retryAfter = retryAfter;
    return outcome;
}

// Builds the outcome of a request whose effect is not known.
inline Outcome unknownOutcome(ErrorCode code, std::string detail = {})
{
    Outcome outcome;
    outcome.state = OutcomeState::Unknown;
    outcome.code = code;
    outcome.detail = std::move(detail);
    return outcome;
}

} // namespace endivetrestle
