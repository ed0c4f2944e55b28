// GroupScheduler: release, loss and refusal of connections, and timeouts of statements.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

// Decides what becomes of a connection whose command was answered and that holds no transaction for a client: it serves
// others only if it is known that no transaction is open on it, and which session state it holds.
void GroupScheduler::settle(EndpointConnection& connection, SessionPhase phase, Time now)
{
    const bool stateKnown = phase == SessionPhase::Idle && connection.sessionState.isKnown();
    if (stateKnown && !connection.answers.isFull()) {
        this->release(connection, now);
        return;
    }
    if (!connection.sessionState.isKnown()) {
        ++this->counts.unknownStates;
        logEvent(LogLevel::Info, "connection_state_unknown",
            { { "group", this->group.value }, { "endpoint", connection.endpoint.value },
                { "connection", connection.id } });
    }
    this->closeConnection(connection);
    this->dispatch(now);
}

void GroupScheduler::release(EndpointConnection& connection, Time now)
{
    if (connection.inTransaction)
        this->ranking.onTransaction(now - connection.transactionSince);
    connection.phase = EndpointConnection::Phase::Idle;
    connection.inTransaction = false;
    connection.writableTransaction = false;
    connection.transactionWrote = false;
    connection.idleSince = now;
    auto& endpoint = this->endpoints.at(connection.endpoint);
    if (!this->startControlTask(endpoint, connection, now))
        this->dispatch(now);
}

void GroupScheduler::closeConnection(EndpointConnection& connection)
{
    const auto id = connection.id;
    this->hooks.close(id);
    this->eraseConnection(id);
}

void GroupScheduler::eraseConnection(ConnectionId id)
{
    const auto owner = this->endpointByConnection.find(id);
    if (owner == this->endpointByConnection.end())
        return;
    auto& endpoint = this->endpoints.at(owner->second);
    if (endpoint.connections.at(id).phase == EndpointConnection::Phase::Opening)
        --endpoint.opening;
    endpoint.connections.erase(id);
    this->endpointByConnection.erase(owner);
}

void GroupScheduler::onConnectionLimit(ConnectionId id, Time now)
{
    constexpr Duration overflowBackoff = std::chrono::seconds(1);
    // Even a refused attempt to connect occupies a slot of the endpoint for a while, which statements need.
    constexpr Duration connectionLimitBackoff = std::chrono::milliseconds(500);
    constexpr Duration evictedConnectionBackoff = std::chrono::milliseconds(50);
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& endpoint = this->endpoints.at(connection->endpoint);
    const bool replacesEvicted = connection->replacesEvicted;
    endpoint.overflowNotBefore = now + overflowBackoff;
    this->onClosed(id, now);
    // The endpoint may have seen the attempt before the end of the connection that was closed to make room.
    if (replacesEvicted)
        endpoint.openNotBefore = now + evictedConnectionBackoff;
    else
        endpoint.openNotBefore = std::max(endpoint.openNotBefore, now + connectionLimitBackoff);
    endpoint.atConnectionLimit = true;
    // An endpoint that reports its connection limit is alive.
    endpoint.openFailures = 0;
    endpoint.lastAnswerAt = now;
    endpoint.silent = false;
}

void GroupScheduler::onClosed(ConnectionId id, Time now)
{
    constexpr Duration initialOpenBackoff = std::chrono::milliseconds(100);
    constexpr int maxOpenBackoffFactor = 3;
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& endpoint = this->endpoints.at(connection->endpoint);
    if (connection->phase == EndpointConnection::Phase::Opening) {
        ++endpoint.openFailures;
        endpoint.openNotBefore = now + initialOpenBackoff * std::min(endpoint.openFailures, maxOpenBackoffFactor);
    }
    this->failExecution(*connection, false, "connection lost");
    this->eraseConnection(id);
    this->checkDrained(false);
    this->dispatch(now);
}

// Fails or requeues the statement of a connection that was lost or that timed out. The caller removes the connection.
void GroupScheduler::failExecution(EndpointConnection& connection, bool timedOut, const std::string& reason)
{
    if (connection.control) {
        --this->endpoints.at(connection.endpoint).running;
        const auto task = std::exchange(connection.control, nullptr);
        if (!std::exchange(task->finished, true)) {
            this->timers.cancel(task->timer);
            task->callback(nullptr);
        }
        return;
    }
    const auto execution = std::exchange(connection.execution, nullptr);
    if (!execution)
        return;
    --this->endpoints.at(connection.endpoint).running;
    if (execution->finished)
        return;
    const auto& work = execution->work;
    const bool statementSent = connection.pendingCommands.size() <= 1;
    const bool isCommit = work.statement.kind == StatementKind::Commit;
    const bool wrote = work.changesData() || connection.transactionWrote;
    if (connection.inTransaction && !(isCommit && statementSent && wrote)) {
        // The endpoint rolls the transaction back when it loses the connection, unless a commit was sent.
        this->refuse(execution, ReplyCode::Aborted, reason + "; the transaction is rolled back", "connection_lost");
        return;
    }
    if (statementSent && (wrote || isCommit)) {
        this->refuse(execution, ReplyCode::InDoubt, reason + " before the answer", "answer_lost");
        return;
    }
    if (timedOut) {
        const auto code = statementSent ? ReplyCode::Timeout : ReplyCode::Busy;
        this->refuse(execution, code, "no answer within the timeout of the route", "statement_timeout");
        return;
    }
    if (execution->attempts >= maxAttempts) {
        this->refuse(execution, ReplyCode::Aborted, reason + "; the read had no effect", "attempts_spent");
        return;
    }
    this->enqueue(execution);
}

// Called when a statement has reached its longest wait in the queue or the timeout of its route.
void GroupScheduler::onTimer(const ExecutionPtr& execution, Time now)
{
    if (this->onHeldTimer(execution, now))
        return;
    std::vector<ConnectionId> runningOn;
    for (auto& [id, endpoint] : this->endpoints) {
        for (auto& [connectionId, connection] : endpoint.connections) {
            if (connection.execution == execution)
                runningOn.push_back(connectionId);
        }
    }
    if (now < execution->work.expiresAt && (!runningOn.empty() || this->keepWaiting(execution, now))) {
        this->armTimer(execution, execution->work.expiresAt);
        return;
    }
    this->queue.remove(execution);
    if (runningOn.empty()) {
        if (execution->late)
            this->pauseLateAdmission(execution->work.workspace, now);
        this->refuse(execution, ReplyCode::Busy, "no endpoint became available in time", "queue_timeout");
        return;
    }
    for (const auto id : runningOn) {
        auto* connection = this->findConnection(id);
        if (connection == nullptr)
            continue;
        this->failExecution(*connection, true, "the statement timed out");
        // The result may have made the session close the connection.
        if (auto* left = this->findConnection(id))
            this->closeConnection(*left);
    }
    this->checkDrained(false);
    this->dispatch(now);
}

// Decides whether a statement that has reached its longest wait stays in the queue: because the primary is unavailable,
// or as a late statement behind all that can still meet their objective. Moves it in the queue if necessary.
bool GroupScheduler::keepWaiting(const ExecutionPtr& execution, Time now)
{
    if (this->requirementOf(execution->work).needsPrimary && !this->primaryUsable(now))
        return true;
    if (execution->late || this->admissionOf(*execution, now) == AdmissionDecision::Refused)
        return false;
    this->queue.remove(execution);
    execution->late = true;
    this->enqueue(execution);
    return true;
}

void GroupScheduler::enqueue(const ExecutionPtr& execution)
{
    execution->rank = this->ranking.rankOf(execution->work);
    this->queue.push(execution);
}

void GroupScheduler::armTimer(const ExecutionPtr& execution, Time at)
{
    execution->timer = this->timers.subscribeAt(at, [this, execution](Time now) {
        execution->timer = 0;
        this->onTimer(execution, now);
    });
}

} // namespace endivetrestle
