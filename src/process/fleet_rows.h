#pragma once

#include "base/identifier.h"
#include "base/socket_address.h"
#include "process/table_store.h"

#include <cstdint>
#include <optional>
#include <string>

// Rows of the store through which the daemons agree on primaries and on the right to use them.
namespace endivetrestle {

// Table of the epoch and of the primaries.
inline constexpr const char* fleetTable = "fleet";
inline constexpr const char* epochKey = "epoch";
inline constexpr const char* primaryKeyPrefix = "primary/";
// Table of the daemons' leases and of the promotion lock.
inline constexpr const char* leaseTable = "leases";
inline constexpr const char* promotionLockKey = "@promotion";

// Primary of a database group.
struct PrimaryRow {
    DatabaseId group;
    // Whether the primary is being replaced. No daemon may use it then.
    bool replacing = false;
    EndpointId endpoint;
    std::uint64_t term = 0;
    // Daemon that wrote the row.
    DaemonId writer;
    // Version of the row; not part of its value.
    std::uint64_t version = 0;
    // Version of the claim that led to this row; 0 if the primary was adopted without a claim. Without meaning while
    // the primary is being replaced, because the row itself is the claim then.
    std::uint64_t finishedClaim = 0;
    // Epoch on condition of which the claim was made: there is no other claim between the two.
    std::uint64_t previousEpoch = 0;

    // Version of the newest claim of the group.
    [[nodiscard]] std::uint64_t claimVersion() const { return this->replacing ? this->version : this->finishedClaim; }
    // Takes the row for one of an earlier release, which names neither its claim nor the epoch before it. The row then
    // stands for its claim, and for no earlier one.
    void assumeEarlierRelease() { this->finishedClaim = this->previousEpoch = this->version; }

    bool operator==(const PrimaryRow&) const = default;
};

// Claim of a group, as the replacing daemon tells it to the others.
struct Claim {
    DatabaseId group;
    std::uint64_t version = 0;
    // Epoch on condition of which the claim was made.
    std::uint64_t previousEpoch = 0;

    bool operator==(const Claim&) const = default;
};

// Lease of one daemon: its right to use primaries until the given time of the store's clock.
struct LeaseRow {
    DaemonId daemon;
    // Unique for each start of the daemon's process, to distinguish restarts under the same name.
    std::string incarnation;
    // Where other daemons reach it.
    SocketAddress address;
    // Where other daemons forward statements to it.
    SocketAddress forwardAddress;
    DataCentre dataCentre;
    std::int64_t untilStoreMs = 0;
    // Version of the epoch row that the daemon has taken into account.
    std::uint64_t epochVersion = 0;
    // Number of witnesses without which the lease ends early; 0 if it needs none.
    int witnesses = 0;

    bool operator==(const LeaseRow&) const = default;
};

// Lock that permits ordering promotions, held by one daemon at a time.
struct PromotionLockRow {
    DaemonId holder;
    std::string incarnation;
    // Fencing token. Increases each time the lock is acquired.
    std::uint64_t token = 0;
    std::int64_t untilStoreMs = 0;
    std::uint64_t version = 0;

    bool operator==(const PromotionLockRow&) const = default;
};

StoreRow encodeRow(const PrimaryRow& row);
StoreRow encodeRow(const LeaseRow& row);
StoreRow encodeRow(const PromotionLockRow& row);
std::optional<PrimaryRow> decodePrimaryRow(const StoreRow& row);
std::optional<LeaseRow> decodeLeaseRow(const StoreRow& row);
std::optional<PromotionLockRow> decodePromotionLockRow(const StoreRow& row);

// Returns the version of the epoch row among the rows of an answer; 0 if the answer does not contain it.
std::uint64_t epochVersionIn(const StoreResult& result);

} // namespace endivetrestle
