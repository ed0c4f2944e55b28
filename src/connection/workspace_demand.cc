#include "connection/workspace_demand.h"

#include <cmath>

namespace endivetrestle {

namespace {

// Rate below which a workspace is forgotten: one statement that is 80 s old.
constexpr double negligiblePerSecond = 0.001;

} // namespace

double WorkspaceDemand::decayed(const Rate& rate, Time now)
{
    return rate.perSecond * std::exp(-toSeconds(now - rate.updatedAt) / toSeconds(timeConstant));
}

void WorkspaceDemand::add(const WorkspaceId& workspace, Time now)
{
    auto& rate = this->rates[workspace];
    rate = { decayed(rate, now) + 1 / toSeconds(timeConstant), now };
}

double WorkspaceDemand::perSecond(const WorkspaceId& workspace, Time now) const
{
    const auto found = this->rates.find(workspace);
    return found == this->rates.end() ? 0 : decayed(found->second, now);
}

void WorkspaceDemand::prune(Time now)
{
    std::erase_if(this->rates, [&](const auto& entry) { return decayed(entry.second, now) < negligiblePerSecond; });
}

} // namespace endivetrestle
