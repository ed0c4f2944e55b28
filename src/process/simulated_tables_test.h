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

    // Rows and newest version at one moment, from which the store may be restored.
    struct Copy {
        std::map<std::pair<std::string, std::string>, StoreRow> rows;
        std::uint64_t number = 0;
    };

    [[nodiscard]] Copy copy() const { return { this->rows, this->number }; }
    // Loses what was acknowledged since the copy was taken. Versions go back with it and are given out again.
    void restore(const Copy& copy)
    {
        this->rows = copy.rows;
        this->number = copy.number;
        ++this->era;
    }

    // Number of the present era. It rises by one each time that the store is restored.
    std::uint64_t era = 1;
    // Whether the store has lost the history of earlier changes.
    bool historyLost = false;
    // Number of rows of the fleet table that were returned.
    std::size_t fleetRowsRead = 0;

    // Whether there is a row of the given name in the present era.
    [[nodiscard]] bool hasRow(const std::string& table, const std::string& name) const
    {
        return this->rows.count({ table, toString(EraKey { this->era, name }) }) != 0;
    }

    // Whether the promotion lock has ever been taken.
    [[nodiscard]] bool hasLock() const
    {
        return std::any_of(this->rows.begin(), this->rows.end(),
            [](const auto& entry) { return entry.first.second.find(promotionLockKey) != std::string::npos; });
    }

    StoreResult read(const std::string& table)
    {
        auto result = this->collect(table, 0);
        this->countRows(table, result);
        return result;
    }

    // Rows that have changed after a version, in the order of their changes.
    StoreResult changes(const std::string& table, StoreVersion after)
    {
        auto result = this->collect(table, after.number);
        if (this->historyLost || after.number > this->number) {
            result.status = StoreStatus::HistoryLost;
            result.rows.clear();
        }
        std::stable_sort(result.rows.begin(), result.rows.end(),
            [](const StoreRow& left, const StoreRow& right) { return left.version.number < right.version.number; });
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
            // The store knows numbers only: the eras are the business of its clients.
            const auto present = found == this->rows.end() ? 0 : found->second.version.number;
            holds = holds && present == condition.version.number;
            if (found != this->rows.end())
                result.rows.push_back(found->second);
        }
        result.version = this->newest();
        result.answered = true;
        if (!holds) {
            result.status = StoreStatus::Conflict;
            return result;
        }
        result.rows.clear();
        ++this->number;
        for (auto row : change.writes) {
            row.version = this->newest();
            this->rows[{ row.table, row.key }] = row;
        }
        for (const auto& removal : change.removals)
            this->rows.erase({ removal.table, removal.key });
        result.status = StoreStatus::Done;
        result.version = this->newest();
        return result;
    }

private:
    [[nodiscard]] StoreVersion newest() const { return { this->era, this->number }; }

    // Rows of a table with a version above the given one.
    [[nodiscard]] StoreResult collect(const std::string& table, std::uint64_t after) const
    {
        StoreResult result;
        result.status = StoreStatus::Done;
        result.answered = true;
        result.version = this->newest();
        result.storeMs = this->storeMs();
        for (const auto& [key, row] : this->rows) {
            if (key.first != table || row.version.number <= after)
                continue;
            result.rows.push_back(row);
            result.rows.back().version.era = this->era;
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
    std::uint64_t number = 0;
};

} // namespace endivetrestle
