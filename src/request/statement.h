#pragma once

#include "base/position.h"

#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// Kind of a statement of a client session.
enum class StatementKind {
    Begin,
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Unknown,
};

// One decoded statement of a client session.
struct Statement {
    StatementKind kind = StatementKind::Unknown;
    // Identifier given by the client. It is passed on to the endpoint unchanged.
    std::string id;
    // Text as the client sent it.
    std::string text;
    // Name of the session value or prepared statement; empty for other kinds.
    std::string name;
    // New session value, shape of a prepared statement, or arguments of an execution.
    std::string argument;
    // Whether a prepared statement writes.
    bool writes = false;

    bool operator==(const Statement&) const = default;
};

// Error codes of the statement protocol, in both directions.
enum class ReplyCode {
    // Codes that state that the attempt had no effect.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    Misrouted,
    TooManyConnections,
    NoStatement,
    // Codes that leave open whether the attempt had an effect.
    Failed,
    Timeout,
    InDoubt,
    // Codes for requests that are invalid or not understood.
    UnknownDatabase,
    NotAuthorized,
    Malformed,
    TooLarge,
    Unknown,
};

// Lower-case name of a code for logs and metric labels, for example "in_doubt".
std::string_view replyCodeName(ReplyCode code);

// Whether an endpoint that answers with this code states that the statement did not run.
bool provesNotRun(ReplyCode code);

// Transaction state of a session as the last answer reported it.
enum class SessionPhase { Idle, Transaction, FailedTransaction };

// Complete answer of an endpoint to one statement.
struct EndpointAnswer {
    bool succeeded = false;
    ReplyCode code = ReplyCode::Unknown;
    // Text of the error; empty for a success.
    std::string errorText;
    // Encoded result, passed on to the client unchanged.
    std::string payload;
    // Signature of the endpoint for this run of a forwarded statement. Empty for an error, and for a success without a
    // run, as that of the proxy's own commands.
    std::string signature;
    // Text of the first result row. Only control statements of the proxy read it.
    std::string firstRow;
    SessionPhase phase = SessionPhase::Idle;
    // Log position of the endpoint when it answered, if it reported one.
    std::optional<Position> position;
};

// Kinds of messages the proxy sends to an endpoint.
enum class CommandKind { Forward, Execute, Begin, BeginRead, Rollback, Reset, SetValue, Prepare, Status, Demote };

// Lower-case name of a kind for logs, for example "set_value".
std::string_view commandName(CommandKind kind);

// One message to an endpoint.
struct EndpointCommand {
    CommandKind kind = CommandKind::Forward;
    // Client's identifier of a forwarded statement; empty for the proxy's own commands.
    std::string id;
    // Text of a forwarded statement, or name of a session value or prepared statement.
    std::string text;
    // Session value, shape of a prepared statement, or arguments of an execution.
    std::string argument;
    // Whether a prepared statement writes.
    bool writes = false;
    // Position that the endpoint's log must contain before it runs the statement.
    std::optional<Position> minimum;
    // Term of a demotion.
    std::uint64_t term = 0;

    bool operator==(const EndpointCommand&) const = default;
};

} // namespace endivetrestle
