#pragma once

#include "request/forward_message.h"
#include "request/statement_runner.h"

#include <functional>
#include <map>
#include <memory>

namespace endivetrestle {

// Callbacks through which ForwardedStatements reaches the schedulers and the link.
struct ForwardedHooks {
    std::function<Time()> now;
    // Returns this daemon's runner of a group, or null if the group is unknown.
    std::function<StatementRunner*(const DatabaseId&)> runner;
    // Whether this daemon accepts a statement outside an open transaction at present.
    std::function<bool(const ForwardedStatement&, Time now)> accepts;
    // Sends a message back over the link.
    std::function<void(const ForwardMessage&)> reply;
};

// Receiving side of a link: runs the statements that another daemon forwards to this one, and tracks the transactions
// that they open. When the link closes, running statements are abandoned and open transactions are rolled back.
//
// The other daemon names a transaction by a number that is given out once on the link, not by the connection on which
// it is open: the connection may carry another transaction before the other daemon knows that the first one has ended.
class ForwardedStatements {
public:
    explicit ForwardedStatements(ForwardedHooks hooks);
    ForwardedStatements(const ForwardedStatements&) = delete;
    ForwardedStatements& operator=(const ForwardedStatements&) = delete;

    void onStatement(ForwardedStatement message, Time now);
    void onEnd(const ForwardedRollback& message, Time now);
    void onAbandon(const ForwardedAbandon& message, Time now);
    // The link was closed.
    void onClosed(Time now);
    // Answers all running statements as if the timeouts of their routes had been reached.
    void expireAll(Time now);
    // Rolls back transactions that have been idle since before `limit`. Normally the forwarding daemon ends idle
    // transactions; this covers a daemon whose process is suspended while its link stays open.
    void rollBackIdleSince(Time limit, Time now);

    // Whether no statement is running and no transaction is open.
    [[nodiscard]] bool empty() const { return this->running.empty() && this->transactions.empty(); }

private:
    struct Running {
        ExecutionPtr execution;
        DatabaseId group;
        // Number of the transaction in which the statement runs.
        std::optional<std::uint64_t> transaction;
    };
    struct Transaction {
        DatabaseId group;
        ConnectionId connection = 0;
        Time idleSince;
        // The last statement that was answered in the transaction.
        std::uint64_t lastStatement = 0;
    };

    void onResult(std::uint64_t number, const StatementResult& result);
    std::optional<std::uint64_t> updateTransaction(
        std::uint64_t number, const Running& entry, const StatementResult& result);
    void decline(std::uint64_t number);
    void endTransaction(std::uint64_t transaction, Time now);
    void endTransactionAfter(std::uint64_t statement, Time now);

    ForwardedHooks hooks;
    std::map<std::uint64_t, Running> running;
    std::map<std::uint64_t, Transaction> transactions;
    std::uint64_t lastTransaction = 0;
};

} // namespace endivetrestle
