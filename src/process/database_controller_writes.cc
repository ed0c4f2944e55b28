#include "process/database_controller.h"

#include <algorithm>

namespace endivetrestle {

void DatabaseController::onWriteAnswer(Ticket ticket, const ExecuteAnswer& answer, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    switch (answer.code) {
    case ErrorCode::None:
        entry.answer = answer;
        this->trackWrite(ticket, answer.status, answer.replayed, entry.sentAt, now);
        return;
    case ErrorCode::StatementFailed:
        this->complete(ticket, didNotRun(answer.code, answer.detail));
        return;
    case ErrorCode::RequestAborted:
        // The abort marker proves that the request did not run only once a majority holds it.
        this->startResolving(ticket, now);
        return;
    default:
        if (!this->retry(ticket, SendEvidence::ProvenNotRun, now))
            this->complete(ticket, didNotRun(answer.code, "the primary refused the request"));
        return;
    }
}

// Waits until a majority holds the record. For a record that the primary had before the call, the tracker waits for a
// later record of the primary's term.
void DatabaseController::trackWrite(
    Ticket ticket, const EndpointStatus& status, bool recordedBefore, Time sentAt, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    entry.stage = Stage::AwaitingMajority;
    ExecutedWrite write;
    write.ticket = ticket;
    write.requestId = entry.request.id;
    write.primary = status.endpoint;
    write.position = entry.answer.position;
    write.recordedBefore = recordedBefore;
    write.sentAt = sentAt;
    write.deadline = std::min(entry.request.deadline, now + this->settings.ackDeadline);
    this->handleWriteEvents(this->writeTracker.writeExecuted(write, status, now), now);
}

void DatabaseController::handleWriteEvents(const WriteTracker::Events& events, Time now)
{
    for (const auto& event : events) {
        if (const auto* held = std::get_if<WriteHeldByMajority>(&event)) {
            auto* entry = this->find(held->write.ticket);
            if (entry == nullptr || entry->stage != Stage::AwaitingMajority)
                continue;
            entry->evidence = held->evidence;
            this->completeReplicated(held->write.ticket);
        } else if (const auto* overdue = std::get_if<WriteDeadlineReached>(&event)) {
            this->complete(overdue->write.ticket,
                unknownOutcome(
                    ErrorCode::NotHeldByMajority, "the write is not yet confirmed by a majority of endpoints"));
        } else if (const auto* superseded = std::get_if<WriteSuperseded>(&event)) {
            this->startResolving(superseded->write.ticket, now);
        }
    }
}

// Completes a request whose record, or whose abort marker, is held by a majority.
void DatabaseController::completeReplicated(Ticket ticket)
{
    const auto& entry = this->pendingRequests.at(ticket);
    if (entry.ran && !*entry.ran) {
        auto outcome = didNotRun(ErrorCode::RequestAborted, "the request did not run and can no longer run");
        this->complete(ticket, std::move(outcome));
        return;
    }
    Outcome outcome;
    outcome.state = OutcomeState::Completed;
    outcome.rows = entry.answer.rows;
    outcome.position = entry.answer.position;
    outcome.servedBy = entry.answer.status.endpoint;
    this->complete(ticket, std::move(outcome));
}

void DatabaseController::startResolving(Ticket ticket, Time now)
{
    auto* entry = this->find(ticket);
    if (entry == nullptr)
        return;
    this->actions.emplace_back(controller::Retried { controller::RetryCause::Resolve });
    entry->stage = Stage::Resolving;
    entry->resolveOutstanding = false;
    entry->resolveDue = now;
    this->resolving.insert(ticket);
}

void DatabaseController::sendResolves(Time now)
{
    const auto primary = this->failover.primary();
    if (!primary)
        return;
    for (const auto ticket : this->resolving) {
        auto& entry = this->pendingRequests.at(ticket);
        if (entry.resolveOutstanding || now < entry.resolveDue)
            continue;
        entry.resolveOutstanding = true;
        entry.resolveNumber = ++this->lastCallNumber;
        entry.sentAt = now;
        const auto remaining = std::max(entry.request.deadline - now, Duration(1000));
        const auto timeout = std::min(remaining, this->health.suspectAfter(primary->endpoint));
        this->actions.emplace_back(controller::Resolve { ticket, entry.resolveNumber, primary->endpoint,
            { this->scopedId(entry.request), primary->term }, timeout });
    }
}

DatabaseController::Actions DatabaseController::onResolveAnswer(
    std::uint64_t ticket, std::uint64_t number, Time sentAt, const ResolveAnswer& answer, Time now)
{
    auto* entry = this->find(ticket);
    const bool expected = entry != nullptr && entry->stage == Stage::Resolving && entry->resolveNumber == number
        && entry->resolveOutstanding;
    this->recordCallResult({ answer.status.endpoint, sentAt, now });
    if (expected) {
        entry->resolveOutstanding = false;
        entry->resolveDue = now + this->settings.resolveInterval;
        if (answer.code == ErrorCode::None) {
            this->resolving.erase(ticket);
            entry->ran = answer.ran;
            entry->answer = {};
            entry->answer.rows = answer.rows;
            entry->answer.position = answer.position;
            entry->answer.status = answer.status;
            this->trackWrite(ticket, answer.status, true, sentAt, now);
        }
    }
    this->applyStatus(answer.status, sentAt, now);
    return this->advanceAndTakeActions(now);
}

DatabaseController::Actions DatabaseController::onResolveFailed(std::uint64_t ticket, std::uint64_t number, Time now)
{
    auto* entry = this->find(ticket);
    if (entry == nullptr || entry->stage != Stage::Resolving || entry->resolveNumber != number)
        return {};
    entry->resolveOutstanding = false;
    entry->resolveDue = now + this->settings.resolveInterval;
    return this->advanceAndTakeActions(now);
}

} // namespace endivetrestle
