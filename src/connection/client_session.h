#pragma once

#include "base/timer_service.h"
#include "connection/session_state.h"
#include "connection/session_writes.h"
#include "request/operation_gate.h"
#include "request/statement_runner.h"
#include "version/route_table.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endivetrestle {

// Reply to one statement of a client.
struct SessionReply {
    bool succeeded = false;
    ReplyCode code = ReplyCode::Unknown;
    std::string errorText;
    // Encoded result of an endpoint; empty if the proxy answered without one.
    std::string payload;
    SessionPhase phase = SessionPhase::Idle;
    std::optional<Position> position;
};

// How a statement was served.
struct StatementTrace {
    // Why the proxy itself replied with an error; empty for answers of an endpoint.
    std::string reason;
    // Endpoint that answered or was tried last.
    std::string endpoint;
    // Daemon that ran the statement for this one; empty if this daemon did.
    DaemonId owner;
    // Number of times the statement was sent to an endpoint.
    int attempts = 0;
};

// A finished statement, for logs and metrics.
struct StatementRecord {
    const Statement& statement;
    const Route* route = nullptr;
    const SessionReply& reply;
    StatementTrace trace;
    Duration elapsed {};
    // Workspace of the session; empty if it has none.
    WorkspaceId workspace {};
};

// Statements that sessions still take, as their daemon stops.
enum class StatementAcceptance {
    All,
    // No new transaction.
    NoTransactions,
    // Nothing that needs an endpoint, but for the end of a transaction.
    None,
};

// What a client is told whose session or statement a stopping daemon does not take.
inline constexpr const char* stoppingText = "the daemon is stopping; connect again";

// Callbacks through which a session uses the clock, its client connection, the configuration and the runners.
struct SessionHooks {
    std::function<Time()> now;
    std::function<void(const SessionReply&)> reply;
    // Closes the connection after everything written so far.
    std::function<void()> close;
    // Configuration in force; null before the first one is known.
    std::function<std::shared_ptr<const RouteTable>()> routes;
    // Runner that executes the statements of a database group, or null.
    std::function<StatementRunner*(const DatabaseId&)> runner;
    std::function<void(const StatementRecord&)> record;
    // What the daemon still takes. The rest is refused at once.
    std::function<StatementAcceptance()> acceptance;
    OperationGate gate;
};

// What a client names when it starts a session.
struct SessionStart {
    std::string databaseName;
    // Key of the client's workspace. Unused on a route that is public.
    std::string key;

    bool operator==(const SessionStart&) const = default;
};

// Result of checking the key of a session against the configuration in force.
enum class SessionAccess {
    Permitted,
    // No workspace holds the key.
    UnknownKey,
    // The configuration may be too old to tell.
    NotRecent,
};

// Checks whether the holder of a key may use a route, and tells in which workspace's name. Without a route no key is
// needed, because the statement is refused for the lack of it.
SessionAccess checkAccess(const RouteTable& table, const Route* route, const std::string& key,
    const OperationGate& gate, Time now, WorkspaceId& workspace);

// One client session: its values, prepared statements and transaction. It answers statements that need no endpoint and
// passes the others to the runner of the route's group, one at a time and in order.
//
// A transaction is opened at an endpoint together with its first statement and stays on one connection until it ends.
//
//     transaction:  None -> Begun -> Open -> None
//                              \-------\--> Failed -> None    by ROLLBACK, or by COMMIT, which then rolls back
class ClientSession {
public:
    ClientSession(SessionStart start, TimerService& timers, SessionHooks hooks);
    ~ClientSession();
    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;

    // Takes the next statement. It is queued if another one is under way.
    void onStatement(Statement statement, Time now);
    // The client has left.
    void onDisconnected(Time now);
    // Ends the session as soon as no statement is under way and no transaction is open.
    void closeWhenIdle();
    // Ends the session after the reply to its next statement or, if that begins a transaction, after the transaction.
    void closeAfterStatement() { this->closing = true; }
    // Answers the statement under way as if the timeout of its route had been reached.
    void expireStatement(Time now);
    // Rolls back an open transaction. The client gets the reason as the reply to its next statement.
    void abortTransaction(Time now, const std::string& reason);

    // Ends the session if its key is revoked by the configuration in force: at once if it is idle, otherwise after the
    // statement under way. An open transaction is rolled back.
    void checkKey(Time now);
    [[nodiscard]] bool isKeyRevoked() const { return this->keyRevoked; }

    [[nodiscard]] bool isIdle() const { return !this->busy && this->transaction == TransactionPhase::None; }
    [[nodiscard]] bool isBusy() const { return this->busy; }
    [[nodiscard]] const std::string& database() const { return this->start.databaseName; }
    // Identifier of the statement under way; empty if there is none.
    [[nodiscard]] std::string requestUnderWay() const { return this->busy ? this->current.id : std::string(); }

    // Statements that may be queued behind the one under way. One more closes the session.
    static constexpr std::size_t maxPipelined = 64;

private:
    enum class TransactionPhase { None, Begun, Open, Failed };

    void process(const Statement& statement, Time now);
    void run(const Statement& statement, Time now);
    [[nodiscard]] bool hasAccess(const Statement& statement, Time now);
    void refuseAccess(SessionAccess access, Time now);
    [[nodiscard]] bool needsQuota(const Statement& statement) const;
    void takeQuota(Time now);
    void onQuota(QuotaDecision decision);
    void cancelQuota();
    void processInFailedTransaction(const Statement& statement);
    [[nodiscard]] bool isAccepted(const Statement& statement) const;
    void refuse(Time now);
    void failTransaction(Time now);
    void begin(const Statement& statement);
    void rollback(Time now);
    void prepare(const Statement& statement);
    void execute(const Statement& statement, Time now);
    void sendToGroup(const Statement& statement, std::optional<PreparedStatement> prepared, Time now);
    [[nodiscard]] ExecutionPtr makeExecution(
        const Statement& statement, std::optional<PreparedStatement> prepared, const Route& route, Time now);
    void onResult(const ExecutionPtr& execution, const StatementResult& result);
    void updateTransaction(const ScheduledStatement& work, const StatementResult& result);
    void replySuccess();
    void replyError(ReplyCode code, const std::string& text, const std::string& reason);
    void finishStatement(const SessionReply& reply, StatementTrace trace);
    void nextStatement();
    void armIdleTimer(Time now);
    void cancelIdleTimer();
    [[nodiscard]] SessionPhase phase() const;

    SessionStart start;
    TimerService& timers;
    SessionHooks hooks;
    // Workspace in whose name the statement under way, or the open transaction, runs.
    WorkspaceId workspace;
    bool keyRevoked = false;
    // Whether the statement under way waits for an answer about the quota, and the number of that request.
    bool awaitingQuota = false;
    std::uint64_t quotaRequest = 0;
    std::shared_ptr<SessionState> state = std::make_shared<SessionState>();
    std::deque<Statement> waiting;
    Statement current;
    Time currentSince;
    bool busy = false;
    bool disconnected = false;
    bool closing = false;
    TransactionPhase transaction = TransactionPhase::None;
    TransactionStart transactionStart = TransactionStart::None;
    // Route at the beginning of the transaction. Configuration changes apply from the next transaction on.
    std::optional<Route> transactionRoute;
    // Route of the statement under way.
    std::optional<Route> currentRoute;
    ConnectionId transactionConnection = 0;
    bool transactionWrote = false;
    std::string failureReason;
    std::uint64_t idleTimer = 0;
    ExecutionPtr execution;
    // Acknowledged writes of the session.
    SessionWrites writes;
};

} // namespace endivetrestle
