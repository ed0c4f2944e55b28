#pragma once

#include "base/identifier.h"
#include "base/socket_address.h"
#include "process/durability/commit_holders.h"
#include "process/host_capacity.h"
#include "process/table_store.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

// Rows of the store through which the daemons agree on primaries and on the right to use them. The keys of all of them
// begin with the era of the store in which they are written. So no condition of an earlier era can hold for a row of
// the present one, and what a copy of the store has brought back is known as such.
namespace endivetrestle {

// Table of the epoch and of the primaries.
inline constexpr const char* fleetTable = "fleet";
inline constexpr const char* epochKey = "epoch";
inline constexpr const char* primaryKeyPrefix = "primary/";
// Table of the daemons' leases and of the promotion lock.
inline constexpr const char* leaseTable = "leases";
inline constexpr const char* promotionLockKey = "@promotion";
// Row with which an era is opened that is not the first one (fleet_era.h).
inline constexpr const char* eraKeyName = "era";

// Key of a row: the era in which it was written, and its name within the era.
struct EraKey {
    std::uint64_t era = 0;
    std::string name;

    bool operator==(const EraKey&) const = default;
};

std::string toString(const EraKey& key);
// Returns no value for a key that names no era.
std::optional<EraKey> parseEraKey(const std::string& key);

// Primary of a database group.
struct PrimaryRow {
    DatabaseId group;
    // Whether the primary is being replaced. No daemon may use it then.
    bool replacing = false;
    EndpointId endpoint;
    std::uint64_t term = 0;
    // Daemon that wrote the row.
    DaemonId writer;
    // Version of the row, in the era of its key; not part of its value.
    StoreVersion version;
    // Version of the claim that led to this row; not set if the primary was adopted without a claim. Without meaning
    // while the primary is being replaced, because the row itself is the claim then.
    StoreVersion finishedClaim;
    // Epoch on condition of which the claim was made: there is no other claim between the two.
    StoreVersion previousEpoch;
    // Endpoints that may hold acknowledged commits; empty without synchronous replicas.
    CommitHolders holders;
    // Whether there may be others, because the list was taken from a copy of the store.
    bool mayLackHolders = false;

    // Version of the newest claim of the group.
    [[nodiscard]] StoreVersion claimVersion() const { return this->replacing ? this->version : this->finishedClaim; }
    // Whether the row is one that was taken from a copy when the era was opened, and that nobody has claimed since.
    // Nobody has ordered a promotion for it in this era, and none of an earlier one can take effect any more.
    [[nodiscard]] bool isOpened() const
    {
        return this->replacing && this->endpoint.empty() && !this->previousEpoch.isSet();
    }
    // Takes the row for one of an earlier release, which names neither its claim nor the epoch before it. The row then
    // stands for its claim, and for no earlier one.
    void assumeEarlierRelease() { this->finishedClaim = this->previousEpoch = this->version; }

    bool operator==(const PrimaryRow&) const = default;
};

// Claim of a group, as the replacing daemon tells it to the others.
struct Claim {
    DatabaseId group;
    StoreVersion version;
    // Epoch on condition of which the claim was made.
    StoreVersion previousEpoch;

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
    // Version of the epoch row that the daemon has taken into account. The lease is one of the same era.
    StoreVersion epochVersion;
    // Number of witnesses without which the lease ends early; 0 if it needs none.
    int witnesses = 0;
    // Time of the store's clock since which the daemon has had a row, in whichever era.
    std::int64_t rowSinceStoreMs = 0;
    // What the daemon's host can carry; not stated by an earlier release.
    HostCapacity capacity {};

    bool operator==(const LeaseRow&) const = default;
};

// Lock that permits ordering promotions, held by one daemon at a time.
struct PromotionLockRow {
    DaemonId holder;
    std::string incarnation;
    // Fencing token. Increases each time the lock is acquired.
    std::uint64_t token = 0;
    std::int64_t untilStoreMs = 0;
    // Version of the row, in the era of its key; not part of its value.
    StoreVersion version;

    bool operator==(const PromotionLockRow&) const = default;
};

// Row of a primary that is written in the given era, whatever the era of its version.
StoreRow encodeRow(const PrimaryRow& row, std::uint64_t era);
StoreRow encodeRow(const LeaseRow& row);
StoreRow encodeRow(const PromotionLockRow& row);
std::optional<PrimaryRow> decodePrimaryRow(const StoreRow& row);
// JSON form of a list of holders, in the rows and in messages between daemons.
nlohmann::json encodeHolders(const CommitHolders& holders);
// Returns no value if the list or one of its entries cannot be read.
std::optional<CommitHolders> decodeHolders(const nlohmann::json& list);
std::optional<LeaseRow> decodeLeaseRow(const StoreRow& row);
std::optional<PromotionLockRow> decodePromotionLockRow(const StoreRow& row);

// Returns the version of the epoch row of the answer's era among the rows of an answer; not set, in that era, if the
// answer does not contain it.
StoreVersion epochVersionIn(const StoreResult& result);

} // namespace endivetrestle
