#pragma once

#include "base/log_limiter.h"
#include "base/timer_service.h"
#include "connection/connection_eviction.h"
#include "connection/endpoint_state.h"
#include "request/arrival_rate.h"
#include "request/position_history.h"
#include "request/scheduled_statement.h"
#include "request/statement_queue.h"
#include "request/statement_ranking.h"
#include "request/statement_runner.h"
#include "request/wait_policy.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace endivetrestle {

// Callbacks through which the scheduler reaches endpoint connections and the lease of this daemon.
struct SchedulerHooks {
    // Returns an identifier that no other connection of the process has.
    std::function<ConnectionId()> nextConnectionId;
    // Opens a connection in the name of a workspace, or of none. The outcome is reported later through onOpened(),
    // onClosed() or onConnectionLimit(), never from inside the call.
    std::function<void(ConnectionId, const EndpointRecord&, const WorkspaceId&)> open;
    std::function<void(ConnectionId, const EndpointCommand&)> send;
    // Closes a connection. No further events are reported for it.
    std::function<void(ConnectionId)> close;
    // Whether this daemon's lease allows the use of primaries at the given time.
    std::function<bool(Time)> leaseValid;
    // Whether all endpoints of the group are recorded as holders of commits, so that a commit may be acknowledged. May
    // be null, which means that they are.
    std::function<bool()> holdersRecorded;
};

// Why the scheduler suspects that the primary cannot serve statements.
enum class PrimarySuspicion { None, Refused, Silent, NotPrimary };

// Counters and gauges of a scheduler, exported as metrics.
struct SchedulerStatistics {
    std::size_t waiting = 0;
    std::size_t connections = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t busyAnswers = 0;
    std::uint64_t laggingAnswers = 0;
    std::uint64_t hedgedReads = 0;
    // Connections that were closed because it is not known whether a command changed their session state.
    std::uint64_t unknownStates = 0;
    // Answers that repeat an earlier one and were dropped.
    std::uint64_t repeatedAnswers = 0;
    // Answers that may repeat an earlier one.
    std::uint64_t uncertainAnswers = 0;
    // Status commands that were sent to prove session values.
    std::uint64_t answerProofs = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    // Statements that were refused because this daemon reaches no endpoint.
    std::uint64_t refusedUnreachable = 0;
    // Connections that were opened for a workspace.
    std::uint64_t workspaceConnectionsOpened = 0;
    // Idle connections that were closed because another workspace needed one.
    std::uint64_t evictions = 0;
    // Statements that waited for a connection of their workspace.
    std::uint64_t connectionWaits = 0;
    // Commits whose acknowledgement waits, or has waited, until all endpoints of the group are recorded.
    std::size_t heldCommits = 0;
    std::uint64_t commitsHeld = 0;
};

// Decides which endpoint of one database group runs a statement, on which connection and when. The class performs no
// I/O: it reaches connections through SchedulerHooks, and the caller passes the current time to every method.
//
// Invariants:
// - Writes, and reads that must see every acknowledged write, are sent only to the primary, while the lease is valid
//   and the primary is not suspended. The lease and the suspension are checked again before a write is acknowledged.
// - A commit is acknowledged only while all endpoints of the group are recorded as holders (holdersRecorded).
// - A read with a staleness bound carries the position that the endpoint's log must contain, so that an endpoint that
//   lags refuses it.
// - A statement runs only on a connection of exactly its workspace.
// - A statement is sent again only if it is known not to have run, or if it only reads.
// - A connection whose state is unknown is closed: settle() is the only way from a statement or command back to Idle.
// - A statement ends only with an answer that is proven to be its own, and so does a command that begins or ends a
//   transaction. If the answer may repeat an earlier one, its outcome is unknown and the connection is closed. Session
//   commands may be proven later, but before a statement relies on them at an endpoint that repeats answers.
class GroupScheduler : public StatementRunner {
public:
    GroupScheduler(
        DatabaseId group, DataCentre localDataCentre, TimerService& timers, SchedulerHooks hooks, Time startedAt);
    ~GroupScheduler() override;
    GroupScheduler(const GroupScheduler&) = delete;
    GroupScheduler& operator=(const GroupScheduler&) = delete;

    // Sets the registered endpoints of the group. Connections to endpoints that were removed, restarted or moved to
    // another address are closed.
    void setEndpoints(const std::vector<EndpointRecord>& records, Time now);
    // Sets how many connections to each endpoint this daemon may hold, and whether it keeps one connection to each
    // endpoint open in advance.
    void setConnectionShare(int share, bool keepWarm = true);
    // Sets whether the configuration declares workspaces. If it does, no connection is opened in advance, because it
    // would belong to no workspace.
    void setWorkspacesInUse(bool inUse) { this->workspacesInUse = inUse; }

    // Sets the primary and its term, and ends a suspension.
    void setPrimary(const EndpointId& endpoint, std::uint64_t term, Time now);
    // Stops sending statements to the primary and rolls back its open read-write transactions. The callback runs once
    // no statement that may change data is outstanding at the primary, but after drainTimeout at the latest. Writes
    // that the endpoint acknowledges after that are reported as in doubt.
    void suspendPrimary(Time now, std::function<void()> drained);
    [[nodiscard]] bool isSuspended() const { return this->suspended; }

    void submit(const ExecutionPtr& execution, Time now) override;
    void continueTransaction(ConnectionId connection, const ExecutionPtr& execution, Time now) override;
    void endTransaction(ConnectionId connection, Time now) override;
    void abandon(const ExecutionPtr& execution, Time now) override;
    void expire(const ExecutionPtr& execution, Time now) override;
    // Runs a control command on any connection to the endpoint. The callback runs once, within the timeout; it receives
    // a null pointer if there was no answer.
    void runControlCommand(const EndpointId& endpoint, const EndpointCommand& command, Duration timeout, Time now,
        ControlCallback callback);

    // The connection is open. `position` is that of the endpoint's log when it answered the start of the session.
    void onOpened(ConnectionId connection, const std::optional<Position>& position, Time now);
    void onAnswer(ConnectionId connection, const EndpointAnswer& answer, Time now);
    // The connection was refused, reset or closed, or received data that could not be parsed.
    void onClosed(ConnectionId connection, Time now);
    // The endpoint refused the connection because its connection limit is reached.
    void onConnectionLimit(ConnectionId connection, Time now);

    // Whether tick() has nothing to do: no statement is queued, no connection is open or kept open in advance, and no
    // endpoint has failed attempts to open a connection.
    [[nodiscard]] bool isIdle() const;
    // Periodic work: opens and closes connections, detects silent endpoints and hedges slow reads.
    void tick(Time now);

    // Refuses the waiting statements that were never sent to an endpoint, because this daemon reaches none.
    void refuseUnsent();
    // Opens a connection to test whether the endpoint is reached, unless one is being opened. It may exceed the
    // connection share, and is closed later if it is not needed. Returns whether one is being opened now.
    bool openTestConnection(const EndpointId& endpoint, Time now);
    [[nodiscard]] std::vector<EndpointId> endpointIds() const;
    // Endpoints that owe the answer to a statement or command.
    [[nodiscard]] std::vector<EndpointId> awaitedEndpoints() const;
    // Endpoint of a connection; empty if the connection is unknown.
    [[nodiscard]] EndpointId endpointOf(ConnectionId connection) const;

    // Whether this daemon cannot run the statement at present although another daemon may: only the primary can run it,
    // and this daemon has no lease, or no connection because the primary accepts no more. Both happen to daemons that
    // restart together: the store serves some of them earlier, and the endpoints count lost connections for seconds.
    [[nodiscard]] bool lacksAccessToPrimary(const ScheduledStatement& work, Time now) const;
    // Why the primary is suspected to be unable to serve statements; None if it is not.
    [[nodiscard]] PrimarySuspicion primarySuspicion() const;
    // Time of the last answer of an endpoint, or the time at which it was added if it has not answered yet. Time() if
    // the endpoint is unknown.
    [[nodiscard]] Time lastAnswerFrom(const EndpointId& endpoint) const;
    [[nodiscard]] const PositionHistory& positions() const { return this->history; }
    [[nodiscard]] SchedulerStatistics statistics() const;
    [[nodiscard]] const std::optional<EndpointId>& primary() const { return this->primaryId; }
    [[nodiscard]] bool primaryUsable(Time now) const;
    // Whether only the primary can run the statement, either because of its kind or because the position that a replica
    // must have reached is not known.
    [[nodiscard]] bool needsPrimary(const ScheduledStatement& work) const
    {
        return this->requirementOf(work).needsPrimary;
    }

    // Maximum number of times that a statement is sent, including the first.
    static constexpr int maxAttempts = 4;
    // Limit of simultaneous attempts to open a connection to one endpoint. Each attempt occupies a slot of the
    // endpoint.
    static constexpr int maxConcurrentOpens = 2;
    // Maximum time that a suspension waits for outstanding statements.
    static constexpr Duration drainTimeout = std::chrono::milliseconds(150);

private:
    // Endpoint chosen for a statement.
    struct Target {
        EndpointState* endpoint = nullptr;
        bool asPrimary = false;
        // Position that the endpoint's log must contain; not set for the primary.
        std::optional<Position> minimumPosition;
    };
    // What an endpoint must fulfil to run a statement.
    struct Requirement {
        bool needsPrimary = false;
        // Position that a replica's log must contain.
        std::optional<Position> minimumPosition;
    };

    // A commit that an endpoint has acknowledged, and that this daemon may not acknowledge yet.
    struct HeldCommit {
        ExecutionPtr execution;
        StatementResult result;
        // Term of the primary when the statement or its transaction was started.
        std::uint64_t term = 0;
    };

    // What a client is told whose write is refused because the endpoints are not recorded.
    static constexpr const char* notRecordedText = "the endpoints of the database are not recorded at present";

    // How a statement gets a connection to an endpoint.
    enum class ConnectionSource { None, Idle, Open, Evict };

    // group_scheduler_workspaces.cc
    [[nodiscard]] bool sharesConnections() const { return this->workspacesInUse || this->workspaceSeen; }
    [[nodiscard]] int warmConnections() const { return this->keepWarm && !this->workspacesInUse ? 1 : 0; }
    [[nodiscard]] ConnectionSource sourceOf(EndpointState& endpoint, const WorkspaceId& workspace, Time now) const;
    [[nodiscard]] EndpointConnection* evictionCandidate(EndpointState& endpoint, Time now) const;
    [[nodiscard]] std::size_t opensInProgress(
        const EndpointState& endpoint, const WorkspaceId& workspace, Time now) const;
    [[nodiscard]] static std::size_t freeSoon(const EndpointState& endpoint, const WorkspaceId& workspace, Time now);
    [[nodiscard]] bool primaryHasSlot(Time now) const;
    void openFor(const Execution& execution, EndpointState& endpoint, Time now);
    void evict(EndpointConnection& connection, const WorkspaceId& beneficiary, Time now);
    void pauseLateAdmission(const WorkspaceId& workspace, Time now);
    void chargeStart(EndpointConnection& connection, const Execution& execution, Duration expected, Time now);
    void chargeEnd(const EndpointConnection& connection, const Execution& execution, Time now);
    void logRefusal(const Execution& execution, Time now);
    void noteConnectionWait(Execution& execution);
    void dispatchLater(Time at);
    void closeUnneededConnections(EndpointState& endpoint, Time now);

    // group_scheduler_dispatch.cc
    [[nodiscard]] Requirement requirementOf(const ScheduledStatement& work) const;
    [[nodiscard]] std::optional<Target> chooseEndpoint(const Execution& execution, Time now);
    [[nodiscard]] std::optional<Target> choosePrimary(const Execution& execution, Time now);
    [[nodiscard]] bool mayHaveApplied(const EndpointState& endpoint, const Position& minimum, Time now) const;
    [[nodiscard]] Duration positionAge(const Position& position, Time now) const;
    [[nodiscard]] int connectionLimit(const EndpointState& endpoint, Time now) const;
    [[nodiscard]] bool canOpen(const EndpointState& endpoint, Time now) const;
    [[nodiscard]] bool hasRoomForTransaction(const EndpointState& endpoint, Time now) const;
    [[nodiscard]] AdmissionDecision admissionOf(const Execution& execution, Time now) const;
    StartResult tryStart(const ExecutionPtr& execution, Time now);
    EndpointConnection& openConnection(EndpointState& endpoint, const WorkspaceId& workspace, Time now);
    void dispatch(Time now);

    // group_scheduler_execution.cc and group_scheduler_answers.cc
    void start(EndpointConnection& connection, const Target& target, const ExecutionPtr& execution, Time now);
    [[nodiscard]] bool needsProof(const EndpointConnection& connection, Time now) const;
    void sendNext(EndpointConnection& connection, Time now);
    MatchedAnswer matchAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    [[nodiscard]] static bool canProveLater(const EndpointCommand& command, const EndpointAnswer& answer);
    void onUncertainAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    void holdError(EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    void releaseError(EndpointConnection& connection, Time now);
    void moveControlTask(EndpointConnection& connection, Time now);
    void onControlAnswer(EndpointConnection& connection, const ProvenAnswer& proven, Time now);
    void onCommandAnswer(EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    void onStatementAnswer(EndpointConnection& connection, const ProvenAnswer& proven, Time now);
    bool prepareAgain(EndpointConnection& connection, Time now);
    void recordPosition(EndpointState& endpoint, const EndpointConnection& connection,
        const std::optional<Position>& position, Time now);
    [[nodiscard]] bool isPrimarySinceStart(const EndpointId& endpoint, std::uint64_t term) const;
    [[nodiscard]] bool mayAcknowledge(const EndpointId& endpoint, std::uint64_t term, Time now) const;
    void onWrongTransaction(EndpointConnection& connection, Time now);
    void noteRefusal(const EndpointConnection& connection, const EndpointAnswer& answer, Time now);
    void requeueOrFail(const ExecutionPtr& execution, const EndpointAnswer& answer, Time now);
    void finish(const ExecutionPtr& execution, const StatementResult& result);
    void refuse(const ExecutionPtr& execution, ReplyCode code, const std::string& text, const std::string& reason);
    bool startControlTask(EndpointState& endpoint, EndpointConnection& connection, Time now);

    // group_scheduler_holding.cc
    [[nodiscard]] bool mustHold() const { return this->hooks.holdersRecorded && !this->hooks.holdersRecorded(); }
    [[nodiscard]] bool recordingIsOverdue(Time now);
    void holdCommit(const ExecutionPtr& execution, StatementResult result, std::uint64_t term, Time now);
    void releaseCommits(Time now);
    void doubtHeldCommits();
    void doubt(const ExecutionPtr& execution, const std::string& text, const std::string& reason);
    bool onHeldTimer(const ExecutionPtr& execution, Time now);

    // group_scheduler_release.cc
    void settle(EndpointConnection& connection, SessionPhase phase, Time now);
    void release(EndpointConnection& connection, Time now);
    void closeConnection(EndpointConnection& connection);
    void eraseConnection(ConnectionId connection);
    void failExecution(EndpointConnection& connection, bool timedOut, const std::string& reason);
    void onTimer(const ExecutionPtr& execution, Time now);
    bool keepWaiting(const ExecutionPtr& execution, Time now);
    void enqueue(const ExecutionPtr& execution);
    void armTimer(const ExecutionPtr& execution, Time at);
    void checkDrained(bool force);

    // group_scheduler_maintenance.cc
    void maintainConnections(EndpointState& endpoint, Time now);
    void checkSilence(EndpointState& endpoint, Time now);
    void hedgeReads(EndpointState& endpoint, Time now);

    EndpointConnection* findConnection(ConnectionId id);
    EndpointState* findEndpoint(const EndpointId& id);
    [[nodiscard]] const EndpointState* findEndpoint(const EndpointId& id) const;

    DatabaseId group;
    DataCentre localDataCentre;
    TimerService& timers;
    SchedulerHooks hooks;
    std::map<EndpointId, EndpointState> endpoints;
    std::map<ConnectionId, EndpointId> endpointByConnection;
    StatementQueue queue;
    StatementRanking ranking;
    // Arrival rates of all statements and of those that only the primary can run.
    ArrivalRate arrivals;
    ArrivalRate primaryArrivals;
    // Time before which no statement of a workspace is admitted with AdmissionDecision::Late.
    std::map<WorkspaceId, Time> lateAdmissionNotBefore;
    PositionHistory history;
    std::optional<EndpointId> primaryId;
    std::uint64_t primaryTerm = 0;
    bool suspended = false;
    // Whether onDrained has run for the present suspension. The caller may replace the primary from then on, so writes
    // must not be acknowledged any more.
    bool suspensionConfirmed = false;
    std::function<void()> onDrained;
    std::uint64_t drainTimer = 0;
    Time startedAt;
    // Start of the present suspension.
    Time suspendedAt;
    // Time until which endpoints of the group are expected to repeat answers.
    Time repeatsUntil;
    // Whether the endpoint in use as primary has refused a statement because it is read-only.
    bool primaryReportedReadOnly = false;
    int connectionShare = 4;
    // Whether one connection to each endpoint is kept open in advance.
    bool keepWarm = false;
    bool workspacesInUse = false;
    // Whether a statement of a workspace was submitted, possibly before the configuration with the workspaces arrived.
    bool workspaceSeen = false;
    std::vector<HeldCommit> heldCommits;
    // Time since which endpoints of the group have been unrecorded, as far as statements or tick() have noticed.
    std::optional<Time> unrecordedSince;
    // Time at which dispatchLater() runs a pass; no value if it is not due.
    std::optional<Time> dispatchDue;
    LogLimiter logLimiter;
    SchedulerStatistics counts;
    // Whether dispatch() is running. A nested call sets dispatchAgain to request another pass.
    bool dispatching = false;
    bool dispatchAgain = false;
    // Set to false by the destructor, for timers that fire later.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace endivetrestle
