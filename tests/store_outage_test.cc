#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr const char* down = R"({"set": {"tableDown": true, "objectsDown": true, "liveListDown": true}})";
constexpr const char* up = R"({"set": {"tableDown": false, "objectsDown": false, "liveListDown": false}})";

// Short waits for the platform, so that a test of an outage does not wait for long time-outs.
DeploymentOptions impatientShape()
{
    auto shape = demoShape();
    shape.settings.platform.tableTimeout = 200ms;
    shape.settings.platform.objectTimeout = 200ms;
    shape.settings.poll.interval = 500ms;
    return shape;
}

nlohmann::json readAge(int milliseconds)
{
    return { { "intent", "setReadAge" }, { "caller", "shop" }, { "database", "shop-1" },
        { "maxReadAgeMs", milliseconds } };
}

// Writes with new ids until one is accepted.
CallerAnswer writeUntilAccepted(RunningDeployment& running, std::size_t daemon, const std::string& statement)
{
    CallerAnswer answer;
    running.waitUntil([&] {
        answer = running.settledWrite(daemon, statement, "retry-" + std::to_string(++running.reads));
        return answer.state == OutcomeState::Completed;
    });
    return answer;
}

} // namespace

// Guards against a failover that needs the platform's services.
TEST_CASE("StoreOutage, replaces a dead primary when every service of the platform is down")
{
    RunningDeployment running(impatientShape());
    REQUIRE(running.problem.empty());
    const auto before = running.write(0, "put mango 12", "w1");
    REQUIRE(before.state == OutcomeState::Completed);
    REQUIRE(running.deployment.controlPlatform(down).empty());
    running.controlEndpoint(0, { { "down", true } });
    const auto after = writeUntilAccepted(running, 1, "append mango -13");
    CAPTURE(after.detail);
    CHECK(after.position.term > before.position.term);
    CHECK(running.read(0, "get mango", after.session).rows == R"(["12-13"])");
    REQUIRE(running.deployment.controlPlatform(up).empty());
}

// Guards against a daemon that needs the store for its start.
TEST_CASE("StoreOutage, takes the configuration from a peer when a daemon starts with the store down")
{
    RunningDeployment running(impatientShape());
    REQUIRE(running.problem.empty());
    const auto written = running.write(0, "put mango 12", "w1");
    const bool listDown = GENERATE(false, true);
    CAPTURE(listDown);
    REQUIRE(running.deployment.controlPlatform(listDown ? down : R"({"set": {"tableDown": true, "objectsDown": true}})")
                .empty());
    const std::size_t restarted = 0;
    running.deployment.killDaemon(restarted);
    running.deployment.restartDaemon(restarted);
    REQUIRE(running.waitUntil([&] { return running.deployment.daemon(restarted).ready(); }));
    CHECK(running.lowestVersion() == 1);
    CallerAnswer read;
    running.waitUntil([&] {
        read = running.read(restarted, "get mango", written.session);
        return read.state == OutcomeState::Completed;
    });
    CHECK(read.rows == R"(["12"])");
    running.deployment.controlPlatform(up);
}

// Guards against unclear errors of operators' requests during an outage, and a fleet that does not recover from it.
TEST_CASE("StoreOutage, refuses plans and confirmations clearly and accepts them when the store is back")
{
    RunningDeployment running(impatientShape());
    REQUIRE(running.problem.empty());
    const auto made = running.plan(0, readAge(1000));
    REQUIRE(made.contains("plan"));
    REQUIRE(running.deployment.controlPlatform(down).empty());
    const auto refusedPlan = running.plan(0, readAge(2000));
    CAPTURE(refusedPlan.dump());
    CHECK(refusedPlan["httpStatus"] == 503);
    CHECK(refusedPlan["error"]["code"] == "store_unavailable");
    const auto refused = running.confirm(1, made["plan"]);
    CAPTURE(refused.dump());
    CHECK(refused["httpStatus"] == 503);
    CHECK(refused["status"] == "store_unavailable");
    CHECK(refused["outcomeUnknown"] == false);
    CHECK(running.read(0, "get mango").state == OutcomeState::Completed);
    // The outage is recorded for operators.
    CHECK(running.waitUntil([&] {
        return !running.operate(0, "/admin/v1/explain?kind=store_outage")
                    .value("entries", nlohmann::json::array())
                    .empty();
    }));
    REQUIRE(running.deployment.controlPlatform(up).empty());
    const auto accepted = running.confirm(1, made["plan"]);
    CAPTURE(accepted.dump());
    CHECK(accepted["status"] == "accepted");
    CHECK(running.waitUntil([&] { return running.lowestVersion() == 2; }));
    CHECK(running.apply(readAge(3000))["status"] == "accepted");
}

// Guards against requests and operators' calls that hang while the store takes requests and never answers.
TEST_CASE("StoreOutage, goes on when the store does not answer at all")
{
    RunningDeployment running(impatientShape());
    REQUIRE(running.problem.empty());
    REQUIRE(running.deployment.controlPlatform(R"({"set": {"blackhole": true}})").empty());
    CHECK(running.plan(0, readAge(2000))["httpStatus"] == 503);
    CHECK(running.write(0, "put mango 12", "w1").state == OutcomeState::Completed);
    running.controlEndpoint(0, { { "down", true } });
    CHECK(writeUntilAccepted(running, 0, "put mango 13").state == OutcomeState::Completed);
    running.deployment.controlPlatform(R"({"set": {"blackhole": false}})");
    CHECK(running.waitUntil([&] { return running.plan(0, readAge(2000))["httpStatus"] == 200; }));
}

// Guards against a fleet that claims to be ready without a configuration.
TEST_CASE("StoreOutage, is not ready until the store answers when every daemon restarts during the outage")
{
    RunningDeployment running(impatientShape());
    REQUIRE(running.problem.empty());
    const auto written = running.write(0, "put mango 12", "w1");
    REQUIRE(running.deployment.controlPlatform(down).empty());
    for (std::size_t i = 0; i < 2; ++i)
        running.deployment.killDaemon(i);
    for (std::size_t i = 0; i < 2; ++i)
        running.deployment.restartDaemon(i);
    const auto refused = running.post(
        "/v1/databases/shop-1/statements", running.deployment.caller().key, "", R"({"statement": "get mango"})");
    CHECK(refused.status == 503);
    CHECK(refused.code == "store_unavailable");
    CHECK_FALSE(running.deployment.daemon(0).ready());
    nlohmann::json status;
    running.waitUntil([&] {
        status = running.operate(0, "/admin/v1/status");
        return status["httpStatus"] == 200;
    });
    CHECK(status["ready"] == false);
    REQUIRE(running.deployment.controlPlatform(up).empty());
    for (std::size_t i = 0; i < 2; ++i)
        CHECK(running.waitUntil([&] { return running.deployment.daemon(i).ready(); }));
    CallerAnswer read;
    running.waitUntil([&] {
        read = running.read(1, "get mango", written.session);
        return read.state == OutcomeState::Completed;
    });
    CHECK(read.rows == R"(["12"])");
}
