// What proves that a daemon may use primaries, and what proves that it does not any more.
#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");

// Time in which every daemon has a lease and the first primary is known.
constexpr Duration warmUp = std::chrono::seconds(5);

} // namespace

// Guards against a daemon that was cut off while one primary was replaced, hears only of the replacement of another one
// as the cut ends, and uses the first primary again because others witness its lease (review/1).
TEST_CASE("FleetController, gets no lease from witnesses when it knows a later claim but not an earlier one")
{
    const auto daemonCount = GENERATE(as<std::size_t> {}, 3, 4, 7, 12);
    const auto healedAfterClaim = GENERATE(0ms, 5ms, 300ms, 1200ms);
    FleetSimulation simulation(daemonCount, 1, 2);
    const auto groups = simulation.groups();
    simulation.runFor(warmUp);
    auto& cutOff = *simulation.daemons.back();
    cutOff.peersUnreachable = cutOff.storeUnreachable = true;
    simulation.groupEndpoints[groups[0]][e1].draining = true;
    REQUIRE(simulation.runUntil([&] { return simulation.leader(groups[0]) != e1; }));
    simulation.runFor(200ms);
    const auto claims = simulation.calls["suspend"];
    simulation.groupEndpoints[groups[1]][e1].draining = true;
    REQUIRE(simulation.runUntil([&] { return simulation.calls["suspend"] != claims; }));
    simulation.runFor(healedAfterClaim);
    cutOff.peersUnreachable = false;
    simulation.runFor(4s);
    INFO(simulation.describeViolations());
    CHECK(simulation.violations.empty());
    cutOff.storeUnreachable = false;
    simulation.runFor(4s);
    for (const auto& group : groups)
        CHECK(simulation.daemonsUsingLeader(group) == daemonCount);
}

// Guards against a lease that outlives the replacement of a primary at which this daemon still has statements: their
// answers would be acknowledged although the new primary already leads.
TEST_CASE("FleetController, gets no lease from witnesses while it has statements at a primary that is being replaced")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.drainDelay = 20s;
    simulation.endpoints[e1].draining = true;
    REQUIRE(simulation.runUntil([&] { return simulation.calls["suspend"] != 0; }));
    simulation.runFor(10ms);
    simulation.storeDown = true;
    simulation.runFor(PrimaryLease::unwitnessedValidity);
    for (const auto& daemon : simulation.daemons)
        CHECK_FALSE(daemon->controller->leaseValid(simulation.now()));
}

// Guards against daemons that lose their leases in an outage of the store that follows a replacement: nobody can be a
// witness for a daemon that knows less than the newest claim.
TEST_CASE("FleetController, keeps its lease through a store outage that begins right after a replacement")
{
    const auto lostAnnouncement = GENERATE(false, true);
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.endpoints[e1].draining = true;
    bool announced = false;
    simulation.onCall = [&](std::size_t, const std::string& call) {
        announced = announced || call == "announce";
        simulation.daemons[3]->peersUnreachable = announced && lostAnnouncement;
    };
    REQUIRE(simulation.runUntil([&] { return announced; }));
    simulation.runFor(10ms);
    simulation.onCall = nullptr;
    simulation.daemons[3]->peersUnreachable = false;
    simulation.storeDown = true;
    simulation.runFor(9s);
    for (const auto& daemon : simulation.daemons)
        CHECK(daemon->controller->leaseValid(simulation.now()));
}

// Guards against a call of a stopped daemon that is done late and removes the lease row of the restarted one, so that a
// replacement does not wait for it (review/3).
TEST_CASE("FleetController, keeps its lease row when the removal of its earlier incarnation takes effect late")
{
    const auto daemonCount = GENERATE(as<std::size_t> {}, 2, 4, 7);
    const auto removalLateBy = GENERATE(as<Duration> {}, 60ms, 400ms, 1600ms, 6s);
    const auto downFor = GENERATE(as<Duration> {}, 0ms, 50ms, 300ms);
    CAPTURE(daemonCount, toMilliseconds(removalLateBy), toMilliseconds(downFor));
    FleetSimulation simulation(daemonCount);
    simulation.runFor(warmUp);
    const auto last = daemonCount - 1;
    const auto stoppedAt = simulation.now();
    simulation.lateBy = [&](std::size_t, const StoreChange& change) {
        return change.removals.empty() ? std::nullopt : std::optional(removalLateBy);
    };
    simulation.daemons[last]->controller->stop([] {});
    simulation.kill(last);
    simulation.runFor(downFor);
    simulation.startDaemon(last);
    // Without an own row, and later than the late removal, the restarted daemon is not known to others.
    simulation.runFor(std::max<Duration>(500ms, stoppedAt + removalLateBy - simulation.now()) + 5ms);
    CHECK(simulation.hasRow(leaseTable, "d" + std::to_string(last)));
    simulation.endpoints[e1].draining = true;
    simulation.runFor(4s);
    INFO(simulation.describeViolations());
    CHECK(simulation.violations.empty());
    CHECK(simulation.daemonsUsingLeader() == daemonCount);
}

// Guards against a lease row that stays behind, and delays replacements, because a renewal was on its way at the stop.
TEST_CASE("FleetController, removes its lease row when a renewal takes effect during the stop")
{
    FleetSimulation simulation(1);
    simulation.runFor(warmUp);
    simulation.storeLatency = 100ms;
    const auto changes = simulation.calls["change"];
    REQUIRE(simulation.runUntil([&] { return simulation.calls["change"] != changes; }));
    bool stopped = false;
    simulation.daemons[0]->controller->stop([&stopped] { stopped = true; });
    simulation.runFor(400ms);
    CHECK(stopped);
    CHECK_FALSE(simulation.hasRow(leaseTable, "d0"));
}

// Guards against a cut that refuses connections and is taken for a daemon that has ended (review/2).
TEST_CASE("FleetController, waits for the lease of a running daemon whose connections are refused")
{
    const auto daemonCount = GENERATE(as<std::size_t> {}, 2, 4, 7);
    const auto cutOffCount = GENERATE(as<std::size_t> {}, 1, 2);
    CAPTURE(daemonCount, cutOffCount);
    FleetSimulation simulation(daemonCount);
    simulation.runFor(warmUp);
    for (std::size_t i = 1; i <= std::min(cutOffCount, daemonCount - 1); ++i) {
        auto& cutOff = *simulation.daemons[daemonCount - i];
        cutOff.peersUnreachable = cutOff.storeUnreachable = cutOff.cutRefuses = true;
    }
    simulation.endpoints[e1].draining = true;
    simulation.runFor(PrimaryLease::validity + 3s);
    INFO(simulation.describeViolations());
    CHECK(simulation.violations.empty());
    CHECK(simulation.promotions == 1);
}
