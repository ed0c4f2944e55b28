#pragma once

#include "edge/fleet.h"
#include "edge/http_server.h"
#include "process/burn_tracker.h"
#include "process/journal.h"
#include "process/metrics.h"

#include <functional>
#include <string>

namespace endivetrestle {

// What the operators' interface needs of the daemon.
struct OperatorApiHooks {
    DaemonId daemon;
    // State of the daemon for "status".
    std::function<nlohmann::json()> status;
    std::function<bool()> ready;
};

// The operators' interface. All paths below /admin/v1 need "Authorization: Bearer OPERATOR-KEY".
//
//     GET  /healthz, /readyz, /metrics
//     GET  /admin/v1/status
//     GET  /admin/v1/explain?database=ID&kind=failover&limit=50
//     GET  /admin/v1/report
//     GET  /admin/v1/configuration
//     POST /admin/v1/plans                  an intent; answers the plan
//     POST /admin/v1/plans/{id}/confirm     answers the result
class OperatorApi {
public:
    OperatorApi(std::string operatorKey, Fleet& fleet, Journal& journal, BurnTracker& burn, Metrics& metrics,
        OperatorApiHooks hooks);

    // Answers exactly once, on any thread.
    void handle(const HttpRequest& http, HttpServer::Answer answer);

private:
    void handleAdmin(const HttpRequest& http, const HttpServer::Answer& answer);
    [[nodiscard]] HttpResponse explain(const HttpRequest& http);
    void makePlan(const HttpRequest& http, const HttpServer::Answer& answer);
    void confirm(const std::string& plan, const HttpServer::Answer& answer);
    [[nodiscard]] bool authorized(const HttpRequest& http) const;

    std::string operatorKey;
    Fleet& fleet;
    Journal& journal;
    BurnTracker& burn;
    Metrics& metrics;
    OperatorApiHooks hooks;
};

} // namespace endivetrestle
