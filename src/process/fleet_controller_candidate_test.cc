// What a replacement is decided from: lists of endpoints, claims and logs that may be old.
#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");
const EndpointId e2("e2");

// Time in which every daemon has a lease and the first primary is known.
constexpr Duration warmUp = std::chrono::seconds(5);

// Two primaries crash in turn; then only the first one is back, which lacks the term of the second one.
void crashTwoPrimaries(FleetSimulation& simulation)
{
    const EndpointId e3("e3");
    simulation.runFor(warmUp);
    simulation.endpoints[e3].up = false;
    simulation.endpoints[e1].up = false;
    simulation.runFor(3s);
    REQUIRE(simulation.leader() == e2);
    simulation.endpoints[e2].up = false;
    simulation.endpoints[e1].up = true;
    simulation.endpoints[e1].primary = false;
}

} // namespace

TEST_CASE("FleetController, does not replace a primary that only its own old list of endpoints lacks")
{
    // Guards against daemons with lists of different age that replace a primary in turn.
    for (const std::size_t daemonCount : { 2, 4, 7 }) {
        for (const auto before : { 0s, 3s, 20s }) {
            FleetSimulation simulation(daemonCount);
            simulation.endpoints[e2].listed = false;
            simulation.endpoints[EndpointId("e3")].listed = false;
            simulation.runFor(warmUp);
            simulation.loseRegistryWatch(0);
            simulation.endpoints[e2].listed = true;
            simulation.runFor(before);
            simulation.endpoints[e1].draining = true;
            simulation.runFor(20s);
            CAPTURE(daemonCount, before.count());
            INFO(simulation.describeViolations());
            CHECK(simulation.leader() == e2);
            CHECK(simulation.promotions == 1);
            CHECK(simulation.violations.empty());
        }
    }
}

TEST_CASE("FleetController, replaces a primary that leaves although its own list is old")
{
    // Guards against a candidate that has been leaving for a while, chosen from an old list.
    FleetSimulation simulation(3);
    simulation.runFor(warmUp);
    simulation.loseRegistryWatch(0);
    simulation.endpoints[e2].draining = true;
    simulation.runFor(1s);
    simulation.endpoints[e1].up = false;
    simulation.runFor(5s);
    INFO(simulation.describeViolations());
    CHECK(simulation.leader() == EndpointId("e3"));
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, knows the primary that it replaces when it takes over a claim that it was only told of")
{
    // Guards against a daemon that missed a replacement and then continues the next one: it would demote the primary
    // before the last one, and would not wait for what the last one holds.
    FleetSimulation simulation(2);
    simulation.runFor(warmUp);
    // The second daemon keeps its lease through the first one, and misses the announcement of the new primary.
    simulation.daemons[1]->storeUnreachable = true;
    simulation.onCall = [&](std::size_t daemon, const std::string& call) {
        if (daemon == 0 && call == "announce")
            simulation.daemons[1]->peersUnreachable = true;
    };
    simulation.endpoints[e1].draining = true;
    simulation.runFor(2s);
    REQUIRE(simulation.leader() == e2);
    simulation.onCall = nullptr;
    simulation.daemons[1]->peersUnreachable = false;
    simulation.runFor(3s);
    REQUIRE(simulation.daemons[1]->controller->leaseValid(simulation.now()));
    bool chooses = false;
    simulation.onCall
        = [&](std::size_t daemon, const std::string& call) { chooses = chooses || (daemon == 0 && call == "query"); };
    simulation.endpoints[e2].draining = true;
    REQUIRE(simulation.runUntil([&] { return chooses; }));
    simulation.onCall = nullptr;
    simulation.kill(0);
    simulation.daemons[1]->storeUnreachable = false;
    simulation.runFor(30s);
    CHECK(simulation.leader() == EndpointId("e3"));
    CHECK(!simulation.endpoints[e2].primary);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, waits for an endpoint that has followed the last primary")
{
    // Guards against reads that lack acknowledged commits, because a member that came back with an older log leads.
    for (const auto downFor : { 1s, 4s, 7s }) {
        FleetSimulation simulation(4);
        crashTwoPrimaries(simulation);
        simulation.runFor(downFor);
        CAPTURE(downFor.count());
        CHECK(simulation.promotions == 1);
        // Once it is back, it leads again, or another endpoint does that has followed it.
        simulation.endpoints[e2].up = true;
        simulation.runFor(5s);
        CHECK(simulation.daemonsUsingLeader() == 4);
        CHECK(simulation.violations.empty());
    }
}

TEST_CASE("FleetController, promotes an endpoint with an older log when no other one comes back")
{
    // Guards against a group that has no primary for good. Target of the letter: a change of primary within 11 s, here
    // beside the time to detect the crash.
    FleetSimulation simulation(4);
    crashTwoPrimaries(simulation);
    simulation.runFor(13s);
    CHECK(simulation.leader() == e1);
    CHECK(simulation.violations.empty());
}
