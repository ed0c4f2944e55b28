#include "connection/transaction.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

std::size_t hashOf(const RequestId& request) { return std::hash<RequestId>()(request); }

bool mayHaveCommitted(TransactionEnd end)
{
    return end == TransactionEnd::Committed || end == TransactionEnd::CommitUnknown;
}

} // namespace

TransactionTable::TransactionTable(TransactionSettings settings, DatabaseId database, DaemonId owner)
    : settings(settings)
    , database(std::move(database))
    , owner(std::move(owner))
{
}

Time TransactionTable::deadlineOf(const Transaction& transaction) const
{
    const auto total = transaction.begunAt + this->settings.totalLimit;
    if (transaction.state == TransactionState::Open)
        return std::min(total, transaction.idleSince + this->settings.idleLimit);
    const bool interruptible = transaction.state == TransactionState::Running
        || (transaction.state == TransactionState::Committing && !transaction.commitSent);
    return interruptible ? total : Time::max();
}

TransactionTable::Transactions::iterator TransactionTable::findInState(std::uint64_t number, TransactionState state)
{
    const auto found = this->transactions.find(number);
    return found != this->transactions.end() && found->second.state == state ? found : this->transactions.end();
}

void TransactionTable::changeState(Transactions::iterator transaction, TransactionState state)
{
    auto& [number, record] = *transaction;
    record.state = state;
    this->deadlines.erase({ record.deadline, number });
    record.deadline = this->deadlineOf(record);
    if (record.deadline != Time::max())
        this->deadlines.emplace(record.deadline, number);
}

bool TransactionTable::mayBegin(const CallerId& caller) const
{
    const auto found = this->openPerCaller.find(caller);
    const auto own = found == this->openPerCaller.end() ? 0 : found->second;
    return this->openCount() < this->settings.maxOpen && own < this->settings.maxPerCaller;
}

std::optional<TransactionIdParts> TransactionTable::begin(
    const CallerId& caller, const ConnectionUse& pin, std::uint64_t random, Time now)
{
    if (!this->mayBegin(caller) || this->openByConnection.contains(pin.connection))
        return std::nullopt;
    const auto number = ++this->lastNumber;
    Transaction record;
    record.caller = caller;
    record.random = random;
    record.pin = pin;
    record.idleSince = now;
    record.begunAt = now;
    this->openByConnection.emplace(pin.connection, number);
    ++this->openPerCaller[caller];
    this->changeState(this->transactions.emplace(number, std::move(record)).first, TransactionState::Open);
    return TransactionIdParts { this->database, this->owner, number, random };
}

TransactionRefusal TransactionTable::refusalForClosed(const Transaction& transaction)
{
    switch (*transaction.end) {
    case TransactionEnd::Committed:
        return { ErrorCode::UnknownTransaction, OutcomeState::Unknown, "the transaction was committed" };
    case TransactionEnd::CommitUnknown:
        return { ErrorCode::UnknownTransaction, OutcomeState::Unknown, "the outcome of the commit is unknown" };
    case TransactionEnd::RolledBack:
        return { ErrorCode::TransactionAborted, OutcomeState::DidNotRun, "the transaction was rolled back" };
    case TransactionEnd::IdleDeadline:
        return { ErrorCode::TransactionAborted, OutcomeState::DidNotRun, "the transaction was idle for too long" };
    case TransactionEnd::TotalDeadline:
        return { ErrorCode::TransactionAborted, OutcomeState::DidNotRun,
            "the transaction exceeded its total time limit" };
    case TransactionEnd::ConnectionLost:
        return { ErrorCode::TransactionAborted, OutcomeState::DidNotRun, "the transaction's connection was lost" };
    case TransactionEnd::Aborted:
        break;
    }
    return { ErrorCode::TransactionAborted, OutcomeState::DidNotRun, "the transaction was aborted by the proxy" };
}

TransactionTable::FindOpenResult TransactionTable::findOpen(
    const TransactionIdParts& id, const CallerId& caller, const RequestId& request)
{
    const auto found = this->transactions.find(id.number);
    if (found == this->transactions.end() || found->second.random != id.random || found->second.caller != caller
        || id.database != this->database || id.owner != this->owner)
        return TransactionRefusal { ErrorCode::UnknownTransaction, OutcomeState::Unknown,
            "the transaction is not open" };
    const auto& record = found->second;
    if (record.state == TransactionState::Closed)
        return refusalForClosed(record);
    if (record.acceptedRequests.contains(hashOf(request)))
        return TransactionRefusal { ErrorCode::BadRequest, OutcomeState::Unknown,
            "the request id has already been used in the transaction" };
    if (record.state != TransactionState::Open)
        return TransactionRefusal { ErrorCode::BadRequest, OutcomeState::DidNotRun,
            "another request of the transaction is running" };
    return found;
}

TransactionAccess TransactionTable::accept(
    const TransactionIdParts& id, const CallerId& caller, const RequestId& request, TransactionState state, Time now)
{
    auto found = this->findOpen(id, caller, request);
    if (auto* refusal = std::get_if<TransactionRefusal>(&found))
        return std::move(*refusal);
    const auto transaction = std::get<Transactions::iterator>(found);
    auto& record = transaction->second;
    // The deadline applies even if tick() has not been called since it passed.
    if (record.deadline <= now)
        return TransactionRefusal { ErrorCode::TransactionAborted, OutcomeState::DidNotRun,
            "the transaction's deadline has passed" };
    if (state == TransactionState::Running && record.acceptedRequests.size() >= this->settings.maxStatements)
        return TransactionRefusal { ErrorCode::BadRequest, OutcomeState::DidNotRun,
            "the transaction has reached its maximum number of statements" };
    record.acceptedRequests.insert(hashOf(request));
    record.request = request;
    this->changeState(transaction, state);
    return record.pin;
}

TransactionAccess TransactionTable::startStatement(
    const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now)
{
    return this->accept(id, caller, request, TransactionState::Running, now);
}

TransactionAccess TransactionTable::startCommit(
    const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now)
{
    return this->accept(id, caller, request, TransactionState::Committing, now);
}

bool TransactionTable::reopen(Transactions::iterator transaction, bool sent, Time now)
{
    if (transaction == this->transactions.end())
        return false;
    auto& record = transaction->second;
    if (!sent)
        record.acceptedRequests.erase(hashOf(*record.request));
    record.request.reset();
    record.idleSince = now;
    this->changeState(transaction, TransactionState::Open);
    return true;
}

bool TransactionTable::finishStatement(std::uint64_t number, Time now)
{
    return this->reopen(this->findInState(number, TransactionState::Running), true, now);
}

bool TransactionTable::statementNotSent(std::uint64_t number, Time now)
{
    return this->reopen(this->findInState(number, TransactionState::Running), false, now);
}

bool TransactionTable::commitSent(std::uint64_t number)
{
    const auto transaction = this->findInState(number, TransactionState::Committing);
    if (transaction == this->transactions.end() || transaction->second.commitSent)
        return false;
    transaction->second.commitSent = true;
    this->changeState(transaction, TransactionState::Committing);
    return true;
}

bool TransactionTable::commitNotSent(std::uint64_t number, Time now)
{
    const auto transaction = this->findInState(number, TransactionState::Committing);
    if (transaction == this->transactions.end() || transaction->second.commitSent)
        return false;
    return this->reopen(transaction, false, now);
}

bool TransactionTable::finishCommit(std::uint64_t number, OutcomeState outcome, Time now)
{
    const auto transaction = this->findInState(number, TransactionState::Committing);
    if (transaction == this->transactions.end() || !transaction->second.commitSent)
        return false;
    switch (outcome) {
    case OutcomeState::Completed:
        this->addAction(TransactionAction::Kind::Release, transaction->second);
        this->end(transaction, TransactionEnd::Committed, now);
        return true;
    case OutcomeState::DidNotRun:
        this->addAction(TransactionAction::Kind::RollBack, transaction->second);
        this->end(transaction, TransactionEnd::RolledBack, now);
        return true;
    case OutcomeState::Unknown:
        break;
    }
    this->addAction(TransactionAction::Kind::Close, transaction->second);
    this->end(transaction, TransactionEnd::CommitUnknown, now);
    return true;
}

std::optional<TransactionRefusal> TransactionTable::rollBack(
    const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now)
{
    auto found = this->findOpen(id, caller, request);
    if (auto* refusal = std::get_if<TransactionRefusal>(&found)) {
        if (refusal->code == ErrorCode::TransactionAborted)
            return std::nullopt;
        // A rollback is never sent to the endpoint as a request, so a refused one had no effect.
        refusal->outcome = OutcomeState::DidNotRun;
        return std::move(*refusal);
    }
    const auto transaction = std::get<Transactions::iterator>(found);
    this->addAction(TransactionAction::Kind::RollBack, transaction->second);
    this->end(transaction, TransactionEnd::RolledBack, now);
    return std::nullopt;
}

void TransactionTable::addAction(TransactionAction::Kind kind, const Transaction& transaction)
{
    this->actions.push_back({ kind, transaction.pin });
}

void TransactionTable::end(Transactions::iterator transaction, TransactionEnd reason, Time now)
{
    auto& record = transaction->second;
    record.end = reason;
    if (!mayHaveCommitted(reason))
        record.request.reset();
    record.acceptedRequests.clear();
    this->changeState(transaction, TransactionState::Closed);
    this->openByConnection.erase(record.pin.connection);
    const auto own = this->openPerCaller.find(record.caller);
    if (--own->second == 0)
        this->openPerCaller.erase(own);
    this->closedTransactions.emplace_back(now, transaction->first);
    if (this->closedTransactions.size() <= this->settings.maxClosed)
        return;
    this->transactions.erase(this->closedTransactions.front().second);
    this->closedTransactions.pop_front();
}

EndedTransaction TransactionTable::endWithoutRequest(
    Transactions::iterator transaction, TransactionEnd reason, Time now)
{
    const auto& record = transaction->second;
    EndedTransaction ended { transaction->first, record.caller, reason, record.request };
    if (reason == TransactionEnd::CommitUnknown) {
        ended.outcome = OutcomeState::Unknown;
        ended.code = ErrorCode::EndpointUnreachable;
    }
    this->end(transaction, reason, now);
    return ended;
}

std::optional<EndedTransaction> TransactionTable::onConnectionLost(PoolConnectionId connection, Time now)
{
    const auto number = this->openByConnection.find(connection);
    if (number == this->openByConnection.end())
        return std::nullopt;
    const auto transaction = this->transactions.find(number->second);
    const auto reason = transaction->second.commitSent ? TransactionEnd::CommitUnknown : TransactionEnd::ConnectionLost;
    return this->endWithoutRequest(transaction, reason, now);
}

EndedTransaction TransactionTable::abortWith(Transactions::iterator transaction, TransactionEnd reason, Time now)
{
    const bool mayRun = transaction->second.state == TransactionState::Running;
    this->addAction(mayRun ? TransactionAction::Kind::Close : TransactionAction::Kind::RollBack, transaction->second);
    return this->endWithoutRequest(transaction, reason, now);
}

std::optional<EndedTransaction> TransactionTable::abort(std::uint64_t number, Time now)
{
    const auto transaction = this->transactions.find(number);
    if (transaction == this->transactions.end() || transaction->second.state == TransactionState::Closed
        || transaction->second.commitSent)
        return std::nullopt;
    return this->abortWith(transaction, TransactionEnd::Aborted, now);
}

std::vector<EndedTransaction> TransactionTable::abortAll(Time now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [connection, number] : this->openByConnection)
        numbers.push_back(number);
    std::sort(numbers.begin(), numbers.end());
    std::vector<EndedTransaction> ended;
    for (const auto number : numbers) {
        if (auto transaction = this->abort(number, now))
            ended.push_back(std::move(*transaction));
    }
    return ended;
}

std::vector<EndedTransaction> TransactionTable::tick(Time now)
{
    std::vector<EndedTransaction> ended;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto transaction = this->transactions.find(this->deadlines.begin()->second);
        const auto total = transaction->second.begunAt + this->settings.totalLimit;
        const auto reason = total <= now ? TransactionEnd::TotalDeadline : TransactionEnd::IdleDeadline;
        ended.push_back(this->abortWith(transaction, reason, now));
    }
    while (!this->closedTransactions.empty()
        && this->closedTransactions.front().first + this->settings.closedRetention <= now) {
        this->transactions.erase(this->closedTransactions.front().second);
        this->closedTransactions.pop_front();
    }
    return ended;
}

Time TransactionTable::nextDue() const
{
    auto due = this->deadlines.empty() ? Time::max() : this->deadlines.begin()->first;
    if (!this->closedTransactions.empty())
        due = std::min(due, this->closedTransactions.front().first + this->settings.closedRetention);
    return due;
}

std::vector<TransactionAction> TransactionTable::takeActions() { return std::exchange(this->actions, {}); }

std::optional<TransactionView> TransactionTable::find(std::uint64_t number) const
{
    const auto found = this->transactions.find(number);
    if (found == this->transactions.end())
        return std::nullopt;
    const auto& record = found->second;
    return TransactionView { record.state, record.end, record.pin, record.request, record.commitSent, record.deadline };
}

} // namespace endivetrestle
