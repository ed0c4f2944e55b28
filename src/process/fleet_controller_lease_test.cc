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

TEST_CASE("FleetController, waits until the lease of a daemon that does not answer has expired")
{
    // Guards against a daemon that is cut off from the network and still sends reads and writes to the old primary.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.daemons[3]->storeUnreachable = true;
    simulation.daemons[3]->peersUnreachable = true;
    simulation.endpoints[e1].draining = true;
    int orders = 0;
    simulation.onCall = [&](std::size_t, const std::string& call) {
        if (call != "promote")
            return;
        ++orders;
        CHECK_FALSE(simulation.daemons[3]->controller->leaseValid(simulation.now()));
    };
    simulation.runFor(PrimaryLease::unwitnessedValidity + 2s);
    CHECK(orders > 0);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.violations.empty());
}

TEST_CASE(
    "FleetController, waits for the full lease validity when the unresponsive daemons could be each other's witnesses")
{
    // Guards against daemons that are cut off together, act as each other's witnesses, and still use the old primary.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    for (std::size_t i = 1; i < 4; ++i)
        simulation.daemons[i]->peersUnreachable = simulation.daemons[i]->storeUnreachable = true;
    simulation.endpoints[e1].draining = true;
    simulation.runFor(PrimaryLease::unwitnessedValidity + 3s);
    CHECK(simulation.promotions == 0);
    simulation.runFor(PrimaryLease::validity);
    CHECK(simulation.promotions == 1);
    CHECK(simulation.violations.empty());
}

TEST_CASE("FleetController, keeps its lease through a store outage when it is the only daemon")
{
    FleetSimulation simulation(1);
    // A newcomer keeps its lease for a short time only.
    simulation.runFor(PrimaryLease::newcomerTime + warmUp);
    simulation.storeDown = true;
    simulation.runFor(9s);
    CHECK(simulation.daemonsUsingLeader() == 1);
}

TEST_CASE("FleetController, ends its lease early when it has no witnesses")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.daemons[3]->storeUnreachable = true;
    simulation.daemons[3]->peersUnreachable = true;
    simulation.runFor(PrimaryLease::unwitnessedValidity);
    CHECK_FALSE(simulation.daemons[3]->controller->leaseValid(simulation.now()));
    CHECK(simulation.daemonsUsingLeader() == 3);
}

TEST_CASE("FleetController, knows all daemons within two seconds when all start together")
{
    // Guards against daemons that open the connections for the whole fleet because each one assumes that it is alone.
    FleetSimulation simulation(8);
    CHECK_FALSE(simulation.daemons[7]->controller->peerListComplete());
    simulation.runFor(2s);
    for (const auto& daemon : simulation.daemons) {
        CHECK(daemon->controller->peerListComplete());
        CHECK(daemon->controller->liveDaemons() == 8);
    }
}

TEST_CASE("FleetController, soon lists the leases again when the store refused the first listing")
{
    // Guards against restarted daemons that consider themselves owners for 1.5 s (inc-bbd5).
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.storeBusy = true;
    simulation.kill(3);
    simulation.startDaemon(3);
    simulation.runFor(500ms);
    CHECK_FALSE(simulation.daemons[3]->controller->peersKnown());
    simulation.storeBusy = false;
    simulation.runFor(500ms);
    CHECK(simulation.daemons[3]->controller->peersKnown());
}

TEST_CASE("FleetController, gets its lease within three round trips to the store after a restart")
{
    // Guards against a first renewal that fails because the version of the daemon's row is not known yet, and against
    // one that waits for a delegate that is down.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.kill(i);
    simulation.daemons[0]->peersUnreachable = true;
    for (std::size_t i = 1; i < 4; ++i)
        simulation.startDaemon(i);
    int changes = 0;
    simulation.onCall = [&](std::size_t, const std::string& call) { changes += call == "change" ? 1 : 0; };
    // Reading the tables and renewing take one round trip to the store each.
    simulation.runFor(3 * simulation.storeLatency);
    CHECK(simulation.daemonsUsingLeader() == 3);
    CHECK(changes == 3);
}

TEST_CASE("FleetController, renews the leases of a fleet with few calls to the store")
{
    // Guards against a number of calls proportional to the number of daemons: 8 daemons that renew one by one make 32
    // calls in 10 s.
    FleetSimulation simulation(8);
    simulation.runFor(15s);
    int changes = 0;
    simulation.onCall = [&](std::size_t, const std::string& call) { changes += call == "change" ? 1 : 0; };
    simulation.runFor(10s);
    CHECK(changes <= 8);
    CHECK(simulation.daemonsUsingLeader() == 8);
}

TEST_CASE("FleetController, renews its lease directly when the delegate has failed")
{
    // Guards against a fleet that loses its leases when the delegate fails. The delegate is d0, the first daemon by
    // name.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    SECTION("its process has ended") { simulation.kill(0); }
    SECTION("it does not answer") { simulation.daemons[0]->peersUnreachable = true; }
    SECTION("it does not reach the store") { simulation.daemons[0]->storeUnreachable = true; }
    for (int second = 0; second < 30; ++second) {
        simulation.runFor(1s);
        CAPTURE(second);
        CHECK(simulation.daemonsUsingLeader() >= 3);
    }
    CHECK(simulation.violations.empty());
}

// Guards against rows of replaced hosts that are never removed and that every daemon reads with each listing.
TEST_CASE("FleetController, removes the lease row of a daemon that has been gone for more than ten minutes")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.kill(3);
    simulation.runFor(60s);
    CHECK(simulation.hasRow(leaseTable, "d3"));
    simulation.runFor(660s);
    CHECK_FALSE(simulation.hasRow(leaseTable, "d3"));
    CHECK(simulation.daemonsUsingLeader() == 3);
    // The daemon gets a lease again if it returns later.
    simulation.startDaemon(3);
    simulation.runFor(4s);
    CHECK(simulation.daemonsUsingLeader() == 4);
}

// Guards against a second listing of all leases by every daemon that restarts.
TEST_CASE("FleetController, takes the first list of leases for complete when it restarts while others run")
{
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    simulation.kill(2);
    simulation.startDaemon(2);
    simulation.runFor(200ms);
    CHECK(simulation.daemons[2]->controller->peerListComplete());
    CHECK(simulation.daemons[2]->controller->liveDaemons() == 4);
}

TEST_CASE("FleetController, lists the leases twice when all have expired while the fleet was down")
{
    // Guards against a daemon that starts first after a long outage of the whole fleet and assumes that it is alone.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.kill(i);
    simulation.runFor(20s);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.startDaemon(i);
    simulation.runFor(100ms);
    CHECK_FALSE(simulation.daemons[0]->controller->peerListComplete());
    simulation.runFor(2s);
    for (const auto& daemon : simulation.daemons)
        CHECK(daemon->controller->liveDaemons() == 4);
}

// Guards against a large fleet that gets its leases one by one after a power loss: the store makes 200 changes per
// second in one partition, so the last of 78 daemons waited for 400 ms.
TEST_CASE("FleetController, renews the leases of a large fleet with few store changes after a restart of all daemons")
{
    constexpr std::size_t daemonCount = 78;
    FleetSimulation simulation(daemonCount);
    simulation.runFor(warmUp);
    for (std::size_t i = 0; i < daemonCount; ++i)
        simulation.kill(i);
    simulation.runFor(2s);
    const auto before = simulation.calls["change"];
    for (std::size_t i = 0; i < daemonCount; ++i)
        simulation.startDaemon(i);
    simulation.runFor(300ms);
    CHECK(simulation.daemonsUsingLeader() == daemonCount);
    CHECK(simulation.calls["change"] - before <= daemonCount / 10);
}

// Guards against daemons that wait for a delegate whose host stays down.
TEST_CASE("FleetController, gets its lease soon after a restart of all daemons when the delegate is unreachable")
{
    constexpr std::size_t daemonCount = 30;
    FleetSimulation simulation(daemonCount);
    simulation.runFor(warmUp);
    for (std::size_t i = 0; i < daemonCount; ++i)
        simulation.kill(i);
    simulation.runFor(2s);
    simulation.daemons[0]->peersUnreachable = true;
    for (std::size_t i = 1; i < daemonCount; ++i)
        simulation.startDaemon(i);
    simulation.runFor(600ms);
    CHECK(simulation.daemonsUsingLeader() == daemonCount - 1);
}

// Guards against a stopping daemon that acknowledges a write, or acts as a witness, after its lease row has been
// removed and a replacement no longer waits for it.
TEST_CASE("FleetController, uses no primary after it has released its lease")
{
    FleetSimulation simulation(3);
    simulation.runFor(warmUp);
    REQUIRE(simulation.uses(2, e1));
    simulation.daemons[2]->controller->stop([] {});
    CHECK_FALSE(simulation.uses(2, e1));
    CHECK_FALSE(simulation.daemons[2]->controller->newestKnownClaim());
}

// Guards against a renewal that is answered after the daemon has released its lease and makes the lease valid again.
TEST_CASE("FleetController, does not regain its lease when a renewal is answered during the stop")
{
    FleetSimulation simulation(1);
    simulation.runFor(warmUp);
    simulation.storeLatency = 200ms;
    bool renewing = false;
    simulation.onCall = [&renewing](std::size_t, const std::string& call) { renewing = renewing || call == "change"; };
    while (!renewing)
        simulation.runFor(10ms);
    simulation.daemons[0]->controller->stop([] {});
    simulation.runFor(300ms);
    CHECK_FALSE(simulation.uses(0, e1));
}

// Guards against daemons that abandon the batched renewal while a slow store processes it, and then renew one by one.
// All leases then came 2.4 s after the start.
TEST_CASE("FleetController, waits for the batched renewal when the store is slow after a restart of all daemons")
{
    constexpr std::size_t daemonCount = 28;
    FleetSimulation simulation(daemonCount);
    simulation.runFor(warmUp);
    for (std::size_t i = 0; i < daemonCount; ++i)
        simulation.kill(i);
    simulation.runFor(1s);
    simulation.storeLatency = 450ms;
    const auto before = simulation.calls["change"];
    for (std::size_t i = 0; i < daemonCount; ++i)
        simulation.startDaemon(i);
    simulation.runFor(2s);
    CHECK(simulation.daemonsUsingLeader() == daemonCount);
    CHECK(simulation.calls["change"] - before <= daemonCount / 3);
}
