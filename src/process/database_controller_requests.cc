#include "process/database_controller.h"
#include "request/execute_kind.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Time before the deadline that is reserved for resolving a write without an answer, if the deadline is far enough
// away.
constexpr Duration resolveReserve = std::chrono::milliseconds(300);
constexpr Duration shortestTimeout = std::chrono::milliseconds(1);

bool hasEffect(RequestKind kind) { return kind == RequestKind::Write || kind == RequestKind::Commit; }

bool isTransactional(RequestKind kind)
{
    return kind == RequestKind::Statement || kind == RequestKind::Commit || kind == RequestKind::Rollback;
}

} // namespace

// Request ids are unique per caller only; endpoints record them per database.
RequestId DatabaseController::scopedId(const Request& request) const
{
    return RequestId(request.caller.value + "/" + request.id.value);
}

DatabaseController::Actions DatabaseController::submit(
    std::uint64_t ticket, const Request& request, const std::optional<TransactionIdParts>& parts, Time now)
{
    auto& entry = this->pendingRequests[ticket];
    entry.request = request;
    entry.arrival = now;
    entry.transaction = parts;
    this->deadlines.emplace(request.deadline, ticket);
    this->retryBudget.onRequest(request.caller, request.database, now);
    if (request.kind == RequestKind::Resolve)
        this->startResolving(ticket, now);
    else if (isTransactional(request.kind))
        this->submitTransaction(ticket, now);
    else if (this->rank < 0)
        this->complete(ticket, didNotRun(ErrorCode::NotOwner, "this daemon does not own the database"));
    else if (request.kind == RequestKind::Begin && !this->transactions.mayBegin(request.caller))
        this->complete(ticket, didNotRun(ErrorCode::QueueFull, "too many open transactions"));
    else if (request.kind == RequestKind::Read)
        this->routeRead(ticket, now);
    else
        this->enqueue(ticket, now);
    return this->advanceAndTakeActions(now);
}

void DatabaseController::enqueue(Ticket ticket, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    entry.stage = Stage::Queued;
    QueueEntry queued;
    queued.id = ticket;
    queued.caller = entry.request.caller;
    queued.priority = entry.request.priority;
    queued.deadline = entry.request.deadline;
    if (entry.request.kind == RequestKind::Read && !entry.atPrimary)
        queued.target = { QueueTargetKind::Endpoint, entry.endpoint };
    if (const auto refusal = this->queue.push(queued, now))
        this->complete(ticket, didNotRun(refusal->code, "refused by admission control", refusal->retryAfter));
}

void DatabaseController::handleRefusal(const QueueRefusal& refusal, Time now)
{
    auto code = refusal.code;
    const auto* entry = this->find(refusal.id);
    const bool read = entry != nullptr && entry->request.kind == RequestKind::Read;
    const bool toReplica = this->isolated && code == ErrorCode::NotOwner && read && !entry->atPrimary;
    if (toReplica || (read && code == ErrorCode::EndpointUnreachable)) {
        this->routeRead(refusal.id, now);
        return;
    }
    const bool primaryMissing = !this->failover.primary() || this->failover.state() != FailoverState::Watching;
    if (code == ErrorCode::DeadlineExceeded && primaryMissing)
        code = ErrorCode::NoPrimary;
    this->complete(refusal.id, didNotRun(code, "refused while queued", refusal.retryAfter));
}

void DatabaseController::handleRefusals(Time now)
{
    // Routing a read again can displace further entries.
    for (auto refusals = this->queue.takeRefusals(); !refusals.empty(); refusals = this->queue.takeRefusals()) {
        for (const auto& refusal : refusals)
            this->handleRefusal(refusal, now);
    }
}

void DatabaseController::dispatch(Time now)
{
    if (this->rank < 0 && this->transactions.openCount() == 0)
        return;
    for (const auto& endpoint : this->declaration.endpoints) {
        if (!this->pool.hasFreeSlot(endpoint.id))
            continue;
        this->dispatchTransactions(endpoint.id, now);
        this->dispatchEndpoint(endpoint.id, now);
    }
}

// Sends queued requests while the endpoint has free slots. The connection is checked out before the entry is popped, so
// that a popped entry is always sent.
void DatabaseController::dispatchEndpoint(const EndpointId& endpoint, Time now)
{
    const auto role = this->isPrimary(endpoint) ? EndpointRole::Primary : EndpointRole::Replica;
    if (this->isolated && role == EndpointRole::Primary)
        return;
    while (this->queue.hasFor(endpoint, role, now)) {
        const auto use = this->pool.checkOut(endpoint, now);
        if (!use)
            return;
        const auto popped = this->queue.popFor(endpoint, role, now);
        if (!popped) {
            this->pool.release(*use, ReleaseState::Clean, now);
            return;
        }
        auto& entry = this->pendingRequests.at(popped->entry.id);
        entry.endpoint = endpoint;
        this->send(popped->entry.id, *use, executeKindOf(entry.request.kind), now);
    }
}

void DatabaseController::send(Ticket ticket, const ConnectionUse& use, ExecuteKind kind, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    entry.stage = Stage::Running;
    entry.use = use;
    entry.sentAt = now;
    entry.callNumber = ++this->lastCallNumber;
    ++entry.attempts;
    this->running[use.connection] = ticket;
    ExecuteCall call;
    call.callNumber = entry.callNumber;
    call.requestId = this->scopedId(entry.request);
    call.kind = kind;
    call.statement = entry.request.statement;
    call.minPosition = entry.request.minPosition;
    if (kind == ExecuteKind::Read) {
        const auto& maxAge = entry.request.maxAge;
        const auto forAge = maxAge ? this->freshness.positionForAge(*maxAge, now) : std::nullopt;
        call.minPosition = requiredPosition(entry.request.minPosition, forAge);
    }
    const auto primary = this->failover.primary();
    if (primary && primary->endpoint == use.endpoint && kind != ExecuteKind::Statement && kind != ExecuteKind::Rollback)
        call.expectedTerm = primary->term;
    auto timeout = entry.request.deadline - now;
    if (hasEffect(entry.request.kind) && timeout > 2 * resolveReserve)
        timeout -= resolveReserve;
    this->actions.emplace_back(controller::Execute { use, std::move(call), std::max(timeout, shortestTimeout) });
}

DatabaseController::Actions DatabaseController::onExecuteAnswer(
    const ConnectionUse& use, Time sentAt, const ExecuteAnswer& answer, Time now)
{
    const auto found = this->running.find(use.connection);
    const bool current = this->pool.acceptAnswer(use, now) && found != this->running.end();
    const auto ticket = current ? found->second : Ticket {};
    if (current)
        this->running.erase(found);
    this->recordCallResult({ use.endpoint, sentAt, now });
    // An answer that arrives too late for its request still carries the endpoint's status.
    if (current)
        this->handleExecuteAnswer(ticket, use, answer, now);
    this->applyStatus(answer.status, sentAt, now);
    return this->advanceAndTakeActions(now);
}

void DatabaseController::handleExecuteAnswer(
    Ticket ticket, const ConnectionUse& use, const ExecuteAnswer& answer, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    entry.use.reset();
    if (entry.transaction) {
        this->pool.endStatement(use, now);
        this->onTransactionAnswer(ticket, answer, now);
        return;
    }
    if (entry.request.kind == RequestKind::Begin) {
        this->onBeginAnswer(ticket, use, answer, now);
        return;
    }
    this->pool.release(use, ReleaseState::Clean, now);
    if (entry.request.kind == RequestKind::Read)
        this->onReadAnswer(ticket, answer, now);
    else
        this->onWriteAnswer(ticket, answer, now);
}

DatabaseController::Actions DatabaseController::onExecuteFailed(
    const ConnectionUse& use, Time sentAt, ErrorCode code, bool sent, Time now)
{
    this->recordCallResult({ use.endpoint, sentAt, now, true });
    this->pool.abandon(use, now);
    this->onTransactionLost(use.connection, now);
    const auto found = this->running.find(use.connection);
    if (found == this->running.end())
        return this->advanceAndTakeActions(now);
    const auto ticket = found->second;
    this->running.erase(found);
    auto& entry = this->pendingRequests.at(ticket);
    if (entry.stage != Stage::Running)
        return this->advanceAndTakeActions(now);
    entry.use.reset();
    const auto kind = entry.request.kind;
    if (!sent) {
        if (!this->retry(ticket, SendEvidence::NotSent, now))
            this->complete(ticket, didNotRun(code, "the endpoint cannot be reached"));
    } else if (hasEffect(kind)) {
        this->startResolving(ticket, now);
    } else if (entry.transaction || kind == RequestKind::Begin) {
        this->complete(ticket, didNotRun(ErrorCode::TransactionAborted, "the connection to the endpoint was lost"));
    } else if (!this->retry(ticket, SendEvidence::Unknown, now)) {
        this->complete(ticket, didNotRun(code, "the endpoint did not answer"));
    }
    return this->advanceAndTakeActions(now);
}

// Sends a request again if its kind, the evidence of whether it ran and the retry budget allow it. Returns whether it
// was queued or routed again.
bool DatabaseController::retry(Ticket ticket, SendEvidence evidence, Time now)
{
    auto& entry = this->pendingRequests.at(ticket);
    if (entry.transaction)
        return false;
    RetryCandidate question;
    question.caller = entry.request.caller;
    question.database = entry.request.database;
    question.kind = entry.request.kind;
    // A read has no effect, so running it twice is not visible.
    question.repeatable = entry.request.repeatable || entry.request.kind == RequestKind::Read;
    question.evidence = evidence;
    question.attempts = entry.attempts;
    question.deadline = entry.request.deadline;
    if (!this->retryBudget.tryAcquireRetry(question, now).retry)
        return false;
    const bool refused = evidence == SendEvidence::ProvenNotRun;
    this->actions.emplace_back(
        controller::Retried { refused ? controller::RetryCause::Term : controller::RetryCause::Connection });
    if (entry.request.kind == RequestKind::Read)
        this->routeRead(ticket, now);
    else
        this->enqueue(ticket, now);
    return true;
}

// Stops waiting for a running statement and closes its connection.
void DatabaseController::abandon(PendingRequest& entry, Time now)
{
    if (!entry.use)
        return;
    const auto use = *entry.use;
    entry.use.reset();
    this->running.erase(use.connection);
    this->pool.abandon(use, now);
    this->onTransactionLost(use.connection, now);
}

void DatabaseController::complete(Ticket ticket, Outcome outcome)
{
    auto* entry = this->find(ticket);
    if (entry == nullptr || entry->stage == Stage::Completed)
        return;
    this->deadlines.erase({ entry->request.deadline, ticket });
    this->awaitingReplica.erase(ticket);
    this->awaitingConfirmation.erase(ticket);
    this->resolving.erase(ticket);
    entry->stage = Stage::Completed;
    entry->outcome = std::move(outcome);
    this->actions.emplace_back(controller::Complete { ticket });
}

std::optional<Outcome> DatabaseController::takeOutcome(std::uint64_t ticket, Time now, Actions& furtherActions)
{
    auto* entry = this->find(ticket);
    if (entry == nullptr || entry->stage != Stage::Completed)
        return std::nullopt;
    if (entry->evidence) {
        const auto newest = this->writeTracker.evidence();
        const bool confirmed = this->writeTracker.canAcknowledge(*entry->evidence, now)
            || (newest && newest->term == entry->evidence->term && this->writeTracker.canAcknowledge(*newest, now));
        if (!confirmed) {
            entry->evidence.reset();
            entry->ran.reset();
            this->deadlines.emplace(entry->request.deadline, ticket);
            this->startResolving(ticket, now);
            furtherActions = this->advanceAndTakeActions(now);
            return std::nullopt;
        }
    }
    auto outcome = std::move(entry->outcome);
    this->pendingRequests.erase(ticket);
    return outcome;
}

void DatabaseController::expireRequests(Time now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto ticket = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        this->expireRequest(ticket, now);
    }
}

void DatabaseController::expireRequest(Ticket ticket, Time now)
{
    auto* entry = this->find(ticket);
    if (entry == nullptr || entry->stage == Stage::Completed)
        return;
    const bool mayHaveRun = hasEffect(entry->request.kind) || entry->request.kind == RequestKind::Resolve;
    switch (entry->stage) {
    case Stage::Queued:
        this->queue.cancel(ticket);
        this->complete(ticket, didNotRun(ErrorCode::DeadlineExceeded, "the deadline passed while queued"));
        return;
    case Stage::AwaitingSlot:
        if (entry->request.kind == RequestKind::Commit)
            this->transactions.commitNotSent(entry->transaction->number, now);
        else
            this->transactions.statementNotSent(entry->transaction->number, now);
        this->complete(ticket, didNotRun(ErrorCode::DeadlineExceeded, "the deadline passed before the statement ran"));
        return;
    case Stage::AwaitingMajority:
        this->writeTracker.forget(ticket);
        this->complete(ticket,
            unknownOutcome(ErrorCode::NotHeldByMajority, "the write is not yet confirmed by a majority of endpoints"));
        return;
    case Stage::Running:
        this->abandon(*entry, now);
        break;
    default:
        break;
    }
    if (mayHaveRun)
        this->complete(ticket,
            unknownOutcome(ErrorCode::DeadlineExceeded, "the deadline passed; query the outcome by request id"));
    else
        this->complete(ticket, didNotRun(ErrorCode::DeadlineExceeded, "the deadline passed"));
}

} // namespace endivetrestle
