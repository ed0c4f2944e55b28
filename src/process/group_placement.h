#pragma once

#include "base/identifier.h"
#include "process/ownership.h"

#include <cstddef>
#include <vector>

namespace endivetrestle {

// Which daemons hold the connections to a group's endpoints, from the point of view of one daemon.
struct GroupPlacement {
    // Whether this daemon runs the group's statements itself.
    bool ownedHere = true;
    // The other owners in order of preference; empty if all daemons are owners.
    std::vector<DaemonId> owners;
    // Number of connections to each endpoint that this daemon may hold.
    int connectionShare = 1;
    // All owners by name, this daemon included if it is one; WorkspaceOwners orders them for each workspace. Empty if
    // no workspaces are in use.
    std::vector<DaemonId> workspaceOwners {};

    bool operator==(const GroupPlacement&) const = default;
};

// Distributes the connections that an endpoint accepts over the daemons of a fleet. All daemons are owners as long as
// an equal share is large enough. In a larger fleet an equal share would be one connection or less, with which a daemon
// can neither absorb a burst nor run other statements beside an open transaction. Then a few owners in each data centre
// hold the connections, and the other daemons forward statements to them.
class PlacementPolicy {
public:
    // Minimum equal share of connections for which every daemon is an owner.
    static constexpr int minEqualShare = 2;
    // Target number of connections to an endpoint for each owner if not every daemon is an owner.
    static constexpr int connectionsPerOwner = 8;
    // Minimum number of connections to an endpoint for each owner if workspaces are in use. Each of them belongs to one
    // workspace, so that all daemons are owners only if an equal share is at least this.
    static constexpr int minWorkspaceShare = 5;
    // Fraction of an endpoint's connections that the shares leave free, so that daemons which restart after a power
    // failure can connect while the endpoint still counts their lost connections.
    static constexpr double reserveFraction = 0.4;

    // `alive` lists the live daemons, including this one.
    PlacementPolicy(DaemonId self, std::vector<DaemonInfo> alive, bool workspacesInUse = false);

    // Returns the placement of a group whose endpoints accept `connectionLimit` connections each.
    [[nodiscard]] GroupPlacement placementOf(const DatabaseId& group, int connectionLimit) const;

private:
    [[nodiscard]] std::size_t ownerCount(int connectionLimit) const;

    DaemonId self;
    std::vector<DaemonInfo> alive;
    bool workspacesInUse;
    Ownership ownership;
    DataCentre dataCentre;
    Region region;
    std::size_t dataCentreCount = 1;
};

} // namespace endivetrestle
