#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");
const EndpointId e2("e2");

// Time in which every daemon has a lease and the first primary is known.
constexpr Duration warmUp = std::chrono::seconds(5);

} // namespace

TEST_CASE("FleetController, lets all daemons use the registered primary after the start")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    CHECK(world.usersOfLeader() == 4);
    CHECK(world.promotions == 0);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, replaces a crashed primary within the target")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.endpoints[e1].up = false;
    // Target of docs/design.md: worst failover gap 3 s; detection by traffic is not part of this world.
    world.runFor(3s);
    CHECK(world.leader() != e1);
    CHECK(world.promotions == 1);
    CHECK(world.usersOfLeader() == 4);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, promotes the replica that has received most")
{
    // Guards against the loss of writes that one replica still has.
    FleetSimulation world(3);
    world.runFor(warmUp);
    world.endpoints[EndpointId("e3")].received = 120;
    world.endpoints[e1].up = false;
    world.runFor(3s);
    CHECK(world.leader() == EndpointId("e3"));
}

TEST_CASE("FleetController, replaces a draining primary while it still serves")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.endpoints[e1].draining = true;
    world.runFor(4s);
    CHECK(world.leader() != e1);
    CHECK(world.usersOfLeader() == 4);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, waits for the replica to catch up when a primary drains")
{
    // Guards against dropping acknowledged writes in a planned replacement.
    FleetSimulation world(2);
    world.runFor(warmUp);
    world.endpoints[e1].received = 200;
    world.endpoints[e1].draining = true;
    world.runFor(1s);
    CHECK(world.leader() == e1);
    world.endpoints[e2].received = 200;
    world.runFor(3s);
    CHECK(world.leader() == e2);
}

TEST_CASE("FleetController, accepts the stop of a daemon that only the store reaches")
{
    // Guards against waiting out a whole lease although the daemon has stopped.
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.daemons[3]->cutFromPeers = true;
    world.endpoints[e1].draining = true;
    world.runFor(6s);
    CHECK(world.promotions == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, does not wait for a daemon whose process has ended")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.kill(2);
    world.endpoints[e1].up = false;
    world.runFor(3s);
    CHECK(world.promotions == 1);
    CHECK(world.usersOfLeader() == 3);
}

TEST_CASE("FleetController, keeps the primary in use through an outage of the store")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.storeDown = true;
    world.runFor(9s);
    CHECK(world.usersOfLeader() == 4);
    world.runFor(PrimaryLease::validity);
    CHECK(world.usersOfLeader() == 0);
    world.storeDown = false;
    world.runFor(3s);
    CHECK(world.usersOfLeader() == 4);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, does not replace a primary that only one cut-off daemon misses")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.daemons[0]->cutFromPeers = true;
    world.runFor(10s);
    CHECK(world.promotions == 0);
}

TEST_CASE("FleetController, is safe and finishes when the promoter dies at any step")
{
    // Each call of the promoting daemon to the outside is a crash point.
    constexpr int stepsToTry = 40;
    for (int crashAt = 0; crashAt < stepsToTry; ++crashAt) {
        FleetSimulation world(4);
        world.runFor(warmUp);
        int calls = 0;
        bool crashed = false;
        std::size_t promoter = 0;
        world.onCall = [&](std::size_t daemon, const std::string&) {
            if (daemon == 0 && calls++ == crashAt && !crashed) {
                crashed = true;
                promoter = daemon;
            }
        };
        world.endpoints[e1].draining = true;
        for (int i = 0; i < 400 && !crashed; ++i)
            world.runFor(1ms);
        if (crashed)
            world.kill(promoter);
        world.runFor(1s);
        if (crashed)
            world.startDaemon(promoter);
        world.runFor(25s);
        INFO("crash at call " << crashAt);
        INFO(world.describeViolations());
        CHECK(world.violations.empty());
        CHECK(world.leader() != e1);
        CHECK(world.usersOfLeader() == 4);
    }
}

TEST_CASE("FleetController, is safe when the promoter is suspended at any step")
{
    // Guards against an order that a frozen daemon sends after another one has taken the duty over.
    constexpr int stepsToTry = 40;
    for (int freezeAt = 0; freezeAt < stepsToTry; ++freezeAt) {
        FleetSimulation world(4);
        world.runFor(warmUp);
        int calls = 0;
        bool freeze = false;
        world.onCall
            = [&](std::size_t daemon, const std::string&) { freeze = freeze || (daemon == 0 && calls++ == freezeAt); };
        world.endpoints[e1].draining = true;
        for (int i = 0; i < 400 && !freeze; ++i)
            world.runFor(1ms);
        world.daemons[0]->frozen = freeze;
        world.runFor(20s);
        world.thaw(0);
        world.runFor(20s);
        INFO("suspended at call " << freezeAt);
        INFO(world.describeViolations());
        CHECK(world.violations.empty());
        CHECK(world.leader() != e1);
        CHECK(world.usersOfLeader() == 4);
    }
}

TEST_CASE("FleetController, is safe under random faults")
{
    // Seed 50 found a renewal that took effect after a later one and so showed the promoter too early an end of a
    // lease. Daemons die, freeze, restart and are cut off; answers are lost and effects come late; primaries crash and
    // drain.
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetSimulation world(4, seed);
        std::mt19937_64 random(seed * 7919);
        world.runFor(warmUp);
        world.loseAnswers = 0.1;
        world.delayEffects = 0.05;
        for (int round = 0; round < 30; ++round) {
            const auto daemon = random() % world.daemons.size();
            auto& target = *world.daemons[daemon];
            switch (random() % 11) {
            case 0:
                world.kill(daemon);
                break;
            case 1:
                if (!target.running)
                    world.startDaemon(daemon);
                break;
            case 2:
                target.frozen = target.running;
                break;
            case 3:
                world.thaw(daemon);
                break;
            case 4:
                target.cutFromStore = !target.cutFromStore;
                break;
            case 5:
                target.cutFromPeers = !target.cutFromPeers;
                break;
            case 6:
                if (!world.leader().empty())
                    world.endpoints[world.leader()].draining = true;
                break;
            case 7:
                world.storeDown = !world.storeDown;
                break;
            case 8:
                if (!world.leader().empty())
                    world.endpoints[world.leader()].up = false;
                break;
            case 9:
                for (auto& [id, endpoint] : world.endpoints)
                    endpoint.up = true;
                break;
            default:
                for (auto& [id, endpoint] : world.endpoints)
                    endpoint.draining = false;
                break;
            }
            world.runFor(std::chrono::milliseconds(200 + random() % 3000));
        }
        world.storeDown = false;
        world.loseAnswers = 0;
        world.delayEffects = 0;
        for (auto& [id, endpoint] : world.endpoints) {
            endpoint.draining = false;
            endpoint.up = true;
        }
        for (std::size_t i = 0; i < world.daemons.size(); ++i) {
            world.daemons[i]->cutFromStore = false;
            world.daemons[i]->cutFromPeers = false;
            if (!world.daemons[i]->running)
                world.startDaemon(i);
            world.thaw(i);
        }
        world.runFor(40s);
        INFO("seed " << seed);
        INFO(world.describeViolations());
        CHECK(world.violations.empty());
        CHECK(world.usersOfLeader() == 4);
    }
}

// Guards against a second replacement, which rolls acknowledged writes back: a daemon that found the first one
// unfinished got the duty just after it had ended, and replaced the new primary (qpvsa-gasket-grown inc-63b0).
TEST_CASE("FleetController, does not replace a primary again that was replaced while it asked for the duty")
{
    constexpr int cases = 40;
    for (int i = 0; i < cases; ++i) {
        FleetSimulation world(4);
        world.runFor(warmUp);
        world.storeLatency = 150ms;
        // The replacement ends at a different moment of the others' attempts in each case.
        world.promoteDelay = 2600ms + i * 20ms;
        world.endpoints[e1].draining = true;
        // One daemon misses the announcement and learns the new primary from the store a moment later.
        world.onCall = [&world](std::size_t, const std::string& call) {
            world.daemons[3]->cutFromPeers = world.daemons[3]->cutFromPeers || call == "announce";
        };
        world.runFor(15s);
        CAPTURE(i);
        CHECK(world.leader() != e1);
        CHECK(world.promotions == 1);
    }
}

// Guards against 2.5 s without writes after a crashed primary has come back under a new name with its log and its lead.
TEST_CASE("FleetController, uses an endpoint at once that leads already when all endpoints have answered")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    const EndpointId successor("e4");
    world.endpoints[successor] = world.endpoints[e1];
    world.endpoints.erase(e1);
    world.runFor(1500ms);
    CHECK(world.usersOfLeader() == 4);
    CHECK(world.violations.empty());
}
