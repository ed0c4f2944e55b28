#pragma once

#include "base/clock.h"
#include "base/identifier.h"

#include <map>

namespace endivetrestle {

// Recent rate of statements of each workspace at one endpoint, with exponential decay. It tells which connections are
// likely to be needed again soon.
class WorkspaceDemand {
public:
    // Time after which the weight of a statement has fallen to 1/e. Long enough that a workspace with a statement every
    // few seconds is told from one that has left.
    static constexpr Duration timeConstant = std::chrono::seconds(20);

    void add(const WorkspaceId& workspace, Time now);
    [[nodiscard]] double perSecond(const WorkspaceId& workspace, Time now) const;
    // Forgets workspaces whose rate has decayed to almost nothing.
    void prune(Time now);
    [[nodiscard]] std::size_t size() const { return this->rates.size(); }

private:
    struct Rate {
        double perSecond = 0;
        Time updatedAt;
    };

    static double decayed(const Rate& rate, Time now);

    std::map<WorkspaceId, Rate> rates;
};

} // namespace endivetrestle
