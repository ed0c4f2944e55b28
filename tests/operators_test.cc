#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

nlohmann::json readAge(int milliseconds)
{
    return { { "intent", "setReadAge" }, { "caller", "shop" }, { "database", "shop-1" },
        { "maxReadAgeMs", milliseconds } };
}

// Largest read age of the caller in a daemon's configuration, in milliseconds.
int readAgeAt(RunningDeployment& running, std::size_t daemon)
{
    const auto configuration = running.operate(daemon, "/admin/v1/configuration");
    return configuration["callers"][0]["databases"]["shop-1"].value("maxReadAgeMs", -1);
}

DeploymentOptions fourDaemons()
{
    auto shape = saengchanShape();
    shape.databases = { DatabaseId("shop-1") };
    return shape;
}

} // namespace

// Guards against two changes on the same stale view that both come into force.
TEST_CASE("Operators, accepts one of two plans when both are based on the same version")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto first = running.plan(0, readAge(1000));
    const auto second = running.plan(1, readAge(2000));
    REQUIRE(first.contains("plan"));
    REQUIRE(second.contains("plan"));
    CHECK(first["baseVersion"] == second["baseVersion"]);
    // Both are confirmed at the same time through different daemons.
    CallerClient another(*running.io.provider, running.operatorAddresses(), running.deployment.operatorKey());
    const auto path
        = [](const nlohmann::json& plan) { return "/admin/v1/plans/" + plan["plan"].get<std::string>() + "/confirm"; };
    auto confirmedFirst = running.operators.fetch(0, kj::HttpMethod::POST, path(first), "{}");
    auto confirmedSecond = another.fetch(1, kj::HttpMethod::POST, path(second), "{}");
    const auto a = nlohmann::json::parse(confirmedFirst.wait(running.io.waitScope).body);
    const auto b = nlohmann::json::parse(confirmedSecond.wait(running.io.waitScope).body);
    CAPTURE(a.dump(), b.dump());
    const bool firstWon = a["status"] == "accepted";
    const auto& winner = firstWon ? a : b;
    const auto& loser = firstWon ? b : a;
    CHECK(winner["status"] == "accepted");
    CHECK(loser["status"] == "refused");
    CHECK(loser["code"] == "plan_outdated");
    // The refusal shows what the other operator changed.
    CHECK(loser["lines"].dump().find(firstWon ? "1000" : "2000") != std::string::npos);
    running.waitUntil([&] { return running.lowestVersion() >= winner["version"].get<std::uint64_t>(); });
    for (std::size_t daemon = 0; daemon < 2; ++daemon)
        CHECK(readAgeAt(running, daemon) == (firstWon ? 1000 : 2000));
}

// Guards against an operator who cannot tell whether a change was accepted, and against a change applied twice.
TEST_CASE("Operators, answers already accepted when the store's answer to the write was lost")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    for (int lost = 1; lost <= 6; ++lost) {
        const auto made = running.plan(0, readAge(1000 * lost));
        CAPTURE(lost, made.dump());
        REQUIRE(made.contains("plan"));
        const auto base = made["baseVersion"].get<std::uint64_t>();
        running.deployment.controlPlatform(nlohmann::json { { "set", { { "loseAnswers", lost } } } }.dump());
        const auto confirmed = running.confirm(0, made["plan"]);
        running.deployment.controlPlatform(R"({"set": {"loseAnswers": 0}})");
        CAPTURE(confirmed.dump());
        CHECK((confirmed["status"] == "accepted" || confirmed["status"] == "store_unavailable"));
        auto again = running.confirm(1, made["plan"]);
        CAPTURE(again.dump());
        if (confirmed["status"] == "accepted")
            CHECK(again["status"] == "already_accepted");
        else
            CHECK((again["status"] == "already_accepted" || again["status"] == "accepted"));
        CHECK(again["version"].get<std::uint64_t>() == base + 1);
        REQUIRE(running.waitUntil([&] { return running.lowestVersion() >= base + 1; }));
        CHECK(running.lowestVersion() == base + 1);
        CHECK(readAgeAt(running, 1) == 1000 * lost);
    }
}

// Guards against a daemon that keeps an old configuration or goes back to one.
TEST_CASE("Operators, brings each version in force on every daemon and never an older one")
{
    RunningDeployment running(fourDaemons());
    REQUIRE(running.problem.empty());
    std::vector<std::uint64_t> seen(4, 0);
    const auto checkOrder = [&] {
        for (std::size_t daemon = 0; daemon < 4; ++daemon) {
            const auto version = running.deployment.daemon(daemon).fleetPart().configuration()->version();
            CHECK(version >= seen[daemon]);
            seen[daemon] = version;
        }
    };
    for (std::size_t change = 1; change <= 8; ++change) {
        const auto made = running.plan(change % 4, readAge(static_cast<int>(1000 * change)));
        REQUIRE(made.contains("plan"));
        const auto confirmed = running.confirm((change + 1) % 4, made["plan"]);
        CAPTURE(confirmed.dump());
        REQUIRE(confirmed["status"] == "accepted");
        const auto version = confirmed["version"].get<std::uint64_t>();
        CHECK(running.waitUntil([&] {
            checkOrder();
            return running.lowestVersion() >= version;
        }));
        for (std::size_t daemon = 0; daemon < 4; ++daemon)
            CHECK(readAgeAt(running, daemon) == static_cast<int>(1000 * change));
        const auto status = running.operate(0, "/admin/v1/status");
        CHECK(status["configuration"]["version"] == version);
    }
}

// Guards against a status that never shows operators that a change is in force everywhere.
TEST_CASE("Operators, shows in the status that every daemon has the version in force")
{
    RunningDeployment running(fourDaemons());
    REQUIRE(running.problem.empty());
    const auto confirmed = running.apply(readAge(1000));
    REQUIRE(confirmed["status"] == "accepted");
    const auto version = std::to_string(confirmed["version"].get<std::uint64_t>());
    nlohmann::json status;
    const auto shown = running.waitUntil([&] {
        status = running.operate(0, "/admin/v1/status")["configuration"];
        return status["inForce"].value(version, 0) == 4 && status["behind"].empty();
    });
    CAPTURE(status.dump());
    CHECK(shown);
    CHECK(status["inForce"].size() == 1);
}

// Guards against plans that would break a group, and refusals without a reason.
TEST_CASE("Operators, refuses intents with reasons when they are impossible")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto refusal = [&](const nlohmann::json& intent) { return running.plan(0, intent); };
    const std::vector<nlohmann::json> impossible = {
        { { "intent", "leaveEndpoint" }, { "database", "shop-1" }, { "endpoint", "shop-1-x" } },
        { { "intent", "removeEndpoint" }, { "database", "shop-1" }, { "endpoint", "shop-1-a" } },
        { { "intent", "removeDatabase" }, { "database", "shop-1" } },
        { { "intent", "removeCaller" }, { "caller", "nobody" } },
        { { "intent", "setReadAge" }, { "caller", "nobody" }, { "database", "shop-1" } },
        { { "intent", "joinEndpoint" }, { "database", "shop-1" },
            { "endpoint",
                { { "id", "shop-1-d" }, { "address", running.deployment.endpointAddress(running.database(), 0) },
                    { "dataCentre", "local-a" } } } },
    };
    for (const auto& intent : impossible) {
        const auto answer = refusal(intent);
        CAPTURE(intent.dump(), answer.dump());
        CHECK(answer["httpStatus"] == 422);
        CHECK(answer["error"]["code"] == "plan_invalid");
        CHECK_FALSE(answer["error"]["lines"].empty());
    }
    const auto unknown = refusal({ { "intent", "paint" } });
    CHECK(unknown["httpStatus"] == 400);
    CHECK(running.confirm(0, "no-such-plan")["code"] == "plan_unknown");
    CHECK(running.lowestVersion() == 1);
}

// Guards against a limit on the number of decisions that is ignored.
TEST_CASE("Operators, explains no more decisions than asked for")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    REQUIRE(running.apply(readAge(1000))["status"] == "accepted");
    REQUIRE(running.apply(readAge(2000))["status"] == "accepted");
    const auto all = running.operate(0, "/admin/v1/explain");
    CAPTURE(all.dump());
    REQUIRE(all["entries"].size() > 2);
    CHECK(running.operate(0, "/admin/v1/explain?limit=2")["entries"].size() == 2);
    CHECK(running.operate(0, "/admin/v1/explain?limit=x")["httpStatus"] == 400);
    for (const auto& entry : running.operate(0, "/admin/v1/explain?kind=configuration")["entries"])
        CHECK(entry["kind"] == "configuration");
}
