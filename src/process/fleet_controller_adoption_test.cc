#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemonCount = 30;
constexpr std::size_t groupCount = 86;
// Time in which every daemon has a lease and all groups have a primary.
constexpr Duration warmUp = std::chrono::seconds(10);

} // namespace

// Guards against a fleet whose daemons spend their processor time on conflicts with each other's adoptions while it
// starts: 300 daemons with 86 groups were not ready before 600 s of processor time.
TEST_CASE("FleetController, adopts the primaries of many groups with a few changes of the store")
{
    FleetSimulation world(daemonCount, 1, groupCount);
    world.runFor(warmUp);
    for (const auto& daemon : world.daemons)
        CHECK(daemon->controller->primaries().size() == groupCount);
    CHECK(world.usersOfLeader() == daemonCount);
    // Every daemon stores its lease when it starts, and renews it after each of the three adoptions, besides the usual
    // renewals of this time and the adoptions themselves.
    CHECK(world.calls["change"] < daemonCount * 6);
    // Only the daemon that adopts asks the endpoints.
    CHECK(world.calls["query"] <= 2 * groupCount);
}

// Guards against a read of the whole table by every daemon for each change of a primary.
TEST_CASE("FleetController, reads only the changed rows when a primary changes")
{
    FleetSimulation world(daemonCount, 1, groupCount);
    world.runFor(warmUp);
    const auto before = world.fleetRowsRead;
    world.endpoints[EndpointId("e1")].draining = true;
    world.runFor(20s);
    CHECK(world.leader() != EndpointId("e1"));
    // Each of the 86 replacements writes two rows twice: the claim and the record, with the epoch.
    CHECK(world.fleetRowsRead - before <= daemonCount * groupCount * 4);
    CHECK(world.violations.empty());
}

// Guards against a daemon that stops following the table once the store has dropped its history.
TEST_CASE("FleetController, reads the whole table when the store has lost its history")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.historyLost = true;
    world.endpoints[EndpointId("e1")].draining = true;
    world.runFor(8s);
    CHECK(world.leader() != EndpointId("e1"));
    CHECK(world.usersOfLeader() == 4);
    CHECK(world.violations.empty());
}
