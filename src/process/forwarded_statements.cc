#include "process/forwarded_statements.h"

#include <utility>
#include <vector>

namespace endivetrestle {

ForwardedStatements::ForwardedStatements(ForwardedHooks hooks)
    : hooks(std::move(hooks))
{
}

void ForwardedStatements::decline(std::uint64_t number)
{
    ForwardedOutcome outcome;
    outcome.number = number;
    outcome.declined = true;
    this->hooks.reply(outcome);
}

void ForwardedStatements::onStatement(ForwardedStatement message, Time now)
{
    const auto number = message.number;
    auto* runner = this->hooks.runner(message.group);
    // A transaction that was not opened over this link belongs to another daemon.
    const bool foreign = message.connection && this->transactions.count(*message.connection) == 0;
    const bool accepted = message.connection ? !foreign : this->hooks.accepts(message, now);
    if (runner == nullptr || !accepted || this->running.count(number) != 0) {
        this->decline(number);
        return;
    }
    auto execution = std::make_shared<Execution>();
    execution->work = std::move(message.work);
    execution->callback = [this, number](const StatementResult& result) { this->onResult(number, result); };
    this->running[number] = { execution, message.group, message.connection };
    if (message.connection)
        runner->continueTransaction(*message.connection, execution, now);
    else
        runner->submit(execution, now);
}

void ForwardedStatements::onResult(std::uint64_t number, const StatementResult& result)
{
    const auto found = this->running.find(number);
    if (found == this->running.end())
        return;
    const auto entry = std::move(found->second);
    this->running.erase(found);
    if (entry.connection && result.connection != entry.connection)
        this->transactions.erase(*entry.connection);
    if (result.connection)
        this->transactions[*result.connection] = { entry.group, this->hooks.now() };
    ForwardedOutcome outcome;
    outcome.number = number;
    outcome.result = result;
    outcome.attempts = entry.execution->attempts;
    this->hooks.reply(outcome);
}

void ForwardedStatements::endTransaction(ConnectionId connection, const DatabaseId& group, Time now)
{
    this->transactions.erase(connection);
    if (auto* runner = this->hooks.runner(group))
        runner->endTransaction(connection, now);
}

void ForwardedStatements::onEnd(const ForwardedRollback& message, Time now)
{
    if (this->transactions.count(message.connection) != 0)
        this->endTransaction(message.connection, message.group, now);
}

void ForwardedStatements::onAbandon(const ForwardedAbandon& message, Time now)
{
    const auto found = this->running.find(message.number);
    if (found == this->running.end())
        return;
    const auto entry = std::move(found->second);
    this->running.erase(found);
    // The runner rolls the transaction back once the statement has ended.
    if (entry.connection)
        this->transactions.erase(*entry.connection);
    if (auto* runner = this->hooks.runner(entry.group))
        runner->abandon(entry.execution, now);
}

void ForwardedStatements::onClosed(Time now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, entry] : this->running)
        numbers.push_back(number);
    for (const auto number : numbers)
        this->onAbandon({ number }, now);
    while (!this->transactions.empty()) {
        const auto [connection, transaction] = *this->transactions.begin();
        this->endTransaction(connection, transaction.group, now);
    }
}

void ForwardedStatements::expireAll(Time now)
{
    // Each answer removes its statement.
    const auto expiring = this->running;
    for (const auto& [number, entry] : expiring) {
        if (auto* runner = this->hooks.runner(entry.group))
            runner->expire(entry.execution, now);
    }
}

void ForwardedStatements::rollBackIdleSince(Time limit, Time now)
{
    std::vector<std::pair<ConnectionId, DatabaseId>> idle;
    for (const auto& [connection, transaction] : this->transactions) {
        bool busy = false;
        for (const auto& [number, entry] : this->running)
            busy = busy || entry.connection == connection;
        if (!busy && transaction.idleSince < limit)
            idle.emplace_back(connection, transaction.group);
    }
    for (const auto& [connection, group] : idle)
        this->endTransaction(connection, group, now);
}

} // namespace endivetrestle
