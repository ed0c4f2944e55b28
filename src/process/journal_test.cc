#include "process/journal.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DatabaseId shop("shop-1");

JournalRecord failoverOf(const std::string& endpoint)
{
    return { shop, JournalKind::Failover, "no answer from " + endpoint, "replace " + endpoint, "fencing", {} };
}

JournalRecord shedOf(const DatabaseId& database)
{
    return { database, JournalKind::Shed, "queue full", "shed", "", {} };
}

} // namespace

// Guards against an overload that fills the journal with one entry per refused request.
TEST_CASE("Journal, counts repeated shed events in one entry until the aggregation span is over")
{
    Journal journal({ 16, 10s });
    const auto first = journal.record(shedOf(shop), Time(1s), "w1");
    CHECK(journal.record(shedOf(shop), Time(2s), "w2") == first);
    CHECK(journal.record(shedOf(DatabaseId("shop-2")), Time(2s), "w2") != first);
    const auto later = journal.record(shedOf(shop), Time(11s), "w3");
    CHECK(later != first);
    const auto entries = journal.query({ shop, JournalKind::Shed, std::nullopt, 10 });
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].count == 2);
    CHECK(entries[0].lastAt == Time(2s));
    CHECK(entries[0].lastWallTime == "w2");
}

// Guards against merging two equal failovers, which would hide the second one.
TEST_CASE("Journal, keeps equal failovers as separate entries")
{
    Journal journal({ 16, 10s });
    CHECK(journal.record(failoverOf("a1"), Time(1s), "w") != journal.record(failoverOf("a1"), Time(1s), "w"));
}

// Guards against refusals that evict the record of a failover.
TEST_CASE("Journal, evicts aggregated entries first when they occupy more than half of the capacity")
{
    Journal journal({ 8, 1s });
    const auto id = journal.record(failoverOf("a1"), Time(0s), "w");
    for (int i = 1; i <= 100; ++i)
        journal.record(shedOf(DatabaseId("db-" + std::to_string(i))), Time(std::chrono::seconds(i)), "w");
    CHECK(journal.query({}).size() == 8);
    CHECK(journal.query({ shop, JournalKind::Failover, std::nullopt, 10 }).size() == 1);
    CHECK(journal.amend(id, "promoted a2", { { "gapMs", "640" } }));
    for (int i = 0; i < 100; ++i)
        journal.record(failoverOf("a" + std::to_string(i)), Time(200s), "w");
    CHECK(journal.query({}).size() == 8);
    CHECK_FALSE(journal.amend(id, "late", {}));
}

// Guards against a query that returns the oldest instead of the newest entries when the limit is reached.
TEST_CASE("Journal, returns the newest matching entries with the oldest first")
{
    Journal journal({ 64, 1s });
    for (int i = 1; i <= 5; ++i)
        journal.record(failoverOf("a" + std::to_string(i)), Time(std::chrono::seconds(i)), "w");
    journal.record({ {}, JournalKind::Configuration, "version 7", "adopt", "in force", {} }, Time(6s), "w");
    const auto entries = journal.query({ shop, std::nullopt, Time(2s), 2 });
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].id == 4);
    CHECK(entries[1].id == 5);
    CHECK(journal.query({ std::nullopt, JournalKind::Configuration, std::nullopt, 10 }).size() == 1);
}

// Guards against fields that are lost between a daemon and the report command.
TEST_CASE("Journal, keeps all fields of its entries when they are converted to JSON and back")
{
    Journal journal({ 16, 10s });
    const auto id = journal.record(failoverOf("a1"), Time(1s), "2026-12-04T10:00:00");
    journal.amend(id, "promoted a2", { { "gapMs", "640" }, { "term", "4" } });
    const auto entries = journal.query({});
    CHECK(journalFromJson(toJson(entries, Time(9s)), Time(9s)) == entries);
    CHECK(journalFromJson(toJson(entries, Time(9s))["entries"], Time(9s)) == entries);
    CHECK(journalFromJson("text", Time(9s)).empty());
    CHECK(journalFromJson(nlohmann::json { { "entries", { 1, "x" } } }, Time(9s)).empty());
    CHECK(toTable(entries).find("gapMs: 640") != std::string::npos);
}

// Guards against lost occurrences when several workers shed at once.
TEST_CASE("Journal, counts every occurrence when several threads record")
{
    Journal journal({ 16, 10s });
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 1000; ++n)
                journal.record(shedOf(shop), Time(1s), "w");
        });
    }
    for (auto& thread : threads)
        thread.join();
    REQUIRE(journal.query({}).size() == 1);
    CHECK(journal.query({})[0].count == 4000);
}
