#include "process/fleet_era.h"

#include "process/simulated_tables_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

namespace {

const DatabaseId shop("shop");

PrimaryRow rowOf(const DatabaseId& group, StoreVersion version, bool replacing = false)
{
    PrimaryRow row { group, replacing, EndpointId("e1"), 4, DaemonId("d1") };
    row.version = version;
    return row;
}

EraRow openingOf(EraBasis basis) { return { DaemonId("d1"), basis, 77'000 }; }

// A store that has come back in era 3 with one primary of era 2.
SimulatedTables restoredTables()
{
    SimulatedTables tables([] { return Time(std::chrono::seconds(80)); });
    tables.era = 2;
    StoreChange change;
    change.writes.push_back(encodeRow(rowOf(shop, {}), 2));
    tables.apply(change);
    tables.restore(tables.copy());
    return tables;
}

FleetTable tableOf(SimulatedTables& tables) { return parseFleetTable(tables.read(fleetTable)); }

void applyAll(SimulatedTables& tables, const std::vector<StoreChange>& changes)
{
    for (const auto& change : changes)
        REQUIRE(tables.apply(change).status == StoreStatus::Done);
}

} // namespace

// Guards against a primary of the copy that is used as if the present era had it.
TEST_CASE("parseFleetTable, keeps rows of earlier eras apart")
{
    auto tables = restoredTables();
    const auto table = tableOf(tables);
    CHECK(table.era == 3);
    CHECK(table.primaries.empty());
    REQUIRE(table.earlier.count(shop) == 1);
    CHECK(table.earlier.at(shop).version == StoreVersion { 2, 1 });
    CHECK_FALSE(table.isOpen(false));
}

TEST_CASE("FleetTable, is open in the first era unless the daemon knows primaries of an earlier one")
{
    // Guards against a copy of before the first row that is taken for a new store.
    SimulatedTables tables([] { return Time(); });
    CHECK(tableOf(tables).isOpen(false));
    CHECK_FALSE(tableOf(tables).isOpen(true));
}

TEST_CASE("openingChanges, open the era once, with the primaries that the daemon knows")
{
    auto tables = restoredTables();
    const std::map<DatabaseId, PrimaryRow> known { { shop, rowOf(shop, { 2, 9 }) },
        { DatabaseId("bar"), rowOf(DatabaseId("bar"), { 2, 8 }, true) } };
    const auto changes = openingChanges(tableOf(tables), known, openingOf(EraBasis::Lease));
    applyAll(tables, changes);
    // Guards against two daemons that open the era in turn.
    CHECK(tables.apply(changes.front()).status == StoreStatus::Conflict);
    const auto table = tableOf(tables);
    CHECK(table.isOpen(true));
    CHECK(table.opening == openingOf(EraBasis::Lease));
    CHECK_FALSE(table.primaries.at(shop).replacing);
    CHECK(table.primaries.at(shop).endpoint == EndpointId("e1"));
    // A primary that is being replaced is a claim of the era, so that a lease proves to know it.
    CHECK(table.primaries.at(DatabaseId("bar")).claimVersion() == table.epoch);
}

TEST_CASE("openingChanges, take the newest row of copy and daemon when no lease has been kept")
{
    // Guards against reads from a primary that was replaced after the copy was taken.
    auto tables = restoredTables();
    auto newer = rowOf(shop, { 2, 9 });
    newer.term = 6;
    for (const bool knows : { false, true }) {
        std::map<DatabaseId, PrimaryRow> known;
        if (knows)
            known.emplace(shop, newer);
        auto opened = tables;
        applyAll(opened, openingChanges(tableOf(opened), known, openingOf(EraBasis::Copy)));
        const auto table = tableOf(opened);
        CHECK(table.primaries.at(shop).isOpened());
        CHECK(table.primaries.at(shop).term == (knows ? 6 : 4));
    }
}

TEST_CASE("openingChanges, stay within the size of a change and open the era with the last one")
{
    auto tables = restoredTables();
    std::map<DatabaseId, PrimaryRow> known;
    for (int i = 0; i < 95; ++i) {
        const DatabaseId group("g" + std::to_string(i));
        known.emplace(group, rowOf(group, { 2, 5 }, i % 2 == 0));
    }
    const auto changes = openingChanges(tableOf(tables), known, openingOf(EraBasis::Lease));
    CHECK(changes.size() > 1);
    constexpr std::size_t storeLimit = 100;
    for (const auto& change : changes) {
        CHECK(change.conditions.size() + change.writes.size() <= storeLimit);
        CHECK_FALSE(tableOf(tables).isOpen(true));
        REQUIRE(tables.apply(change).status == StoreStatus::Done);
    }
    CHECK(tableOf(tables).isOpen(true));
    CHECK(tableOf(tables).primaries.size() == 95);
}

// Guards against an era that nobody can open because the daemon that had begun to has ended.
TEST_CASE("openingChanges, go on from what another daemon has written")
{
    auto tables = restoredTables();
    std::map<DatabaseId, PrimaryRow> known;
    for (int i = 0; i < 60; ++i) {
        const DatabaseId group("g" + std::to_string(i));
        known.emplace(group, rowOf(group, { 2, 5 }));
    }
    applyAll(tables, { openingChanges(tableOf(tables), known, openingOf(EraBasis::Lease)).front() });
    applyAll(tables, openingChanges(tableOf(tables), known, openingOf(EraBasis::Lease)));
    CHECK(tableOf(tables).isOpen(true));
}

TEST_CASE("decodeEraRow, finds no era row in a value that is none")
{
    for (const char* value : { "", "[]", "{}", R"({"begun":"x","basis":"lease"})", R"({"begun":5})" }) {
        CAPTURE(value);
        CHECK_FALSE(decodeEraRow({ fleetTable, "3/era", value, { 3, 4 } }));
    }
}

TEST_CASE("parseEraKey, finds no era in a key of an earlier release")
{
    for (const char* key : { "", "epoch", "primary/shop", "/shop", "-1/shop", "7" }) {
        CAPTURE(key);
        CHECK_FALSE(parseEraKey(key));
    }
    CHECK(parseEraKey("7/primary/shop") == EraKey { 7, "primary/shop" });
}
