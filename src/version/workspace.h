#pragma once

#include "base/identifier.h"

#include <optional>
#include <string>
#include <vector>

namespace endivetrestle {

// Limit on the operations of a workspace, over all daemons together.
struct WorkspaceQuota {
    double operationsPerSecond = 0;
    // Operations beyond the rate that may come at once.
    double burst = 0;

    bool operator==(const WorkspaceQuota&) const = default;
};

// One customer of the operators as the configuration declares it.
struct Workspace {
    WorkspaceId id;
    // Secrets with which clients name the workspace. They must not reach logs, metrics, endpoints or other daemons.
    std::vector<std::string> keys;
    // No value if the workspace has no limit.
    std::optional<WorkspaceQuota> quota;

    bool operator==(const Workspace&) const = default;
};

} // namespace endivetrestle
