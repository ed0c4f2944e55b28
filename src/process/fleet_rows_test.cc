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

// Guards against a mixed fleet in which daemons of two releases cannot read each other's leases.
TEST_CASE("LeaseRow, states the host's capacity in fields that an earlier release lacks")
{
    LeaseRow row;
    row.daemon = DaemonId("d1");
    row.address = row.forwardAddress = { "10.0.0.1", 7440 };
    row.epochVersion = { era, 3 };
    // What an earlier release writes.
    CHECK(encodeRow(row).value.find("cpu_milli") == std::string::npos);
    const auto earlier = decodeLeaseRow(encodeRow(row));
    REQUIRE(earlier);
    CHECK_FALSE(earlier->capacity.isStated());
    row.capacity = hostCapacity(0.12, 10);
    const auto decoded = decodeLeaseRow(encodeRow(row));
    REQUIRE(decoded);
    CHECK(*decoded == row);
    CHECK(decoded->capacity == HostCapacity { 120, 10000 });
}

// Guards against a damaged row that gives its daemon a weight.
TEST_CASE("LeaseRow, states no capacity when a field is missing or not positive")
{
    for (const char* fields : { R"("cpu_milli":500)", R"("cpu_milli":-500,"link_kbps":10000)", R"("link_kbps":0)" }) {
        const auto row = decodeLeaseRow({ leaseTable, "2/d1",
            std::string(R"({"address":"10.0.0.1:1","forward":"10.0.0.1:2",)") + fields + "}", { era, 9 } });
        CAPTURE(fields);
        REQUIRE(row);
        CHECK_FALSE(row->capacity.isStated());
    }
}
