#include "base/outcome.h"

#include <array>
#include <utility>

namespace endivetrestle {

namespace {

using NamedCode = std::pair<ErrorCode, std::string_view>;

constexpr std::array namedCodes = {
    NamedCode { ErrorCode::None, "none" },
    NamedCode { ErrorCode::BadRequest, "bad_request" },
    NamedCode { ErrorCode::BodyTooLarge, "body_too_large" },
    NamedCode { ErrorCode::Unauthenticated, "unauthenticated" },
    NamedCode { ErrorCode::Forbidden, "forbidden" },
    NamedCode { ErrorCode::AgeNotAllowed, "age_not_allowed" },
    NamedCode { ErrorCode::UnknownDatabase, "unknown_database" },
    NamedCode { ErrorCode::UnknownTransaction, "unknown_transaction" },
    NamedCode { ErrorCode::UnknownRequest, "unknown_request" },
    NamedCode { ErrorCode::TokenMalformed, "token_malformed" },
    NamedCode { ErrorCode::TokenForged, "token_forged" },
    NamedCode { ErrorCode::TokenExpired, "token_expired" },
    NamedCode { ErrorCode::TokenForeign, "token_foreign" },
    NamedCode { ErrorCode::QueueFull, "queue_full" },
    NamedCode { ErrorCode::Overloaded, "overloaded" },
    NamedCode { ErrorCode::DeadlineExceeded, "deadline_exceeded" },
    NamedCode { ErrorCode::RetryBudgetSpent, "retry_budget_spent" },
    NamedCode { ErrorCode::NoPrimary, "no_primary" },
    NamedCode { ErrorCode::NotOwner, "not_owner" },
    NamedCode { ErrorCode::ConnectionLimit, "connection_limit" },
    NamedCode { ErrorCode::EndpointUnreachable, "endpoint_unreachable" },
    NamedCode { ErrorCode::WrongTerm, "wrong_term" },
    NamedCode { ErrorCode::NotPrimary, "not_primary" },
    NamedCode { ErrorCode::PositionNotReached, "position_not_reached" },
    NamedCode { ErrorCode::PositionDiverged, "position_diverged" },
    NamedCode { ErrorCode::NotHeldByMajority, "not_held_by_majority" },
    NamedCode { ErrorCode::TransactionAborted, "transaction_aborted" },
    NamedCode { ErrorCode::RequestAborted, "request_aborted" },
    NamedCode { ErrorCode::StatementFailed, "statement_failed" },
    NamedCode { ErrorCode::AnswerMismatch, "answer_mismatch" },
    NamedCode { ErrorCode::StoreUnavailable, "store_unavailable" },
    NamedCode { ErrorCode::PlanOutdated, "plan_outdated" },
    NamedCode { ErrorCode::PlanUnknown, "plan_unknown" },
    NamedCode { ErrorCode::PlanInvalid, "plan_invalid" },
    NamedCode { ErrorCode::ConfigurationInvalid, "configuration_invalid" },
    NamedCode { ErrorCode::ShuttingDown, "shutting_down" },
    NamedCode { ErrorCode::Internal, "internal" },
};

class Category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "endivetrestle"; }
    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(errorName(static_cast<ErrorCode>(value)));
    }
};

} // namespace

std::string_view errorName(ErrorCode code)
{
    for (const auto& [value, name] : namedCodes) {
        if (value == code)
            return name;
    }
    return "internal";
}

ErrorCode errorFromName(std::string_view name)
{
    for (const auto& [value, text] : namedCodes) {
        if (text == name)
            return value;
    }
    return ErrorCode::Internal;
}

const std::error_category& errorCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorCode code) { return { static_cast<int>(code), errorCategory() }; }

std::string_view outcomeStateName(OutcomeState state)
{
    switch (state) {
    case OutcomeState::Completed:
        return "completed";
    case OutcomeState::DidNotRun:
        return "did_not_run";
    case OutcomeState::Unknown:
        return "unknown";
    }
    return "unknown";
}

OutcomeState outcomeStateFromName(std::string_view name)
{
    if (name == "completed")
        return OutcomeState::Completed;
    if (name == "did_not_run")
        return OutcomeState::DidNotRun;
    return OutcomeState::Unknown;
}

} // namespace endivetrestle
