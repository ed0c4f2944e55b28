// The store comes back from an older copy: what it had acknowledged since is gone, and its versions are given out
// again.
#include "process/fleet_simulation_test.h"

#include <catch2/catch.hpp>

#include <random>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId e1("e1");

// Time in which every daemon has a lease and the first primary is known.
constexpr Duration warmUp = std::chrono::seconds(5);
// Longest time from the last fault until all daemons use every primary again (RecoveryS of the users' platform).
constexpr Duration recoveryTime = std::chrono::seconds(12);
// How long the store is away before it comes back from a copy.
constexpr Duration awayTime = std::chrono::seconds(2);

// Replaces the primary of the first group because it leaves.
void replacePrimary(FleetSimulation& simulation)
{
    const auto old = simulation.leader();
    simulation.endpoints[old].draining = true;
    REQUIRE(simulation.runUntil(
        [&] { return simulation.leader() != old && simulation.daemonsUsingLeader() == simulation.daemons.size(); }));
    simulation.endpoints[old].draining = false;
}

void checkAllServe(const FleetSimulation& simulation)
{
    INFO(simulation.describeViolations());
    CHECK(simulation.violations.empty());
    for (const auto& group : simulation.groups()) {
        CAPTURE(group.value);
        CHECK(simulation.daemonsUsingLeader(group) == simulation.daemons.size());
    }
}

} // namespace

TEST_CASE("FleetController, serves again after the store has lost replacements of a primary")
{
    // Guards against leases and claims that can never be conditional on versions that went back.
    const auto daemonCount = GENERATE(as<std::size_t> {}, 1, 2, 4, 7);
    const auto replacements = GENERATE(0, 1, 3);
    CAPTURE(daemonCount, replacements);
    FleetSimulation simulation(daemonCount, 1, 2);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    for (int i = 0; i < replacements; ++i)
        replacePrimary(simulation);
    simulation.restoreStore(copy, awayTime);
    simulation.runFor(recoveryTime);
    checkAllServe(simulation);
    // Replacements go on as before.
    replacePrimary(simulation);
    checkAllServe(simulation);
}

TEST_CASE("FleetController, keeps serving while the store comes back from a copy")
{
    // Guards against primaries that no daemon uses for a while although all daemons know them.
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    replacePrimary(simulation);
    simulation.restoreStore(copy, awayTime);
    for (int i = 0; i < 200; ++i) {
        simulation.runFor(50ms);
        REQUIRE(simulation.daemonsUsingLeader() == 4);
    }
    checkAllServe(simulation);
}

TEST_CASE("FleetController, uses no earlier primary when all daemons start after the store has lost a replacement")
{
    // Guards against a row of the copy that is taken for the present one.
    const auto replacements = GENERATE(1, 2);
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    for (int i = 0; i < replacements; ++i)
        replacePrimary(simulation);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.kill(i);
    simulation.restoreStore(copy, awayTime);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.startDaemon(i);
    simulation.runFor(recoveryTime);
    checkAllServe(simulation);
}

TEST_CASE("FleetController, keeps the rules when the store is lost at any step of a replacement")
{
    // Guards against a replacement that goes on with a claim, a lock or an order of a store that has gone.
    const auto lostAtCall
        = GENERATE(as<std::string> {}, "change", "suspend", "refresh", "demote", "promote", "announce");
    const auto daemonCount = GENERATE(as<std::size_t> {}, 2, 4);
    const auto awayFor = GENERATE(as<Duration> {}, 1ms, 300ms, 2s);
    const bool copiedBefore = GENERATE(true, false);
    CAPTURE(lostAtCall, daemonCount, toMilliseconds(awayFor), copiedBefore);
    FleetSimulation simulation(daemonCount);
    simulation.runFor(warmUp);
    auto copy = simulation.tables.copy();
    simulation.endpoints[e1].draining = true;
    // The lock is taken with the first change, the group is claimed with the second one.
    REQUIRE(simulation.runUntil([&] { return simulation.tables.hasLock(); }));
    if (!copiedBefore)
        copy = simulation.tables.copy();
    bool reached = false;
    simulation.onCall = [&](std::size_t, const std::string& call) { reached = reached || call == lostAtCall; };
    REQUIRE(simulation.runUntil([&] { return reached; }));
    simulation.onCall = nullptr;
    simulation.restoreStore(copy, awayFor);
    simulation.runFor(2 * recoveryTime);
    checkAllServe(simulation);
}

TEST_CASE("FleetController, keeps the rules when some daemons miss that the store was restored")
{
    // Guards against a lease of before that the copy does not have, and that a replacement does not wait for.
    const auto cutFor = GENERATE(as<Duration> {}, 1s, 5s, 11s, 20s);
    const bool startedInLostTime = GENERATE(false, true);
    const bool peersCutAsWell = GENERATE(false, true);
    CAPTURE(toMilliseconds(cutFor), startedInLostTime, peersCutAsWell);
    FleetSimulation simulation(4);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    if (startedInLostTime) {
        simulation.kill(3);
        simulation.startDaemon(3);
    }
    simulation.runFor(3s);
    auto& cutOff = *simulation.daemons[3];
    cutOff.storeUnreachable = true;
    cutOff.peersUnreachable = peersCutAsWell;
    simulation.restoreStore(copy, awayTime);
    simulation.endpoints[simulation.leader()].draining = true;
    simulation.runFor(cutFor);
    cutOff.storeUnreachable = cutOff.peersUnreachable = false;
    simulation.runFor(2 * recoveryTime);
    checkAllServe(simulation);
}

TEST_CASE("FleetController, replaces no primary that a daemon of which the copy does not tell may use")
{
    // Guards against a replacement that waits only for the leases of the copy.
    FleetSimulation simulation(5);
    simulation.kill(4);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    simulation.startDaemon(4);
    simulation.runFor(1s);
    auto& unknown = *simulation.daemons[4];
    REQUIRE(unknown.controller->leaseValid(simulation.now()));
    unknown.storeUnreachable = unknown.peersUnreachable = true;
    simulation.restoreStore(copy, 300ms);
    simulation.endpoints[e1].draining = true;
    simulation.runFor(recoveryTime);
    unknown.storeUnreachable = unknown.peersUnreachable = false;
    simulation.runFor(recoveryTime);
    CHECK(simulation.leader() != e1);
    checkAllServe(simulation);
}

TEST_CASE("FleetController, waits for orders of a daemon of which the copy does not tell")
{
    // Guards against a primary that is confirmed and then replaced by an order of before the restore.
    FleetSimulation simulation(5);
    simulation.kill(4);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    simulation.startDaemon(4);
    simulation.runFor(1s);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.kill(i);
    simulation.runFor(PrimaryLease::validity + 2s);
    auto& unknown = *simulation.daemons[4];
    bool demoted = false;
    simulation.onCall = [&](std::size_t, const std::string& call) { demoted = demoted || call == "demote"; };
    simulation.endpoints[e1].draining = true;
    REQUIRE(simulation.runUntil([&] { return demoted; }));
    simulation.onCall = nullptr;
    unknown.frozen = unknown.storeUnreachable = unknown.peersUnreachable = true;
    simulation.endpoints[e1].draining = false;
    simulation.endpoints[e1].primary = true;
    simulation.restoreStore(copy, 100ms);
    for (std::size_t i = 0; i < 4; ++i)
        simulation.startDaemon(i);
    simulation.runFor(4s);
    simulation.unfreeze(4);
    simulation.runFor(recoveryTime);
    CHECK(simulation.promotions == 1);
    unknown.storeUnreachable = unknown.peersUnreachable = false;
    simulation.runFor(recoveryTime);
    checkAllServe(simulation);
}

TEST_CASE("FleetController, takes the promotion lock of no era that is not open")
{
    // Guards against a replacement that was begun before the restore and goes on in an era without primaries.
    const auto untilLock = [](FleetSimulation& simulation) {
        simulation.runFor(warmUp);
        simulation.endpoints[e1].draining = true;
    };
    FleetSimulation undisturbed(4);
    untilLock(undisturbed);
    REQUIRE(undisturbed.runUntil([&] { return undisturbed.hasRow(leaseTable, promotionLockKey); }));
    const auto lockedAt = undisturbed.now();
    for (int lostBefore = 1; lostBefore <= 12; ++lostBefore) {
        CAPTURE(lostBefore);
        FleetSimulation simulation(4);
        untilLock(simulation);
        simulation.runFor(lockedAt - std::chrono::milliseconds(lostBefore) - simulation.now());
        simulation.tables.restore(simulation.tables.copy());
        for (int i = 0; i < 3000 && !simulation.hasRow(fleetTable, eraKeyName); ++i) {
            simulation.runFor(1ms);
            CHECK_FALSE(simulation.hasRow(leaseTable, promotionLockKey));
        }
        simulation.runFor(2 * recoveryTime);
        checkAllServe(simulation);
    }
}

TEST_CASE("FleetController, confirms no claim of an earlier era")
{
    // Guards against a confirmation that lets a daemon which has missed the restore order a promotion.
    FleetSimulation simulation(2);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    replacePrimary(simulation);
    const auto row = simulation.daemons[0]->controller->primaries().at(FleetSimulation::group());
    simulation.restoreStore(copy, 100ms);
    simulation.runFor(3s);
    auto& controller = *simulation.daemons[0]->controller;
    REQUIRE(controller.hasJoinedEra());
    const auto later = StoreVersion { row.version.era, row.version.number + 100 };
    CHECK_FALSE(controller.onSuspendRequest({ row.group, later, row.version }, [] { FAIL("confirmed"); }));
    simulation.runFor(1s);
    CHECK(simulation.daemonsUsingLeader() == 2);
}

TEST_CASE("FleetController, keeps the rules when calls of before the restore take effect after it")
{
    // Guards against a late call whose condition holds again because its version was given out anew.
    const auto seed = GENERATE(range(1, 16));
    CAPTURE(seed);
    FleetSimulation simulation(4, static_cast<std::uint64_t>(seed), 2);
    simulation.runFor(warmUp);
    const auto copy = simulation.tables.copy();
    simulation.lateEffectProbability = 0.3;
    for (auto& [group, endpoints] : simulation.groupEndpoints)
        endpoints[e1].draining = true;
    simulation.runFor(std::chrono::milliseconds(seed * 150));
    simulation.restoreStore(copy, 100ms);
    simulation.lateEffectProbability = 0;
    simulation.runFor(2 * recoveryTime);
    checkAllServe(simulation);
}

namespace {

// Plays random faults, among them stores that come back from copies of different age, and then a quiet time.
void playRandomRestores(std::uint64_t seed, std::size_t daemonCount, std::size_t groupCount)
{
    FleetSimulation simulation(daemonCount, seed, groupCount);
    std::mt19937_64 random(seed * 7919);
    const auto groups = simulation.groups();
    simulation.runFor(warmUp);
    std::vector<SimulatedTables::Copy> copies { simulation.tables.copy() };
    simulation.answerLossProbability = 0.1;
    simulation.lateEffectProbability = 0.05;
    for (int round = 0; round < 30; ++round) {
        const auto daemon = random() % simulation.daemons.size();
        auto& target = *simulation.daemons[daemon];
        const auto& group = groups[random() % groups.size()];
        auto& endpoints = simulation.groupEndpoints.at(group);
        const auto leader = simulation.leader(group);
        switch (random() % 9) {
        case 0:
            simulation.kill(daemon);
            break;
        case 1:
            if (!target.running)
                simulation.startDaemon(daemon);
            break;
        case 2:
            target.frozen = target.running && !target.frozen;
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
            for (auto& [id, endpoint] : endpoints)
                endpoint.draining = id == leader;
            break;
        case 7:
            for (auto& [id, endpoint] : endpoints)
                endpoint.up = id != leader || !endpoint.up;
            break;
        default:
            // At most nine seconds old, as a copy may be; an earlier one would be of before the fleet's first rows.
            simulation.restoreStore(copies[copies.size() - 1 - random() % std::min<std::size_t>(copies.size(), 4)],
                std::chrono::milliseconds(1 + random() % 3000));
            copies = { simulation.tables.copy() };
            break;
        }
        simulation.runFor(std::chrono::milliseconds(200 + random() % 3000));
        copies.push_back(simulation.tables.copy());
    }
    simulation.heal();
    simulation.runFor(40s);
    INFO("seed " << seed << ", daemons " << daemonCount);
    checkAllServe(simulation);
}

} // namespace

TEST_CASE("FleetController, keeps the rules and recovers under random faults and restores of the store")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
        playRandomRestores(seed, 3 + seed % 4, 1 + seed % 3);
}
