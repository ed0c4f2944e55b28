#pragma once

#include "process/fleet_rows.h"
#include "process/table_store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace endivetrestle {

// Tables of the simulated store, for tests of the fleet controller. Calls take effect at once; the simulation decides
// when they are made and what becomes of their answers.
class SimulatedTables {
public:
    explicit SimulatedTables(std::function<Time()> now)
        : now(std::move(now))
    {
    }

    // Whether the store has lost the history of earlier changes.
    bool historyLost = false;
    // Number of rows of the fleet table that were returned.
    std::size_t fleetRowsRead = 0;

    [[nodiscard]] bool hasRow(const std::string& table, const std::string& key) const
    {
        return this->rows.count({ table, key }) != 0;
    }

    StoreResult read(const std::string& table)
    {
        auto result = this->collect(table, 0);
        this->countRows(table, result);
        return result;
    }

    // Rows that have changed after a version, in the order of their changes.
    StoreResult changes(const std::string& table, std::uint64_t after)
    {
        auto result = this->collect(table, after);
        if (this->historyLost) {
            result.status = StoreStatus::HistoryLost;
            result.rows.clear();
        }
        std::stable_sort(result.rows.begin(), result.rows.end(),
            [](const StoreRow& left, const StoreRow& right) { return left.version < right.version; });
        this->countRows(table, result);
        return result;
    }

    StoreResult apply(const StoreChange& change)
    {
        StoreResult result;
        result.storeMs = this->storeMs();
        bool holds = true;
        auto conditions = change.conditions;
        conditions.insert(conditions.end(), change.removals.begin(), change.removals.end());
        for (const auto& condition : conditions) {
            const auto found = this->rows.find({ condition.table, condition.key });
            const auto present = found == this->rows.end() ? 0 : found->second.version;
            holds = holds && present == condition.version;
            if (found != this->rows.end())
                result.rows.push_back(found->second);
        }
        result.version = this->version;
        if (!holds) {
            result.status = StoreStatus::Conflict;
            return result;
        }
        result.rows.clear();
        ++this->version;
        for (auto row : change.writes) {
            row.version = this->version;
            this->rows[{ row.table, row.key }] = row;
        }
        for (const auto& removal : change.removals)
            this->rows.erase({ removal.table, removal.key });
        result.status = StoreStatus::Done;
        result.version = this->version;
        return result;
    }

private:
    // Rows of a table with a version above the given one.
    [[nodiscard]] StoreResult collect(const std::string& table, std::uint64_t after) const
    {
        StoreResult result;
        result.status = StoreStatus::Done;
        result.version = this->version;
        result.storeMs = this->storeMs();
        for (const auto& [key, row] : this->rows) {
            if (key.first == table && row.version > after)
                result.rows.push_back(row);
        }
        return result;
    }

    [[nodiscard]] std::int64_t storeMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->now().time_since_epoch()).count();
    }

    void countRows(const std::string& table, const StoreResult& result)
    {
        this->fleetRowsRead += table == fleetTable ? result.rows.size() : 0;
    }

    std::function<Time()> now;
    std::map<std::pair<std::string, std::string>, StoreRow> rows;
    std::uint64_t version = 0;
};

} // namespace endivetrestle
