#include "connection/client_session.h"
#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// A session on the scheduler fixture, with one route for each consistency.
class SessionFixture {
public:
    explicit SessionFixture(const std::string& database)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = 1;
        for (const auto& [name, consistency] :
            std::map<std::string, RouteConsistency> { { "orders", RouteConsistency::Primary },
                { "menu", RouteConsistency::BoundedStaleness }, { "stock", RouteConsistency::ReadYourWrites } }) {
            Route route;
            route.databaseName = name;
            route.group = DatabaseId("shop");
            route.consistency = consistency;
            route.maxStaleness = 1500ms;
            route.statementTimeout = 800ms;
            table->routes[name] = route;
        }
        this->routes = table;
        SessionHooks hooks;
        hooks.now = [this] { return this->world.now; };
        hooks.reply = [this](const SessionReply& reply) { this->replies.push_back(reply); };
        hooks.close = [this] { this->closed = true; };
        hooks.routes = [this] { return this->routes; };
        hooks.runner = [this](const DatabaseId&) { return this->world.scheduler.get(); };
        hooks.record = [](const StatementRecord&) {};
        hooks.acceptance = [this] { return this->acceptance; };
        hooks.gate.configurationIsRecent = [this](Time) { return this->configurationIsRecent; };
        hooks.gate.takeQuota = [this](const WorkspaceId&, Time, OperationGate::QuotaCallback callback) {
            this->quotaRequests.push_back(std::move(callback));
            return this->quotaRequests.size();
        };
        hooks.gate.cancelQuota = [this](std::uint64_t request) { this->quotaRequests.at(request - 1) = nullptr; };
        this->session
            = std::make_unique<ClientSession>(SessionStart { database, "k1" }, this->world.timers, std::move(hooks));
    }

    void send(StatementKind kind, const std::string& text = "", const std::string& name = "",
        const std::string& argument = "")
    {
        this->session->onStatement({ kind, "id", text, name, argument }, this->world.now);
    }

    // Declares the workspaces, each with one key of the same name, or with none if the key is empty.
    void declareWorkspaces(const std::map<std::string, std::string>& keys)
    {
        auto table = std::make_shared<RouteTable>(*this->routes);
        ++table->version;
        table->workspacesInUse = true;
        table->workspaces.clear();
        table->keyIndex.clear();
        for (const auto& [name, key] : keys) {
            table->workspaces[WorkspaceId(name)] = { WorkspaceId(name), { key }, std::nullopt };
            table->keyIndex[key] = WorkspaceId(name);
        }
        this->routes = table;
    }

    // Answers the newest request for quota.
    void answerQuota(QuotaDecision decision)
    {
        REQUIRE_FALSE(this->quotaRequests.empty());
        const auto callback = this->quotaRequests.back();
        REQUIRE(callback);
        callback(decision);
        // A statement of a workspace waits for a connection of its own.
        this->world.completeOpens();
    }

    const SessionReply& lastReply()
    {
        REQUIRE_FALSE(this->replies.empty());
        return this->replies.back();
    }

    SchedulerFixture world;
    std::shared_ptr<const RouteTable> routes;
    std::vector<SessionReply> replies;
    bool closed = false;
    StatementAcceptance acceptance = StatementAcceptance::All;
    bool configurationIsRecent = true;
    // Callback of each request for quota; null if it was cancelled.
    std::vector<OperationGate::QuotaCallback> quotaRequests;
    std::unique_ptr<ClientSession> session;
};

} // namespace

TEST_CASE("ClientSession, answers SET, PREPARE and DEALLOC without an endpoint")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::SetValue, "SET zone a", "zone", "a");
    fixture.send(StatementKind::Prepare, "PREPARE s READ q", "s", "q");
    fixture.send(StatementKind::Deallocate, "DEALLOC s", "s");
    CHECK(fixture.replies.size() == 3);
    for (const auto& reply : fixture.replies)
        CHECK(reply.succeeded);
    CHECK(fixture.world.sent.empty());
}

TEST_CASE("ClientSession, brings the connection to the session's values before a statement")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::SetValue, "SET zone a", "zone", "a");
    fixture.send(StatementKind::Read, "READ 1");
    const auto set = fixture.world.take();
    CHECK(set.command == EndpointCommand { CommandKind::SetValue, "", "zone", "a" });
    fixture.world.succeed(set);
    CHECK(fixture.world.take().command.text == "READ 1");
}

TEST_CASE("ClientSession, opens a transaction with its first statement")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    CHECK(fixture.lastReply().phase == SessionPhase::Transaction);
    CHECK(fixture.world.sent.empty());
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.world.take().command.kind == CommandKind::Begin);
}

TEST_CASE("ClientSession, sends the commit of an empty transaction to an endpoint")
{
    // A commit is reported as successful only if an endpoint has confirmed it.
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.send(StatementKind::Commit, "COMMIT");
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    const auto commit = fixture.world.take();
    CHECK(commit.command.text == "COMMIT");
    fixture.world.succeed(commit);
    CHECK(fixture.lastReply().succeeded);
    CHECK(fixture.session->isIdle());
}

TEST_CASE("ClientSession, rolls back the transaction when its commit was refused")
{
    // Guards against a connection that stays pinned to a transaction which its session has forgotten.
    for (const auto code : { ReplyCode::Busy, ReplyCode::ReadOnly, ReplyCode::Failed }) {
        SessionFixture fixture("orders");
        fixture.send(StatementKind::Begin, "BEGIN");
        fixture.send(StatementKind::Write, "WRITE 1 x");
        fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
        fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
        fixture.send(StatementKind::Commit, "COMMIT");
        fixture.world.fail(fixture.world.take(), code, SessionPhase::Transaction);
        CHECK_FALSE(fixture.lastReply().succeeded);
        CHECK(fixture.lastReply().phase == SessionPhase::Idle);
        const auto rollback = fixture.world.take();
        REQUIRE(rollback.command.kind == CommandKind::Rollback);
        fixture.world.succeed(rollback);
        // The connection serves others again.
        fixture.send(StatementKind::Write, "WRITE 1 y");
        CHECK(fixture.world.take().connection == rollback.connection);
    }
}

TEST_CASE("ClientSession, answers a rollback at once and rolls the endpoint back")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.send(StatementKind::Write, "WRITE 1 x");
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    fixture.send(StatementKind::Rollback, "ROLLBACK");
    CHECK(fixture.lastReply().succeeded);
    CHECK(fixture.lastReply().phase == SessionPhase::Idle);
    CHECK(fixture.world.take().command.kind == CommandKind::Rollback);
}

TEST_CASE("ClientSession, reads its own write at the primary until a replica is expected to hold it")
{
    SessionFixture fixture("stock");
    fixture.send(StatementKind::Write, "WRITE 1 x");
    fixture.world.succeed(fixture.world.take(), SessionPhase::Idle, { 1, 11 });
    fixture.send(StatementKind::Read, "READ 1");
    const auto first = fixture.world.take();
    CHECK(fixture.world.endpointName(first.connection) == "e1");
    fixture.world.succeed(first, SessionPhase::Idle, { 1, 11 });
    // After a second and some ticks a replica is expected to hold the write; the minimum position ensures that it does.
    fixture.world.advance(1s);
    for (int i = 0; i < 20; ++i)
        fixture.world.scheduler->tick(fixture.world.now);
    fixture.send(StatementKind::Read, "READ 1");
    const auto second = fixture.world.take();
    CHECK(fixture.world.endpointName(second.connection) != "e1");
    REQUIRE(second.command.minimum);
    CHECK(*second.command.minimum >= Position { 1, 11 });
}

TEST_CASE("ClientSession, fails a transaction whose connection was lost and accepts its rollback")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.send(StatementKind::Write, "WRITE 1 x");
    const auto begin = fixture.world.take();
    fixture.world.succeed(begin, SessionPhase::Transaction);
    fixture.world.scheduler->onClosed(begin.connection, fixture.world.now);
    CHECK(fixture.lastReply().code == ReplyCode::Aborted);
    CHECK(fixture.lastReply().phase == SessionPhase::FailedTransaction);
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.lastReply().code == ReplyCode::Malformed);
    fixture.send(StatementKind::Rollback, "ROLLBACK");
    CHECK(fixture.lastReply().phase == SessionPhase::Idle);
}

TEST_CASE("ClientSession, rolls back a transaction that stays idle")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.send(StatementKind::Read, "READ 1");
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    const auto replies = fixture.replies.size();
    fixture.world.advance(4s);
    CHECK(fixture.world.take().command.kind == CommandKind::Rollback);
    // The client is told with its next statement, never in between.
    CHECK(fixture.replies.size() == replies);
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.lastReply().code == ReplyCode::Aborted);
}

TEST_CASE("ClientSession, applies a changed route only from the next transaction on")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    auto next = std::make_shared<RouteTable>(*fixture.routes);
    next->routes.erase("orders");
    fixture.routes = next;
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.world.sent.size() == 1);
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    fixture.world.succeed(fixture.world.take(), SessionPhase::Transaction);
    fixture.send(StatementKind::Rollback, "ROLLBACK");
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.lastReply().code == ReplyCode::UnknownDatabase);
}

TEST_CASE("ClientSession, answers pipelined statements in order")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Read, "READ 1");
    fixture.send(StatementKind::SetValue, "SET zone a", "zone", "a");
    CHECK(fixture.replies.empty());
    fixture.world.succeed(fixture.world.take());
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies[0].payload == "rows");
    CHECK(fixture.replies[1].payload.empty());
}

TEST_CASE("ClientSession, closes for shutdown only between transactions")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.session->closeWhenIdle();
    CHECK_FALSE(fixture.closed);
    fixture.send(StatementKind::Rollback, "ROLLBACK");
    CHECK(fixture.closed);
}

TEST_CASE("ClientSession, answers unknown statements and names without an endpoint")
{
    SessionFixture fixture("orders");
    fixture.send(StatementKind::Unknown, "DROP");
    CHECK(fixture.lastReply().code == ReplyCode::Malformed);
    fixture.send(StatementKind::Execute, "EXECUTE s 1", "s", "1");
    CHECK(fixture.lastReply().code == ReplyCode::NoStatement);
    CHECK(fixture.world.sent.empty());
}

// Guards against statements that a stopping daemon starts although it ends before they can (review/5).
TEST_CASE("ClientSession, refuses at once what it does not accept any more")
{
    SessionFixture fixture("menu");
    fixture.acceptance = StatementAcceptance::NoTransactions;
    fixture.send(StatementKind::Begin, "BEGIN");
    CHECK(fixture.lastReply().code == ReplyCode::Busy);
    CHECK(fixture.lastReply().phase == SessionPhase::Idle);
    fixture.acceptance = StatementAcceptance::None;
    const auto sent = fixture.world.sent.size();
    for (const auto kind : { StatementKind::Read, StatementKind::Write, StatementKind::Execute }) {
        fixture.send(kind, "READ a", "s", "1");
        CHECK(fixture.lastReply().code == ReplyCode::Busy);
    }
    CHECK(fixture.world.sent.size() == sent);
}

// Guards against a client that takes a refusal inside a transaction for one of its statement only.
TEST_CASE("ClientSession, rolls back an open transaction when it refuses one of its statements")
{
    SessionFixture fixture("menu");
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.acceptance = StatementAcceptance::None;
    fixture.send(StatementKind::Write, "WRITE a 1");
    CHECK(fixture.lastReply().code == ReplyCode::Aborted);
    CHECK(fixture.lastReply().phase == SessionPhase::FailedTransaction);
    fixture.send(StatementKind::Rollback, "ROLLBACK");
    CHECK(fixture.lastReply().succeeded);
    CHECK(fixture.lastReply().phase == SessionPhase::Idle);
}

// Guards against statements that reach an endpoint in another workspace's name or in none.
TEST_CASE("ClientSession, runs statements in the name of the workspace that holds the key")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" }, { "riders", "k2" } });
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.world.sent.empty());
    fixture.answerQuota(QuotaDecision::Granted);
    const auto sent = fixture.world.take();
    CHECK(fixture.world.workspaceOf[sent.connection] == WorkspaceId("shops"));
    fixture.world.succeed(sent);
    CHECK(fixture.lastReply().succeeded);
}

TEST_CASE("ClientSession, asks for no key and no quota on a public route")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({});
    auto table = std::make_shared<RouteTable>(*fixture.routes);
    table->routes.at("orders").isPublic = true;
    fixture.routes = table;
    fixture.configurationIsRecent = false;
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.quotaRequests.empty());
    CHECK(fixture.world.sent.size() == 1);
}

// Guards against a key that still works after the configuration that revokes it is in force.
TEST_CASE("ClientSession, refuses the statements of a key that was revoked")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" } });
    fixture.declareWorkspaces({ { "shops", "k2" } });
    fixture.send(StatementKind::Read, "READ 1");
    CHECK(fixture.lastReply().code == ReplyCode::NotAuthorized);
    CHECK(fixture.world.sent.empty());
    CHECK(fixture.quotaRequests.empty());
    fixture.session->checkKey(fixture.world.now);
    CHECK(fixture.closed);
}

TEST_CASE("ClientSession, rolls back the transaction of a key that was revoked")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" } });
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.answerQuota(QuotaDecision::Granted);
    fixture.declareWorkspaces({ { "riders", "k1" } });
    SECTION("with the statement that follows")
    {
        fixture.send(StatementKind::Write, "WRITE 1 x");
        CHECK(fixture.lastReply().code == ReplyCode::Aborted);
        CHECK(fixture.world.sent.empty());
    }
    SECTION("and ends the session after the client has ended the transaction")
    {
        fixture.declareWorkspaces({});
        fixture.session->checkKey(fixture.world.now);
        CHECK_FALSE(fixture.closed);
        fixture.send(StatementKind::Commit, "COMMIT");
        CHECK(fixture.lastReply().code == ReplyCode::Aborted);
        CHECK(fixture.closed);
    }
}

// Guards against a daemon that is cut off and goes on to trust a key that was revoked meanwhile.
TEST_CASE("ClientSession, runs nothing that needs a key while the configuration may be too old")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" } });
    SECTION("outside a transaction")
    {
        fixture.configurationIsRecent = false;
        fixture.send(StatementKind::Read, "READ 1");
        CHECK(fixture.lastReply().code == ReplyCode::Busy);
    }
    SECTION("in a transaction")
    {
        fixture.send(StatementKind::Begin, "BEGIN");
        fixture.answerQuota(QuotaDecision::Granted);
        fixture.configurationIsRecent = false;
        fixture.send(StatementKind::Commit, "COMMIT");
        CHECK(fixture.lastReply().code == ReplyCode::Aborted);
    }
    SECTION("if it became too old while the statement waited for quota")
    {
        fixture.send(StatementKind::Read, "READ 1");
        fixture.configurationIsRecent = false;
        fixture.answerQuota(QuotaDecision::Granted);
        CHECK(fixture.lastReply().code == ReplyCode::Busy);
    }
    CHECK(fixture.world.sent.empty());
}

TEST_CASE("ClientSession, counts a transaction once against the quota")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" } });
    fixture.send(StatementKind::Begin, "BEGIN");
    CHECK(fixture.replies.empty());
    fixture.answerQuota(QuotaDecision::Granted);
    CHECK(fixture.lastReply().succeeded);
    fixture.send(StatementKind::Read, "READ 1");
    fixture.send(StatementKind::Commit, "COMMIT");
    CHECK(fixture.quotaRequests.size() == 1);
}

TEST_CASE("ClientSession, refuses an operation beyond the quota and goes on with the next one")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" } });
    fixture.send(StatementKind::Begin, "BEGIN");
    fixture.send(StatementKind::Read, "READ 1");
    fixture.answerQuota(QuotaDecision::Exceeded);
    CHECK(fixture.lastReply().code == ReplyCode::TooManyConnections);
    CHECK(fixture.lastReply().phase == SessionPhase::Idle);
    CHECK(fixture.quotaRequests.size() == 2);
    fixture.answerQuota(QuotaDecision::Granted);
    CHECK(fixture.world.sent.size() == 1);
}

// Guards against a second reply to a statement that was answered while it waited for quota.
TEST_CASE("ClientSession, gives up the wait for quota")
{
    SessionFixture fixture("orders");
    fixture.declareWorkspaces({ { "shops", "k1" } });
    fixture.send(StatementKind::Read, "READ 1");
    SECTION("when the client leaves")
    {
        fixture.session->onDisconnected(fixture.world.now);
        CHECK(fixture.replies.empty());
    }
    SECTION("when the statement expires")
    {
        fixture.session->expireStatement(fixture.world.now);
        CHECK(fixture.lastReply().code == ReplyCode::Busy);
    }
    CHECK_FALSE(fixture.quotaRequests.back());
    CHECK(fixture.world.sent.empty());
}
