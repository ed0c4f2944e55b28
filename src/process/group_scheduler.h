#pragma once

#include "base/timer_service.h"
#include "connection/endpoint_state.h"
#include "request/arrival_rate.h"
#include "request/position_history.h"
#include "request/scheduled_statement.h"
#include "request/statement_queue.h"
#include "request/statement_runner.h"
#include "request/wait_policy.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace endivetrestle {

// What the scheduler asks of its surroundings.
struct SchedulerHooks {
    // Returns an identifier that no other connection of the process has.
    std::function<ConnectionId()> nextConnectionId;
    // Opens a connection. The outcome comes as onOpened() or onClosed(), never from inside the call.
    std::function<void(ConnectionId, const EndpointRecord&)> open;
    std::function<void(ConnectionId, const EndpointCommand&)> send;
    // Closes a connection. No further input for it follows.
    std::function<void(ConnectionId)> close;
    // Whether this daemon's lease allows the use of primaries at the given time.
    std::function<bool(Time)> leaseValid;
};

// Why the scheduler doubts that the primary can serve.
enum class PrimaryDoubt { None, Refused, Silent, NotPrimary };

// Figures of a scheduler for status pages and metrics.
struct SchedulerFigures {
    std::size_t waiting = 0;
    std::size_t connections = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t busyAnswers = 0;
    std::uint64_t laggingAnswers = 0;
    std::uint64_t hedges = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
};

// Decides which endpoint of one database group runs a statement, on which connection and when. It does no input or
// output: connections are reached through hooks, time comes in with every call.
//
// Rules it keeps:
// - A write, and a read that must see everything, goes to the primary, and only while the lease is valid and the
// primary
//   is not suspended. The acknowledgement of a write is checked against the same conditions once more.
// - A read that may be old names the position that the endpoint's log must contain, so an endpoint that lags refuses
// it.
// - A statement is sent a second time only if the first send is known not to have run, or if it only reads.
// - A connection whose state is unknown is closed.
class GroupScheduler : public StatementRunner {
public:
    GroupScheduler(DatabaseId group, DataCentre local, TimerService& timers, SchedulerHooks hooks, Time startedAt);
    ~GroupScheduler() override;
    GroupScheduler(const GroupScheduler&) = delete;
    GroupScheduler& operator=(const GroupScheduler&) = delete;

    // Sets the registered endpoints of the group. Connections to endpoints that are gone are closed.
    void setEndpoints(const std::vector<EndpointRecord>& records, Time now);
    // Sets how many connections to each endpoint this daemon may hold, and whether one is kept open to each endpoint
    // before it is needed.
    void setConnectionShare(int share, bool keepWarm = true);

    // Declares the primary and its term and ends a suspension.
    void setPrimary(const EndpointId& endpoint, std::uint64_t term, Time now);
    // Stops using the primary. Transactions at it are rolled back; the callback runs as soon as no statement is
    // outstanding there, at the latest after drainLimit. Acknowledgements that arrive later are not passed on.
    void suspendPrimary(Time now, std::function<void()> drained);
    [[nodiscard]] bool isSuspended() const { return this->suspended; }

    void submit(const ExecutionPtr& execution, Time now) override;
    void continueTransaction(ConnectionId connection, const ExecutionPtr& execution, Time now) override;
    void endTransaction(ConnectionId connection, Time now) override;
    void abandon(const ExecutionPtr& execution, Time now) override;
    // Runs a control command on any connection to the endpoint. The callback runs once, within the time-out.
    void control(const EndpointId& endpoint, const EndpointCommand& command, Duration timeout, Time now,
        ControlCallback callback);

    void onOpened(ConnectionId connection, Time now);
    void onAnswer(ConnectionId connection, const EndpointAnswer& answer, Time now);
    // The connection was refused, reset or closed, or sent something that cannot be understood.
    void onClosed(ConnectionId connection, Time now);
    // The endpoint refused the connection because it has too many.
    void onFull(ConnectionId connection, Time now);

    // Whether there is no periodic work: nothing waits, no connection is open or wanted, and none failed to open.
    [[nodiscard]] bool isDormant() const;
    // Periodic work: connections kept warm, silent endpoints, second sends of reads.
    void tick(Time now);

    // Whether and why the primary seems unable to serve.
    [[nodiscard]] PrimaryDoubt primaryDoubt() const;
    // Time of the last answer of an endpoint; Time() if it never answered.
    [[nodiscard]] Time lastAnswerFrom(const EndpointId& endpoint) const;
    [[nodiscard]] const PositionHistory& positions() const { return this->history; }
    [[nodiscard]] SchedulerFigures figures() const;
    [[nodiscard]] const std::optional<EndpointId>& primary() const { return this->primaryId; }
    [[nodiscard]] bool primaryUsable(Time now) const;
    // Whether only the primary can run the statement, be it for its kind or because no position is known that a
    // replica would have to hold.
    [[nodiscard]] bool needsPrimary(const ScheduledStatement& work) const
    {
        return this->requirementOf(work).needsPrimary;
    }

    // Sends of one statement, the first included.
    static constexpr int maxAttempts = 4;
    // Longest wait for outstanding statements after a suspension.
    static constexpr Duration drainLimit = std::chrono::milliseconds(150);

private:
    struct Target {
        EndpointState* endpoint = nullptr;
        bool asPrimary = false;
        std::optional<Position> minimum;
    };
    struct Requirement {
        bool needsPrimary = false;
        std::optional<Position> minimum;
    };

    // group_scheduler_choice.cc
    [[nodiscard]] Requirement requirementOf(const ScheduledStatement& work) const;
    [[nodiscard]] std::optional<Target> choose(const Execution& execution, Time now);
    [[nodiscard]] std::optional<Target> choosePrimary(const Execution& execution, Time now);
    [[nodiscard]] bool mayHold(const EndpointState& endpoint, const Position& minimum, Time now) const;
    [[nodiscard]] Duration positionAge(const Position& position, Time now) const;
    [[nodiscard]] int connectionLimit(const EndpointState& endpoint, Time now) const;
    [[nodiscard]] bool canOpen(const EndpointState& endpoint, Time now) const;
    [[nodiscard]] bool hasRoomForTransaction(const EndpointState& endpoint, Time now) const;
    [[nodiscard]] Admission admissionOf(const Execution& execution, Time now) const;
    bool tryStart(const ExecutionPtr& execution, Time now);
    void openConnection(EndpointState& endpoint, Time now);
    void dispatch(Time now);

    // group_scheduler_answers.cc
    void start(EndpointConnection& connection, const Target& target, const ExecutionPtr& execution, Time now);
    void sendNext(EndpointConnection& connection, Time now);
    void onCommandAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    void onStatementAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    bool prepareAgain(EndpointConnection& connection, Time now);
    void learnPosition(
        EndpointState& endpoint, const EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    [[nodiscard]] bool mayAcknowledge(const EndpointConnection& connection, Time now) const;
    void afterRefusal(const ExecutionPtr& execution, const EndpointAnswer& answer, Time now);
    void finish(const ExecutionPtr& execution, const StatementResult& result);
    void refuse(const ExecutionPtr& execution, ReplyCode code, const std::string& text, const std::string& reason);
    bool startControl(EndpointState& endpoint, EndpointConnection& connection, Time now);

    // group_scheduler_endings.cc
    void release(EndpointConnection& connection, Time now);
    void closeConnection(EndpointConnection& connection);
    void eraseConnection(ConnectionId connection);
    void failExecution(EndpointConnection& connection, bool timedOut, const std::string& reason);
    void onTimer(const ExecutionPtr& execution, Time now);
    bool waitOn(const ExecutionPtr& execution, Time now);
    void armTimer(const ExecutionPtr& execution, Time at);
    void checkDrained(bool force);

    // group_scheduler_upkeep.cc
    void keepWarm(EndpointState& endpoint, Time now);
    void checkSilence(EndpointState& endpoint, Time now);
    void hedgeReads(EndpointState& endpoint, Time now);

    EndpointConnection* findConnection(ConnectionId id);
    EndpointState* findEndpoint(const EndpointId& id);
    [[nodiscard]] const EndpointState* findEndpoint(const EndpointId& id) const;

    DatabaseId group;
    DataCentre local;
    TimerService& timers;
    SchedulerHooks hooks;
    std::map<EndpointId, EndpointState> endpoints;
    // Endpoint of each connection.
    std::map<ConnectionId, EndpointId> connectionOwners;
    StatementQueue queue;
    // All statements, and those that only the primary can run.
    ArrivalRate arrivals;
    ArrivalRate primaryArrivals;
    // Time before which no statement is admitted as late.
    Time lateNotBefore;
    PositionHistory history;
    std::optional<EndpointId> primaryId;
    std::uint64_t primaryTerm = 0;
    bool suspended = false;
    // Whether the suspension has been confirmed, so that nothing may be acknowledged any more.
    bool suspensionConfirmed = false;
    std::function<void()> onDrained;
    std::uint64_t drainTimer = 0;
    Time startedAt;
    // Start of the present suspension.
    Time suspendedAt;
    bool primaryDenied = false;
    int connectionShare = 4;
    // Connections to each endpoint that are opened before they are needed.
    int warmConnections = 0;
    SchedulerFigures counts;
    // Whether dispatch() is running; a nested call asks for another pass instead.
    bool dispatching = false;
    bool dispatchAgain = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace endivetrestle
