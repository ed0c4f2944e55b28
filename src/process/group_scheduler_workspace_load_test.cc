// Simulates a daemon that serves 74 workspaces with differing rates over a few connections to three endpoints, and
// checks what callers get, how many connections are opened, and that no slot is idle while a statement that could use
// it waits.
#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>
#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr int workspaces = 74;
constexpr int slots = 4;
constexpr Duration openCost = std::chrono::milliseconds(12);
// A statement that waits longer than this, although a slot and a connection can be had, was overlooked.
constexpr Duration longestOverlook = std::chrono::milliseconds(20);

struct Kind {
    bool needsPrimary;
    int priority;
    Duration objective;
    Duration timeout;
};

// Request kinds of docs/design/shared-endpoints.md: primary, bounded_staleness, read_your_writes.
constexpr std::array<Kind, 3> kinds {
    Kind { true, 0, 200ms, 800ms },
    Kind { false, 2, 1000ms, 2000ms },
    Kind { false, 1, 400ms, 800ms },
};

struct Load {
    int share = 4;
    double operationsPerSecond = 117;
    // Factor on the rate of the workspace with the highest rate.
    double hotFactor = 1;
    // Slots of an endpoint according to the registry. The scheduler may hold back statements beyond half of them if
    // latency rises; with twice the real number, only connections limit what it starts.
    int registeredSlots = slots;
    Duration length = 20s;
};

struct Cell {
    int submitted = 0;
    int inTime = 0;
    int refused = 0;

    [[nodiscard]] double inTimeShare() const { return submitted == 0 ? 1 : static_cast<double>(inTime) / submitted; }
};

class WorkspaceLoadSimulation {
public:
    explicit WorkspaceLoadSimulation(const Load& load)
        : load(load)
    {
        this->fixture.positionAtStart = Position { 1, 10 };
        std::vector<EndpointRecord> records(3);
        for (int i = 0; i < 3; ++i) {
            records[i].id = EndpointId("e" + std::to_string(i + 1));
            records[i].group = DatabaseId("shop");
            records[i].dataCentre = DataCentre(i == 1 ? "a" : "b");
            records[i].slots = load.registeredSlots;
        }
        // The fixture's endpoints have fewer slots, and a limit that was adapted to them.
        this->fixture.scheduler->setEndpoints({}, this->fixture.now);
        this->fixture.scheduler->setEndpoints(records, this->fixture.now);
        this->fixture.opening.clear();
        this->fixture.scheduler->setConnectionShare(load.share);
        this->fixture.scheduler->setWorkspacesInUse(true);
        for (int i = 0; i < workspaces; ++i)
            this->rates.push_back(1 / std::pow(i + 1, 0.9));
        const double sum = std::accumulate(this->rates.begin(), this->rates.end(), 0.0);
        for (auto& rate : this->rates)
            rate *= load.operationsPerSecond / sum;
        this->rates[0] *= load.hotFactor;
        this->openedBefore = this->fixture.scheduler->statistics().connectionsOpened;
    }

    void run()
    {
        constexpr Duration drain = 3s;
        for (Duration at {}; at < this->load.length + drain; at += 1ms) {
            for (int i = 0; at < this->load.length && i < workspaces; ++i) {
                if (std::bernoulli_distribution(this->rates[i] / 1000)(this->random))
                    this->beginOperation(i);
            }
            this->fixture.advance(1ms);
            this->serve();
            if (at % 100ms == 0ms)
                this->fixture.scheduler->tick(this->fixture.now);
            this->serve();
            this->checkWaiting();
        }
    }

    [[nodiscard]] std::uint64_t opened() const
    {
        return this->fixture.scheduler->statistics().connectionsOpened - this->openedBefore;
    }
    // Operations of a kind and of a tenth of the workspaces, by rate; the hot workspace is counted separately.
    std::array<std::array<Cell, 10>, 3> cells;
    Cell hot;
    int operations = 0;
    int wrongWorkspace = 0;
    // Statements times milliseconds that they wait although a slot is free and a connection of their workspace is idle,
    // or one of another could be closed.
    int overlooked = 0;
    int notEvicted = 0;
    SchedulerFixture fixture;

private:
    struct Operation {
        int workspace;
        const Kind& kind;
        Cell& cell;
        int statementsLeft;
        Time startedAt;
        Duration paused {};
    };
    struct Job {
        ConnectionId connection;
        // No value for the start of a session.
        std::optional<SchedulerFixture::Sent> sent;
    };
    struct Server {
        std::deque<Job> waiting;
        std::multimap<Time, Job> running;
    };

    Duration between(Duration low, Duration high)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(this->random));
    }

    void beginOperation(int workspace)
    {
        const auto kindIndex = std::discrete_distribution<std::size_t> { 50, 25, 25 }(this->random);
        const bool isHot = workspace == 0 && this->load.hotFactor > 1;
        auto& cell = isHot ? this->hot : this->cells[kindIndex][workspace * 10 / workspaces];
        const bool transaction = kindIndex == 0 && std::bernoulli_distribution(0.4)(this->random);
        const auto operation = std::make_shared<Operation>(
            Operation { workspace, kinds[kindIndex], cell, transaction ? 3 : 1, this->fixture.now });
        ++cell.submitted;
        ++this->operations;
        auto execution = this->execution(operation, transaction ? "BEGIN+WRITE" : "READ");
        execution->work.start = transaction ? TransactionStart::Plain : TransactionStart::None;
        this->waiting.insert(execution);
        this->fixture.scheduler->submit(execution, this->fixture.now);
    }

    ExecutionPtr execution(const std::shared_ptr<Operation>& operation, const std::string& text)
    {
        auto work
            = text == "COMMIT" ? SchedulerFixture::commit() : SchedulerFixture::read(operation->kind.needsPrimary);
        if (text == "BEGIN+WRITE" || text == "WRITE")
            work = SchedulerFixture::write();
        work.statement.id = "w" + std::to_string(operation->workspace);
        work.statement.text = text;
        work.workspace = WorkspaceId(work.statement.id);
        work.priority = operation->kind.priority;
        work.objective = operation->kind.objective;
        work.expiresAt = this->fixture.now + operation->kind.timeout;
        auto execution = this->fixture.makeExecution(std::move(work));
        execution->callback = [this, operation](const StatementResult& result) { this->onResult(operation, result); };
        return execution;
    }

    void onResult(const std::shared_ptr<Operation>& operation, const StatementResult& result)
    {
        if (!result.answer.succeeded) {
            ++operation->cell.refused;
            return;
        }
        if (--operation->statementsLeft == 0) {
            const auto elapsed = this->fixture.now - operation->startedAt - operation->paused;
            operation->cell.inTime += elapsed <= operation->kind.objective ? 1 : 0;
            return;
        }
        // The client pauses inside its transaction.
        const auto pause = this->between(2ms, 40ms);
        operation->paused += pause;
        const auto connection = *result.connection;
        this->fixture.timers.subscribeAt(this->fixture.now + pause, [this, operation, connection](Time now) {
            const auto* text = operation->statementsLeft == 1 ? "COMMIT" : "WRITE";
            this->fixture.scheduler->continueTransaction(connection, this->execution(operation, text), now);
        });
    }

    // Runs what was sent, as many commands and starts of sessions at a time as there are slots.
    void serve()
    {
        auto& fixture = this->fixture;
        for (auto& [name, server] : this->servers) {
            while (!server.running.empty() && server.running.begin()->first <= fixture.now) {
                const auto job = server.running.begin()->second;
                server.running.erase(server.running.begin());
                this->complete(job);
            }
        }
        for (const auto& [id, endpoint] : std::exchange(fixture.opening, {})) {
            fixture.endpointOf[id] = endpoint;
            this->servers[endpoint.value].waiting.push_back({ id, std::nullopt });
        }
        while (!fixture.sent.empty()) {
            const auto sent = fixture.take();
            const bool statement = sent.command.kind == CommandKind::Forward;
            this->wrongWorkspace += statement && fixture.workspaceOf[sent.connection].value != sent.command.id ? 1 : 0;
            this->busy.insert(sent.connection);
            if (statement)
                this->served.insert(sent.connection);
            this->servers[fixture.endpointName(sent.connection)].waiting.push_back({ sent.connection, sent });
        }
        for (auto& [name, server] : this->servers) {
            while (!server.waiting.empty() && server.running.size() < slots) {
                const auto job = server.waiting.front();
                server.waiting.pop_front();
                const bool statement = job.sent && job.sent->command.kind == CommandKind::Forward;
                const auto cost = statement ? this->between(4ms, 16ms) : job.sent ? Duration(1ms) : openCost;
                server.running.emplace(fixture.now + cost, job);
            }
        }
    }

    void complete(const Job& job)
    {
        if (!job.sent) {
            this->open.insert(job.connection);
            this->fixture.scheduler->onOpened(job.connection, this->fixture.positionAtStart, this->fixture.now);
            return;
        }
        const auto& command = job.sent->command;
        this->busy.erase(job.connection);
        if (command.kind == CommandKind::Begin)
            this->pinned.insert(job.connection);
        else if (command.text == "COMMIT" || command.kind == CommandKind::Rollback)
            this->pinned.erase(job.connection);
        const bool inTransaction = this->pinned.count(job.connection) != 0;
        this->fixture.succeed(*job.sent, inTransaction ? SessionPhase::Transaction : SessionPhase::Idle);
    }

    [[nodiscard]] bool isIdle(ConnectionId id, const std::string& endpoint) const
    {
        return this->open.count(id) != 0 && this->busy.count(id) == 0 && this->pinned.count(id) == 0
            && this->fixture.endpointName(id) == endpoint;
    }

    // Counts statements for the primary that wait although it has a free slot and a connection that they could use, or
    // one that could be closed for them.
    void checkWaiting()
    {
        for (const auto id : std::exchange(this->fixture.closed, {})) {
            this->open.erase(id);
            this->busy.erase(id);
            this->pinned.erase(id);
        }
        std::erase_if(this->waiting, [](const auto& entry) { return entry->finished || entry->firstSentAt; });
        const auto& server = this->servers["e1"];
        const auto occupied = server.running.size() + server.waiting.size();
        if (occupied >= slots) {
            this->evictableSince.clear();
            return;
        }
        std::set<WorkspaceId> idle;
        bool idleServed = false;
        for (const auto id : this->open) {
            if (this->isIdle(id, "e1")) {
                idle.insert(this->fixture.workspaceOf[id]);
                idleServed = idleServed || this->served.count(id) != 0;
            }
        }
        const auto isOpening = [](const auto& entry) { return !entry.second.sent; };
        const bool opening = std::any_of(server.running.begin(), server.running.end(), isOpening);
        for (const auto& execution : this->waiting) {
            const auto& work = execution->work;
            if (!work.needsPrimary || work.start != TransactionStart::None)
                continue;
            const bool usable = idle.count(work.workspace) != 0;
            this->overlooked += usable ? 1 : 0;
            const bool evictable = !usable && idleServed && !opening;
            if (!evictable) {
                this->evictableSince.erase(execution);
                continue;
            }
            const auto since = this->evictableSince.try_emplace(execution, this->fixture.now).first->second;
            this->notEvicted += this->fixture.now - since > longestOverlook ? 1 : 0;
        }
    }

    Load load;
    std::mt19937 random { 20261204 };
    std::vector<double> rates;
    std::map<std::string, Server> servers;
    std::set<ConnectionId> open;
    std::set<ConnectionId> busy;
    std::set<ConnectionId> served;
    std::set<ConnectionId> pinned;
    std::set<ExecutionPtr> waiting;
    // Since when a connection could have been closed for a statement.
    std::map<ExecutionPtr, Time> evictableSince;
    std::uint64_t openedBefore = 0;
};

std::string describe(const WorkspaceLoadSimulation& simulation)
{
    std::string text = "operations " + std::to_string(simulation.operations) + ", opened "
        + std::to_string(simulation.opened()) + ", evictions "
        + std::to_string(simulation.fixture.scheduler->statistics().evictions) + ", hot in time "
        + std::to_string(simulation.hot.inTimeShare()) + "\n";
    for (const auto& kind : simulation.cells) {
        for (const auto& cell : kind)
            text += std::to_string(cell.inTime) + "/" + std::to_string(cell.submitted) + "("
                + std::to_string(cell.refused) + ") ";
        text += "\n";
    }
    return text;
}

} // namespace

// Guards against workspaces with few statements that lose their connections to those with many, and against connections
// that are opened anew for most operations.
TEST_CASE("GroupScheduler, serves 74 workspaces in time over few connections")
{
    Load load;
    load.share = GENERATE(2, 4, 8);
    // An owner of a group with two others has a third of the load.
    load.operationsPerSecond = load.share == 2 ? 39 : 117;
    WorkspaceLoadSimulation simulation(load);
    simulation.run();
    INFO("share " << load.share << ": " << describe(simulation));
    CHECK(simulation.wrongWorkspace == 0);
    CHECK(simulation.opened() <= simulation.operations * 0.85);
    for (const auto& kind : simulation.cells) {
        for (const auto& cell : kind)
            CHECK(cell.inTimeShare() >= 0.99);
    }
}

// Guards against one workspace at eight times its usual rate that delays the others or has them refused.
TEST_CASE("GroupScheduler, delays only the workspace that sends eight times its usual load")
{
    Load load;
    load.share = GENERATE(4, 8);
    load.hotFactor = 8;
    WorkspaceLoadSimulation simulation(load);
    simulation.run();
    INFO("share " << load.share << ": " << describe(simulation));
    CHECK(simulation.wrongWorkspace == 0);
    for (const auto& kind : simulation.cells) {
        for (const auto& cell : kind)
            CHECK(cell.inTimeShare() >= 0.99);
    }
}

// Guards against statements that wait although their workspace has an idle connection or could get one.
TEST_CASE("GroupScheduler, leaves no slot idle while a statement of a workspace could use it")
{
    Load load;
    load.share = GENERATE(2, 4, 8);
    load.hotFactor = GENERATE(1, 8);
    load.registeredSlots = 2 * slots;
    WorkspaceLoadSimulation simulation(load);
    simulation.run();
    INFO("share " << load.share << ", factor " << load.hotFactor << ": " << describe(simulation));
    CHECK(simulation.wrongWorkspace == 0);
    CHECK(simulation.overlooked == 0);
    CHECK(simulation.notEvicted == 0);
}
