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
    std::set<DataCentre> places;
    for (const auto& daemon : this->alive) {
        places.insert(daemon.dataCentre);
        if (daemon.id != this->self)
            continue;
        this->dataCentre = daemon.dataCentre;
        this->region = daemon.region;
    }
    this->dataCentres = std::max<std::size_t>(1, places.size());
}

std::size_t PlacementPolicy::ownerCount(int connectionLimit) const
{
    const auto wanted = static_cast<std::size_t>(std::max(1, connectionLimit / sharePerOwner));
    return std::min(std::max(wanted, this->dataCentres), this->alive.size());
}

GroupPlacement PlacementPolicy::placementOf(const DatabaseId& group, int connectionLimit) const
{
    GroupPlacement placement;
    const int daemons = std::max(1, static_cast<int>(this->alive.size()));
    if (connectionLimit / daemons >= smallestShare || daemons == 1) {
        placement.connectionShare = connectionLimit / daemons;
        return placement;
    }
    const auto count = this->ownerCount(connectionLimit);
    auto owners = this->ownership.owners(group, this->region, count);
    const auto isSelf = [&](const DaemonInfo& owner) { return owner.id == this->self; };
    placement.ownedHere = std::any_of(owners.begin(), owners.end(), isSelf);
    if (placement.ownedHere) {
        const double usable = connectionLimit * (1 - reserve);
        placement.connectionShare = std::max(1, static_cast<int>(usable / static_cast<double>(count)));
        owners.erase(std::remove_if(owners.begin(), owners.end(), isSelf), owners.end());
    }
    // Owners of the same data centre come first; among equals, daemons differ in their order, so that the load spreads.
    const DatabaseId ownOrder(group.value + "/" + this->self.value);
    std::stable_sort(owners.begin(), owners.end(), [&](const DaemonInfo& left, const DaemonInfo& right) {
        const bool leftNear = left.dataCentre == this->dataCentre;
        const bool rightNear = right.dataCentre == this->dataCentre;
        if (leftNear != rightNear)
            return leftNear;
        return Ownership::weight(left.id, ownOrder) > Ownership::weight(right.id, ownOrder);
    });
    for (const auto& owner : owners)
        placement.owners.push_back(owner.id);
    return placement;
}

} // namespace endivetrestle
