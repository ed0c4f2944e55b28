#include "process/group_placement.h"

#include <algorithm>
#include <set>

namespace endivetrestle {

namespace {

// Connections of an endpoint without the reserve.
int usableConnections(int connectionLimit)
{
    return static_cast<int>(connectionLimit * (1 - PlacementPolicy::reserveFraction));
}

std::vector<DaemonId> sorted(std::vector<DaemonId> ids)
{
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<DaemonId> idsOf(const std::vector<DaemonInfo>& daemons)
{
    std::vector<DaemonId> ids;
    ids.reserve(daemons.size());
    for (const auto& daemon : daemons)
        ids.push_back(daemon.id);
    return ids;
}

} // namespace

PlacementPolicy::PlacementPolicy(DaemonId self, std::vector<DaemonInfo> alive, bool workspacesInUse)
    : self(std::move(self))
    , alive(std::move(alive))
    , workspacesInUse(workspacesInUse)
    , ownership(this->alive.size())
{
    this->ownership.update(this->alive);
    std::set<DataCentre> distinctDataCentres;
    for (const auto& daemon : this->alive) {
        distinctDataCentres.insert(daemon.dataCentre);
        if (daemon.id != this->self)
            continue;
        this->dataCentre = daemon.dataCentre;
        this->region = daemon.region;
    }
    this->dataCentreCount = std::max<std::size_t>(1, distinctDataCentres.size());
}

std::size_t PlacementPolicy::ownerCount(int connectionLimit) const
{
    const int byLimit = this->workspacesInUse ? usableConnections(connectionLimit) / minWorkspaceShare
                                              : connectionLimit / connectionsPerOwner;
    const auto fromLimit = static_cast<std::size_t>(std::max(1, byLimit));
    return std::min(std::max(fromLimit, this->dataCentreCount), this->alive.size());
}

GroupPlacement PlacementPolicy::placementOf(const DatabaseId& group, int connectionLimit) const
{
    GroupPlacement placement;
    const int daemons = std::max(1, static_cast<int>(this->alive.size()));
    const double usable = connectionLimit * (1 - reserveFraction);
    const int equalShare = static_cast<int>(usable / daemons);
    if (equalShare >= (this->workspacesInUse ? minWorkspaceShare : minEqualShare) || daemons == 1) {
        placement.connectionShare = std::max(1, equalShare);
        if (this->workspacesInUse)
            placement.workspaceOwners = sorted(idsOf(this->alive));
        return placement;
    }
    const auto count = this->ownerCount(connectionLimit);
    auto owners = this->ownership.owners(group, this->region, count);
    if (this->workspacesInUse)
        placement.workspaceOwners = sorted(idsOf(owners));
    const auto isSelf = [&](const DaemonInfo& owner) { return owner.id == this->self; };
    placement.ownedHere = std::any_of(owners.begin(), owners.end(), isSelf);
    if (placement.ownedHere) {
        placement.connectionShare = std::max(1, static_cast<int>(usable / static_cast<double>(count)));
        owners.erase(std::remove_if(owners.begin(), owners.end(), isSelf), owners.end());
    }
    // Owners in the same data centre come first. The order among the rest differs between daemons, which spreads the
    // load.
    const DatabaseId daemonSpecificKey(group.value + "/" + this->self.value);
    std::stable_sort(owners.begin(), owners.end(), [&](const DaemonInfo& left, const DaemonInfo& right) {
        const bool leftIsLocal = left.dataCentre == this->dataCentre;
        const bool rightIsLocal = right.dataCentre == this->dataCentre;
        if (leftIsLocal != rightIsLocal)
            return leftIsLocal;
        return Ownership::weight(left.id, daemonSpecificKey) > Ownership::weight(right.id, daemonSpecificKey);
    });
    placement.owners = idsOf(owners);
    return placement;
}

} // namespace endivetrestle
