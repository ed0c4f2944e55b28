#pragma once

#include "fault_matrix_cell.h"

#include "process/database_controller.h"
#include "request/request_forwarder.h"
#include "standin/group_core.h"
#include "tool/history_checker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle::testing::matrix {

// One case of the fault matrix: three endpoints (GroupCore), three daemons (DatabaseController and Forwarder) of which
// two are owners, and callers. Messages are entries of one queue ordered by a virtual time, so a case with its seed
// always runs the same way. The faults of the cell are injected as their steps occur.
//
// Example:
//     World world(cell, Mutation::None);
//     world.run();
//     for (const auto& violation : world.violations()) FAIL_CHECK(violation);
class World {
public:
    World(const Cell& cell, Mutation mutation);

    // Runs the scenario, heals all faults and audits the outcomes.
    void run();

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found; }
    // Reads that showed a write which was later reported, truthfully as to the final log, as not run.
    [[nodiscard]] const std::vector<std::string>& unheldReads() const { return this->unheld; }
    // Injections whose step occurred. A cell that injects less than its list has tested less than its name says.
    [[nodiscard]] std::size_t injected() const { return this->injectedCount; }
    [[nodiscard]] std::size_t completed() const { return this->completedCount; }

private:
    using Actions = controller::Actions;
    using Done = std::function<void(Outcome)>;

    struct Watcher {
        Position after;
        std::shared_ptr<std::function<void()>> answer;
    };
    struct Endpoint {
        std::unique_ptr<standin::GroupCore> core;
        bool down = false;
        Duration shipDelay {};
        Duration applyLag {};
        std::vector<Watcher> watchers;
        // Log and term at the last notification.
        std::pair<Position, std::uint64_t> notified;
    };
    struct Link {
        int endpoint = 0;
        std::uint64_t number = 0;
    };
    // Message faults that wait for a daemon's next message.
    struct Disruption {
        std::set<Fault> faults;
        std::vector<Fault> after;
        [[nodiscard]] bool has(Fault fault) const { return this->faults.contains(fault); }
    };
    struct Daemon {
        DaemonId id;
        DataCentre dataCentre;
        int incarnation = 0;
        std::unique_ptr<DatabaseController> controller;
        bool alive = true;
        bool paused = false;
        Duration clockOffset {};
        std::vector<DaemonId> owners;
        std::map<PoolConnectionId, Link> links;
        std::vector<std::function<void()>> deferred;
        std::uint64_t lastTicket = 0;
        std::map<std::uint64_t, Done> waiting;
        std::map<std::uint64_t, RequestKind> kinds;
        std::set<Fault> nextMessage;
    };
    // Where a step occurs; -1 if no daemon or endpoint takes part.
    struct Place {
        int daemon = -1;
        int endpoint = -1;
    };
    struct Flight {
        Forwarder forwarder;
        std::optional<TransactionIdParts> parts;
        Done done;
    };
    struct Operation {
        std::uint64_t number = 0;
        int caller = 0;
        RequestId id;
        std::vector<HistoryMark> marks;
        int arrivals = 0;
        int outstanding = 0;
        // Whether a request that can take effect was sent.
        bool effective = false;
        std::optional<Outcome> final;
    };
    struct Caller {
        CallerId id;
        Position token;
        int next = 0;
        bool gone = false;
        TransactionId transaction;
        std::uint64_t operation = 0;
    };
    struct OpenCall {
        int daemon = 0;
        Request request;
        std::uint64_t operation = 0;
        Done done;
    };
    struct Promotion {
        std::uint64_t term = 0;
        int endpoint = 0;
        Time at;
    };
    template <typename Answer> struct Call {
        Step step = Step::Status;
        int endpoint = 0;
        Duration timeout {};
        // Runs at the endpoint.
        std::function<Answer(Time)> handler;
        // Runs at the daemon; without an answer the call failed.
        std::function<Actions(const Answer*, ErrorCode, bool sent, Time now)> done;
        // Orders a late call before the close of its connection.
        std::uint64_t link = 0;
        // A watch call waits for the log to pass this position.
        Position after;
        Duration wait {};
    };

    // fault_matrix_world.cc: time, messages to endpoints, actions of controllers.
    void at(Duration delay, std::function<void()> work);
    void runUntil(Time end);
    Duration latency();
    Duration oneOf(std::vector<int> milliseconds);
    [[nodiscard]] Time local(const Daemon& daemon) const { return this->now + daemon.clockOffset; }
    void atDaemon(int daemon, int incarnation, const std::function<void()>& work);
    [[nodiscard]] bool isCut(const std::string& a, const std::string& b) const;
    [[nodiscard]] bool reaches(int daemon, int endpoint) const;
    template <typename Answer> void call(int daemon, Call<Answer> message);
    template <typename Answer>
    void deliverAnswer(int daemon, const Call<Answer>& message, Answer answer, Disruption faults,
        const std::shared_ptr<bool>& settled, int incarnation);
    void perform(int daemon, const Actions& actions);
    void performOne(int daemon, const controller::Action& action);
    void open(int daemon, const controller::Open& action);
    void close(int daemon, const controller::Close& action);
    void reset(int daemon, const controller::Reset& action);
    void execute(int daemon, const controller::Execute& action);
    void probe(int daemon, const controller::Probe& action);
    void fence(int daemon, const controller::FenceEndpoint& action);
    void promote(int daemon, const controller::PromoteEndpoint& action);
    void resolve(int daemon, const controller::Resolve& action);
    void ask(int daemon, const controller::AskOpinions& action);
    void deliver(int daemon, std::uint64_t ticket);
    void disconnect(int daemon, PoolConnectionId connection);
    void tick(int daemon);

    // fault_matrix_group.cc: replication and the rules of the group, seeded faults at endpoints.
    void notify(int endpoint);
    void hold(int endpoint, const Position& after, Duration wait, std::function<void()> answer);
    void ship(int from, int to);
    void heartbeat();
    void notePromotion(int endpoint);
    [[nodiscard]] int primary() const;
    EndpointStatus mutated(EndpointStatus status) const;
    ExecuteAnswer runCall(const Link& link, ExecuteCall call);
    ResolveAnswer runResolve(int endpoint, const ResolveCall& call);

    // fault_matrix_faults.cc
    Disruption hit(Step step, Place place);
    void inject(Fault fault, Place place);
    void cutPrimary(bool replicas, bool daemons, Duration length);
    void takeDown(int endpoint, std::optional<Duration> length);
    void kill(int daemon, Duration length);
    void start(int daemon);
    void pause(int daemon, Duration length);
    void wake(int daemon);
    void lag(Duration length);
    void publishOwners(Duration delay);
    void setOwners(int daemon, std::vector<DaemonId> owners);
    void startScenario();
    void heal();
    DatabaseDeclaration declaration() const;

    // fault_matrix_callers.cc
    void startCallers();
    void stepCaller(int caller);
    void writeThenRead(int caller);
    void readShared(int caller);
    void transact(int caller);
    void nextStatement(int caller, int stage, const Outcome& begun);
    void endTransaction(int caller, const Outcome& outcome);
    void think(int caller);
    Request makeRequest(int caller, RequestKind kind, const std::string& id, const std::string& statement);
    Operation& newOperation(int caller, std::vector<HistoryMark> marks, const std::string& id);
    void addEvent(HistoryEvent event);
    void submit(int daemon, Request request, std::uint64_t operation, Done done);
    void answerCall(std::uint64_t call, const Outcome& outcome);
    void runFlight(int daemon, const std::shared_ptr<Flight>& flight, const ForwardStep& next);
    void forward(int daemon, const std::shared_ptr<Flight>& flight, const ForwardTo& step);
    void submitLocally(int daemon, const Request& request, const std::optional<TransactionIdParts>& parts, Done done);
    void conclude(std::uint64_t operation, const Outcome& outcome);
    void resolveOperation(std::uint64_t operation, int daemon);
    void retryThroughOther();
    int liveDaemon(int preferred) const;

    // fault_matrix_audit.cc
    void audit();
    void auditRead(int daemon, int attempt);
    void checkLogs();
    void checkOperation(const Operation& operation, const std::map<RequestId, std::vector<standin::LogRecord>>& log);
    void fail(const std::string& text);

    Cell cell;
    Mutation mutation;
    std::mt19937_64 random;
    Time now;
    std::multimap<Time, std::function<void()>> queue;
    std::vector<Endpoint> endpoints;
    std::vector<Daemon> daemons;
    std::vector<Caller> callers;
    std::map<std::pair<std::string, std::string>, Time> cuts;
    std::map<Step, int> occurrences;
    std::vector<Injection> left;
    bool healed = false;
    bool primaryLeaves = false;
    std::vector<DaemonId> ownerOrder;
    std::uint64_t lastLink = 0;
    std::map<std::uint64_t, Time> linkBusyUntil;
    std::uint64_t lastCall = 0;
    std::map<std::uint64_t, OpenCall> openCalls;
    std::map<std::uint64_t, std::pair<int, Done>> openForwards;
    std::map<TransactionId, TransactionIdParts> transactions;
    std::uint64_t lastOperation = 0;
    std::map<std::uint64_t, Operation> operations;
    std::vector<Promotion> promotions;
    // Writes that ResendUnknown has presented to a controller as unsent.
    std::set<RequestId> resent;
    HistoryChecker checker;
    std::vector<std::string> found;
    std::vector<std::string> unheld;
    std::size_t injectedCount = 0;
    std::size_t completedCount = 0;
    std::size_t auditsDone = 0;
};

} // namespace endivetrestle::testing::matrix
