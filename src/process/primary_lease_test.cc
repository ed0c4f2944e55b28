#include "process/primary_lease.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const Time start { 1000s };

} // namespace

TEST_CASE("PrimaryLease, is not valid before the first renewal") { CHECK_FALSE(PrimaryLease().isValid(start)); }

TEST_CASE("PrimaryLease, expires early without witnesses and later with them")
{
    PrimaryLease lease;
    lease.onRenewed(start, 2);
    CHECK(lease.isValid(start + 5800ms));
    CHECK_FALSE(lease.isValid(start + 6s));
    lease.onWitnessed(start + 5500ms);
    CHECK(lease.isValid(start + 7300ms));
    CHECK_FALSE(lease.isValid(start + 7500ms));
    // Witnesses do not extend it beyond the expiry time in the store.
    lease.onWitnessed(start + 12500ms);
    CHECK_FALSE(lease.isValid(start + 13s));
}

TEST_CASE("PrimaryLease, needs no witnesses in a fleet of one")
{
    PrimaryLease lease;
    lease.onRenewed(start, PrimaryLease::witnessesFor(1));
    CHECK(lease.isValid(start + 12800ms));
}

// Guards against a daemon that relies on fewer witnesses than its row in the store requires.
TEST_CASE("PrimaryLease, needs the witnesses of a renewal whose answer was lost")
{
    PrimaryLease lease;
    lease.onRenewed(start, 0);
    lease.onRenewalSent(3);
    CHECK(lease.witnessesNeeded() == 3);
    CHECK_FALSE(lease.isValid(start + 6s));
    lease.onRenewed(start + 1s, 1);
    CHECK(lease.witnessesNeeded() == 1);
}

TEST_CASE("PrimaryLease, needs half of the other daemons as witnesses, up to a limit")
{
    CHECK(PrimaryLease::witnessesFor(1) == 0);
    CHECK(PrimaryLease::witnessesFor(2) == 1);
    CHECK(PrimaryLease::witnessesFor(4) == 2);
    CHECK(PrimaryLease::witnessesFor(1600) == PrimaryLease::maxWitnesses);
}

TEST_CASE("PrimaryLease, of a newcomer expires earlier without witnesses, even in a fleet of one")
{
    // Guards against a lease that outlives the wait of a replacement because the store has lost its row.
    const auto witnesses = GENERATE(0, 2);
    PrimaryLease lease;
    lease.setNewcomer(true);
    lease.onRenewed(start, witnesses);
    CHECK(lease.isValid(start + PrimaryLease::newcomerValidity - 200ms));
    CHECK_FALSE(lease.isValid(start + PrimaryLease::newcomerValidity));
    CHECK(lease.needsWitnesses(start + PrimaryLease::newcomerWitnessRequestAge));
    lease.onWitnessed(start + 2500ms);
    CHECK(lease.isValid(start + 4s));
    CHECK_FALSE(lease.isValid(start + 5s));
    lease.setNewcomer(false);
    lease.onRenewed(start + 10s, witnesses);
    CHECK(lease.isValid(start + 15s));
}
