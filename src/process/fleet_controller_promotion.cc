// Decides when the primary of a group is replaced, and by which daemon.
#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Delay after an attempt to replace a primary before the next one.
constexpr Duration attemptDelay = std::chrono::milliseconds(300);
// Time after which this daemon tries to take over a replacement that another daemon started. It succeeds only if that
// daemon no longer holds the promotion lock.
constexpr Duration takeoverTimeout = std::chrono::milliseconds(2500);
// Delay of each daemon behind the previous one in rank order for planned replacements, which all owners notice at the
// same time.
constexpr Duration plannedReplacementStagger = std::chrono::milliseconds(600);
// Reasons of planned replacements, which the registry tells.
constexpr const char* drainingReason = "draining";
constexpr const char* goneReason = "gone";

} // namespace

void FleetController::checkWatchedGroups(Time at)
{
    for (const auto& watched : this->hooks.watchedGroups()) {
        const auto& group = watched.id;
        this->holderLists.update(watched);
        const auto found = this->rows.find(group);
        const auto pause = this->nextAttemptAt.find(group);
        const bool paused = pause != this->nextAttemptAt.end() && at < pause->second;
        if (found == this->rows.end() || paused || this->promotions.count(group) != 0
            || this->checkedGroups.count(group) != 0)
            continue;
        const auto& row = found->second;
        if (!this->earlierEraIsOver(row))
            continue;
        if (row.replacing) {
            const bool known = this->unreadClaims.count(group) == 0;
            if (known && at - this->replacingSince[group] > takeoverTimeout)
                this->startPromotion(row, "unfinished");
            continue;
        }
        const auto planned = this->plannedReplacementReason(row);
        if (planned.empty()) {
            this->plannedSince.erase(group);
            if (this->hooks.suspectsPrimary(group))
                this->pollReachability(row);
            continue;
        }
        const auto since = this->plannedSince.try_emplace(group, at).first->second;
        if (at - since >= plannedReplacementStagger * this->ownRank(watched))
            this->startPromotion(row, planned);
    }
}

std::string FleetController::plannedReplacementReason(const PrimaryRow& row) const
{
    const auto records = this->hooks.endpointsOf(row.group);
    if (records.empty())
        return {};
    const auto found = std::find_if(
        records.begin(), records.end(), [&](const EndpointRecord& record) { return record.id == row.endpoint; });
    if (found == records.end())
        return this->hooks.missingEndpointsAreGone() ? goneReason : "";
    return found->draining ? drainingReason : "";
}

// Rank of this daemon among all live daemons, ordered by name.
std::size_t FleetController::ownRank() const
{
    std::size_t rank = 0;
    for (const auto& [daemon, lease] : this->peers)
        rank += daemon < this->identity.daemon ? 1 : 0;
    return rank;
}

// Rank among the daemons that watch a group: the owners come first, ordered by name.
std::size_t FleetController::ownRank(const WatchedGroup& group) const
{
    const auto owners = this->hooks.daemonsUsingPrimary(group.id);
    if (owners.empty())
        return this->ownRank();
    const auto before = std::count_if(owners.begin(), owners.end(), [&](const DaemonId& owner) {
        return this->peers.count(owner) != 0 && (!group.ownedHere || owner < this->identity.daemon);
    });
    return static_cast<std::size_t>(before) + (group.ownedHere ? 0 : this->ownRank());
}

// Returns the daemons that use the primary. Others would have to open connections to it only to answer the poll.
std::vector<LeaseRow> FleetController::reachabilityVoters(const DatabaseId& group) const
{
    const auto users = this->hooks.daemonsUsingPrimary(group);
    std::vector<LeaseRow> voters;
    for (const auto& [daemon, lease] : this->peers) {
        if (users.empty() || std::find(users.begin(), users.end(), daemon) != users.end())
            voters.push_back(lease);
    }
    return voters;
}

void FleetController::pollReachability(const PrimaryRow& row)
{
    const auto group = row.group;
    const auto primary = row.endpoint;
    if (this->reachabilityPolls.count(group) != 0)
        return;
    const auto records = this->hooks.endpointsOf(group);
    auto& poll = this->reachabilityPolls[group];
    poll.row = row;
    const auto asked = this->reachabilityVoters(group);
    poll.outstanding = asked.size() + records.size();
    const std::weak_ptr<int> weak = this->lifetime;
    for (const auto& lease : asked) {
        this->hooks.askReachable(lease.address, group, primary, [this, group, weak](std::optional<bool> reachable) {
            if (weak.expired())
                return;
            auto& current = this->reachabilityPolls[group];
            if (!reachable)
                ++current.unresponsive;
            else
                ++(*reachable ? current.reachable : current.unreachable);
            this->onReachabilityAnswer(group);
        });
    }
    for (const auto& record : records) {
        const bool isPrimary = record.id == primary;
        this->hooks.queryEndpoint(group, record.id, [this, group, isPrimary, weak](const EndpointReply& reply) {
            if (weak.expired())
                return;
            auto& current = this->reachabilityPolls[group];
            if (isPrimary)
                ++(reply.mayBePrimary() ? current.reachable : current.unreachable);
            else if (reply.isAlive())
                ++current.replicasReached;
            this->onReachabilityAnswer(group);
        });
    }
}

void FleetController::onReachabilityAnswer(const DatabaseId& group)
{
    auto& poll = this->reachabilityPolls[group];
    if (--poll.outstanding > 0)
        return;
    const auto result = poll;
    this->reachabilityPolls.erase(group);
    // A daemon that is itself cut off from the network reaches no replica and gets no answers from its peers. It must
    // not replace the primary.
    const bool replace = result.unreachable > 0 && result.replicasReached > 0
        && 2 * result.unreachable >= 2 * result.reachable + result.unresponsive;
    logEvent(LogLevel::Info, "primary_doubted",
        { { "group", group.value }, { "reachable_votes", result.reachable },
            { "unreachable_votes", result.unreachable }, { "silent_daemons", result.unresponsive },
            { "replicas_reached", result.replicasReached }, { "replace", replace ? 1 : 0 } });
    if (replace)
        this->startPromotion(result.row, "unreachable");
    else
        this->nextAttemptAt[group] = this->now() + attemptDelay;
}

void FleetController::startPromotion(const PrimaryRow& observedRow, const std::string& reason)
{
    if (!this->mayReplace(observedRow))
        return;
    this->nextAttemptAt[observedRow.group] = this->now() + attemptDelay;
    if (this->promotionLock.isHeld(this->now())) {
        this->checkReason(observedRow, reason);
        return;
    }
    this->store.readAll(
        leaseTable, [this, observedRow, reason, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            // The store may have come back from a copy meanwhile.
            if (weak.expired() || result.status != StoreStatus::Done || !this->mayReplace(observedRow))
                return;
            this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
            PromotionLockRow present;
            present.version.era = this->era;
            for (const auto& row : result.rows) {
                const auto decoded = decodePromotionLockRow(row);
                if (decoded && decoded->version.era == this->era)
                    present = *decoded;
            }
            this->promotionLock.acquire(
                present, this->clock, this->now(), [this, observedRow, reason, weak](bool held) {
                    if (!weak.expired() && held)
                        this->checkReason(observedRow, reason);
                });
        });
}

// The lock tells which daemon may decide; it does not tell that what this daemon decides from is of this time. Its list
// of endpoints may be older than the primary's row, and another daemon may have acted on a newer one. So the list is
// read again while the lock is held.
void FleetController::checkReason(const PrimaryRow& observedRow, const std::string& reason)
{
    const auto& group = observedRow.group;
    this->checkedGroups.insert(group);
    this->hooks.refreshEndpoints([this, observedRow, reason, weak = std::weak_ptr<int>(this->lifetime)](bool current) {
        if (weak.expired())
            return;
        this->checkedGroups.erase(observedRow.group);
        if (current) {
            this->runPromotion(observedRow, reason);
            return;
        }
        logEvent(LogLevel::Info, "promotion_put_off",
            { { "group", observedRow.group.value }, { "reason", reason }, { "cause", "registry_not_read" } });
        this->releaseIdleLock();
    });
}

void FleetController::releaseIdleLock()
{
    if (this->promotions.empty() && this->checkedGroups.empty())
        this->promotionLock.release();
}

// Starts a replacement if the row has not changed since the decision and the reason still holds. Another daemon may
// have replaced the primary while this one acquired the promotion lock, and replacing the new primary would roll back
// acknowledged writes.
void FleetController::runPromotion(const PrimaryRow& observedRow, const std::string& reason)
{
    const auto& group = observedRow.group;
    const auto found = this->rows.find(group);
    const bool same
        = found != this->rows.end() && found->second.version == observedRow.version && this->mayReplace(observedRow);
    const bool planned = reason == drainingReason || reason == goneReason;
    const bool reasonHolds = same && (!planned || !this->plannedReplacementReason(found->second).empty());
    if (this->stopping || !reasonHolds || this->promotions.count(group) != 0) {
        logEvent(LogLevel::Info, "promotion_not_needed",
            { { "group", group.value }, { "reason", reason }, { "decided_on", toString(observedRow.version) },
                { "present", toString(found == this->rows.end() ? StoreVersion() : found->second.version) } });
        this->releaseIdleLock();
        return;
    }
    auto promotion = std::make_unique<Promotion>(
        this->promotionContext(), found->second, reason, [this, group](bool) { this->promotionEnded(group); });
    auto& running = this->promotions[group] = std::move(promotion);
    running->start();
}

void FleetController::promotionEnded(const DatabaseId& group)
{
    this->nextAttemptAt[group] = this->now() + attemptDelay;
    // The promotion is still on the call stack and must not be destroyed yet.
    this->timers.subscribeAt(this->now(), [this, group, weak = std::weak_ptr<int>(this->lifetime)](Time) {
        if (weak.expired())
            return;
        this->promotions.erase(group);
        this->releaseIdleLock();
    });
}

PromotionContext FleetController::promotionContext()
{
    return PromotionContext {
        this->identity.daemon,
        this->store,
        this->timers,
        this->hooks,
        this->promotionLock,
        this->clock,
        this->now,
        [this] { return this->claims.completeUpTo(); },
        [this] { return this->earlierLeasesEndMs(); },
        [this](const PrimaryRow& row) { this->applyRow(row); },
        [this](const DatabaseId& group) {
            const auto found = this->suspensions.find(group);
            return found != this->suspensions.end() && found->second.drained;
        },
        [this] { this->readFleet(); },
        [this](const DatabaseId& group) { return this->holderLists.known(group); },
        [this](const DatabaseId& group, std::size_t missing) {
            this->missingHolders[group] = missing;
            return this->primaryMissingFor(group);
        },
    };
}

} // namespace endivetrestle
