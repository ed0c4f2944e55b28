#include "process/statement_forwarder.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Error that the proxy reports for a statement that its owner did not answer.
StatementResult proxyError(const DaemonId& owner, ReplyCode code, const std::string& text, const std::string& reason)
{
    StatementResult result;
    result.owner = owner;
    result.answer.code = code;
    result.answer.errorText = text;
    result.reason = reason;
    return result;
}

void finish(const ExecutionPtr& execution, const StatementResult& result)
{
    if (std::exchange(execution->finished, true))
        return;
    const auto callback = std::move(execution->callback);
    callback(result);
}

} // namespace

StatementForwarder::StatementForwarder(
    DatabaseId group, TimerService& timers, StatementRunner& local, ForwarderHooks hooks)
    : group(std::move(group))
    , timers(timers)
    , local(local)
    , hooks(std::move(hooks))
{
}

StatementForwarder::~StatementForwarder()
{
    for (const auto& [number, entry] : this->pending)
        this->timers.cancel(entry.timer);
}

void StatementForwarder::submit(const ExecutionPtr& execution, Time now)
{
    if (this->hooks.observe && !execution->work.workspace.empty())
        this->observeResult(*execution, now);
    this->forwardOrRunLocally(execution, {}, now);
}

void StatementForwarder::observeResult(Execution& execution, Time now) const
{
    const ObservedStatement statement { execution.work.workspace, execution.work.objective, now };
    execution.callback = [observe = this->hooks.observe, statement, callback = std::move(execution.callback)](
                             const StatementResult& result) {
        observe(statement, result);
        callback(result);
    };
}

void StatementForwarder::refuseUnreachable(const ExecutionPtr& execution)
{
    ++this->counts.refusedUnreachable;
    finish(execution,
        proxyError(
            {}, ReplyCode::Busy, "the group cannot be reached from this daemon; connect elsewhere", "unreachable"));
}

// Sends the statement to the first reachable owner that has not been tried, or runs it locally if there is none. It has
// not run, or is a read that may run again.
void StatementForwarder::forwardOrRunLocally(const ExecutionPtr& execution, std::vector<DaemonId> tried, Time now)
{
    if (this->hooks.unreachable && this->hooks.unreachable()) {
        this->refuseUnreachable(execution);
        return;
    }
    for (const auto& owner : this->hooks.owners(this->group, execution->work)) {
        if (this->hooks.silent && this->hooks.silent(owner))
            continue;
        if (execution->work.workspace.empty() && tried.size() >= maxOwnersTried)
            break;
        if (std::find(tried.begin(), tried.end(), owner) != tried.end())
            continue;
        tried.push_back(owner);
        if (this->sendTo(owner, Pending { execution, owner, std::nullopt, tried }, std::nullopt))
            return;
    }
    this->local.submit(execution, now);
}

bool StatementForwarder::sendTo(const DaemonId& owner, Pending entry, std::optional<ConnectionId> connection)
{
    const auto number = this->hooks.nextId();
    const auto& work = entry.execution->work;
    entry.timer = this->timers.subscribeAt(
        work.expiresAt + answerSlack, [this, number](Time at) { this->onTimer(number, at); });
    const auto timer = entry.timer;
    // The entry is stored before sending, because a failing link may call onLinkLost() before send() returns.
    this->pending.emplace(number, std::move(entry));
    if (this->hooks.send(owner, ForwardedStatement { number, this->group, connection, work })) {
        ++this->counts.forwarded;
        return true;
    }
    this->timers.cancel(timer);
    this->pending.erase(number);
    return false;
}

void StatementForwarder::continueTransaction(ConnectionId connection, const ExecutionPtr& execution, Time now)
{
    const auto found = this->transactions.find(connection);
    if (found == this->transactions.end()) {
        this->local.continueTransaction(connection, execution, now);
        return;
    }
    auto& transaction = found->second;
    transaction.wrote = transaction.wrote || execution->work.changesData();
    const auto owner = transaction.owner;
    if (this->sendTo(owner, Pending { execution, owner, connection, { owner } }, transaction.number))
        return;
    this->transactions.erase(found);
    finish(execution, proxyError(owner, ReplyCode::Aborted, "the transaction was rolled back", "owner_lost"));
}

void StatementForwarder::endTransaction(ConnectionId connection, Time now)
{
    const auto found = this->transactions.find(connection);
    if (found == this->transactions.end()) {
        this->local.endTransaction(connection, now);
        return;
    }
    // A failure to send is ignored: an owner that loses the link rolls the transaction back.
    this->hooks.send(found->second.owner, ForwardedRollback { this->group, found->second.number });
    this->transactions.erase(found);
}

std::map<std::uint64_t, StatementForwarder::Pending>::iterator StatementForwarder::findPending(
    const ExecutionPtr& execution)
{
    return std::find_if(this->pending.begin(), this->pending.end(),
        [&](const auto& entry) { return entry.second.execution == execution; });
}

void StatementForwarder::expire(const ExecutionPtr& execution, Time now)
{
    const auto found = this->findPending(execution);
    if (found == this->pending.end()) {
        this->local.expire(execution, now);
        return;
    }
    const auto number = found->first;
    this->timers.cancel(found->second.timer);
    this->onTimer(number, now);
}

void StatementForwarder::abandon(const ExecutionPtr& execution, Time now)
{
    const auto found = this->findPending(execution);
    if (found == this->pending.end()) {
        this->local.abandon(execution, now);
        return;
    }
    const auto number = found->first;
    const auto entry = this->takePending(number);
    execution->finished = true;
    this->hooks.send(entry->owner, ForwardedAbandon { number });
    // The owner rolls back the transaction of an abandoned statement.
    if (entry->transaction)
        this->transactions.erase(*entry->transaction);
}

std::optional<StatementForwarder::Pending> StatementForwarder::takePending(std::uint64_t number)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end())
        return std::nullopt;
    auto entry = std::move(found->second);
    this->pending.erase(found);
    this->timers.cancel(entry.timer);
    return entry;
}

bool StatementForwarder::onOutcome(const DaemonId& owner, const ForwardedOutcome& outcome, Time now)
{
    const auto entry = this->takePending(outcome.number);
    if (!entry)
        return false;
    if (!outcome.declined) {
        this->deliverOutcome(*entry, outcome);
        return true;
    }
    ++this->counts.declined;
    if (!entry->transaction) {
        this->forwardOrRunLocally(entry->execution, entry->tried, now);
        return true;
    }
    this->transactions.erase(*entry->transaction);
    finish(
        entry->execution, proxyError(owner, ReplyCode::Aborted, "the transaction was rolled back", "owner_declined"));
    return true;
}

// Reports the outcome to the session, with the owner's number of the transaction replaced by an identifier of this
// process.
void StatementForwarder::deliverOutcome(const Pending& entry, const ForwardedOutcome& outcome)
{
    auto result = outcome.result;
    result.owner = entry.owner;
    entry.execution->attempts = outcome.attempts;
    if (!result.connection) {
        if (entry.transaction)
            this->transactions.erase(*entry.transaction);
    } else if (entry.transaction) {
        result.connection = entry.transaction;
    } else {
        const auto id = this->hooks.nextId();
        this->transactions[id] = { entry.owner, *result.connection, entry.execution->work.changesData() };
        result.connection = id;
    }
    finish(entry.execution, result);
}

// Whether a statement whose answer was lost may have changed data permanently.
bool StatementForwarder::mayHaveChangedData(const Pending& entry) const
{
    const auto& work = entry.execution->work;
    if (!entry.transaction)
        return work.start == TransactionStart::None && work.changesData();
    const auto found = this->transactions.find(*entry.transaction);
    return work.statement.kind == StatementKind::Commit && found != this->transactions.end() && found->second.wrote;
}

// Fails a statement that was sent and will not be answered.
void StatementForwarder::failUnanswered(const Pending& entry, const std::string& reason, bool timedOut)
{
    const auto& work = entry.execution->work;
    const bool inDoubt = this->mayHaveChangedData(entry);
    if (entry.transaction)
        this->transactions.erase(*entry.transaction);
    if (inDoubt)
        finish(entry.execution,
            proxyError(entry.owner, ReplyCode::InDoubt, "no answer from the owner of the group", reason));
    else if (entry.transaction || work.start != TransactionStart::None)
        finish(entry.execution, proxyError(entry.owner, ReplyCode::Aborted, "the transaction is rolled back", reason));
    else if (timedOut)
        finish(entry.execution,
            proxyError(entry.owner, ReplyCode::Timeout, "no answer within the timeout of the route", reason));
    else
        finish(entry.execution,
            proxyError(entry.owner, ReplyCode::Aborted,
                "the link to the owner of the group was lost; the read had no effect", reason));
}

void StatementForwarder::onTimer(std::uint64_t number, Time)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end())
        return;
    const auto entry = std::move(found->second);
    this->pending.erase(found);
    // Makes the owner roll back a transaction that the statement may have opened.
    this->hooks.send(entry.owner, ForwardedAbandon { number });
    this->failUnanswered(entry, "statement_timeout", true);
}

void StatementForwarder::onLinkLost(const DaemonId& owner, bool established, Time now)
{
    std::vector<std::uint64_t> affected;
    for (const auto& [number, entry] : this->pending) {
        if (entry.owner == owner)
            affected.push_back(number);
    }
    for (const auto number : affected) {
        const auto entry = this->takePending(number);
        if (!entry)
            continue;
        const bool repeat = !entry->transaction && (!established || entry->execution->work.isRepeatable());
        if (repeat) {
            this->forwardOrRunLocally(entry->execution, entry->tried, now);
            continue;
        }
        ++this->counts.lost;
        this->failUnanswered(*entry, "owner_lost", false);
    }
    for (auto entry = this->transactions.begin(); entry != this->transactions.end();) {
        if (entry->second.owner == owner)
            entry = this->transactions.erase(entry);
        else
            ++entry;
    }
}

void StatementForwarder::onOwnerSilent(const DaemonId& owner, Time now)
{
    std::vector<std::uint64_t> reads;
    for (const auto& [number, entry] : this->pending) {
        if (entry.owner == owner && !entry.transaction && entry.execution->work.isRepeatable())
            reads.push_back(number);
    }
    for (const auto number : reads) {
        const auto entry = this->takePending(number);
        if (!entry)
            continue;
        this->hooks.send(owner, ForwardedAbandon { number });
        if (this->hooks.doubtful && this->hooks.doubtful()) {
            this->refuseUnreachable(entry->execution);
            continue;
        }
        ++this->counts.movedReads;
        this->forwardOrRunLocally(entry->execution, entry->tried, now);
    }
}

ForwarderStatistics StatementForwarder::statistics() const
{
    auto statistics = this->counts;
    statistics.inFlight = this->pending.size();
    return statistics;
}

} // namespace endivetrestle
