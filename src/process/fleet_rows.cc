#include "process/fleet_rows.h"

#include "base/log.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::string_view primaryPrefix = primaryKeyPrefix;

// Reads the fields of a row's JSON value. The row is unreadable if the value is not an object or a field has another
// type.
class RowReader {
public:
    explicit RowReader(const StoreRow& row)
        : row(row)
        , value(json::parse(row.value, nullptr, false))
        , readable(this->value.is_object())
    {
    }

    std::string text(const char* name)
    {
        const auto* field = this->find(name, &json::is_string);
        return field == nullptr ? std::string() : field->get<std::string>();
    }

    // Version of the given era, of which the row holds the number.
    StoreVersion version(const char* name, std::uint64_t era)
    {
        return { era, static_cast<std::uint64_t>(this->integer(name)) };
    }

    std::int64_t integer(const char* name)
    {
        const auto* field = this->find(name, &json::is_number_integer);
        return field == nullptr ? 0 : field->get<std::int64_t>();
    }

    [[nodiscard]] bool has(const char* name) const { return this->readable && this->value.contains(name); }

    bool flag(const char* name)
    {
        const auto* field = this->find(name, &json::is_boolean);
        return field != nullptr && field->get<bool>();
    }

    SocketAddress address(const char* name)
    {
        const auto address = parseSocketAddress(this->text(name));
        this->readable = this->readable && address;
        return address.value_or(SocketAddress {});
    }

    // A row of an earlier release has no list.
    CommitHolders holders(const char* name)
    {
        const auto* field = this->find(name, &json::is_array);
        const auto list = field == nullptr ? CommitHolders() : decodeHolders(*field);
        this->readable = this->readable && list;
        return list.value_or(CommitHolders());
    }

    // Whether all fields read so far are valid; logs the row if not.
    [[nodiscard]] bool allFieldsValid() const
    {
        if (!this->readable)
            logEvent(
                LogLevel::Warning, "fleet_row_unreadable", { { "table", this->row.table }, { "key", this->row.key } });
        return this->readable;
    }

private:
    const json* find(const char* name, bool (json::*hasType)() const noexcept)
    {
        if (!this->readable)
            return nullptr;
        const auto field = this->value.find(name);
        if (field == this->value.end())
            return nullptr;
        this->readable = ((*field).*hasType)();
        return this->readable ? &*field : nullptr;
    }

    const StoreRow& row;
    json value;
    bool readable;
};

} // namespace

json encodeHolders(const CommitHolders& holders)
{
    json list = json::array();
    for (const auto& holder : holders) {
        json entry { { "id", holder.id.value }, { "start", holder.processStartMs },
            { "address", toString(holder.address) } };
        if (holder.draining)
            entry["draining"] = true;
        list.push_back(std::move(entry));
    }
    return list;
}

std::optional<CommitHolders> decodeHolders(const json& list)
{
    CommitHolders holders;
    for (const auto& entry : list) {
        const bool readable = entry.is_object() && entry.contains("id") && entry["id"].is_string()
            && entry.contains("start") && entry["start"].is_number_integer() && entry.contains("address")
            && entry["address"].is_string();
        const auto address
            = readable ? parseSocketAddress(entry["address"].get<std::string>()) : std::optional<SocketAddress>();
        if (!address)
            return std::nullopt;
        holders.push_back({ EndpointId(entry["id"].get<std::string>()), entry["start"].get<std::int64_t>(), *address,
            entry.value("draining", json()) == json(true) });
    }
    return holders;
}

std::string toString(const EraKey& key) { return std::to_string(key.era) + "/" + key.name; }

std::optional<EraKey> parseEraKey(const std::string& key)
{
    EraKey result;
    const char* end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, result.era);
    if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != '/')
        return std::nullopt;
    result.name.assign(parsed.ptr + 1, end);
    return result;
}

StoreRow encodeRow(const PrimaryRow& row, std::uint64_t era)
{
    json value { { "replacing", row.replacing }, { "endpoint", row.endpoint.value }, { "term", row.term },
        { "writer", row.writer.value }, { "claim", row.finishedClaim.number },
        { "previous_epoch", row.previousEpoch.number } };
    // Earlier releases ignore the fields, and groups without synchronous replicas do not have them.
    if (!row.holders.empty())
        value["holders"] = encodeHolders(row.holders);
    if (row.mayLackHolders)
        value["may_lack_holders"] = true;
    return { fleetTable, toString(EraKey { era, std::string(primaryPrefix) + row.group.value }), value.dump() };
}

StoreRow encodeRow(const LeaseRow& row)
{
    json value { { "incarnation", row.incarnation }, { "address", toString(row.address) },
        { "forward", toString(row.forwardAddress) }, { "data_centre", row.dataCentre.value },
        { "until", row.untilStoreMs }, { "epoch", row.epochVersion.number }, { "witnesses", row.witnesses },
        { "since", row.rowSinceStoreMs } };
    // Earlier releases ignore the fields.
    if (row.capacity.isStated()) {
        value["cpu_milli"] = row.capacity.processorMilli;
        value["link_kbps"] = row.capacity.linkKbps;
    }
    return { leaseTable, toString(EraKey { row.epochVersion.era, row.daemon.value }), value.dump() };
}

StoreRow encodeRow(const PromotionLockRow& row)
{
    const json value { { "holder", row.holder.value }, { "incarnation", row.incarnation }, { "token", row.token },
        { "until", row.untilStoreMs } };
    return { leaseTable, toString(EraKey { row.version.era, promotionLockKey }), value.dump() };
}

std::optional<PrimaryRow> decodePrimaryRow(const StoreRow& row)
{
    const auto key = parseEraKey(row.key);
    if (!key || key->name.rfind(primaryPrefix, 0) != 0)
        return std::nullopt;
    RowReader reader(row);
    PrimaryRow result;
    result.group = DatabaseId(key->name.substr(primaryPrefix.size()));
    result.replacing = reader.flag("replacing");
    result.endpoint = EndpointId(reader.text("endpoint"));
    result.term = static_cast<std::uint64_t>(reader.integer("term"));
    result.writer = DaemonId(reader.text("writer"));
    result.version = { key->era, row.version.number };
    result.holders = reader.holders("holders");
    result.mayLackHolders = reader.flag("may_lack_holders");
    result.assumeEarlierRelease();
    if (reader.has("claim") && reader.has("previous_epoch")) {
        result.finishedClaim = reader.version("claim", key->era);
        result.previousEpoch = reader.version("previous_epoch", key->era);
    }
    return reader.allFieldsValid() ? std::optional(result) : std::nullopt;
}

std::optional<LeaseRow> decodeLeaseRow(const StoreRow& row)
{
    const auto key = parseEraKey(row.key);
    if (!key || key->name == promotionLockKey)
        return std::nullopt;
    RowReader reader(row);
    LeaseRow result;
    result.daemon = DaemonId(key->name);
    result.incarnation = reader.text("incarnation");
    result.address = reader.address("address");
    result.forwardAddress = reader.address("forward");
    result.dataCentre = DataCentre(reader.text("data_centre"));
    result.untilStoreMs = reader.integer("until");
    result.epochVersion = reader.version("epoch", key->era);
    result.witnesses = static_cast<int>(reader.integer("witnesses"));
    result.rowSinceStoreMs = reader.integer("since");
    result.capacity = { reader.integer("cpu_milli"), reader.integer("link_kbps") };
    return reader.allFieldsValid() ? std::optional(result) : std::nullopt;
}

std::optional<PromotionLockRow> decodePromotionLockRow(const StoreRow& row)
{
    const auto key = parseEraKey(row.key);
    if (!key || key->name != promotionLockKey)
        return std::nullopt;
    RowReader reader(row);
    PromotionLockRow result;
    result.holder = DaemonId(reader.text("holder"));
    result.incarnation = reader.text("incarnation");
    result.token = static_cast<std::uint64_t>(reader.integer("token"));
    result.untilStoreMs = reader.integer("until");
    result.version = { key->era, row.version.number };
    return reader.allFieldsValid() ? std::optional(result) : std::nullopt;
}

StoreVersion epochVersionIn(const StoreResult& result)
{
    const auto era = result.version.era;
    const auto key = toString(EraKey { era, epochKey });
    for (const auto& row : result.rows) {
        if (row.table == fleetTable && row.key == key)
            return { era, row.version.number };
    }
    return { era, 0 };
}

} // namespace endivetrestle
