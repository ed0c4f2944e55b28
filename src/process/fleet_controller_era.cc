// Beginning anew in another era of the store: opening it, and taking over its primaries.
#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>
#include <limits>

namespace endivetrestle {

namespace {

// Delay of each daemon behind the previous one in rank order, so that one of those whose lease is valid opens the era.
constexpr Duration openingStagger = std::chrono::milliseconds(200);
// Interval at which the fleet table is read until the era is open.
constexpr Duration openingPollInterval = std::chrono::milliseconds(300);

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

// The lease and the primaries in use stay as they are: a daemon whose lease is valid uses no primary that has been
// replaced, in whichever era.
void FleetController::onEraChanged(std::uint64_t newEra)
{
    const auto replacing
        = std::count_if(this->rows.begin(), this->rows.end(), [](const auto& entry) { return entry.second.replacing; });
    logEvent(LogLevel::Warning, "fleet_era_changed",
        { { "previous_era", this->era }, { "era", newEra }, { "groups", this->rows.size() }, { "replacing", replacing },
            { "lease_left_ms", toMilliseconds(this->leaseLeft()) },
            { "known_up_to", toString(this->claims.completeUpTo()) }, { "promotions_dropped", this->promotions.size() },
            { "lock_dropped", this->promotionLock.isHeld(this->now()) ? 1 : 0 } });
    this->era = newEra;
    this->eraReadAt.reset();
    this->eraBegunStoreMs.reset();
    this->fleetTableLoaded = false;
    this->fleetVersion = {};
    this->leaseRowVersion = { newEra, 0 };
    this->promotions.clear();
    this->checkedGroups.clear();
    this->promotionLock.onEraChanged();
    this->nextFleetRead = this->nextListing = this->nextRenewal = this->now();
}

void FleetController::takeFleetTable(const StoreResult& result)
{
    const auto table = parseFleetTable(result);
    if (this->leaseRowVersion.era != table.era)
        this->leaseRowVersion = { table.era, 0 };
    this->era = table.era;
    if (!this->eraReadAt) {
        this->eraReadAt = this->now();
        this->eraReadStoreMs = this->clock.upperBoundMs(this->now());
    }
    const bool knowsEarlierPrimaries = std::any_of(
        this->rows.begin(), this->rows.end(), [&](const auto& entry) { return entry.second.version.era < table.era; });
    if (table.isOpen(knowsEarlierPrimaries))
        this->joinEra(table);
    else
        this->considerOpeningEra(table);
}

// A daemon whose lease is valid knows every primary that may have been replaced, and opens the era at once. Without
// such a daemon the copy has to do, when nobody can order a promotion any more on the strength of an earlier era.
void FleetController::considerOpeningEra(const FleetTable& table)
{
    const auto now = this->now();
    this->nextFleetRead = now + openingPollInterval;
    if (this->openingPending || this->stopping)
        return;
    const bool hasLease = this->lease.isValid(now);
    const auto delay = (hasLease ? Duration::zero() : PromotionLock::validity) + openingStagger * this->ownRank();
    if (now < *this->eraReadAt + delay)
        return;
    const EraRow row { this->identity.daemon, hasLease ? EraBasis::Lease : EraBasis::Copy, this->eraReadStoreMs };
    this->openingPending = true;
    this->openEra(std::make_shared<const std::vector<StoreChange>>(openingChanges(table, this->rows, row)), 0);
}

void FleetController::openEra(const std::shared_ptr<const std::vector<StoreChange>>& changes, std::size_t next)
{
    this->store.change(
        (*changes)[next], [this, changes, next, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired())
                return;
            const bool done = result.status == StoreStatus::Done;
            if (done && next + 1 < changes->size()) {
                this->openEra(changes, next + 1);
                return;
            }
            logEvent(LogLevel::Info, done ? "era_opened" : "era_not_opened",
                { { "era", this->era }, { "version", toString(result.version) }, { "changes", changes->size() },
                    { "store_status", static_cast<int>(result.status) } });
            this->openingPending = false;
            // Whatever became of it, the table tells.
            this->readFleet();
        });
}

// Takes over the primaries of the present era. What this daemon has known of earlier ones ends here.
void FleetController::joinEra(const FleetTable& table)
{
    if (table.opening)
        this->eraBegunStoreMs = table.opening->begunStoreMs;
    std::size_t kept = 0;
    std::vector<DatabaseId> unknown;
    for (const auto& [group, row] : this->rows) {
        const auto present = table.primaries.find(group);
        if (present == table.primaries.end()) {
            if (row.version.era < table.era)
                unknown.push_back(group);
        } else if (present->second.endpoint == row.endpoint && present->second.term == row.term)
            ++kept;
        else
            logEvent(LogLevel::Info, "primary_differs_in_era",
                { { "group", group.value }, { "known", row.endpoint.value }, { "known_term", row.term },
                    { "known_version", toString(row.version) }, { "present", present->second.endpoint.value },
                    { "present_term", present->second.term }, { "replacing", present->second.replacing ? 1 : 0 } });
    }
    if (table.opening && !this->fleetTableLoaded)
        logEvent(LogLevel::Info, "era_joined",
            { { "era", table.era }, { "opened_by", table.opening->openedBy.value },
                { "basis", basisName(table.opening->basis) }, { "kept", kept }, { "dropped", unknown.size() },
                { "groups", table.primaries.size() }, { "lease_left_ms", toMilliseconds(this->leaseLeft()) } });
    for (const auto& group : unknown)
        this->forgetPrimary(group);
    for (const auto& [group, row] : table.primaries) {
        this->applyRow(row);
        // Nobody replaces a primary of which only a copy tells, so it is not waited for.
        if (row.isOpened())
            this->replacingSince[group] = Time();
    }
    this->fleetWasRead(table.epoch, table.version);
}

// Stops using a primary that the present era does not have, so that it is adopted again.
void FleetController::forgetPrimary(const DatabaseId& group)
{
    this->rows.erase(group);
    this->unreadClaims.erase(group);
    this->replacingSince.erase(group);
    const auto suspension = this->suspensions.find(group);
    if (suspension != this->suspensions.end() && suspension->second.drained)
        this->suspensions.erase(suspension);
    else
        this->suspend(group, nullptr);
}

Duration FleetController::leaseLeft() const { return std::max(Duration::zero(), this->lease.end() - this->now()); }

// Whether nothing of an earlier era acts on a primary any more that is to be replaced.
//
// A daemon that the copy lacks is a newcomer, and may use it until its lease ends, which others do not witness. Beyond
// that, a replacement may have been ordered on the strength of the promotion lock of an earlier era, but only if it had
// been claimed then: whoever opened the era had confirmed the claim, or else the primary has been taken from a copy
// after that time.
bool FleetController::earlierEraIsOver(const PrimaryRow& row) const
{
    if (!this->eraBegunStoreMs)
        return true;
    const auto limit = row.replacing ? PromotionLock::validity : PrimaryLease::newcomerValidity;
    return this->clock.lowerBoundMs(this->now()) >= *this->eraBegunStoreMs + milliseconds(limit);
}

bool FleetController::eraIsOlderThan(Duration age) const
{
    if (!this->fleetTableLoaded)
        return false;
    return !this->eraBegunStoreMs
        || this->clock.lowerBoundMs(this->now()) >= *this->eraBegunStoreMs + milliseconds(age);
}

// Whether a primary that was observed in the given row may be replaced in the present era.
bool FleetController::mayReplace(const PrimaryRow& observedRow) const
{
    return this->fleetTableLoaded && observedRow.version.era == this->era && this->earlierEraIsOver(observedRow);
}

std::int64_t FleetController::earlierLeasesEndMs() const
{
    if (!this->eraBegunStoreMs && !this->eraReadAt)
        return std::numeric_limits<std::int64_t>::max();
    return this->eraBegunStoreMs.value_or(this->eraReadStoreMs) + milliseconds(PrimaryLease::validity);
}

} // namespace endivetrestle
