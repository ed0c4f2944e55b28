#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");
const EndpointId e2("e2");

// Time in which every daemon has a lease and the first primary is known.
constexpr Duration warmUp = std::chrono::seconds(5);

// Plays random faults and then a quiet time, and checks the safety rules and that all daemons serve again.
void playRandomFaults(std::uint64_t seed, std::size_t daemonCount, std::size_t groupCount)
{
    FleetSimulation simulation(daemonCount, seed, groupCount);
    std::mt19937_64 random(seed * 7919);
    const auto groups = simulation.groups();
    simulation.runFor(warmUp);
    simulation.answerLossProbability = 0.1;
    simulation.lateEffectProbability = 0.05;
    for (int round = 0; round < 30; ++round) {
        const auto daemon = random() % simulation.daemons.size();
        auto& target = *simulation.daemons[daemon];
        const auto& group = groups.size() == 1 ? groups.front() : groups[random() % groups.size()];
        auto& endpoints = simulation.groupEndpoints.at(group);
        const auto leader = simulation.leader(group);
        switch (random() % 11) {
        case 0:
            simulation.kill(daemon);
            break;
        case 1:
            if (!target.running)
                simulation.startDaemon(daemon);
            break;
        case 2:
            target.frozen = target.running;
            break;
        case 3:
            simulation.unfreeze(daemon);
            break;
        case 4:
            target.storeUnreachable = !target.storeUnreachable;
            break;
        case 5:
            target.peersUnreachable = !target.peersUnreachable;
            break;
        case 6:
            if (!leader.empty())
                endpoints[leader].draining = true;
            break;
        case 7:
            simulation.storeDown = !simulation.storeDown;
            break;
        case 8:
            if (!leader.empty())
                endpoints[leader].up = false;
            break;
        case 9:
            for (auto& [id, endpoint] : endpoints)
                endpoint.up = true;
            break;
        default:
            for (auto& [id, endpoint] : endpoints)
                endpoint.draining = false;
            break;
        }
        simulation.runFor(std::chrono::milliseconds(200 + random() % 3000));
    }
    simulation.heal();
    simulation.runFor(40s);
    INFO("seed " << seed << ", daemons " << daemonCount);
    INFO(simulation.describeViolations());
    CHECK(simulation.violations.empty());
    for (const auto& group : groups) {
        CAPTURE(group.value);
        CHECK(simulation.daemonsUsingLeader(group) == daemonCount);
    }
}

} // namespace

TEST_CASE("FleetController, lets all daemons use the registered primary after the start")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.promotions == 0);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, replaces a crashed primary within three seconds")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.endpoints[e1].up = false;
    // Target of docs/design.md: a failover gap of at most 3 s. The detection by traffic is not simulated.
    simulation.runFor(3s);
    CHECK(simulation.leader() != e1);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, promotes the replica with the highest position when the primary crashes")
{
    // Guards against losing writes that only one replica has received.
    FleetSimulation simulation(3);
    simulation.runFor(warmUp);
    simulation.endpoints[EndpointId("e3")].received = 120;
    simulation.endpoints[e1].up = false;
    simulation.runFor(3s);
    CHECK(simulation.leader() == EndpointId("e3"));
}

TEST_CASE("FleetController, replaces a draining primary that still serves")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.endpoints[e1].draining = true;
    simulation.runFor(4s);
    CHECK(simulation.leader() != e1);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, waits for the replica to catch up when a primary drains")
{
    // Guards against losing acknowledged writes in a planned replacement.
    FleetSimulation simulation(2);
    simulation.runFor(warmUp);
    simulation.endpoints[e1].received = 200;
    simulation.endpoints[e1].draining = true;
    simulation.runFor(1s);
    CHECK(simulation.leader() == e1);
    simulation.endpoints[e2].received = 200;
    simulation.runFor(3s);
    CHECK(simulation.leader() == e2);
}

TEST_CASE("FleetController, takes a renewed lease as the confirmation of a daemon that other daemons cannot reach")
{
    // Guards against waiting for a lease to expire although the daemon has stopped using the primary.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.daemons[3]->peersUnreachable = true;
    simulation.endpoints[e1].draining = true;
    simulation.runFor(6s);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.violations.empty());
}

// Guards against a replacement that waits for the lease of a process that was killed and runs again.
TEST_CASE("FleetController, does not wait for the lease of a daemon whose process has ended and was started again")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.kill(2);
    simulation.endpoints[e1].up = false;
    simulation.runFor(1s);
    simulation.startDaemon(2);
    simulation.runFor(2s);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.daemonsUsingLeader() == 4);
}

// Guards against a replacement that waits for the whole validity of a daemon that does not run any more.
TEST_CASE("FleetController, waits for the lease without witnesses of a daemon whose process stays down")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.kill(2);
    simulation.endpoints[e1].up = false;
    simulation.runFor(PrimaryLease::unwitnessedValidity + 2s);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.daemonsUsingLeader() == 3);
}

// Guards against a replacement that waits for the lease of a daemon that has given it up.
TEST_CASE("FleetController, does not wait for a daemon that stops while a primary is replaced")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    // The answer of the stopping daemon to the claim is lost, and its process ends.
    simulation.endpoints[e1].draining = true;
    REQUIRE(simulation.runUntil([&] { return simulation.calls["suspend"] != 0; }));
    simulation.daemons[2]->peersUnreachable = true;
    simulation.daemons[2]->controller->stop([] {});
    simulation.runFor(20ms);
    simulation.kill(2);
    simulation.runFor(2s);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.daemonsUsingLeader() == 3);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, keeps using the primary until its lease expires when the store is down")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.storeDown = true;
    simulation.runFor(9s);
    CHECK(simulation.daemonsUsingLeader() == 4);
    simulation.runFor(PrimaryLease::validity);
    CHECK(simulation.daemonsUsingLeader() == 0);
    simulation.storeDown = false;
    simulation.runFor(3s);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, does not replace the primary when one daemon cannot reach the others")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.daemons[0]->peersUnreachable = true;
    simulation.runFor(10s);
    CHECK(simulation.promotions == 0);
}

TEST_CASE("FleetController, completes a replacement safely when the promoting daemon crashes at any step")
{
    // Each outgoing call of the promoting daemon is a crash point.
    constexpr int stepsToTry = 40;
    for (int crashAt = 0; crashAt < stepsToTry; ++crashAt) {
        FleetSimulation simulation(4);
        simulation.runFor(warmUp);
        int calls = 0;
        bool crashed = false;
        std::size_t promoter = 0;
        simulation.onCall = [&](std::size_t daemon, const std::string&) {
            if (daemon == 0 && calls++ == crashAt && !crashed) {
                crashed = true;
                promoter = daemon;
            }
        };
        simulation.endpoints[e1].draining = true;
        for (int i = 0; i < 400 && !crashed; ++i)
            simulation.runFor(1ms);
        if (crashed)
            simulation.kill(promoter);
        simulation.runFor(1s);
        if (crashed)
            simulation.startDaemon(promoter);
        simulation.runFor(25s);
        INFO("crash at call " << crashAt);
        INFO(simulation.describeViolations());
        CHECK(simulation.violations.empty());
        CHECK(simulation.leader() != e1);
        CHECK(simulation.daemonsUsingLeader() == 4);
    }
}

TEST_CASE("FleetController, completes a replacement safely when the promoting daemon is frozen at any step")
{
    // Guards against an order that a frozen daemon sends after another one has acquired the promotion lock.
    constexpr int stepsToTry = 40;
    for (int freezeAt = 0; freezeAt < stepsToTry; ++freezeAt) {
        FleetSimulation simulation(4);
        simulation.runFor(warmUp);
        int calls = 0;
        bool freeze = false;
        simulation.onCall
            = [&](std::size_t daemon, const std::string&) { freeze = freeze || (daemon == 0 && calls++ == freezeAt); };
        simulation.endpoints[e1].draining = true;
        for (int i = 0; i < 400 && !freeze; ++i)
            simulation.runFor(1ms);
        simulation.daemons[0]->frozen = freeze;
        simulation.runFor(20s);
        simulation.unfreeze(0);
        simulation.runFor(20s);
        INFO("frozen at call " << freezeAt);
        INFO(simulation.describeViolations());
        CHECK(simulation.violations.empty());
        CHECK(simulation.leader() != e1);
        CHECK(simulation.daemonsUsingLeader() == 4);
    }
}

TEST_CASE("FleetController, keeps its safety rules under random faults")
{
    // Daemons crash, freeze, restart and are cut off from the network; answers are lost and calls take effect late;
    // primaries crash and drain. Seed 50 found a renewal that took effect after a later one, so that the promoting
    // daemon assumed too early an end of a lease.
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        playRandomFaults(seed, 4, 1);
}

// Guards against rules that hold for one group only, such as what a daemon knows of claims of several groups.
TEST_CASE("FleetController, keeps its safety rules under random faults when the daemons share several groups")
{
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        playRandomFaults(seed, 3 + seed % 3, 3);
}

// Guards against a second replacement, which rolls back acknowledged writes. It happened when a daemon that found the
// first replacement unfinished acquired the promotion lock just after that replacement had finished, and then replaced
// the new primary (inc-63b0).
TEST_CASE("FleetController, does not replace a new primary that was promoted while it acquired the promotion lock")
{
    constexpr int cases = 40;
    for (int i = 0; i < cases; ++i) {
        FleetSimulation simulation(4);
        simulation.runFor(warmUp);
        simulation.storeLatency = 150ms;
        // In each case the replacement finishes at a different moment of the other daemons' attempts.
        simulation.promoteDelay = 2600ms + i * 20ms;
        simulation.endpoints[e1].draining = true;
        // One daemon misses the announcement and learns of the new primary from the store a moment later.
        simulation.onCall = [&simulation](std::size_t, const std::string& call) {
            simulation.daemons[3]->peersUnreachable = simulation.daemons[3]->peersUnreachable || call == "announce";
        };
        simulation.runFor(15s);
        CAPTURE(i);
        CHECK(simulation.leader() != e1);
        CHECK(simulation.promotions == 1);
    }
}

// Guards against 2.5 s without writes after a crashed primary has restarted under a new name, with its log and still as
// the leader.
TEST_CASE("FleetController, uses an endpoint that already leads without delay when all endpoints have answered")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    const EndpointId successor("e4");
    simulation.endpoints[successor] = simulation.endpoints[e1];
    simulation.endpoints.erase(e1);
    simulation.runFor(1500ms);
    CHECK(simulation.daemonsUsingLeader() == 4);
    CHECK(simulation.violations.empty());
}
