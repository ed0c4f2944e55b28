#pragma once

#include "base/timer_service.h"
#include "process/table_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivetrestle {

// What a feed reports.
struct TableFeedHooks {
    std::function<Time()> now;
    // All rows of the table, after the first read and whenever the history was lost.
    std::function<void(const std::vector<StoreRow>&)> snapshot;
    // Rows that have changed or were removed, in order.
    std::function<void(const std::vector<StoreRow>&)> changed;
    // The store does not answer, or answers again.
    std::function<void(bool reachable)> reachable;
};

// Follows one table of the store: reads it once and then waits for changes from the version that was read. A watch that
// stays without an answer is repeated from the same version, so that no change is missed.
class TableFeed {
public:
    // Time that a watch waits for a change. A connection that went silent is noticed earlier, by keep-alive probes.
    static constexpr Duration watchTime = std::chrono::seconds(28);
    // Shortest time between two watches. Changes that come in quick succession are read together.
    static constexpr Duration watchSpacing = std::chrono::milliseconds(250);
    // Pause after a call that the store refused or did not answer.
    static constexpr Duration retryPause = std::chrono::milliseconds(250);

    TableFeed(std::string table, TableStore& store, TimerService& timers, TableFeedHooks hooks);
    TableFeed(const TableFeed&) = delete;
    TableFeed& operator=(const TableFeed&) = delete;

    void start();

    // Version up to which changes have been reported.
    [[nodiscard]] std::uint64_t version() const { return this->lastVersion; }
    [[nodiscard]] bool isReachable() const { return this->reached; }

private:
    void readAll();
    void watch();
    void watchSoon();
    void retry(bool fromScratch);
    void setReached(bool value);

    std::string table;
    TableStore& store;
    TimerService& timers;
    TableFeedHooks hooks;
    std::uint64_t lastVersion = 0;
    bool reached = true;
    Time watchedAt;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
