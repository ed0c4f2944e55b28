#include "connection/client_session.h"

#include <utility>

namespace endivetrestle {

namespace {

// Whether the statement needs an endpoint, now or with the next statement.
bool needsEndpoint(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
    case StatementKind::Commit:
        return true;
    default:
        return false;
    }
}

} // namespace

SessionAccess checkAccess(const RouteTable& table, const Route* route, const std::string& key,
    const OperationGate& gate, Time now, WorkspaceId& workspace)
{
    workspace = WorkspaceId();
    if (!table.workspacesInUse || route == nullptr || route->isPublic)
        return SessionAccess::Permitted;
    if (gate.configurationIsRecent && !gate.configurationIsRecent(now))
        return SessionAccess::NotRecent;
    auto holder = table.workspaceOfKey(key);
    if (!holder)
        return SessionAccess::UnknownKey;
    workspace = std::move(*holder);
    return SessionAccess::Permitted;
}

ClientSession::ClientSession(SessionStart start, TimerService& timers, SessionHooks hooks)
    : start(std::move(start))
    , timers(timers)
    , hooks(std::move(hooks))
{
}

ClientSession::~ClientSession()
{
    this->cancelIdleTimer();
    this->cancelQuota();
}

SessionPhase ClientSession::phase() const
{
    switch (this->transaction) {
    case TransactionPhase::None:
        return SessionPhase::Idle;
    case TransactionPhase::Failed:
        return SessionPhase::FailedTransaction;
    default:
        return SessionPhase::Transaction;
    }
}

void ClientSession::onStatement(Statement statement, Time now)
{
    if (this->busy) {
        if (this->waiting.size() < maxPipelined)
            this->waiting.push_back(std::move(statement));
        else
            this->hooks.close();
        return;
    }
    this->busy = true;
    this->cancelIdleTimer();
    this->current = std::move(statement);
    this->currentSince = now;
    this->process(this->current, now);
}

void ClientSession::process(const Statement& statement, Time now)
{
    this->currentRoute.reset();
    if (this->transaction == TransactionPhase::Failed && statement.kind != StatementKind::Unknown) {
        this->processInFailedTransaction(statement);
        return;
    }
    if (!this->isAccepted(statement)) {
        this->refuse(now);
        return;
    }
    if (!this->hasAccess(statement, now))
        return;
    if (this->needsQuota(statement))
        this->takeQuota(now);
    else
        this->run(statement, now);
}

// Checks the key with every statement, because the configuration may have changed since the session started. Replies
// and returns false if the statement may not run.
bool ClientSession::hasAccess(const Statement& statement, Time now)
{
    const auto table = needsEndpoint(statement.kind) ? this->hooks.routes() : nullptr;
    if (!table)
        return true;
    const bool inTransaction = this->transaction != TransactionPhase::None;
    // A change of the route applies from the next transaction on.
    const auto* route = inTransaction ? &*this->transactionRoute : table->find(this->start.databaseName);
    WorkspaceId present;
    auto access = checkAccess(*table, route, this->start.key, this->hooks.gate, now, present);
    // A transaction keeps the workspace in whose name it was started.
    if (inTransaction && access == SessionAccess::Permitted && present != this->workspace)
        access = SessionAccess::UnknownKey;
    if (access == SessionAccess::Permitted) {
        this->workspace = std::move(present);
        return true;
    }
    this->refuseAccess(access, now);
    return false;
}

void ClientSession::refuseAccess(SessionAccess access, Time now)
{
    const bool recent = access != SessionAccess::NotRecent;
    const char* reason = recent ? "key_unknown" : "configuration_not_recent";
    if (this->transaction != TransactionPhase::None) {
        this->failTransaction(now);
        this->replyError(
            ReplyCode::Aborted, "the transaction is rolled back: the key is not known to be valid", reason);
        return;
    }
    if (recent)
        this->replyError(ReplyCode::NotAuthorized, "no workspace holds the key", reason);
    else
        this->replyError(ReplyCode::Busy, "the configuration is not known to be recent; connect elsewhere", reason);
}

// Whether the statement begins an operation of a workspace.
bool ClientSession::needsQuota(const Statement& statement) const
{
    return !this->workspace.empty() && this->hooks.gate.takeQuota && this->transaction == TransactionPhase::None
        && needsEndpoint(statement.kind) && statement.kind != StatementKind::Commit;
}

void ClientSession::takeQuota(Time now)
{
    this->awaitingQuota = true;
    const auto request
        = this->hooks.gate.takeQuota(this->workspace, now, [this](QuotaDecision decision) { this->onQuota(decision); });
    // The answer may have come before the call returned, and the next statement may wait already.
    if (request != 0)
        this->quotaRequest = request;
}

void ClientSession::onQuota(QuotaDecision decision)
{
    this->awaitingQuota = false;
    this->quotaRequest = 0;
    const auto now = this->hooks.now();
    if (decision == QuotaDecision::Exceeded) {
        this->replyError(ReplyCode::TooManyConnections, "the workspace has used up its limit", "quota_exceeded");
        return;
    }
    if (decision == QuotaDecision::Unanswered) {
        this->replyError(
            ReplyCode::TooManyConnections, "the limit of the workspace is not known at present", "quota_unanswered");
        return;
    }
    // The daemon may have begun to stop, or the key may have been revoked, while the statement waited.
    if (!this->isAccepted(this->current))
        this->refuse(now);
    else if (this->hasAccess(this->current, now))
        this->run(this->current, now);
}

void ClientSession::cancelQuota()
{
    if (!std::exchange(this->awaitingQuota, false))
        return;
    if (this->quotaRequest != 0)
        this->hooks.gate.cancelQuota(std::exchange(this->quotaRequest, 0));
}

void ClientSession::run(const Statement& statement, Time now)
{
    switch (statement.kind) {
    case StatementKind::Unknown:
        this->replyError(ReplyCode::Malformed, "the statement is not recognised", "malformed");
        return;
    case StatementKind::Begin:
    case StatementKind::BeginRead:
        this->begin(statement);
        return;
    case StatementKind::Rollback:
        this->rollback(now);
        return;
    case StatementKind::SetValue: {
        auto next = std::make_shared<SessionState>(*this->state);
        next->values[statement.name] = statement.argument;
        this->state = std::move(next);
        this->replySuccess();
        return;
    }
    case StatementKind::Prepare:
        this->prepare(statement);
        return;
    case StatementKind::Deallocate: {
        auto next = std::make_shared<SessionState>(*this->state);
        next->prepared.erase(statement.name);
        this->state = std::move(next);
        this->replySuccess();
        return;
    }
    case StatementKind::Execute:
        this->execute(statement, now);
        return;
    case StatementKind::Commit:
        if (this->transaction == TransactionPhase::None) {
            this->replyError(ReplyCode::Malformed, "no transaction is open", "malformed");
            return;
        }
        this->sendToGroup(statement, std::nullopt, now);
        return;
    case StatementKind::Read:
    case StatementKind::Write:
        this->sendToGroup(statement, std::nullopt, now);
        return;
    }
}

bool ClientSession::isAccepted(const Statement& statement) const
{
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginRead:
        return this->hooks.acceptance() == StatementAcceptance::All;
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        return this->hooks.acceptance() != StatementAcceptance::None;
    default:
        return true;
    }
}

// Refuses the statement under way, which has not run. An open transaction is rolled back.
void ClientSession::refuse(Time now)
{
    if (this->transaction == TransactionPhase::None) {
        this->replyError(ReplyCode::Busy, stoppingText, "stopping");
        return;
    }
    this->failTransaction(now);
    this->replyError(ReplyCode::Aborted, "the daemon is stopping; the transaction is rolled back", "stopping");
}

void ClientSession::processInFailedTransaction(const Statement& statement)
{
    if (statement.kind != StatementKind::Rollback && statement.kind != StatementKind::Commit) {
        // If the proxy rolled the transaction back, the first statement afterwards gets the reason.
        if (!this->failureReason.empty()) {
            this->replyError(ReplyCode::Aborted, std::exchange(this->failureReason, ""), "transaction_aborted");
            return;
        }
        this->replyError(ReplyCode::Malformed, "the transaction has failed and must be rolled back", "malformed");
        return;
    }
    this->transaction = TransactionPhase::None;
    this->transactionRoute.reset();
    this->failureReason.clear();
    if (statement.kind == StatementKind::Rollback)
        this->replySuccess();
    else
        this->replyError(ReplyCode::Aborted, "the transaction had failed and was rolled back", "transaction_aborted");
}

void ClientSession::begin(const Statement& statement)
{
    if (this->transaction != TransactionPhase::None) {
        this->replyError(ReplyCode::Malformed, "a transaction is already open", "malformed");
        return;
    }
    const auto table = this->hooks.routes();
    const auto* route = table ? table->find(this->start.databaseName) : nullptr;
    if (route == nullptr) {
        this->replyError(ReplyCode::UnknownDatabase, "no such database", "no_route");
        return;
    }
    this->transactionRoute = *route;
    this->transaction = TransactionPhase::Begun;
    this->transactionWrote = false;
    this->transactionStart
        = statement.kind == StatementKind::Begin ? TransactionStart::Plain : TransactionStart::ReadOnly;
    this->replySuccess();
}

void ClientSession::rollback(Time now)
{
    if (this->transaction == TransactionPhase::Open) {
        if (auto* runner = this->hooks.runner(this->transactionRoute->group))
            runner->endTransaction(this->transactionConnection, now);
    }
    this->transaction = TransactionPhase::None;
    this->transactionRoute.reset();
    this->replySuccess();
}

void ClientSession::prepare(const Statement& statement)
{
    auto next = std::make_shared<SessionState>(*this->state);
    next->prepared[statement.name] = { statement.writes, statement.argument };
    this->state = std::move(next);
    this->replySuccess();
}

void ClientSession::execute(const Statement& statement, Time now)
{
    const auto found = this->state->prepared.find(statement.name);
    if (found == this->state->prepared.end()) {
        this->replyError(ReplyCode::NoStatement, "no statement is prepared under this name", "no_statement");
        return;
    }
    this->sendToGroup(statement, found->second, now);
}

ExecutionPtr ClientSession::makeExecution(
    const Statement& statement, std::optional<PreparedStatement> prepared, const Route& route, Time now)
{
    auto execution = std::make_shared<Execution>();
    auto& work = execution->work;
    work.statement = statement;
    work.workspace = this->workspace;
    work.prepared = std::move(prepared);
    work.session = this->state;
    if (this->transaction == TransactionPhase::Begun)
        work.start = this->transactionStart;
    work.needsPrimary
        = route.consistency == RouteConsistency::Primary || work.changesData() || work.start == TransactionStart::Plain;
    work.maxStaleness = route.maxStaleness;
    if (route.consistency == RouteConsistency::ReadYourWrites) {
        const auto own = this->writes.in(route.group);
        work.lastWrite = own.position;
        work.needsPrimary = work.needsPrimary || own.needsPrimary;
    }
    work.priority = route.priority;
    work.arrivedAt = now;
    work.expiresAt = now + route.statementTimeout;
    work.objective = route.objective;
    execution->callback = [this, weak = std::weak_ptr<Execution>(execution)](const StatementResult& result) {
        if (const auto self = weak.lock())
            this->onResult(self, result);
    };
    return execution;
}

void ClientSession::sendToGroup(const Statement& statement, std::optional<PreparedStatement> prepared, Time now)
{
    const auto table = this->hooks.routes();
    if (this->transactionRoute)
        this->currentRoute = this->transactionRoute;
    else if (const auto* route = table ? table->find(this->start.databaseName) : nullptr)
        this->currentRoute = *route;
    if (!this->currentRoute) {
        this->replyError(ReplyCode::UnknownDatabase, "no such database", "no_route");
        return;
    }
    auto* runner = this->hooks.runner(this->currentRoute->group);
    if (runner == nullptr) {
        this->replyError(ReplyCode::Busy, "no endpoint of the database is known", "no_endpoint");
        return;
    }
    this->execution = this->makeExecution(statement, std::move(prepared), *this->currentRoute, now);
    const auto started = this->execution;
    if (this->transaction == TransactionPhase::Open)
        runner->continueTransaction(this->transactionConnection, started, now);
    else
        runner->submit(started, now);
}

void ClientSession::updateTransaction(const ScheduledStatement& work, const StatementResult& result)
{
    if (this->transaction == TransactionPhase::None)
        return;
    if (work.statement.kind == StatementKind::Commit) {
        // The endpoint refused the commit and keeps the transaction open. The client has been promised that nothing of
        // it is kept, or retries it as a whole.
        auto* runner = result.connection ? this->hooks.runner(this->transactionRoute->group) : nullptr;
        if (runner != nullptr)
            runner->endTransaction(*result.connection, this->hooks.now());
        this->transaction = TransactionPhase::None;
        this->transactionRoute.reset();
        return;
    }
    if (!result.connection) {
        this->transaction = TransactionPhase::Failed;
        return;
    }
    this->transactionConnection = *result.connection;
    this->transactionWrote = this->transactionWrote || work.changesData();
    this->transaction = TransactionPhase::Open;
    if (result.answer.phase != SessionPhase::FailedTransaction)
        return;
    this->transaction = TransactionPhase::Failed;
    if (auto* runner = this->hooks.runner(this->transactionRoute->group))
        runner->endTransaction(this->transactionConnection, this->currentSince);
}

void ClientSession::onResult(const ExecutionPtr& finished, const StatementResult& result)
{
    if (finished != this->execution || this->disconnected)
        return;
    this->execution.reset();
    const auto& work = finished->work;
    const bool commit = work.statement.kind == StatementKind::Commit;
    const bool wrote
        = commit ? this->transactionWrote : work.changesData() && this->transaction == TransactionPhase::None;
    if (result.answer.succeeded && wrote)
        this->writes.add(this->currentRoute->group, result.answer.position);
    this->updateTransaction(work, result);
    SessionReply reply;
    reply.succeeded = result.answer.succeeded;
    reply.code = result.answer.code;
    reply.errorText = result.answer.errorText;
    reply.payload = result.answer.payload;
    reply.position = result.answer.position;
    reply.phase = this->phase();
    this->finishStatement(reply, { result.reason, result.endpoint, result.owner, finished->attempts });
}

void ClientSession::replySuccess()
{
    SessionReply reply;
    reply.succeeded = true;
    reply.phase = this->phase();
    this->finishStatement(reply, {});
}

void ClientSession::replyError(ReplyCode code, const std::string& text, const std::string& reason)
{
    SessionReply reply;
    reply.code = code;
    reply.errorText = text;
    reply.phase = this->phase();
    this->finishStatement(reply, { reason });
}

void ClientSession::finishStatement(const SessionReply& reply, StatementTrace trace)
{
    const auto now = this->hooks.now();
    this->hooks.record({ this->current, this->currentRoute ? &*this->currentRoute : nullptr, reply, std::move(trace),
        now - this->currentSince, this->workspace });
    this->hooks.reply(reply);
    this->busy = false;
    if (this->transaction == TransactionPhase::Begun || this->transaction == TransactionPhase::Open)
        this->armIdleTimer(now);
    if (!this->waiting.empty())
        this->nextStatement();
    else if (this->closing && this->isIdle())
        this->hooks.close();
}

void ClientSession::nextStatement()
{
    auto statement = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->onStatement(std::move(statement), this->hooks.now());
}

void ClientSession::armIdleTimer(Time now)
{
    const auto table = this->hooks.routes();
    if (!table)
        return;
    this->idleTimer = this->timers.subscribeAt(now + table->transactionIdleLimit, [this](Time at) {
        this->idleTimer = 0;
        this->abortTransaction(at, "the transaction was idle for too long");
    });
}

void ClientSession::cancelIdleTimer()
{
    if (this->idleTimer != 0)
        this->timers.cancel(std::exchange(this->idleTimer, 0));
}

void ClientSession::abortTransaction(Time now, const std::string& reason)
{
    if (this->busy || (this->transaction != TransactionPhase::Begun && this->transaction != TransactionPhase::Open))
        return;
    this->cancelIdleTimer();
    this->failTransaction(now);
    this->failureReason = reason;
}

// Rolls back the transaction. The client has to end it.
void ClientSession::failTransaction(Time now)
{
    if (this->transaction == TransactionPhase::Open) {
        if (auto* runner = this->hooks.runner(this->transactionRoute->group))
            runner->endTransaction(this->transactionConnection, now);
    }
    this->transaction = TransactionPhase::Failed;
}

void ClientSession::expireStatement(Time now)
{
    if (this->awaitingQuota) {
        this->cancelQuota();
        this->replyError(ReplyCode::Busy, "the statement has not been started in time", "timed_out");
        return;
    }
    auto* runner = this->currentRoute ? this->hooks.runner(this->currentRoute->group) : nullptr;
    if (this->execution && runner != nullptr)
        runner->expire(this->execution, now);
}

void ClientSession::onDisconnected(Time now)
{
    this->disconnected = true;
    this->cancelIdleTimer();
    this->cancelQuota();
    this->waiting.clear();
    auto* runner = this->currentRoute ? this->hooks.runner(this->currentRoute->group) : nullptr;
    if (this->execution) {
        if (runner != nullptr)
            runner->abandon(this->execution, now);
        this->execution.reset();
    } else if (this->transaction == TransactionPhase::Open) {
        if (auto* owner = this->hooks.runner(this->transactionRoute->group))
            owner->endTransaction(this->transactionConnection, now);
    }
}

void ClientSession::checkKey(Time now)
{
    const auto table = this->hooks.routes();
    if (!table || this->keyRevoked)
        return;
    const auto* route = this->transactionRoute ? &*this->transactionRoute : table->find(this->start.databaseName);
    WorkspaceId present;
    const OperationGate anyAge;
    if (checkAccess(*table, route, this->start.key, anyAge, now, present) != SessionAccess::UnknownKey)
        return;
    this->keyRevoked = true;
    this->abortTransaction(now, "the key was revoked");
    this->closeWhenIdle();
}

void ClientSession::closeWhenIdle()
{
    this->closing = true;
    if (this->isIdle())
        this->hooks.close();
}

} // namespace endivetrestle
