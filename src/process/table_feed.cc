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

void TableFeed::setReached(bool value)
{
    if (this->reached == value)
        return;
    this->reached = value;
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
            this->setReached(false);
            this->retry(true);
            return;
        }
        // The snapshot is reported before the store counts as reachable again, so that entries which lapsed during an
        // outage start their grace period first.
        this->lastVersion = std::max(this->lastVersion, result.version);
        this->hooks.snapshot(result.rows);
        this->setReached(true);
        this->watch();
    });
}

void TableFeed::watchSoon()
{
    const auto due = this->watchedAt + watchSpacing;
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
    this->store.watch(this->table, this->lastVersion, watchTime,
        [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired())
                return;
            switch (result.status) {
            case StoreStatus::Done:
                this->setReached(true);
                if (!result.rows.empty())
                    this->hooks.changed(result.rows);
                this->lastVersion = std::max(this->lastVersion, result.version);
                this->watchSoon();
                return;
            case StoreStatus::HistoryLost:
                logEvent(LogLevel::Info, "feed_history_lost",
                    { { "table", this->table }, { "version", this->lastVersion } });
                this->readAll();
                return;
            default:
                this->setReached(false);
                this->retry(false);
                return;
            }
        });
}

void TableFeed::retry(bool fromScratch)
{
    this->timers.subscribeAt(
        this->hooks.now() + retryPause, [this, fromScratch, weak = std::weak_ptr<int>(this->lifetime)](Time) {
            if (weak.expired())
                return;
            if (fromScratch)
                this->readAll();
            else
                this->watch();
        });
}

} // namespace endivetrestle
