#pragma once

#include "fleet.hpp"
#include "group.hpp"
#include "store.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace review {

// Exit statuses of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

struct ScenarioContext {
    asio::io_context& context;
    Record& record;
    // Temporary folder of the run.
    std::string folder;
    // Whether the disruption happens.
    bool trouble = true;
};

// One case: starts the daemons and the stand-ins, plays the disruption and checks the rule.
class Scenario {
public:
    explicit Scenario(ScenarioContext setup)
        : context(setup.context)
        , record(setup.record)
        , folder(std::move(setup.folder))
        , trouble(setup.trouble)
    {
    }
    virtual ~Scenario() = default;
    virtual asio::awaitable<int> run() = 0;

protected:
    asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }
    static asio::ip::address address(int host)
    {
        return asio::ip::make_address(Fleet::network() + std::to_string(host));
    }
    struct RouteSpec {
        std::string database;
        std::string type;
        std::string service;
    };
    // A configuration with these routes and their services.
    static nlohmann::json configuration(int version, const std::vector<RouteSpec>& specs)
    {
        nlohmann::json routes = nlohmann::json::array();
        nlohmann::json services = nlohmann::json::array();
        for (const auto& spec : specs) {
            routes.push_back({ { "Name", "route-" + spec.database }, { "Host", spec.database }, { "Type", spec.type },
                { "TimeoutMs", 800 }, { "TargetLatencyMs", 200 }, { "Priority", 1 }, { "Service", spec.service },
                { "MaxStalenessMs", 1500 } });
            services.push_back({ { "Name", spec.service }, { "MaxConns", 40 }, { "SyncReplicas", 0 } });
        }
        return { { "Version", version }, { "Routes", routes }, { "Services", services },
            { "Limits", { { "TxIdleMs", 3000 } } } };
    }
    void log(const std::string& what, const Reply& reply)
    {
        this->record.write("client: " + what + " sent at "
            + std::to_string(
                this->record.seconds() - std::chrono::duration<double>(Clock::now() - reply.sentAt).count())
            + ": "
            + (!reply.whole           ? "no whole answer"
                    : reply.succeeded ? "ok " + reply.row
                                      : "ERROR " + reply.code));
    }

    asio::io_context& context;
    Record& record;
    std::string folder;
    bool trouble;
};

std::unique_ptr<Scenario> makeLateRemoval(ScenarioContext context);
std::unique_ptr<Scenario> makeRevivedLease(ScenarioContext context);
std::unique_ptr<Scenario> makeLateCut(ScenarioContext context);

} // namespace review
