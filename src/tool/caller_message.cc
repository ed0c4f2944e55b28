#include "tool/caller_message.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> priorityNames = { "payment", "write", "read", "glance" };
constexpr std::array<const char*, 7> kindNames
    = { "read", "write", "begin", "statement", "commit", "rollback", "resolve" };

std::string textOf(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

// Rows are embedded as JSON, or as JSON text in a string.
std::string rowsOf(const json& object)
{
    const auto found = object.find("rows");
    if (found == object.end() || found->is_null())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::optional<OutcomeState> stateOf(const json& object)
{
    const auto name = textOf(object, "outcome");
    const auto state = outcomeStateFromName(name);
    return outcomeStateName(state) == name ? std::optional(state) : std::nullopt;
}

CallerAnswer parseError(CallerAnswer answer, const json& error)
{
    answer.state = stateOf(error).value_or(OutcomeState::Unknown);
    answer.code = errorFromName(textOf(error, "code"));
    answer.detail = textOf(error, "message");
    answer.retryAfter = std::chrono::milliseconds(numberOf(error, "retryAfterMs"));
    return answer;
}

CallerAnswer parseSuccess(CallerAnswer answer, const json& object, OutcomeState state)
{
    answer.state = state;
    answer.rows = rowsOf(object);
    answer.servedBy = textOf(object, "servedBy");
    answer.transaction = TransactionId(textOf(object, "transaction"));
    const auto replica = object.find("replica");
    answer.replica = replica != object.end() && replica->is_boolean() && replica->get<bool>();
    const auto position = object.find("position");
    if (position != object.end() && position->is_object())
        answer.position = { numberOf(*position, "term"), numberOf(*position, "index") };
    return answer;
}

} // namespace

std::optional<DaemonAddress> parseDaemonAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string_view::npos)
        return std::nullopt;
    DaemonAddress address { std::string(host), 0 };
    const auto* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, address.port);
    if (error != std::errc() || end != last || address.port == 0 || host.empty())
        return std::nullopt;
    return address;
}

std::string toString(const DaemonAddress& address)
{
    const bool isBracketed = address.host.find(':') != std::string::npos;
    const auto host = isBracketed ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

CallerAnswer failedAnswer(OutcomeState state, ErrorCode code, std::string detail)
{
    CallerAnswer answer;
    answer.state = state;
    answer.code = code;
    answer.detail = std::move(detail);
    return answer;
}

std::string callerPath(const CallerCall& call)
{
    const auto database = "/v1/databases/" + call.database.value;
    const auto transaction = "/v1/transactions/" + call.transaction.value;
    switch (call.kind) {
    case RequestKind::Read:
    case RequestKind::Write:
        return database + "/statements";
    case RequestKind::Begin:
        return database + "/transactions";
    case RequestKind::Statement:
        return transaction + "/statements";
    case RequestKind::Commit:
        return transaction + "/commit";
    case RequestKind::Rollback:
        return transaction + "/rollback";
    case RequestKind::Resolve:
        return database + "/requests/" + call.requestId.value;
    }
    return database;
}

std::string callerBody(const CallerCall& call)
{
    if (call.kind == RequestKind::Resolve)
        return {};
    json body = { { "kind", kindNames.at(static_cast<std::size_t>(call.kind)) },
        { "priority", priorityNames.at(static_cast<std::size_t>(call.priority)) }, { "repeatable", call.repeatable },
        { "deadlineMs", std::chrono::ceil<std::chrono::milliseconds>(call.deadline).count() } };
    if (!call.statement.empty())
        body["statement"] = call.statement;
    if (call.maxAge)
        body["maxAgeMs"] = std::chrono::floor<std::chrono::milliseconds>(*call.maxAge).count();
    return body.dump();
}

CallerAnswer parseCallerAnswer(int status, std::string_view body, std::string session)
{
    CallerAnswer answer;
    answer.status = status;
    answer.session = std::move(session);
    const auto value = json::parse(body, nullptr, false);
    if (value.is_object()) {
        const auto error = value.find("error");
        if (error != value.end() && error->is_object())
            return parseError(std::move(answer), *error);
        if (const auto state = stateOf(value))
            return parseSuccess(std::move(answer), value, *state);
    }
    answer.code = ErrorCode::AnswerMismatch;
    answer.detail = "response is not of the documented form: " + std::string(body.substr(0, 200));
    return answer;
}

} // namespace endivetrestle
