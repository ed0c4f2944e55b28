#pragma once

#include "base/timer_service.h"
#include "request/forward_message.h"
#include "request/statement_runner.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endivetrestle {

// Statement of a workspace whose result is observed.
struct ObservedStatement {
    WorkspaceId workspace;
    Duration objective {};
    Time submittedAt;
};

// Callbacks through which a forwarder reaches other daemons.
struct ForwarderHooks {
    // Returns the daemons that may run the statement, in order of preference. Empty if this daemon runs it itself.
    std::function<std::vector<DaemonId>(const DatabaseId&, const ScheduledStatement&)> owners;
    // Sends a message to a daemon. Returns false, without sending anything, if there is no link to it at present.
    std::function<bool(const DaemonId&, const ForwardMessage&)> send;
    // Returns an identifier that is unique among the connections and statements of the process.
    std::function<std::uint64_t()> nextId;
    // Reports the result of a statement of a workspace, wherever it ran. May be null.
    std::function<void(const ObservedStatement&, const StatementResult&)> observe {};
    // Whether the group cannot be served from here at present. May be null.
    std::function<bool()> unreachable;
    // Whether paths to the group are silent and none has answered since. May be null.
    std::function<bool()> doubtful;
    // Whether an owner has left a test of its link unanswered. May be null.
    std::function<bool(const DaemonId&)> silent;
};

// Counters and gauges of a forwarder, exported as metrics.
struct ForwarderStatistics {
    std::uint64_t forwarded = 0;
    // Statements that an owner refused to take over.
    std::uint64_t declined = 0;
    // Statements that failed because their link was lost.
    std::uint64_t lost = 0;
    // Reads that were moved away from a silent owner.
    std::uint64_t movedReads = 0;
    // Statements that were refused because the group cannot be served from here.
    std::uint64_t refusedUnreachable = 0;
    // Statements that wait for the answer of an owner.
    std::size_t inFlight = 0;
};

// Forwards the statements of one group to a daemon that owns connections to the group's endpoints. Runs them locally if
// this daemon is an owner or no owner can be reached. Forwarding is needed because an endpoint accepts too few
// connections for every daemon of a large fleet.
//
// If the link to the owner is lost, a statement is run elsewhere if it was not sent or is a read outside a transaction.
// Otherwise a write or commit that may have run is reported as in doubt, and any other statement as aborted.
//
// While the group cannot be served from here, statements outside transactions are refused at once, so that the client
// can go to another daemon within its deadline.
class StatementForwarder : public StatementRunner {
public:
    StatementForwarder(DatabaseId group, TimerService& timers, StatementRunner& local, ForwarderHooks hooks);
    ~StatementForwarder() override;
    StatementForwarder(const StatementForwarder&) = delete;
    StatementForwarder& operator=(const StatementForwarder&) = delete;

    void submit(const ExecutionPtr& execution, Time now) override;
    void continueTransaction(ConnectionId connection, const ExecutionPtr& execution, Time now) override;
    void endTransaction(ConnectionId connection, Time now) override;
    void abandon(const ExecutionPtr& execution, Time now) override;
    void expire(const ExecutionPtr& execution, Time now) override;

    // Handles the result of a forwarded statement. Returns false if the statement is not pending here.
    bool onOutcome(const DaemonId& owner, const ForwardedOutcome& outcome, Time now);
    // Handles the loss of the link to an owner. If the link was never established, no statement sent on it has run.
    void onLinkLost(const DaemonId& owner, bool established, Time now);

    // Handles an owner that does not answer although its link is not lost: reads outside transactions run elsewhere, or
    // are refused if it is in doubt whether they can.
    void onOwnerSilent(const DaemonId& owner, Time now);

    [[nodiscard]] ForwarderStatistics statistics() const;

    // Number of owners that are tried before this daemon runs a statement itself. The hook `owners` limits it for a
    // statement of a workspace.
    static constexpr std::size_t maxOwnersTried = 2;
    // Additional time, beyond the expiry of a statement, for the owner's answer to arrive.
    static constexpr Duration answerSlack = std::chrono::milliseconds(30);

private:
    // A transaction that is open at an owner, which has numbered it.
    struct RemoteTransaction {
        DaemonId owner;
        std::uint64_t number = 0;
        bool wrote = false;
    };
    // A statement that was sent to an owner and is not answered yet.
    struct Pending {
        ExecutionPtr execution;
        DaemonId owner;
        // Transaction of the statement, as the identifier that the session uses for its connection.
        std::optional<ConnectionId> transaction;
        std::vector<DaemonId> tried;
        std::uint64_t timer = 0;
    };

    void observeResult(Execution& execution, Time now) const;
    void refuseUnreachable(const ExecutionPtr& execution);
    void forwardOrRunLocally(const ExecutionPtr& execution, std::vector<DaemonId> tried, Time now);
    bool sendTo(const DaemonId& owner, Pending pending, std::optional<ConnectionId> connection);
    void onTimer(std::uint64_t number, Time now);
    std::map<std::uint64_t, Pending>::iterator findPending(const ExecutionPtr& execution);
    std::optional<Pending> takePending(std::uint64_t number);
    void deliverOutcome(const Pending& pending, const ForwardedOutcome& outcome);
    void failUnanswered(const Pending& pending, const std::string& reason, bool timedOut);
    [[nodiscard]] bool mayHaveChangedData(const Pending& pending) const;

    DatabaseId group;
    TimerService& timers;
    StatementRunner& local;
    ForwarderHooks hooks;
    std::map<std::uint64_t, Pending> pending;
    std::map<ConnectionId, RemoteTransaction> transactions;
    ForwarderStatistics counts;
};

} // namespace endivetrestle
