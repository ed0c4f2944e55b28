#include "process/configuration_simulation_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivetrestle;
using namespace endivetrestle::testing;
using namespace std::chrono_literals;

namespace {

rc::Gen<std::vector<ConfigurationFault>> genFaults()
{
    using Kind = ConfigurationFaultKind;
    const auto fault
        = rc::gen::build<ConfigurationFault>(rc::gen::set(&ConfigurationFault::atMs, rc::gen::inRange(500, 20000)),
            rc::gen::set(&ConfigurationFault::kind,
                rc::gen::element(Kind::StoreDown, Kind::StoreSlow, Kind::LoseAnswers, Kind::LoseMessages, Kind::Freeze,
                    Kind::Restart, Kind::Restore)),
            rc::gen::set(&ConfigurationFault::daemon, rc::gen::inRange(0, 4)),
            rc::gen::set(&ConfigurationFault::lengthMs, rc::gen::inRange(50, 7000)));
    return rc::gen::mapcat(rc::gen::inRange(0, 12),
        [fault](int count) { return rc::gen::container<std::vector<ConfigurationFault>>(count, fault); });
}

} // namespace

// Guards against a revoked key that still works after the limit: a proof that is worth more than the time at which its
// call or question was sent, in any combination of delays, losses, freezes, restarts and restored stores.
TEST_CASE("ConfigurationProof, counts no configuration as recent that lacks an acknowledged version")
{
    rc::prop("recent configurations are complete", [](std::uint64_t seed) {
        const auto faults = *genFaults();
        ConfigurationSimulation simulation(4, seed);
        simulation.changing = true;
        simulation.run(25s, faults);
        RC_ASSERT(simulation.violations == std::vector<std::string> {});
    });
}

// Guards against a daemon that refuses everything for good after a fault.
TEST_CASE("ConfigurationProof, counts configurations as recent again when faults have ended")
{
    rc::prop("recent again", [](std::uint64_t seed) {
        const auto faults = *genFaults();
        ConfigurationSimulation simulation(4, seed);
        simulation.changing = true;
        // The last fault ends at 27 s. A daemon learns of a restored store with its next reading, and knows its
        // configuration to be complete 2.5 s and a reading later.
        simulation.run(27s, faults);
        simulation.run(7s);
        RC_ASSERT(simulation.recentDaemons() == 4U);
    });
}
