#include "edge/caller_api.h"

#include "base/sha256.h"
#include "base/strict_json.h"

#include <algorithm>
#include <array>
#include <set>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::size_t requestIdLimit = 128;
constexpr std::string_view bearer = "Bearer ";

bool isRequestId(const std::string& text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-";
    return !text.empty() && text.size() <= requestIdLimit && text.find_first_not_of(allowed) == std::string::npos;
}

std::vector<std::string> split(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < path.size()) {
        auto end = path.find('/', begin);
        end = end == std::string::npos ? path.size() : end;
        if (end > begin)
            parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

Priority parsePriority(const std::string& name)
{
    if (name == "payment")
        return Priority::Payment;
    if (name == "write")
        return Priority::Write;
    return name == "glance" ? Priority::Glance : Priority::Read;
}

// Values of "kind" that fit the path of a request, so that a request sent to the wrong path does not run as another
// kind.
std::set<std::string> kindsOfPath(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Begin:
        return { "begin" };
    case RequestKind::Statement:
        return { "read", "write", "statement" };
    case RequestKind::Commit:
        return { "commit" };
    case RequestKind::Rollback:
        return { "rollback" };
    default:
        return { "read", "write" };
    }
}

bool changesData(RequestKind kind)
{
    return kind == RequestKind::Write || kind == RequestKind::Commit || kind == RequestKind::Resolve;
}

std::string joinProblems(const std::vector<JsonProblem>& problems)
{
    std::string text;
    for (const auto& problem : problems)
        text += (text.empty() ? "" : "; ") + toString(problem);
    return text;
}

// JSON text of a string.
std::string quoted(const std::string& text) { return json(text).dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace

int httpStatusOf(const Outcome& outcome)
{
    if (outcome.state == OutcomeState::Completed)
        return 200;
    if (outcome.state == OutcomeState::Unknown)
        return 504;
    switch (static_cast<ErrorCode>(outcome.code.value())) {
    case ErrorCode::BadRequest:
    case ErrorCode::StatementFailed:
        return 400;
    case ErrorCode::UnknownDatabase:
    case ErrorCode::UnknownTransaction:
        return 404;
    case ErrorCode::TransactionAborted:
    case ErrorCode::RequestAborted:
    case ErrorCode::PositionDiverged:
        return 409;
    case ErrorCode::QueueFull:
    case ErrorCode::Overloaded:
    case ErrorCode::RetryBudgetSpent:
        return 429;
    case ErrorCode::Internal:
        return 500;
    default:
        return 503;
    }
}

CallerApi::CallerApi(const LimitSettings& limits, const SessionTokenCodec& tokens,
    const TransactionIdCodec& transactionIds, CallerApiHooks hooks)
    : limits(limits)
    , tokens(tokens)
    , transactionIds(transactionIds)
    , hooks(std::move(hooks))
{
}

std::size_t CallerApi::inFlight() const
{
    std::lock_guard lock(this->mutex);
    std::size_t sum = 0;
    for (const auto& [caller, count] : this->perCaller)
        sum += count;
    return sum;
}

bool CallerApi::enter(const CallerId& caller)
{
    std::lock_guard lock(this->mutex);
    auto& count = this->perCaller[caller];
    if (count >= this->limits.connectionsPerCaller)
        return false;
    ++count;
    return true;
}

void CallerApi::leave(const CallerId& caller)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->perCaller.find(caller);
    if (--found->second == 0)
        this->perCaller.erase(found);
}

void CallerApi::handle(const HttpRequest& http, HttpServer::Answer answer)
{
    auto checked = this->check(http, MonotonicClock::now());
    if (const auto* problem = std::get_if<Problem>(&checked)) {
        answer(toResponse(*problem));
        return;
    }
    auto accepted = std::make_shared<Accepted>(std::move(std::get<Accepted>(checked)));
    if (!this->enter(accepted->request.caller)) {
        answer(toResponse(Problem { 429, ErrorCode::QueueFull, "too many requests of this caller at once" }));
        return;
    }
    auto request = accepted->request;
    this->hooks.run(
        std::move(request), accepted->parts, [this, accepted, answer = std::move(answer)](const Outcome& outcome) {
            this->leave(accepted->request.caller);
            answer(this->toResponse(*accepted, outcome));
        });
}

std::variant<CallerApi::Route, CallerApi::Problem> CallerApi::parseRoute(const HttpRequest& http)
{
    const auto parts = split(http.path);
    Route route;
    const bool post = http.method == "POST";
    if (parts.size() >= 4 && parts[0] == "v1" && parts[1] == "databases") {
        route.database = DatabaseId(parts[2]);
        if (parts.size() == 4 && parts[3] == "statements" && post)
            return route;
        route.kind = RequestKind::Begin;
        if (parts.size() == 4 && parts[3] == "transactions" && post)
            return route;
        route.kind = RequestKind::Resolve;
        if (parts.size() == 5 && parts[3] == "requests" && http.method == "GET") {
            route.requestId = RequestId(parts[4]);
            return route;
        }
    }
    if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "transactions" && post) {
        route.transaction = TransactionId(parts[2]);
        route.kind = RequestKind::Statement;
        if (parts[3] == "statements")
            return route;
        route.kind = RequestKind::Commit;
        if (parts[3] == "commit")
            return route;
        route.kind = RequestKind::Rollback;
        if (parts[3] == "rollback")
            return route;
    }
    return Problem { 404, ErrorCode::BadRequest, "no such path or method: " + http.method + " " + http.path };
}

CallerApi::Checked CallerApi::check(const HttpRequest& http, Time now) const
{
    const auto configuration = this->hooks.configuration();
    if (!configuration)
        return Problem { 503, ErrorCode::StoreUnavailable, "the daemon has no configuration yet" };
    if (!http.authorization.starts_with(bearer))
        return Problem { 401, ErrorCode::Unauthenticated, "send Authorization: Bearer KEY" };
    const auto* caller = configuration->findCallerByKey(sha256Hex(http.authorization.substr(bearer.size())));
    if (caller == nullptr)
        return Problem { 401, ErrorCode::Unauthenticated, "no caller has this key" };
    auto parsed = parseRoute(http);
    if (const auto* problem = std::get_if<Problem>(&parsed))
        return *problem;
    const auto& route = std::get<Route>(parsed);

    Accepted accepted;
    auto& request = accepted.request;
    request.caller = caller->id;
    request.kind = route.kind;
    request.database = route.database;
    request.transaction = route.transaction;
    request.id = RequestId(http.requestId.empty() ? this->hooks.newRequestId() : http.requestId);
    if (route.kind == RequestKind::Resolve)
        request.id = route.requestId;
    if (!isRequestId(request.id.value))
        return Problem { 400, ErrorCode::BadRequest, "a request id has 1 to 128 of A-Z a-z 0-9 . _ : -" };
    if (!route.transaction.empty()) {
        accepted.parts = this->transactionIds.parse(route.transaction, caller->id);
        if (!accepted.parts)
            return Problem { 404, ErrorCode::UnknownTransaction, "no such transaction of this caller" };
        request.database = accepted.parts->database;
    }
    if (auto problem = this->readBody(http, request, now))
        return *problem;
    if (auto problem = authorize(*caller, *configuration, request))
        return *problem;
    if (auto problem = this->readToken(http, caller->id, accepted.token))
        return *problem;
    const auto bound = accepted.token.positionFor(request.database);
    request.minPosition = bound.position;
    request.requiresPrimary = bound.requiresPrimary;
    return accepted;
}

std::optional<CallerApi::Problem> CallerApi::readBody(const HttpRequest& http, Request& request, Time now) const
{
    request.deadline = now + this->limits.defaultDeadline;
    const bool statement = request.kind == RequestKind::Read || request.kind == RequestKind::Statement;
    if (http.body.empty() && !statement)
        return std::nullopt;
    const auto document = parseStrictJson(http.body, "request body");
    auto problems = document.problems;
    if (!problems.empty())
        return Problem { 400, ErrorCode::BadRequest, joinProblems(problems) };
    ObjectReader reader(document.value, "request body", "", problems);
    const auto kinds = kindsOfPath(request.kind);
    const auto kind = reader.oneOf("kind", kinds, *kinds.begin());
    if (request.kind == RequestKind::Read && kind == "write")
        request.kind = RequestKind::Write;
    request.statement = statement ? reader.text("statement") : reader.text("statement", "");
    const std::string usual = request.kind == RequestKind::Read ? "read" : "write";
    request.priority = parsePriority(reader.oneOf("priority", { "payment", "write", "read", "glance" }, usual));
    request.repeatable = reader.boolean("repeatable", false);
    const auto longest = this->limits.maximumDeadline.count() / 1000;
    const auto usualDeadline = std::min(this->limits.defaultDeadline, this->limits.maximumDeadline);
    request.deadline = now + reader.milliseconds("deadlineMs", { 1, longest }, usualDeadline);
    const auto maxAge = reader.integer("maxAgeMs", { -1, 31536000000 }, -1);
    if (maxAge >= 0)
        request.maxAge = std::chrono::milliseconds(maxAge);
    reader.reportUnknownKeys();
    if (!problems.empty())
        return Problem { 400, ErrorCode::BadRequest, joinProblems(problems) };
    return std::nullopt;
}

std::optional<CallerApi::Problem> CallerApi::readToken(
    const HttpRequest& http, const CallerId& caller, SessionToken& token) const
{
    token.caller = caller;
    if (http.session.empty())
        return std::nullopt;
    auto decoded = this->tokens.decode(http.session, caller, this->hooks.wallClock());
    if (const auto* code = std::get_if<ErrorCode>(&decoded))
        return Problem { 401, *code, "the session token was not accepted; start a new session without a token" };
    token = std::get<SessionToken>(decoded);
    return std::nullopt;
}

// Checks what the operators allow the caller, and bounds the age of reads that state none.
std::optional<CallerApi::Problem> CallerApi::authorize(
    const CallerDeclaration& caller, const Configuration& configuration, Request& request)
{
    const auto grant = caller.databases.find(request.database);
    if (grant == caller.databases.end() || configuration.findDatabase(request.database) == nullptr)
        return Problem { 404, ErrorCode::UnknownDatabase,
            "no such database for this caller: " + request.database.value };
    if (!caller.kinds.allows(request.kind))
        return Problem { 403, ErrorCode::Forbidden, "the caller may not send requests of this kind" };
    if (request.kind != RequestKind::Read || !grant->second.maxReadAge)
        return std::nullopt;
    const auto allowed = *grant->second.maxReadAge;
    if (request.maxAge && *request.maxAge > allowed) {
        return Problem { 403, ErrorCode::AgeNotAllowed,
            "the caller may read data of at most " + std::to_string(allowed.count() / 1000) + " ms of age" };
    }
    request.maxAge = request.maxAge.value_or(allowed);
    return std::nullopt;
}

HttpResponse CallerApi::toResponse(const Problem& problem)
{
    HttpResponse response;
    response.status = problem.status;
    response.body = "{\"error\":{\"code\":\"" + std::string(errorName(problem.code))
        + "\",\"outcome\":\"did_not_run\",\"message\":" + quoted(problem.message) + "}}";
    return response;
}

HttpResponse CallerApi::toResponse(const Accepted& accepted, const Outcome& outcome) const
{
    const auto& request = accepted.request;
    HttpResponse response;
    response.status = httpStatusOf(outcome);
    auto token = accepted.token;
    if (outcome.state == OutcomeState::Completed && changesData(request.kind))
        token.merge(request.database, outcome.position);
    token.issuedAt = this->hooks.wallClock();
    response.headers.emplace_back("Endivetrestle-Session", this->tokens.encode(token));
    if (outcome.state != OutcomeState::Completed) {
        const auto code = static_cast<ErrorCode>(outcome.code.value());
        response.body = "{\"error\":{\"code\":\"" + std::string(errorName(code)) + "\",\"outcome\":\""
            + std::string(outcomeStateName(outcome.state)) + "\",\"message\":" + quoted(outcome.detail)
            + ",\"requestId\":\"" + request.id.value
            + "\",\"retryAfterMs\":" + std::to_string((outcome.retryAfter.count() + 999) / 1000) + "}}";
        return response;
    }
    const bool hasRows = !outcome.rows.empty() && json::accept(outcome.rows);
    response.body = "{\"outcome\":\"completed\",\"requestId\":\"" + request.id.value
        + "\",\"rows\":" + (hasRows ? outcome.rows : "[]") + ",\"servedBy\":" + quoted(outcome.servedBy.value)
        + ",\"replica\":" + (outcome.servedByReplica ? "true" : "false") + ",\"position\":{\"term\":"
        + std::to_string(outcome.position.term) + ",\"index\":" + std::to_string(outcome.position.index) + "}";
    if (!outcome.transaction.empty())
        response.body += ",\"transaction\":\"" + outcome.transaction.value + "\"";
    response.body += "}";
    return response;
}

} // namespace endivetrestle
