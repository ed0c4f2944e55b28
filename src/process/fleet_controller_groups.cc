// When the primary of a group is adopted or replaced.
#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Pause after an attempt that did not replace a primary.
constexpr Duration attemptPause = std::chrono::milliseconds(300);
// Time after which a replacement that another daemon began counts as unfinished, unless that daemon holds the duty.
constexpr Duration takeOverAfter = std::chrono::milliseconds(2500);
// Head start of each daemon over the next one for planned replacements, which all owners notice at the same time.
constexpr Duration plannedHeadStart = std::chrono::milliseconds(600);

} // namespace

void FleetController::watchGroups(Time at)
{
    for (const auto& watched : this->hooks.watchedGroups()) {
        const auto& group = watched.id;
        const auto found = this->rows.find(group);
        const auto pause = this->attemptNotBefore.find(group);
        const bool paused = pause != this->attemptNotBefore.end() && at < pause->second;
        if (found == this->rows.end() || paused || this->promotions.count(group) != 0)
            continue;
        const auto& row = found->second;
        if (row.replacing) {
            if (at - this->replacingSince[group] > takeOverAfter)
                this->startPromotion(row, "unfinished");
            continue;
        }
        const auto planned = this->plannedReason(row);
        if (planned.empty()) {
            this->plannedSince.erase(group);
            if (this->hooks.doubtsPrimary(group))
                this->inquire(row);
            continue;
        }
        const auto since = this->plannedSince.try_emplace(group, at).first->second;
        if (at - since >= plannedHeadStart * this->ownRank(watched))
            this->startPromotion(row, planned);
    }
}

std::string FleetController::plannedReason(const PrimaryRow& row) const
{
    const auto records = this->hooks.endpointsOf(row.group);
    if (records.empty())
        return {};
    const auto found = std::find_if(
        records.begin(), records.end(), [&](const EndpointRecord& record) { return record.id == row.endpoint; });
    if (found == records.end())
        return "gone";
    return found->draining ? "draining" : "";
}

// Place of this daemon in the order of all daemons that are alive.
std::size_t FleetController::ownRank() const
{
    std::size_t rank = 0;
    for (const auto& [daemon, lease] : this->peers)
        rank += daemon < this->identity.daemon ? 1 : 0;
    return rank;
}

// Place among the daemons that watch a group: its owners come first, in the order of their names.
std::size_t FleetController::ownRank(const WatchedGroup& group) const
{
    const auto owners = this->hooks.primaryUsers(group.id);
    if (owners.empty())
        return this->ownRank();
    const auto before = std::count_if(owners.begin(), owners.end(), [&](const DaemonId& owner) {
        return this->peers.count(owner) != 0 && (!group.ownedHere || owner < this->identity.daemon);
    });
    return static_cast<std::size_t>(before) + (group.ownedHere ? 0 : this->ownRank());
}

// Daemons that use the primary themselves. The others would have to open connections to it only to give an opinion.
std::vector<LeaseRow> FleetController::opinionHolders(const DatabaseId& group) const
{
    const auto users = this->hooks.primaryUsers(group);
    std::vector<LeaseRow> holders;
    for (const auto& [daemon, lease] : this->peers) {
        if (users.empty() || std::find(users.begin(), users.end(), daemon) != users.end())
            holders.push_back(lease);
    }
    return holders;
}

void FleetController::inquire(const PrimaryRow& row)
{
    const auto group = row.group;
    const auto primary = row.endpoint;
    if (this->inquiries.count(group) != 0)
        return;
    const auto records = this->hooks.endpointsOf(group);
    auto& inquiry = this->inquiries[group];
    inquiry.row = row;
    const auto asked = this->opinionHolders(group);
    inquiry.outstanding = asked.size() + records.size();
    const std::weak_ptr<int> weak = this->lifetime;
    for (const auto& lease : asked) {
        this->hooks.askReachable(lease.address, group, primary, [this, group, weak](std::optional<bool> reachable) {
            if (weak.expired())
                return;
            auto& current = this->inquiries[group];
            if (!reachable)
                ++current.silent;
            else
                ++(*reachable ? current.reachable : current.unreachable);
            this->onInquiryAnswer(group);
        });
    }
    for (const auto& record : records) {
        const bool isPrimary = record.id == primary;
        this->hooks.queryEndpoint(
            group, record.id, [this, group, isPrimary, weak](const std::optional<EndpointReport>& report) {
                if (weak.expired())
                    return;
                auto& current = this->inquiries[group];
                if (isPrimary)
                    ++(report && report->isPrimary ? current.reachable : current.unreachable);
                else if (report)
                    ++current.replicas;
                this->onInquiryAnswer(group);
            });
    }
}

void FleetController::onInquiryAnswer(const DatabaseId& group)
{
    auto& inquiry = this->inquiries[group];
    if (--inquiry.outstanding > 0)
        return;
    const auto result = inquiry;
    this->inquiries.erase(group);
    // A daemon that is cut off itself reaches no replica, and its peers are silent.
    const bool replace = result.unreachable > 0 && result.replicas > 0
        && 2 * result.unreachable >= 2 * result.reachable + result.silent;
    logEvent(LogLevel::Info, "primary_doubted",
        { { "group", group.value }, { "reachable_votes", result.reachable },
            { "unreachable_votes", result.unreachable }, { "silent_daemons", result.silent },
            { "replicas_reached", result.replicas }, { "replace", replace ? 1 : 0 } });
    if (replace)
        this->startPromotion(result.row, "unreachable");
    else
        this->attemptNotBefore[group] = this->now() + attemptPause;
}

void FleetController::startPromotion(const PrimaryRow& decidedOn, const std::string& reason)
{
    this->attemptNotBefore[decidedOn.group] = this->now() + attemptPause;
    if (this->duty.isHeld(this->now())) {
        this->runPromotion(decidedOn, reason);
        return;
    }
    this->store.readAll(
        leaseTable, [this, decidedOn, reason, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired() || result.status != StoreStatus::Done)
                return;
            this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
            DutyRow present;
            for (const auto& row : result.rows) {
                if (const auto decoded = decodeDutyRow(row))
                    present = *decoded;
            }
            this->duty.acquire(present, this->clock, this->now(), [this, decidedOn, reason, weak](bool held) {
                if (!weak.expired() && held)
                    this->runPromotion(decidedOn, reason);
            });
        });
}

// Begins a replacement if the row is still the one on which it was decided. While this daemon asked for the duty,
// another one may have replaced the primary, and replacing the new one would roll acknowledged writes back.
void FleetController::runPromotion(const PrimaryRow& decidedOn, const std::string& reason)
{
    const auto& group = decidedOn.group;
    const auto found = this->rows.find(group);
    const bool same = found != this->rows.end() && found->second.version == decidedOn.version;
    if (this->stopping || !same || this->promotions.count(group) != 0) {
        logEvent(LogLevel::Info, "promotion_not_needed",
            { { "group", group.value }, { "reason", reason }, { "decided_on", decidedOn.version },
                { "present", found == this->rows.end() ? 0 : found->second.version } });
        if (this->promotions.empty())
            this->duty.giveBack();
        return;
    }
    auto promotion = std::make_unique<Promotion>(
        this->promotionContext(), found->second, reason, [this, group](bool) { this->promotionEnded(group); });
    auto& running = this->promotions[group] = std::move(promotion);
    running->start();
}

void FleetController::promotionEnded(const DatabaseId& group)
{
    this->attemptNotBefore[group] = this->now() + attemptPause;
    // The promotion is still on the stack.
    this->timers.subscribeAt(this->now(), [this, group, weak = std::weak_ptr<int>(this->lifetime)](Time) {
        if (weak.expired())
            return;
        this->promotions.erase(group);
        if (this->promotions.empty())
            this->duty.giveBack();
    });
}

PromotionContext FleetController::promotionContext()
{
    return PromotionContext {
        this->identity.daemon,
        this->store,
        this->timers,
        this->hooks,
        this->duty,
        this->clock,
        this->now,
        [this] { return this->epochVersion; },
        [this](const PrimaryRow& row, std::uint64_t epoch) {
            this->epochVersion = std::max(this->epochVersion, epoch);
            this->noteClaim(epoch);
            this->applyRow(row);
        },
        [this](const DatabaseId& group) {
            const auto found = this->suspensions.find(group);
            return found != this->suspensions.end() && found->second.drained;
        },
        [this] { this->readFleet(); },
    };
}

} // namespace endivetrestle
