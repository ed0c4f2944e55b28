// Renewal of the lease, in a batch with those of other daemons or directly, and requests to witnesses.
#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Delay before a failed renewal is retried.
constexpr Duration renewalRetryDelay = std::chrono::milliseconds(300);
// Largest fleet in which all daemons without a lease may renew directly at the same time.
constexpr std::size_t maxDirectRenewalFleet = 16;
// Timeout of a renewal by the delegate once it is connected. It exceeds the batching window plus the response time of a
// slow store.
constexpr Duration delegateTimeout = std::chrono::milliseconds(1500);
// Time for which the delegate is not used after it did not answer.
constexpr Duration delegateRetryDelay = std::chrono::seconds(10);

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

bool FleetController::isNewcomer(Time at) const
{
    return this->clock.lowerBoundMs(at) < *this->rowSinceStoreMs + milliseconds(PrimaryLease::newcomerTime);
}

LeaseRenewal FleetController::makeRenewal(Time preparedAt) const
{
    LeaseRenewal renewal;
    renewal.row = { this->identity.daemon, this->identity.incarnation, this->identity.peerAddress,
        this->identity.forwardAddress, this->identity.dataCentre,
        this->clock.upperBoundMs(preparedAt) + milliseconds(PrimaryLease::validity), this->claims.completeUpTo(),
        PrimaryLease::witnessesFor(this->liveCount), this->rowSinceStoreMs.value_or(0), this->identity.capacity };
    renewal.rowVersion = this->leaseRowVersion;
    renewal.urgent = !this->lease.isValid(preparedAt);
    return renewal;
}

// Returns the daemon that renews the leases for this daemon's part of the fleet. Returns no value if no other daemon is
// known, or if the delegate recently did not answer.
std::optional<DaemonId> FleetController::leaseDelegate() const
{
    return this->now() < this->delegationPausedUntil ? std::nullopt : this->firstOfPart();
}

std::optional<DaemonId> FleetController::firstOfPart() const
{
    if (this->peers.empty())
        return std::nullopt;
    std::vector<DaemonId> names { this->identity.daemon };
    for (const auto& [daemon, lease] : this->peers)
        names.push_back(daemon);
    std::sort(names.begin(), names.end());
    const auto own = std::find(names.begin(), names.end(), this->identity.daemon) - names.begin();
    const auto part = static_cast<std::size_t>(own) / LeaseBatch::maxRenewals;
    return names[part * LeaseBatch::maxRenewals];
}

// Whether this daemon has stopped using the primaries of all claims that it knows, and has no statement outstanding
// there.
bool FleetController::obeysKnownClaims() const
{
    return std::all_of(
        this->suspensions.begin(), this->suspensions.end(), [](const auto& entry) { return entry.second.drained; });
}

void FleetController::renew()
{
    if (this->renewalPending || this->stopping || !this->fleetTableLoaded || !this->obeysKnownClaims())
        return;
    // Only the list tells since when this daemon has had a row.
    if (!this->peersKnown())
        return;
    this->renewalPending = true;
    const auto preparedAt = this->now();
    if (!this->rowSinceStoreMs)
        this->rowSinceStoreMs = this->clock.upperBoundMs(preparedAt);
    this->lease.setNewcomer(this->isNewcomer(preparedAt));
    this->nextRenewal = preparedAt + this->lease.timeBetweenRenewals();
    const auto delegate = this->leaseDelegate();
    const auto renewal = this->makeRenewal(preparedAt);
    const int witnesses = renewal.row.witnesses;
    this->lease.onRenewalSent(witnesses);
    // In a small fleet, a daemon without a lease first renews directly: after a power loss the delegate may be down,
    // and waiting for a batch pays off only if the store is slow. In a large fleet, renewing the leases one by one
    // would take longer than waiting, because the store makes 200 changes per second in one partition.
    const bool mayRenewDirectly = this->liveCount <= maxDirectRenewalFleet && !this->lastDirectRenewalFailed;
    if (!delegate || (renewal.urgent && mayRenewDirectly)) {
        this->renewDirectly();
        return;
    }
    const auto answered = [this, preparedAt, witnesses, epoch = renewal.row.epochVersion,
                              weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
        if (weak.expired())
            return;
        // What was done in another era than the present one is no renewal, whoever has done it.
        const bool present = epoch.era == this->era && result.version.era == this->era;
        if (result.status == StoreStatus::Done && present) {
            // Keeps the renewals of the daemons in one batch aligned.
            this->nextRenewal = this->now() + this->lease.timeBetweenRenewals();
            this->onRenewed(preparedAt, witnesses, result);
            return;
        }
        if (epochVersionIn(result) > this->claims.completeUpTo()) {
            // A direct renewal would also conflict until the changed rows have been read.
            this->renewalPending = false;
            this->nextRenewal = this->now();
            this->readFleet();
            return;
        }
        if (result.status == StoreStatus::Unknown)
            this->delegationPausedUntil = this->now() + delegateRetryDelay;
        this->renewDirectly();
    };
    if (*delegate == this->identity.daemon)
        this->leaseBatch.add(renewal, preparedAt, answered);
    else
        this->hooks.requestRenewal(this->peers.at(*delegate).address, renewal, delegateTimeout, answered);
}

void FleetController::renewDirectly()
{
    // A claim may have become known while the delegate was asked.
    if (!this->obeysKnownClaims() || !this->fleetTableLoaded) {
        this->renewalPending = false;
        this->nextRenewal = this->now();
        return;
    }
    const auto preparedAt = this->now();
    const auto renewal = this->makeRenewal(preparedAt);
    const int witnesses = renewal.row.witnesses;
    this->lease.onRenewalSent(witnesses);
    this->store.change(renewalChange({ renewal }),
        [this, preparedAt, witnesses, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired())
                return;
            const bool failed = result.status == StoreStatus::Refused || result.status == StoreStatus::Unknown;
            const bool firstFailure = failed && !this->lastDirectRenewalFailed;
            this->lastDirectRenewalFailed = failed;
            this->onRenewed(preparedAt, witnesses, result);
            // The next attempt goes through the delegate, so it needs no delay.
            if (firstFailure && !this->lease.isValid(this->now()))
                this->nextRenewal = this->now();
        });
}

void FleetController::onRenewRequest(const LeaseRenewal& renewal, TableStore::Callback done)
{
    // A daemon that has missed the present era, or is ahead of this one, renews by itself and learns of it.
    if (this->stopping || renewal.row.epochVersion.era != this->era)
        done(StoreResult { StoreStatus::Refused });
    else
        this->leaseBatch.add(renewal, this->now(), std::move(done));
}

void FleetController::onRenewed(Time preparedAt, int witnesses, const StoreResult& result)
{
    this->renewalPending = false;
    if (this->stopping)
        return;
    const bool reached = result.status == StoreStatus::Done || result.status == StoreStatus::Conflict
        || result.status == StoreStatus::EraChanged;
    if (reached != this->storeReachable) {
        logEvent(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store_regained" : "store_lost",
            { { "lease_left_ms", toMilliseconds(this->lease.end() - this->now()) } });
        this->storeReachable = reached;
    }
    if (reached)
        this->clock.onAnswer(result.sentAt, result.answeredAt, result.storeMs);
    if (result.status == StoreStatus::Done) {
        if (!this->lease.isValid(this->now()))
            logEvent(LogLevel::Info, "lease_acquired",
                { { "epoch", toString(this->claims.completeUpTo()) },
                    { "waited_ms", toMilliseconds(this->now() - this->noLeaseSince) } });
        this->lease.onRenewed(preparedAt, witnesses);
        this->leaseRowVersion = result.version;
        this->noLeaseSince = this->lease.end();
        return;
    }
    this->nextRenewal = this->now();
    if (result.status == StoreStatus::Conflict)
        this->onRenewalConflict(result);
    else
        this->nextRenewal += renewalRetryDelay;
}

void FleetController::onRenewalConflict(const StoreResult& result)
{
    // The row is absent from the answer if it does not exist any more.
    const bool hadRow = this->leaseRowVersion.isSet();
    this->leaseRowVersion = { this->era, 0 };
    for (const auto& row : result.rows) {
        if (row.table == leaseTable && row.key == this->ownLeaseKey() && !row.removed)
            this->leaseRowVersion = row.version;
    }
    if (hadRow && !this->leaseRowVersion.isSet())
        this->rowSinceStoreMs = this->clock.upperBoundMs(this->now());
    this->readFleet();
}

std::optional<StoreVersion> FleetController::newestKnownClaim() const
{
    return this->lease.isValid(this->now()) ? std::optional(this->claims.newest()) : std::nullopt;
}

// Asks other daemons to witness this daemon's lease while it cannot be renewed. Twice as many as needed are asked, and
// different ones each time, so that some may fail to answer.
void FleetController::askWitnesses(Time at)
{
    const bool needed = this->lease.needsWitnesses(at) && this->lease.witnessesNeeded() > 0;
    if (this->stopping || !needed || at < this->witnessesAskedAt + PrimaryLease::witnessInterval)
        return;
    this->witnessesAskedAt = at;
    this->witnessAnswers = 0;
    std::vector<SocketAddress> addresses;
    for (const auto& [daemon, peer] : this->peers)
        addresses.push_back(peer.address);
    const auto asked = std::min(addresses.size(), static_cast<std::size_t>(this->lease.witnessesNeeded()) * 2);
    for (std::size_t i = 0; i < asked; ++i) {
        this->hooks.askWitness(addresses[this->nextWitness++ % addresses.size()],
            [this, at, weak = std::weak_ptr<int>(this->lifetime)](std::optional<StoreVersion> claim) {
                if (!weak.expired())
                    this->onWitness(at, claim);
            });
    }
}

// Witnesses prove the same as a renewal in the store: that this daemon knows every claim up to the newest one, and that
// it obeys them. That it has heard of a claim as new as the witness's does not prove this, because it may lack an
// earlier one.
void FleetController::onWitness(Time askedAt, std::optional<StoreVersion> claim)
{
    if (askedAt != this->witnessesAskedAt || !claim)
        return;
    if (*claim > this->claims.completeUpTo() || !this->obeysKnownClaims()) {
        logEvent(LogLevel::Debug, "witness_not_counted",
            { { "witness_claim", toString(*claim) }, { "known_up_to", toString(this->claims.completeUpTo()) },
                { "newest_known", toString(this->claims.newest()) } });
        return;
    }
    if (++this->witnessAnswers < this->lease.witnessesNeeded())
        return;
    if (!this->lease.isValid(this->now()))
        logEvent(LogLevel::Info, "lease_witnessed_again",
            { { "epoch", toString(this->claims.completeUpTo()) },
                { "without_lease_ms", toMilliseconds(this->now() - this->lease.end()) } });
    this->lease.onWitnessed(askedAt);
}

} // namespace endivetrestle
