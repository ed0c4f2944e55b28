#include "process/fleet_era.h"

#include "base/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace endivetrestle {

namespace {

using nlohmann::json;

// Most primaries in one change. A change may hold 100 entries and needs two for each primary, and four for the era.
constexpr std::size_t maxPrimaries = 40;

// Primary of an earlier era as it is written into the present one.
PrimaryRow carriedOver(PrimaryRow row, const FleetTable& table, const EraRow& opening)
{
    // A claim that this daemon was told names neither the primary nor its term.
    const auto copied = table.earlier.find(row.group);
    if (row.endpoint.empty() && copied != table.earlier.end())
        row.term = std::max(row.term, copied->second.term);
    if (copied != table.earlier.end())
        row.holders = merged(copied->second.holders, row.holders);
    if (opening.basis == EraBasis::Copy) {
        // Whichever endpoint leads may be the primary.
        row.replacing = true;
        row.endpoint = EndpointId();
        // Endpoints that joined after the copy was taken may hold commits as well.
        row.mayLackHolders = !row.holders.empty();
    }
    row.writer = opening.openedBy;
    row.finishedClaim = row.previousEpoch = { table.era, 0 };
    return row;
}

std::vector<PrimaryRow> primariesToWrite(
    const FleetTable& table, const std::map<DatabaseId, PrimaryRow>& known, const EraRow& opening)
{
    auto newest = known;
    if (opening.basis == EraBasis::Copy) {
        for (const auto& [group, row] : table.earlier) {
            auto& present = newest.try_emplace(group, row).first->second;
            if (present.version < row.version)
                present = row;
        }
    }
    std::vector<PrimaryRow> result;
    for (const auto& [group, row] : newest)
        result.push_back(carriedOver(row, table, opening));
    // The last change makes those that are being replaced claims of the era.
    std::stable_partition(result.begin(), result.end(), [](const PrimaryRow& row) { return !row.replacing; });
    return result;
}

StoreCondition absentRow(std::uint64_t era, const char* name)
{
    return { fleetTable, toString(EraKey { era, name }), { era, 0 } };
}

} // namespace

const char* basisName(EraBasis basis) { return basis == EraBasis::Lease ? "lease" : "copy"; }

StoreRow encodeRow(const EraRow& row, std::uint64_t era)
{
    const json value { { "opened_by", row.openedBy.value }, { "basis", basisName(row.basis) },
        { "begun", row.begunStoreMs } };
    return { fleetTable, toString(EraKey { era, eraKeyName }), value.dump() };
}

std::optional<EraRow> decodeEraRow(const StoreRow& row)
{
    const auto key = parseEraKey(row.key);
    if (!key || key->name != eraKeyName)
        return std::nullopt;
    const auto value = json::parse(row.value, nullptr, false);
    const bool readable = value.is_object() && value.contains("begun") && value["begun"].is_number_integer()
        && value.contains("basis") && value["basis"].is_string();
    if (!readable) {
        logEvent(LogLevel::Warning, "fleet_row_unreadable", { { "table", row.table }, { "key", row.key } });
        return std::nullopt;
    }
    EraRow result;
    result.openedBy = DaemonId(value.value("opened_by", json()).is_string() ? value["opened_by"] : "");
    result.basis = value["basis"] == basisName(EraBasis::Lease) ? EraBasis::Lease : EraBasis::Copy;
    result.begunStoreMs = value["begun"];
    return result;
}

FleetTable parseFleetTable(const StoreResult& result)
{
    FleetTable table;
    table.era = result.version.era;
    table.version = result.version;
    table.epoch = epochVersionIn(result);
    for (const auto& row : result.rows) {
        const auto key = parseEraKey(row.key);
        const bool earlier = !key || key->era < table.era;
        table.hasEarlierRows = table.hasEarlierRows || earlier;
        if (!earlier && key->name == eraKeyName)
            table.opening = decodeEraRow(row);
        const auto primary = decodePrimaryRow(row);
        if (!primary)
            continue;
        auto& rows = earlier ? table.earlier : table.primaries;
        auto& newest = rows.try_emplace(primary->group, *primary).first->second;
        if (newest.version < primary->version)
            newest = *primary;
    }
    return table;
}

std::vector<StoreChange> openingChanges(
    const FleetTable& table, const std::map<DatabaseId, PrimaryRow>& known, const EraRow& row)
{
    const auto primaries = primariesToWrite(table, known, row);
    std::vector<StoreChange> changes;
    std::size_t next = 0;
    do {
        StoreChange change;
        change.conditions.push_back(absentRow(table.era, eraKeyName));
        change.conditions.push_back(absentRow(table.era, epochKey));
        for (const auto end = std::min(primaries.size(), next + maxPrimaries); next < end; ++next) {
            auto encoded = encodeRow(primaries[next], table.era);
            // Another daemon may have written some of them before it ended.
            const auto present = table.primaries.find(primaries[next].group);
            const StoreVersion absent { table.era, 0 };
            change.conditions.push_back(
                { fleetTable, encoded.key, present == table.primaries.end() ? absent : present->second.version });
            change.writes.push_back(std::move(encoded));
        }
        changes.push_back(std::move(change));
    } while (next < primaries.size());
    auto& last = changes.back().writes;
    last.push_back({ fleetTable, toString(EraKey { table.era, epochKey }), "{}" });
    last.push_back(encodeRow(row, table.era));
    return changes;
}

} // namespace endivetrestle
