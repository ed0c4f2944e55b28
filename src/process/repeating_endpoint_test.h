#pragma once

#include "base/timer_service.h"
#include "connection/session_state.h"
#include "process/random_numbers_test.h"
#include "request/scheduled_statement.h"
#include "request/statement.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle::testing {

// How often endpoints fail and repeat themselves, in percent.
struct EndpointBehaviour {
    // Share of the answers that are sent a second time: successes of forwarded statements, successes of the proxy's own
    // commands, and errors.
    int repeatedForwarded = 0;
    int repeatedOwn = 0;
    int repeatedErrors = 0;
    // Statements, and starts of transactions, that are refused or fail.
    int errors = 0;
    // SET, RESET and PREPARE that are answered with FAILED; half of them take effect.
    int failedSessionCommands = 0;
    // Answers that do not arrive; a second one may.
    int lost = 0;
    // Whether a BEGIN inside a transaction succeeds and changes nothing. Otherwise it is an error.
    bool acceptsNestedBegin = false;
};

// One run of a forwarded statement at an endpoint.
struct EndpointRun {
    std::string endpoint;
    ConnectionId connection = 0;
    EndpointCommand command;
    std::string signature;
    // Session values, and shape of an executed statement, as the connection has them.
    std::map<std::string, std::string> values;
    std::optional<PreparedStatement> prepared;
    // Number of the open transaction, unique at its endpoint; 0 if there is none.
    std::uint64_t transaction = 0;
    bool readOnlyTransaction = false;
    Position position;
};

// Writes that took effect together.
struct CommittedWrites {
    std::vector<std::string> ids;
    // Identifier of the COMMIT; empty for a single write.
    std::string commitId;
    Position position;
};

// Log of the group: the time of each commit. Replicas apply a commit some time later.
class SimulatedLog {
public:
    Position append(Time now)
    {
        this->commits.push_back(now);
        return { term, this->commits.size() };
    }

    // Position of an endpoint that applies each commit with the given delay.
    [[nodiscard]] Position appliedAt(Time now, Duration delay) const
    {
        const auto end = std::upper_bound(this->commits.begin(), this->commits.end(), now - delay);
        return { term, static_cast<std::uint64_t>(end - this->commits.begin()) };
    }

    static constexpr std::uint64_t term = 1;

private:
    std::vector<Time> commits;
};

// Simulated endpoint that may send an answer a second time. It runs the requests of one connection strictly in order.
class RepeatingEndpoint {
public:
    struct Hooks {
        std::function<void(ConnectionId, const EndpointAnswer&, Time)> answer;
        std::function<void(const EndpointRun&)> ran;
        std::function<void(const CommittedWrites&)> committed;
    };

    RepeatingEndpoint(std::string name, Duration lag, const EndpointBehaviour& behaviour, SimulatedLog& log,
        RandomNumbers& random, TimerService& timers, Hooks hooks)
        : name(std::move(name))
        , lag(lag)
        , behaviour(behaviour)
        , log(log)
        , random(random)
        , timers(timers)
        , hooks(std::move(hooks))
    {
    }

    // The primary applies its commits at once.
    [[nodiscard]] bool isPrimary() const { return this->lag == Duration::zero(); }
    [[nodiscard]] Position position(Time now) const { return this->log.appliedAt(now, this->lag); }

    void open(ConnectionId id) { this->connections[id]; }

    void receive(ConnectionId id, const EndpointCommand& command, Time now)
    {
        auto& connection = this->connections.at(id);
        connection.requests.push_back(command);
        if (connection.requests.size() == 1)
            this->startRequest(id, now);
    }

    // The caller has closed the connection. Requests that have arrived may still run before the transaction is rolled
    // back.
    void close(ConnectionId id)
    {
        auto& connection = this->connections.at(id);
        if (connection.requests.empty() || this->random.chance(50))
            this->connections.erase(id);
        else
            connection.closed = true;
    }

private:
    struct Connection {
        std::deque<EndpointCommand> requests;
        bool closed = false;
        SessionPhase phase = SessionPhase::Idle;
        std::uint64_t transaction = 0;
        bool readOnly = false;
        std::vector<std::string> uncommittedWrites;
        std::map<std::string, std::string> values;
        std::map<std::string, PreparedStatement> prepared;
    };

    static constexpr Duration minServiceTime = std::chrono::milliseconds(1);
    static constexpr Duration maxServiceTime = std::chrono::milliseconds(5);
    static constexpr Duration maxRepeatDelay = std::chrono::milliseconds(60);
    static constexpr Duration lateRepeatDelay = std::chrono::milliseconds(500);
    static constexpr int lateRepeatPercent = 5;

    static bool isForwarded(const EndpointCommand& command)
    {
        return command.kind == CommandKind::Forward || command.kind == CommandKind::Execute;
    }
    static bool isCommit(const EndpointCommand& command)
    {
        return command.kind == CommandKind::Forward && command.text == "COMMIT";
    }
    static bool isSessionCommand(const EndpointCommand& command)
    {
        return command.kind == CommandKind::SetValue || command.kind == CommandKind::Reset
            || command.kind == CommandKind::Prepare;
    }
    static bool writes(const Connection& connection, const EndpointCommand& command)
    {
        if (command.kind == CommandKind::Execute)
            return connection.prepared.at(command.text).writes;
        return command.kind == CommandKind::Forward && command.text.rfind("WRITE", 0) == 0;
    }
    static EndpointAnswer success()
    {
        EndpointAnswer answer;
        answer.succeeded = true;
        return answer;
    }
    static EndpointAnswer error(ReplyCode code)
    {
        EndpointAnswer answer;
        answer.code = code;
        answer.errorText = "simulated";
        return answer;
    }

    void startRequest(ConnectionId id, Time now)
    {
        this->timers.subscribeAt(
            now + this->random.between(minServiceTime, maxServiceTime), [this, id](Time at) { this->finish(id, at); });
    }

    void finish(ConnectionId id, Time now)
    {
        const auto found = this->connections.find(id);
        if (found == this->connections.end())
            return;
        auto& connection = found->second;
        const auto command = connection.requests.front();
        connection.requests.pop_front();
        auto answer = this->run(id, connection, command, now);
        if (!answer.succeeded && connection.phase == SessionPhase::Transaction)
            connection.phase = SessionPhase::FailedTransaction;
        answer.phase = connection.phase;
        answer.position = this->position(now);
        if (!connection.requests.empty())
            this->startRequest(id, now);
        else if (connection.closed) {
            this->connections.erase(found);
            return;
        }
        this->sendAnswer(id, command, answer, now);
    }

    void sendAnswer(ConnectionId id, const EndpointCommand& command, const EndpointAnswer& answer, Time now)
    {
        int repeated = this->behaviour.repeatedErrors;
        if (answer.succeeded)
            repeated = isForwarded(command) ? this->behaviour.repeatedForwarded : this->behaviour.repeatedOwn;
        if (this->random.chance(repeated)) {
            this->timers.subscribeAt(
                now + this->repeatDelay(), [this, id, answer](Time at) { this->deliver(id, answer, at); });
        }
        if (!this->random.chance(this->behaviour.lost))
            this->deliver(id, answer, now);
    }

    // Time after which an answer is sent again: at once, soon, or long after the connection serves other statements.
    Duration repeatDelay()
    {
        if (this->random.chance(lateRepeatPercent))
            return lateRepeatDelay;
        const auto longest = this->random.element<Duration>({ Duration::zero(), maxServiceTime, maxRepeatDelay });
        return this->random.between(Duration::zero(), longest);
    }

    void deliver(ConnectionId id, const EndpointAnswer& answer, Time now)
    {
        const auto found = this->connections.find(id);
        if (found != this->connections.end() && !found->second.closed)
            this->hooks.answer(id, answer, now);
    }

    EndpointAnswer run(ConnectionId id, Connection& connection, const EndpointCommand& command, Time now)
    {
        const bool endsTransaction = command.kind == CommandKind::Rollback || isCommit(command);
        if (connection.phase == SessionPhase::FailedTransaction && !endsTransaction)
            return error(ReplyCode::Malformed);
        if (const auto code = this->refusalOf(connection, command, now))
            return error(*code);
        switch (command.kind) {
        case CommandKind::Forward:
        case CommandKind::Execute:
            return isCommit(command) ? this->commit(id, connection, command, now)
                                     : this->runStatement(id, connection, command, now);
        case CommandKind::Begin:
        case CommandKind::BeginRead:
            return this->begin(connection, command.kind == CommandKind::BeginRead);
        case CommandKind::Rollback:
            this->endTransaction(connection);
            return success();
        case CommandKind::Status:
        case CommandKind::Demote:
            return this->status(now);
        default:
            return this->runSessionCommand(connection, command);
        }
    }

    // Why the endpoint does not run the command, if it does not.
    std::optional<ReplyCode> refusalOf(Connection& connection, const EndpointCommand& command, Time now)
    {
        if (isSessionCommand(command) || command.kind == CommandKind::Rollback)
            return std::nullopt;
        if (this->random.chance(this->behaviour.errors))
            return ReplyCode::Busy;
        if (command.minimum && this->position(now) < *command.minimum)
            return ReplyCode::Lagging;
        if (command.minimum && this->random.chance(this->behaviour.errors))
            return ReplyCode::Lagging;
        if (command.kind == CommandKind::Execute && this->random.chance(this->behaviour.errors))
            connection.prepared.erase(command.text);
        if (command.kind == CommandKind::Execute && connection.prepared.count(command.text) == 0)
            return ReplyCode::NoStatement;
        const bool changesData = command.kind == CommandKind::Begin || writes(connection, command);
        const bool losesLead = this->random.chance(this->behaviour.errors) && this->random.chance(25);
        const bool readOnlyTransaction = connection.phase != SessionPhase::Idle && connection.readOnly;
        if (changesData && (!this->isPrimary() || losesLead || readOnlyTransaction))
            return ReplyCode::ReadOnly;
        if (isForwarded(command) && !isCommit(command) && this->random.chance(this->behaviour.errors))
            return ReplyCode::Failed;
        return std::nullopt;
    }

    EndpointAnswer begin(Connection& connection, bool readOnly)
    {
        if (connection.phase != SessionPhase::Idle)
            return this->behaviour.acceptsNestedBegin ? success() : error(ReplyCode::Malformed);
        connection.phase = SessionPhase::Transaction;
        connection.transaction = ++this->lastTransaction;
        connection.readOnly = readOnly;
        return success();
    }

    void endTransaction(Connection& connection)
    {
        connection.phase = SessionPhase::Idle;
        connection.transaction = 0;
        connection.uncommittedWrites.clear();
    }

    EndpointAnswer commit(ConnectionId id, Connection& connection, const EndpointCommand& command, Time now)
    {
        if (connection.phase == SessionPhase::Idle)
            return error(ReplyCode::Malformed);
        if (connection.phase == SessionPhase::FailedTransaction) {
            this->endTransaction(connection);
            return error(ReplyCode::Aborted);
        }
        const auto answer = this->recordRun(id, connection, command, now);
        if (!connection.uncommittedWrites.empty())
            this->hooks.committed({ connection.uncommittedWrites, command.id, this->log.append(now) });
        this->endTransaction(connection);
        return answer;
    }

    EndpointAnswer runStatement(ConnectionId id, Connection& connection, const EndpointCommand& command, Time now)
    {
        const auto answer = this->recordRun(id, connection, command, now);
        if (!writes(connection, command))
            return answer;
        if (connection.phase == SessionPhase::Transaction)
            connection.uncommittedWrites.push_back(command.id);
        else
            this->hooks.committed({ { command.id }, "", this->log.append(now) });
        return answer;
    }

    EndpointAnswer recordRun(ConnectionId id, const Connection& connection, const EndpointCommand& command, Time now)
    {
        EndpointRun run { this->name, id, command, this->name + "." + std::to_string(++this->lastSignature),
            connection.values, std::nullopt, connection.transaction, connection.readOnly, this->position(now) };
        if (command.kind == CommandKind::Execute)
            run.prepared = connection.prepared.at(command.text);
        this->hooks.ran(run);
        auto answer = success();
        answer.signature = run.signature;
        answer.payload = "rows " + run.signature;
        return answer;
    }

    EndpointAnswer runSessionCommand(Connection& connection, const EndpointCommand& command)
    {
        const bool fails = this->random.chance(this->behaviour.failedSessionCommands);
        if (!fails || this->random.chance(50)) {
            if (command.kind == CommandKind::SetValue)
                connection.values[command.text] = command.argument;
            else if (command.kind == CommandKind::Prepare)
                connection.prepared[command.text] = { command.writes, command.argument };
            else {
                connection.values.clear();
                connection.prepared.clear();
            }
        }
        return fails ? error(ReplyCode::Failed) : success();
    }

    [[nodiscard]] EndpointAnswer status(Time now) const
    {
        const auto received = this->log.appliedAt(now, Duration::zero());
        auto answer = success();
        answer.firstRow = std::string(this->isPrimary() ? "primary " : "replica ") + std::to_string(SimulatedLog::term)
            + " " + std::to_string(received.term) + "." + std::to_string(received.index) + " 0 "
            + std::to_string(this->lag.count() / 1000) + " 0 " + std::to_string(this->connections.size());
        answer.payload = answer.firstRow;
        return answer;
    }

    std::string name;
    // Time after which a commit is applied; zero at the primary.
    Duration lag;
    EndpointBehaviour behaviour;
    SimulatedLog& log;
    RandomNumbers& random;
    TimerService& timers;
    Hooks hooks;
    std::map<ConnectionId, Connection> connections;
    std::uint64_t lastTransaction = 0;
    std::uint64_t lastSignature = 0;
};

} // namespace endivetrestle::testing
