#pragma once

#include "base/identifier.h"
#include "process/membership.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Computes the daemons that own a database by rendezvous hashing. Every daemon with the same view gets the same ranks.
// Order: daemons of the database's region before others; alive before suspected before leaving, dead ones never; within
// these, data centres that hold no earlier rank first, and the highest hash first. When a daemon comes or goes, only
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
    // Rank of a daemon, or -1 if it is no owner.
    [[nodiscard]] int rankOf(const DaemonId& daemon, const DatabaseId& database, const Region& region) const;

    // Weight of a daemon for a database; the highest is rank 0. Stable across processes and releases.
    static std::uint64_t weight(const DaemonId& daemon, const DatabaseId& database);

private:
    struct Group;
    void pick(
        const std::vector<DaemonInfo>& candidates, const DatabaseId& database, std::vector<DaemonInfo>& chosen) const;

    std::size_t count;
    // Daemons by region and then by state, in the order of preference.
    std::unordered_map<Region, std::vector<std::vector<DaemonInfo>>> byRegion;
};

} // namespace endivetrestle
