#pragma once

#include "process/fleet_rows.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// How the daemons begin anew when the store has come back from a copy.
//
// Rows of an earlier era tell what was so when the copy was taken, and the daemons may know better. So each era begins
// with no primary and no lease, and one daemon opens it: it writes the primaries that it knows, and with the last of
// them the era row. Nobody renews a lease, adopts a primary or claims a group before.
namespace endivetrestle {

// What the primaries of a new era are taken from.
enum class EraBasis {
    // A daemon whose lease of an earlier era is valid. It has confirmed every claim that may lead to an order, so it
    // knows which primaries are in use and which are being replaced.
    Lease,
    // The copy, because no daemon has kept its lease. Each primary counts as being replaced, so that the endpoints are
    // asked which one leads.
    Copy,
};

const char* basisName(EraBasis basis);

// Row with which a daemon opens an era.
struct EraRow {
    DaemonId openedBy;
    EraBasis basis = EraBasis::Copy;
    // Time of the store's clock by which the era had begun.
    std::int64_t begunStoreMs = 0;

    bool operator==(const EraRow&) const = default;
};

StoreRow encodeRow(const EraRow& row, std::uint64_t era);
std::optional<EraRow> decodeEraRow(const StoreRow& row);

// Content of the fleet table, parted by era.
struct FleetTable {
    // Present era of the store.
    std::uint64_t era = 0;
    // Newest version of the store when the table was read.
    StoreVersion version;
    // Version of the epoch row of the present era; not set if there is none.
    StoreVersion epoch;
    // Era row of the present era; no value if the era is not open, or if it is the first one.
    std::optional<EraRow> opening;
    // Primaries of the present era.
    std::map<DatabaseId, PrimaryRow> primaries;
    // Newest rows of earlier eras.
    std::map<DatabaseId, PrimaryRow> earlier;
    // Whether there is any row of an earlier era.
    bool hasEarlierRows = false;

    // Whether leases, adoptions and claims may go by this table. The first era of a store needs nobody to open it:
    // neither the table nor the daemon, which tells whether it knows primaries of an earlier one, has anything of it.
    [[nodiscard]] bool isOpen(bool knowsEarlierPrimaries) const
    {
        return this->opening || (!this->hasEarlierRows && !knowsEarlierPrimaries);
    }
};

// Parts the rows of a complete reading of the fleet table.
FleetTable parseFleetTable(const StoreResult& result);

// Changes that open the era of a table, to be made in this order, each only after the one before has taken effect. They
// write the primaries that the daemon knows, or the newest ones that the daemon or the copy knows. The last one writes
// the era row and the epoch, together with the primaries that are being replaced, so that these are claims of the era.
// None has an effect once the era is open.
std::vector<StoreChange> openingChanges(
    const FleetTable& table, const std::map<DatabaseId, PrimaryRow>& known, const EraRow& row);

} // namespace endivetrestle
