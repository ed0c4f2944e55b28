#pragma once

#include "base/identifier.h"
#include "process/membership.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace endivetrestle {

// Computes the owners of a database by rendezvous hashing. All daemons with the same view compute the same ranks.
// Daemons of another region are used only if all daemons of the database's region are dead. Within a region, alive
// daemons come first, then suspected ones, then leaving ones. Within each of these states, daemons in a data centre
// that has no owner of a lower rank come first, ordered by descending weight. When a daemon joins or leaves, owners
// change only for databases for which it holds or gets a rank.
//
// If all daemons state the capacities of their hosts and these differ by a factor of minCapacityRatio, a daemon's
// chance to be chosen is proportional to its capacity, and a change of one capacity changes only the databases that
// this daemon gains or loses. Otherwise all daemons count alike, also while a daemon of an earlier release, which
// cannot weigh them, is alive.
//
// Example:
//     Ownership ownership(2);
//     ownership.update(membership.view());
//     const auto owners = ownership.owners(database, region); // owners[0] is active
class Ownership {
public:
    // Smaller differences are not worth moving owners for.
    static constexpr double minCapacityRatio = 2;

    explicit Ownership(std::size_t ownersPerDatabase);

    // Replaces the view. Call when Membership::sequence() has changed.
    void update(const std::vector<DaemonInfo>& view);

    // Returns the owners by rank, at most ownersPerDatabase. Empty if all known daemons are dead.
    [[nodiscard]] std::vector<DaemonInfo> owners(const DatabaseId& database, const Region& region) const;
    // Returns at most ownerCount owners instead, for a database that has its own number of owners.
    [[nodiscard]] std::vector<DaemonInfo> owners(
        const DatabaseId& database, const Region& region, std::size_t ownerCount) const;
    // Returns the rank of a daemon, or -1 if it is not an owner.
    [[nodiscard]] int rankOf(const DaemonId& daemon, const DatabaseId& database, const Region& region) const;

    // Weight of a daemon for a database; the highest is rank 0. Stable across processes and releases.
    static std::uint64_t weight(const DaemonId& daemon, const DatabaseId& database);
    // Whether the capacities of the hosts take effect.
    [[nodiscard]] bool weighsCapacity() const { return this->capacityWeighed; }

private:
    // Daemons by state in the order of preference: alive, suspected, leaving.
    using Tiers = std::array<std::vector<DaemonInfo>, 3>;

    void appendOwners(
        const Tiers& tiers, const DatabaseId& database, std::size_t ownerCount, std::vector<DaemonInfo>& chosen) const;

    std::size_t ownersPerDatabase;
    std::map<Region, Tiers> byRegion;
    bool capacityWeighed = false;
};

} // namespace endivetrestle
