#pragma once

#include "connection/transaction_id.h"
#include "edge/http_server.h"
#include "process/settings.h"
#include "request/session_token.h"
#include "version/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <variant>

namespace endivetrestle {

// What the callers' interface needs of the daemon.
struct CallerApiHooks {
    // Configuration in force; null while the daemon has none.
    std::function<std::shared_ptr<const Configuration>()> configuration;
    // Runs a request. The parts name the transaction for requests that belong to one.
    std::function<void(Request, std::optional<TransactionIdParts>, std::function<void(Outcome)>)> run;
    // Unix time in seconds.
    std::function<std::int64_t()> wallClock;
    // Unique id for a request that came without one.
    std::function<std::string()> newRequestId;
};

// The callers' interface: checks and translates HTTP requests, and translates outcomes back. Does no input or output of
// its own. Thread-safe; the codecs must outlive it.
//
// Endpoints, all with "Authorization: Bearer KEY":
//     POST /v1/databases/{db}/statements          {"statement", "kind", "priority", "repeatable", "maxAgeMs",
//     "deadlineMs"} POST /v1/databases/{db}/transactions        {"deadlineMs"} POST /v1/transactions/{id}/statements
//     {"statement", "deadlineMs"} POST /v1/transactions/{id}/commit, /rollback GET  /v1/databases/{db}/requests/{id}
//     outcome of an earlier request
// Success: {"outcome", "requestId", "rows", "servedBy", "replica", "position", "transaction"} with the new session
// token in Endivetrestle-Session. Failure: {"error": {"code", "outcome", "message", "requestId", "retryAfterMs"}}.
class CallerApi {
public:
    CallerApi(const LimitSettings& limits, const SessionTokenCodec& tokens, const TransactionIdCodec& transactionIds,
        CallerApiHooks hooks);

    // Answers exactly once, on any thread.
    void handle(const HttpRequest& http, HttpServer::Answer answer);

    // Requests without an answer, of all callers.
    [[nodiscard]] std::size_t inFlight() const;

private:
    struct Problem {
        int status = 400;
        ErrorCode code = ErrorCode::BadRequest;
        std::string message;
    };
    // A request that passed every check, with what is needed to answer it.
    struct Accepted {
        Request request;
        std::optional<TransactionIdParts> parts;
        SessionToken token;
    };
    struct Route {
        RequestKind kind = RequestKind::Read;
        DatabaseId database;
        TransactionId transaction;
        RequestId requestId;
    };

    using Checked = std::variant<Accepted, Problem>;

    static std::variant<Route, Problem> parseRoute(const HttpRequest& http);
    [[nodiscard]] Checked check(const HttpRequest& http, Time now) const;
    [[nodiscard]] std::optional<Problem> readBody(const HttpRequest& http, Request& request, Time now) const;
    [[nodiscard]] std::optional<Problem> readToken(
        const HttpRequest& http, const CallerId& caller, SessionToken& token) const;
    [[nodiscard]] static std::optional<Problem> authorize(
        const CallerDeclaration& caller, const Configuration& configuration, Request& request);
    [[nodiscard]] HttpResponse toResponse(const Accepted& accepted, const Outcome& outcome) const;
    [[nodiscard]] static HttpResponse toResponse(const Problem& problem);
    bool enter(const CallerId& caller);
    void leave(const CallerId& caller);

    LimitSettings limits;
    const SessionTokenCodec& tokens;
    const TransactionIdCodec& transactionIds;
    CallerApiHooks hooks;
    mutable std::mutex mutex;
    std::map<CallerId, std::size_t> perCaller;
};

// HTTP status of an outcome.
int httpStatusOf(const Outcome& outcome);

} // namespace endivetrestle
