#pragma once

#include "base/identifier.h"
#include "process/overload_spread.h"
#include "request/scheduled_statement.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Whether a result shows that the owner that ran the statement has too few connections for its load. Refusals for other
// reasons, for example while a primary is replaced, do not.
bool showsOverload(const StatementResult& result, Duration objective, Duration elapsed);

// Order of a group's owners for each workspace. It is the same at all daemons, so that one owner serves a small
// workspace and its few connections are reused. An order is computed by rendezvous hashing over group and workspace and
// kept until the group's owners change.
//
// Example:
//     WorkspaceOwners owners(self);
//     owners.setOwners(group, placement.workspaceOwners);
//     const auto targets = owners.targets(group, workspace, true, now); // empty: this daemon runs the statement
class WorkspaceOwners {
public:
    // Maximum number of orders kept; beyond it all are dropped and computed again. An order takes about 300 bytes.
    static constexpr std::size_t maxOrders = 8192;
    // Number of other owners to which an owner, and a daemon that is none, sends a statement before it runs the
    // statement itself. One that is none has no connections, and the endpoints have few to spare.
    static constexpr std::size_t maxTriedByOwner = 2;
    static constexpr std::size_t maxTriedByOther = 4;

    explicit WorkspaceOwners(DaemonId self);

    // Sets the owners of a group, this daemon included if it is one. Returns whether they have changed.
    bool setOwners(const DatabaseId& group, const std::vector<DaemonId>& owners);
    // Returns the other daemons to which a statement is sent, in order, before this one runs it. Empty if it runs it at
    // once. `canRun` tells whether this daemon is an owner that has access to the endpoints.
    std::vector<DaemonId> targets(const DatabaseId& group, const WorkspaceId& workspace, bool canRun, Time now);
    // Records how a statement went at an owner; an empty name stands for this daemon. Returns whether the workspace's
    // statements begin to go to the second owner as well.
    bool report(
        const DatabaseId& group, const WorkspaceId& workspace, const DaemonId& owner, bool overloaded, Time now);

    // Number of orders kept at present.
    [[nodiscard]] std::size_t size() const { return this->orders; }

private:
    struct Order {
        std::vector<DaemonId> owners;
        OverloadSpread spread;
    };
    struct Group {
        std::vector<DaemonId> owners;
        std::unordered_map<WorkspaceId, Order> orders;
    };

    Order& orderOf(const DatabaseId& id, Group& group, const WorkspaceId& workspace);

    DaemonId self;
    std::map<DatabaseId, Group> groups;
    std::size_t orders = 0;
};

} // namespace endivetrestle
