#pragma once

#include "request/forward_message.h"
#include "request/statement_runner.h"

#include <functional>
#include <map>
#include <memory>

namespace endivetrestle {

// What the owner's side of a link asks of its surroundings.
struct ForwardedHooks {
    std::function<Time()> now;
    // This daemon's runner of a group; null if it does not know the group.
    std::function<StatementRunner*(const DatabaseId&)> runner;
    // Whether this daemon takes a new statement of a group now.
    std::function<bool(const ForwardedStatement&, Time now)> accepts;
    // Sends a message back over the link.
    std::function<void(const ForwardMessage&)> reply;
};

// Statements that another daemon has forwarded to this one over one link, and the transactions that they opened. When
// the link ends, its statements are dropped and its transactions rolled back.
class ForwardedStatements {
public:
    explicit ForwardedStatements(ForwardedHooks hooks);
    ForwardedStatements(const ForwardedStatements&) = delete;
    ForwardedStatements& operator=(const ForwardedStatements&) = delete;

    void onStatement(ForwardedStatement message, Time now);
    void onEnd(const ForwardedEnd& message, Time now);
    void onAbandon(const ForwardedAbandon& message, Time now);
    // The link is lost.
    void onClosed(Time now);
    // Rolls back transactions that have been idle since before the given time. A forwarding daemon ends idle
    // transactions itself; this is for one that is suspended while its link stays open.
    void endIdleSince(Time limit, Time now);

    // Whether no statement is under way and no transaction is open.
    [[nodiscard]] bool empty() const { return this->running.empty() && this->transactions.empty(); }

private:
    struct Running {
        ExecutionPtr execution;
        DatabaseId group;
        std::optional<ConnectionId> connection;
    };
    struct Transaction {
        DatabaseId group;
        Time idleSince;
    };

    void onResult(std::uint64_t number, const StatementResult& result);
    void decline(std::uint64_t number);
    void endTransaction(ConnectionId connection, const DatabaseId& group, Time now);

    ForwardedHooks hooks;
    std::map<std::uint64_t, Running> running;
    std::map<ConnectionId, Transaction> transactions;
};

} // namespace endivetrestle
