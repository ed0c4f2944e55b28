#include "process/group_scheduler.h"

#include "base/log.h"
#include "request/wait_policy.h"

#include <utility>

namespace endivetrestle {

GroupScheduler::GroupScheduler(
    DatabaseId group, DataCentre localDataCentre, TimerService& timers, SchedulerHooks hooks, Time startedAt)
    : group(std::move(group))
    , localDataCentre(std::move(localDataCentre))
    , timers(timers)
    , hooks(std::move(hooks))
    , startedAt(startedAt)
{
}

GroupScheduler::~GroupScheduler()
{
    *this->alive = false;
    if (this->drainTimer != 0)
        this->timers.cancel(this->drainTimer);
}

EndpointConnection* GroupScheduler::findConnection(ConnectionId id)
{
    const auto owner = this->endpointByConnection.find(id);
    if (owner == this->endpointByConnection.end())
        return nullptr;
    auto* endpoint = this->findEndpoint(owner->second);
    return endpoint == nullptr ? nullptr : &endpoint->connections.at(id);
}

EndpointState* GroupScheduler::findEndpoint(const EndpointId& id)
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

const EndpointState* GroupScheduler::findEndpoint(const EndpointId& id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

void GroupScheduler::setEndpoints(const std::vector<EndpointRecord>& records, Time now)
{
    std::map<EndpointId, const EndpointRecord*> listed;
    for (const auto& record : records)
        listed[record.id] = &record;
    for (auto entry = this->endpoints.begin(); entry != this->endpoints.end();) {
        const auto found = listed.find(entry->first);
        // An endpoint that restarted under the same id has lost its sessions, so connections to it are broken.
        const bool same = found != listed.end() && found->second->processStartMs == entry->second.record.processStartMs
            && found->second->address == entry->second.record.address;
        if (same) {
            ++entry;
            continue;
        }
        while (!entry->second.connections.empty()) {
            auto& connection = entry->second.connections.begin()->second;
            const auto id = connection.id;
            this->hooks.close(id);
            this->failExecution(connection, false, "endpoint was removed or restarted");
            this->eraseConnection(id);
        }
        entry = this->endpoints.erase(entry);
    }
    for (const auto& [id, record] : listed) {
        const auto [entry, added] = this->endpoints.try_emplace(id, *record);
        if (added)
            entry->second.lastAnswerAt = now;
        entry->second.record = *record;
        entry->second.limit.setSlots(record->slots);
    }
    this->dispatch(now);
}

void GroupScheduler::setConnectionShare(int share, bool keepWarm)
{
    this->connectionShare = std::max(1, share);
    this->keepWarm = keepWarm;
}

void GroupScheduler::setPrimary(const EndpointId& endpoint, std::uint64_t term, Time now)
{
    if (this->primaryId != endpoint || this->primaryTerm != term) {
        logEvent(LogLevel::Info, "primary_in_use",
            { { "group", this->group.value }, { "endpoint", endpoint.value }, { "term", term } });
    }
    this->primaryId = endpoint;
    this->primaryTerm = term;
    this->suspended = false;
    this->suspensionConfirmed = false;
    this->primaryReportedReadOnly = false;
    this->history.startTerm(term);
    this->releaseCommits(now);
    this->dispatch(now);
}

void GroupScheduler::suspendPrimary(Time now, std::function<void()> drained)
{
    if (!this->suspended)
        this->suspendedAt = now;
    this->suspended = true;
    // If a suspension is already draining, both callbacks run when the new one has drained.
    if (this->onDrained) {
        drained = [first = std::move(this->onDrained), second = std::move(drained)] {
            first();
            second();
        };
    }
    this->onDrained = std::move(drained);
    if (this->drainTimer != 0)
        this->timers.cancel(this->drainTimer);
    this->drainTimer = this->timers.subscribeAt(now + drainTimeout, [this](Time) {
        this->drainTimer = 0;
        this->checkDrained(true);
    });
    auto* endpoint = this->primaryId ? this->findEndpoint(*this->primaryId) : nullptr;
    if (endpoint != nullptr) {
        std::vector<ConnectionId> pinned;
        for (const auto& [id, connection] : endpoint->connections) {
            if (connection.phase == EndpointConnection::Phase::Pinned && connection.writableTransaction)
                pinned.push_back(id);
        }
        // Closing the connection rolls the transaction back. The session is told when it sends its next statement.
        for (const auto id : pinned) {
            this->hooks.close(id);
            this->eraseConnection(id);
        }
    }
    this->checkDrained(false);
}

void GroupScheduler::checkDrained(bool force)
{
    if (!this->onDrained)
        return;
    const auto* endpoint = this->primaryId ? std::as_const(*this).findEndpoint(*this->primaryId) : nullptr;
    if (!force && endpoint != nullptr) {
        for (const auto& [id, connection] : endpoint->connections) {
            const bool changes
                = connection.execution && (connection.execution->work.changesData() || connection.writableTransaction);
            if (connection.phase == EndpointConnection::Phase::Running && changes)
                return;
        }
    }
    if (this->drainTimer != 0)
        this->timers.cancel(this->drainTimer);
    this->drainTimer = 0;
    this->suspensionConfirmed = true;
    this->doubtHeldCommits();
    const auto callback = std::exchange(this->onDrained, nullptr);
    callback();
}

void GroupScheduler::submit(const ExecutionPtr& execution, Time now)
{
    const auto& work = execution->work;
    this->workspaceSeen = this->workspaceSeen || !work.workspace.empty();
    this->arrivals.add(now);
    if (this->needsPrimary(work))
        this->primaryArrivals.add(now);
    const bool mayWrite = work.changesData() || work.start == TransactionStart::Plain;
    if (mayWrite && this->recordingIsOverdue(now)) {
        this->refuse(execution, ReplyCode::Busy, notRecordedText, "holders_not_recorded");
        return;
    }
    if (this->queue.empty() && this->tryStart(execution, now) == StartResult::Started) {
        if (!execution->finished)
            this->armTimer(execution, work.expiresAt);
        return;
    }
    const auto admission = this->admissionOf(*execution, now);
    if (admission == AdmissionDecision::Refused) {
        this->logRefusal(*execution, now);
        this->refuse(execution, ReplyCode::Busy, "no endpoint can run the statement in time", "not_in_time");
        return;
    }
    execution->late = admission == AdmissionDecision::Late;
    this->armTimer(
        execution, execution->late ? work.expiresAt : std::min(work.expiresAt, now + waitLimit(work.objective)));
    this->enqueue(execution);
    this->dispatch(now);
}

void GroupScheduler::continueTransaction(ConnectionId id, const ExecutionPtr& execution, Time now)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr || connection->phase != EndpointConnection::Phase::Pinned) {
        this->refuse(execution, ReplyCode::Aborted, "the transaction was rolled back", "connection_lost");
        return;
    }
    if (connection->workspace != execution->work.workspace) {
        logEvent(LogLevel::Error, "wrong_workspace",
            { { "group", this->group.value }, { "endpoint", connection->endpoint.value }, { "connection", id },
                { "workspace", execution->work.workspace.value }, { "owner", connection->workspace.value } });
        this->refuse(execution, ReplyCode::Aborted, "the transaction belongs to another workspace", "wrong_workspace");
        return;
    }
    const bool usable
        = this->primaryUsable(now) && this->isPrimarySinceStart(connection->endpoint, connection->startedInTerm);
    if (connection->writableTransaction && !usable) {
        this->hooks.close(id);
        this->eraseConnection(id);
        this->refuse(execution, ReplyCode::Aborted, "the primary was replaced", "primary_replaced");
        return;
    }
    const bool commits = execution->work.statement.kind == StatementKind::Commit && connection->transactionWrote;
    if (commits && this->recordingIsOverdue(now)) {
        this->closeConnection(*connection);
        this->refuse(execution, ReplyCode::Aborted, notRecordedText, "holders_not_recorded");
        return;
    }
    this->armTimer(execution, execution->work.expiresAt);
    auto* endpoint = this->findEndpoint(connection->endpoint);
    this->start(*connection, Target { endpoint, usable, std::nullopt }, execution, now);
}

void GroupScheduler::endTransaction(ConnectionId id, Time now)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    if (connection->phase != EndpointConnection::Phase::Pinned) {
        this->closeConnection(*connection);
        return;
    }
    connection->phase = EndpointConnection::Phase::Ending;
    connection->pendingCommands = { { CommandKind::Rollback } };
    this->sendNext(*connection, now);
}

void GroupScheduler::abandon(const ExecutionPtr& execution, Time)
{
    // A running statement is not interrupted: the endpoint executes it anyway, and the connection stays usable.
    execution->finished = true;
    this->queue.remove(execution);
    if (execution->timer != 0 && !execution->firstSentAt) {
        this->timers.cancel(execution->timer);
        execution->timer = 0;
    }
}

void GroupScheduler::expire(const ExecutionPtr& execution, Time now)
{
    if (execution->finished)
        return;
    if (execution->timer != 0)
        this->timers.cancel(std::exchange(execution->timer, 0));
    execution->work.expiresAt = now;
    this->onTimer(execution, now);
}

void GroupScheduler::runControlCommand(
    const EndpointId& id, const EndpointCommand& command, Duration timeout, Time now, ControlCallback callback)
{
    auto* endpoint = this->findEndpoint(id);
    if (endpoint == nullptr) {
        callback(nullptr);
        return;
    }
    const auto task = std::make_shared<ControlTask>();
    task->command = command;
    task->callback = std::move(callback);
    task->timer = this->timers.subscribeAt(now + timeout, [task](Time) {
        if (std::exchange(task->finished, true))
            return;
        task->callback(nullptr);
    });
    endpoint->controls.push_back(task);
    for (auto& [connectionId, connection] : endpoint->connections) {
        if (connection.phase == EndpointConnection::Phase::Idle && this->startControlTask(*endpoint, connection, now))
            return;
    }
    // Control commands may exceed the connection share, so that promotions do not wait for statements.
    if (endpoint->opening == 0)
        this->openConnection(*endpoint, {}, now);
}

bool GroupScheduler::lacksAccessToPrimary(const ScheduledStatement& work, Time now) const
{
    if (!this->needsPrimary(work))
        return false;
    if (!this->hooks.leaseValid(now))
        return true;
    const auto* endpoint = this->primaryId ? this->findEndpoint(*this->primaryId) : nullptr;
    return endpoint != nullptr && endpoint->atConnectionLimit && !endpoint->hasOpenConnection();
}

PrimarySuspicion GroupScheduler::primarySuspicion() const
{
    constexpr int minOpenFailures = 2;
    const auto* endpoint = this->primaryId ? this->findEndpoint(*this->primaryId) : nullptr;
    if (endpoint == nullptr)
        return this->primaryId ? PrimarySuspicion::Refused : PrimarySuspicion::None;
    if (this->primaryReportedReadOnly)
        return PrimarySuspicion::NotPrimary;
    if (endpoint->openFailures >= minOpenFailures && endpoint->connections.empty())
        return PrimarySuspicion::Refused;
    return endpoint->silent ? PrimarySuspicion::Silent : PrimarySuspicion::None;
}

Time GroupScheduler::lastAnswerFrom(const EndpointId& id) const
{
    const auto* endpoint = this->findEndpoint(id);
    return endpoint == nullptr ? Time() : endpoint->lastAnswerAt;
}

SchedulerStatistics GroupScheduler::statistics() const
{
    auto statistics = this->counts;
    statistics.waiting = this->queue.size();
    statistics.heldCommits = this->heldCommits.size();
    for (const auto& [id, endpoint] : this->endpoints)
        statistics.connections += endpoint.connections.size();
    return statistics;
}

} // namespace endivetrestle
