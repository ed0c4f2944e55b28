#include "fault_matrix_confirm.h"
#include "fault_matrix_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace endivetrestle;
using namespace endivetrestle::testing::matrix;

namespace {

std::uint64_t seedCount()
{
    const char* text = std::getenv("ENDIVETRESTLE_MATRIX_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Whether a cell is to be run. ENDIVETRESTLE_MATRIX_CELL names the only one.
bool isWanted(const Cell& cell)
{
    const char* text = std::getenv("ENDIVETRESTLE_MATRIX_CELL");
    return text == nullptr || toString(cell) == text;
}

struct Tally {
    std::size_t cases = 0;
    std::size_t full = 0;
    std::size_t violated = 0;
    std::size_t completed = 0;
};

void report(const Cell& cell, const std::vector<std::string>& violations, std::size_t injected, Tally& tally)
{
    ++tally.cases;
    tally.full += injected == cell.injections.size() ? 1 : 0;
    tally.violated += violations.empty() ? 0 : 1;
    INFO("cell " << toString(cell));
    for (const auto& violation : violations)
        FAIL_CHECK(violation);
}

void runCell(const Cell& cell, Tally& tally)
{
    World world(cell, Mutation::None);
    world.run();
    // A read that shows a write which no majority holds breaks the invariants in every cell.
    auto violations = world.violations();
    violations.insert(violations.end(), world.unheldReads().begin(), world.unheldReads().end());
    report(cell, violations, world.injected(), tally);
    tally.completed += world.completed();
}

void runConfirmCell(const Cell& cell, Tally& tally)
{
    ConfirmWorld world(cell, Mutation::None);
    world.run();
    report(cell, world.violations(), world.injected(), tally);
    tally.completed += world.accepted();
}

// The figures belong to the result, also of a test that passes.
void print(const Tally& tally)
{
    std::cout << "fault matrix: cases " << tally.cases << ", all faults injected " << tally.full << ", violated "
              << tally.violated << ", completed " << tally.completed << "\n";
}

template <typename Run> void runRows(const std::vector<StepRow>& rows, bool pairs, const Run& run)
{
    Tally tally;
    for (const auto& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            for (const auto& cell : pairs ? pairCells(row, seed) : singleCells(row, seed)) {
                if (isWanted(cell))
                    run(cell, tally);
            }
        }
    }
    print(tally);
}

std::vector<StepRow> rowsOf(Scenario scenario, bool pairs)
{
    std::vector<StepRow> rows;
    for (const auto& row : dataSteps()) {
        if (row.scenario == scenario && (!pairs || row.pairs))
            rows.push_back(row);
    }
    return rows;
}

} // namespace

// Guards against a single fault in normal operation that loses, doubles, crosses or misreports a request.
TEST_CASE("FaultMatrix, keeps the invariants when one fault strikes normal operation")
{
    runRows(rowsOf(Scenario::Steady, false), false, runCell);
}

// Guards against two faults around a commit.
TEST_CASE("FaultMatrix, keeps the invariants when two faults strike a commit")
{
    runRows(rowsOf(Scenario::Steady, true), true, runCell);
}

// Guards against a single fault during the replacement of a dead primary.
TEST_CASE("FaultMatrix, keeps the invariants when one fault strikes a failover")
{
    runRows(rowsOf(Scenario::PrimaryKilled, false), false, runCell);
}

// Guards against two faults during the replacement of a dead primary.
TEST_CASE("FaultMatrix, keeps the invariants when two faults strike a failover")
{
    runRows(rowsOf(Scenario::PrimaryKilled, true), true, runCell);
}

// Guards against a single fault while a cut-off primary believes that it leads.
TEST_CASE("FaultMatrix, keeps the invariants when one fault strikes with the primary cut off")
{
    runRows(rowsOf(Scenario::PrimaryCut, false), false, runCell);
}

// Guards against two faults while a cut-off primary believes that it leads.
TEST_CASE("FaultMatrix, keeps the invariants when two faults strike with the primary cut off")
{
    runRows(rowsOf(Scenario::PrimaryCut, true), true, runCell);
}

// Guards against a single fault while the ranks of the owners change.
TEST_CASE("FaultMatrix, keeps the invariants when one fault strikes an ownership change")
{
    runRows(rowsOf(Scenario::OwnerChanged, false), false, runCell);
}

// Guards against two faults while the ranks of the owners change.
TEST_CASE("FaultMatrix, keeps the invariants when two faults strike an ownership change")
{
    runRows(rowsOf(Scenario::OwnerChanged, true), true, runCell);
}

// Guards against a single fault while a leaving primary is replaced.
TEST_CASE("FaultMatrix, keeps the invariants when one fault strikes a planned change of the primary")
{
    runRows(rowsOf(Scenario::PrimaryLeaving, false), false, runCell);
}

// Guards against two faults while a leaving primary is replaced.
TEST_CASE("FaultMatrix, keeps the invariants when two faults strike a planned change of the primary")
{
    runRows(rowsOf(Scenario::PrimaryLeaving, true), true, runCell);
}

// Guards against a confirmation that is accepted twice, misreported or reverted because of one fault.
TEST_CASE("FaultMatrix, keeps the configuration when one fault strikes a confirmation")
{
    runRows(confirmSteps(), false, runConfirmCell);
}

// Guards against a confirmation that is accepted twice, misreported or reverted because of two faults.
TEST_CASE("FaultMatrix, keeps the configuration when two faults strike a confirmation")
{
    runRows(confirmSteps(), true, runConfirmCell);
}

// Guards against a fault during a failover that an earlier fault has prepared, such as a replica that is behind.
TEST_CASE("FaultMatrix, keeps the invariants when a fault before a failover and one in it strike")
{
    Tally tally;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const auto& cell : prefixedCells(seed)) {
            if (isWanted(cell))
                runCell(cell, tally);
        }
    }
    print(tally);
}

// Guards against a read that shows a write which is dropped by a failover and then reported as not run.
TEST_CASE("FaultMatrix, shows no write in a read when no majority holds it")
{
    for (const auto& row : dataSteps()) {
        for (const auto& cell : singleCells(row, 1)) {
            const bool cut = cell.injections.front().fault == Fault::CutFromReplicas;
            if (!cut || row.scenario != Scenario::PrimaryKilled || !isWanted(cell))
                continue;
            World world(cell, Mutation::None);
            world.run();
            CAPTURE(toString(cell));
            const auto reads = world.unheldReads();
            CAPTURE(reads);
            CHECK(reads.empty());
        }
    }
}
