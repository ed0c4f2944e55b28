#include "edge/session_server.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <string>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Answers each statement when the test says so.
class HeldRunner : public StatementRunner {
public:
    void submit(const ExecutionPtr& execution, Time) override { this->held.push_back(execution); }
    void continueTransaction(ConnectionId, const ExecutionPtr& execution, Time) override
    {
        this->held.push_back(execution);
    }
    void endTransaction(ConnectionId, Time) override { }
    void abandon(const ExecutionPtr& execution, Time) override { execution->finished = true; }
    void expire(const ExecutionPtr& execution, Time) override
    {
        this->held.erase(std::find(this->held.begin(), this->held.end(), execution));
        StatementResult result;
        result.answer.code = ReplyCode::InDoubt;
        result.answer.errorText = "no answer in time";
        execution->callback(result);
    }

    void answerOne()
    {
        const auto execution = this->held.front();
        this->held.pop_front();
        ++this->ran;
        StatementResult result;
        result.answer.succeeded = true;
        result.answer.payload = "COMPLETE sig\r\n";
        result.answer.phase = SessionPhase::Idle;
        execution->callback(result);
    }

    std::deque<ExecutionPtr> held;
    int ran = 0;
};

struct Fixture {
    explicit Fixture(std::size_t maxSessions = 100)
        : server(context, timers, this->makeHooks(), maxSessions)
    {
        auto table = std::make_shared<RouteTable>();
        Route route;
        route.databaseName = "shop";
        route.group = DatabaseId("g");
        route.statementTimeout = 1s;
        route.objective = 100ms;
        table->routes["shop"] = route;
        this->routes = table;
        this->server.listen({ "127.0.0.1", 0 });
    }

    SessionServerHooks makeHooks()
    {
        SessionServerHooks hooks;
        hooks.now = [this] { return this->clock; };
        hooks.routes = [this] { return this->routes; };
        hooks.runner = [this](const DatabaseId&) { return &this->runner; };
        hooks.record = [](const StatementRecord&) {};
        hooks.ended = [this](const SessionEnd& end) { this->ends.push_back(end); };
        hooks.startHold = [this] { return this->startHold; };
        hooks.servesNothing = [this] { return this->servesNothing; };
        hooks.gate.configurationIsRecent = [this](Time) { return this->configurationIsRecent; };
        return hooks;
    }

    // Declares one workspace with the given key.
    void declareWorkspace(const std::string& key)
    {
        auto table = std::make_shared<RouteTable>(*this->routes);
        table->workspacesInUse = true;
        table->keyIndex = { { key, WorkspaceId("shops") } };
        this->routes = table;
    }

    void poll()
    {
        // Loopback delivers within the call, so that a few passes let everything settle.
        constexpr int passes = 20;
        for (int i = 0; i < passes; ++i) {
            this->context.restart();
            this->context.poll();
            this->timers.advance(this->clock);
        }
    }

    Time clock { 1000s };
    asio::io_context context;
    TimerService timers;
    HeldRunner runner;
    std::shared_ptr<const RouteTable> routes;
    std::vector<SessionEnd> ends;
    Duration startHold = 1s;
    bool configurationIsRecent = true;
    bool servesNothing = false;
    SessionServer server;
};

// A client that reads when the test says so.
class Client {
public:
    explicit Client(Fixture& fixture)
        : fixture(fixture)
        , socket(context)
    {
        this->socket.connect({ asio::ip::make_address("127.0.0.1"), fixture.server.port() });
        this->socket.non_blocking(true);
    }

    void send(const std::string& line) { asio::write(this->socket, asio::buffer(line + "\r\n")); }

    // Everything that the server has written so far.
    std::string received()
    {
        this->fixture.poll();
        std::array<char, 4096> buffer {};
        asio::error_code error;
        while (true) {
            const auto length = this->socket.read_some(asio::buffer(buffer), error);
            if (error)
                break;
            this->text.append(buffer.data(), length);
        }
        this->reset = this->reset || error == asio::error::connection_reset;
        this->closed = this->closed || error == asio::error::eof || this->reset;
        return this->text;
    }

    void start()
    {
        this->send("STARTUP shop u1");
        REQUIRE(this->received() == "READY I -\r\n");
        this->text.clear();
    }

    bool closed = false;
    bool reset = false;

private:
    Fixture& fixture;
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string text;
};

const std::string notice = "ERROR BUSY the daemon is stopping; connect again\r\n";

} // namespace

// Guards against requests that are cut off because they were on their way when a planned stop closed the session.
TEST_CASE("SessionServer, answers every statement that crosses the end of its session")
{
    constexpr int rounds = 1000;
    for (int i = 0; i < rounds; ++i) {
        Fixture fixture;
        Client client(fixture);
        client.start();
        // The statement is in the server's socket when the session ends.
        client.send("QUERY 1 READ a");
        fixture.server.closeIdleSessions();
        const auto answer = client.received();
        CAPTURE(i, answer);
        REQUIRE(answer == notice + "READY I -\r\n");
        REQUIRE_FALSE(client.reset);
        REQUIRE(fixture.runner.held.empty());
    }
}

TEST_CASE("SessionServer, tells an idle client that the session ends and waits for it to close")
{
    Fixture fixture;
    Client client(fixture);
    client.start();
    fixture.server.closeIdleSessions();
    CHECK(client.received() == notice);
    CHECK_FALSE(client.closed);
    CHECK(fixture.server.sessions() == 1);
}

TEST_CASE("SessionServer, answers the statement under way before it ends the session")
{
    Fixture fixture;
    Client client(fixture);
    client.start();
    client.send("QUERY 1 READ a");
    fixture.poll();
    fixture.server.closeIdleSessions();
    CHECK(client.received().empty());
    fixture.runner.answerOne();
    CHECK(client.received() == "COMPLETE sig\r\nREADY I -\r\n" + notice);
}

// Guards against a client that the balancer still sends to a stopping daemon and that finds its session closed.
TEST_CASE("SessionServer, serves one operation of a session that starts while the daemon stops")
{
    Fixture fixture;
    fixture.server.closeIdleSessions();
    Client client(fixture);
    client.start();
    client.send("QUERY 1 READ a");
    fixture.poll();
    REQUIRE(fixture.runner.held.size() == 1);
    fixture.runner.answerOne();
    CHECK(client.received() == "COMPLETE sig\r\nREADY I -\r\n" + notice);
}

// Guards against connections that end without an answer and without a trace when the daemon is full.
TEST_CASE("SessionServer, refuses a session beyond its limit with an answer")
{
    Fixture fixture(1);
    Client first(fixture);
    first.start();
    Client second(fixture);
    second.send("STARTUP shop u2");
    CHECK(second.received() == "ERROR BUSY the daemon has no room for a session\r\n");
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends.front().reason == SessionEndReason::SessionLimit);
}

// Guards against a cut request that on-call engineers cannot find in the logs.
TEST_CASE("SessionServer, reports the request that was under way when a session is lost")
{
    Fixture fixture;
    {
        Client client(fixture);
        client.start();
        client.send("QUERY 5c0e READ a");
        fixture.poll();
    }
    fixture.poll();
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends.front().request == "5c0e");
    CHECK(fixture.ends.front().database == "shop");
    CHECK(fixture.ends.front().isCut());
}

// Guards against clients that spend their retries on a fleet which has restarted and whose store is still away.
TEST_CASE("SessionServer, holds a session start until the first configuration is known")
{
    Fixture fixture;
    const auto routes = std::exchange(fixture.routes, nullptr);
    Client client(fixture);
    client.send("STARTUP shop u1");
    CHECK(client.received().empty());
    fixture.routes = routes;
    fixture.server.startHeldSessions();
    CHECK(client.received() == "READY I -\r\n");
}

TEST_CASE("SessionServer, refuses a session start at once when it must not wait for a configuration")
{
    Fixture fixture;
    fixture.routes = nullptr;
    fixture.startHold = 0s;
    Client client(fixture);
    client.send("STARTUP shop u1");
    CHECK(client.received() == "ERROR BUSY no configuration is known yet\r\n");
}

// Guards against sessions that start on a daemon which is cut off and wait there until their deadline.
TEST_CASE("SessionServer, refuses a session start at once when the daemon can serve no group")
{
    Fixture fixture;
    Client open(fixture);
    open.start();
    fixture.servesNothing = true;
    Client client(fixture);
    client.send("STARTUP shop u1");
    CHECK(client.received() == "ERROR BUSY no group can be reached from this daemon; connect elsewhere\r\n");
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends.front().reason == SessionEndReason::StartRefused);
    CHECK(fixture.server.sessions() == 1);
}

TEST_CASE("SessionServer, refuses a held session start when its time is over")
{
    Fixture fixture;
    fixture.routes = nullptr;
    fixture.startHold = 1ms;
    Client client(fixture);
    client.send("STARTUP shop u1");
    CHECK(client.received().empty());
    fixture.clock += fixture.startHold;
    CHECK(client.received() == "ERROR BUSY no configuration is known yet\r\n");
}

// Guards against statements that a stopping daemon has taken and then cuts because its process ends (review/5).
TEST_CASE("SessionServer, answers every statement that it has taken before a planned stop ends")
{
    Fixture fixture;
    Client underWay(fixture);
    underWay.start();
    underWay.send("QUERY 1 WRITE a 1");
    underWay.received();
    REQUIRE(fixture.runner.held.size() == 1);
    Client later(fixture);
    later.start();
    fixture.server.closeIdleSessions();
    fixture.server.accept(StatementAcceptance::None);
    later.send("QUERY 2 READ a");
    CHECK(later.received() == notice + "READY I -\r\n");
    Client newcomer(fixture);
    newcomer.send("STARTUP shop u1");
    CHECK(newcomer.received() == notice);
    CHECK(newcomer.closed);
    CHECK(fixture.runner.held.size() == 1);
    fixture.server.expireStatements();
    CHECK(underWay.received() == "ERROR INDOUBT no answer in time\r\nREADY I -\r\n" + notice);
    fixture.server.closeAll();
    fixture.poll();
    CHECK(std::none_of(
        fixture.ends.begin(), fixture.ends.end(), [](const SessionEnd& end) { return !end.request.empty(); }));
}

TEST_CASE("SessionServer, runs one statement for a line whose data contains a line feed")
{
    // Guards against data that smuggles another statement, or an end of the transaction that it is in (review/8).
    Fixture fixture;
    Client client(fixture);
    client.start();
    const std::string text = "WRITE 1a4 note\nQUERY 9999 WRITE 7f0 free";
    client.send("QUERY 5c0e " + text);
    client.received();
    REQUIRE(fixture.runner.held.size() == 1);
    CHECK(fixture.runner.held.front()->work.statement.id == "5c0e");
    CHECK(fixture.runner.held.front()->work.statement.text == text);
    fixture.runner.answerOne();
    CHECK(client.received() == "COMPLETE sig\r\nREADY I -\r\n");
    CHECK(fixture.runner.held.empty());
}

// Guards against an outcome that a runner reports twice, or too late, and that a client takes for its next answer.
TEST_CASE("SessionServer, gives an outcome to the statement that it belongs to and to nobody else")
{
    Fixture fixture;
    Client first(fixture);
    Client second(fixture);
    first.start();
    second.start();
    first.send("QUERY 1 READ a");
    second.send("QUERY 2 READ b");
    fixture.poll();
    REQUIRE(fixture.runner.held.size() == 2);
    const auto answered = fixture.runner.held.front();
    std::string expected;
    SECTION("when it is reported twice")
    {
        fixture.runner.answerOne();
        expected = "COMPLETE sig\r\nREADY I -\r\n";
    }
    SECTION("when it is reported after the time-out of the statement")
    {
        fixture.runner.expire(answered, fixture.clock);
        expected = "ERROR INDOUBT no answer in time\r\nREADY I -\r\n";
    }
    REQUIRE(first.received() == expected);
    first.send("QUERY 3 READ a");
    fixture.poll();
    REQUIRE(fixture.runner.held.size() == 2);
    StatementResult late;
    late.answer.succeeded = true;
    late.answer.payload = "COMPLETE late\r\n";
    answered->callback(late);
    CHECK(first.received() == expected);
    CHECK(second.received().empty());
}

// Guards against sessions of clients whose key no configuration has held.
TEST_CASE("SessionServer, refuses a session start whose key no workspace holds")
{
    Fixture fixture;
    fixture.declareWorkspace("u1");
    for (const char* line : { "STARTUP shop u2", "STARTUP shop", "STARTUP shop u1 ", "STARTUP shop u1 u1" }) {
        CAPTURE(line);
        Client client(fixture);
        client.send(line);
        CHECK(client.received().find("ERROR NOAUTH ") == 0);
        CHECK(client.closed);
    }
    Client client(fixture);
    client.start();
}

// Guards against clients with a new key that take a final refusal from a daemon that has not heard of the key yet.
TEST_CASE("SessionServer, sends clients elsewhere while the configuration may be too old")
{
    Fixture fixture;
    fixture.declareWorkspace("u2");
    fixture.configurationIsRecent = false;
    Client client(fixture);
    client.send("STARTUP shop u1");
    CHECK(client.received().find("ERROR BUSY ") == 0);
    CHECK(client.closed);
}

TEST_CASE("SessionServer, closes idle sessions whose key is revoked and keeps the others")
{
    Fixture fixture;
    fixture.declareWorkspace("u1");
    Client client(fixture);
    client.start();
    fixture.server.checkKeys();
    CHECK(client.received().empty());
    CHECK_FALSE(client.closed);
    fixture.declareWorkspace("u2");
    fixture.server.checkKeys();
    CHECK(client.received().empty());
    CHECK(client.closed);
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends.front().reason == SessionEndReason::KeyRevoked);
}

TEST_CASE("SessionServer, answers the statement under way before it ends a session whose key is revoked")
{
    Fixture fixture;
    fixture.declareWorkspace("u1");
    Client client(fixture);
    client.start();
    client.send("QUERY 1 READ 5");
    fixture.poll();
    REQUIRE(fixture.runner.held.size() == 1);
    CHECK(fixture.runner.held.front()->work.workspace == WorkspaceId("shops"));
    fixture.declareWorkspace("u2");
    fixture.server.checkKeys();
    CHECK_FALSE(client.closed);
    fixture.runner.answerOne();
    CHECK(client.received() == "COMPLETE sig\r\nREADY I -\r\n");
    CHECK(client.closed);
}

TEST_CASE("SessionServer, checks the key of a session start that waited for the configuration")
{
    Fixture fixture;
    const auto known = fixture.routes;
    fixture.routes = nullptr;
    Client client(fixture);
    client.send("STARTUP shop u1");
    fixture.poll();
    fixture.routes = known;
    fixture.declareWorkspace("u2");
    fixture.server.startHeldSessions();
    CHECK(client.received().find("ERROR NOAUTH ") == 0);
}
