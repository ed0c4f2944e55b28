#include "process/forwarded_statements.h"

#include <algorithm>
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
    // A transaction that is not known here has ended, or belongs to another daemon.
    const bool known = message.transaction && this->transactions.count(*message.transaction) != 0;
    const bool accepted = message.transaction ? known : this->hooks.accepts(message, now);
    if (runner == nullptr || !accepted || this->running.count(number) != 0) {
        this->decline(number);
        return;
    }
    auto execution = std::make_shared<Execution>();
    execution->work = std::move(message.work);
    execution->callback = [this, number](const StatementResult& result) { this->onResult(number, result); };
    this->running[number] = { execution, message.group, message.transaction };
    if (message.transaction)
        runner->continueTransaction(this->transactions.at(*message.transaction).connection, execution, now);
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
    ForwardedOutcome outcome;
    outcome.number = number;
    outcome.result = result;
    outcome.result.connection = this->updateTransaction(number, entry, result);
    outcome.attempts = entry.execution->attempts;
    this->hooks.reply(outcome);
}

// Remembers the transaction that a statement has left open and returns its number; no value if there is none.
std::optional<std::uint64_t> ForwardedStatements::updateTransaction(
    std::uint64_t number, const Running& entry, const StatementResult& result)
{
    if (!result.connection) {
        if (entry.transaction)
            this->transactions.erase(*entry.transaction);
        return std::nullopt;
    }
    const auto transaction = entry.transaction.value_or(this->lastTransaction + 1);
    this->lastTransaction = std::max(this->lastTransaction, transaction);
    this->transactions[transaction] = { entry.group, *result.connection, this->hooks.now(), number };
    return transaction;
}

void ForwardedStatements::endTransaction(std::uint64_t transaction, Time now)
{
    const auto ended = this->transactions.extract(transaction);
    if (ended.empty())
        return;
    if (auto* runner = this->hooks.runner(ended.mapped().group))
        runner->endTransaction(ended.mapped().connection, now);
}

void ForwardedStatements::onEnd(const ForwardedRollback& message, Time now)
{
    this->endTransaction(message.transaction, now);
}

void ForwardedStatements::onAbandon(const ForwardedAbandon& message, Time now)
{
    const auto found = this->running.find(message.number);
    if (found == this->running.end()) {
        this->endTransactionAfter(message.number, now);
        return;
    }
    const auto entry = std::move(found->second);
    this->running.erase(found);
    // The runner rolls the transaction back once the statement has ended.
    if (entry.transaction)
        this->transactions.erase(*entry.transaction);
    if (auto* runner = this->hooks.runner(entry.group))
        runner->abandon(entry.execution, now);
}

// Rolls back the transaction that an abandoned statement has left open. Its answer was under way when it was abandoned,
// and the other daemon drops it.
void ForwardedStatements::endTransactionAfter(std::uint64_t statement, Time now)
{
    const auto found = std::find_if(this->transactions.begin(), this->transactions.end(),
        [statement](const auto& entry) { return entry.second.lastStatement == statement; });
    if (found != this->transactions.end())
        this->endTransaction(found->first, now);
}

void ForwardedStatements::onClosed(Time now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, entry] : this->running)
        numbers.push_back(number);
    for (const auto number : numbers)
        this->onAbandon({ number }, now);
    while (!this->transactions.empty())
        this->endTransaction(this->transactions.begin()->first, now);
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
    std::vector<std::uint64_t> idle;
    for (const auto& [number, transaction] : this->transactions) {
        const bool busy = std::any_of(this->running.begin(), this->running.end(),
            [number = number](const auto& entry) { return entry.second.transaction == number; });
        if (!busy && transaction.idleSince < limit)
            idle.push_back(number);
    }
    for (const auto number : idle)
        this->endTransaction(number, now);
}

} // namespace endivetrestle
