#include "process/database_controller.h"

namespace endivetrestle {

// Accepts a statement, commit or rollback of an open transaction. Statements of transactions are sent before queued
// requests, because a transaction occupies a scarce connection until it ends.
void DatabaseController::submitTransaction(Ticket ticket, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    if (!entry.transaction) {
        this->complete(ticket, didNotRun(ErrorCode::UnknownTransaction, "no such transaction"));
        return;
    }
    const auto parts = *entry.transaction;
    const auto& request = entry.request;
    if (request.kind == RequestKind::Rollback) {
        this->rollBack(ticket, parts, now);
        return;
    }
    const auto access = request.kind == RequestKind::Commit
        ? this->transactions.startCommit(parts, request.caller, request.id, now)
        : this->transactions.startStatement(parts, request.caller, request.id, now);
    if (const auto* refusal = std::get_if<TransactionRefusal>(&access)) {
        // A request that already arrived in a transaction which is still open must not be resolved: the abort marker
        // would report "did not run", which becomes false once the transaction commits.
        if (refusal->outcome == OutcomeState::Unknown && refusal->code == ErrorCode::UnknownTransaction)
            this->startResolving(ticket, now);
        else if (refusal->outcome == OutcomeState::Unknown)
            this->complete(ticket, unknownOutcome(refusal->code, refusal->detail));
        else
            this->complete(ticket, didNotRun(refusal->code, refusal->detail));
        return;
    }
    const auto pin = std::get<ConnectionUse>(access);
    entry.stage = Stage::AwaitingSlot;
    entry.endpoint = pin.endpoint;
    entry.atPrimary = true;
    this->transactionTickets[parts.number] = ticket;
    this->awaitingSlot[pin.endpoint].push_back(ticket);
}

void DatabaseController::rollBack(Ticket ticket, const TransactionIdParts& parts, Time now)
{
    const auto& request = this->pendingRequests.at(ticket).request;
    if (const auto refusal = this->transactions.rollBack(parts, request.caller, request.id, now)) {
        this->complete(ticket, didNotRun(refusal->code, refusal->detail));
        return;
    }
    Outcome outcome;
    outcome.state = OutcomeState::Completed;
    this->complete(ticket, std::move(outcome));
}

void DatabaseController::dispatchTransactions(const EndpointId& endpoint, Time now)
{
    // A request whose connection cannot run a statement yet stays in the queue without blocking the others.
    std::deque<Ticket> remaining;
    for (const auto ticket : std::exchange(this->awaitingSlot[endpoint], {})) {
        auto* entry = this->find(ticket);
        if (entry == nullptr || entry->stage != Stage::AwaitingSlot)
            continue;
        const auto view = this->transactions.find(entry->transaction->number);
        const auto use = view ? this->pool.beginStatement(view->pin) : std::nullopt;
        if (!use) {
            remaining.push_back(ticket);
            continue;
        }
        const bool commit = entry->request.kind == RequestKind::Commit;
        if (commit)
            this->transactions.commitSent(entry->transaction->number);
        this->send(ticket, *use, commit ? ExecuteKind::Commit : ExecuteKind::Statement, now);
    }
    this->awaitingSlot[endpoint] = std::move(remaining);
}

void DatabaseController::onBeginAnswer(Ticket ticket, const ConnectionUse& use, const ExecuteAnswer& answer, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    if (answer.code != ErrorCode::None) {
        this->pool.release(use, ReleaseState::Dirty, now);
        if (!this->retry(ticket, SendEvidence::ProvenNotRun, now))
            this->complete(ticket, didNotRun(answer.code, answer.detail));
        return;
    }
    const auto parts = this->transactions.begin(entry.request.caller, use, this->settings.random(), now);
    if (!parts || !this->pool.pin(use)) {
        this->pool.release(use, ReleaseState::Dirty, now);
        this->complete(ticket, didNotRun(ErrorCode::QueueFull, "too many open transactions"));
        return;
    }
    entry.begunTransaction = parts;
    Outcome outcome;
    outcome.state = OutcomeState::Completed;
    outcome.servedBy = use.endpoint;
    outcome.position = answer.position;
    this->complete(ticket, std::move(outcome));
}

std::optional<TransactionIdParts> DatabaseController::begunTransaction(std::uint64_t ticket)
{
    const auto* entry = this->find(ticket);
    return entry == nullptr ? std::nullopt : entry->begunTransaction;
}

void DatabaseController::onTransactionAnswer(Ticket ticket, const ExecuteAnswer& answer, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    const auto number = entry.transaction->number;
    this->transactionTickets.erase(number);
    if (entry.request.kind == RequestKind::Commit) {
        const bool ran = answer.code == ErrorCode::None;
        this->transactions.finishCommit(number, ran ? OutcomeState::Completed : OutcomeState::DidNotRun, now);
        this->applyTransactionActions(now);
        if (!ran) {
            this->complete(ticket, didNotRun(answer.code, answer.detail));
            return;
        }
        entry.answer = answer;
        this->trackWrite(ticket, answer.status, answer.replayed, entry.sentAt, now);
        return;
    }
    this->transactions.finishStatement(number, now);
    if (answer.code != ErrorCode::None) {
        this->complete(ticket, didNotRun(answer.code, answer.detail));
        return;
    }
    Outcome outcome;
    outcome.state = OutcomeState::Completed;
    outcome.rows = answer.rows;
    outcome.servedBy = entry.endpoint;
    this->complete(ticket, std::move(outcome));
}

void DatabaseController::onTransactionLost(PoolConnectionId connection, Time now)
{
    if (const auto ended = this->transactions.onConnectionLost(connection, now))
        this->abortTransactions({ *ended }, now);
}

// Answers the requests that were interrupted by the end of their transactions.
void DatabaseController::abortTransactions(const std::vector<EndedTransaction>& ended, Time now)
{
    for (const auto& transaction : ended) {
        const auto found = this->transactionTickets.find(transaction.number);
        if (found == this->transactionTickets.end())
            continue;
        const auto ticket = found->second;
        this->transactionTickets.erase(found);
        auto* entry = this->find(ticket);
        if (entry == nullptr || !transaction.interruptedRequest)
            continue;
        if (entry->use) {
            this->running.erase(entry->use->connection);
            entry->use.reset();
        }
        if (transaction.outcome == OutcomeState::Unknown)
            this->startResolving(ticket, now);
        else
            this->complete(ticket, didNotRun(transaction.code, "the transaction was aborted"));
    }
}

void DatabaseController::applyTransactionActions(Time now)
{
    for (const auto& action : this->transactions.takeActions()) {
        switch (action.kind) {
        case TransactionAction::Kind::Release:
            this->pool.unpin(action.pin, ReleaseState::Clean, now);
            break;
        case TransactionAction::Kind::RollBack:
            this->pool.unpin(action.pin, ReleaseState::Dirty, now);
            break;
        case TransactionAction::Kind::Close:
            this->pool.abandon(action.pin, now);
            break;
        }
    }
}

} // namespace endivetrestle
