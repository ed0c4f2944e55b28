#include "fault_matrix_confirm.h"
#include "fault_matrix_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace endivetrestle;
using namespace endivetrestle::testing::matrix;

namespace {

struct Seeded {
    std::string_view name;
    Mutation mutation;
    // Part of a violation that shows this broken rule.
    std::string_view shownBy;
    // The search starts with the steps of this scenario.
    Scenario first = Scenario::Steady;
};

// Runs cells with a broken rule until one shows it. Returns the number of cases that it took, or 0.
template <typename AnyWorld> std::size_t casesUntilCaught(const Seeded& seeded, std::vector<StepRow> rows)
{
    constexpr std::uint64_t seeds = 2;
    std::size_t cases = 0;
    std::stable_partition(rows.begin(), rows.end(), [&](const auto& row) { return row.scenario == seeded.first; });
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto& row : rows) {
            for (const auto& cell : singleCells(row, seed)) {
                ++cases;
                AnyWorld world(cell, seeded.mutation);
                world.run();
                for (const auto& violation : world.violations()) {
                    if (violation.find(seeded.shownBy) == std::string::npos)
                        continue;
                    std::cout << "seeded " << seeded.name << ": case " << cases << ", " << toString(cell) << ": "
                              << violation.substr(0, violation.find('\n')) << "\n";
                    return cases;
                }
            }
        }
    }
    return 0;
}

} // namespace

// Guards against a matrix that passes whatever the product does with requests.
TEST_CASE("FaultMatrix, finds a broken rule of the data path")
{
    const auto seeded
        = GENERATE(Seeded { "acknowledge one holder", Mutation::AcknowledgeOneHolder, "I10", Scenario::PrimaryKilled },
            Seeded { "promote lowest", Mutation::PromoteLowest, "I10", Scenario::PrimaryKilled },
            Seeded { "resend unknown", Mutation::ResendUnknown, "I6" },
            Seeded { "skip minimal position", Mutation::SkipMinPosition, "own_write_not_seen" },
            Seeded { "skip abort marker", Mutation::SkipAbortMarker, "I5" },
            Seeded { "reuse dirty connection", Mutation::ReuseDirty, "I3" },
            Seeded { "ignore evidence age", Mutation::IgnoreEvidenceAge, "I2", Scenario::PrimaryKilled });
    CAPTURE(seeded.name);
    CHECK(casesUntilCaught<World>(seeded, dataSteps()) > 0);
}

// Guards against a matrix that passes whatever the product does with configurations.
TEST_CASE("FaultMatrix, finds a daemon that adopts an older configuration")
{
    const Seeded seeded { "adopt older", Mutation::AdoptOlder, "configuration_reverted" };
    CHECK(casesUntilCaught<ConfirmWorld>(seeded, confirmSteps()) > 0);
}
