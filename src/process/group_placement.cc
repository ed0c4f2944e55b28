#include "process/group_placement.h"

#include <algorithm>
#include <set>

namespace endivetrestle {

PlacementPolicy::PlacementPolicy(DaemonId self, std::vector<DaemonInfo> alive)
    : self(std::move(self))
    , alive(std::move(alive))
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
    const auto fromLimit = static_cast<std::size_t>(std::max(1, connectionLimit / connectionsPerOwner));
    return std::min(std::max(fromLimit, this->dataCentreCount), this->alive.size());
}

GroupPlacement PlacementPolicy::placementOf(const DatabaseId& group, int connectionLimit) const
{
    GroupPlacement placement;
    const int daemons = std::max(1, static_cast<int>(this->alive.size()));
    const double usable = connectionLimit * (1 - reserveFraction);
    const int equalShare = static_cast<int>(usable / daemons);
    if (equalShare >= minEqualShare || daemons == 1) {
        placement.connectionShare = std::max(1, equalShare);
        return placement;
    }
    const auto count = this->ownerCount(connectionLimit);
    auto owners = this->ownership.owners(group, this->region, count);
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
    for (const auto& owner : owners)
        placement.owners.push_back(owner.id);
    return placement;
}

} // namespace endivetrestle
