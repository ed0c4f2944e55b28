#include "process/promotion.h"

#include "base/log.h"
#include "process/primary_lease.h"

#include <algorithm>
#include <tuple>

namespace endivetrestle {

namespace {

// Pause before a daemon that did not answer is asked again.
constexpr Duration holderRetry = std::chrono::milliseconds(150);
// Interval at which the leases are read again while daemons are silent.
constexpr Duration holderRefresh = std::chrono::milliseconds(400);
// Pause before endpoints are asked again when none could be chosen.
constexpr Duration queryRetry = std::chrono::milliseconds(300);
// Interval at which the best replica is compared with the old primary, and the longest time for it.
constexpr Duration catchUpInterval = std::chrono::milliseconds(30);
constexpr Duration catchUpLimit = std::chrono::milliseconds(2500);
// Pause before an order that was not accepted is repeated.
constexpr Duration orderRetry = std::chrono::milliseconds(150);
// Interval at which the new primary is asked whether it leads, and the time after which the order is repeated.
constexpr Duration leadInterval = std::chrono::milliseconds(60);
constexpr Duration leadLimit = std::chrono::seconds(3);
// Time after which an order that changes nothing is known to have changed nothing.
constexpr Duration settleTime = std::chrono::milliseconds(2500);
constexpr Duration recordRetry = std::chrono::milliseconds(250);

} // namespace

Promotion::Promotion(PromotionContext context, PrimaryRow base, std::string reason, std::function<void(bool)> ended)
    : context(std::move(context))
    , base(std::move(base))
    , reason(std::move(reason))
    , ended(std::move(ended))
{
}

Promotion::~Promotion() = default;

// An endpoint that was promoted by an order of an earlier attempt comes first, then the one that has received most.
bool Promotion::isAhead(const EndpointReport& left, const EndpointReport& right)
{
    const auto rank = [](const EndpointReport& report) {
        return std::make_tuple(report.isPrimary ? report.term : 0, report.received);
    };
    return rank(left) > rank(right);
}

void Promotion::enter(const char* step)
{
    ++this->generation;
    this->stepName = step;
    this->stepStartedAt = this->context.now();
    logEvent(LogLevel::Info, "promotion_step",
        { { "group", this->base.group.value }, { "step", step }, { "old_primary", this->base.endpoint.value },
            { "candidate", this->candidate.value }, { "reason", this->reason },
            { "elapsed_ms", toMilliseconds(this->stepStartedAt - this->startedAt) } });
}

void Promotion::later(Duration delay, std::function<void()> action)
{
    this->context.timers.subscribeAt(
        this->context.now() + delay, this->guarded([action = std::move(action)](Time) { action(); }));
}

void Promotion::end(bool succeeded)
{
    this->enter(succeeded ? "done" : "given_up");
    const auto callback = std::move(this->ended);
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
    this->enter("claim");
    auto row = this->base;
    row.replacing = true;
    row.writer = this->context.self;
    StoreChange change;
    const auto encoded = encodeRow(row);
    change.conditions.push_back({ fleetTable, encoded.key, this->base.version });
    change.conditions.push_back({ fleetTable, epochKey, this->context.epochVersion() });
    change.conditions.push_back({ leaseTable, dutyKey, this->context.duty.rowVersion() });
    change.writes.push_back(encoded);
    change.writes.push_back({ fleetTable, epochKey, "{}" });
    this->context.store.change(change, this->guarded([this, row](const StoreResult& result) mutable {
        if (result.status != StoreStatus::Done) {
            this->context.refresh();
            this->end(false);
            return;
        }
        this->claimVersion = result.version;
        this->claimEpoch = result.version;
        row.version = result.version;
        this->enter("suspend");
        this->context.applyOwnRow(row, result.version);
        this->readHolders();
    }));
}

void Promotion::readHolders()
{
    this->context.store.readAll(leaseTable, this->guarded([this](const StoreResult& result) {
        if (result.status != StoreStatus::Done) {
            this->later(holderRefresh, [this] { this->readHolders(); });
            return;
        }
        this->context.clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
        const auto storeMs = this->context.clock.earliestMs(this->context.now());
        for (const auto& row : result.rows) {
            const auto lease = decodeLeaseRow(row);
            if (!lease || lease->daemon == this->context.self || lease->untilStoreMs <= storeMs)
                continue;
            this->peers.push_back(lease->address);
            if (lease->epochVersion < this->claimEpoch)
                this->holders[lease->daemon.value].lease = *lease;
        }
        this->lastConfirmedAt = this->context.now();
        this->askHolders();
        this->later(holderRefresh, [this] { this->refreshHolders(); });
        this->checkSuspended();
    }));
}

void Promotion::askHolders()
{
    std::vector<std::string> names;
    for (const auto& [name, holder] : this->holders)
        names.push_back(name);
    for (const auto& name : names)
        this->askHolder(name);
}

void Promotion::askHolder(const std::string& name)
{
    const auto found = this->holders.find(name);
    if (found == this->holders.end() || found->second.asking)
        return;
    found->second.asking = true;
    this->context.hooks.suspendAt(found->second.lease.address, this->base.group, this->claimVersion,
        this->guarded([this, name](PeerStatus status) {
            const auto holder = this->holders.find(name);
            if (holder == this->holders.end())
                return;
            holder->second.asking = false;
            if (status == PeerStatus::Silent) {
                this->later(holderRetry, [this, name] { this->askHolder(name); });
                return;
            }
            this->holders.erase(holder);
            this->lastConfirmedAt = this->context.now();
            this->checkSuspended();
        }));
}

// Whether the daemons that do not answer have stopped using the primary by themselves: their leases are too old to hold
// without witnesses, and there are too few of them to witness each other's. All others know of the claim, and what they
// witnessed before they did has lapsed.
bool Promotion::maySkipSilent(Time now) const
{
    if (now < this->lastConfirmedAt + PrimaryLease::witnessValidity)
        return false;
    constexpr auto early = PrimaryLease::validity - PrimaryLease::unwitnessedValidity;
    const auto earlyMs = std::chrono::duration_cast<std::chrono::milliseconds>(early).count();
    const auto storeMs = this->context.clock.earliestMs(now);
    const auto others = static_cast<int>(this->holders.size()) - 1;
    return std::all_of(this->holders.begin(), this->holders.end(), [&](const auto& entry) {
        const auto& lease = entry.second.lease;
        return others < lease.witnesses && lease.untilStoreMs - earlyMs <= storeMs;
    });
}

void Promotion::refreshHolders()
{
    if (this->context.duty.needsExtension(this->context.now()))
        this->context.duty.extend(this->context.clock, this->context.now(), [](bool) {});
    this->context.store.readAll(leaseTable, this->guarded([this](const StoreResult& result) {
        const auto now = this->context.now();
        if (result.status == StoreStatus::Done) {
            this->context.clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
            for (const auto& row : result.rows) {
                const auto lease = decodeLeaseRow(row);
                const auto holder = lease ? this->holders.find(lease->daemon.value) : this->holders.end();
                if (holder != this->holders.end())
                    holder->second.lease = *lease;
            }
        }
        // Without an answer the leases that are known still end.
        const auto storeMs = this->context.clock.earliestMs(now);
        for (auto holder = this->holders.begin(); holder != this->holders.end();) {
            const auto& lease = holder->second.lease;
            if (lease.untilStoreMs <= storeMs || lease.epochVersion >= this->claimEpoch) {
                holder = this->holders.erase(holder);
                this->lastConfirmedAt = now;
            } else
                ++holder;
        }
        if (!this->holders.empty() && this->maySkipSilent(now)) {
            logEvent(LogLevel::Info, "silent_daemons_skipped",
                { { "group", this->base.group.value }, { "count", this->holders.size() },
                    { "first", this->holders.begin()->first } });
            this->holders.clear();
        }
        this->later(holderRefresh, [this] { this->refreshHolders(); });
        this->checkSuspended();
    }));
}

void Promotion::checkSuspended()
{
    if (!this->holders.empty())
        return;
    if (!this->context.drainedHere(this->base.group)) {
        constexpr Duration drainCheck = std::chrono::milliseconds(10);
        this->later(drainCheck, [this] { this->checkSuspended(); });
        return;
    }
    this->queryEndpoints();
}

void Promotion::queryEndpoints()
{
    this->enter("query");
    this->reports.clear();
    const auto records = this->context.hooks.endpointsOf(this->base.group);
    this->queriesOutstanding = records.size();
    if (records.empty()) {
        this->later(queryRetry, [this] { this->queryEndpoints(); });
        return;
    }
    for (const auto& record : records) {
        this->context.hooks.queryEndpoint(this->base.group, record.id,
            this->guarded([this, id = record.id](const std::optional<EndpointReport>& report) {
                if (report)
                    this->reports[id] = *report;
                if (--this->queriesOutstanding == 0)
                    this->chooseCandidate();
            }));
    }
}

bool Promotion::isDraining(const EndpointId& endpoint) const
{
    const auto records = this->context.hooks.endpointsOf(this->base.group);
    return std::any_of(records.begin(), records.end(),
        [&](const EndpointRecord& record) { return record.id == endpoint && record.draining; });
}

void Promotion::chooseCandidate()
{
    const auto now = this->context.now();
    if (!this->context.duty.isHeld(now)) {
        this->end(false);
        return;
    }
    this->highestTerm = this->base.term;
    const bool allAnswered = this->reports.size() == this->context.hooks.endpointsOf(this->base.group).size();
    this->leadIsCertain = allAnswered && !this->base.replacing && this->ordered.empty();
    const EndpointReport* best = nullptr;
    for (const auto& [id, report] : this->reports) {
        this->highestTerm = std::max(this->highestTerm, report.term);
        const bool usable = id != this->base.endpoint && !this->isDraining(id) && this->rejected.count(id) == 0;
        if (usable && (best == nullptr || isAhead(report, *best))) {
            best = &report;
            this->candidate = id;
        }
    }
    const auto old = this->reports.find(this->base.endpoint);
    const bool oldAnswers = old != this->reports.end();
    if (best == nullptr) {
        // No replica can take over. A primary that still answers is confirmed in its place.
        this->rejected.clear();
        if (!oldAnswers || !old->second.isPrimary || this->isDraining(old->first)) {
            this->later(queryRetry, [this] { this->queryEndpoints(); });
            return;
        }
        best = &old->second;
        this->candidate = old->first;
    }
    this->alreadyLeads = best->isPrimary && best->term == this->highestTerm;
    if (oldAnswers && old->first != this->candidate && !this->alreadyLeads)
        this->catchUp(old->first);
    else
        this->order();
}

void Promotion::catchUp(const EndpointId& old)
{
    const auto target = this->reports.at(old).received;
    if (this->reports.at(this->candidate).received >= target) {
        this->demoteOld();
        return;
    }
    this->enter("catch_up");
    const auto giveUpAt = this->context.now() + catchUpLimit;
    const auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, target, giveUpAt, weak = std::weak_ptr<std::function<void()>>(poll)] {
        this->context.hooks.queryEndpoint(this->base.group, this->candidate,
            this->guarded([this, target, giveUpAt, self = weak.lock()](const std::optional<EndpointReport>& report) {
                const bool reached = report && report->received >= target;
                if (reached || this->context.now() >= giveUpAt)
                    this->demoteOld();
                else
                    this->later(catchUpInterval, [self] { (*self)(); });
            }));
    };
    (*poll)();
}

void Promotion::demoteOld()
{
    this->enter("demote");
    this->context.hooks.demote(
        this->base.group, this->base.endpoint, this->base.term + 1, this->guarded([this] { this->order(); }));
}

void Promotion::order()
{
    this->enter("order");
    const auto now = this->context.now();
    if (!this->context.duty.mayOrder(now)) {
        if (!this->context.duty.isHeld(now)) {
            this->end(false);
            return;
        }
        this->context.duty.extend(this->context.clock, now, [](bool) {});
        this->later(orderRetry, [this] { this->order(); });
        return;
    }
    this->ordered.insert(this->candidate);
    this->context.hooks.promote(
        this->base.group, this->candidate, this->context.duty.token(), this->guarded([this](PromotionOutcome outcome) {
            switch (outcome) {
            case PromotionOutcome::Accepted:
            case PromotionOutcome::Unknown:
                this->awaitLead();
                return;
            case PromotionOutcome::Unavailable:
                this->later(orderRetry, [this] { this->order(); });
                return;
            case PromotionOutcome::Rejected:
                this->rejected.insert(this->candidate);
                this->later(orderRetry, [this] { this->queryEndpoints(); });
                return;
            }
        }));
}

void Promotion::awaitLead()
{
    if (this->stepName != "await")
        this->enter("await");
    this->context.hooks.queryEndpoint(
        this->base.group, this->candidate, this->guarded([this](const std::optional<EndpointReport>& report) {
            const auto waited = this->context.now() - this->stepStartedAt;
            const bool leadsAnew = report && report->isPrimary && report->term > this->highestTerm;
            // An order for the endpoint that leads already changes nothing, unless an earlier order has made another
            // endpoint lead a higher term; then the effect comes after a while.
            const bool leadsStill
                = report && report->isPrimary && this->alreadyLeads && (this->leadIsCertain || waited > settleTime);
            if (leadsAnew || leadsStill) {
                this->record(report->term);
                return;
            }
            if (waited > leadLimit)
                this->queryEndpoints();
            else
                this->later(leadInterval, [this] { this->awaitLead(); });
        }));
}

void Promotion::record(std::uint64_t term)
{
    auto row = this->base;
    row.replacing = false;
    row.endpoint = this->candidate;
    row.term = term;
    row.writer = this->context.self;
    if (this->stepName != "record")
        this->enter("record");
    StoreChange change;
    const auto encoded = encodeRow(row);
    change.conditions.push_back({ fleetTable, encoded.key, this->claimVersion });
    change.writes.push_back(encoded);
    change.writes.push_back({ fleetTable, epochKey, "{}" });
    this->context.store.change(change, this->guarded([this, row, term](const StoreResult& result) mutable {
        if (result.status == StoreStatus::Done) {
            // Nobody uses the new primary before it is recorded, so that a daemon which takes an unfinished replacement
            // over knows the primary that was used last.
            row.version = result.version;
            this->context.applyOwnRow(row, result.version);
            for (const auto& peer : this->peers)
                this->context.hooks.announce(peer, { row });
            this->end(true);
        } else if (result.status == StoreStatus::Conflict) {
            // An earlier attempt whose answer was lost took effect, or another daemon has claimed the row.
            this->context.refresh();
            this->end(true);
        } else
            this->later(recordRetry, [this, term] { this->record(term); });
    }));
}

} // namespace endivetrestle
