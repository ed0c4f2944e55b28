#pragma once

#include <string>
#include <string_view>
#include <system_error>

namespace endivetrestle {

// Stable error codes of the product. The text names returned by errorName() are part of the callers' interface.
enum class ErrorCode {
    None = 0,
    BadRequest,
    BodyTooLarge,
    Unauthenticated,
    Forbidden,
    AgeNotAllowed,
    UnknownDatabase,
    UnknownTransaction,
    UnknownRequest,
    TokenMalformed,
    TokenForged,
    TokenExpired,
    TokenForeign,
    QueueFull,
    Overloaded,
    DeadlineExceeded,
    RetryBudgetSpent,
    NoPrimary,
    NotOwner,
    ConnectionLimit,
    EndpointUnreachable,
    WrongTerm,
    NotPrimary,
    PositionNotReached,
    PositionDiverged,
    NotHeldByMajority,
    TransactionAborted,
    RequestAborted,
    StatementFailed,
    AnswerMismatch,
    StoreUnavailable,
    PlanOutdated,
    PlanUnknown,
    PlanInvalid,
    ConfigurationInvalid,
    ShuttingDown,
    Internal,
};

// Stable lower-case name of a code, for example "token_forged".
std::string_view errorName(ErrorCode code);

// Inverse of errorName(). Returns Internal for a name it does not know.
ErrorCode errorFromName(std::string_view name);

const std::error_category& errorCategory();
std::error_code make_error_code(ErrorCode code);

// What is known about the effect of a request.
enum class OutcomeState {
    // The request ran and its effect is durable; for a write a majority of endpoints holds it.
    Completed,
    // The request had no effect and never will have.
    DidNotRun,
    // The request may or may not have had an effect. It can be resolved by its request id.
    Unknown,
};

// "completed", "did_not_run" or "unknown".
std::string_view outcomeStateName(OutcomeState state);
OutcomeState outcomeStateFromName(std::string_view name);

} // namespace endivetrestle

template <> struct std::is_error_code_enum<endivetrestle::ErrorCode> : std::true_type {
};
