#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "base/position.h"

#include <optional>
#include <string>

namespace endivetrestle {

// Role that an endpoint reports for itself. A primary in a partition may still report Primary.
enum class EndpointRole { Primary, Replica, Fenced };

// State that an endpoint reports with every answer.
struct EndpointStatus {
    EndpointId endpoint;
    // Highest term that the endpoint has seen or granted.
    std::uint64_t term = 0;
    EndpointRole role = EndpointRole::Replica;
    // Last record received into the log.
    Position lastLog;
    // Last record applied to the data.
    Position applied;
    // Time since a replica last heard from the primary of its term. Zero at a primary.
    Duration primaryContactAge {};
    // Statements currently running.
    int busySlots = 0;

    bool operator==(const EndpointStatus&) const = default;
};

// Operation of an ExecuteCall.
enum class ExecuteKind { Read, Write, Begin, Statement, Commit, Rollback };

// One statement on one connection. The endpoint echoes callNumber and requestId in the answer.
struct ExecuteCall {
    std::uint64_t callNumber = 0;
    RequestId requestId;
    ExecuteKind kind = ExecuteKind::Read;
    std::string statement;
    // The endpoint refuses with WrongTerm if its term differs.
    std::optional<std::uint64_t> expectedTerm;
    // The endpoint refuses with PositionNotReached until this position is applied, and with PositionDiverged if its log
    // holds another record at that index. Zero sets no requirement.
    Position minPosition;

    bool operator==(const ExecuteCall&) const = default;
};

// Answer to an ExecuteCall. Any code but None or StatementFailed means that the statement did not run.
struct ExecuteAnswer {
    std::uint64_t callNumber = 0;
    RequestId requestId;
    ErrorCode code = ErrorCode::None;
    std::string rows;
    // Position of a write or commit; for a read the applied position at which it ran.
    Position position;
    // True if the request id was already recorded; the answer then repeats the result of the first run.
    bool replayed = false;
    EndpointStatus status;
    std::string detail;

    bool operator==(const ExecuteAnswer&) const = default;
};

// Claims a term at an endpoint. Granted if the term is higher than the endpoint's term, or equal and granted to the
// same claimant before. A granted fence stops a primary of a lower term.
struct FenceCall {
    std::uint64_t term = 0;
    DaemonId claimant;

    bool operator==(const FenceCall&) const = default;
};

// Makes a fenced endpoint the primary of a term. Granted only if the endpoint's term equals the call's term and was
// granted to the same claimant; repeating a granted call is harmless.
using PromoteCall = FenceCall;

// Answer to FenceCall and PromoteCall.
struct FenceAnswer {
    bool granted = false;
    EndpointStatus status;

    bool operator==(const FenceAnswer&) const = default;
};

// Asks the primary for the outcome of a request id. If the id is not recorded the primary appends an abort marker, so
// that a late arrival of the request is refused.
struct ResolveCall {
    RequestId requestId;
    std::uint64_t expectedTerm = 0;

    bool operator==(const ResolveCall&) const = default;
};

// Answer to ResolveCall. With code None, ran tells whether the request ran; position is that of its record or of the
// abort marker, and the answer counts only once a majority of endpoints holds that position.
struct ResolveAnswer {
    ErrorCode code = ErrorCode::None;
    bool ran = false;
    std::string rows;
    Position position;
    EndpointStatus status;

    bool operator==(const ResolveAnswer&) const = default;
};

} // namespace endivetrestle
