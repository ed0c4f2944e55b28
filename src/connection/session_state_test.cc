#include "connection/endpoint_state.h"
#include "connection/session_state.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Records all commands as executed.
void recordAllExecuted(ConnectionSessionState& held, const std::vector<EndpointCommand>& commands)
{
    EndpointAnswer success;
    success.succeeded = true;
    for (const auto& command : commands) {
        held.onSent(command);
        held.onAnswer(success);
    }
}

std::vector<CommandKind> kindsOf(const std::vector<EndpointCommand>& commands)
{
    std::vector<CommandKind> kinds;
    for (const auto& command : commands)
        kinds.push_back(command.kind);
    return kinds;
}

} // namespace

TEST_CASE("ConnectionSessionState, needs no command when the connection holds the session's state")
{
    ConnectionSessionState held;
    SessionState session;
    session.values = { { "zone", "a" } };
    recordAllExecuted(held, held.commandsFor(session, std::nullopt));
    CHECK(held.commandsFor(session, std::nullopt).empty());
    CHECK(held.matches(session));
}

TEST_CASE("ConnectionSessionState, is reset when it holds a value that the session has not set")
{
    // Guards against a statement that runs with another client's session values.
    ConnectionSessionState held;
    SessionState first;
    first.values = { { "zone", "a" }, { "lang", "th" } };
    recordAllExecuted(held, held.commandsFor(first, std::nullopt));
    SessionState second;
    second.values = { { "zone", "a" } };
    CHECK_FALSE(held.isCompatible(second));
    const auto commands = held.commandsFor(second, std::nullopt);
    CHECK(kindsOf(commands) == std::vector<CommandKind> { CommandKind::Reset, CommandKind::SetValue });
    recordAllExecuted(held, commands);
    CHECK(held.matches(second));
}

TEST_CASE("ConnectionSessionState, shares prepared statements of the same shape between sessions")
{
    ConnectionSessionState held;
    const SessionState session;
    const PreparedStatement write { true, "q2c" };
    recordAllExecuted(held, held.commandsFor(session, write));
    CHECK(held.commandsFor(session, write).empty());
    // The same shape as a read is another statement.
    CHECK(kindsOf(held.commandsFor(session, PreparedStatement { false, "q2c" }))
        == std::vector<CommandKind> { CommandKind::Prepare });
}

TEST_CASE("ConnectionSessionState, prepares again after a reset and after the endpoint forgot the statement")
{
    ConnectionSessionState held;
    const PreparedStatement read { false, "q2c" };
    SessionState session;
    recordAllExecuted(held, held.commandsFor(session, read));
    held.forgetPrepared(read.sharedName());
    CHECK(kindsOf(held.commandsFor(session, read)) == std::vector<CommandKind> { CommandKind::Prepare });
    session.values = { { "zone", "a" } };
    recordAllExecuted(held, held.commandsFor(session, read));
    CHECK(kindsOf(held.commandsFor(SessionState {}, read))
        == std::vector<CommandKind> { CommandKind::Reset, CommandKind::Prepare });
}

TEST_CASE("ConnectionSessionState, bounds the number of prepared statements")
{
    ConnectionSessionState held;
    const SessionState session;
    for (std::size_t i = 0; i < ConnectionSessionState::maxPrepared; ++i)
        recordAllExecuted(held, held.commandsFor(session, PreparedStatement { false, std::to_string(i) }));
    CHECK(kindsOf(held.commandsFor(session, PreparedStatement { false, "one more" }))
        == std::vector<CommandKind> { CommandKind::Reset, CommandKind::Prepare });
}

namespace {

// Feeds windows of answers with the given latency.
void answer(ConcurrencyLimit& limit, Duration latency, int windows, Time& now)
{
    constexpr int answersPerWindow = 30;
    for (int i = 0; i < windows * answersPerWindow; ++i) {
        now += 10ms;
        limit.onAnswer(latency, 100, now);
    }
}

} // namespace

TEST_CASE("ConcurrencyLimit, grows when answers are fast and the limit is reached")
{
    Time now { 10s };
    ConcurrencyLimit limit(4);
    answer(limit, 10ms, 20, now);
    CHECK(limit.value() == Approx(8));
}

TEST_CASE("ConcurrencyLimit, shrinks when statements queue at the endpoint, but not below half of its slots")
{
    // Guards against a limit that ignores the queue which several daemons build up at one endpoint.
    Time now { 10s };
    ConcurrencyLimit limit(4);
    answer(limit, 10ms, 5, now);
    answer(limit, 60ms, 10, now);
    CHECK(limit.value() < 4);
    CHECK(limit.value() >= 2);
}

TEST_CASE("ConcurrencyLimit, decreases only once in a burst of busy refusals")
{
    ConcurrencyLimit limit(10);
    for (int i = 0; i < 20; ++i)
        limit.onBusy(Time(10s) + i * 1ms);
    CHECK(limit.value() == Approx(7));
}

TEST_CASE("EndpointState, raises the lag estimate after a lagging answer and lowers it over time")
{
    EndpointState endpoint { EndpointRecord {} };
    endpoint.onLagging(2s, Time(10s));
    CHECK(endpoint.lagEstimate >= 2s);
    CHECK(endpoint.laggingUntil > Time(10s));
    // Guards against an endpoint that is never offered a read again after it has caught up.
    for (int tick = 0; tick < 50; ++tick)
        endpoint.decayLagEstimate();
    CHECK(endpoint.lagEstimate < 100ms);
}

TEST_CASE("EndpointState, wants fewer connections when they are no longer in use")
{
    // Guards against idle daemons that keep all connections of an endpoint.
    EndpointState endpoint { EndpointRecord {} };
    for (ConnectionId id = 1; id <= 5; ++id)
        endpoint.connections[id].phase = EndpointConnection::Phase::Running;
    endpoint.updateBusyPeak();
    CHECK(endpoint.connectionsWanted() == 5);
    for (auto& [id, connection] : endpoint.connections)
        connection.phase = EndpointConnection::Phase::Idle;
    for (int tick = 0; tick < 90; ++tick)
        endpoint.decayBusyPeak();
    CHECK(endpoint.connectionsWanted() <= 1);
}

TEST_CASE("PreparedStatement, has a name of its own that is one word, whatever its shape contains")
{
    // Guards against two clients' statements under one name, and against a tail of the name that is taken for data: the
    // shape "x WRITE y" was prepared as the name "r_x" with another shape.
    const std::vector<std::string> shapes { "x", "x WRITE y", "x ", " x", "x\n", "x\r", std::string("x\0y", 3),
        "\xc3\xa4", "x_" + std::string(64, 'a'), std::string(1000, 'x') };
    std::set<std::string> names;
    for (const auto& shape : shapes) {
        for (const bool writes : { false, true }) {
            const auto name = PreparedStatement { writes, shape }.sharedName();
            CAPTURE(shape, name);
            CHECK(std::all_of(name.begin(), name.end(), [](char byte) { return byte > ' ' && byte <= '~'; }));
            CHECK(names.insert(name).second);
        }
    }
    CHECK(PreparedStatement { true, "q2c" }.sharedName() == "w_q2c");
    // A shape that looks like a digest is not taken for one.
    const auto digest = PreparedStatement { false, "x y" }.sharedName();
    CHECK(PreparedStatement { false, digest.substr(2) }.sharedName() != digest);
}

TEST_CASE("ConnectionSessionState, prepares statements whose shapes begin with the same word separately")
{
    // Guards against a prepared name that runs another shape than its client prepared.
    ConnectionSessionState held;
    const SessionState session;
    const PreparedStatement plain { false, "x" };
    const PreparedStatement longer { false, "x WRITE y" };
    recordAllExecuted(held, held.commandsFor(session, longer));
    const auto commands = held.commandsFor(session, plain);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().text == plain.sharedName());
    CHECK(commands.front().text != longer.sharedName());
    CHECK(longer.sharedName().find(' ') == std::string::npos);
}

TEST_CASE("ConnectionSessionState, is unknown after a command of which it is not known whether it ran")
{
    // Guards against a value that is set although the endpoint answered with a failure, and that another client's
    // statement then runs with; and against one that is gone although its reset was answered so (review/7).
    const auto kind = GENERATE(CommandKind::SetValue, CommandKind::Reset, CommandKind::Prepare);
    const auto code = GENERATE(ReplyCode::Failed, ReplyCode::Timeout, ReplyCode::InDoubt, ReplyCode::Unknown,
        ReplyCode::Malformed, ReplyCode::Aborted);
    ConnectionSessionState held;
    CHECK(held.isKnown());
    held.onSent({ kind, "", "zone", "a" });
    CHECK_FALSE(held.isKnown());
    EndpointAnswer failure;
    failure.code = code;
    held.onAnswer(failure);
    CHECK_FALSE(held.isKnown());
    // Nothing that follows makes it known again.
    EndpointAnswer success;
    success.succeeded = true;
    for (const auto next : { CommandKind::Status, CommandKind::SetValue, CommandKind::Reset }) {
        held.onSent({ next, "", "lang", "th" });
        held.onAnswer(success);
        CHECK_FALSE(held.isKnown());
    }
}

TEST_CASE("ConnectionSessionState, is what it was after a command that did not run")
{
    const auto kind = GENERATE(CommandKind::SetValue, CommandKind::Reset, CommandKind::Prepare);
    ConnectionSessionState held;
    SessionState session;
    session.values = { { "zone", "a" } };
    recordAllExecuted(held, held.commandsFor(session, std::nullopt));
    EndpointAnswer busy;
    busy.code = ReplyCode::Busy;
    held.onSent({ kind, "", "zone", "b" });
    held.onAnswer(busy);
    CHECK(held.isKnown());
    CHECK(held.matches(session));
}

TEST_CASE("ConnectionSessionState, stays known whatever a statement is answered that cannot change it")
{
    // Guards against connections that are closed for each failed read, which the endpoint would have to open anew.
    ConnectionSessionState held;
    EndpointAnswer failure;
    failure.code = ReplyCode::Failed;
    for (const auto kind : { CommandKind::Forward, CommandKind::Execute, CommandKind::Begin, CommandKind::BeginRead,
             CommandKind::Rollback, CommandKind::Status, CommandKind::Demote }) {
        held.onSent({ kind });
        held.onAnswer(failure);
        CHECK(held.isKnown());
    }
}
