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
// Table of the daemons' leases and of the promotion duty.
inline constexpr const char* leaseTable = "leases";
inline constexpr const char* dutyKey = "@promotion";

// Who leads a database group.
struct PrimaryRow {
    DatabaseId group;
    // Whether the primary is being replaced. Nobody may use it then.
    bool replacing = false;
    EndpointId endpoint;
    std::uint64_t term = 0;
    // Daemon that wrote the row.
    DaemonId writer;
    // Version of the row; not part of its value.
    std::uint64_t version = 0;

    bool operator==(const PrimaryRow&) const = default;
};

// Right of one daemon to use primaries until a time of the store's clock.
struct LeaseRow {
    DaemonId daemon;
    // Start of the daemon's process; tells restarts under one name apart.
    std::string incarnation;
    // Where other daemons reach it.
    SocketAddress address;
    // Where other daemons forward statements to it.
    SocketAddress forwardAddress;
    DataCentre dataCentre;
    std::int64_t untilStoreMs = 0;
    // Version of the epoch row that the daemon has taken into account.
    std::uint64_t epochVersion = 0;
    // Witnesses without which the lease ends early; 0 if it never does.
    int witnesses = 0;

    bool operator==(const LeaseRow&) const = default;
};

// Right to order promotions, held by one daemon at a time.
struct DutyRow {
    DaemonId holder;
    std::string incarnation;
    // Increases each time the duty is taken.
    std::uint64_t token = 0;
    std::int64_t untilStoreMs = 0;
    std::uint64_t version = 0;

    bool operator==(const DutyRow&) const = default;
};

StoreRow encodeRow(const PrimaryRow& row);
StoreRow encodeRow(const LeaseRow& row);
StoreRow encodeRow(const DutyRow& row);
std::optional<PrimaryRow> decodePrimaryRow(const StoreRow& row);
std::optional<LeaseRow> decodeLeaseRow(const StoreRow& row);
std::optional<DutyRow> decodeDutyRow(const StoreRow& row);

// Version of the epoch row among the rows of an answer; 0 if the answer does not show it.
std::uint64_t epochIn(const StoreResult& result);

} // namespace endivetrestle
