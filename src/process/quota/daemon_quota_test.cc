#include "process/quota/quota_simulation_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace endivetrestle;
using namespace endivetrestle::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t simulationSeed = 20261204;

// A fleet in which every daemon's clients start the given number of operations a second.
struct Fleet : QuotaSimulation {
    Fleet(std::size_t daemons, const WorkspaceQuota& limit, double loadPerDaemon)
        : QuotaSimulation(daemons, simulationSeed)
    {
        this->quota = limit;
        this->configureAll();
        this->listAll();
        for (auto& daemon : this->daemons)
            daemon.load = loadPerDaemon;
    }
};

// Prints what a load got, for the design note, and returns the share of operations that were refused.
double report(const char* name, const QuotaSimulation& simulation, Duration time)
{
    const auto refused = static_cast<double>(simulation.exceeded + simulation.unanswered);
    const auto granted = static_cast<double>(simulation.grants.size());
    std::cout << name << ": granted=" << granted / toSeconds(time) << "/s refused=" << refused
              << " share=" << refused / (refused + granted) << " messages per second and daemon="
              << static_cast<double>(simulation.messages) / toSeconds(time)
            / static_cast<double>(simulation.daemons.size())
              << " excess=" << simulation.excess(simulation.quota) << "\n";
    return refused / (refused + granted);
}

void forget(QuotaSimulation& simulation)
{
    simulation.grants.clear();
    simulation.exceeded = simulation.unanswered = simulation.messages = 0;
}

} // namespace

TEST_CASE("DaemonQuota, sends nothing and has no timer where no workspace has a limit")
{
    int sent = 0;
    QuotaClientHooks hooks;
    hooks.send = [&](const DaemonId&, const QuotaRequest&) { return ++sent != 0; };
    hooks.hasLease = [](Time) { return true; };
    DaemonQuota quota(DaemonId("a"), 1, Time(10s), hooks);
    quota.setDaemons({ { DaemonId("b"), 1 } }, Time(10s));
    CHECK(quota.nextDue() == Time::max());
    Workspace unlimited;
    unlimited.id = WorkspaceId("free");
    quota.configure({ unlimited }, {}, Time(11s));
    quota.tick(Time(12s));
    std::vector<QuotaDecision> decisions;
    const auto record = [&](QuotaDecision decision) { decisions.push_back(decision); };
    CHECK(quota.take(WorkspaceId("free"), Time(12s), record) == 0);
    CHECK(quota.take(WorkspaceId("unknown"), Time(12s), record) == 0);
    CHECK(decisions == std::vector { QuotaDecision::Granted, QuotaDecision::Unanswered });
    CHECK(quota.nextDue() == Time::max());
    CHECK(sent == 0);
}

TEST_CASE("DaemonQuota, works without messages in a fleet of one daemon")
{
    Fleet simulation(1, { 50, 20 }, 0);
    simulation.run(3s);
    simulation.daemons[0].load = 40;
    simulation.run(60s);
    CHECK(report("one daemon", simulation, 60s) < 0.005);
    CHECK(simulation.messages == 0);
    simulation.daemons[0].load = 140;
    forget(simulation);
    simulation.run(60s);
    report("one daemon at 2.8 times the limit", simulation, 60s);
    CHECK(simulation.grants.size() >= 3000);
    CHECK(simulation.excess(simulation.quota) <= 0);
}

// Guards against tokens lost to daemons that do not use them, and against one message for each operation.
TEST_CASE("DaemonQuota, loses few operations of workspaces inside their limits")
{
    struct Load {
        const char* name;
        WorkspaceQuota quota;
        double share;
    };
    for (const auto& load : { Load { "2/s over 26 daemons", { 2, 5 }, 0.8 }, Load { "12/s", { 12, 10 }, 0.8 },
             Load { "100/s", { 100, 40 }, 0.9 }, Load { "382/s", { 382, 80 }, 0.9 } }) {
        Fleet simulation(26, load.quota, 0);
        simulation.longestDelay = 15ms;
        simulation.run(15s);
        forget(simulation);
        for (auto& daemon : simulation.daemons)
            daemon.load = load.quota.operationsPerSecond * load.share / 26;
        simulation.run(60s);
        CHECK(report(load.name, simulation, 60s) < 0.005);
        CHECK(simulation.excess(load.quota) <= 0);
        CHECK(static_cast<double>(simulation.messages) / 60 / 26 < 12);
    }
}

TEST_CASE("DaemonQuota, grants the rate to workspaces far beyond their limits")
{
    for (const auto& quota : { WorkspaceQuota { 2, 5 }, WorkspaceQuota { 30, 10 }, WorkspaceQuota { 382, 80 } }) {
        Fleet simulation(26, quota, 2.8 * quota.operationsPerSecond / 26);
        simulation.run(10s);
        forget(simulation);
        simulation.run(60s);
        report("2.8 times the limit", simulation, 60s);
        CHECK(static_cast<double>(simulation.grants.size()) >= quota.operationsPerSecond * 60 * 0.99);
        CHECK(simulation.excess(quota) <= 0);
        CHECK(simulation.unanswered == 0);
    }
}

TEST_CASE("DaemonQuota, goes on after its coordinator was killed")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(10s);
    REQUIRE(simulation.coordinators() == 1);
    const auto old = simulation.coordinator();
    simulation.daemons[old].side = 1;
    simulation.daemons[old].load = 0;
    simulation.daemons[old].frozenUntil = Time::max();
    simulation.run(1500ms);
    CHECK(simulation.coordinator() != old);
    simulation.run(10s);
    CHECK(simulation.excess(simulation.quota) <= 0);
    forget(simulation);
    simulation.run(5s);
    CHECK(simulation.grants.size() >= 490);
}

// Guards against daemons that leave a coordinator whose links were reset, split between others, and find no majority
// for seconds.
TEST_CASE("DaemonQuota, keeps its coordinator when the links of several daemons are reset")
{
    Fleet simulation(24, { 382, 382 }, 10);
    simulation.run(10s);
    REQUIRE(simulation.coordinators() == 1);
    const auto coordinator = simulation.coordinator();
    forget(simulation);
    for (std::size_t i = 0; i < 6; ++i)
        simulation.resetLinks((coordinator + i) % simulation.daemons.size(), 100ms);
    simulation.run(2s);
    CHECK(simulation.coordinator() == coordinator);
    // An operation waits up to 400 ms for an answer, which exceeds the time without links.
    CHECK(simulation.unanswered == 0);
    CHECK(simulation.excess(simulation.quota) <= 0);
}

// Guards against waiting for a coordinator that has given up its lease at a planned stop.
TEST_CASE("DaemonQuota, asks another daemon at once when the coordinator has no lease")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(10s);
    const auto old = simulation.coordinator();
    simulation.daemons[old].leaseEnd = simulation.now;
    simulation.run(900ms);
    CHECK(simulation.coordinators() == 1);
    CHECK(simulation.coordinator() != old);
    forget(simulation);
    // The daemon without a lease is served by the new coordinator.
    for (std::size_t i = 0; i < 5; ++i)
        simulation.daemons[i].load = i == old ? 60 : 0;
    simulation.run(5s);
    CHECK(simulation.grants.size() >= 280);
}

// Guards against a coordinator that grants what it counted before it was suspended.
TEST_CASE("DaemonQuota, has one coordinator when the earlier one was frozen and is resumed")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(10s);
    const auto old = simulation.coordinator();
    simulation.daemons[old].frozenUntil = simulation.now + 3s;
    simulation.run(2990ms);
    for (int i = 0; i < 1000; ++i) {
        simulation.run(10ms);
        REQUIRE(simulation.coordinators() <= 1);
    }
    CHECK(simulation.excess(simulation.quota) <= 0);
}

TEST_CASE("DaemonQuota, has one coordinator on the larger side of a partition and after it")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(10s);
    const auto old = simulation.coordinator();
    simulation.daemons[old].side = 1;
    simulation.daemons[(old + 1) % 5].side = 1;
    simulation.run(8s);
    CHECK(simulation.daemons[old].quota->statistics().shardsCoordinated == 0);
    CHECK(simulation.coordinators() == 1);
    for (auto& daemon : simulation.daemons)
        daemon.side = 0;
    simulation.run(5s);
    CHECK(simulation.coordinators() == 1);
    CHECK(simulation.excess(simulation.quota) <= 0);
    forget(simulation);
    simulation.run(5s);
    CHECK(simulation.unanswered == 0);
}

TEST_CASE("DaemonQuota, keeps the bound after a power loss of the whole fleet")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(10s);
    for (std::size_t i = 0; i < 5; ++i)
        simulation.start(i);
    simulation.listAll();
    simulation.run(10s);
    CHECK(simulation.coordinators() == 1);
    CHECK(simulation.excess(simulation.quota) <= 0);
}

// Guards against tokens of the earlier limit that are used under the new one.
// Guards against a fleet that refuses everything for 15 s after a power loss, because most of its daemons had restarted
// in turn shortly before and count as new.
TEST_CASE("DaemonQuota, finds a coordinator soon after a power loss that follows restarts in turn")
{
    Fleet simulation(24, { 382, 382 }, 10);
    simulation.run(10s);
    for (std::size_t i = 0; i < simulation.daemons.size(); ++i) {
        simulation.daemons[i].rowSince = simulation.now;
        simulation.start(i);
        simulation.listAll();
        simulation.run(1s);
    }
    for (std::size_t i = 0; i < simulation.daemons.size(); ++i)
        simulation.start(i);
    simulation.listAll();
    simulation.run(1500ms);
    CHECK(simulation.coordinators() == 1);
    simulation.run(5s);
    CHECK(simulation.mostSupported == 1);
    CHECK(simulation.excess(simulation.quota) <= 0);
}

TEST_CASE("DaemonQuota, obeys a lower limit one window later, and a higher one at once")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(10s);
    simulation.quota = { 10, 5 };
    simulation.configureAll();
    simulation.run(15s);
    CHECK(simulation.excess(simulation.quota, simulation.now - 10s) <= 0);
    simulation.quota = { 200, 20 };
    simulation.configureAll();
    forget(simulation);
    simulation.run(5s);
    CHECK(simulation.grants.size() >= 950);
    CHECK(simulation.excess(simulation.quota) <= 0);
}

// Guards against refusing the first operations of a workspace that is declared in a running fleet.
TEST_CASE("DaemonQuota, gives a new workspace its burst in a fleet with an old coordinator")
{
    Fleet simulation(5, { 2, 10 }, 0);
    simulation.run(10s);
    for (auto& daemon : simulation.daemons)
        daemon.load = 100;
    simulation.run(20ms);
    for (auto& daemon : simulation.daemons)
        daemon.load = 0;
    simulation.run(500ms);
    CHECK(simulation.grants.size() >= 5);
    CHECK(simulation.exceeded == 0);
}

// Guards against an idle connection of a client that stops waiting while its operation waits for a token.
TEST_CASE("DaemonQuota, refuses after 400 ms what no coordinator answers, and drops what is cancelled")
{
    QuotaClientHooks hooks;
    std::vector<QuotaRequest> sent;
    hooks.send = [&](const DaemonId&, const QuotaRequest& request) {
        sent.push_back(request);
        return true;
    };
    hooks.hasLease = [](Time) { return true; };
    Time now { 10s };
    DaemonQuota quota(DaemonId("a"), 1, now, hooks);
    Workspace limited;
    limited.id = WorkspaceId("w");
    limited.quota = WorkspaceQuota { 10, 5 };
    quota.configure({ limited }, { 5s, 0.1, 20 }, now);
    quota.setDaemons({ { DaemonId("b"), 1 }, { DaemonId("c"), 1 } }, now);
    std::vector<QuotaDecision> decisions;
    const auto record = [&](QuotaDecision decision) { decisions.push_back(decision); };
    REQUIRE(quota.take(limited.id, now, record) != 0);
    const auto cancelled = quota.take(limited.id, now, record);
    REQUIRE(cancelled != 0);
    quota.cancel(cancelled);
    const auto end = now + 399ms;
    for (; now < end; now += 1ms) {
        if (now >= quota.nextDue())
            quota.tick(now);
    }
    CHECK(decisions.empty());
    for (; now < end + 25ms; now += 1ms) {
        if (now >= quota.nextDue())
            quota.tick(now);
    }
    CHECK(decisions == std::vector { QuotaDecision::Unanswered });
    CHECK(sent.size() < 6);
}

// Guards against a request that waits for a timer.
TEST_CASE("DaemonQuota, sends the request of a waiting operation in the same call")
{
    QuotaClientHooks hooks;
    std::vector<QuotaRequest> sent;
    hooks.send = [&](const DaemonId&, const QuotaRequest& request) {
        sent.push_back(request);
        return true;
    };
    hooks.hasLease = [](Time) { return true; };
    Time now { 10s };
    DaemonQuota quota(DaemonId("a"), 1, now, hooks);
    Workspace limited;
    limited.id = WorkspaceId("w");
    limited.quota = WorkspaceQuota { 10, 5 };
    quota.configure({ limited }, { 5s, 0.1, 20 }, now);
    quota.setDaemons({ { DaemonId("b"), 1 } }, now);
    REQUIRE(sent.size() == 1);
    QuotaGrant grant { sent[0].number, sent[0].shard, 7, 1, true, {}, {} };
    quota.onGrant(DaemonId("b"), grant, now + 5ms);
    std::vector<QuotaDecision> decisions;
    CHECK(quota.take(limited.id, now + 10ms, [&](auto decision) { decisions.push_back(decision); }) != 0);
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].asks == std::vector { QuotaAsk { limited.id, 1, 0 } });
    // A second operation waits for the answer to the first request, of which one is outstanding at most.
    quota.take(limited.id, now + 11ms, [&](auto decision) { decisions.push_back(decision); });
    CHECK(sent.size() == 2);
    grant.number = sent[1].number;
    grant.tokens = { { limited.id, 1, false } };
    quota.onGrant(DaemonId("b"), grant, now + 20ms);
    CHECK(decisions == std::vector { QuotaDecision::Granted });
    REQUIRE(sent.size() == 3);
    // An empty bucket refuses at once, also what comes within the pause.
    grant.number = sent[2].number;
    grant.tokens = { { limited.id, 0, true } };
    quota.onGrant(DaemonId("b"), grant, now + 30ms);
    CHECK(quota.take(limited.id, now + 40ms, [&](auto decision) { decisions.push_back(decision); }) == 0);
    CHECK(decisions == std::vector { QuotaDecision::Granted, QuotaDecision::Exceeded, QuotaDecision::Exceeded });
    CHECK(sent.size() == 3);
    // A token that arrives after it has expired is not used.
    CHECK(quota.take(limited.id, now + 100ms, [&](auto) {}) != 0);
    REQUIRE(sent.size() == 4);
    grant.number = sent[3].number;
    grant.tokens = { { limited.id, 5, false } };
    quota.onGrant(DaemonId("b"), grant, now + 600ms);
    CHECK(quota.statistics().granted == 1);
}

// Guards against daemons that restart and support a second coordinator while the first still counts them.
TEST_CASE("DaemonQuota, has one coordinator when its supporters restart as it is cut off")
{
    Fleet simulation(3, { 100, 20 }, 60);
    simulation.run(20s);
    const auto old = simulation.coordinator();
    simulation.daemons[old].side = 1;
    for (std::size_t i = 0; i < 3; ++i) {
        if (i == old)
            continue;
        simulation.start(i);
        simulation.list(i, { 0, 1, 2 });
    }
    simulation.run(5s);
    CHECK(simulation.mostSupported == 1);
    CHECK(simulation.coordinators() == 1);
    CHECK(simulation.coordinator() != old);
}

// Guards against a majority of new daemons beside that of an older list.
TEST_CASE("DaemonQuota, has one coordinator when many daemons join that an older list lacks")
{
    Fleet simulation(3, { 100, 20 }, 60);
    simulation.run(20s);
    const auto old = simulation.coordinator();
    std::vector<std::size_t> cutOff { (old + 1) % 3 };
    for (int i = 0; i < 4; ++i)
        cutOff.push_back(simulation.add());
    for (const auto index : cutOff) {
        simulation.daemons[index].side = 1;
        simulation.list(index, { 0, 1, 2, 3, 4, 5, 6 });
    }
    simulation.run(10s);
    CHECK(simulation.mostSupported == 1);
    CHECK(simulation.coordinator() == old);
}

// Guards against a coordinator whose supporters the lists of the others have lost with their leases.
TEST_CASE("DaemonQuota, has one coordinator when the larger side of a partition loses its leases")
{
    Fleet simulation(5, { 100, 20 }, 60);
    simulation.run(20s);
    const auto old = simulation.coordinator();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 5; ++i) {
        const bool withOld = i == old || i == (old + 1) % 5 || i == (old + 2) % 5;
        simulation.daemons[i].side = withOld ? 0 : 1;
        if (withOld)
            simulation.daemons[i].leaseEnd = simulation.now + 6s;
        else
            others.push_back(i);
    }
    simulation.run(7s);
    for (const auto index : others)
        simulation.list(index, others);
    simulation.run(20s);
    CHECK(simulation.mostSupported == 1);
    CHECK(simulation.coordinators() == 1);
    CHECK(simulation.coordinator() != old);
}
