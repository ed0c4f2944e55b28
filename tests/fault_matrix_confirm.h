#pragma once

#include "fault_matrix_cell.h"

#include "tool/history_checker.h"
#include "version/confirm_machine.h"
#include "version/version_keeper.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle::testing::matrix {

// One case of the matrix for configurations: two operators confirm plans of the same base through different daemons,
// step by step in an order chosen by the seed, on a fake table row and object store. Two VersionKeepers adopt what is
// accepted. Faults of the cell strike the calls to the store and the adoption.
//
// Example:
//     ConfirmWorld world(cell, Mutation::None);
//     world.run();
//     for (const auto& violation : world.violations()) FAIL_CHECK(violation);
class ConfirmWorld {
public:
    ConfirmWorld(const Cell& cell, Mutation mutation);
    void run();

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found; }
    [[nodiscard]] std::size_t injected() const { return this->injectedCount; }
    [[nodiscard]] std::size_t accepted() const { return this->acceptedPlans.size(); }

private:
    struct Run {
        PlanId plan;
        std::optional<ConfirmMachine> machine;
        ConfirmAction action;
        bool writeSent = false;
        // Turns for which the run's process is paused.
        int paused = 0;
        bool over = false;
    };
    struct Keeper {
        std::optional<VersionKeeper> keeper;
        std::uint64_t shown = 0;
        // Version in force; differs from the keeper's only under AdoptOlder.
        std::uint64_t inForce = 0;
    };

    std::set<Fault> hit(Step step);
    void startRun(const PlanId& plan);
    void advance(std::size_t index);
    void finish(Run& run);
    [[nodiscard]] static Step stepOf(const Run& run);
    StoreAnswer perform(Run& run, const std::set<Fault>& faults);
    StoreAnswer apply(const ConfirmAction& action);
    void writeRow(const WriteRow& call, StoreAnswer& answer);
    PlanId addPlan(const std::string& caller, const std::shared_ptr<const Configuration>& base);
    void pollKeepers();
    void handle(std::size_t keeper, const std::vector<KeeperAction>& actions, const std::set<Fault>& faults);
    void show(std::size_t keeper);
    void audit();
    void fail(const std::string& text) { this->found.push_back(text); }

    Cell cell;
    Mutation mutation;
    std::mt19937_64 random;
    Time now;
    std::int64_t wallMs = 2000;
    std::map<Step, int> occurrences;
    bool healed = false;
    int storeDownFor = 0;
    std::string rowText;
    std::string olderRowText;
    std::uint64_t revision = 0;
    std::map<std::string, std::string> objects;
    // Writes that take effect after some more turns.
    std::vector<std::pair<int, ConfirmAction>> late;
    std::vector<Run> runs;
    std::vector<Keeper> keepers;
    std::vector<std::string> acceptedPlans;
    std::map<std::string, ConfirmResult> results;
    HistoryChecker checker;
    std::vector<std::string> found;
    std::size_t injectedCount = 0;
};

} // namespace endivetrestle::testing::matrix
