#include "process/fleet_rows.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

namespace {

constexpr std::uint64_t era = 2;

// Row as it comes back from the store in the given version.
std::optional<PrimaryRow> storedAs(PrimaryRow row, std::uint64_t version)
{
    auto stored = encodeRow(row, era);
    stored.version = { era, version };
    return decodePrimaryRow(stored);
}

} // namespace

TEST_CASE("PrimaryRow, names the claim that led to it")
{
    PrimaryRow row { DatabaseId("a"), true, EndpointId("e1"), 3, DaemonId("d1") };
    row.previousEpoch = { era, 7 };
    const auto claim = storedAs(row, 9);
    REQUIRE(claim);
    CHECK(claim->claimVersion() == StoreVersion { era, 9 });
    CHECK(claim->previousEpoch == StoreVersion { era, 7 });
    row.replacing = false;
    row.finishedClaim = { era, 9 };
    const auto record = storedAs(row, 12);
    REQUIRE(record);
    CHECK(record->claimVersion() == StoreVersion { era, 9 });
    CHECK(record->previousEpoch == StoreVersion { era, 7 });
}

// Guards against an adopted primary that counts as a claim, after which no daemon is a witness.
TEST_CASE("PrimaryRow, has no claim when the primary was adopted")
{
    const auto row = storedAs({ DatabaseId("a"), false, EndpointId("e1"), 3, DaemonId("d1") }, 9);
    REQUIRE(row);
    CHECK(row->claimVersion() == StoreVersion { era, 0 });
}

// Guards against a row of an earlier release that proves more than it says.
TEST_CASE("PrimaryRow, stands for its claim and for no earlier one when an earlier release wrote it")
{
    for (const char* replacing : { "true", "false" }) {
        const auto row = decodePrimaryRow({ fleetTable, "2/primary/a",
            std::string(R"({"endpoint":"e1","term":3,"writer":"d1","replacing":)") + replacing + "}", { era, 9 } });
        REQUIRE(row);
        CHECK(row->claimVersion() == StoreVersion { era, 9 });
        CHECK(row->previousEpoch == StoreVersion { era, 9 });
    }
}
