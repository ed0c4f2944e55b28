#include "process/table_feed.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

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
        { { "table", this->table }, { "version", toString(this->lastVersion) } });
    this->hooks.reachable(value);
}

void TableFeed::readAll(AfterReading after, const std::function<void(bool)>& callback)
{
    const auto take = [this, after, callback, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (weak.expired())
            return;
        // A snapshot older than what has been reported comes from a call that was overtaken.
        const bool usable = result.status == StoreStatus::Done && result.version >= this->lastVersion;
        if (usable) {
            this->takeSnapshot(result, after);
        } else if (after == AfterReading::Follow) {
            this->setReachable(false);
            this->retry(true);
        }
        if (callback)
            callback(usable);
    };
    this->store.readAll(this->table, take);
}

void TableFeed::takeSnapshot(const StoreResult& result, AfterReading after)
{
    if (this->lastVersion.isSet() && result.version.era != this->lastVersion.era)
        logEvent(LogLevel::Info, "feed_read_in_new_era",
            { { "table", this->table }, { "known_version", toString(this->lastVersion) },
                { "version", toString(result.version) }, { "rows", result.rows.size() } });
    // The snapshot is reported before the store is reported as reachable, so that the grace period of entries that
    // expired during an outage starts first.
    this->lastVersion = std::max(this->lastVersion, result.version);
    this->versionUsable = true;
    this->lacksRows = !result.complete;
    this->hooks.snapshot(result.rows);
    this->setReachable(true);
    this->reportComplete(result);
    if (after == AfterReading::Follow || !this->watching)
        this->watch();
}

void TableFeed::reportComplete(const StoreResult& result)
{
    if (this->hooks.complete && !this->lacksRows && result.version.era == this->lastVersion.era)
        this->hooks.complete(result.sentAt, result.version);
}

void TableFeed::readOnce(std::function<void(bool)> callback) { this->readAll(AfterReading::LeaveFeed, callback); }

void TableFeed::catchUp(std::function<void(bool)> callback)
{
    if (this->lastVersion.isSet() && !this->versionUsable) {
        // The reading that follows a change of the era is repeated until it is answered.
        this->readAll(AfterReading::LeaveFeed, callback);
        return;
    }
    const auto take
        = [this, callback = std::move(callback), weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
              if (weak.expired())
                  return;
              if (result.status == StoreStatus::HistoryLost) {
                  logEvent(LogLevel::Info, "feed_history_lost",
                      { { "table", this->table }, { "version", toString(this->lastVersion) } });
                  this->readAll(AfterReading::Follow, callback);
                  return;
              }
              const bool current = result.status == StoreStatus::Done && this->lastVersion.isSet();
              if (current && !result.rows.empty())
                  this->checkWatchLater();
              if (current) {
                  this->takeChanges(result);
                  this->reportComplete(result);
              }
              callback(current);
          };
    this->store.watch(this->table, this->lastVersion, Duration::zero(), take);
}

// What another reading has brought, the outstanding watch has to tell as well.
void TableFeed::checkWatchLater()
{
    this->timers.subscribeAt(this->hooks.now() + watchDelayLimit,
        [this, number = this->watchNumber, weak = std::weak_ptr<int>(this->lifetime)](Time) {
            if (!weak.expired() && number == this->watchNumber)
                this->watchAgain();
        });
}

void TableFeed::watchAgain()
{
    if (!this->watching)
        return;
    // The list may be old, so entries that are missing now get their grace period again.
    this->setReachable(false);
    this->watch();
}

void TableFeed::startOver()
{
    this->versionUsable = false;
    this->lastWatchWasHeard = false;
    if (std::exchange(this->watching, false))
        this->store.abandonWatches(this->table);
    // Answers to calls of before are ignored.
    ++this->watchNumber;
    // Entries that are missing in the copy get their grace period again.
    this->setReachable(false);
    this->readAll();
}

// Reports the rows that are newer than what has been reported. A watch and a reading beside it may be answered in
// either order.
void TableFeed::takeChanges(const StoreResult& result)
{
    std::vector<StoreRow> rows;
    for (const auto& row : result.rows) {
        if (!row.version.isSet() || row.version > this->lastVersion)
            rows.push_back(row);
    }
    if (!rows.empty())
        this->hooks.changed(rows);
    this->lastVersion = std::max(this->lastVersion, result.version);
    this->lacksRows = this->lacksRows || !result.complete;
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
    if (!this->versionUsable) {
        this->readAll();
        return;
    }
    // The store client would keep a new watch waiting behind one that is lost.
    if (std::exchange(this->watching, true))
        this->store.abandonWatches(this->table);
    this->watchedAt = this->hooks.now();
    const auto wait = std::exchange(this->lastWatchWasHeard, false) ? watchTimeout : firstWatchTimeout;
    this->store.watch(this->table, this->lastVersion, wait,
        [this, number = ++this->watchNumber, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired() || number != this->watchNumber)
                return;
            this->watching = false;
            switch (result.status) {
            case StoreStatus::Done:
                this->setReachable(true);
                this->lastWatchWasHeard = result.rows.empty();
                this->takeChanges(result);
                this->reportComplete(result);
                this->scheduleWatch();
                return;
            case StoreStatus::HistoryLost:
                logEvent(LogLevel::Info, "feed_history_lost",
                    { { "table", this->table }, { "version", toString(this->lastVersion) } });
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
