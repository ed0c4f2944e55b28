#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "base/position.h"
#include "request/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// Address of a daemon's port.
struct DaemonAddress {
    // IP address; an IPv6 address without brackets.
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const DaemonAddress&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". No value if the text has no host or no port from 1 to 65535.
std::optional<DaemonAddress> parseDaemonAddress(std::string_view text);

// Inverse of parseDaemonAddress().
std::string toString(const DaemonAddress& address);

// One request to the callers' interface. RequestKind::Resolve asks for the outcome of `requestId`.
struct CallerCall {
    RequestKind kind = RequestKind::Read;
    DatabaseId database;
    // For Statement, Commit and Rollback.
    TransactionId transaction;
    RequestId requestId;
    Priority priority = Priority::Read;
    bool repeatable = false;
    std::string statement;
    std::optional<Duration> maxAge;
    Duration deadline = std::chrono::seconds(2);
    // Session token; empty for a new session.
    std::string session;
};

// Answer to a CallerCall.
struct CallerAnswer {
    // HTTP status; 0 if no answer was received.
    int status = 0;
    OutcomeState state = OutcomeState::Unknown;
    ErrorCode code = ErrorCode::None;
    // Rows as JSON text.
    std::string rows;
    Position position;
    std::string servedBy;
    bool replica = false;
    // Transaction that a Begin opened.
    TransactionId transaction;
    Duration retryAfter {};
    // New session token; empty if the answer has none.
    std::string session;
    std::string detail;

    bool operator==(const CallerAnswer&) const = default;
};

// Answer for a call that failed without an HTTP response.
CallerAnswer failedAnswer(OutcomeState state, ErrorCode code, std::string detail);

// Path of a call below the daemon's address.
std::string callerPath(const CallerCall& call);

// JSON body of a call; empty for RequestKind::Resolve, which is a GET.
std::string callerBody(const CallerCall& call);

// Reads a response. A body that is not of the documented form gives an unknown outcome with code answer_mismatch.
CallerAnswer parseCallerAnswer(int status, std::string_view body, std::string session);

} // namespace endivetrestle
