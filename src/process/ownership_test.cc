#include "process/ownership.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>

using namespace endivetrestle;

namespace {

// Daemons spread evenly over regions, with three data centres in each.
std::vector<DaemonInfo> fleet(std::size_t daemons, std::size_t regions)
{
    std::vector<DaemonInfo> view;
    for (std::size_t index = 0; index < daemons; ++index) {
        const auto region = "region-" + std::to_string(index % regions);
        const auto centre = region + "-" + std::to_string(index / regions % 3);
        view.push_back({ DaemonId("daemon-" + std::to_string(index)), { "10.0.0.1", 7000 }, DataCentre(centre),
            Region(region), 1, DaemonState::Alive });
    }
    return view;
}

DatabaseId databaseAt(std::size_t index) { return DatabaseId("database-" + std::to_string(index)); }

Region regionAt(std::size_t index, std::size_t regions) { return Region("region-" + std::to_string(index % regions)); }

std::vector<DaemonId> idsOf(const std::vector<DaemonInfo>& owners)
{
    std::vector<DaemonId> ids;
    for (const auto& owner : owners)
        ids.push_back(owner.id);
    return ids;
}

Ownership ownershipOf(const std::vector<DaemonInfo>& view)
{
    Ownership ownership(2);
    ownership.update(view);
    return ownership;
}

// Returns the smallest load for which the union bound on the probability that any bin exceeds it, when balls are thrown
// at random, is at most the limit: bins * P(Binomial(balls, 1 / bins) > load) <= limit.
std::size_t unionBound(std::size_t balls, std::size_t bins, double limit)
{
    const auto n = static_cast<double>(balls);
    const auto p = 1.0 / static_cast<double>(bins);
    double tail = 1;
    for (std::size_t load = 0;; ++load) {
        const auto k = static_cast<double>(load);
        const auto choose = std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
        tail -= std::exp(choose + k * std::log(p) + (n - k) * std::log1p(-p));
        if (static_cast<double>(bins) * tail <= limit)
            return load;
    }
}

} // namespace

// Guards against failing over databases whose owners did not change when a daemon dies or joins.
TEST_CASE("Ownership, changes the owners only of affected databases when one daemon leaves or joins")
{
    rc::prop("databases keep their owners", [] {
        const auto regions = *rc::gen::inRange<std::size_t>(1, 4);
        const auto all = fleet(*rc::gen::inRange<std::size_t>(2, 60), regions);
        const auto gone = *rc::gen::inRange<std::size_t>(0, all.size());
        auto fewer = all;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        const auto before = ownershipOf(all);
        const auto after = ownershipOf(fewer);
        for (std::size_t index = 0; index < 100; ++index) {
            const auto old = idsOf(before.owners(databaseAt(index), regionAt(index, regions)));
            const auto now = idsOf(after.owners(databaseAt(index), regionAt(index, regions)));
            const bool owned = std::find(old.begin(), old.end(), all[gone].id) != old.end();
            if (!owned)
                RC_ASSERT(old == now);
            else if (old[0] != all[gone].id)
                RC_ASSERT(old[0] == now[0]);
        }
    });
}

// Guards against a hash that gives some daemons far more databases than the mean at the planned fleet size. With random
// placement, the probability that any daemon exceeds the bound is at most 0.001.
TEST_CASE("Ownership, stays within the bound of random placement with 1600 daemons and 3600 databases")
{
    constexpr std::size_t daemons = 1600;
    constexpr std::size_t databases = 3600;
    constexpr std::size_t regions = 1;
    const auto ownership = ownershipOf(fleet(daemons, regions));
    std::map<DaemonId, std::size_t> active;
    std::map<DaemonId, std::size_t> standby;
    for (std::size_t index = 0; index < databases; ++index) {
        const auto owners = ownership.owners(databaseAt(index), regionAt(index, regions));
        ++active[owners[0].id];
        ++standby[owners[1].id];
    }
    const auto largest = [](const auto& loads) {
        std::size_t load = 0;
        for (const auto& [id, databasesOfDaemon] : loads)
            load = std::max(load, databasesOfDaemon);
        return load;
    };
    const auto bound = unionBound(databases, daemons, 0.001);
    CAPTURE(largest(active), largest(standby), bound);
    CHECK(largest(active) <= bound);
    CHECK(largest(standby) <= bound);
    // Expected part of daemons without a database: e^-2.25 = 10.5 %; five standard deviations of it are 4 %.
    CHECK(std::abs(static_cast<double>(daemons - active.size()) / daemons - std::exp(-2.25)) < 0.04);
}

// Guards against both owners being lost with one data centre, and against owners far from the database.
TEST_CASE("Ownership, chooses owners in different data centres of the database's region")
{
    const auto ownership = ownershipOf(fleet(28, 7));
    for (std::size_t index = 0; index < 100; ++index) {
        const auto owners = ownership.owners(databaseAt(index), regionAt(index, 7));
        REQUIRE(owners.size() == 2);
        CHECK(owners[0].dataCentre != owners[1].dataCentre);
        CHECK(owners[0].region == regionAt(index, 7));
        CHECK(owners[1].region == regionAt(index, 7));
    }
}

// Guards against owners that are about to stop, and against using another region while the own one still has daemons.
TEST_CASE("Ownership, ranks suspected and leaving daemons last when others are alive")
{
    auto view = fleet(6, 2);
    for (auto& info : view)
        info.state = info.region == Region("region-0") ? DaemonState::Leaving : DaemonState::Alive;
    view[0].state = DaemonState::Alive;
    view[2].state = DaemonState::Suspected;
    for (std::size_t index = 0; index < 20; ++index) {
        const auto owners = idsOf(ownershipOf(view).owners(databaseAt(index), Region("region-0")));
        CHECK(owners == std::vector<DaemonId> { view[0].id, view[2].id });
    }
    for (auto& info : view)
        info.state = info.region == Region("region-0") ? DaemonState::Dead : DaemonState::Alive;
    const auto elsewhere = ownershipOf(view).owners(databaseAt(0), Region("region-0"));
    REQUIRE(elsewhere.size() == 2);
    CHECK(elsewhere[0].region == Region("region-1"));
    CHECK(ownershipOf(view).rankOf(elsewhere[1].id, databaseAt(0), Region("region-0")) == 1);
    CHECK(ownershipOf(view).rankOf(view[0].id, databaseAt(0), Region("region-0")) == -1);
    CHECK(ownershipOf({}).owners(databaseAt(0), Region("region-0")).empty());
}

// Guards against a changed hash, which would move every database during a rolling upgrade.
TEST_CASE("Ownership, keeps weights when the library changes")
{
    CHECK(Ownership::weight(DaemonId("prism-1"), DatabaseId("ledger-1")) == 13057595910913481424U);
}

namespace {

std::vector<DaemonInfo> fleetWith(std::size_t daemons, const std::function<HostCapacity(std::size_t)>& capacity)
{
    auto view = fleet(daemons, 1);
    for (std::size_t index = 0; index < view.size(); ++index)
        view[index].capacity = capacity(index);
    return view;
}

HostCapacity smallOrLarge(std::size_t index) { return hostCapacity(index % 5 == 0 ? 0.5 : 0.12, 200); }

std::vector<DaemonId> ownersIn(const std::vector<DaemonInfo>& view, std::size_t index, std::size_t count)
{
    return idsOf(ownershipOf(view).owners(databaseAt(index), Region("region-0"), count));
}

} // namespace

// Guards against groups that move when hosts begin to state capacities that make no difference.
TEST_CASE("Ownership, chooses the owners of a fleet without capacities when these are alike, few or not all stated")
{
    const auto plain = fleet(26, 1);
    const auto alike = fleetWith(26, [](std::size_t) { return hostCapacity(0.12, 10); });
    const auto similar = fleetWith(26, [](std::size_t index) { return hostCapacity(index % 2 ? 0.28 : 0.5, 200); });
    // A daemon of an earlier release states nothing and weighs nothing.
    const auto mixed
        = fleetWith(26, [](std::size_t index) { return index == 7 ? HostCapacity {} : smallOrLarge(index); });
    for (std::size_t index = 0; index < 200; ++index) {
        const auto expected = ownersIn(plain, index, 8);
        CHECK(ownersIn(alike, index, 8) == expected);
        CHECK(ownersIn(similar, index, 8) == expected);
        CHECK(ownersIn(mixed, index, 8) == expected);
    }
}

// Guards against hosts with a quarter of the capacity that own as many databases as the others.
TEST_CASE("Ownership, gives hosts databases in proportion to their capacities")
{
    const auto view = fleetWith(50, smallOrLarge);
    const auto ownership = ownershipOf(view);
    REQUIRE(ownership.weighsCapacity());
    std::map<HostCapacity, std::size_t, bool (*)(const HostCapacity&, const HostCapacity&)> owned(
        [](const auto& left, const auto& right) { return left.processorMilli < right.processorMilli; });
    constexpr std::size_t databases = 20000;
    for (std::size_t index = 0; index < databases; ++index)
        ++owned[ownership.owners(databaseAt(index), Region("region-0"), 1).front().capacity];
    // 10 hosts of 0.5 cores and 40 of 0.12 cores.
    const double large = 10 * 0.5 / (10 * 0.5 + 40 * 0.12);
    // Five standard deviations.
    CHECK(std::abs(static_cast<double>(owned[smallOrLarge(0)]) / databases - large) < 0.018);
}

// Guards against a changed host that moves databases between other hosts.
TEST_CASE("Ownership, moves only what a host gains or loses when its capacity changes")
{
    rc::prop("other daemons keep their databases", [] {
        const auto before = fleetWith(*rc::gen::inRange<std::size_t>(6, 40), smallOrLarge);
        // The first hosts keep the capacities different.
        const auto changed = *rc::gen::inRange<std::size_t>(2, before.size());
        auto after = before;
        after[changed].capacity = hostCapacity(*rc::gen::inRange(50, 2000) / 1000.0, *rc::gen::inRange(1, 200));
        for (std::size_t index = 0; index < 40; ++index) {
            const auto old = ownersIn(before, index, 5);
            const auto now = ownersIn(after, index, 5);
            std::vector<DaemonId> gone;
            std::vector<DaemonId> added;
            for (const auto& id : old) {
                if (std::find(now.begin(), now.end(), id) == now.end())
                    gone.push_back(id);
            }
            for (const auto& id : now) {
                if (std::find(old.begin(), old.end(), id) == old.end())
                    added.push_back(id);
            }
            RC_ASSERT(gone.size() <= 1U);
            RC_ASSERT(gone.size() == added.size());
            // RC_ASSERT evaluates both sides of an operator.
            const auto& id = before[changed].id;
            const bool involved = gone.empty() || gone[0] == id || added[0] == id;
            RC_ASSERT(involved);
        }
    });
}

// Guards against weighted owners that are all in the data centre of the large hosts.
TEST_CASE("Ownership, chooses an owner in each data centre when capacities are weighed")
{
    const auto view = fleetWith(24, [](std::size_t index) { return hostCapacity(index % 3 == 0 ? 8 : 0.1, 1000); });
    for (std::size_t index = 0; index < 100; ++index) {
        std::set<DataCentre> dataCentres;
        for (const auto& owner : ownershipOf(view).owners(databaseAt(index), Region("region-0"), 3))
            dataCentres.insert(owner.dataCentre);
        CHECK(dataCentres.size() == 3);
    }
}
