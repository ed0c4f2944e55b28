#include "process/promotion.h"

#include "base/log.h"

namespace endivetrestle {

namespace {

// Delay before a daemon that did not answer is again asked to stop using the primary.
constexpr Duration suspendRetryDelay = std::chrono::milliseconds(150);
// Interval at which the leases are read again while confirmations are missing.
constexpr Duration leaseRefreshInterval = std::chrono::milliseconds(400);
// Delay before a promotion order that was not accepted is retried.
constexpr Duration orderRetryDelay = std::chrono::milliseconds(150);
// Interval at which the new primary is asked whether it leads, and the time after which the endpoints are queried and a
// promotion is ordered again.
constexpr Duration leadershipPollInterval = std::chrono::milliseconds(60);
constexpr Duration leadershipTimeout = std::chrono::seconds(3);
// Time after which an order that has had no visible effect is known to have none.
constexpr Duration orderSettleTime = std::chrono::milliseconds(2500);
constexpr Duration recordRetryDelay = std::chrono::milliseconds(250);

} // namespace

Promotion::Promotion(
    PromotionContext context, PrimaryRow initialRow, std::string reason, std::function<void(bool)> onEnded)
    : context(std::move(context))
    , initialRow(std::move(initialRow))
    , reason(std::move(reason))
    , onEnded(std::move(onEnded))
{
}

Promotion::~Promotion() = default;

void Promotion::enterStep(const char* step)
{
    ++this->generation;
    this->stepName = step;
    this->stepStartedAt = this->context.now();
    logEvent(LogLevel::Info, "promotion_step",
        { { "group", this->initialRow.group.value }, { "step", step },
            { "old_primary", this->initialRow.endpoint.value }, { "candidate", this->candidate.value },
            { "reason", this->reason }, { "elapsed_ms", toMilliseconds(this->stepStartedAt - this->startedAt) } });
}

void Promotion::schedule(Duration delay, std::function<void()> action)
{
    this->context.timers.subscribeAt(
        this->context.now() + delay, this->guarded([action = std::move(action)](Time) { action(); }));
}

void Promotion::finish(bool succeeded)
{
    this->enterStep(succeeded ? "done" : "given_up");
    const auto callback = std::move(this->onEnded);
    // The owner may destroy this object in the callback.
    callback(succeeded);
}

void Promotion::start()
{
    this->startedAt = this->context.now();
    this->claim();
}

void Promotion::claim()
{
    this->enterStep("claim");
    auto row = this->initialRow;
    row.replacing = true;
    row.writer = this->context.self;
    row.previousEpoch = this->context.epochVersion();
    row.holders = this->knownHolders();
    StoreChange change;
    const auto era = this->initialRow.version.era;
    const auto encoded = encodeRow(row, era);
    const auto epoch = toString(EraKey { era, epochKey });
    const auto lock = toString(EraKey { era, promotionLockKey });
    change.conditions.push_back({ fleetTable, encoded.key, this->initialRow.version });
    change.conditions.push_back({ fleetTable, epoch, row.previousEpoch });
    change.conditions.push_back({ leaseTable, lock, this->context.promotionLock.rowVersion() });
    change.writes.push_back(encoded);
    change.writes.push_back({ fleetTable, epoch, "{}" });
    this->context.store.change(change, this->guarded([this, row](const StoreResult& result) mutable {
        if (result.status != StoreStatus::Done) {
            this->context.rereadFleetTable();
            this->finish(false);
            return;
        }
        row.version = result.version;
        this->ownClaim = { row.group, row.version, row.previousEpoch };
        this->enterStep("suspend");
        this->context.applyOwnRow(row);
        this->readLeaseHolders();
    }));
}

// Endpoints that may hold commits of the group; none without synchronous replicas.
CommitHolders Promotion::knownHolders() const
{
    const auto& group = this->initialRow.group;
    return this->context.hooks.syncReplicas(group) == 0 ? CommitHolders() : this->context.knownHolders(group);
}

void Promotion::readLeaseHolders()
{
    this->context.store.readAll(leaseTable, this->guarded([this](const StoreResult& result) {
        if (result.status != StoreStatus::Done) {
            this->schedule(leaseRefreshInterval, [this] { this->readLeaseHolders(); });
            return;
        }
        const auto now = this->context.now();
        this->context.clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
        const auto storeMs = this->context.clock.lowerBoundMs(now);
        std::vector<LeaseRow> others;
        for (auto& lease : leasesOf(result.rows, this->ownClaim.version.era, this->context.earlierLeasesEndMs())) {
            if (lease.daemon != this->context.self && lease.untilStoreMs > storeMs)
                others.push_back(std::move(lease));
        }
        for (const auto& lease : others)
            this->peers.push_back(lease.address);
        this->leaseHolders.start(this->ownClaim.version, others, storeMs, now);
        this->requestSuspendFromAll();
        this->schedule(leaseRefreshInterval, [this] { this->refreshLeaseHolders(); });
        this->checkAllSuspended();
    }));
}

void Promotion::requestSuspendFromAll()
{
    for (const auto& [daemon, lease] : this->leaseHolders.all())
        this->requestSuspend(daemon);
}

void Promotion::requestSuspend(const DaemonId& daemon)
{
    const auto holder = this->leaseHolders.all().find(daemon);
    if (holder == this->leaseHolders.all().end())
        return;
    this->context.hooks.requestSuspend(
        holder->second.address, this->ownClaim, this->guarded([this, daemon](PeerStatus status) {
            if (status == PeerStatus::Unanswered) {
                this->schedule(suspendRetryDelay, [this, daemon] { this->requestSuspend(daemon); });
                return;
            }
            this->leaseHolders.confirm(daemon, this->context.now());
            this->checkAllSuspended();
        }));
}

void Promotion::refreshLeaseHolders()
{
    if (this->context.promotionLock.needsExtension(this->context.now()))
        this->context.promotionLock.extend(this->context.clock, this->context.now(), [](bool) {});
    this->context.store.readAll(leaseTable, this->guarded([this](const StoreResult& result) {
        const auto now = this->context.now();
        if (result.status == StoreStatus::Done) {
            this->context.clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
            this->leaseHolders.update(result.rows, now);
        }
        // The known leases end even if the store does not answer.
        const auto storeMs = this->context.clock.lowerBoundMs(now);
        this->leaseHolders.removeEnded(storeMs, now);
        if (!this->leaseHolders.empty() && this->leaseHolders.mayPassOver(storeMs, now)) {
            logEvent(LogLevel::Info, "silent_daemons_skipped",
                { { "group", this->initialRow.group.value }, { "count", this->leaseHolders.size() },
                    { "first", this->leaseHolders.all().begin()->first.value } });
            this->leaseHolders.clear();
        }
        this->schedule(leaseRefreshInterval, [this] { this->refreshLeaseHolders(); });
        this->checkAllSuspended();
    }));
}

void Promotion::checkAllSuspended()
{
    if (!this->leaseHolders.empty())
        return;
    if (!this->context.isDrained(this->initialRow.group)) {
        constexpr Duration drainCheck = std::chrono::milliseconds(10);
        this->schedule(drainCheck, [this] { this->checkAllSuspended(); });
        return;
    }
    this->refreshEndpoints();
}

void Promotion::demoteOldPrimary()
{
    this->enterStep("demote");
    this->context.hooks.demote(this->initialRow.group, this->initialRow.endpoint, this->initialRow.term + 1,
        this->guarded([this] { this->orderPromotion(); }));
}

void Promotion::orderPromotion()
{
    this->enterStep("order");
    const auto now = this->context.now();
    if (!this->context.promotionLock.canOrderPromotion(now)) {
        if (!this->context.promotionLock.isHeld(now)) {
            this->finish(false);
            return;
        }
        this->context.promotionLock.extend(this->context.clock, now, [](bool) {});
        this->schedule(orderRetryDelay, [this] { this->orderPromotion(); });
        return;
    }
    this->context.promotionLock.onOrder(now);
    this->orderedEndpoints.insert(this->candidate);
    this->context.hooks.promote(this->initialRow.group, this->candidate, this->context.promotionLock.token(),
        this->guarded([this](PromotionOutcome outcome) {
            switch (outcome) {
            case PromotionOutcome::Accepted:
            case PromotionOutcome::Unknown:
                this->awaitLeadership();
                return;
            case PromotionOutcome::Unavailable:
                this->schedule(orderRetryDelay, [this] { this->orderPromotion(); });
                return;
            case PromotionOutcome::Rejected:
                this->rejectedEndpoints.insert(this->candidate);
                this->schedule(orderRetryDelay, [this] { this->refreshEndpoints(); });
                return;
            }
        }));
}

void Promotion::awaitLeadership()
{
    if (this->stepName != "await")
        this->enterStep("await");
    this->context.hooks.queryEndpoint(
        this->initialRow.group, this->candidate, this->guarded([this](const EndpointReply& reply) {
            const auto& report = reply.report;
            const auto waited = this->context.now() - this->stepStartedAt;
            const bool leadsAnew = report && report->isPrimary && report->term > this->highestTerm;
            // An order for the endpoint that already leads has no effect, unless an earlier order has made another
            // endpoint lead with a higher term. In that case the effect shows within orderSettleTime.
            const bool leadsStill = report && report->isPrimary && this->candidateAlreadyLeads
                && (this->leadershipCertain || waited > orderSettleTime);
            if (leadsAnew || leadsStill) {
                this->recordPrimary(report->term);
                return;
            }
            if (waited > leadershipTimeout)
                this->refreshEndpoints();
            else
                this->schedule(leadershipPollInterval, [this] { this->awaitLeadership(); });
        }));
}

void Promotion::recordPrimary(std::uint64_t term)
{
    auto row = this->initialRow;
    row.replacing = false;
    row.endpoint = this->candidate;
    row.term = term;
    row.writer = this->context.self;
    row.finishedClaim = this->ownClaim.version;
    row.previousEpoch = this->ownClaim.previousEpoch;
    row.holders = this->knownHolders();
    // Nothing may be acknowledged at the new primary before all endpoints that are registered now are recorded.
    if (!row.holders.empty())
        row.holders = merged(row.holders, holdersOf(this->context.hooks.endpointsOf(row.group)));
    // The log of the new primary is proven to have everything.
    row.mayLackHolders = false;
    if (this->stepName != "record")
        this->enterStep("record");
    StoreChange change;
    const auto encoded = encodeRow(row, this->ownClaim.version.era);
    // The epoch stays as it is: it is moved by claims only, each on condition of the one before.
    change.conditions.push_back({ fleetTable, encoded.key, this->ownClaim.version });
    change.writes.push_back(encoded);
    this->context.store.change(change, this->guarded([this, row, term](const StoreResult& result) mutable {
        if (result.status == StoreStatus::Done) {
            // No daemon uses the new primary before it is recorded, so that a daemon that takes over an unfinished
            // replacement knows which primary was used last.
            row.version = result.version;
            this->context.applyOwnRow(row);
            for (const auto& peer : this->peers)
                this->context.hooks.announce(peer, { row });
            this->finish(true);
        } else if (result.status == StoreStatus::Conflict) {
            // An earlier write whose answer was lost took effect, or another daemon has claimed the row.
            this->context.rereadFleetTable();
            this->finish(true);
        } else
            this->schedule(recordRetryDelay, [this, term] { this->recordPrimary(term); });
    }));
}

} // namespace endivetrestle
