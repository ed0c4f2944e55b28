#include "process/database_controller.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Connections of an endpoint that stay unused, because two daemons can briefly both act as the active owner.
constexpr int spareConnections = 1;

} // namespace

std::vector<EndpointId> DatabaseController::votingEndpoints(const DatabaseDeclaration& declaration)
{
    std::vector<EndpointId> result;
    for (const auto& endpoint : declaration.endpoints) {
        if (endpoint.state != DeclaredEndpointState::Joining)
            result.push_back(endpoint.id);
    }
    return result;
}

std::vector<FailoverEndpoint> DatabaseController::failoverEndpoints(const DatabaseDeclaration& declaration)
{
    std::vector<FailoverEndpoint> result;
    for (const auto& endpoint : declaration.endpoints) {
        if (endpoint.state != DeclaredEndpointState::Joining)
            result.push_back({ endpoint.id, endpoint.state == DeclaredEndpointState::Leaving });
    }
    return result;
}

DatabaseController::DatabaseController(
    ControllerIdentity identity, ControllerSettings settings, const DatabaseDeclaration& declaration, Time now)
    : identity(std::move(identity))
    , settings(std::move(settings))
    , declaration(declaration)
    , health(this->settings.health, votingEndpoints(declaration), now)
    , freshness(this->settings.freshness, votingEndpoints(declaration))
    , failover({ this->identity.dataCentre, this->settings.failover, this->settings.random },
          failoverEndpoints(declaration), now)
    , writeTracker(this->settings.writes, votingEndpoints(declaration))
    , queue(this->settings.queue)
    , retryBudget(this->settings.retries)
    , pool(this->settings.pool)
    , transactions(this->settings.transactions, declaration.id, this->identity.daemon)
{
}

DatabaseController::Actions DatabaseController::setDeclaration(const DatabaseDeclaration& newDeclaration, Time now)
{
    this->declaration = newDeclaration;
    const auto voting = votingEndpoints(newDeclaration);
    this->health.setEndpoints(voting, now);
    this->freshness.setEndpoints(voting);
    this->performFailoverActions(this->failover.setEndpoints(failoverEndpoints(newDeclaration), now), now);
    this->handleWriteEvents(this->writeTracker.setEndpoints(voting), now);
    this->updatePoolAndProbes(now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::setRank(int newRank, Time now)
{
    if (newRank == this->rank)
        return {};
    this->rank = newRank;
    this->failover.setRank(std::max(newRank, 0));
    if (newRank < 0)
        this->queue.refuseAll(ErrorCode::NotOwner, Duration::zero());
    this->updatePoolAndProbes(now);
    return this->advanceAndTakeActions(now);
}

// An owner keeps its connections. A former owner keeps them until its transactions and running requests have ended.
bool DatabaseController::needsConnections() const
{
    return this->rank >= 0 || this->transactions.openCount() > 0 || !this->running.empty();
}

// Sets this owner's share of the connections of each endpoint and drops the probes of removed endpoints.
void DatabaseController::updatePoolAndProbes(Time now)
{
    const int available = this->declaration.connectionsPerEndpoint - this->settings.controlConnections;
    const int standby = std::min(this->settings.standbyConnections, std::max(available / 4, 1));
    const int active = std::max(available - standby - spareConnections, 1);
    const int share = this->rank == 0 ? active : standby;
    std::vector<PoolEndpoint> endpoints;
    std::map<EndpointId, ProbeState> kept;
    for (const auto& endpoint : this->declaration.endpoints) {
        if (endpoint.state == DeclaredEndpointState::Joining || !this->needsConnections())
            continue;
        const int warm
            = this->rank == 0 ? std::min(this->settings.warmConnections, share) : std::clamp(this->rank, 0, 1);
        // A leaving primary keeps serving until the switchover has finished.
        const bool leaving = endpoint.state == DeclaredEndpointState::Leaving && !this->isPrimary(endpoint.id);
        endpoints.push_back({ endpoint.id, { share, warm, this->declaration.slots }, leaving });
        kept[endpoint.id] = this->probes[endpoint.id];
    }
    this->probes = std::move(kept);
    this->connectionsReleased = endpoints.empty();
    this->pool.setEndpoints(endpoints, now);
}

bool DatabaseController::isPrimary(const EndpointId& endpoint) const
{
    const auto primary = this->failover.primary();
    return primary && primary->endpoint == endpoint;
}

DatabaseController::PendingRequest* DatabaseController::find(Ticket ticket)
{
    const auto found = this->pendingRequests.find(ticket);
    return found == this->pendingRequests.end() ? nullptr : &found->second;
}

// Does the work that an input may have made possible.
void DatabaseController::advance(Time now)
{
    this->applyTransactionActions(now);
    this->dispatch(now);
    this->handleRefusals(now);
    this->sendResolves(now);
    this->sendProbes(now);
    this->forwardPoolActions();
}

DatabaseController::Actions DatabaseController::advanceAndTakeActions(Time now)
{
    this->advance(now);
    return std::exchange(this->actions, {});
}

DatabaseController::Actions DatabaseController::tick(Time now)
{
    const auto primary = this->failover.primary();
    this->health.tick(now, primary ? primary->endpoint : EndpointId());
    if (primary)
        this->failover.setSuspectAfter(this->health.suspectAfter(primary->endpoint));
    this->performFailoverActions(this->failover.tick(now), now);
    this->handleWriteEvents(this->writeTracker.tick(now), now);
    this->pool.tick(now);
    this->queue.expire(now);
    this->retryBudget.tick(now);
    this->abortTransactions(this->transactions.tick(now), now);
    this->expireRequests(now);
    this->rerouteReads(now);
    if (!this->connectionsReleased && !this->needsConnections())
        this->updatePoolAndProbes(now);
    this->releaseWaitingReads(now);
    this->completeConfirmedReads(now);
    this->requestSwitchoverIfLeaving(now);
    this->refuseIfIsolated(now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::refuseQueued(Time now)
{
    this->queue.refuseAll(ErrorCode::ShuttingDown, Duration::zero());
    return this->advanceAndTakeActions(now);
}

// Passes a status to every part that uses it.
void DatabaseController::applyStatus(const EndpointStatus& status, Time sentAt, Time now)
{
    if (const auto probe = this->probes.find(status.endpoint); probe != this->probes.end())
        probe->second.lastLog = status.lastLog;
    this->freshness.onStatus(status, sentAt, now);
    this->performFailoverActions(this->failover.onStatus(status, sentAt, now), now);
    this->handleWriteEvents(this->writeTracker.onStatus(status, sentAt, now), now);
    this->releaseWaitingReads(now);
    this->completeConfirmedReads(now);
}

void DatabaseController::recordCallResult(const CallResult& result)
{
    this->health.onResult(result);
    if (!result.failed)
        return;
    this->actions.emplace_back(controller::CallFailed { result.endpoint });
    this->performFailoverActions(
        this->failover.onContactFailure(result.endpoint, result.receivedAt), result.receivedAt);
}

// A standby owner probes half as often, which saves a third of the control traffic. Its rank delays its failovers,
// which leaves time for the slower probes.
Duration DatabaseController::probeInterval() const
{
    return this->rank == 0 ? this->settings.probeInterval : 2 * this->settings.probeInterval;
}

void DatabaseController::sendProbes(Time now)
{
    for (auto& [endpoint, state] : this->probes) {
        if (this->isPrimary(endpoint)) {
            if (!state.statusOutstanding && now >= state.statusDue)
                this->sendStatus(endpoint, state, now);
        } else if (!state.watchOutstanding && now >= state.watchDue) {
            this->sendWatch(endpoint, state, now);
        }
    }
}

void DatabaseController::sendWatch(const EndpointId& endpoint, ProbeState& state, Time now)
{
    state.watchOutstanding = true;
    state.watchNumber = ++this->lastCallNumber;
    state.watchDue = now;
    const auto wait = this->probeInterval();
    const auto timeout = wait + this->health.suspectAfter(endpoint);
    this->actions.emplace_back(controller::Probe { endpoint, state.watchNumber, state.lastLog, wait, timeout });
}

void DatabaseController::sendStatus(const EndpointId& endpoint, ProbeState& state, Time now)
{
    state.statusOutstanding = true;
    state.statusNumber = ++this->lastCallNumber;
    state.statusDue = now + this->probeInterval();
    const auto timeout = this->health.suspectAfter(endpoint);
    this->actions.emplace_back(controller::Probe { endpoint, state.statusNumber, {}, Duration::zero(), timeout });
}

// Requests the status of every endpoint at once, for reads that wait for a confirmation of the primary. Reads that
// arrive while these requests are outstanding share the next round.
void DatabaseController::requestConfirmation(Time now)
{
    for (auto& [endpoint, state] : this->probes) {
        if (!state.statusOutstanding)
            this->sendStatus(endpoint, state, now);
    }
}

DatabaseController::Actions DatabaseController::onProbeAnswer(
    std::uint64_t number, Time sentAt, const EndpointStatus& status, Time now)
{
    const auto found = this->probes.find(status.endpoint);
    if (found == this->probes.end())
        return {};
    auto& state = found->second;
    const bool watch = state.watchOutstanding && state.watchNumber == number;
    if (watch)
        state.watchOutstanding = false;
    else if (state.statusOutstanding && state.statusNumber == number)
        state.statusOutstanding = false;
    else
        return {};
    // The time of a watch call includes its wait, so only status calls measure the probe time.
    this->recordCallResult({ status.endpoint, sentAt, now, false, !watch, !watch });
    this->pool.clearBackoff(status.endpoint, now);
    this->applyStatus(status, sentAt, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onProbeFailed(
    const EndpointId& endpoint, std::uint64_t number, Time sentAt, Time now)
{
    const auto found = this->probes.find(endpoint);
    if (found == this->probes.end())
        return {};
    auto& state = found->second;
    const auto retryAt = now + this->settings.probeInterval;
    if (state.watchOutstanding && state.watchNumber == number) {
        state.watchOutstanding = false;
        state.watchDue = retryAt;
    } else if (state.statusOutstanding && state.statusNumber == number) {
        state.statusOutstanding = false;
        state.statusDue = retryAt;
    } else {
        return {};
    }
    this->recordCallResult({ endpoint, sentAt, now, true });
    return this->advanceAndTakeActions(now);
}

void DatabaseController::forwardPoolActions()
{
    for (const auto& action : this->pool.takeActions()) {
        if (const auto* open = std::get_if<OpenConnection>(&action))
            this->actions.emplace_back(controller::Open { open->connection, open->endpoint });
        else if (const auto* close = std::get_if<CloseConnection>(&action))
            this->actions.emplace_back(controller::Close { close->connection });
        else if (const auto* reset = std::get_if<ResetConnection>(&action))
            this->actions.emplace_back(controller::Reset { reset->connection, reset->generation });
    }
}

DatabaseController::Actions DatabaseController::onOpened(PoolConnectionId connection, Time now)
{
    this->pool.onOpened(connection, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onOpenFailed(PoolConnectionId connection, Time now)
{
    this->pool.onOpenFailed(connection, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onClosed(PoolConnectionId connection, Time now)
{
    const auto interrupted = this->pool.onClosed(connection, now);
    if (const auto found = this->running.find(connection); interrupted && found != this->running.end()) {
        const auto ticket = found->second;
        const auto* entry = this->find(ticket);
        const auto sentAt = entry == nullptr ? now : entry->sentAt;
        return this->onExecuteFailed(*interrupted, sentAt, ErrorCode::EndpointUnreachable, true, now);
    }
    this->onTransactionLost(connection, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onResetDone(
    PoolConnectionId connection, std::uint64_t generation, bool succeeded, Time now)
{
    this->pool.onResetDone(connection, generation, succeeded, now);
    return this->advanceAndTakeActions(now);
}

std::optional<Duration> DatabaseController::contactAge(const EndpointId& endpoint, Time now) const
{
    return this->health.contactAge(endpoint, now);
}

ControllerReport DatabaseController::report(Time now) const
{
    ControllerReport result;
    result.rank = this->rank;
    result.failover = this->failover.state();
    result.primary = this->failover.primary();
    result.queued = this->queue.size();
    result.pending = this->pendingRequests.size();
    result.transactions = this->transactions.openCount();
    for (const auto& endpoint : this->declaration.endpoints) {
        EndpointSummary entry;
        entry.endpoint = endpoint.id;
        entry.health = this->health.view(endpoint.id);
        entry.connections = this->pool.counts(endpoint.id);
        entry.applied = this->freshness.applied(endpoint.id);
        entry.lag = this->freshness.applyLag(endpoint.id);
        entry.primary = this->isPrimary(endpoint.id);
        entry.leaving = endpoint.state == DeclaredEndpointState::Leaving;
        result.endpoints.push_back(std::move(entry));
    }
    static_cast<void>(now);
    return result;
}

} // namespace endivetrestle
