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

// Guards against daemons that spend their CPU time on conflicting adoptions while the fleet starts: 300 daemons with 86
// groups were not ready after 600 s of CPU time.
TEST_CASE("FleetController, adopts the primaries of many groups with few store changes")
{
    FleetSimulation simulation(daemonCount, 1, groupCount);
    simulation.runFor(warmUp);
    for (const auto& daemon : simulation.daemons)
        CHECK(daemon->controller->primaries().size() == groupCount);
    CHECK(simulation.daemonsUsingLeader() == daemonCount);
    // Upper bound for the first lease of each daemon, a renewal after each of the three adoptions, the regular renewals
    // and the adoptions themselves.
    CHECK(simulation.calls["change"] < daemonCount * 6);
    // Only the adopting daemon queries the endpoints.
    CHECK(simulation.calls["query"] <= 2 * groupCount);
}

// Guards against daemons that read the whole table for each change of a primary.
TEST_CASE("FleetController, reads only the changed rows when a primary changes")
{
    FleetSimulation simulation(daemonCount, 1, groupCount);
    simulation.runFor(warmUp);
    const auto before = simulation.tables.fleetRowsRead;
    for (auto& [group, endpoints] : simulation.groupEndpoints)
        endpoints[EndpointId("e1")].draining = true;
    simulation.runFor(20s);
    CHECK(simulation.leader() != EndpointId("e1"));
    // Each of the 86 replacements writes two rows twice: the claim and the record, with the epoch.
    CHECK(simulation.tables.fleetRowsRead - before <= daemonCount * groupCount * 4);
    CHECK(simulation.violations.empty());
}

// Guards against a daemon that no longer sees changes of the table once the store has dropped its history.
TEST_CASE("FleetController, reads the whole table when the store has lost its history")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.tables.historyLost = true;
    simulation.endpoints[EndpointId("e1")].draining = true;
    simulation.runFor(8s);
    CHECK(simulation.leader() != EndpointId("e1"));
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}
