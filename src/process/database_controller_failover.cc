#include "process/database_controller.h"

namespace endivetrestle {

namespace {

// Time between two attempts to move the primary away from a leaving endpoint.
constexpr Duration switchoverInterval = std::chrono::seconds(1);

// Time after which an unconfirmed suspicion means that this daemon itself is isolated from the primary. A confirmed
// replacement of the primary takes less.
constexpr Duration isolatedAfter = std::chrono::milliseconds(500);

std::string joinFields(const failover::JournalEvent& event)
{
    std::string text;
    for (const auto& [key, value] : event.fields)
        text += (text.empty() ? "" : " ") + key + "=" + value;
    return text;
}

} // namespace

void DatabaseController::performFailoverActions(const FailoverActions& failoverActions, Time now)
{
    for (const auto& action : failoverActions) {
        if (const auto* ask = std::get_if<failover::AskOpinions>(&action)) {
            this->actions.emplace_back(controller::AskOpinions { ask->endpoint, ask->term });
        } else if (const auto* fence = std::get_if<failover::Fence>(&action)) {
            this->actions.emplace_back(
                controller::FenceEndpoint { fence->endpoint, { fence->term, this->identity.claimant } });
        } else if (const auto* promote = std::get_if<failover::Promote>(&action)) {
            this->actions.emplace_back(
                controller::PromoteEndpoint { promote->endpoint, { promote->term, this->identity.claimant } });
        } else if (const auto* change = std::get_if<failover::PrimaryChanged>(&action)) {
            this->onPrimaryChanged(*change, now);
        } else if (const auto* journalEvent = std::get_if<failover::JournalEvent>(&action)) {
            JournalRecord record;
            record.database = this->declaration.id;
            record.kind = this->plannedChange ? JournalKind::Switchover : JournalKind::Failover;
            record.seen = joinFields(*journalEvent);
            record.decided = journalEvent->event;
            record.fields = journalEvent->fields;
            this->actions.emplace_back(controller::AddJournalEntry { std::move(record) });
        }
    }
    const bool runs = this->failover.state() != FailoverState::Watching;
    if (runs && !this->failoverRunning) {
        JournalRecord record;
        record.database = this->declaration.id;
        record.kind = this->plannedChange ? JournalKind::Switchover : JournalKind::Failover;
        const auto primary = this->failover.primary();
        record.seen = primary ? "primary " + primary->endpoint.value + " in term " + std::to_string(primary->term)
                              : std::string("no primary");
        record.decided = this->plannedChange ? "replace the leaving primary" : "suspect the primary";
        record.done = "under way";
        this->actions.emplace_back(controller::FailoverStarted { std::move(record) });
    } else if (!runs && this->failoverRunning) {
        this->actions.emplace_back(controller::FailoverEnded {});
        this->plannedChange = false;
    }
    this->failoverRunning = runs;
}

void DatabaseController::onPrimaryChanged(const failover::PrimaryChanged& change, Time now)
{
    this->actions.emplace_back(controller::PrimaryReplaced {
        change.endpoint, change.term, change.gap, change.promotedHere, this->plannedChange });
    this->handleWriteEvents(this->writeTracker.onTerm(change.term), now);
    this->abandonWritesInFlight(now);
    this->abortTransactions(this->transactions.abortAll(now), now);
    this->updatePoolAndProbes(now);
    if (const auto probe = this->probes.find(change.endpoint); probe != this->probes.end())
        probe->second.statusDue = now;
    for (const auto ticket : this->resolving) {
        auto& entry = this->pendingRequests.at(ticket);
        entry.resolveOutstanding = false;
        entry.resolveDue = now;
    }
}

// Stops waiting for the answers to writes that were sent to a primary which has been replaced or cannot be reached, and
// resolves their outcomes instead.
void DatabaseController::abandonWritesInFlight(Time now)
{
    std::vector<Ticket> affected;
    for (const auto& [connection, ticket] : this->running) {
        const auto kind = this->pendingRequests.at(ticket).request.kind;
        if (kind == RequestKind::Write || kind == RequestKind::Commit)
            affected.push_back(ticket);
    }
    for (const auto ticket : affected) {
        this->abandon(this->pendingRequests.at(ticket), now);
        this->startResolving(ticket, now);
    }
}

void DatabaseController::requestSwitchoverIfLeaving(Time now)
{
    const auto primary = this->failover.primary();
    if (this->rank != 0 || !primary || this->failover.state() != FailoverState::Watching || now < this->switchoverDue)
        return;
    std::set<EndpointId> leaving;
    for (const auto& endpoint : this->declaration.endpoints) {
        if (endpoint.state == DeclaredEndpointState::Leaving)
            leaving.insert(endpoint.id);
    }
    if (!leaving.contains(primary->endpoint))
        return;
    this->switchoverDue = now + switchoverInterval;
    this->plannedChange = true;
    this->performFailoverActions(this->failover.requestSwitchover("the primary is leaving", leaving, now), now);
}

// A suspicion that others do not confirm means that only this daemon cannot reach the primary. Requests for the primary
// are refused as not run, so that the daemons that received them try the next owner.
void DatabaseController::refuseIfIsolated(Time now)
{
    const auto primary = this->failover.primary();
    if (!primary || this->failover.state() != FailoverState::Confirming) {
        this->unconfirmedSince.reset();
        this->isolated = false;
        return;
    }
    this->unconfirmedSince = this->unconfirmedSince.value_or(now);
    this->isolated = now - *this->unconfirmedSince >= isolatedAfter && this->health.view(primary->endpoint).suspected;
    if (!this->isolated)
        return;
    this->queue.refuseAll(ErrorCode::NotOwner, Duration::zero());
    this->handleRefusals(now);
    this->abandonWritesInFlight(now);
    // Another owner can ask the primary for these outcomes.
    const std::vector<Ticket> unresolved(this->resolving.begin(), this->resolving.end());
    for (const auto ticket : unresolved)
        this->complete(ticket, unknownOutcome(ErrorCode::EndpointUnreachable, "this owner cannot reach the primary"));
}

DatabaseController::Actions DatabaseController::onFenceAnswer(
    const EndpointId& endpoint, std::uint64_t term, Time sentAt, const FenceAnswer& answer, Time now)
{
    this->recordCallResult({ endpoint, sentAt, now });
    this->performFailoverActions(this->failover.onFenceAnswer(endpoint, term, answer, now), now);
    this->applyStatus(answer.status, sentAt, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onFenceFailed(const EndpointId& endpoint, std::uint64_t term, Time now)
{
    this->performFailoverActions(this->failover.onFenceFailed(endpoint, term, now), now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onPromoteAnswer(
    const EndpointId& endpoint, std::uint64_t term, Time sentAt, const FenceAnswer& answer, Time now)
{
    this->recordCallResult({ endpoint, sentAt, now });
    this->performFailoverActions(this->failover.onPromoteAnswer(endpoint, term, answer, now), now);
    this->applyStatus(answer.status, sentAt, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onPromoteFailed(
    const EndpointId& endpoint, std::uint64_t term, Time now)
{
    this->performFailoverActions(this->failover.onPromoteFailed(endpoint, term, now), now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onOpinion(const Opinion& opinion, Time now)
{
    this->performFailoverActions(this->failover.onOpinion(opinion, now), now);
    return this->advanceAndTakeActions(now);
}

} // namespace endivetrestle
