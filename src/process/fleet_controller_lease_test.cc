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

// Guards against a renewal that is answered after the daemon has given its lease back, and makes it valid again.
TEST_CASE("FleetController, does not take its lease up again when a renewal is answered during the stop")
{
    FleetSimulation world(1);
    world.runFor(warmUp);
    world.storeLatency = 200ms;
    bool renewing = false;
    world.onCall = [&renewing](std::size_t, const std::string& call) { renewing = renewing || call == "change"; };
    while (!renewing)
        world.runFor(10ms);
    world.daemons[0]->controller->stop([] {});
    world.runFor(300ms);
    CHECK_FALSE(world.uses(0, e1));
}

// Guards against daemons that give the joint renewal up while a slow store works on it, and then ask one by one: on
// namkhaeng-host-grown trouble-3 all leases came 2.4 s after the start.
TEST_CASE("FleetController, waits for the joint renewal when the store is slow after a loss of all")
{
    constexpr std::size_t daemonCount = 28;
    FleetSimulation world(daemonCount);
    world.runFor(warmUp);
    for (std::size_t i = 0; i < daemonCount; ++i)
        world.kill(i);
    world.runFor(1s);
    world.storeLatency = 450ms;
    const auto before = world.calls["change"];
    for (std::size_t i = 0; i < daemonCount; ++i)
        world.startDaemon(i);
    world.runFor(2s);
    CHECK(world.usersOfLeader() == daemonCount);
    CHECK(world.calls["change"] - before <= daemonCount / 3);
}
