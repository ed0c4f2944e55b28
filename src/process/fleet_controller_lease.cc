// How the lease is renewed: together with those of other daemons, or directly.
#include "process/fleet_controller.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Pause before a failed renewal is repeated.
constexpr Duration renewalRetry = std::chrono::milliseconds(300);
// Daemons that may all ask the store for their lease at once.
constexpr std::size_t largestDirectFleet = 16;
// Longest wait for the delegate once it is connected. It exceeds the time for which renewals wait for each other and
// that of a slow store.
constexpr Duration renewTimeout = std::chrono::milliseconds(1500);
// Time for which no other daemon is asked to renew the lease after one did not answer.
constexpr Duration delegatePause = std::chrono::seconds(10);

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

LeaseRenewal FleetController::makeRenewal(Time preparedAt) const
{
    LeaseRenewal renewal;
    renewal.row = { this->identity.daemon, this->identity.incarnation, this->identity.peerAddress,
        this->identity.forwardAddress, this->identity.dataCentre,
        this->clock.latestMs(preparedAt) + milliseconds(PrimaryLease::validity), this->epochVersion,
        PrimaryLease::witnessesFor(this->liveCount) };
    renewal.rowVersion = this->leaseRowVersion;
    renewal.urgent = !this->lease.isValid(preparedAt);
    return renewal;
}

// Daemon that renews the leases of this daemon's part of the fleet: the first one by name. No value if none is known
// besides this one, or if one did not answer a moment ago.
std::optional<DaemonId> FleetController::leaseDelegate() const
{
    if (this->peers.empty() || this->now() < this->delegateNotBefore)
        return std::nullopt;
    std::vector<DaemonId> names { this->identity.daemon };
    for (const auto& [daemon, lease] : this->peers)
        names.push_back(daemon);
    std::sort(names.begin(), names.end());
    const auto own = std::find(names.begin(), names.end(), this->identity.daemon) - names.begin();
    const auto part = static_cast<std::size_t>(own) / LeaseBatch::maxRenewals;
    return names[part * LeaseBatch::maxRenewals];
}

void FleetController::renew()
{
    const bool draining = std::any_of(
        this->suspensions.begin(), this->suspensions.end(), [](const auto& entry) { return !entry.second.drained; });
    if (this->renewing || this->stopping || !this->fleetKnown || draining)
        return;
    this->renewing = true;
    const auto preparedAt = this->now();
    this->nextRenewal = preparedAt + PrimaryLease::renewalInterval;
    const auto delegate = this->leaseDelegate();
    const auto renewal = this->makeRenewal(preparedAt);
    const int witnesses = renewal.row.witnesses;
    this->lease.onRenewalSent(witnesses);
    // A daemon without a lease asks the store itself first in a small fleet: after a loss of power the delegate may be
    // down, and only a slow store makes it worth the wait for others. The leases of a large fleet, one by one, would
    // take longer than that: the store makes 200 changes a second in one part.
    const bool mayAskDirectly = this->liveCount <= largestDirectFleet && !this->directFailed;
    if (!delegate || (renewal.urgent && mayAskDirectly)) {
        this->renewDirectly();
        return;
    }
    const auto answered
        = [this, preparedAt, witnesses, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
              if (weak.expired())
                  return;
              if (result.status == StoreStatus::Done) {
                  // Daemons that were renewed together stay together.
                  this->nextRenewal = this->now() + PrimaryLease::renewalInterval;
                  this->onRenewed(preparedAt, witnesses, result);
                  return;
              }
              if (epochIn(result) > this->epochVersion) {
                  // A direct renewal would fail as well until the changed rows are known.
                  this->renewing = false;
                  this->nextRenewal = this->now();
                  this->readFleet();
                  return;
              }
              if (result.status == StoreStatus::Unknown)
                  this->delegateNotBefore = this->now() + delegatePause;
              this->renewDirectly();
          };
    if (*delegate == this->identity.daemon)
        this->batch.add(renewal, preparedAt, answered);
    else
        this->hooks.renewAt(this->peers.at(*delegate).address, renewal, renewTimeout, answered);
}

void FleetController::renewDirectly()
{
    const auto preparedAt = this->now();
    const auto renewal = this->makeRenewal(preparedAt);
    const int witnesses = renewal.row.witnesses;
    this->lease.onRenewalSent(witnesses);
    this->store.change(renewalChange({ renewal }),
        [this, preparedAt, witnesses, weak = std::weak_ptr<int>(this->lifetime)](const StoreResult& result) {
            if (weak.expired())
                return;
            const bool failed = result.status == StoreStatus::Refused || result.status == StoreStatus::Unknown;
            const bool firstFailure = failed && !this->directFailed;
            this->directFailed = failed;
            this->onRenewed(preparedAt, witnesses, result);
            // The next attempt goes through the delegate and need not wait.
            if (firstFailure && !this->lease.isValid(this->now()))
                this->nextRenewal = this->now();
        });
}

void FleetController::onRenewRequest(const LeaseRenewal& renewal, TableStore::Callback done)
{
    if (this->stopping)
        done(StoreResult { StoreStatus::Refused });
    else
        this->batch.add(renewal, this->now(), std::move(done));
}

void FleetController::onRenewed(Time preparedAt, int witnesses, const StoreResult& result)
{
    this->renewing = false;
    if (this->stopping)
        return;
    const bool reached = result.status == StoreStatus::Done || result.status == StoreStatus::Conflict;
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
                { { "epoch", this->epochVersion },
                    { "waited_ms", toMilliseconds(this->now() - this->leaseWantedSince) } });
        this->lease.onRenewed(preparedAt, witnesses);
        this->leaseRowVersion = result.version;
        this->leaseWantedSince = this->lease.end();
        return;
    }
    this->nextRenewal = this->now();
    if (result.status == StoreStatus::Conflict)
        this->onRenewalConflict(result);
    else
        this->nextRenewal += renewalRetry;
}

void FleetController::onRenewalConflict(const StoreResult& result)
{
    // The row is absent from the answer if it does not exist any more.
    this->leaseRowVersion = 0;
    for (const auto& row : result.rows) {
        if (row.table == leaseTable && row.key == this->identity.daemon.value && !row.removed)
            this->leaseRowVersion = row.version;
    }
    this->readFleet();
}

void FleetController::noteClaim(std::uint64_t version) { this->newestClaim = std::max(this->newestClaim, version); }

std::optional<std::uint64_t> FleetController::witnessClaims() const
{
    return this->lease.isValid(this->now()) ? std::optional(this->newestClaim) : std::nullopt;
}

// Asks other daemons to witness this daemon's lease while it cannot be renewed. A few more are asked than are needed,
// others each time, so that some may be silent.
void FleetController::askWitnesses(Time at)
{
    const bool needed = this->lease.needsWitnesses(at) && this->lease.witnessesNeeded() > 0;
    if (this->stopping || !needed || at < this->witnessesAskedAt + PrimaryLease::witnessInterval)
        return;
    this->witnessesAskedAt = at;
    this->witnessesHeard = 0;
    std::vector<SocketAddress> addresses;
    for (const auto& [daemon, peer] : this->peers)
        addresses.push_back(peer.address);
    const auto asked = std::min(addresses.size(), static_cast<std::size_t>(this->lease.witnessesNeeded()) * 2);
    for (std::size_t i = 0; i < asked; ++i) {
        this->hooks.askWitness(addresses[this->nextWitness++ % addresses.size()],
            [this, at, weak = std::weak_ptr<int>(this->lifetime)](std::optional<std::uint64_t> claim) {
                if (!weak.expired())
                    this->onWitness(at, claim);
            });
    }
}

void FleetController::onWitness(Time askedAt, std::optional<std::uint64_t> claim)
{
    // A witness that knows of a newer claim is none; this daemon may have to obey it.
    if (askedAt != this->witnessesAskedAt || !claim || *claim > this->newestClaim)
        return;
    if (++this->witnessesHeard >= this->lease.witnessesNeeded())
        this->lease.onWitnessed(askedAt);
}

} // namespace endivetrestle
