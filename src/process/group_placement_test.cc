#include "process/group_placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace endivetrestle;

namespace {

std::vector<DaemonInfo> fleet(int count, int dataCentres)
{
    std::vector<DaemonInfo> daemons;
    for (int i = 0; i < count; ++i) {
        DaemonInfo info;
        info.id = DaemonId("d" + std::to_string(i));
        info.dataCentre = DataCentre(std::string(1, static_cast<char>('a' + i % dataCentres)));
        daemons.push_back(info);
    }
    return daemons;
}

GroupPlacement placementAt(int daemon, int count, int dataCentres, int limit, const std::string& group = "shop")
{
    const PlacementPolicy policy(DaemonId("d" + std::to_string(daemon)), fleet(count, dataCentres));
    return policy.placementOf(DatabaseId(group), limit);
}

} // namespace

// Guards against forwarding where every daemon can hold enough connections itself.
TEST_CASE("PlacementPolicy, makes every daemon an owner when an equal share is large enough")
{
    const auto placement = placementAt(2, 4, 3, 16);
    CHECK(placement.ownedHere);
    CHECK(placement.owners.empty());
    CHECK(placement.connectionShare == 2);
}

// Guards against daemons that hold all connections of an endpoint: after a power failure the endpoint counts them as
// taken for seconds, and no restarted daemon can connect.
TEST_CASE("PlacementPolicy, leaves a reserve of an endpoint's connections free in every fleet")
{
    for (const int limit : { 16, 28, 40, 55 }) {
        for (const int count : { 1, 2, 3, 4, 5, 9, 24 }) {
            int share = 0;
            for (int i = 0; i < count; ++i) {
                const auto placement = placementAt(i, count, 3, limit);
                share += placement.ownedHere ? placement.connectionShare : 0;
            }
            CAPTURE(limit, count, share);
            CHECK(share > 0);
            CHECK(share <= limit * (1 - PlacementPolicy::reserveFraction));
        }
    }
}

// Guards against giving each of 28 daemons one of 28 connections, which leaves no capacity for bursts or for restarted
// daemons.
TEST_CASE("PlacementPolicy, picks one owner in each data centre when the connections are scarce")
{
    std::set<std::string> owners;
    std::set<std::string> dataCentres;
    int share = 0;
    for (int i = 0; i < 28; ++i) {
        const auto placement = placementAt(i, 28, 3, 28);
        if (!placement.ownedHere)
            continue;
        owners.insert("d" + std::to_string(i));
        dataCentres.insert(fleet(28, 3)[static_cast<std::size_t>(i)].dataCentre.value);
        share += placement.connectionShare;
    }
    CHECK(owners.size() == 3);
    CHECK(dataCentres.size() == 3);
    // The reserve stays free.
    CHECK(share <= 28 * (1 - PlacementPolicy::reserveFraction));
}

// Guards against daemons that disagree on the owners and together exceed the endpoint's connection limit.
TEST_CASE("PlacementPolicy, gives all daemons the same owners")
{
    std::set<std::string> expected;
    for (int i = 0; i < 28; ++i) {
        if (placementAt(i, 28, 3, 28).ownedHere)
            expected.insert("d" + std::to_string(i));
    }
    for (int i = 0; i < 28; ++i) {
        const auto placement = placementAt(i, 28, 3, 28);
        std::set<std::string> seen;
        for (const auto& owner : placement.owners)
            seen.insert(owner.value);
        if (placement.ownedHere)
            seen.insert("d" + std::to_string(i));
        CAPTURE(i);
        CHECK(seen == expected);
    }
}

// Guards against forwarding to another data centre although there is an owner in the same one.
TEST_CASE("PlacementPolicy, prefers the owner of its own data centre")
{
    for (int i = 0; i < 28; ++i) {
        const auto placement = placementAt(i, 28, 3, 28);
        if (placement.ownedHere)
            continue;
        const auto daemons = fleet(28, 3);
        const auto first = std::stoul(placement.owners.front().value.substr(1));
        CHECK(daemons[first].dataCentre == daemons[static_cast<std::size_t>(i)].dataCentre);
    }
}

// Guards against one daemon that owns most groups.
TEST_CASE("PlacementPolicy, spreads the groups over the daemons")
{
    std::map<int, int> owned;
    for (int group = 0; group < 64; ++group) {
        for (int i = 0; i < 28; ++i)
            owned[i] += placementAt(i, 28, 3, 28, "g" + std::to_string(group)).ownedHere ? 1 : 0;
    }
    int most = 0;
    for (const auto& [daemon, count] : owned)
        most = std::max(most, count);
    // 64 groups with 3 owners each over 28 daemons are 6.9 on average.
    CHECK(most <= 16);
}

TEST_CASE("PlacementPolicy, owns every group when no other daemon is alive")
{
    const auto placement = placementAt(0, 1, 1, 1);
    CHECK(placement.ownedHere);
    CHECK(placement.connectionShare == 1);
}

namespace {

GroupPlacement workspacePlacementAt(int daemon, int count, int limit)
{
    const PlacementPolicy policy(DaemonId("d" + std::to_string(daemon)), fleet(count, 3), true);
    return policy.placementOf(DatabaseId("shop"), limit);
}

} // namespace

// Guards against owners with so few connections that each workspace's statement needs a new one.
TEST_CASE("PlacementPolicy, leaves every owner five connections when workspaces are in use")
{
    for (const int limit : { 28, 49, 55, 70, 200 }) {
        for (const int count : { 4, 6, 12, 26, 73 }) {
            const auto placement = workspacePlacementAt(0, count, limit);
            const auto owners = placement.workspaceOwners.size();
            std::set<DataCentre> dataCentres;
            for (const auto& daemon : fleet(count, 3)) {
                if (std::count(placement.workspaceOwners.begin(), placement.workspaceOwners.end(), daemon.id) != 0)
                    dataCentres.insert(daemon.dataCentre);
            }
            int share = 0;
            for (int i = 0; i < count; ++i) {
                const auto other = workspacePlacementAt(i, count, limit);
                CHECK(other.workspaceOwners == placement.workspaceOwners);
                if (other.ownedHere)
                    share = other.connectionShare;
            }
            CAPTURE(limit, count, owners, share);
            CHECK(dataCentres.size() == 3);
            CHECK((share >= PlacementPolicy::minWorkspaceShare || owners == 3));
            CHECK(share * static_cast<int>(owners) <= limit * (1 - PlacementPolicy::reserveFraction));
        }
    }
}

// Guards against a change of placement in deployments without workspaces.
TEST_CASE("PlacementPolicy, names no owners for workspaces when none are in use")
{
    CHECK(placementAt(0, 4, 3, 16).workspaceOwners.empty());
    CHECK(placementAt(0, 26, 3, 70).workspaceOwners.empty());
}
