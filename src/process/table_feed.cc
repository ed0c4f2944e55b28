#include "process/table_feed.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

TableFeed::TableFeed(std::string table, TableStore& store, TimerService& timers, TableFeedHooks hooks)
    : table(std::move(table))
    , store(store)
    , timers(timers)
    , hooks(std::move(hooks))
{
}

void TableFeed::start() { this->readAll(); }

void TableFeed::setReachable(bool value)
{
    if (this->reachable == value)
        return;
    this->reachable = value;
    logEvent(value ? LogLevel::Info : LogLevel::Warning, value ? "feed_regained" : "feed_lost",
        { { "table", this->table }, { "version", this->lastVersion } });
    this->hooks.reachable(value);
}

void TableFeed::readAll()
{
    this->store.readAll(this->table, [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (weak.expired())
            return;
        if (result.status != StoreStatus::Done) {
            this->setReachable(false);
            this->retry(true);
            return;
        }
        // The snapshot is reported before the store is reported as reachable, so that the grace period of entries that
        // expired during an outage starts first.
        this->lastVersion = std::max(this->lastVersion, result.version);
        this->hooks.snapshot(result.rows);
        this->setReachable(true);
        this->watch();
    });
}

void TableFeed::scheduleWatch()
{
    const auto due = this->watchedAt + minWatchInterval;
    if (due <= this->hooks.now()) {
        this->watch();
        return;
    }
    this->timers.subscribeAt(due, [this, weak = std::weak_ptr<int>(this->lifetime)](Time) {
        if (!weak.expired())
            this->watch();
    });
}

void TableFeed::watch()
{
    this->watchedAt = this->hooks.now();
    this->store.watch(this->table, this->lastVersion, watchTimeout,
        [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired())
                return;
            switch (result.status) {
            case StoreStatus::Done:
                this->setReachable(true);
                if (!result.rows.empty())
                    this->hooks.changed(result.rows);
                this->lastVersion = std::max(this->lastVersion, result.version);
                this->scheduleWatch();
                return;
            case StoreStatus::HistoryLost:
                logEvent(LogLevel::Info, "feed_history_lost",
                    { { "table", this->table }, { "version", this->lastVersion } });
                this->readAll();
                return;
            default:
                this->setReachable(false);
                this->retry(false);
                return;
            }
        });
}

void TableFeed::retry(bool readWholeTable)
{
    this->timers.subscribeAt(
        this->hooks.now() + retryDelay, [this, readWholeTable, weak = std::weak_ptr<int>(this->lifetime)](Time) {
            if (weak.expired())
                return;
            if (readWholeTable)
                this->readAll();
            else
                this->watch();
        });
}

} // namespace endivetrestle
