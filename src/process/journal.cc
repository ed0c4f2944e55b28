#include "process/journal.h"

#include <algorithm>
#include <array>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::array journalKinds = {
    std::pair<JournalKind, std::string_view> { JournalKind::Failover, "failover" },
    std::pair<JournalKind, std::string_view> { JournalKind::Refusal, "refusal" },
    std::pair<JournalKind, std::string_view> { JournalKind::OwnerChange, "owner_change" },
    std::pair<JournalKind, std::string_view> { JournalKind::Shed, "shed" },
    std::pair<JournalKind, std::string_view> { JournalKind::Configuration, "configuration" },
    std::pair<JournalKind, std::string_view> { JournalKind::Switchover, "switchover" },
    std::pair<JournalKind, std::string_view> { JournalKind::StoreOutage, "store_outage" },
};

bool isAggregated(JournalKind kind) { return kind == JournalKind::Shed || kind == JournalKind::Refusal; }

bool matches(const JournalEntry& entry, const JournalQuery& query)
{
    if (query.database && entry.record.database != *query.database)
        return false;
    if (query.kind && entry.record.kind != *query.kind)
        return false;
    return !query.since || entry.lastAt >= *query.since;
}

json toJson(const JournalEntry& entry, Time now)
{
    json fields = json::array();
    for (const auto& [name, value] : entry.record.fields)
        fields.push_back({ { "name", name }, { "value", value } });
    return { { "id", entry.id }, { "database", entry.record.database.value },
        { "kind", journalKindName(entry.record.kind) }, { "seen", entry.record.seen },
        { "decided", entry.record.decided }, { "done", entry.record.done }, { "fields", fields },
        { "firstTime", entry.firstWallTime }, { "lastTime", entry.lastWallTime },
        { "firstAgeMs", toMilliseconds(now - entry.firstAt) }, { "lastAgeMs", toMilliseconds(now - entry.lastAt) },
        { "count", entry.count } };
}

std::string stringMember(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double numberMember(const json& object, const char* key, double fallback)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

Time timeMember(const json& object, const char* key, Time now)
{
    return now - Duration(static_cast<std::int64_t>(numberMember(object, key, 0) * 1000.0));
}

JournalEntry entryFromJson(const json& object, Time now)
{
    JournalEntry entry;
    entry.id = static_cast<std::uint64_t>(numberMember(object, "id", 0));
    entry.record.database = DatabaseId(stringMember(object, "database"));
    entry.record.kind = journalKindFromName(stringMember(object, "kind")).value_or(JournalKind::Refusal);
    entry.record.seen = stringMember(object, "seen");
    entry.record.decided = stringMember(object, "decided");
    entry.record.done = stringMember(object, "done");
    entry.firstWallTime = stringMember(object, "firstTime");
    entry.lastWallTime = stringMember(object, "lastTime");
    entry.firstAt = timeMember(object, "firstAgeMs", now);
    entry.lastAt = timeMember(object, "lastAgeMs", now);
    entry.count = static_cast<std::uint64_t>(numberMember(object, "count", 1));
    const auto fields = object.find("fields");
    if (fields == object.end() || !fields->is_array())
        return entry;
    for (const auto& field : *fields) {
        if (field.is_object())
            entry.record.fields.emplace_back(stringMember(field, "name"), stringMember(field, "value"));
    }
    return entry;
}

} // namespace

std::string_view journalKindName(JournalKind kind)
{
    for (const auto& [value, name] : journalKinds) {
        if (value == kind)
            return name;
    }
    return "refusal";
}

std::optional<JournalKind> journalKindFromName(std::string_view name)
{
    for (const auto& [value, text] : journalKinds) {
        if (text == name)
            return value;
    }
    return std::nullopt;
}

Journal::Journal(JournalSettings settings)
    : settings(settings)
{
}

JournalEntry* Journal::findAggregate(const AggregationKey& key, Time now)
{
    const auto open = this->openAggregates.find(key);
    if (open == this->openAggregates.end())
        return nullptr;
    auto& entry = this->entries.at(open->second);
    return now - entry.firstAt < this->settings.aggregationSpan ? &entry : nullptr;
}

void Journal::evict()
{
    while (this->entries.size() > std::max<std::size_t>(this->settings.capacity, 1)) {
        const bool aggregatedFirst = this->aggregatedIds.size() > this->settings.capacity / 2;
        const auto id = aggregatedFirst ? *this->aggregatedIds.begin() : this->entries.begin()->first;
        const auto& record = this->entries.at(id).record;
        const auto open = this->openAggregates.find({ record.database, record.kind, record.decided });
        if (open != this->openAggregates.end() && open->second == id)
            this->openAggregates.erase(open);
        this->aggregatedIds.erase(id);
        this->entries.erase(id);
    }
}

std::uint64_t Journal::record(JournalRecord record, Time now, const std::string& wallTime)
{
    std::lock_guard lock(this->mutex);
    const bool aggregated = isAggregated(record.kind);
    AggregationKey key;
    if (aggregated) {
        key = { record.database, record.kind, record.decided };
        if (auto* entry = this->findAggregate(key, now); entry != nullptr) {
            entry->count += 1;
            entry->lastAt = std::max(entry->lastAt, now);
            entry->lastWallTime = wallTime;
            return entry->id;
        }
    }
    const auto id = ++this->lastId;
    this->entries.emplace(id, JournalEntry { id, std::move(record), wallTime, wallTime, now, now, 1 });
    if (aggregated) {
        this->aggregatedIds.insert(id);
        this->openAggregates[std::move(key)] = id;
    }
    this->evict();
    return id;
}

bool Journal::amend(std::uint64_t id, std::string done, const JournalFields& fields)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return false;
    auto& record = found->second.record;
    record.done = std::move(done);
    record.fields.insert(record.fields.end(), fields.begin(), fields.end());
    return true;
}

std::vector<JournalEntry> Journal::query(const JournalQuery& query)
{
    std::vector<JournalEntry> result;
    std::lock_guard lock(this->mutex);
    for (auto entry = this->entries.rbegin(); entry != this->entries.rend() && result.size() < query.limit; ++entry) {
        if (matches(entry->second, query))
            result.push_back(entry->second);
    }
    std::reverse(result.begin(), result.end());
    return result;
}

json toJson(const std::vector<JournalEntry>& entries, Time now)
{
    json list = json::array();
    for (const auto& entry : entries)
        list.push_back(toJson(entry, now));
    return { { "entries", std::move(list) } };
}

std::vector<JournalEntry> journalFromJson(const json& value, Time now)
{
    std::vector<JournalEntry> entries;
    const bool hasEntries = value.is_object() && value.contains("entries");
    for (const auto& object : hasEntries ? value["entries"] : value) {
        if (object.is_object())
            entries.push_back(entryFromJson(object, now));
    }
    return entries;
}

std::string toTable(const std::vector<JournalEntry>& entries)
{
    std::string text;
    for (const auto& entry : entries) {
        const auto& record = entry.record;
        text += "#" + std::to_string(entry.id) + "  " + entry.firstWallTime + "  "
            + std::string(journalKindName(record.kind));
        if (!record.database.empty())
            text += "  " + record.database.value;
        if (entry.count > 1)
            text += "  (" + std::to_string(entry.count) + " times, last " + entry.lastWallTime + ")";
        text += "\n    seen:    " + record.seen + "\n    decided: " + record.decided + "\n    done:    " + record.done;
        for (const auto& [name, value] : record.fields)
            text += "\n    " + name + ": " + value;
        text += "\n";
    }
    return text.empty() ? "no entries\n" : text;
}

} // namespace endivetrestle
