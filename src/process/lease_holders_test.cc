#include "process/lease_holders.h"

#include "process/primary_lease.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t era = 3;
constexpr std::uint64_t claim = 20;
constexpr std::int64_t storeMs = 100'000;
constexpr std::int64_t validityMs = std::chrono::milliseconds(13'000).count();
const Time start { 1000s };

// Lease that was renewed at the given time of the store's clock, with two witnesses.
LeaseRow leaseOf(const char* daemon, std::int64_t renewedAtMs, std::uint64_t epoch = claim - 1)
{
    LeaseRow lease;
    lease.daemon = DaemonId(daemon);
    lease.incarnation = "1";
    lease.address = lease.forwardAddress = { "10.0.0.1", 7000 };
    lease.untilStoreMs = renewedAtMs + validityMs;
    lease.epochVersion = { era, epoch };
    lease.witnesses = 2;
    return lease;
}

LeaseHolders holdersOf(const std::vector<LeaseRow>& leases)
{
    LeaseHolders holders;
    holders.start({ era, claim }, leases, storeMs, start);
    return holders;
}

} // namespace

TEST_CASE("LeaseHolders, takes only leases that are older than the claim and have not ended")
{
    const auto holders = holdersOf({ leaseOf("old", storeMs), leaseOf("ended", storeMs - validityMs),
        leaseOf("knows", storeMs, claim), leaseOf("later", storeMs, claim + 3) });
    REQUIRE(holders.size() == 1);
    CHECK(holders.all().begin()->first == DaemonId("old"));
}

TEST_CASE("LeaseHolders, leaves out a daemon that confirms, renews with the claim, or removes its row")
{
    auto holders = holdersOf({ leaseOf("a", storeMs), leaseOf("b", storeMs), leaseOf("c", storeMs) });
    holders.confirm(DaemonId("a"), start);
    CHECK(holders.size() == 2);
    holders.update({ encodeRow(leaseOf("b", storeMs, claim)) }, start);
    CHECK(holders.size() == 1);
    holders.removeEnded(storeMs, start);
    CHECK(holders.empty());
}

// Guards against a replacement that goes on because a row of a daemon that runs cannot be read.
TEST_CASE("LeaseHolders, keeps the last known lease of a daemon whose row cannot be read")
{
    auto holders = holdersOf({ leaseOf("a", storeMs) });
    holders.update({ StoreRow { leaseTable, "3/a", "[[[", { era, 9 } } }, start);
    holders.removeEnded(storeMs + validityMs - 1, start);
    CHECK(holders.size() == 1);
    holders.removeEnded(storeMs + validityMs, start);
    CHECK(holders.empty());
}

TEST_CASE("LeaseHolders, passes silent daemons over only when they cannot have witnesses any more")
{
    const auto unwitnessedMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(PrimaryLease::unwitnessedValidity).count();
    auto holders = holdersOf({ leaseOf("a", storeMs), leaseOf("b", storeMs), leaseOf("c", storeMs) });
    const auto later = storeMs + unwitnessedMs;
    // Three silent daemons may be each other's witnesses.
    CHECK_FALSE(holders.mayPassOver(later, start + 10s));
    holders.confirm(DaemonId("c"), start + 5s);
    // The daemon that confirmed last may have witnessed just before.
    CHECK_FALSE(holders.mayPassOver(later, start + 5s + PrimaryLease::witnessValidity - 1ms));
    CHECK(holders.mayPassOver(later, start + 5s + PrimaryLease::witnessValidity));
    CHECK_FALSE(holders.mayPassOver(later - 1, start + 10s));
}

namespace {

// Row of a lease that was stored in an earlier era.
LeaseRow earlierLeaseOf(const char* daemon, std::int64_t renewedAtMs)
{
    auto lease = leaseOf(daemon, renewedAtMs);
    lease.epochVersion.era = era - 1;
    return lease;
}

} // namespace

// Guards against a replacement that does not wait for a daemon of whose later renewals the copy does not tell.
TEST_CASE("leasesOf, takes leases of earlier eras for valid until all of them have ended")
{
    constexpr std::int64_t earlierEndMs = storeMs + 9'000;
    const std::vector<StoreRow> rows { encodeRow(earlierLeaseOf("a", storeMs - 60'000)),
        encodeRow(earlierLeaseOf("b", storeMs)), encodeRow(leaseOf("b", storeMs)) };
    const auto leases = leasesOf(rows, era, earlierEndMs);
    REQUIRE(leases.size() == 2);
    CHECK(leases[0].daemon == DaemonId("a"));
    CHECK(leases[0].untilStoreMs == earlierEndMs);
    // A daemon with a lease of the present era uses none of an earlier one.
    CHECK(leases[1] == leaseOf("b", storeMs));
    auto holders = holdersOf(leases);
    holders.update(rows, start);
    CHECK(holders.size() == 2);
    holders.removeEnded(earlierEndMs, start);
    CHECK(holders.size() == 1);
}

TEST_CASE("LeaseHolders, leaves out a daemon of an earlier era that stores a lease with the claim")
{
    auto holders = holdersOf({ earlierLeaseOf("a", storeMs) });
    holders.update({ encodeRow(earlierLeaseOf("a", storeMs)), encodeRow(leaseOf("a", storeMs, claim)) }, start);
    holders.removeEnded(storeMs, start);
    CHECK(holders.empty());
}
