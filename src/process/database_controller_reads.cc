#include "process/database_controller.h"

#include <algorithm>

namespace endivetrestle {

std::vector<ReadCandidate> DatabaseController::readCandidates(const Position& required, Time now) const
{
    std::vector<ReadCandidate> result;
    for (const auto& endpoint : this->declaration.endpoints) {
        if (endpoint.state == DeclaredEndpointState::Joining)
            continue;
        const auto view = this->health.view(endpoint.id);
        const auto counts = this->pool.counts(endpoint.id);
        ReadCandidate candidate;
        candidate.endpoint = endpoint.id;
        candidate.primary = this->isPrimary(endpoint.id);
        candidate.leaving = endpoint.state == DeclaredEndpointState::Leaving;
        candidate.suspected = view.suspected;
        candidate.ejected = view.ejected;
        candidate.applied = this->freshness.applied(endpoint.id);
        candidate.predictedApply = this->freshness.predictApplied(endpoint.id, required, now);
        candidate.latency = view.latency;
        candidate.lag = candidate.primary ? Duration::zero() : this->freshness.applyLag(endpoint.id);
        candidate.busy = counts.usedSlots;
        candidate.slots = this->declaration.slots;
        candidate.queued = this->queuedFor(endpoint.id);
        result.push_back(std::move(candidate));
    }
    return result;
}

// Number of queued requests that wait for the endpoint, including those for the primary if it is the primary.
int DatabaseController::queuedFor(const EndpointId& endpoint) const
{
    auto length = this->queue.sizeOf(QueueTarget { QueueTargetKind::Endpoint, endpoint });
    if (this->isPrimary(endpoint))
        length += this->queue.sizeOf(QueueTarget { QueueTargetKind::Primary, {} });
    return static_cast<int>(length);
}

// Reroutes queued reads whose endpoint is leaving or suspected.
void DatabaseController::rerouteReads(Time now)
{
    for (const auto& endpoint : this->declaration.endpoints) {
        const bool leaving = endpoint.state == DeclaredEndpointState::Leaving;
        if (leaving || this->health.view(endpoint.id).suspected)
            this->queue.refuseEndpoint(endpoint.id, ErrorCode::EndpointUnreachable);
    }
    this->handleRefusals(now);
}

void DatabaseController::routeRead(Ticket ticket, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    const auto& request = entry.request;
    ReadRequirements requirements;
    const auto forAge = request.maxAge ? this->freshness.positionForAge(*request.maxAge, now) : std::nullopt;
    requirements.required = requiredPosition(request.minPosition, forAge);
    requirements.requiresPrimary = entry.primaryOnly || request.requiresPrimary || (request.maxAge && !forAge);
    requirements.deadline = request.deadline;
    const auto choice = this->settings.readPolicy(requirements, this->readCandidates(requirements.required, now), now);
    entry.endpoint = choice.endpoint;
    entry.atPrimary = choice.kind == ReadChoiceKind::Primary || choice.kind == ReadChoiceKind::NoneAvailable;
    if (choice.kind != ReadChoiceKind::WaitFor) {
        // With no endpoint available the read waits in the queue for a primary until its deadline.
        this->enqueue(ticket, now);
        return;
    }
    entry.stage = Stage::AwaitingReplica;
    entry.replicaReadyAt = choice.until;
    this->awaitingReplica.insert(ticket);
}

// Queues the waiting reads whose replica has applied the position or should have applied it by now. One status can
// release all of them.
void DatabaseController::releaseWaitingReads(Time now)
{
    std::vector<Ticket> due;
    for (const auto ticket : this->awaitingReplica) {
        const auto& entry = this->pendingRequests.at(ticket);
        const auto forAge
            = entry.request.maxAge ? this->freshness.positionForAge(*entry.request.maxAge, now) : std::nullopt;
        const auto required = requiredPosition(entry.request.minPosition, forAge);
        if (now >= entry.replicaReadyAt || this->freshness.applied(entry.endpoint) >= required)
            due.push_back(ticket);
    }
    for (const auto ticket : due) {
        this->awaitingReplica.erase(ticket);
        this->enqueue(ticket, now);
    }
}

void DatabaseController::onReadAnswer(Ticket ticket, const ExecuteAnswer& answer, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    switch (answer.code) {
    case ErrorCode::None:
        entry.answer = answer;
        if (this->completeReadIfFresh(ticket, now))
            return;
        if (!entry.atPrimary && (!this->isFresh(entry, now) || !this->followsPrimary(answer.status))) {
            // The answer became older than the bound in transit, or the replica's log may still be truncated.
            entry.primaryOnly = true;
            this->routeRead(ticket, now);
            return;
        }
        entry.stage = Stage::AwaitingConfirmation;
        this->awaitingConfirmation.insert(ticket);
        if (!this->isFresh(entry, now))
            this->requestConfirmation(now);
        return;
    case ErrorCode::StatementFailed:
        this->complete(ticket, didNotRun(ErrorCode::StatementFailed, answer.detail));
        return;
    case ErrorCode::PositionDiverged:
        if (entry.atPrimary) {
            this->complete(
                ticket, didNotRun(ErrorCode::PositionDiverged, "the session's position is not in the primary's log"));
            return;
        }
        entry.primaryOnly = true;
        break;
    case ErrorCode::PositionNotReached:
        if (!entry.atPrimary) {
            // The predicted apply time was wrong, so the read goes to the primary. This happens at most once per read
            // and therefore does not use the retry budget.
            entry.primaryOnly = true;
            this->actions.emplace_back(controller::Retried { controller::RetryCause::Position });
            this->routeRead(ticket, now);
            return;
        }
        break;
    default:
        break;
    }
    if (!this->retry(ticket, SendEvidence::ProvenNotRun, now))
        this->complete(ticket, didNotRun(answer.code, "no endpoint could serve the read"));
}

// Whether the answer satisfies the age bound or, if the session token requires it, comes from a confirmed primary. If a
// majority has confirmed the primary's term since the request arrived, the primary's answer contains every write that
// was acknowledged before, which satisfies any bound.
bool DatabaseController::isFresh(const PendingRequest& entry, Time now) const
{
    const auto& request = entry.request;
    if (!request.requiresPrimary && !request.maxAge)
        return true;
    const auto confirmed = this->freshness.confirmedSince(entry.arrival);
    if (entry.atPrimary && confirmed && confirmed->term == entry.answer.status.term)
        return true;
    if (request.requiresPrimary)
        return false;
    const auto oldest = this->freshness.positionForAge(*request.maxAge, now);
    return oldest && entry.answer.position >= *oldest;
}

// Whether the endpoint's log ends with a record of the current term and is therefore a prefix of the primary's log.
bool DatabaseController::followsPrimary(const EndpointStatus& status) const
{
    return status.lastLog.index == 0 || status.lastLog.term == this->writeTracker.highestTerm();
}

// Completes a read whose answer is fresh and shows only records that a majority holds. A record on fewer endpoints may
// be lost in a failover, and its write would then be reported as not run although a caller has seen its effect.
bool DatabaseController::completeReadIfFresh(Ticket ticket, Time now)
{
    const auto& entry = this->pendingRequests.at(ticket);
    if (!this->isFresh(entry, now)
        || !this->writeTracker.isHeldByMajority(entry.answer.position, entry.answer.status.lastLog))
        return false;
    Outcome outcome;
    outcome.state = OutcomeState::Completed;
    outcome.rows = entry.answer.rows;
    outcome.position = entry.answer.position;
    outcome.servedBy = entry.endpoint;
    outcome.servedByReplica = !entry.atPrimary;
    this->complete(ticket, std::move(outcome));
    return true;
}

void DatabaseController::completeConfirmedReads(Time now)
{
    if (this->awaitingConfirmation.empty())
        return;
    const std::vector<Ticket> waiting(this->awaitingConfirmation.begin(), this->awaitingConfirmation.end());
    const auto primary = this->failover.primary();
    bool unconfirmed = false;
    for (const auto ticket : waiting) {
        if (this->completeReadIfFresh(ticket, now))
            continue;
        auto& entry = this->pendingRequests.at(ticket);
        if (primary && primary->term == entry.answer.status.term) {
            unconfirmed = unconfirmed || !this->isFresh(entry, now);
            continue;
        }
        // The primary that answered has been replaced: read again.
        this->awaitingConfirmation.erase(ticket);
        if (!this->retry(ticket, SendEvidence::ProvenNotRun, now))
            this->complete(ticket, didNotRun(ErrorCode::NoPrimary, "the primary changed during the read"));
    }
    // Reads that only wait for a majority to hold their records complete when the replicas' watch calls are answered.
    if (unconfirmed)
        this->requestConfirmation(now);
}

} // namespace endivetrestle
