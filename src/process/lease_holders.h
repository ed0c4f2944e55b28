#pragma once

#include "base/clock.h"
#include "process/fleet_rows.h"

#include <cstdint>
#include <map>
#include <vector>

namespace endivetrestle {

// Daemons that may still use the primary of a claimed group, because their lease is older than the claim. A daemon is a
// holder no more when it has confirmed, when it has renewed its lease with the claim taken into account, when it has
// removed its lease row, or when its lease has ended by the store's clock. Nothing else ends a lease.
//
// A daemon that has not stored a lease in the present era of the store may hold one of an earlier era. The copy of its
// row does not tell until when; the end of all leases of earlier eras bounds it.
class LeaseHolders {
public:
    // Takes the leases that are older than the claim and have not ended.
    void start(StoreVersion claimVersion, const std::vector<LeaseRow>& leases, std::int64_t storeMs, Time now);
    // The daemon has confirmed that it does not use the primary.
    void confirm(const DaemonId& daemon, Time now);
    // Takes over the rows of a complete reading of the lease table.
    void update(const std::vector<StoreRow>& rows, Time now);
    // Leaves out the leases that have ended or were renewed with the claim taken into account.
    void removeEnded(std::int64_t storeMs, Time now);
    // Whether the silent daemons that are left are known to have stopped: their leases are too old to be valid without
    // witnesses, and there are too few of them to be each other's witnesses. All other daemons know the claim, and
    // their earlier confirmations as witnesses have expired.
    [[nodiscard]] bool mayPassOver(std::int64_t storeMs, Time now) const;
    void clear() { this->leases.clear(); }

    [[nodiscard]] bool empty() const { return this->leases.empty(); }
    [[nodiscard]] std::size_t size() const { return this->leases.size(); }
    // Leases of the holders, by daemon.
    [[nodiscard]] const std::map<DaemonId, LeaseRow>& all() const { return this->leases; }

private:
    StoreVersion claimVersion;
    std::map<DaemonId, LeaseRow> leases;
    // Time at which the last daemon stopped being a holder. Until then it may have acted as a witness, and its
    // confirmation stays valid for PrimaryLease::witnessValidity.
    Time lastRemovalAt;
};

// Leases that may be valid, given the rows of the lease table: those of the given era, and those of earlier eras whose
// daemons have none in the given one, until the time by which all of these end.
std::vector<LeaseRow> leasesOf(const std::vector<StoreRow>& rows, std::uint64_t era, std::int64_t earlierLeasesEndMs);

} // namespace endivetrestle
