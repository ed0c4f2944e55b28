// Replacements of primaries whose commits are acknowledged once replicas have received them.
#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");
const EndpointId e2("e2");
const EndpointId e3("e3");

// Time in which every daemon has a lease and the first primary is known.
constexpr Duration warmUp = std::chrono::seconds(5);

// e3 hears nothing while e2 receives what the primary e1 acknowledges.
void commitToOneReplica(FleetSimulation& simulation)
{
    simulation.syncReplicas = 1;
    simulation.runFor(warmUp);
    simulation.endpoints[e3].deaf = true;
    for (int i = 0; i < 40; ++i)
        REQUIRE(simulation.commit());
}

// One fault or one recovery, drawn at random.
void injectFault(FleetSimulation& simulation, std::mt19937_64& random)
{
    const auto pick = [&random](std::uint64_t count) { return random() % count; };
    auto& endpoint = simulation.endpoints.at(EndpointId("e" + std::to_string(1 + pick(3))));
    switch (pick(7)) {
    case 0:
        endpoint.up = !endpoint.up;
        return;
    case 1:
    case 2:
        endpoint.busy = !endpoint.busy;
        return;
    case 3:
        endpoint.deaf = !endpoint.deaf;
        return;
    case 4:
        endpoint.draining = !endpoint.draining;
        return;
    case 5:
        endpoint.listed = !endpoint.listed;
        return;
    default:
        simulation.heal();
        return;
    }
}

} // namespace

// Guards against a promotion of the replica that lacks acknowledged commits while the one that holds them has no free
// slot to say so (review/6).
TEST_CASE("FleetController, asks a busy replica again before it promotes one that may lack acknowledged commits")
{
    for (const auto busyFor : { 5ms, 100ms, 1500ms, 8000ms }) {
        CAPTURE(busyFor.count());
        FleetSimulation simulation(4);
        commitToOneReplica(simulation);
        simulation.endpoints[e2].busy = true;
        simulation.endpoints[e1].up = false;
        simulation.runFor(busyFor);
        simulation.endpoints[e2].busy = false;
        simulation.runFor(6s);
        INFO(simulation.describeViolations());
        CHECK(simulation.leader() == e2);
        CHECK(simulation.daemonsUsingLeader() == 4);
        CHECK(simulation.violations.empty());
    }
}

// Guards against the same loss through a replica that does not answer, or has left the registry for a moment.
TEST_CASE("FleetController, waits for a replica that may hold the only copy of acknowledged commits")
{
    const bool leavesRegistry = GENERATE(false, true);
    FleetSimulation simulation(4);
    commitToOneReplica(simulation);
    simulation.endpoints[e2].up = false;
    simulation.endpoints[e2].listed = !leavesRegistry;
    simulation.endpoints[e1].up = false;
    simulation.runFor(20s);
    CHECK(simulation.promotions == 0);
    simulation.endpoints[e2].up = true;
    simulation.endpoints[e2].listed = true;
    simulation.runFor(6s);
    INFO(simulation.describeViolations());
    CHECK(simulation.leader() == e2);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}

// Guards against a group that stays without a primary although the one that crashed is back with its log.
TEST_CASE("FleetController, uses the crashed primary again when no replica is known to hold its commits")
{
    FleetSimulation simulation(4);
    commitToOneReplica(simulation);
    simulation.endpoints[e2].up = false;
    simulation.endpoints[e1].up = false;
    simulation.runFor(7s);
    simulation.endpoints[e1].up = true;
    simulation.runFor(12s);
    INFO(simulation.describeViolations());
    CHECK(simulation.leader() == e1);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}

// Guards against a planned replacement that goes on without the commits of a primary that is too busy to report them.
TEST_CASE("FleetController, lets the candidate catch up with a leaving primary that is busy when it is asked")
{
    const std::size_t syncReplicas = GENERATE(0, 1);
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.syncReplicas = syncReplicas;
    simulation.endpoints[e1].busy = true;
    simulation.endpoints[e2].deaf = simulation.endpoints[e3].deaf = true;
    simulation.commit();
    const auto committed = simulation.endpoints[e1].received;
    simulation.endpoints[e1].draining = true;
    REQUIRE(simulation.runUntil([&] { return simulation.calls["suspend"] != 0; }));
    simulation.runFor(200ms);
    simulation.endpoints[e1].busy = false;
    simulation.endpoints[e2].deaf = false;
    simulation.replicate();
    simulation.runFor(5s);
    INFO(simulation.describeViolations());
    CHECK(simulation.leader() == e2);
    CHECK(simulation.endpoints[e2].received == committed);
    CHECK(simulation.violations.empty());
}

// Guards against a replica that leaves being passed over although it alone holds acknowledged commits.
TEST_CASE("FleetController, promotes a draining replica that alone holds acknowledged commits")
{
    FleetSimulation simulation(4);
    commitToOneReplica(simulation);
    simulation.endpoints[e2].draining = true;
    simulation.endpoints[e1].up = false;
    simulation.runFor(4s);
    INFO(simulation.describeViolations());
    CHECK(simulation.leader() == e2);
    CHECK(simulation.violations.empty());
    // It hands over as soon as another one has its log.
    simulation.endpoints[e3].deaf = false;
    simulation.replicate();
    simulation.runFor(6s);
    CHECK(simulation.leader() == e3);
    CHECK(simulation.violations.empty());
}

// Guards against a primary that is replaced because it had no free slot for a report.
TEST_CASE("FleetController, does not replace a primary that answers the poll as busy")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.endpoints[e1].busy = true;
    simulation.endpoints[e1].primary = true;
    simulation.runFor(10s);
    CHECK(simulation.promotions == 0);
}

// Guards against any other order of crashes, refusals, deafness and departures that loses an acknowledged commit, and
// against a group that has no primary after all faults have ended.
TEST_CASE("FleetController, loses no commit that a synchronous replica received under random faults")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        FleetSimulation simulation(3, seed);
        simulation.syncReplicas = 1;
        std::mt19937_64 random(seed);
        simulation.runFor(warmUp);
        for (int step = 0; step < 40; ++step) {
            injectFault(simulation, random);
            simulation.replicate();
            for (std::uint64_t commits = random() % 4; commits > 0; --commits)
                simulation.commit();
            simulation.runFor(std::chrono::milliseconds(random() % 3000));
        }
        simulation.heal();
        simulation.replicate();
        simulation.runFor(20s);
        INFO(simulation.describeViolations());
        CHECK(simulation.violations.empty());
        CHECK(simulation.daemonsUsingLeader() == 3);
    }
}
