#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "connection/connection_use.h"
#include "connection/transaction_id.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace endivetrestle {

enum class TransactionState {
    // Waiting for the caller's next statement.
    Open,
    // A statement was accepted; it is queued or runs.
    Running,
    // A commit was accepted; it is queued or runs.
    Committing,
    // Ended. Kept for a while so that a late statement gets a precise error.
    Closed,
};

enum class TransactionEnd {
    Committed,
    // The commit was sent and its outcome is not known.
    CommitUnknown,
    RolledBack,
    // The caller sent nothing until the idle deadline.
    IdleDeadline,
    TotalDeadline,
    ConnectionLost,
    // abort() or abortAll().
    Aborted,
};

// What the owner must do with the connection of an ended transaction.
struct TransactionAction {
    enum class Kind {
        // Release the pin as clean.
        Release,
        // Release the pin as dirty: the reset rolls back.
        RollBack,
        // Close the connection, because a statement may still run on it. The endpoint then rolls back.
        Close,
    };

    Kind kind = Kind::Close;
    ConnectionUse pin;

    bool operator==(const TransactionAction&) const = default;
};

// Why a request of a transaction is not accepted.
struct TransactionRefusal {
    // UnknownTransaction: the transaction is not known here any more or was committed. TransactionAborted: it ended
    // without a commit. BadRequest: another request of it is running, its number of statements is used up, or the
    // request id was accepted before in it.
    ErrorCode code = ErrorCode::UnknownTransaction;
    // DidNotRun, or Unknown if an earlier arrival of the same request may have run. With UnknownTransaction the outcome
    // is then resolved by request id. With BadRequest it must not be resolved before the transaction has ended, because
    // the endpoint records the ids of a transaction only with its commit.
    OutcomeState outcome = OutcomeState::DidNotRun;
    std::string detail;

    bool operator==(const TransactionRefusal&) const = default;
};

// The pin of the transaction's connection, or a refusal.
using TransactionAccess = std::variant<ConnectionUse, TransactionRefusal>;

// A transaction that ended without its caller asking for it.
struct EndedTransaction {
    std::uint64_t number = 0;
    CallerId caller;
    TransactionEnd end = TransactionEnd::Aborted;
    // The accepted and unanswered request, if there was one, with its outcome: DidNotRun with TransactionAborted, or
    // Unknown with EndpointUnreachable if it was a commit that had been sent.
    std::optional<RequestId> interrupted;
    OutcomeState outcome = OutcomeState::DidNotRun;
    ErrorCode code = ErrorCode::TransactionAborted;

    bool operator==(const EndedTransaction&) const = default;
};

struct TransactionSettings {
    // Open transactions in all and of one caller.
    std::size_t maxOpen = 256;
    std::size_t maxPerCaller = 64;
    // Statements of one transaction. Their ids are remembered until its end.
    std::size_t maxStatements = 1000;
    // Time between an answer and the caller's next request.
    Duration idleLimit = std::chrono::seconds(5);
    // Time between begin and the send of the commit. A commit that was sent is not interrupted.
    Duration totalLimit = std::chrono::seconds(60);
    // Ended transactions that are remembered, and for how long.
    std::size_t maxClosed = 1024;
    Duration closedRetention = std::chrono::seconds(120);
};

// Read-only view of a transaction.
struct TransactionView {
    TransactionState state = TransactionState::Closed;
    std::optional<TransactionEnd> end;
    ConnectionUse pin;
    std::optional<RequestId> request;
    bool commitSent = false;
    // Earliest time at which tick() ends it; Time::max() if none applies.
    Time deadline = Time::max();
};

// Open transactions of one database at its owner. A transaction has one pinned connection and runs one statement at a
// time. Requests are accepted at arrival, before they wait for a slot, so that waiting does not count as idle.
//
// Example:
//     auto parts = table.begin(caller, pin, random, now); // after the endpoint answered the begin statement
//     auto access = table.startStatement(*parts, caller, requestId, now);
//     ... // run it on std::get<ConnectionUse>(access)
//     table.finishStatement(parts->number, now);
//     table.startCommit(*parts, caller, commitId, now);
//     table.commitSent(parts->number);
//     table.finishCommit(parts->number, OutcomeState::Completed, now);
class TransactionTable {
public:
    TransactionTable(TransactionSettings settings, DatabaseId database, DaemonId owner);

    // Whether begin() would succeed for the caller. To be asked before the begin statement is sent.
    [[nodiscard]] bool mayBegin(const CallerId& caller) const;

    // Adds a transaction whose connection has been pinned. random is a fresh random value. No value if a bound is
    // reached; the pin then stays with the owner, which must release it as dirty. The result goes to
    // TransactionIdCodec::build().
    std::optional<TransactionIdParts> begin(
        const CallerId& caller, const ConnectionUse& pin, std::uint64_t random, Time now);

    // Open to Running.
    TransactionAccess startStatement(
        const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now);

    // Running to Open, when the statement has been answered.
    bool finishStatement(std::uint64_t number, Time now);

    // Running to Open, when the statement was refused before it was sent. The same request may then be sent again.
    bool statementNotSent(std::uint64_t number, Time now);

    // Open to Committing.
    TransactionAccess startCommit(
        const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now);

    // Records that the commit is handed to the socket now. From here on a lost connection means an unknown outcome.
    // Returns false, and the commit must not be sent, if the transaction is not committing any more.
    bool commitSent(std::uint64_t number);

    // Committing to Open, when the commit was refused before it was sent. Returns false if it had been sent.
    bool commitNotSent(std::uint64_t number, Time now);

    // Committing to Closed, when a sent commit has an outcome. Completed and DidNotRun with an intact connection end
    // the use of the connection; Unknown closes it.
    bool finishCommit(std::uint64_t number, OutcomeState outcome, Time now);

    // Ends an open transaction on its caller's wish. It never commits, so the wish is fulfilled at once. Returns a
    // refusal if a request is running or the transaction was or may have been committed; the transaction then goes on.
    // Repeating it is harmless.
    std::optional<TransactionRefusal> rollBack(
        const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now);

    // Ends the transaction of a connection that was closed, for whatever reason. No action follows. No value if no open
    // transaction held it.
    std::optional<EndedTransaction> onConnectionLost(ConnectionId connection, Time now);

    // Ends a transaction, or all, for example because the endpoint is not the primary any more. A commit that was sent
    // is left alone. abort() returns no value in that case and for an unknown or ended transaction.
    std::optional<EndedTransaction> abort(std::uint64_t number, Time now);
    std::vector<EndedTransaction> abortAll(Time now);

    // Ends transactions whose idle or total deadline is reached and forgets old ended ones.
    std::vector<EndedTransaction> tick(Time now);

    // When tick() has something to do next, or Time::max().
    [[nodiscard]] Time nextDue() const;

    // Actions since the last call, in order.
    std::vector<TransactionAction> takeActions();

    [[nodiscard]] std::optional<TransactionView> find(std::uint64_t number) const;
    // Transactions that are not closed.
    [[nodiscard]] std::size_t openCount() const { return this->byConnection.size(); }
    [[nodiscard]] std::size_t closedCount() const { return this->closed.size(); }

private:
    struct Transaction {
        CallerId caller;
        std::uint64_t random = 0;
        ConnectionUse pin;
        TransactionState state = TransactionState::Open;
        std::optional<TransactionEnd> end;
        // The accepted and unanswered request; after the end, the commit's.
        std::optional<RequestId> request;
        bool commitSent = false;
        Time idleSince;
        Time begunAt;
        // When tick() ends it, as listed in deadlines.
        Time due = Time::max();
        // Hashes of the accepted request ids. A collision makes an outcome Unknown that could be DidNotRun.
        std::unordered_set<std::size_t> accepted;
    };

    using Transactions = std::map<std::uint64_t, Transaction>;
    using Found = std::variant<Transactions::iterator, TransactionRefusal>;

    [[nodiscard]] static TransactionRefusal refusalOfClosed(const Transaction& transaction);
    [[nodiscard]] Time dueOf(const Transaction& transaction) const;
    Transactions::iterator findInState(std::uint64_t number, TransactionState state);
    Found findOpen(const TransactionIdParts& id, const CallerId& caller, const RequestId& request);
    TransactionAccess accept(const TransactionIdParts& id, const CallerId& caller, const RequestId& request,
        TransactionState state, Time now);
    bool reopen(Transactions::iterator transaction, bool sent, Time now);
    void enter(Transactions::iterator transaction, TransactionState state);
    // Ends a transaction and forgets the oldest ended one beyond the bound.
    void end(Transactions::iterator transaction, TransactionEnd reason, Time now);
    EndedTransaction endUnasked(Transactions::iterator transaction, TransactionEnd reason, Time now);
    void act(TransactionAction::Kind kind, const Transaction& transaction);
    EndedTransaction abortWith(Transactions::iterator transaction, TransactionEnd reason, Time now);

    TransactionSettings settings;
    DatabaseId database;
    DaemonId owner;
    std::uint64_t lastNumber = 0;
    Transactions transactions;
    std::unordered_map<ConnectionId, std::uint64_t> byConnection;
    std::unordered_map<CallerId, std::size_t> perCaller;
    std::set<std::pair<Time, std::uint64_t>> deadlines;
    // Ended transactions with the time of their end, oldest first.
    std::deque<std::pair<Time, std::uint64_t>> closed;
    std::vector<TransactionAction> actions;
};

} // namespace endivetrestle
