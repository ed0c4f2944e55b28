// What the controller does for the lists of commit holders, and what it tells of a replacement that waits for one.
#include "process/fleet_controller.h"

#include <algorithm>

namespace endivetrestle {

void FleetController::onEndpointsChanged(const std::set<DatabaseId>& groups)
{
    const bool any = std::any_of(
        groups.begin(), groups.end(), [&](const DatabaseId& group) { return this->hooks.syncReplicas(group) > 0; });
    if (!any || !this->fleetTableLoaded || this->stopping || !this->lease.isValid(this->now()))
        return;
    for (const auto& watched : this->hooks.watchedGroups()) {
        if (groups.count(watched.id) != 0)
            this->holderLists.update(watched);
    }
}

HolderListContext FleetController::holderListContext()
{
    return HolderListContext {
        this->store,
        this->hooks,
        this->now,
        [this] { return this->era; },
        [this] { return this->fleetTableLoaded; },
        [this](const DatabaseId& group) {
            const auto found = this->rows.find(group);
            return found == this->rows.end() ? nullptr : &found->second;
        },
        [this](const WatchedGroup& group) { return this->ownRank(group); },
        [this](const PrimaryRow& row) { this->publishRow(row); },
        [this] { this->readFleet(); },
    };
}

// Applies a row of this daemon that changes neither primary nor term, and tells those that use the group.
void FleetController::publishRow(const PrimaryRow& row)
{
    this->applyRow(row);
    const auto users = this->hooks.daemonsUsingPrimary(row.group);
    for (const auto& [daemon, lease] : this->peers) {
        if (users.empty() || std::find(users.begin(), users.end(), daemon) != users.end())
            this->hooks.announce(lease.address, { row });
    }
}

std::size_t FleetController::awaitedHolders(const DatabaseId& group) const
{
    const auto found = this->missingHolders.find(group);
    return found == this->missingHolders.end() ? 0 : found->second;
}

Duration FleetController::primaryMissingFor(const DatabaseId& group) const
{
    const auto found = this->replacingSince.find(group);
    if (found == this->replacingSince.end())
        return Duration::zero();
    // One that was taken from a copy of the store has no time of its own.
    const auto since = found->second == Time() ? this->eraReadAt.value_or(this->now()) : found->second;
    return this->now() - since;
}

} // namespace endivetrestle
