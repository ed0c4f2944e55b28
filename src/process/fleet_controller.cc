#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Pause before a failed renewal or read is repeated.
constexpr Duration storeRetry = std::chrono::milliseconds(300);
// Interval at which the fleet table is read while a primary is being replaced.
constexpr Duration replacingPoll = std::chrono::milliseconds(300);
// Rows in the longest answer of a feed.
constexpr std::size_t maxChangedRows = 500;
// Time beyond that after which a daemon reads it that neither owns nor uses the group.
constexpr Duration unwatchedPoll = std::chrono::milliseconds(1700);
// Time from the start to the second list of the leases.
constexpr Duration secondListing = std::chrono::milliseconds(1500);
// Interval at which the leases of all daemons are listed, and its increase for each daemon, so that a large fleet does
// not load the store with listings.
constexpr Duration listingInterval = std::chrono::seconds(4);
// Time for which the lease row of a daemon that has gone is kept, and rows that are removed at once.
constexpr std::int64_t lapsedLeaseKeptMs = 600'000;
constexpr std::size_t maxLapsedRemoved = 40;
constexpr Duration listingIntervalPerDaemon = std::chrono::milliseconds(250);

} // namespace

FleetController::FleetController(
    FleetIdentity identity, TableStore& store, TimerService& timers, FleetHooks hooks, std::function<Time()> now)
    : identity(std::move(identity))
    , store(store)
    , timers(timers)
    , hooks(std::move(hooks))
    , now(std::move(now))
    , duty(this->identity.daemon, this->identity.incarnation, store)
    , batch(store, timers)
{
}

FleetController::~FleetController() = default;

void FleetController::start()
{
    this->leaseWantedSince = this->now();
    this->readFleet();
    this->listLeases();
}

void FleetController::tick()
{
    const auto at = this->now();
    if (!this->fleetKnown && at >= this->nextFleetRead)
        this->readFleet();
    // Announcements tell of new primaries; the table makes up for lost ones, soon where statements wait for them.
    if (!this->suspensions.empty() && at >= this->nextFleetRead) {
        const bool soon = this->waitsForReplacement();
        if (soon || at >= this->nextFleetRead + unwatchedPoll)
            this->readFleet();
    }
    if (at >= this->nextRenewal)
        this->renew();
    if (at >= this->nextListing)
        this->listLeases();
    this->askWitnesses(at);
    if (!this->fleetKnown || this->stopping || !this->lease.isValid(at))
        return;
    this->adoptGroups(at);
    this->watchGroups(at);
}

// Whether a primary is being replaced that this daemon watches.
bool FleetController::waitsForReplacement() const
{
    const auto watched = this->hooks.watchedGroups();
    return std::any_of(watched.begin(), watched.end(),
        [&](const WatchedGroup& group) { return this->suspensions.count(group.id) != 0; });
}

// Reads what has changed in the fleet table since the last time, or the whole table the first time. A change of one
// group's primary thus costs each daemon one row, however many groups there are.
void FleetController::readFleet()
{
    if (this->fleetReading || this->stopping)
        return;
    this->fleetReading = true;
    this->nextFleetRead = this->now() + replacingPoll;
    const auto callback = [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (!weak.expired())
            this->onFleetRead(result);
    };
    if (this->fleetVersion == 0)
        this->store.readAll(fleetTable, callback);
    else
        this->store.watch(fleetTable, this->fleetVersion, Duration::zero(), callback);
}

void FleetController::onFleetRead(const StoreResult& result)
{
    this->fleetReading = false;
    const bool changesOnly = this->fleetVersion != 0;
    // A full answer may lack rows of the last change, without which its epoch would prove too much.
    const bool cut = changesOnly && result.rows.size() >= maxChangedRows;
    if (result.status == StoreStatus::HistoryLost || (result.status == StoreStatus::Done && cut)) {
        logEvent(LogLevel::Info, "fleet_read_again",
            { { "version", this->fleetVersion }, { "reason", cut ? "many_changes" : "history_lost" } });
        this->fleetVersion = 0;
        this->readFleet();
        return;
    }
    if (result.status != StoreStatus::Done) {
        this->nextFleetRead = this->now() + storeRetry;
        return;
    }
    this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
    std::uint64_t epoch = 0;
    for (const auto& row : result.rows) {
        if (row.removed)
            logEvent(LogLevel::Warning, "fleet_row_removed", { { "key", row.key }, { "version", row.version } });
        else if (row.key == epochKey)
            epoch = row.version;
        else if (const auto primary = decodePrimaryRow(row))
            this->applyRow(*primary);
    }
    this->epochVersion = std::max(this->epochVersion, epoch);
    this->noteClaim(epoch);
    this->fleetVersion = std::max(this->fleetVersion, result.version);
    if (!this->fleetKnown)
        logEvent(LogLevel::Info, "fleet_read", { { "groups", this->rows.size() }, { "epoch", epoch } });
    this->fleetKnown = true;
    // The list of the leases, which is read side by side, tells the version of this daemon's row.
    if (this->peersKnown() && this->now() >= this->nextRenewal)
        this->renew();
}

void FleetController::applyRow(const PrimaryRow& row)
{
    const auto known = this->rows.find(row.group);
    if (known != this->rows.end() && row.version <= known->second.version)
        return;
    this->rows[row.group] = row;
    // A row of a replacement that has ended tells of its claim as well.
    this->noteClaim(row.version);
    if (row.replacing) {
        this->replacingSince.try_emplace(row.group, this->now());
        this->suspend(row.group, nullptr);
        return;
    }
    this->replacingSince.erase(row.group);
    this->suspensions.erase(row.group);
    this->hooks.usePrimary(row);
}

void FleetController::suspend(const DatabaseId& group, std::function<void()> done)
{
    const auto [entry, added] = this->suspensions.try_emplace(group);
    if (!added) {
        if (!done)
            return;
        if (entry->second.drained)
            done();
        else
            entry->second.waiting.push_back(std::move(done));
        return;
    }
    if (done)
        entry->second.waiting.push_back(std::move(done));
    logEvent(
        LogLevel::Info, "primary_suspended", { { "group", group.value }, { "version", this->rows.at(group).version } });
    this->hooks.suspendHere(group, [this, group, weak = std::weak_ptr<int>(this->lifetime)] {
        if (weak.expired())
            return;
        const auto found = this->suspensions.find(group);
        if (found == this->suspensions.end())
            return;
        found->second.drained = true;
        const auto waiting = std::move(found->second.waiting);
        found->second.waiting.clear();
        for (const auto& callback : waiting)
            callback();
    });
}

void FleetController::onSuspendRequest(const DatabaseId& group, std::uint64_t claimVersion, std::function<void()> done)
{
    const auto known = this->rows.find(group);
    // A newer row has replaced the claim already.
    if (known != this->rows.end() && known->second.version > claimVersion && !known->second.replacing) {
        done();
        return;
    }
    if (known == this->rows.end() || known->second.version < claimVersion) {
        auto& row = this->rows[group];
        row.group = group;
        row.replacing = true;
        row.version = claimVersion;
        this->noteClaim(claimVersion);
        this->replacingSince.try_emplace(group, this->now());
    }
    this->suspend(group, std::move(done));
}

void FleetController::onAnnouncement(const std::vector<PrimaryRow>& rows)
{
    for (const auto& row : rows)
        this->applyRow(row);
}

void FleetController::listLeases()
{
    this->nextListing = this->now() + secondListing;
    this->store.readAll(leaseTable, [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (weak.expired())
            return;
        if (result.status != StoreStatus::Done) {
            this->nextListing = this->now() + storeRetry;
            return;
        }
        this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
        const auto storeMs = this->clock.earliestMs(this->now());
        this->peers.clear();
        // A daemon counts as alive until its lease has ended: renewals come late while the store is slow, and then a
        // shorter limit would take most daemons for dead.
        std::vector<LeaseRow> alive;
        std::vector<StoreCondition> lapsed;
        bool ownListed = false;
        bool othersLapsed = false;
        for (const auto& row : result.rows) {
            const auto lease = decodeLeaseRow(row);
            if (!lease)
                continue;
            if (lease->daemon == this->identity.daemon) {
                ownListed = true;
                if (!this->renewing)
                    this->leaseRowVersion = std::max(this->leaseRowVersion, row.version);
                continue;
            }
            if (lease->untilStoreMs <= storeMs) {
                othersLapsed = true;
                if (storeMs - lease->untilStoreMs > lapsedLeaseKeptMs && lapsed.size() < maxLapsedRemoved)
                    lapsed.push_back({ leaseTable, row.key, row.version });
                continue;
            }
            this->peers[lease->daemon] = *lease;
            alive.push_back(*lease);
        }
        this->liveCount = alive.size() + 1;
        // A daemon that starts again beside others, or after a short loss of all, finds the fleet of before.
        if (++this->listings == 1)
            this->firstListComplete = ownListed && !othersLapsed && !alive.empty();
        if (this->peersSettled()) {
            const Duration usual = listingInterval + listingIntervalPerDaemon * static_cast<int>(this->liveCount);
            this->nextListing = this->now() + usual;
        }
        this->hooks.onLiveDaemons(alive);
        if (!lapsed.empty() && this->peersSettled() && this->ownRank() == 0)
            this->removeLapsedLeases(std::move(lapsed));
        if (this->now() >= this->nextRenewal)
            this->renew();
    });
}

// Removes the rows of daemons that have been gone for long, which would otherwise stay for ever: hosts are replaced
// under new names every day. A daemon that comes back after all stores a new row.
void FleetController::removeLapsedLeases(std::vector<StoreCondition> rows)
{
    logEvent(LogLevel::Info, "lapsed_leases_removed", { { "count", rows.size() } });
    StoreChange change;
    change.conditions = rows;
    change.removals = std::move(rows);
    this->store.change(change, [](const StoreResult& result) {
        // The next listing finds what is left.
        if (result.status != StoreStatus::Done)
            logEvent(LogLevel::Info, "lapsed_leases_kept", { { "store_status", static_cast<int>(result.status) } });
    });
}

void FleetController::stop(std::function<void()> done)
{
    this->stopping = true;
    // A replacement in progress is taken over by another daemon.
    this->promotions.clear();
    this->duty.giveBack();
    // Once the row is gone nobody waits for this daemon, so it stops using primaries before that.
    this->lease = PrimaryLease();
    StoreChange change;
    change.removals.push_back({ leaseTable, this->identity.daemon.value });
    this->store.change(change, [done = std::move(done)](const StoreResult&) { done(); });
}

} // namespace endivetrestle
