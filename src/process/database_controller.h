#pragma once

#include "connection/endpoint_pool.h"
#include "connection/transaction.h"
#include "process/database_controller_action.h"
#include "process/endpoint_health.h"
#include "process/failover.h"
#include "process/freshness.h"
#include "request/admission_queue.h"
#include "request/read_router.h"
#include "request/retry_budget.h"
#include "request/write_tracker.h"
#include "version/configuration.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Settings of a controller and of its parts.
struct ControllerSettings {
    FailoverSettings failover;
    FreshnessSettings freshness;
    EndpointHealthSettings health;
    WriteTrackerSettings writes;
    AdmissionQueueSettings queue;
    EndpointPoolSettings pool;
    TransactionSettings transactions;
    RetryBudgetSettings retries;
    // Time between two probes of an endpoint, and longest wait of one watch call.
    Duration probeInterval = std::chrono::milliseconds(100);
    // Time that a write waits for a majority before its outcome is reported as unknown.
    Duration ackDeadline = std::chrono::milliseconds(2000);
    // Time between two attempts to resolve a request.
    Duration resolveInterval = std::chrono::milliseconds(50);
    // Connections of an endpoint that are reserved for the owners' probes and control calls.
    int controlConnections = 4;
    // Connections that a standby owner keeps to each endpoint.
    int standbyConnections = 2;
    // Connections that the active owner keeps open to each endpoint without demand.
    int warmConnections = 2;
    ReadPolicy readPolicy;
    std::function<std::uint64_t()> random;
};

// Identity under which a controller acts.
struct ControllerIdentity {
    DaemonId daemon;
    DataCentre dataCentre;
    // Differs for every start of a process, see Failover.
    DaemonId claimant;
};

// State of one endpoint for reports.
struct EndpointSummary {
    EndpointId endpoint;
    EndpointHealthView health;
    EndpointCounts connections;
    Position applied;
    Duration lag {};
    bool primary = false;
    bool leaving = false;
};

// State of a controller for reports.
struct ControllerReport {
    int rank = -1;
    FailoverState failover = FailoverState::Watching;
    std::optional<KnownPrimary> primary;
    std::size_t queued = 0;
    std::size_t pending = 0;
    std::size_t transactions = 0;
    std::vector<EndpointSummary> endpoints;
};

// Decisions of one owner for one database: admission, routing, connections, acknowledgement, transactions and failover.
// Does no input or output; every function takes the time and returns the actions to carry out, in order. Not
// thread-safe: the owner holds the controller's lock around each call.
//
// Example:
//     DatabaseController controller(identity, settings, declaration, now);
//     perform(controller.setRank(0, now));
//     perform(controller.submit(ticket, request, now));
//     perform(controller.onExecuteAnswer(use, sentAt, answer, now)); // ... Complete{ticket}
//     if (auto outcome = controller.takeOutcome(ticket, now, actions)) answer(*outcome);
class DatabaseController {
public:
    using Actions = controller::Actions;
    using FailoverActions = endivetrestle::failover::Actions;

    DatabaseController(
        ControllerIdentity identity, ControllerSettings settings, const DatabaseDeclaration& declaration, Time now);

    // Applies the declaration of a newer configuration version.
    Actions setDeclaration(const DatabaseDeclaration& declaration, Time now);

    // Rank among the owners: 0 is the active owner, higher ranks are standby owners and -1 means that this daemon is
    // not an owner. A daemon that stops being an owner refuses queued requests with NotOwner and lets running ones
    // finish.
    Actions setRank(int rank, Time now);

    // Accepts a request. Tickets are chosen by the caller of this function and are never reused. Requests of a
    // transaction need the parts of its id. Every ticket leads to one Complete, and to another one each time
    // takeOutcome() has the request resolved again.
    Actions submit(
        std::uint64_t ticket, const Request& request, const std::optional<TransactionIdParts>& parts, Time now);

    // Takes the outcome of a completed ticket. For a write this repeats the check that the acknowledging primary has
    // not been replaced; if the check fails, the request is resolved again, no value is returned and another Complete
    // follows.
    std::optional<Outcome> takeOutcome(std::uint64_t ticket, Time now, Actions& actions);

    // Parts of the transaction that a completed Begin opened. They are encoded into the transaction's id.
    [[nodiscard]] std::optional<TransactionIdParts> begunTransaction(std::uint64_t ticket);

    Actions onOpened(PoolConnectionId connection, Time now);
    Actions onOpenFailed(PoolConnectionId connection, Time now);
    Actions onClosed(PoolConnectionId connection, Time now);
    Actions onResetDone(PoolConnectionId connection, std::uint64_t generation, bool succeeded, Time now);

    // The answer's call number and request id were checked by the client against the call.
    Actions onExecuteAnswer(const ConnectionUse& use, Time sentAt, const ExecuteAnswer& answer, Time now);
    // EndpointUnreachable, DeadlineExceeded or AnswerMismatch. sent tells whether the call may have left the process.
    Actions onExecuteFailed(const ConnectionUse& use, Time sentAt, ErrorCode code, bool sent, Time now);

    Actions onProbeAnswer(std::uint64_t number, Time sentAt, const EndpointStatus& status, Time now);
    Actions onProbeFailed(const EndpointId& endpoint, std::uint64_t number, Time sentAt, Time now);
    Actions onFenceAnswer(
        const EndpointId& endpoint, std::uint64_t term, Time sentAt, const FenceAnswer& answer, Time now);
    Actions onFenceFailed(const EndpointId& endpoint, std::uint64_t term, Time now);
    Actions onPromoteAnswer(
        const EndpointId& endpoint, std::uint64_t term, Time sentAt, const FenceAnswer& answer, Time now);
    Actions onPromoteFailed(const EndpointId& endpoint, std::uint64_t term, Time now);
    Actions onResolveAnswer(
        std::uint64_t ticket, std::uint64_t number, Time sentAt, const ResolveAnswer& answer, Time now);
    Actions onResolveFailed(std::uint64_t ticket, std::uint64_t number, Time now);
    Actions onOpinion(const Opinion& opinion, Time now);

    // Must be called at least every FailoverSettings::longestStep.
    Actions tick(Time now);

    // Refuses every queued request with ShuttingDown.
    Actions refuseQueued(Time now);

    // Time since this daemon's last contact with an endpoint, as reported to peers.
    [[nodiscard]] std::optional<Duration> contactAge(const EndpointId& endpoint, Time now) const;
    [[nodiscard]] std::uint64_t highestTerm() const { return this->failover.highestTerm(); }
    [[nodiscard]] ControllerReport report(Time now) const;
    // Requests that have no outcome yet, and open transactions.
    [[nodiscard]] std::size_t unfinished() const
    {
        return this->pendingRequests.size() + this->transactions.openCount();
    }
    [[nodiscard]] std::size_t queued() const { return this->queue.size(); }

private:
    enum class Stage {
        // Waits until a replica is expected to have applied the required position.
        AwaitingReplica,
        // In the admission queue.
        Queued,
        // Waits for a slot on the transaction's connection.
        AwaitingSlot,
        // Sent to an endpoint.
        Running,
        // Executed; waits until a majority holds the position.
        AwaitingMajority,
        // Read; waits until the answer counts as fresh and a majority holds the records that it shows.
        AwaitingConfirmation,
        // The outcome is unknown; the primary is asked for it.
        Resolving,
        // The outcome can be taken.
        Completed,
    };

    struct PendingRequest {
        Request request;
        Stage stage = Stage::Queued;
        Time arrival;
        std::optional<TransactionIdParts> transaction;
        // Endpoint that the read was routed to.
        EndpointId endpoint;
        bool atPrimary = false;
        // A read that must run at the primary, also after a replica could not serve it.
        bool primaryOnly = false;
        Time replicaReadyAt;
        int attempts = 0;
        std::optional<ConnectionUse> use;
        std::uint64_t callNumber = 0;
        Time sentAt;
        // Answer that waits for holders or for a confirmation.
        ExecuteAnswer answer;
        // Whether the request ran; set once it has been resolved.
        std::optional<bool> ran;
        std::uint64_t resolveNumber = 0;
        bool resolveOutstanding = false;
        Time resolveDue;
        std::optional<MajorityEvidence> evidence;
        Outcome outcome;
        std::optional<TransactionIdParts> begunTransaction;
    };
    using Ticket = std::uint64_t;

    struct ProbeState {
        bool watchOutstanding = false;
        std::uint64_t watchNumber = 0;
        Time watchDue;
        bool statusOutstanding = false;
        std::uint64_t statusNumber = 0;
        Time statusDue;
        Position lastLog;
    };

    // database_controller.cc: configuration, probes and the common end of every entry point.
    static std::vector<EndpointId> votingEndpoints(const DatabaseDeclaration& declaration);
    static std::vector<FailoverEndpoint> failoverEndpoints(const DatabaseDeclaration& declaration);
    void updatePoolAndProbes(Time now);
    void advance(Time now);
    Actions advanceAndTakeActions(Time now);
    [[nodiscard]] Duration probeInterval() const;
    void sendProbes(Time now);
    void sendWatch(const EndpointId& endpoint, ProbeState& state, Time now);
    void sendStatus(const EndpointId& endpoint, ProbeState& state, Time now);
    void requestConfirmation(Time now);
    void applyStatus(const EndpointStatus& status, Time sentAt, Time now);
    void recordCallResult(const CallResult& result);
    void forwardPoolActions();
    void applyTransactionActions(Time now);
    [[nodiscard]] bool isPrimary(const EndpointId& endpoint) const;
    [[nodiscard]] bool needsConnections() const;

    // database_controller_failover.cc
    void performFailoverActions(const FailoverActions& failoverActions, Time now);
    void onPrimaryChanged(const failover::PrimaryChanged& change, Time now);
    void abandonWritesInFlight(Time now);
    void abortTransactions(const std::vector<EndedTransaction>& ended, Time now);
    void requestSwitchoverIfLeaving(Time now);
    void refuseIfIsolated(Time now);

    // database_controller_requests.cc: admission, dispatch, completion.
    void complete(Ticket ticket, Outcome outcome);
    void enqueue(Ticket ticket, Time now);
    void dispatch(Time now);
    void dispatchEndpoint(const EndpointId& endpoint, Time now);
    void dispatchTransactions(const EndpointId& endpoint, Time now);
    void send(Ticket ticket, const ConnectionUse& use, ExecuteKind kind, Time now);
    void handleRefusal(const QueueRefusal& refusal, Time now);
    void handleRefusals(Time now);
    void expireRequests(Time now);
    void expireRequest(Ticket ticket, Time now);
    void handleExecuteAnswer(Ticket ticket, const ConnectionUse& use, const ExecuteAnswer& answer, Time now);
    void abandon(PendingRequest& entry, Time now);
    bool retry(Ticket ticket, SendEvidence evidence, Time now);
    [[nodiscard]] PendingRequest* find(Ticket ticket);
    [[nodiscard]] RequestId scopedId(const Request& request) const;

    // database_controller_reads.cc
    void routeRead(Ticket ticket, Time now);
    void onReadAnswer(Ticket ticket, const ExecuteAnswer& answer, Time now);
    bool completeReadIfFresh(Ticket ticket, Time now);
    [[nodiscard]] bool followsPrimary(const EndpointStatus& status) const;
    void rerouteReads(Time now);
    void releaseWaitingReads(Time now);
    void completeConfirmedReads(Time now);
    [[nodiscard]] std::vector<ReadCandidate> readCandidates(const Position& required, Time now) const;
    [[nodiscard]] int queuedFor(const EndpointId& endpoint) const;
    [[nodiscard]] bool isFresh(const PendingRequest& entry, Time now) const;

    // database_controller_writes.cc
    void onWriteAnswer(Ticket ticket, const ExecuteAnswer& answer, Time now);
    void trackWrite(Ticket ticket, const EndpointStatus& status, bool recordedBefore, Time sentAt, Time now);
    void handleWriteEvents(const WriteTracker::Events& events, Time now);
    void startResolving(Ticket ticket, Time now);
    void sendResolves(Time now);
    void completeReplicated(Ticket ticket);

    // database_controller_transactions.cc
    void submitTransaction(Ticket ticket, Time now);
    void rollBack(Ticket ticket, const TransactionIdParts& parts, Time now);
    void onBeginAnswer(Ticket ticket, const ConnectionUse& use, const ExecuteAnswer& answer, Time now);
    void onTransactionAnswer(Ticket ticket, const ExecuteAnswer& answer, Time now);
    void onTransactionLost(PoolConnectionId connection, Time now);

    ControllerIdentity identity;
    ControllerSettings settings;
    DatabaseDeclaration declaration;
    int rank = -1;
    bool connectionsReleased = true;

    EndpointHealth health;
    Freshness freshness;
    Failover failover;
    WriteTracker writeTracker;
    AdmissionQueue queue;
    RetryBudget retryBudget;
    EndpointPool pool;
    TransactionTable transactions;

    std::map<EndpointId, ProbeState> probes;
    std::uint64_t lastCallNumber = 0;
    bool failoverRunning = false;
    bool plannedChange = false;
    Time switchoverDue;
    // Start of the current wait for a confirmation that the suspected primary has failed.
    std::optional<Time> unconfirmedSince;
    // Whether only this daemon seems to have lost contact with the primary.
    bool isolated = false;

    std::unordered_map<Ticket, PendingRequest> pendingRequests;
    std::set<std::pair<Time, Ticket>> deadlines;
    std::unordered_map<PoolConnectionId, Ticket> running;
    std::map<std::uint64_t, Ticket> transactionTickets;
    std::map<EndpointId, std::deque<Ticket>> awaitingSlot;
    std::set<Ticket> awaitingReplica;
    std::set<Ticket> awaitingConfirmation;
    std::set<Ticket> resolving;
    Actions actions;
};

} // namespace endivetrestle
