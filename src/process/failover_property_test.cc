#include "process/failover_simulation_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace endivetrestle;
using namespace endivetrestle::testing;

namespace {

constexpr std::uint64_t propertySeed = 20261204;

rc::Gen<std::vector<Fault>> genFaults()
{
    const auto fault = rc::gen::build<Fault>(rc::gen::set(&Fault::at, rc::gen::inRange(500, 5000)),
        rc::gen::set(&Fault::kind,
            rc::gen::element(FaultKind::CutLink, FaultKind::Isolate, FaultKind::CrashEndpoint, FaultKind::CrashDaemon,
                FaultKind::PauseDaemon, FaultKind::Switchover)),
        rc::gen::set(&Fault::node, rc::gen::inRange(0, 35)), rc::gen::set(&Fault::other, rc::gen::inRange(0, 35)),
        rc::gen::set(&Fault::length, rc::gen::inRange(50, 1000)));
    return rc::gen::mapcat(rc::gen::inRange(0, 12),
        [fault](int count) { return rc::gen::container<std::vector<Fault>>(static_cast<std::size_t>(count), fault); });
}

// Runs a property with a fixed seed that is printed with the result.
template <typename Property> void checkProperty(const std::string& name, Property property)
{
    rc::detail::TestParams params;
    params.seed = propertySeed;
    params.maxSuccess = 300;
    std::cout << name << ": seed=" << params.seed << " cases=" << params.maxSuccess << "\n";
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata { name, name }, params);
    rc::detail::printResultMessage(result, std::cout);
    std::cout << "\n";
    CHECK(result.template is<rc::detail::SuccessResult>());
}

std::size_t violationsWith(SeededFault seeded)
{
    std::size_t found = 0;
    std::mt19937_64 random(propertySeed);
    for (int run = 0; run < 300; ++run) {
        std::vector<Fault> faults;
        for (int i = 0; i < 12; ++i)
            faults.push_back({ static_cast<int>(500 + random() % 4500), static_cast<FaultKind>(random() % 6),
                static_cast<int>(random() % 35), static_cast<int>(random() % 35),
                static_cast<int>(50 + random() % 950) });
        Simulation simulation(3, random(), seeded);
        simulation.run(faults);
        found += simulation.violations.empty() ? 0 : 1;
    }
    std::cout << "seeded fault " << static_cast<int>(seeded) << ": seed=" << propertySeed
              << " runs with violations=" << found << " of 300\n";
    return found;
}

} // namespace

// Guards against losing acknowledged writes and against two primaries in a term when daemons compete, crash or pause.
TEST_CASE("Failover, keeps acknowledged writes and one primary per term when faults combine")
{
    checkProperty("failover safety", [](std::uint64_t seed) {
        const auto size = *rc::gen::element<std::size_t>(1, 3, 5);
        const auto faults = *genFaults();
        Simulation simulation(size, seed, SeededFault::None);
        simulation.run(faults);
        RC_TAG(size);
        RC_ASSERT(simulation.violations == std::vector<std::string> {});
    });
}

// Guards against a state machine that never recovers, for example two daemons that keep refusing each other.
TEST_CASE("Failover, has a primary that accepts writes when faults have ended")
{
    checkProperty("failover recovery", [](std::uint64_t seed) {
        const auto size = *rc::gen::element<std::size_t>(1, 3, 5);
        const auto faults = *genFaults();
        Simulation simulation(size, seed, SeededFault::None);
        simulation.run(faults);
        RC_ASSERT(simulation.lastAcknowledged > Time(runEnd - 1s));
    });
}

// Guards against a checker that misses a wrongly chosen primary or a premature acknowledgement.
TEST_CASE("FailoverSimulation, reports violations when a fault is seeded")
{
    CHECK(violationsWith(SeededFault::None) == 0);
    CHECK(violationsWith(SeededFault::LowestPosition) > 0);
    CHECK(violationsWith(SeededFault::AcknowledgeAtOneHolder) > 0);
}

// Guards against a second promotion in a term by a restarted daemon that has forgotten the first one.
TEST_CASE("Failover, promotes at most one endpoint per term when a restarted daemon reuses its claimant")
{
    CHECK(violationsWith(SeededFault::ReuseClaimant) == 0);
}

// Guards against a failover gap above the targets of 1 s in the median and 3 s at worst, in simulated time.
TEST_CASE("Failover, replaces the primary within the target times when it crashes or is isolated")
{
    const auto kind = GENERATE(FaultKind::CrashEndpoint, FaultKind::Isolate);
    std::mt19937_64 random(propertySeed);
    std::vector<Duration> gaps;
    for (int run = 0; run < 100; ++run) {
        Simulation simulation(3, random(), SeededFault::None);
        simulation.run({ { 3000 + run, kind, primaryNode, 0, 60000 } });
        gaps.push_back(simulation.longestGap);
    }
    std::sort(gaps.begin(), gaps.end());
    std::cout << "failover gap kind=" << static_cast<int>(kind) << " seed=" << propertySeed
              << " medianMs=" << toMilliseconds(gaps[50]) << " worstMs=" << toMilliseconds(gaps.back()) << "\n";
    CAPTURE(static_cast<int>(kind), propertySeed, gaps[50].count(), gaps.back().count());
    CHECK(gaps[50] <= 1s);
    CHECK(gaps.back() <= 3s);
}

// Guards against false failovers when calls are late or lost, or when one daemon is cut off or paused.
TEST_CASE("Failover, keeps the primary when a fault affects only one daemon")
{
    const int size = 3;
    const auto fault = GENERATE(Fault { 3000, FaultKind::CutLink, primaryNode, size, 10000 },
        Fault { 3000, FaultKind::CutLink, primaryNode, size + 1, 10000 },
        Fault { 3000, FaultKind::Isolate, size, 0, 10000 }, Fault { 3000, FaultKind::PauseDaemon, 1, 0, 4000 },
        Fault { 3000, FaultKind::CrashDaemon, 1, 0, 2000 });
    CAPTURE(fault, propertySeed);
    std::mt19937_64 random(propertySeed);
    for (int run = 0; run < 50; ++run) {
        Simulation simulation(size, random(), SeededFault::None);
        simulation.run({ fault });
        CAPTURE(run);
        CHECK(simulation.promotions == 1);
    }
}
