#include "fault_matrix_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace endivetrestle;
using namespace endivetrestle::testing::matrix;

namespace {

std::uint64_t seedCount()
{
    const char* text = std::getenv("ENDIVETRESTLE_MATRIX_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Name of the only cell to run, or empty.
std::string wantedCell()
{
    const char* text = std::getenv("ENDIVETRESTLE_MATRIX_CELL");
    return text == nullptr ? "" : text;
}

struct Tally {
    std::size_t cases = 0;
    std::size_t full = 0;
    std::size_t violated = 0;
    std::size_t completed = 0;
};

// Runs one cell and prints its name with what it broke.
void runCell(const Cell& cell, Tally& tally)
{
    const auto name = toString(cell);
    if (!wantedCell().empty() && wantedCell() != name)
        return;
    World world(cell, Mutation::None);
    world.run();
    ++tally.cases;
    tally.full += world.injected() == cell.injections.size() ? 1 : 0;
    tally.completed += world.completed();
    if (world.violations().empty())
        return;
    ++tally.violated;
    INFO("cell " << name);
    for (const auto& violation : world.violations())
        FAIL_CHECK(violation);
}

void runRows(const std::vector<StepRow>& rows, bool pairs)
{
    Tally tally;
    for (const auto& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            for (const auto& cell : pairs ? pairCells(row, seed) : singleCells(row, seed))
                runCell(cell, tally);
        }
    }
    WARN("cases " << tally.cases << ", all faults injected in " << tally.full << ", with violations " << tally.violated
                  << ", operations completed " << tally.completed);
}

} // namespace

// Guards against any single fault at any step that loses, doubles, crosses or misreports a request.
TEST_CASE("FaultMatrix, keeps the invariants when a single fault strikes a step") { runRows(dataSteps(), false); }

// Guards against pairs of faults in failovers, commits and ownership changes.
TEST_CASE("FaultMatrix, keeps the invariants when two faults strike a step")
{
    std::vector<StepRow> rows;
    for (const auto& row : dataSteps()) {
        if (row.pairs)
            rows.push_back(row);
    }
    runRows(rows, true);
}
