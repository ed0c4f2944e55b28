#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

nlohmann::json leave(const std::string& endpoint)
{
    return { { "intent", "leaveEndpoint" }, { "database", "shop-1" }, { "endpoint", endpoint } };
}

// Statements that an endpoint has run.
std::uint64_t workOf(RunningDeployment& running, std::size_t index)
{
    const auto state = running.endpoint(index);
    return state["reads"].get<std::uint64_t>() + state["writes"].get<std::uint64_t>();
}

// Sends reads and writes through both daemons.
void sendWork(RunningDeployment& running, int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        const auto daemon = static_cast<std::size_t>(i % 2);
        running.read(daemon, "get mango");
        running.settledWrite(daemon, "add n 1", "work-" + std::to_string(++running.reads));
    }
}

} // namespace

// Guards against work for an endpoint that operators take out of the group.
TEST_CASE("GroupChange, gives a replica no statements when it is leaving")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    sendWork(running, 50);
    const auto applied = running.apply(leave("shop-1-b"));
    CAPTURE(applied.dump());
    REQUIRE(applied["status"] == "accepted");
    // Statements that were under way are over when the endpoint's counter no longer changes.
    running.waitUntil([&] { return running.endpoint(1)["busySlots"] == 0; });
    const auto before = workOf(running, 1);
    sendWork(running, 100);
    CHECK(workOf(running, 1) == before);
    CHECK(running.read(0, "get n").state == OutcomeState::Completed);
}

// Guards against a primary that goes on with work although it is leaving, and writes lost at its replacement.
TEST_CASE("GroupChange, replaces the primary by a planned switchover when it is leaving")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    REQUIRE(running.primary() == 0);
    int accepted = 0;
    const auto write = [&] {
        const auto id = "w" + std::to_string(++running.reads);
        accepted += running.settledWrite(static_cast<std::size_t>(running.reads % 2), "add n 1", id).state
                == OutcomeState::Completed
            ? 1
            : 0;
    };
    for (int i = 0; i < 20; ++i)
        write();
    REQUIRE(running.apply(leave("shop-1-a"))["status"] == "accepted");
    CHECK(running.waitUntil([&] {
        write();
        return running.primary() > 0;
    }));
    running.waitUntil([&] { return running.endpoint(0)["busySlots"] == 0; });
    const auto before = workOf(running, 0);
    for (int i = 0; i < 50; ++i)
        write();
    sendWork(running, 0);
    CHECK(workOf(running, 0) == before);
    CallerAnswer read;
    running.waitUntil([&] {
        read = running.read(0, "get n");
        return read.state == OutcomeState::Completed;
    });
    CHECK(read.rows == "[\"" + std::to_string(accepted) + "\"]");
    bool recorded = false;
    for (std::size_t daemon = 0; daemon < 2; ++daemon)
        recorded = recorded || !running.operate(daemon, "/admin/v1/explain?kind=switchover")["entries"].empty();
    CHECK(recorded);
}

// Guards against an endpoint that gets reads before it is filled, or none after it became active.
TEST_CASE("GroupChange, gives an endpoint work when it is active and none while it is joining")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto address = running.deployment.endpointAddress(running.database(), 2);
    const auto endpoint = [&](const char* state) {
        return nlohmann::json { { "intent", "joinEndpoint" }, { "database", "shop-1" },
            { "endpoint",
                { { "id", "shop-1-c" }, { "address", address }, { "dataCentre", "local-c" }, { "state", state } } } };
    };
    REQUIRE(running.apply(leave("shop-1-c"))["status"] == "accepted");
    const auto removed
        = running.apply({ { "intent", "removeEndpoint" }, { "database", "shop-1" }, { "endpoint", "shop-1-c" } });
    CAPTURE(removed.dump());
    REQUIRE(removed["status"] == "accepted");
    const auto joining = running.apply(endpoint("joining"));
    CAPTURE(joining.dump());
    REQUIRE(joining["status"] == "accepted");
    running.waitUntil([&] { return running.endpoint(2)["busySlots"] == 0; });
    const auto before = workOf(running, 2);
    sendWork(running, 50);
    CHECK(workOf(running, 2) == before);
    const auto active = running.apply(endpoint("active"));
    CAPTURE(active.dump());
    REQUIRE(active["status"] == "accepted");
    CHECK(running.waitUntil([&] {
        sendWork(running, 5);
        return workOf(running, 2) > before;
    }));
}
