#pragma once

#include "process/group_scheduler.h"
#include "process/statement_audit_test.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle::testing {

// Clients that run statements through one scheduler at three endpoints that may repeat their answers. All times are
// simulated.
class RepeatedAnswersSimulation {
public:
    RepeatedAnswersSimulation(std::uint64_t seed, EndpointBehaviour behaviour)
        : random(seed)
    {
        behaviour.acceptsNestedBegin = this->random.chance(50);
        this->addEndpoint("e1", Duration::zero(), behaviour);
        this->addEndpoint("e2", shortLag, behaviour);
        this->addEndpoint("e3", longLag, behaviour);
        this->createScheduler();
        this->clients.resize(minClients + this->random.below(maxClients - minClients + 1));
        for (std::size_t index = 0; index < this->clients.size(); ++index) {
            this->connect(this->clients[index]);
            this->actLater(index);
        }
    }

    // Lets the clients run statements, and then end those that are under way.
    void run()
    {
        this->advance(activeTime);
        this->stopping = true;
        this->advance(drainTime);
    }

    [[nodiscard]] const StatementAudit& results() const { return this->audit; }
    // Reads outside a transaction whose client waited for the result, and those that succeeded with their own answer.
    [[nodiscard]] std::size_t repeatableReads() const { return this->reads; }
    [[nodiscard]] std::size_t successfulReads() const { return this->readsAnswered; }
    // Clients whose statement has neither a result nor reached its timeout, and statements that still wait.
    [[nodiscard]] std::size_t stuckSessions() const
    {
        const auto stuck = std::count_if(this->clients.begin(), this->clients.end(),
            [](const Client& client) { return client.execution && !client.execution->finished; });
        return static_cast<std::size_t>(stuck) + this->scheduler->statistics().waiting;
    }

private:
    struct Client {
        std::shared_ptr<SessionState> session;
        // Statement under way.
        ExecutionPtr execution;
        // Number of the attempt to run a transaction; 0 outside one.
        std::uint64_t transaction = 0;
        TransactionStart start = TransactionStart::None;
        std::optional<ConnectionId> connection;
        // Statements left before the transaction ends.
        std::uint64_t statementsLeft = 0;
    };

    static constexpr std::size_t minClients = 6;
    static constexpr std::size_t maxClients = 10;
    static constexpr std::uint64_t maxTransactionLength = 4;
    static constexpr int slots = 4;
    static constexpr int connectionShare = 4;
    static constexpr Duration shortLag = std::chrono::milliseconds(5);
    static constexpr Duration longLag = std::chrono::milliseconds(80);
    static constexpr Duration activeTime = std::chrono::milliseconds(2500);
    static constexpr Duration drainTime = std::chrono::milliseconds(3000);
    static constexpr Duration tickInterval = std::chrono::milliseconds(100);
    static constexpr Duration statusInterval = std::chrono::milliseconds(25);
    static constexpr Duration statusTimeout = std::chrono::milliseconds(400);
    static constexpr Duration maxPause = std::chrono::milliseconds(10);
    static constexpr Duration maxOpenTime = std::chrono::milliseconds(4);
    static constexpr Duration objective = std::chrono::milliseconds(100);
    static constexpr Duration statementTimeout = std::chrono::milliseconds(250);
    static constexpr Duration maxStaleness = std::chrono::milliseconds(40);
    static constexpr int leavingPercent = 3;
    static constexpr int sessionChangePercent = 15;
    static constexpr int transactionPercent = 20;
    static constexpr int commitPercent = 75;

    void addEndpoint(const std::string& name, Duration lag, const EndpointBehaviour& behaviour)
    {
        RepeatingEndpoint::Hooks hooks;
        hooks.answer = [this](ConnectionId id, const EndpointAnswer& answer, Time now) {
            this->scheduler->onAnswer(id, answer, now);
        };
        hooks.ran = [this](const EndpointRun& run) { this->audit.onRun(run); };
        hooks.committed = [this](const CommittedWrites& committed) { this->audit.onCommitted(committed); };
        this->endpoints.emplace(
            name, RepeatingEndpoint(name, lag, behaviour, this->log, this->random, this->timers, std::move(hooks)));
    }

    void createScheduler()
    {
        SchedulerHooks hooks;
        hooks.nextConnectionId = [this] { return ++this->lastConnection; };
        hooks.open = [this](ConnectionId id, const EndpointRecord& record, const WorkspaceId&) {
            this->open(id, record.id.value);
        };
        hooks.send = [this](ConnectionId id, const EndpointCommand& command) {
            this->endpointOf(id).receive(id, command, this->now);
        };
        hooks.close = [this](ConnectionId id) { this->close(id); };
        hooks.leaseValid = [](Time) { return true; };
        this->scheduler = std::make_unique<GroupScheduler>(
            DatabaseId("shop"), DataCentre("a"), this->timers, std::move(hooks), this->now);
        this->scheduler->setConnectionShare(connectionShare);
        std::vector<EndpointRecord> records;
        for (const auto& [name, endpoint] : this->endpoints) {
            EndpointRecord record;
            record.id = EndpointId(name);
            record.group = DatabaseId("shop");
            record.dataCentre = DataCentre("a");
            record.slots = slots;
            records.push_back(record);
        }
        this->scheduler->setEndpoints(records, this->now);
        this->scheduler->setPrimary(EndpointId("e1"), SimulatedLog::term, this->now);
        this->timers.subscribeEvery(this->now, tickInterval, [this](Time at) { this->scheduler->tick(at); });
        this->timers.subscribeEvery(this->now, statusInterval, [this](Time at) { this->askStatus(at); });
    }

    void advance(Duration duration)
    {
        const auto end = this->now + duration;
        while (this->timers.nextDue() <= end) {
            this->now = std::max(this->now, this->timers.nextDue());
            this->timers.advance(this->now);
        }
        this->now = end;
    }

    RepeatingEndpoint& endpointOf(ConnectionId id) { return this->endpoints.at(this->endpointNames.at(id)); }

    void open(ConnectionId id, const std::string& endpoint)
    {
        this->endpointNames[id] = endpoint;
        this->timers.subscribeAt(
            this->now + this->random.between(std::chrono::milliseconds(1), maxOpenTime), [this, id](Time at) {
                if (this->endpointNames.count(id) == 0)
                    return;
                auto& opened = this->endpointOf(id);
                opened.open(id);
                this->openConnections.insert(id);
                this->scheduler->onOpened(id, opened.position(at), at);
            });
    }

    void close(ConnectionId id)
    {
        if (this->openConnections.erase(id) != 0)
            this->endpointOf(id).close(id);
        this->endpointNames.erase(id);
    }

    // Runs a control command, as the daemon does beside the statements of clients.
    void askStatus(Time at)
    {
        const auto name = this->random.element<std::string>({ "e1", "e2", "e3" });
        const bool primary = this->endpoints.at(name).isPrimary();
        EndpointCommand command { CommandKind::Status };
        if (!primary && this->random.chance(10)) {
            command.kind = CommandKind::Demote;
            command.term = SimulatedLog::term;
        }
        this->scheduler->runControlCommand(
            EndpointId(name), command, statusTimeout, at, [this, primary](const EndpointAnswer* answer) {
                if (answer != nullptr)
                    this->audit.onStatus(primary, *answer);
            });
    }

    // Starts a session without values and prepared statements.
    void connect(Client& client)
    {
        client = Client {};
        client.session = std::make_shared<SessionState>();
    }

    void actLater(std::size_t index)
    {
        if (this->stopping && this->clients[index].transaction == 0)
            return;
        const auto pause = this->random.between(Duration::zero(), maxPause);
        this->timers.subscribeAt(this->now + pause, [this, index](Time) { this->act(index); });
    }

    void act(std::size_t index)
    {
        auto& client = this->clients[index];
        if (client.transaction != 0) {
            this->continueTransaction(index);
            return;
        }
        if (this->random.chance(sessionChangePercent))
            this->changeSession(client);
        if (this->random.chance(transactionPercent)) {
            client.transaction = ++this->lastTransaction;
            client.start = this->random.chance(60) ? TransactionStart::Plain : TransactionStart::ReadOnly;
            client.statementsLeft = 1 + this->random.below(maxTransactionLength);
        }
        this->sendStatement(index);
    }

    void changeSession(Client& client)
    {
        const std::vector<std::string> names { "lang", "tenant" };
        const std::vector<std::string> values { "noi", "lek", "ton" };
        auto next = std::make_shared<SessionState>(*client.session);
        if (this->random.chance(50))
            next->values[this->random.element(names)] = this->random.element(values);
        else {
            const std::vector<std::string> statements { "s1", "s2" };
            const std::vector<std::string> shapes { "q1", "q2", "q3" };
            next->prepared[this->random.element(statements)]
                = { this->random.chance(50), this->random.element(shapes) };
        }
        client.session = std::move(next);
    }

    void continueTransaction(std::size_t index)
    {
        auto& client = this->clients[index];
        if (client.statementsLeft > 0 && !this->random.chance(leavingPercent)) {
            this->sendStatement(index);
            return;
        }
        if (client.statementsLeft == 0 && this->random.chance(commitPercent)) {
            this->send(index, { StatementKind::Commit, this->nextId(index), "COMMIT" }, std::nullopt);
            return;
        }
        this->scheduler->endTransaction(*client.connection, this->now);
        if (this->random.chance(50))
            this->connect(client);
        this->endOperation(index);
    }

    std::string nextId(std::size_t index)
    {
        return "c" + std::to_string(index) + "-" + std::to_string(++this->lastStatement);
    }

    void sendStatement(std::size_t index)
    {
        auto& client = this->clients[index];
        const bool mayWrite = client.start != TransactionStart::ReadOnly;
        if (!client.session->prepared.empty() && this->random.chance(30)) {
            const auto& [name, prepared] = *client.session->prepared.begin();
            if (!prepared.writes || mayWrite) {
                const std::string argument = prepared.writes ? "1a4 data" : "1a4";
                this->send(index,
                    { StatementKind::Execute, this->nextId(index), "EXECUTE " + name + " " + argument, name, argument },
                    prepared);
                return;
            }
        }
        if (mayWrite && this->random.chance(40))
            this->send(index, { StatementKind::Write, this->nextId(index), "WRITE 1a4 data" }, std::nullopt);
        else
            this->send(index, { StatementKind::Read, this->nextId(index), "READ 1a4" }, std::nullopt);
    }

    void send(std::size_t index, const Statement& statement, const std::optional<PreparedStatement>& prepared)
    {
        auto& client = this->clients[index];
        ScheduledStatement work;
        work.statement = statement;
        work.prepared = prepared;
        work.session = client.session;
        work.start = client.connection ? TransactionStart::None : client.start;
        work.maxStaleness = maxStaleness;
        // The queue orders statements that arrive at the same time by their address, which differs between runs.
        this->lastArrival = std::max(this->now, this->lastArrival + Duration(1));
        work.arrivedAt = this->lastArrival;
        work.expiresAt = this->now + statementTimeout;
        work.objective = objective;
        const bool mustBePrimary = client.start == TransactionStart::Plain || work.changesData();
        work.needsPrimary = mustBePrimary || this->random.chance(40);
        this->audit.onSent({ work, client.transaction, client.start == TransactionStart::ReadOnly });
        const auto execution = std::make_shared<Execution>();
        execution->work = work;
        execution->callback = [this, index, execution = execution.get()](const StatementResult& result) {
            if (this->clients[index].execution.get() == execution)
                this->onResult(index, result);
        };
        client.execution = execution;
        if (this->random.chance(leavingPercent))
            this->leaveLater(index, execution);
        if (client.connection)
            this->scheduler->continueTransaction(*client.connection, execution, this->now);
        else
            this->scheduler->submit(execution, this->now);
    }

    // The client closes its session while the statement is under way.
    void leaveLater(std::size_t index, const ExecutionPtr& execution)
    {
        const auto pause = this->random.between(Duration::zero(), maxPause);
        this->timers.subscribeAt(this->now + pause, [this, index, execution](Time at) {
            auto& client = this->clients[index];
            if (client.execution != execution)
                return;
            this->scheduler->abandon(execution, at);
            this->connect(client);
            this->actLater(index);
        });
    }

    void onResult(std::size_t index, const StatementResult& result)
    {
        auto& client = this->clients[index];
        const auto execution = std::exchange(client.execution, nullptr);
        const auto& work = execution->work;
        const auto& id = work.statement.id;
        if (client.transaction == 0 && work.isRepeatable()) {
            ++this->reads;
            this->readsAnswered += result.answer.succeeded && this->audit.isOwnAnswer(id, result.answer) ? 1 : 0;
        }
        this->audit.onResult(id, result, this->now);
        const bool goesOn = client.transaction != 0 && result.answer.succeeded && result.connection
            && result.answer.phase != SessionPhase::FailedTransaction && work.statement.kind != StatementKind::Commit;
        if (goesOn) {
            client.connection = result.connection;
            --client.statementsLeft;
            this->actLater(index);
            return;
        }
        if (client.transaction != 0 && result.connection)
            this->scheduler->endTransaction(*result.connection, this->now);
        this->endOperation(index);
    }

    void endOperation(std::size_t index)
    {
        auto& client = this->clients[index];
        client.transaction = 0;
        client.start = TransactionStart::None;
        client.connection.reset();
        client.statementsLeft = 0;
        this->actLater(index);
    }

    RandomNumbers random;
    Time now { std::chrono::seconds(1000) };
    TimerService timers;
    SimulatedLog log;
    StatementAudit audit;
    std::map<std::string, RepeatingEndpoint> endpoints;
    std::map<ConnectionId, std::string> endpointNames;
    std::set<ConnectionId> openConnections;
    std::vector<Client> clients;
    std::unique_ptr<GroupScheduler> scheduler;
    ConnectionId lastConnection = 0;
    std::uint64_t lastTransaction = 0;
    std::uint64_t lastStatement = 0;
    Time lastArrival;
    std::size_t reads = 0;
    std::size_t readsAnswered = 0;
    bool stopping = false;
};

} // namespace endivetrestle::testing
