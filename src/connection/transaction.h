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
    // Waiting for the caller's next request.
    Open,
    // A statement was accepted; it is queued or runs.
    Running,
    // A commit was accepted; it is queued or runs.
    Committing,
    // Ended. Kept for a limited time so that a late request gets a precise error.
    Closed,
};

enum class TransactionEnd {
    Committed,
    // The commit was sent and its outcome is unknown.
    CommitUnknown,
    RolledBack,
    // The caller sent nothing until the idle deadline.
    IdleDeadline,
    TotalDeadline,
    ConnectionLost,
    // Ended by abort() or abortAll().
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
    // UnknownTransaction: the transaction is unknown, was forgotten, or was or may have been committed.
    // TransactionAborted: it ended without a commit or its deadline has passed. BadRequest: another of its requests is
    // running, it has reached the maximum number of statements, or it has accepted the request id before.
    ErrorCode code = ErrorCode::UnknownTransaction;
    // DidNotRun, or Unknown if an earlier copy of the same request may have run. With UnknownTransaction the outcome
    // can then be resolved by request id. With BadRequest it must not be resolved before the transaction has ended,
    // because the endpoint records the request ids of a transaction only with its commit.
    OutcomeState outcome = OutcomeState::DidNotRun;
    std::string detail;

    bool operator==(const TransactionRefusal&) const = default;
};

// The pin of the transaction's connection, or a refusal.
using TransactionAccess = std::variant<ConnectionUse, TransactionRefusal>;

// A transaction that ended without a request of its caller.
struct EndedTransaction {
    std::uint64_t number = 0;
    CallerId caller;
    TransactionEnd end = TransactionEnd::Aborted;
    // The accepted and unanswered request, if there was one, with its outcome: DidNotRun with TransactionAborted, or
    // Unknown with EndpointUnreachable if it was a commit that had been sent.
    std::optional<RequestId> interruptedRequest;
    OutcomeState outcome = OutcomeState::DidNotRun;
    ErrorCode code = ErrorCode::TransactionAborted;

    bool operator==(const EndedTransaction&) const = default;
};

struct TransactionSettings {
    // Maximum number of open transactions in total and per caller.
    std::size_t maxOpen = 256;
    std::size_t maxPerCaller = 64;
    // Maximum number of statements in one transaction. Their ids are stored until it ends.
    std::size_t maxStatements = 1000;
    // Maximum time between an answer and the caller's next request.
    Duration idleLimit = std::chrono::seconds(5);
    // Maximum time from the begin until the commit is sent. A commit that was sent is not interrupted.
    Duration totalLimit = std::chrono::seconds(60);
    // Maximum number of ended transactions that are kept, and for how long.
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

// Transactions of one database at its owner. A transaction has one pinned connection and runs one statement at a time.
// Requests are accepted on arrival, before they wait for a slot, so that the wait does not count as idle time.
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

    // Whether begin() would succeed for the caller. Must be checked before the begin statement is sent.
    [[nodiscard]] bool mayBegin(const CallerId& caller) const;

    // Adds a transaction on a pinned connection. random is a fresh random value. Returns the parts of the transaction
    // id for TransactionIdCodec::build(), or no value if a limit is reached or the connection already has a
    // transaction. The owner must then release the pin as dirty.
    std::optional<TransactionIdParts> begin(
        const CallerId& caller, const ConnectionUse& pin, std::uint64_t random, Time now);

    // Open to Running.
    TransactionAccess startStatement(
        const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now);

    // Running to Open, when the statement has been answered.
    bool finishStatement(std::uint64_t number, Time now);

    // Running to Open, when the statement was refused before it was sent. The same request id is accepted again.
    bool statementNotSent(std::uint64_t number, Time now);

    // Open to Committing.
    TransactionAccess startCommit(
        const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now);

    // Called immediately before the commit is written to the socket. From then on a lost connection means an unknown
    // outcome. Returns false if the transaction is no longer committing; the commit must then not be sent.
    bool commitSent(std::uint64_t number);

    // Committing to Open, when the commit was refused before it was sent. Returns false if it had been sent.
    bool commitNotSent(std::uint64_t number, Time now);

    // Committing to Closed, when a sent commit has an outcome. Completed and DidNotRun release the connection; Unknown
    // closes it.
    bool finishCommit(std::uint64_t number, OutcomeState outcome, Time now);

    // Ends an open transaction at its caller's request. The transaction can no longer commit, so the rollback is
    // complete before the endpoint has run it. Returns a refusal, and changes nothing, if a request is running or the
    // transaction was or may have been committed. Idempotent.
    std::optional<TransactionRefusal> rollBack(
        const TransactionIdParts& id, const CallerId& caller, const RequestId& request, Time now);

    // Ends the transaction of a connection that was closed. Adds no action. No value if the connection had no open
    // transaction.
    std::optional<EndedTransaction> onConnectionLost(PoolConnectionId connection, Time now);

    // Ends one or all transactions, for example because the endpoint is no longer the primary. A transaction whose
    // commit was sent is not ended. abort() returns no value in that case and for an unknown or ended transaction.
    std::optional<EndedTransaction> abort(std::uint64_t number, Time now);
    std::vector<EndedTransaction> abortAll(Time now);

    // Ends transactions whose idle or total deadline has passed and removes ended ones after closedRetention.
    std::vector<EndedTransaction> tick(Time now);

    // Time at which tick() next has something to do, or Time::max().
    [[nodiscard]] Time nextDue() const;

    // Actions since the last call, in order.
    std::vector<TransactionAction> takeActions();

    [[nodiscard]] std::optional<TransactionView> find(std::uint64_t number) const;
    // Transactions that are not closed.
    [[nodiscard]] std::size_t openCount() const { return this->openByConnection.size(); }
    [[nodiscard]] std::size_t closedCount() const { return this->closedTransactions.size(); }

private:
    struct Transaction {
        CallerId caller;
        std::uint64_t random = 0;
        ConnectionUse pin;
        TransactionState state = TransactionState::Open;
        std::optional<TransactionEnd> end;
        // The accepted and unanswered request; after a commit, the id of the commit request.
        std::optional<RequestId> request;
        bool commitSent = false;
        Time idleSince;
        Time begunAt;
        // Time at which tick() ends the transaction, as listed in TransactionTable::deadlines.
        Time deadline = Time::max();
        // Hashes of the accepted request ids. A collision only turns an outcome of DidNotRun into Unknown.
        std::unordered_set<std::size_t> acceptedRequests;
    };

    using Transactions = std::map<std::uint64_t, Transaction>;
    using FindOpenResult = std::variant<Transactions::iterator, TransactionRefusal>;

    [[nodiscard]] static TransactionRefusal refusalForClosed(const Transaction& transaction);
    [[nodiscard]] Time deadlineOf(const Transaction& transaction) const;
    Transactions::iterator findInState(std::uint64_t number, TransactionState state);
    FindOpenResult findOpen(const TransactionIdParts& id, const CallerId& caller, const RequestId& request);
    TransactionAccess accept(const TransactionIdParts& id, const CallerId& caller, const RequestId& request,
        TransactionState state, Time now);
    bool reopen(Transactions::iterator transaction, bool sent, Time now);
    void changeState(Transactions::iterator transaction, TransactionState state);
    // Ends a transaction and removes the oldest ended one if there are more than maxClosed.
    void end(Transactions::iterator transaction, TransactionEnd reason, Time now);
    EndedTransaction endWithoutRequest(Transactions::iterator transaction, TransactionEnd reason, Time now);
    void addAction(TransactionAction::Kind kind, const Transaction& transaction);
    EndedTransaction abortWith(Transactions::iterator transaction, TransactionEnd reason, Time now);

    TransactionSettings settings;
    DatabaseId database;
    DaemonId owner;
    std::uint64_t lastNumber = 0;
    Transactions transactions;
    std::unordered_map<PoolConnectionId, std::uint64_t> openByConnection;
    std::unordered_map<CallerId, std::size_t> openPerCaller;
    std::set<std::pair<Time, std::uint64_t>> deadlines;
    // Ended transactions with the time of their end, oldest first.
    std::deque<std::pair<Time, std::uint64_t>> closedTransactions;
    std::vector<TransactionAction> actions;
};

} // namespace endivetrestle
