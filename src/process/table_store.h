#pragma once

#include "base/clock.h"
#include "process/store_version.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace endivetrestle {

// One row of the table service.
struct StoreRow {
    std::string table;
    std::string key;
    std::string value;
    // Version of the row's last change; not set if the row does not exist.
    StoreVersion version;
    // Whether a feed reports that the row was removed.
    bool removed = false;

    bool operator==(const StoreRow&) const = default;
};

// Row and version that a condition or a removal requires. A version that is not set requires that there is no row.
struct StoreCondition {
    std::string table;
    std::string key;
    StoreVersion version;

    bool operator==(const StoreCondition&) const = default;
};

// Atomic change of rows that takes effect only if all conditions hold.
//
// A call that is not answered may take effect seconds later, when another daemon, or a later incarnation of this one,
// has changed the rows. So a removal is always a condition as well, and a write needs one on the row that it builds on.
struct StoreChange {
    std::vector<StoreCondition> conditions;
    std::vector<StoreRow> writes;
    // Rows to remove, each only if it has the given version.
    std::vector<StoreCondition> removals;

    bool operator==(const StoreChange&) const = default;
};

// How a call to the store ended.
enum class StoreStatus {
    Done,
    // A condition of a change did not hold.
    Conflict,
    // The history needed by a feed is no longer available, or it belongs to another era of the store.
    HistoryLost,
    // The store has come back from a copy since the change was prepared. Whether the change has taken effect or not, it
    // means nothing in the present era.
    EraChanged,
    // The store refused the call; nothing was done.
    Refused,
    // No answer: a change may have taken effect, or may still do so.
    Unknown,
};

// Answer of the store.
struct StoreResult {
    StoreStatus status = StoreStatus::Unknown;
    // Rows that were read or changed, or the current rows of the conditions after a conflict.
    std::vector<StoreRow> rows;
    // Newest version of the store. Its era is known whenever the store has answered at all, whatever the status.
    StoreVersion version;
    // Steady clock of the store.
    std::int64_t storeMs = 0;
    // Whether the store answered at all.
    bool answered = false;
    // Whether every row of the answer could be read. What is missing may be any row.
    bool complete = true;
    // Times at which the call was sent and answered here.
    Time sentAt;
    Time answeredAt;
};

// Table service of the platform, as the session proxy uses it. Every call is answered exactly once, except a watch that
// was given up.
class TableStore {
public:
    using Callback = std::function<void(const StoreResult&)>;

    virtual ~TableStore() = default;

    // Reads all rows of a table.
    virtual void readAll(const std::string& table, Callback callback) = 0;
    virtual void change(const StoreChange& change, Callback callback) = 0;
    // Waits until a row of the table has changed after the version, at most for the given time. A watch that does not
    // wait is not held up by one that does.
    virtual void watch(const std::string& table, StoreVersion after, Duration wait, Callback callback) = 0;
    // Gives up the watches of a table that wait; their callbacks do not run. Used when their connection may be lost.
    virtual void abandonWatches(const std::string& table) = 0;
};

} // namespace endivetrestle
