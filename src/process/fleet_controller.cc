#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Delay before a failed read of a table is retried.
constexpr Duration readRetryDelay = std::chrono::milliseconds(300);
// Interval at which the fleet table is read while the primary of a watched group is being replaced.
constexpr Duration replacementPollInterval = std::chrono::milliseconds(300);
// Maximum number of rows in one answer of the change feed.
constexpr std::size_t maxChangedRows = 500;
// Additional delay for a daemon that neither owns nor uses the group.
constexpr Duration unwatchedPollDelay = std::chrono::milliseconds(1700);
// Delay between the first and the second listing of the leases.
constexpr Duration secondListingDelay = std::chrono::milliseconds(1500);
// Interval at which the leases of all daemons are listed. It grows by listingIntervalPerDaemon for each daemon, to
// limit the load that a large fleet puts on the store.
constexpr Duration listingInterval = std::chrono::seconds(4);
// Time for which an expired lease row is kept, and the maximum number of rows that one change removes.
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
    , promotionLock(this->identity.daemon, this->identity.incarnation, store)
    , leaseBatch(store, timers)
    , holderLists(this->holderListContext())
{
}

FleetController::~FleetController() = default;

void FleetController::start()
{
    this->noLeaseSince = this->now();
    this->readFleet();
    this->listLeases();
}

void FleetController::tick()
{
    const auto at = this->now();
    if (!this->fleetTableLoaded && at >= this->nextFleetRead)
        this->readFleet();
    // New primaries are announced, but announcements may be lost, so the table is read as well. It is read sooner if
    // this daemon watches the group, because statements wait for the new primary.
    if (!this->suspensions.empty() && at >= this->nextFleetRead) {
        const bool soon = this->watchesSuspendedPrimary();
        if (soon || at >= this->nextFleetRead + unwatchedPollDelay)
            this->readFleet();
    }
    if (at >= this->nextRenewal)
        this->renew();
    if (at >= this->nextListing)
        this->listLeases();
    this->askWitnesses(at);
    if (!this->fleetTableLoaded || this->stopping || !this->lease.isValid(at))
        return;
    this->adoptGroups(at);
    this->checkWatchedGroups(at);
}

// Whether the primary of a group that this daemon watches is being replaced.
bool FleetController::watchesSuspendedPrimary() const
{
    const auto watched = this->hooks.watchedGroups();
    return std::any_of(watched.begin(), watched.end(),
        [&](const WatchedGroup& group) { return this->suspensions.count(group.id) != 0; });
}

// Reads the changes of the fleet table since the last read, or the whole table the first time. A change of one group's
// primary therefore costs each daemon one row, regardless of the number of groups.
void FleetController::readFleet()
{
    if (this->fleetReadPending || this->stopping)
        return;
    this->fleetReadPending = true;
    this->nextFleetRead = this->now() + replacementPollInterval;
    const bool wholeTable = !this->fleetVersion.isSet();
    const auto callback = [this, wholeTable, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (!weak.expired())
            this->onFleetRead(result, wholeTable);
    };
    if (wholeTable)
        this->store.readAll(fleetTable, callback);
    else
        this->store.watch(fleetTable, this->fleetVersion, Duration::zero(), callback);
}

void FleetController::onFleetRead(const StoreResult& result, bool wholeTable)
{
    this->fleetReadPending = false;
    // An answer of maximum size may lack rows of the last change. Its epoch must not be used, because this daemon would
    // then confirm a claim that it has not seen.
    const bool cut = !wholeTable && result.rows.size() >= maxChangedRows;
    if (result.status == StoreStatus::HistoryLost || (result.status == StoreStatus::Done && cut)) {
        logEvent(LogLevel::Info, "fleet_read_again",
            { { "version", toString(this->fleetVersion) }, { "reason", cut ? "many_changes" : "history_lost" } });
        this->fleetVersion = {};
        this->readFleet();
        return;
    }
    if (result.status != StoreStatus::Done) {
        this->nextFleetRead = this->now() + readRetryDelay;
        return;
    }
    this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
    if (wholeTable)
        this->takeFleetTable(result);
    else
        this->takeFleetChanges(result);
}

void FleetController::takeFleetChanges(const StoreResult& result)
{
    for (const auto& row : result.rows) {
        if (row.removed)
            logEvent(
                LogLevel::Warning, "fleet_row_removed", { { "key", row.key }, { "version", toString(row.version) } });
        else if (const auto primary = decodePrimaryRow(row); primary && primary->version.era == this->era)
            this->applyRow(*primary);
    }
    this->fleetWasRead(epochVersionIn(result), result.version);
}

// All rows up to a version have been applied. An epoch that is not set has not changed.
void FleetController::fleetWasRead(StoreVersion epoch, StoreVersion upTo)
{
    this->claims.addAllUpTo(epoch);
    this->fleetVersion = std::max(this->fleetVersion, upTo);
    if (!this->fleetTableLoaded)
        logEvent(LogLevel::Info, "fleet_read",
            { { "groups", this->rows.size() }, { "epoch", toString(epoch) }, { "era", this->era } });
    this->fleetTableLoaded = true;
    // The renewal needs the version of this daemon's row, which the concurrent listing of the leases provides.
    if (this->peersKnown() && this->now() >= this->nextRenewal)
        this->renew();
}

void FleetController::applyRow(const PrimaryRow& row)
{
    const auto known = this->rows.find(row.group);
    if (known != this->rows.end() && row.version < known->second.version)
        return;
    if (known != this->rows.end() && row.version == known->second.version && this->unreadClaims.count(row.group) == 0)
        return;
    this->unreadClaims.erase(row.group);
    this->rows[row.group] = row;
    // The row of a finished replacement also proves that there was a claim.
    this->claims.add(row.claimVersion(), row.previousEpoch);
    if (row.replacing) {
        this->replacingSince.try_emplace(row.group, this->now());
        this->suspend(row.group, nullptr);
        return;
    }
    this->replacingSince.erase(row.group);
    this->missingHolders.erase(row.group);
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
            entry->second.drainedCallbacks.push_back(std::move(done));
        return;
    }
    if (done)
        entry->second.drainedCallbacks.push_back(std::move(done));
    const auto row = this->rows.find(group);
    const auto version = row == this->rows.end() ? StoreVersion() : row->second.version;
    logEvent(LogLevel::Info, "primary_suspended", { { "group", group.value }, { "version", toString(version) } });
    this->hooks.suspendLocally(group, [this, group, weak = std::weak_ptr<int>(this->lifetime)] {
        if (weak.expired())
            return;
        const auto found = this->suspensions.find(group);
        if (found == this->suspensions.end())
            return;
        found->second.drained = true;
        const auto waiting = std::move(found->second.drainedCallbacks);
        found->second.drainedCallbacks.clear();
        // A primary that the present era does not have is adopted anew.
        if (this->rows.count(group) == 0)
            this->suspensions.erase(found);
        for (const auto& callback : waiting)
            callback();
    });
}

bool FleetController::onSuspendRequest(const Claim& claim, std::function<void()> done)
{
    // A confirmation would count for a claim that no other daemon knows any more.
    if (claim.version.era < this->era) {
        logEvent(LogLevel::Info, "claim_of_earlier_era",
            { { "group", claim.group.value }, { "claim", toString(claim.version) }, { "era", this->era } });
        return false;
    }
    const auto known = this->rows.find(claim.group);
    this->claims.add(claim.version, claim.previousEpoch);
    // The replacement that made this claim has already finished.
    if (known != this->rows.end() && known->second.version > claim.version && !known->second.replacing) {
        done();
        return true;
    }
    if (known == this->rows.end() || known->second.version < claim.version) {
        auto& row = this->rows[claim.group];
        row.group = claim.group;
        row.replacing = true;
        row.version = claim.version;
        row.previousEpoch = claim.previousEpoch;
        this->unreadClaims.insert(claim.group);
        this->replacingSince.try_emplace(claim.group, this->now());
    }
    this->suspend(claim.group, std::move(done));
    return true;
}

void FleetController::onAnnouncement(const std::vector<PrimaryRow>& rows)
{
    for (const auto& row : rows) {
        // The rows of a later era are read from the store, all of them together.
        if (row.version.era == this->era)
            this->applyRow(row);
        else
            logEvent(LogLevel::Info, "announcement_of_other_era",
                { { "group", row.group.value }, { "version", toString(row.version) }, { "era", this->era } });
    }
}

void FleetController::listLeases()
{
    this->nextListing = this->now() + secondListingDelay;
    this->store.readAll(leaseTable, [this, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (weak.expired())
            return;
        if (result.status == StoreStatus::Done)
            this->onLeasesListed(result);
        else
            this->nextListing = this->now() + readRetryDelay;
    });
}

void FleetController::onLeasesListed(const StoreResult& result)
{
    this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
    const auto storeMs = this->clock.lowerBoundMs(this->now());
    const auto listedEra = result.version.era;
    std::vector<StoreCondition> lapsed;
    for (const auto& row : result.rows) {
        const auto lease = decodeLeaseRow(row);
        const bool own = lease && lease->daemon == this->identity.daemon;
        if (own)
            this->rowSinceStoreMs
                = std::min(this->rowSinceStoreMs.value_or(lease->rowSinceStoreMs), lease->rowSinceStoreMs);
        if (own && lease->epochVersion.era == listedEra && !this->renewalPending)
            this->leaseRowVersion = std::max(this->leaseRowVersion, row.version);
        // Rows of earlier eras lapse as well, but their versions are those of the era that holds them.
        if (lease && storeMs - lease->untilStoreMs > lapsedLeaseKeptMs && lapsed.size() < maxLapsedRemoved)
            lapsed.push_back({ leaseTable, row.key, row.version });
    }
    // A daemon counts as alive until its lease has expired. Renewals are late while the store is slow, and with a
    // shorter limit most daemons would then count as dead. What a copy tells of a lease is older than the lease, so a
    // daemon that was alive before the store was restored counts until all leases of before have ended.
    std::vector<LeaseRow> alive;
    bool ownListed = false;
    bool othersLapsed = false;
    for (const auto& lease : leasesOf(result.rows, listedEra, this->earlierLeasesEndMs())) {
        if (lease.daemon == this->identity.daemon) {
            ownListed = true;
            continue;
        }
        const bool ofEarlierEra = lease.epochVersion.era < listedEra;
        const bool valid = lease.untilStoreMs > storeMs && (!ofEarlierEra || this->peers.count(lease.daemon) != 0);
        if (valid)
            alive.push_back(lease);
        else
            othersLapsed = true;
    }
    this->peers.clear();
    for (const auto& lease : alive)
        this->peers[lease.daemon] = lease;
    this->liveCount = alive.size() + 1;
    // After a restart while others run, or after a short outage of the whole fleet, the first list already contains all
    // daemons.
    if (++this->leaseListings == 1)
        this->firstListComplete = ownListed && !othersLapsed && !alive.empty();
    if (this->peerListComplete()) {
        const Duration usual = listingInterval + listingIntervalPerDaemon * static_cast<int>(this->liveCount);
        this->nextListing = this->now() + usual;
    }
    this->hooks.onLiveDaemons(alive);
    if (!lapsed.empty() && this->peerListComplete() && this->ownRank() == 0)
        this->removeLapsedLeases(std::move(lapsed));
    if (this->now() >= this->nextRenewal)
        this->renew();
}

// Removes lease rows that expired long ago. They would accumulate otherwise, because hosts are replaced under new names
// every day. A daemon that does return stores a new row.
void FleetController::removeLapsedLeases(std::vector<StoreCondition> rows)
{
    logEvent(LogLevel::Info, "lapsed_leases_removed", { { "count", rows.size() } });
    StoreChange change;
    change.removals = std::move(rows);
    this->store.change(change, [](const StoreResult& result) {
        // The next listing finds the rows that are left.
        if (result.status != StoreStatus::Done)
            logEvent(LogLevel::Info, "lapsed_leases_kept", { { "store_status", static_cast<int>(result.status) } });
    });
}

void FleetController::stop(std::function<void()> done)
{
    this->stopping = true;
    // A replacement in progress is taken over by another daemon.
    this->promotions.clear();
    this->promotionLock.release();
    // After the row has been removed, a replacement no longer waits for this daemon, so it must stop using primaries
    // first.
    this->lease = PrimaryLease();
    this->removeLease(this->leaseRowVersion, std::move(done));
}

// Removes the lease row if it has the given version; version 0 only tests that there is none. A call that is done late,
// when this daemon has been started again, must not remove the row of the next incarnation.
void FleetController::removeLease(StoreVersion version, std::function<void()> done)
{
    const StoreCondition row { leaseTable, toString(EraKey { version.era, this->identity.daemon.value }), version };
    StoreChange change;
    (!version.isSet() ? change.conditions : change.removals).push_back(row);
    const auto callback = [this, version, done = std::move(done), weak = std::weak_ptr<int>(this->lifetime)](
                              const StoreResult& result) {
        const auto newer = weak.expired() ? StoreVersion {} : this->ownLeaseVersionIn(result);
        // A renewal that was on its way has taken effect first.
        if (result.status == StoreStatus::Conflict && newer > version) {
            this->removeLease(newer, done);
            return;
        }
        if (result.status != StoreStatus::Done)
            logEvent(LogLevel::Info, "lease_row_kept",
                { { "row_version", toString(version) }, { "store_status", static_cast<int>(result.status) } });
        done();
    };
    this->store.change(change, callback);
}

std::string FleetController::ownLeaseKey() const { return toString(EraKey { this->era, this->identity.daemon.value }); }

// Version of this incarnation's lease row in the answer to a change; not set if it is absent or belongs to another one.
StoreVersion FleetController::ownLeaseVersionIn(const StoreResult& result) const
{
    for (const auto& row : result.rows) {
        const bool own = row.table == leaseTable && row.key == this->ownLeaseKey() && !row.removed;
        const auto lease = own ? decodeLeaseRow(row) : std::nullopt;
        if (lease && lease->incarnation == this->identity.incarnation)
            return row.version;
    }
    return {};
}

} // namespace endivetrestle
