#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/lock_order.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace endivetrestle {

// Kind of a recorded decision.
enum class JournalKind { Failover, Refusal, OwnerChange, Shed, Configuration, Switchover, StoreOutage };

// Lower-case name such as "owner_change", and its inverse; no value for a name that is not known.
std::string_view journalKindName(JournalKind kind);
std::optional<JournalKind> journalKindFromName(std::string_view name);

// Additional values of an entry in the order in which they are shown.
using JournalFields = std::vector<std::pair<std::string, std::string>>;

// Decision that a module passes in for recording.
struct JournalRecord {
    // Empty for decisions that concern no single database.
    DatabaseId database;
    JournalKind kind = JournalKind::Failover;
    // The observations that led to the decision, for example "no answer from a1 for 520 ms".
    std::string seen;
    // The decision and its reason, for example "shed: queue full".
    std::string decided;
    // The effect as far as it is known; can be amended later.
    std::string done;
    JournalFields fields;

    bool operator==(const JournalRecord&) const = default;
};

// One entry of the journal.
struct JournalEntry {
    // Counted from 1, never reused.
    std::uint64_t id = 0;
    JournalRecord record;
    // Wall-clock text of the first and the last occurrence, as passed in.
    std::string firstWallTime;
    std::string lastWallTime;
    Time firstAt;
    Time lastAt;
    // Number of occurrences; above 1 only for aggregated kinds.
    std::uint64_t count = 1;

    bool operator==(const JournalEntry&) const = default;
};

// Selection of entries. Conditions that are not set match every entry.
struct JournalQuery {
    std::optional<DatabaseId> database;
    std::optional<JournalKind> kind;
    // Entries whose last occurrence is at this time or later.
    std::optional<Time> since;
    // The newest entries are kept if more match.
    std::size_t limit = 200;
};

struct JournalSettings {
    // Maximum number of entries.
    std::size_t capacity = 1024;
    // A repeated shed or refusal is counted in the previous entry if that entry began less than this time ago.
    Duration aggregationSpan = std::chrono::seconds(10);
};

// Bounded record of decisions that shows operators what happened and why. Repeated shed and refusal events of the same
// database and decision are counted in one entry, and together they occupy at most half of the capacity, so that an
// overload cannot evict the record of a failover. Thread-safe, with one lock at level Journal.
//
// Example:
//     const auto id = journal.record({ database, JournalKind::Failover, seen, "replace a1", "fencing" }, now, wall);
//     journal.amend(id, "promoted a2", { { "gapMs", "640" } });
class Journal {
public:
    explicit Journal(JournalSettings settings);

    // Adds an entry, or counts the event in an earlier entry of an aggregated kind, and returns the entry's id.
    std::uint64_t record(JournalRecord record, Time now, const std::string& wallTime);

    // Replaces the text of `done` and appends fields. Returns false if the entry is no longer kept.
    bool amend(std::uint64_t id, std::string done, const JournalFields& fields);

    // Matching entries, oldest first.
    [[nodiscard]] std::vector<JournalEntry> query(const JournalQuery& query);

private:
    using AggregationKey = std::tuple<DatabaseId, JournalKind, std::string>;

    JournalEntry* findAggregate(const AggregationKey& key, Time now);
    void evict();

    JournalSettings settings;
    OrderedMutex mutex { LockLevel::Journal };
    std::uint64_t lastId = 0;
    std::map<std::uint64_t, JournalEntry> entries;
    std::set<std::uint64_t> aggregatedIds;
    std::map<AggregationKey, std::uint64_t> openAggregates;
};

// {"entries": [...]}; monotonic times are given as age in milliseconds before `now`.
nlohmann::json toJson(const std::vector<JournalEntry>& entries, Time now);

// Inverse of toJson() with times relative to `now`; also accepts the list alone. Members that are missing or of another
// type keep their defaults.
std::vector<JournalEntry> journalFromJson(const nlohmann::json& value, Time now);

// One line per entry: id, wall time, count, database, kind, and what was seen, decided and done.
std::string toTable(const std::vector<JournalEntry>& entries);

} // namespace endivetrestle
