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

TEST_CASE("FleetController, waits for the lease of a daemon that does not answer")
{
    // Guards against a cut-off daemon that still serves reads and writes at the old primary.
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.daemons[3]->cutFromStore = true;
    world.daemons[3]->cutFromPeers = true;
    world.endpoints[e1].draining = true;
    int orders = 0;
    world.onCall = [&](std::size_t, const std::string& call) {
        if (call != "promote")
            return;
        ++orders;
        CHECK_FALSE(world.daemons[3]->controller->leaseValid(world.now()));
    };
    world.runFor(PrimaryLease::unwitnessedValidity + 2s);
    CHECK(orders > 0);
    CHECK(world.promotions == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, waits for whole leases when the silent daemons could be each other's witnesses")
{
    // Guards against daemons that are cut off together, witness each other's leases, and still use the old primary.
    FleetSimulation world(4);
    world.runFor(warmUp);
    for (std::size_t i = 1; i < 4; ++i)
        world.daemons[i]->cutFromPeers = world.daemons[i]->cutFromStore = true;
    world.endpoints[e1].draining = true;
    world.runFor(PrimaryLease::unwitnessedValidity + 3s);
    CHECK(world.promotions == 0);
    world.runFor(PrimaryLease::validity);
    CHECK(world.promotions == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("FleetController, keeps its lease alone through an outage of the store when it is the only daemon")
{
    FleetSimulation world(1);
    world.runFor(warmUp);
    world.storeDown = true;
    world.runFor(9s);
    CHECK(world.usersOfLeader() == 1);
}

TEST_CASE("FleetController, gives its lease up early when nobody witnesses it")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.daemons[3]->cutFromStore = true;
    world.daemons[3]->cutFromPeers = true;
    world.runFor(PrimaryLease::unwitnessedValidity);
    CHECK_FALSE(world.daemons[3]->controller->leaseValid(world.now()));
    CHECK(world.usersOfLeader() == 3);
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

TEST_CASE("FleetController, knows the other daemons shortly after all have started together")
{
    // Guards against daemons that hold connections for a whole fleet because each takes itself for the only one.
    FleetSimulation world(8);
    CHECK_FALSE(world.daemons[7]->controller->peersSettled());
    world.runFor(2s);
    for (const auto& daemon : world.daemons) {
        CHECK(daemon->controller->peersSettled());
        CHECK(daemon->controller->liveDaemons() == 8);
    }
}

TEST_CASE("FleetController, lists the daemons again soon when the store refused it at the start")
{
    // Guards against restarted daemons that take themselves for owners for a second and a half (inc-bbd5).
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.storeBusy = true;
    world.kill(3);
    world.startDaemon(3);
    world.runFor(500ms);
    CHECK_FALSE(world.daemons[3]->controller->peersKnown());
    world.storeBusy = false;
    world.runFor(500ms);
    CHECK(world.daemons[3]->controller->peersKnown());
}

TEST_CASE("FleetController, serves again soon after a restart")
{
    // Guards against a first renewal that must fail because the version of the daemon's row is not known, and against
    // one that waits for another daemon which is down.
    FleetSimulation world(4);
    world.runFor(warmUp);
    for (std::size_t i = 0; i < 4; ++i)
        world.kill(i);
    world.daemons[0]->cutFromPeers = true;
    for (std::size_t i = 1; i < 4; ++i)
        world.startDaemon(i);
    int changes = 0;
    world.onCall = [&](std::size_t, const std::string& call) { changes += call == "change" ? 1 : 0; };
    // Reading the tables and renewing take one round trip to the store each.
    world.runFor(3 * world.storeLatency);
    CHECK(world.usersOfLeader() == 3);
    CHECK(changes == 3);
}

TEST_CASE("FleetController, renews the leases of the fleet with few calls to the store")
{
    // Guards against calls in proportion to the number of daemons: 8 daemons that renew one by one make 32 in 10 s.
    FleetSimulation world(8);
    world.runFor(15s);
    int changes = 0;
    world.onCall = [&](std::size_t, const std::string& call) { changes += call == "change" ? 1 : 0; };
    world.runFor(10s);
    CHECK(changes <= 8);
    CHECK(world.usersOfLeader() == 8);
}

TEST_CASE("FleetController, renews its lease itself when the daemon that does it for others is gone")
{
    // Guards against a fleet that loses its leases with one daemon. d0 is the first by name.
    FleetSimulation world(4);
    world.runFor(warmUp);
    SECTION("its process has ended") { world.kill(0); }
    SECTION("it does not answer") { world.daemons[0]->cutFromPeers = true; }
    SECTION("it does not reach the store") { world.daemons[0]->cutFromStore = true; }
    for (int second = 0; second < 30; ++second) {
        world.runFor(1s);
        CAPTURE(second);
        CHECK(world.usersOfLeader() >= 3);
    }
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

// Guards against rows of replaced hosts that every daemon reads with each list for ever.
TEST_CASE("FleetController, removes the lease of a daemon that has been gone for long")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.kill(3);
    world.runFor(60s);
    CHECK(world.hasRow(leaseTable, "d3"));
    world.runFor(660s);
    CHECK_FALSE(world.hasRow(leaseTable, "d3"));
    CHECK(world.usersOfLeader() == 3);
    // It serves again if it comes back after all.
    world.startDaemon(3);
    world.runFor(4s);
    CHECK(world.usersOfLeader() == 4);
}

// Guards against a second list of all leases by every daemon that restarts.
TEST_CASE("FleetController, takes the first list for complete when it restarts beside others")
{
    FleetSimulation world(4);
    world.runFor(warmUp);
    world.kill(2);
    world.startDaemon(2);
    world.runFor(200ms);
    CHECK(world.daemons[2]->controller->peersSettled());
    CHECK(world.daemons[2]->controller->liveDaemons() == 4);
}

TEST_CASE("FleetController, lists the daemons twice when leases have ended while all were down")
{
    // Guards against a daemon that starts first after a long loss of all and takes itself for the only one.
    FleetSimulation world(4);
    world.runFor(warmUp);
    for (std::size_t i = 0; i < 4; ++i)
        world.kill(i);
    world.runFor(20s);
    for (std::size_t i = 0; i < 4; ++i)
        world.startDaemon(i);
    world.runFor(100ms);
    CHECK_FALSE(world.daemons[0]->controller->peersSettled());
    world.runFor(2s);
    for (const auto& daemon : world.daemons)
        CHECK(daemon->controller->liveDaemons() == 4);
}

// Guards against a large fleet whose daemons get their leases one after the other when all have lost power: the store
// makes 200 changes a second in one part, so that the last of 78 daemons waited for 400 ms.
TEST_CASE("FleetController, gives many daemons their leases with few changes after a loss of all")
{
    constexpr std::size_t daemonCount = 78;
    FleetSimulation world(daemonCount);
    world.runFor(warmUp);
    for (std::size_t i = 0; i < daemonCount; ++i)
        world.kill(i);
    world.runFor(2s);
    const auto before = world.calls["change"];
    for (std::size_t i = 0; i < daemonCount; ++i)
        world.startDaemon(i);
    world.runFor(300ms);
    CHECK(world.usersOfLeader() == daemonCount);
    CHECK(world.calls["change"] - before <= daemonCount / 10);
}

// Guards against daemons that wait for a delegate whose host stays down.
TEST_CASE("FleetController, serves soon after a loss of all although the daemon that renews for others is gone")
{
    constexpr std::size_t daemonCount = 30;
    FleetSimulation world(daemonCount);
    world.runFor(warmUp);
    for (std::size_t i = 0; i < daemonCount; ++i)
        world.kill(i);
    world.runFor(2s);
    world.daemons[0]->cutFromPeers = true;
    for (std::size_t i = 1; i < daemonCount; ++i)
        world.startDaemon(i);
    world.runFor(600ms);
    CHECK(world.usersOfLeader() == daemonCount - 1);
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

// Guards against a stopping daemon that acknowledges a write after its lease row is gone, when a replacement no longer
// waits for it, or that witnesses another daemon's lease then.
TEST_CASE("FleetController, uses no primary once it gives its lease back")
{
    FleetSimulation world(3);
    world.runFor(warmUp);
    REQUIRE(world.uses(2, e1));
    world.daemons[2]->controller->stop([] {});
    CHECK_FALSE(world.uses(2, e1));
    CHECK_FALSE(world.daemons[2]->controller->witnessClaims());
}
