#include "edge/operator_api.h"

#include "base/hmac.h"

#include <charconv>
#include <map>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view plansPath = "/admin/v1/plans";

HttpResponse jsonResponse(int status, const json& body)
{
    return { status, "application/json", body.dump(-1, ' ', false, json::error_handler_t::replace), {} };
}

HttpResponse errorResponse(int status, ErrorCode code, const std::vector<std::string>& lines)
{
    return jsonResponse(status, { { "error", { { "code", errorName(code) }, { "lines", lines } } } });
}

std::map<std::string, std::string> parseQuery(const std::string& query)
{
    std::map<std::string, std::string> result;
    std::size_t begin = 0;
    while (begin < query.size()) {
        auto end = query.find('&', begin);
        end = end == std::string::npos ? query.size() : end;
        const auto pair = query.substr(begin, end - begin);
        const auto equal = pair.find('=');
        if (equal != std::string::npos)
            result[pair.substr(0, equal)] = pair.substr(equal + 1);
        begin = end + 1;
    }
    return result;
}

json planJson(const Plan& plan)
{
    json callers = json::array();
    for (const auto& caller : plan.disturbance.callers)
        callers.push_back(caller.value);
    json databases = json::array();
    for (const auto& database : plan.disturbance.databases)
        databases.push_back(database.value);
    return { { "plan", plan.id.value }, { "baseVersion", plan.baseVersion }, { "changes", plan.changes },
        { "disturbance",
            { { "callers", callers }, { "databases", databases }, { "connections", plan.disturbance.connections },
                { "lines", plan.disturbance.lines } } },
        { "expectedMs", plan.expectedDuration.count() / 1000 }, { "expiresAtMs", plan.expiresAtMs } };
}

std::string confirmStatusName(ConfirmStatus status)
{
    switch (status) {
    case ConfirmStatus::Accepted:
        return "accepted";
    case ConfirmStatus::AlreadyAccepted:
        return "already_accepted";
    case ConfirmStatus::Refused:
        return "refused";
    case ConfirmStatus::StoreUnavailable:
        return "store_unavailable";
    }
    return "store_unavailable";
}

int confirmHttpStatus(ConfirmStatus status)
{
    if (status == ConfirmStatus::Refused)
        return 409;
    return status == ConfirmStatus::StoreUnavailable ? 503 : 200;
}

} // namespace

OperatorApi::OperatorApi(std::string operatorKey, Fleet& fleet, Journal& journal, BurnTracker& burn, Metrics& metrics,
    OperatorApiHooks hooks)
    : operatorKey(std::move(operatorKey))
    , fleet(fleet)
    , journal(journal)
    , burn(burn)
    , metrics(metrics)
    , hooks(std::move(hooks))
{
}

bool OperatorApi::authorized(const HttpRequest& http) const
{
    return http.authorization.starts_with(bearer)
        && equalInConstantTime(http.authorization.substr(bearer.size()), this->operatorKey);
}

void OperatorApi::handle(const HttpRequest& http, HttpServer::Answer answer)
{
    if (http.path == "/healthz") {
        answer({ 200, "text/plain", "ok\n", {} });
    } else if (http.path == "/readyz") {
        const bool ready = this->hooks.ready();
        answer({ ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n", {} });
    } else if (http.path == "/metrics") {
        answer({ 200, "text/plain; version=0.0.4", this->metrics.serialize(), {} });
    } else if (!this->authorized(http)) {
        answer(errorResponse(401, ErrorCode::Unauthenticated, { "send Authorization: Bearer OPERATOR-KEY" }));
    } else {
        this->handleAdmin(http, answer);
    }
}

void OperatorApi::handleAdmin(const HttpRequest& http, const HttpServer::Answer& answer)
{
    const bool get = http.method == "GET";
    const bool post = http.method == "POST";
    constexpr std::string_view confirmSuffix = "/confirm";
    if (get && http.path == "/admin/v1/status") {
        answer(jsonResponse(200, this->hooks.status()));
    } else if (get && http.path == "/admin/v1/explain") {
        answer(this->explain(http));
    } else if (get && http.path == "/admin/v1/report") {
        const auto now = MonotonicClock::now();
        auto report = toJson(this->burn.report(now));
        report["daemon"] = this->hooks.daemon.value;
        report["journal"] = toJson(this->journal.query({}), now)["entries"];
        answer(jsonResponse(200, report));
    } else if (get && http.path == "/admin/v1/configuration") {
        const auto configuration = this->fleet.configuration();
        answer(configuration ? HttpResponse { 200, "application/json", configuration->text(), {} }
                             : errorResponse(404, ErrorCode::StoreUnavailable, { "no configuration is in force" }));
    } else if (post && http.path == plansPath) {
        this->makePlan(http, answer);
    } else if (post && http.path.starts_with(plansPath) && http.path.ends_with(confirmSuffix)
        && http.path.size() > plansPath.size() + 1 + confirmSuffix.size()) {
        const auto length = http.path.size() - plansPath.size() - 1 - confirmSuffix.size();
        this->confirm(http.path.substr(plansPath.size() + 1, length), answer);
    } else {
        answer(errorResponse(404, ErrorCode::BadRequest, { "no such path or method" }));
    }
}

HttpResponse OperatorApi::explain(const HttpRequest& http)
{
    auto parameters = parseQuery(http.query);
    JournalQuery query;
    if (parameters.contains("database"))
        query.database = DatabaseId(parameters["database"]);
    if (parameters.contains("kind")) {
        query.kind = journalKindFromName(parameters["kind"]);
        if (!query.kind)
            return errorResponse(400, ErrorCode::BadRequest, { "unknown kind: " + parameters["kind"] });
    }
    if (parameters.contains("limit")) {
        const auto& text = parameters["limit"];
        const auto* const last = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data(), last, query.limit);
        if (error != std::errc() || end != last || query.limit == 0)
            return errorResponse(400, ErrorCode::BadRequest, { "limit must be a whole number above 0: " + text });
    }
    return jsonResponse(200, toJson(this->journal.query(query), MonotonicClock::now()));
}

void OperatorApi::makePlan(const HttpRequest& http, const HttpServer::Answer& answer)
{
    const auto parsed = parseIntent(http.body, "intent");
    if (!parsed.intent) {
        std::vector<std::string> lines;
        for (const auto& problem : parsed.problems)
            lines.push_back(toString(problem));
        answer(errorResponse(400, ErrorCode::BadRequest, lines));
        return;
    }
    this->fleet.makePlan(*parsed.intent, "operator", [answer](const Fleet::Planned& planned) {
        if (planned.plan)
            answer(jsonResponse(200, planJson(*planned.plan)));
        else
            answer(
                errorResponse(planned.code == ErrorCode::StoreUnavailable ? 503 : 422, planned.code, planned.reasons));
    });
}

void OperatorApi::confirm(const std::string& plan, const HttpServer::Answer& answer)
{
    this->fleet.confirm(PlanId(plan), [answer](const ConfirmResult& result) {
        answer(jsonResponse(confirmHttpStatus(result.status),
            { { "status", confirmStatusName(result.status) }, { "code", errorName(result.code) },
                { "version", result.version }, { "outcomeUnknown", result.outcomeUnknown },
                { "lines", result.lines } }));
    });
}

} // namespace endivetrestle
