#pragma once

#include "base/identifier.h"
#include "process/ownership.h"

#include <cstddef>
#include <vector>

namespace endivetrestle {

// Which daemons hold a group's endpoint connections, as one daemon sees it.
struct GroupPlacement {
    // Whether this daemon runs the group's statements itself.
    bool ownedHere = true;
    // The other owners, the preferred one first; empty if all daemons are owners.
    std::vector<DaemonId> owners;
    // Connections to each endpoint that this daemon may hold.
    int connectionShare = 1;

    bool operator==(const GroupPlacement&) const = default;
};

// Spreads the connections that an endpoint offers over the daemons of a fleet. As long as each daemon gets enough of
// them, all are owners. In a larger fleet an equal share would be a connection or less, with which a daemon can neither
// absorb a burst nor keep a transaction open beside other statements; then a few owners in each data centre hold the
// connections and the others forward to them.
class PlacementPolicy {
public:
    // Smallest equal share with which every daemon is an owner.
    static constexpr int smallestShare = 2;
    // Connections to an endpoint that an owner should have when there are fewer owners than daemons.
    static constexpr int sharePerOwner = 8;
    // Part of an endpoint's connections that owners leave free, so that daemons which restart after a loss of power
    // find room while the endpoint still counts the lost connections.
    static constexpr double reserve = 0.4;

    // The daemons that are alive, this one included.
    PlacementPolicy(DaemonId self, std::vector<DaemonInfo> alive);

    // Placement of a group whose endpoints accept the given number of connections each.
    [[nodiscard]] GroupPlacement placementOf(const DatabaseId& group, int connectionLimit) const;

private:
    [[nodiscard]] std::size_t ownerCount(int connectionLimit) const;

    DaemonId self;
    std::vector<DaemonInfo> alive;
    Ownership ownership;
    DataCentre dataCentre;
    Region region;
    std::size_t dataCentres = 1;
};

} // namespace endivetrestle
