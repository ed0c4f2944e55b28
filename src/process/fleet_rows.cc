#include "process/fleet_rows.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::string_view primaryPrefix = primaryKeyPrefix;

std::optional<json> parseObject(const StoreRow& row)
{
    auto value = json::parse(row.value, nullptr, false);
    if (value.is_object())
        return value;
    logEvent(LogLevel::Warning, "fleet_row_unreadable", { { "table", row.table }, { "key", row.key } });
    return std::nullopt;
}

} // namespace

StoreRow encodeRow(const PrimaryRow& row)
{
    const json value { { "replacing", row.replacing }, { "endpoint", row.endpoint.value }, { "term", row.term },
        { "writer", row.writer.value } };
    return { fleetTable, std::string(primaryPrefix) + row.group.value, value.dump() };
}

StoreRow encodeRow(const LeaseRow& row)
{
    const json value { { "incarnation", row.incarnation }, { "address", toString(row.address) },
        { "forward", toString(row.forwardAddress) }, { "data_centre", row.dataCentre.value },
        { "until", row.untilStoreMs }, { "epoch", row.epochVersion } };
    return { leaseTable, row.daemon.value, value.dump() };
}

StoreRow encodeRow(const DutyRow& row)
{
    const json value { { "holder", row.holder.value }, { "incarnation", row.incarnation }, { "token", row.token },
        { "until", row.untilStoreMs } };
    return { leaseTable, dutyKey, value.dump() };
}

std::optional<PrimaryRow> decodePrimaryRow(const StoreRow& row)
{
    if (row.key.rfind(primaryPrefix, 0) != 0)
        return std::nullopt;
    const auto value = parseObject(row);
    if (!value)
        return std::nullopt;
    PrimaryRow result;
    result.group = DatabaseId(row.key.substr(primaryPrefix.size()));
    result.replacing = value->value("replacing", false);
    result.endpoint = EndpointId(value->value("endpoint", std::string()));
    result.term = value->value("term", std::uint64_t { 0 });
    result.writer = DaemonId(value->value("writer", std::string()));
    result.version = row.version;
    return result;
}

std::optional<LeaseRow> decodeLeaseRow(const StoreRow& row)
{
    if (row.key == dutyKey)
        return std::nullopt;
    const auto value = parseObject(row);
    if (!value)
        return std::nullopt;
    const auto address = parseSocketAddress(value->value("address", std::string()));
    const auto forward = parseSocketAddress(value->value("forward", std::string()));
    if (!address || !forward)
        return std::nullopt;
    LeaseRow result;
    result.daemon = DaemonId(row.key);
    result.incarnation = value->value("incarnation", std::string());
    result.address = *address;
    result.forwardAddress = *forward;
    result.dataCentre = DataCentre(value->value("data_centre", std::string()));
    result.untilStoreMs = value->value("until", std::int64_t { 0 });
    result.epochVersion = value->value("epoch", std::uint64_t { 0 });
    return result;
}

std::optional<DutyRow> decodeDutyRow(const StoreRow& row)
{
    if (row.key != dutyKey)
        return std::nullopt;
    const auto value = parseObject(row);
    if (!value)
        return std::nullopt;
    DutyRow result;
    result.holder = DaemonId(value->value("holder", std::string()));
    result.incarnation = value->value("incarnation", std::string());
    result.token = value->value("token", std::uint64_t { 0 });
    result.untilStoreMs = value->value("until", std::int64_t { 0 });
    result.version = row.version;
    return result;
}

} // namespace endivetrestle
