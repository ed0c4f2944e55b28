#pragma once

#include "request/endpoint_call.h"

#include <optional>
#include <string>
#include <string_view>

namespace endivetrestle {

// JSON texts of the calls to endpoints and of their answers, shared by the client and the stand-in. Objects have short
// keys and a status is a positional array, because execute is on the path of every statement. Parsing is strict: a
// missing, unknown or mistyped field makes the whole text invalid and yields no value.

// Waits until the endpoint's log has passed `after`, at most for `wait`.
struct WatchCall {
    Position after;
    Duration wait {};

    bool operator==(const WatchCall&) const = default;
};

// First call of every connection. Control connections carry no statements and do not count towards the endpoint's
// connection limit.
struct OpenCall {
    bool control = false;

    bool operator==(const OpenCall&) const = default;
};

// Call without arguments (status, reset).
struct EmptyCall {
    bool operator==(const EmptyCall&) const = default;
};

// A control call or its answer with the tag that the endpoint echoes. Tags are unique over all connections of all
// daemons, so that an answer delivered on the wrong connection is recognised.
template <typename Value> struct Tagged {
    std::string tag;
    Value value;

    bool operator==(const Tagged&) const = default;
};

// Refusal of a request as a whole, sent with a status other than 200.
struct CallRefusal {
    ErrorCode code = ErrorCode::Internal;
    std::string detail;

    bool operator==(const CallRefusal&) const = default;
};

std::string toJson(const ExecuteCall& call);
std::string toJson(const ExecuteAnswer& answer);
std::string toJson(const CallRefusal& refusal);
std::string toJson(const Tagged<EmptyCall>& call);
std::string toJson(const Tagged<OpenCall>& call);
std::string toJson(const Tagged<WatchCall>& call);
std::string toJson(const Tagged<FenceCall>& call);
std::string toJson(const Tagged<ResolveCall>& call);
std::string toJson(const Tagged<EndpointStatus>& answer);
std::string toJson(const Tagged<FenceAnswer>& answer);
std::string toJson(const Tagged<ResolveAnswer>& answer);

// Parses the JSON text of any type for which toJson() exists. No value if the text is not exactly of that form.
template <typename Value> std::optional<Value> fromJson(std::string_view text);

template <> std::optional<ExecuteCall> fromJson(std::string_view text);
template <> std::optional<ExecuteAnswer> fromJson(std::string_view text);
template <> std::optional<CallRefusal> fromJson(std::string_view text);
template <> std::optional<Tagged<EmptyCall>> fromJson(std::string_view text);
template <> std::optional<Tagged<OpenCall>> fromJson(std::string_view text);
template <> std::optional<Tagged<WatchCall>> fromJson(std::string_view text);
template <> std::optional<Tagged<FenceCall>> fromJson(std::string_view text);
template <> std::optional<Tagged<ResolveCall>> fromJson(std::string_view text);
template <> std::optional<Tagged<EndpointStatus>> fromJson(std::string_view text);
template <> std::optional<Tagged<FenceAnswer>> fromJson(std::string_view text);
template <> std::optional<Tagged<ResolveAnswer>> fromJson(std::string_view text);

} // namespace endivetrestle
