// What the reads of a session must see of its own writes while its route moves between groups.
#include "connection/client_session.h"
#include "request/statement_runner.h"

#include <catch2/catch.hpp>

#include <map>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DatabaseId shop("shop");
const DatabaseId stock("stock");

// Runs the statements of one group; the test answers them.
class FakeRunner : public StatementRunner {
public:
    void submit(const ExecutionPtr& execution, Time) override { this->last = execution; }
    void continueTransaction(ConnectionId, const ExecutionPtr& execution, Time) override { this->last = execution; }
    void endTransaction(ConnectionId, Time) override { }
    void abandon(const ExecutionPtr&, Time) override { }
    void expire(const ExecutionPtr&, Time) override { }

    void succeed(const std::optional<Position>& position, bool inTransaction = false)
    {
        StatementResult result;
        result.answer.succeeded = true;
        result.answer.position = position;
        result.answer.phase = inTransaction ? SessionPhase::Transaction : SessionPhase::Idle;
        if (inTransaction)
            result.connection = 1;
        const auto callback = std::move(this->last->callback);
        callback(result);
    }

    ExecutionPtr last;
};

class MovingRoute {
public:
    MovingRoute()
    {
        this->moveTo(shop);
        SessionHooks hooks;
        hooks.now = [this] { return this->now; };
        hooks.reply = [](const SessionReply&) {};
        hooks.close = [] {};
        hooks.routes = [this] { return this->routes; };
        hooks.runner = [this](const DatabaseId& group) { return &this->runners[group]; };
        hooks.record = [](const StatementRecord&) {};
        hooks.acceptance = [] { return StatementAcceptance::All; };
        this->session = std::make_unique<ClientSession>(SessionStart { "orders", "" }, this->timers, std::move(hooks));
    }

    void moveTo(const DatabaseId& group, RouteConsistency consistency = RouteConsistency::ReadYourWrites)
    {
        auto table = std::make_shared<RouteTable>();
        Route route;
        route.databaseName = "orders";
        route.group = group;
        route.consistency = consistency;
        route.maxStaleness = 2500ms;
        route.statementTimeout = 800ms;
        table->routes["orders"] = route;
        this->routes = table;
        this->group = group;
    }

    void removeRoute() { this->routes = std::make_shared<RouteTable>(); }

    void send(StatementKind kind, const std::string& name = "", const std::string& argument = "")
    {
        Statement statement { kind, "id", "text", name, argument };
        statement.writes = kind == StatementKind::Prepare;
        this->session->onStatement(statement, this->now);
    }

    void write(const std::optional<Position>& position)
    {
        this->send(StatementKind::Write);
        this->runners[this->group].succeed(position);
    }

    // The statement that a read is sent as.
    ScheduledStatement read(StatementKind begin = StatementKind::Unknown)
    {
        if (begin != StatementKind::Unknown)
            this->send(begin);
        this->send(StatementKind::Read);
        const auto work = this->runners[this->group].last->work;
        this->runners[this->group].succeed(Position { 1, 1 }, begin != StatementKind::Unknown);
        return work;
    }

    Time now { 100s };
    TimerService timers;
    std::shared_ptr<const RouteTable> routes;
    std::map<DatabaseId, FakeRunner> runners;
    DatabaseId group;
    std::unique_ptr<ClientSession> session;
};

} // namespace

TEST_CASE("ClientSession, reads its own write after its route has moved to another group and back")
{
    // Guards against the loss of a position because the session has written to another group since (review/14).
    const auto* how = GENERATE("a write", "a prepared write", "a commit");
    CAPTURE(how);
    MovingRoute world;
    auto& runner = world.runners[shop];
    if (how == std::string("a write"))
        world.write(Position { 1, 11 });
    else if (how == std::string("a prepared write")) {
        world.send(StatementKind::Prepare, "s", "q");
        world.send(StatementKind::Execute, "s", "1 x");
        runner.succeed(Position { 1, 11 });
    } else {
        world.send(StatementKind::Begin);
        world.send(StatementKind::Write);
        runner.succeed(Position { 1, 10 }, true);
        world.send(StatementKind::Commit);
        runner.succeed(Position { 1, 11 });
    }
    world.moveTo(stock);
    CHECK_FALSE(world.read().lastWrite);
    world.write(Position { 7, 3 });
    world.removeRoute();
    world.moveTo(shop);
    SECTION("A single read") { CHECK(world.read().lastWrite == Position { 1, 11 }); }
    SECTION("The first read of a transaction")
    {
        CHECK(world.read(StatementKind::BeginRead).lastWrite == Position { 1, 11 });
    }
    SECTION("A read in the other group")
    {
        world.moveTo(stock);
        CHECK(world.read().lastWrite == Position { 7, 3 });
    }
    SECTION("A read after the route had another type meanwhile")
    {
        world.moveTo(shop, RouteConsistency::BoundedStaleness);
        CHECK_FALSE(world.read().lastWrite);
        world.moveTo(shop);
        CHECK(world.read().lastWrite == Position { 1, 11 });
    }
}

TEST_CASE("ClientSession, reads at the primary when it does not know the position of its write")
{
    // Guards against a stale read after a write whose answer told no position, and after very many groups.
    MovingRoute world;
    world.write(std::nullopt);
    CHECK(world.read().needsPrimary);
    world.write(Position { 1, 11 });
    CHECK_FALSE(world.read().needsPrimary);
    for (std::size_t i = 0; i < SessionWrites::maxGroups; ++i) {
        world.moveTo(DatabaseId("g" + std::to_string(i)));
        world.write(Position { 1, 1 });
    }
    world.moveTo(shop);
    CHECK(world.read().needsPrimary);
}
