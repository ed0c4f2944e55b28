// GroupScheduler: sending statements over a connection and handling the answers.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <iterator>
#include <utility>

namespace endivetrestle {

namespace {

// Delay before a statement that an endpoint refused as busy is sent again.
constexpr Duration busyRetryDelay = std::chrono::milliseconds(8);
// Delay before a statement is sent again after the primary refused it as read-only. The new primary has to become known
// first.
constexpr Duration readOnlyRetryDelay = std::chrono::milliseconds(50);

// An error reported by the proxy itself instead of an endpoint.
EndpointAnswer proxyError(ReplyCode code, const std::string& text, SessionPhase phase)
{
    EndpointAnswer answer;
    answer.code = code;
    answer.errorText = text;
    answer.phase = phase;
    return answer;
}

// Answer to a statement that was not sent because a command before it failed. A failure of the endpoint says nothing
// about the statement, which did not run and may be sent again; that a command is not valid may be its client's doing.
EndpointAnswer answerToUnsent(const EndpointAnswer& commandAnswer)
{
    if (commandAnswer.code != ReplyCode::Failed && commandAnswer.code != ReplyCode::Timeout)
        return commandAnswer;
    return proxyError(ReplyCode::Busy, "the endpoint failed before the statement was sent", SessionPhase::Idle);
}

} // namespace

void GroupScheduler::finish(const ExecutionPtr& execution, const StatementResult& result)
{
    if (std::exchange(execution->finished, true))
        return;
    if (execution->timer != 0) {
        this->timers.cancel(execution->timer);
        execution->timer = 0;
    }
    const auto callback = std::move(execution->callback);
    callback(result);
}

void GroupScheduler::refuse(
    const ExecutionPtr& execution, ReplyCode code, const std::string& text, const std::string& reason)
{
    StatementResult result;
    result.answer = proxyError(code, text, SessionPhase::Idle);
    result.reason = reason;
    result.endpoint = execution->lastEndpoint;
    this->finish(execution, result);
}

void GroupScheduler::start(
    EndpointConnection& connection, const Target& target, const ExecutionPtr& execution, Time now)
{
    const auto& work = execution->work;
    connection.phase = EndpointConnection::Phase::Running;
    connection.execution = execution;
    connection.served = true;
    if (!connection.inTransaction)
        connection.startedInTerm = this->primaryTerm;
    ++target.endpoint->running;
    target.endpoint->updateBusyPeak();
    if (this->sharesConnections())
        this->chargeStart(connection, *execution, target.endpoint->latency, now);
    ++execution->attempts;
    execution->lastEndpoint = connection.endpoint.value;
    if (!execution->firstSentAt)
        execution->firstSentAt = now;
    connection.pendingCommands.clear();
    for (auto& command : connection.sessionState.commandsFor(*work.session, work.prepared))
        connection.pendingCommands.push_back(std::move(command));
    EndpointCommand forward;
    forward.id = work.statement.id;
    forward.text = work.statement.text;
    if (work.prepared) {
        forward.kind = CommandKind::Execute;
        forward.text = work.prepared->sharedName();
        forward.argument = work.statement.argument;
    }
    if (work.start != TransactionStart::None) {
        EndpointCommand begin;
        begin.kind = work.start == TransactionStart::Plain ? CommandKind::Begin : CommandKind::BeginRead;
        begin.minimum = target.minimumPosition;
        connection.pendingCommands.push_back(begin);
    } else if (!connection.inTransaction)
        forward.minimum = target.minimumPosition;
    connection.pendingCommands.push_back(forward);
    if (work.changesData() && connection.inTransaction)
        connection.transactionWrote = true;
    if (!work.needsPrimary)
        ++(target.asPrimary ? this->counts.primaryReads : this->counts.replicaReads);
    this->sendNext(connection, now);
}

// Whether the session values must be proven before the statement that relies on them is sent. The answer to a status
// command proves those before it, unless its row repeats an earlier one, but it costs the endpoint a slot. At an
// endpoint that has not repeated an answer lately, the statement's own answer is proof enough.
bool GroupScheduler::needsProof(const EndpointConnection& connection, Time now) const
{
    return connection.execution && connection.pendingCommands.size() == 1 && connection.valuesUnproven
        && !connection.inTransaction && now < this->repeatsUntil;
}

void GroupScheduler::sendNext(EndpointConnection& connection, Time now)
{
    if (this->needsProof(connection, now)) {
        ++this->counts.answerProofs;
        connection.pendingCommands.push_front({ CommandKind::Status });
    }
    connection.sentAt = now;
    connection.sessionState.onSent(connection.pendingCommands.front());
    this->hooks.send(connection.id, connection.pendingCommands.front());
}

void GroupScheduler::onOpened(ConnectionId id, const std::optional<Position>& position, Time now)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& endpoint = this->endpoints.at(connection->endpoint);
    --endpoint.opening;
    endpoint.openFailures = 0;
    endpoint.openNotBefore = Time();
    endpoint.atConnectionLimit = false;
    this->recordPosition(endpoint, *connection, position, now);
    endpoint.lastAnswerAt = now;
    endpoint.silent = false;
    connection->phase = EndpointConnection::Phase::Idle;
    connection->idleSince = now;
    // The attempt occupied a slot of the endpoint.
    if (this->sharesConnections())
        this->queue.fairness().charge(connection->workspace, now - connection->sentAt);
    if (!this->startControlTask(endpoint, *connection, now))
        this->dispatch(now);
}

bool GroupScheduler::startControlTask(EndpointState& endpoint, EndpointConnection& connection, Time now)
{
    while (!endpoint.controls.empty()) {
        const auto task = endpoint.controls.front();
        endpoint.controls.pop_front();
        if (task->finished)
            continue;
        connection.phase = EndpointConnection::Phase::Running;
        connection.control = task;
        connection.pendingCommands = { task->command };
        ++endpoint.running;
        this->sendNext(connection, now);
        return true;
    }
    return false;
}

void GroupScheduler::recordPosition(
    EndpointState& endpoint, const EndpointConnection& connection, const std::optional<Position>& position, Time now)
{
    if (!position)
        return;
    if (!endpoint.position || *position > *endpoint.position)
        endpoint.position = *position;
    // A position covers all acknowledged commits only if it comes from the primary while this daemon may use it.
    if (this->primaryUsable(now) && connection.endpoint == *this->primaryId && position->term >= this->primaryTerm)
        this->history.add(connection.sentAt, *position);
}

void GroupScheduler::onCommandAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now)
{
    const auto command = connection.pendingCommands.front();
    const auto execution = connection.execution;
    if (answer.succeeded) {
        connection.pendingCommands.pop_front();
        if (command.kind == CommandKind::Begin || command.kind == CommandKind::BeginRead) {
            connection.inTransaction = true;
            connection.transactionSince = now;
            connection.writableTransaction = command.kind == CommandKind::Begin;
            connection.transactionWrote = execution->work.changesData();
        }
        // If the client left while the transaction was being opened, the statement is not sent.
        if (execution->finished && connection.inTransaction) {
            connection.execution.reset();
            --this->endpoints.at(connection.endpoint).running;
            connection.phase = EndpointConnection::Phase::Pinned;
            this->endTransaction(connection.id, now);
            return;
        }
        this->sendNext(connection, now);
        return;
    }
    const bool wasInTransaction = connection.inTransaction;
    connection.execution.reset();
    --this->endpoints.at(connection.endpoint).running;
    connection.pendingCommands.clear();
    if (wasInTransaction)
        this->closeConnection(connection);
    else
        this->settle(connection, answer.phase, now);
    if (wasInTransaction)
        this->refuse(execution, ReplyCode::Aborted, "the transaction was rolled back", "preparation_failed");
    else
        this->requeueOrFail(execution, answerToUnsent(answer), now);
}

bool GroupScheduler::prepareAgain(EndpointConnection& connection, Time now)
{
    const auto& work = connection.execution->work;
    if (!work.prepared || connection.execution->attempts >= maxAttempts)
        return false;
    ++connection.execution->attempts;
    connection.sessionState.forgetPrepared(work.prepared->sharedName());
    auto commands = connection.sessionState.commandsFor(*work.session, work.prepared);
    connection.pendingCommands.insert(connection.pendingCommands.begin(), std::make_move_iterator(commands.begin()),
        std::make_move_iterator(commands.end()));
    this->sendNext(connection, now);
    return true;
}

// Whether the endpoint has been the primary since the statement or its transaction was started. An endpoint that was
// replaced and leads again has dropped what it accepted in its earlier term.
bool GroupScheduler::isPrimarySinceStart(const EndpointId& endpoint, std::uint64_t term) const
{
    return this->primaryId && endpoint == *this->primaryId && term == this->primaryTerm;
}

bool GroupScheduler::mayAcknowledge(const EndpointId& endpoint, std::uint64_t term, Time now) const
{
    return this->isPrimarySinceStart(endpoint, term) && !this->suspensionConfirmed && this->hooks.leaseValid(now);
}

void GroupScheduler::onStatementAnswer(EndpointConnection& connection, const ProvenAnswer& proven, Time now)
{
    const EndpointAnswer& answer = *proven;
    const auto execution = connection.execution;
    const auto& work = execution->work;
    auto& endpoint = this->endpoints.at(connection.endpoint);
    const bool isCommit = work.statement.kind == StatementKind::Commit;
    if (answer.code == ReplyCode::NoStatement && !answer.succeeded && this->prepareAgain(connection, now))
        return;
    if (answer.succeeded && !isCommit && (answer.phase != SessionPhase::Idle) != connection.inTransaction) {
        this->onWrongTransaction(connection, now);
        return;
    }
    const auto minimum = connection.pendingCommands.front().minimum;
    const bool inTransaction = connection.inTransaction;
    const bool plain = connection.writableTransaction;
    const bool mustBePrimary = work.changesData() || (isCommit && plain && connection.transactionWrote);
    const auto term = connection.startedInTerm;
    const bool successInDoubt
        = answer.succeeded && mustBePrimary && !this->mayAcknowledge(connection.endpoint, term, now);
    const bool committed = answer.succeeded && mustBePrimary && (isCommit || !inTransaction);
    // A read at the primary that was answered after the lease expired may miss commits of a newer primary.
    const bool readOutlivedLease = !mustBePrimary && work.needsPrimary && !this->hooks.leaseValid(now);
    if (!answer.succeeded)
        this->noteRefusal(connection, answer, now);
    connection.pendingCommands.clear();
    connection.execution.reset();
    --endpoint.running;
    this->chargeEnd(connection, *execution, now);
    if (answer.succeeded) {
        endpoint.addLatency(now - connection.sentAt);
        if (!inTransaction)
            endpoint.limit.onAnswer(now - connection.sentAt, endpoint.running + 1, now);
        if (minimum)
            endpoint.onCaughtUp(this->positionAge(*minimum, connection.sentAt));
    }

    StatementResult result;
    result.answer = answer;
    result.endpoint = connection.endpoint.value;
    result.fromEndpoint = true;
    const auto connectionId = connection.id;
    if (answer.phase == SessionPhase::Idle) {
        this->settle(connection, answer.phase, now);
    } else if (!inTransaction || (this->suspended && plain) || successInDoubt) {
        this->closeConnection(connection);
        if (inTransaction)
            result.answer = proxyError(ReplyCode::Aborted, "the primary is being replaced", SessionPhase::Idle);
    } else {
        connection.phase = EndpointConnection::Phase::Pinned;
        connection.idleSince = now;
        result.connection = connectionId;
        // Roll back if the client left while the statement was running.
        if (execution->finished)
            this->endTransaction(connectionId, now);
    }
    if (execution->finished) {
        this->checkDrained(false);
        this->dispatch(now);
        return;
    }
    if (successInDoubt) {
        result.answer = proxyError(
            ReplyCode::InDoubt, "the primary was replaced or the lease expired before the answer", SessionPhase::Idle);
        result.reason = "primary_replaced";
    } else if (answer.succeeded && readOutlivedLease && !inTransaction) {
        this->refuse(execution, ReplyCode::Busy, "the lease expired before the answer", "lease_expired");
        this->dispatch(now);
        return;
    }
    if (!answer.succeeded && provesNotRun(answer.code) && !inTransaction)
        this->requeueOrFail(execution, answer, now);
    else if (committed && !successInDoubt && this->mustHold())
        this->holdCommit(execution, std::move(result), term, now);
    else
        this->finish(execution, result);
    this->checkDrained(false);
    this->dispatch(now);
}

// The statement ran outside its transaction or inside another one, so what it did is not what its client asked for.
void GroupScheduler::onWrongTransaction(EndpointConnection& connection, Time now)
{
    logEvent(LogLevel::Warning, "wrong_transaction",
        { { "group", this->group.value }, { "endpoint", connection.endpoint.value }, { "connection", connection.id },
            { "request", connection.execution->work.statement.id } });
    const auto execution = std::exchange(connection.execution, nullptr);
    const bool inTransaction = connection.inTransaction;
    const bool mayHaveWritten = execution->work.changesData() || connection.transactionWrote;
    --this->endpoints.at(connection.endpoint).running;
    this->closeConnection(connection);
    if (mayHaveWritten)
        this->refuse(execution, ReplyCode::InDoubt, "the statement ran in another transaction", "wrong_transaction");
    else if (inTransaction)
        this->refuse(execution, ReplyCode::Aborted, "the transaction was not open", "wrong_transaction");
    else
        this->requeueOrFail(execution, proxyError(ReplyCode::Busy, "", SessionPhase::Idle), now);
    this->checkDrained(false);
    this->dispatch(now);
}

// Learns from an error with which the endpoint answered the outstanding statement.
void GroupScheduler::noteRefusal(const EndpointConnection& connection, const EndpointAnswer& answer, Time now)
{
    auto& endpoint = this->endpoints.at(connection.endpoint);
    const auto& minimum = connection.pendingCommands.front().minimum;
    if (answer.code == ReplyCode::Busy) {
        ++this->counts.busyAnswers;
        endpoint.limit.onBusy(now);
    } else if (answer.code == ReplyCode::Lagging && minimum) {
        ++this->counts.laggingAnswers;
        endpoint.onLagging(this->positionAge(*minimum, now), now);
    } else if (answer.code == ReplyCode::ReadOnly && this->primaryId == connection.endpoint)
        this->primaryReportedReadOnly = true;
}

void GroupScheduler::requeueOrFail(const ExecutionPtr& execution, const EndpointAnswer& answer, Time now)
{
    if (execution->finished)
        return;
    if (execution->attempts >= maxAttempts || !provesNotRun(answer.code)) {
        StatementResult result;
        result.answer = answer;
        result.answer.phase = SessionPhase::Idle;
        result.endpoint = execution->lastEndpoint;
        result.fromEndpoint = true;
        this->finish(execution, result);
        return;
    }
    if (answer.code == ReplyCode::ReadOnly && execution->work.needsPrimary) {
        this->primaryReportedReadOnly = true;
        execution->notBefore = now + readOnlyRetryDelay;
    } else if (answer.code == ReplyCode::Busy)
        execution->notBefore = now + busyRetryDelay;
    else if (answer.code == ReplyCode::Lagging)
        ++execution->laggingAttempts;
    this->enqueue(execution);
    if (execution->notBefore > now) {
        this->timers.subscribeAt(execution->notBefore, [this, alive = this->alive](Time at) {
            if (*alive)
                this->dispatch(at);
        });
    }
    this->dispatch(now);
}

} // namespace endivetrestle
