#pragma once

#include "base/identifier.h"
#include "process/membership.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace endivetrestle {

// Computes the daemons that own a database by rendezvous hashing. Every daemon with the same view gets the same ranks.
// Daemons of another region are used only if the database's region has none that is not dead. Within the region the
// order is alive, suspected, leaving; within these, data centres that hold no earlier rank first, and the highest hash
// first. When a daemon comes or goes, only
// databases change for which it holds or gets a rank.
//
// Example:
//     Ownership ownership(2);
//     ownership.update(membership.view());
//     const auto owners = ownership.owners(database, region); // owners[0] is active
class Ownership {
public:
    explicit Ownership(std::size_t ownersPerDatabase);

    // Replaces the view. Call when Membership::sequence() has changed.
    void update(const std::vector<DaemonInfo>& view);

    // Daemons by rank, at most ownersPerDatabase. Empty if no daemon is known that is not dead.
    [[nodiscard]] std::vector<DaemonInfo> owners(const DatabaseId& database, const Region& region) const;
    // The same with a number of owners of its own for the database.
    [[nodiscard]] std::vector<DaemonInfo> owners(
        const DatabaseId& database, const Region& region, std::size_t ownerCount) const;
    // Rank of a daemon, or -1 if it is no owner.
    [[nodiscard]] int rankOf(const DaemonId& daemon, const DatabaseId& database, const Region& region) const;

    // Weight of a daemon for a database; the highest is rank 0. Stable across processes and releases.
    static std::uint64_t weight(const DaemonId& daemon, const DatabaseId& database);

private:
    // Daemons by state in the order of preference: alive, suspected, leaving.
    using Tiers = std::array<std::vector<DaemonInfo>, 3>;

    static void pick(
        const Tiers& tiers, const DatabaseId& database, std::size_t ownerCount, std::vector<DaemonInfo>& chosen);

    std::size_t count;
    std::map<Region, Tiers> byRegion;
};

} // namespace endivetrestle
