// How statements and connections end: release, loss, refusal of a connection, time-outs.
#include "process/group_scheduler.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

void GroupScheduler::release(EndpointConnection& connection, Time now)
{
    connection.phase = EndpointConnection::Phase::Idle;
    connection.inTransaction = false;
    connection.plainTransaction = false;
    connection.transactionWrote = false;
    connection.idleSince = now;
    auto& endpoint = this->endpoints.at(connection.endpoint);
    if (!this->startControl(endpoint, connection, now))
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
    const auto owner = this->connectionOwners.find(id);
    if (owner == this->connectionOwners.end())
        return;
    auto& endpoint = this->endpoints.at(owner->second);
    if (endpoint.connections.at(id).phase == EndpointConnection::Phase::Opening)
        --endpoint.opening;
    endpoint.connections.erase(id);
    this->connectionOwners.erase(owner);
}

void GroupScheduler::onFull(ConnectionId id, Time now)
{
    constexpr Duration overflowPause = std::chrono::seconds(1);
    // A refused connection has occupied a slot of the endpoint for a while, which other statements need.
    constexpr Duration fullPause = std::chrono::milliseconds(500);
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& endpoint = this->endpoints.at(connection->endpoint);
    endpoint.overflowNotBefore = now + overflowPause;
    this->onClosed(id, now);
    endpoint.openNotBefore = std::max(endpoint.openNotBefore, now + fullPause);
    // An endpoint that says it is full is alive.
    endpoint.openFailures = 0;
    endpoint.lastAnswerAt = now;
    endpoint.silent = false;
}

void GroupScheduler::onClosed(ConnectionId id, Time now)
{
    constexpr Duration firstOpenPause = std::chrono::milliseconds(100);
    constexpr int maxOpenPauseFactor = 3;
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& endpoint = this->endpoints.at(connection->endpoint);
    if (connection->phase == EndpointConnection::Phase::Opening) {
        ++endpoint.openFailures;
        endpoint.openNotBefore = now + firstOpenPause * std::min(endpoint.openFailures, maxOpenPauseFactor);
    }
    this->failExecution(*connection, false, "connection lost");
    this->eraseConnection(id);
    this->checkDrained(false);
    this->dispatch(now);
}

// Ends the statement of a connection that is lost or given up. The caller removes the connection.
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
    const bool statementSent = connection.steps.size() <= 1;
    const bool commit = work.statement.kind == StatementKind::Commit;
    const bool wrote = work.changesData() || connection.transactionWrote;
    if (connection.inTransaction && !(commit && statementSent && wrote)) {
        // Without a commit, losing the connection rolls the transaction back.
        this->refuse(execution, ReplyCode::Aborted, reason + "; the transaction is rolled back", "connection_lost");
        return;
    }
    if (statementSent && (wrote || commit)) {
        this->refuse(execution, ReplyCode::InDoubt, reason + " before the answer", "answer_lost");
        return;
    }
    if (timedOut) {
        const auto code = statementSent ? ReplyCode::Timeout : ReplyCode::Busy;
        this->refuse(execution, code, "no answer within the time of the route", "statement_timeout");
        return;
    }
    if (execution->attempts >= maxAttempts) {
        this->refuse(execution, ReplyCode::Aborted, reason + "; the read has no effect", "attempts_spent");
        return;
    }
    this->queue.push(execution);
}

// Ends a statement whose time is over: the time for which it may wait in the queue, or the time of its route.
void GroupScheduler::onTimer(const ExecutionPtr& execution, Time now)
{
    std::vector<ConnectionId> holders;
    for (auto& [id, endpoint] : this->endpoints) {
        for (auto& [connectionId, connection] : endpoint.connections) {
            if (connection.execution == execution)
                holders.push_back(connectionId);
        }
    }
    if (now < execution->work.expiresAt && (!holders.empty() || this->waitOn(execution, now))) {
        this->armTimer(execution, execution->work.expiresAt);
        return;
    }
    this->queue.remove(execution);
    if (holders.empty()) {
        if (execution->late)
            this->lateNotBefore = now + latePause;
        this->refuse(execution, ReplyCode::Busy, "no endpoint was free in time", "queue_timeout");
        return;
    }
    for (const auto id : holders) {
        auto* connection = this->findConnection(id);
        if (connection == nullptr)
            continue;
        this->failExecution(*connection, true, "no answer in time");
        this->closeConnection(*connection);
    }
    this->checkDrained(false);
    this->dispatch(now);
}

// Whether a statement that could not start in time waits on: for a missing primary, or behind all that can be in time.
bool GroupScheduler::waitOn(const ExecutionPtr& execution, Time now)
{
    if (this->requirementOf(execution->work).needsPrimary && !this->primaryUsable(now))
        return true;
    if (execution->late || this->admissionOf(*execution, now) == Admission::Refused)
        return false;
    this->queue.remove(execution);
    execution->late = true;
    this->queue.push(execution);
    return true;
}

void GroupScheduler::armTimer(const ExecutionPtr& execution, Time at)
{
    execution->timer = this->timers.subscribeAt(at, [this, execution](Time now) {
        execution->timer = 0;
        this->onTimer(execution, now);
    });
}

} // namespace endivetrestle
