#pragma once

#include "base/timer_service.h"
#include "request/forward_message.h"
#include "request/statement_runner.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endivetrestle {

// What a forwarder asks of its surroundings.
struct ForwarderHooks {
    // Daemons that may run the statement, the preferred one first. Empty if this daemon runs it itself.
    std::function<std::vector<DaemonId>(const DatabaseId&, const ScheduledStatement&)> owners;
    // Sends a message to a daemon. False if there is no link to it now; nothing was sent then.
    std::function<bool(const DaemonId&, const ForwardMessage&)> send;
    // Returns an identifier that no other connection or statement of the process has.
    std::function<std::uint64_t()> nextId;
};

// Figures of a forwarder for metrics.
struct ForwarderFigures {
    std::uint64_t forwarded = 0;
    // Statements that an owner did not take.
    std::uint64_t declined = 0;
    // Statements that were under way on a link that was lost.
    std::uint64_t lost = 0;
    std::size_t underWay = 0;
};

// Runs the statements of one group at a daemon that owns the group's endpoint connections, or here if this daemon owns
// them or no owner can be reached. An endpoint offers few connections, so that not every daemon of a large fleet can
// hold some.
//
// A statement whose owner is lost is run elsewhere if it only reads outside a transaction or was not sent. Otherwise
// its transaction is reported as rolled back, and a write or commit that may have run as in doubt.
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

    // An owner reported how a statement ended. Returns false if the statement is not one of this group.
    bool onOutcome(const DaemonId& owner, const ForwardedOutcome& outcome, Time now);
    // The link to an owner is lost. If it was never established, nothing that was sent on it has run.
    void onLinkLost(const DaemonId& owner, bool established, Time now);

    [[nodiscard]] ForwarderFigures figures() const;

    // Owners to which a statement is offered before this daemon runs it itself.
    static constexpr std::size_t maxOwnersTried = 2;
    // Time beyond a statement's own that the owner's answer may be under way.
    static constexpr Duration answerSlack = std::chrono::milliseconds(30);

private:
    // A transaction that is open at an owner.
    struct RemoteTransaction {
        DaemonId owner;
        ConnectionId connection = 0;
        bool wrote = false;
    };
    struct Pending {
        ExecutionPtr execution;
        DaemonId owner;
        // Transaction in which the statement runs, by the identifier that the session knows.
        std::optional<ConnectionId> transaction;
        std::vector<DaemonId> tried;
        std::uint64_t timer = 0;
    };

    void offer(const ExecutionPtr& execution, std::vector<DaemonId> tried, Time now);
    bool sendTo(const DaemonId& owner, Pending pending, std::optional<ConnectionId> connection);
    void onTimer(std::uint64_t number, Time now);
    std::optional<Pending> take(std::uint64_t number);
    void deliver(const Pending& pending, const ForwardedOutcome& outcome);
    void endLost(const Pending& pending, const std::string& reason, bool timedOut);
    [[nodiscard]] bool mayHaveChanged(const Pending& pending) const;

    DatabaseId group;
    TimerService& timers;
    StatementRunner& local;
    ForwarderHooks hooks;
    std::map<std::uint64_t, Pending> pending;
    std::map<ConnectionId, RemoteTransaction> transactions;
    ForwarderFigures counts;
};

} // namespace endivetrestle
