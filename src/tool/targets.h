#pragma once

#include "tool/experiment.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace endivetrestle {

// One target of docs/design.md with what was measured for it.
struct TargetRow {
    std::string target;
    // Bound as the design page states it.
    std::string bound;
    std::string measured;
    bool met = false;
};

// Settings of the two deployments for measureTargets().
struct TargetOptions {
    ExperimentOptions saengchan;
    ExperimentOptions prism;
    // Called before each experiment; not called if empty.
    std::function<void(const std::string&)> onProgress;
};

// Runs the experiments of the targets one after the other and judges each by the bound of docs/design.md.
std::vector<TargetRow> measureTargets(const TargetOptions& options);

nlohmann::json toJson(const std::vector<TargetRow>& rows);
std::string toTable(const std::vector<TargetRow>& rows);

} // namespace endivetrestle
