// Distributes the workspaces of a deployment of 26 daemons over the owners of its groups, and compares what each owner
// has to carry, and what moves when a daemon leaves, with docs/design/shared-endpoints.md.
#include "process/group_placement.h"
#include "process/workspace_owners.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr int daemonCount = 26;
constexpr int groupCount = 8;
constexpr int workspaceCount = 74;
constexpr int connectionLimit = 70;
constexpr double operationsPerSecond = 937;
// Time for which an operation holds its connection: a transaction with a pause of the client.
constexpr double connectionTimeS = 0.05;
constexpr Time now { 1000s };

std::vector<DaemonInfo> fleet()
{
    std::vector<DaemonInfo> daemons;
    for (int i = 0; i < daemonCount; ++i) {
        DaemonInfo info;
        info.id = DaemonId("daemon-" + std::to_string(i));
        info.dataCentre = DataCentre(std::string(1, static_cast<char>('a' + i % 3)));
        daemons.push_back(info);
    }
    return daemons;
}

// Operations per second of a workspace in one group; the k-th workspace has a weight of 1 / k^1.2.
double rateOf(int workspace)
{
    double sum = 0;
    for (int k = 1; k <= workspaceCount; ++k)
        sum += std::pow(k, -1.2);
    return operationsPerSecond / groupCount * std::pow(workspace + 1, -1.2) / sum;
}

using Cell = std::pair<int, int>; // Group and workspace.

struct Distribution {
    std::map<int, std::vector<DaemonId>> owners;
    std::map<Cell, DaemonId> first;
    int connectionShare = 0;
};

DatabaseId groupAt(int group) { return DatabaseId("group-" + std::to_string(group)); }

// Distribution as a daemon outside the owners sees it.
Distribution distribute(std::vector<DaemonInfo> daemons)
{
    Distribution result;
    WorkspaceOwners order { DaemonId("outside") };
    for (int group = 0; group < groupCount; ++group) {
        for (const auto& daemon : daemons) {
            const auto placement
                = PlacementPolicy(daemon.id, daemons, true).placementOf(groupAt(group), connectionLimit);
            result.owners[group] = placement.workspaceOwners;
            if (placement.ownedHere)
                result.connectionShare = placement.connectionShare;
        }
        order.setOwners(groupAt(group), result.owners[group]);
        for (int workspace = 0; workspace < workspaceCount; ++workspace) {
            const WorkspaceId id("workspace-" + std::to_string(workspace));
            result.first[{ group, workspace }] = order.targets(groupAt(group), id, false, now).front();
        }
    }
    return result;
}

struct OwnerLoad {
    double rate = 0;
    int workspaces = 0;
};

} // namespace

// Guards against owners that lack connections at the usual load, and against one daemon that serves most workspaces.
TEST_CASE("Placement, spreads 74 workspaces over the owners so that their connections suffice")
{
    const auto spread = distribute(fleet());
    std::map<DaemonId, double> rates;
    std::map<std::pair<DaemonId, int>, OwnerLoad> loads;
    for (const auto& [cell, owner] : spread.first) {
        rates[owner] += rateOf(cell.second);
        auto& load = loads[{ owner, cell.first }];
        load.rate += rateOf(cell.second);
        ++load.workspaces;
    }
    double busiest = 0;
    for (const auto& [owner, rate] : rates)
        busiest = std::max(busiest, rate / (operationsPerSecond / daemonCount));
    double connections = 0;
    int workspaces = 0;
    for (const auto& [owner, load] : loads) {
        connections = std::max(connections, load.rate * connectionTimeS);
        workspaces = std::max(workspaces, load.workspaces);
    }
    // At eight times its usual rate, the largest workspace needs more than one owner can give.
    const double surge = 8 * rateOf(0) * connectionTimeS;
    CAPTURE(busiest, rates.size(), connections, workspaces, surge, spread.connectionShare);
    CHECK(spread.connectionShare >= PlacementPolicy::minWorkspaceShare);
    // One group of the largest workspace alone is 0.9 times the mean of a daemon; a few of them may meet at one.
    CHECK(busiest < 4);
    // Even if all statements went to the primary.
    CHECK(connections <= spread.connectionShare);
    // A workspace is at one owner of eight instead of all, so an owner serves about nine of a group, not 74.
    CHECK(workspaces <= 20);
    CHECK(surge > spread.connectionShare);
    CHECK(surge <= 3 * spread.connectionShare);
}

// Guards against connections that are opened anew at other owners whenever a daemon stops.
TEST_CASE("Placement, moves only the workspaces of a leaving daemon and those of the owner in its place")
{
    const auto all = fleet();
    const auto before = distribute(all);
    std::size_t mostGroups = 0;
    std::size_t mostCells = 0;
    std::size_t cells = 0;
    for (const auto& leaving : all) {
        auto rest = all;
        std::erase_if(rest, [&](const DaemonInfo& info) { return info.id == leaving.id; });
        const auto after = distribute(rest);
        std::set<int> movedGroups;
        for (const auto& [group, owners] : before.owners) {
            if (owners != after.owners.at(group))
                movedGroups.insert(group);
            const bool owned = std::find(owners.begin(), owners.end(), leaving.id) != owners.end();
            CHECK((movedGroups.count(group) != 0) == owned);
        }
        std::size_t movedCells = 0;
        for (const auto& [cell, owner] : before.first) {
            const auto& next = after.first.at(cell);
            if (next == owner)
                continue;
            ++movedCells;
            const auto& old = before.owners.at(cell.first);
            const bool isNew = std::find(old.begin(), old.end(), next) == old.end();
            CHECK((owner == leaving.id || isNew));
        }
        mostGroups = std::max(mostGroups, movedGroups.size());
        mostCells = std::max(mostCells, movedCells);
        cells += movedCells;
    }
    const double meanShare = static_cast<double>(cells) / daemonCount / (groupCount * workspaceCount);
    CAPTURE(mostGroups, mostCells, meanShare);
    CHECK(mostGroups < groupCount);
    // A daemon owns 8/26 of the groups and serves an eighth of each; its successor takes an eighth too: 7.7 %.
    CHECK(meanShare < 0.1);
}
