#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("GroupScheduler, sends writes to the primary")
{
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    const auto sent = fixture.take();
    CHECK(fixture.endpointName(sent.connection) == "e1");
    fixture.succeed(sent);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.succeeded);
}

TEST_CASE("GroupScheduler, serves a bounded-staleness read at a replica in its data centre when a position is known")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    fixture.submit(SchedulerFixture::read(false));
    const auto sent = fixture.take();
    CHECK(fixture.endpointName(sent.connection) == "e2");
    CHECK(sent.command.minimum == Position { 1, 10 });
}

TEST_CASE("GroupScheduler, serves a bounded-staleness read at the primary when no position is known")
{
    // Guards against a read at a replica whose staleness cannot be checked.
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::read(false));
    CHECK(fixture.endpointName(fixture.take().connection) == "e1");
}

TEST_CASE("GroupScheduler, serves a read at the primary when no known position covers the session's last write")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    auto work = SchedulerFixture::read(false);
    work.lastWrite = Position { 1, 12 };
    fixture.submit(work);
    const auto sent = fixture.take();
    // The write is newer than every known position, so the primary serves the read.
    CHECK(fixture.endpointName(sent.connection) == "e1");
}

TEST_CASE("GroupScheduler, sends a read to another endpoint when the replica lags")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    fixture.submit(SchedulerFixture::read(false));
    const auto first = fixture.take();
    fixture.fail(first, ReplyCode::Lagging);
    const auto second = fixture.take();
    CHECK(fixture.endpointName(second.connection) != fixture.endpointName(first.connection));
    CHECK(fixture.results.empty());
}

TEST_CASE("GroupScheduler, sends a read to the primary when two replicas have lagged")
{
    // Guards against reporting Lagging to the client although the primary could serve the read.
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    fixture.submit(SchedulerFixture::read(false));
    fixture.fail(fixture.take(), ReplyCode::Lagging);
    fixture.fail(fixture.take(), ReplyCode::Lagging);
    CHECK(fixture.endpointName(fixture.take().connection) == "e1");
}

TEST_CASE("GroupScheduler, does not use the primary when the lease is not valid")
{
    SchedulerFixture fixture;
    fixture.lease = false;
    fixture.submit(SchedulerFixture::write());
    CHECK(fixture.sent.empty());
    fixture.advance(1s);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::Busy);
}

TEST_CASE("GroupScheduler, does not acknowledge a write when the lease expired before the answer")
{
    // Guards against acknowledging a write at a primary that was replaced while this daemon was suspended.
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.lease = false;
    fixture.succeed(fixture.take());
    REQUIRE(fixture.results.size() == 1);
    CHECK_FALSE(fixture.results[0].answer.succeeded);
    CHECK(fixture.results[0].answer.code == ReplyCode::InDoubt);
}

TEST_CASE("GroupScheduler, does not return a read at the primary when the lease expired before the answer")
{
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::read(true));
    fixture.lease = false;
    fixture.succeed(fixture.take());
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::Busy);
}

TEST_CASE("GroupScheduler, reports a write as in doubt when its connection is lost")
{
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.scheduler->onClosed(fixture.take().connection, fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::InDoubt);
    CHECK(fixture.sent.empty());
}

TEST_CASE("GroupScheduler, retries a read when its connection is lost")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    fixture.submit(SchedulerFixture::read(false));
    fixture.scheduler->onClosed(fixture.take().connection, fixture.now);
    CHECK(fixture.results.empty());
    CHECK(fixture.sent.size() == 1);
}

TEST_CASE("GroupScheduler, retries a write only when the endpoint reports that it did not run")
{
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.fail(fixture.take(), ReplyCode::Busy);
    CHECK(fixture.sent.empty());
    fixture.advance(20ms);
    REQUIRE(fixture.sent.size() == 1);
    fixture.fail(fixture.take(), ReplyCode::Failed);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::Failed);
    fixture.advance(20ms);
    CHECK(fixture.sent.empty());
}

TEST_CASE("GroupScheduler, reports a write as in doubt and a read as timed out when the endpoint does not answer")
{
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.submit(SchedulerFixture::read(true));
    fixture.completeOpens();
    const auto connection = fixture.take().connection;
    fixture.advance(1s);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[0].answer.code == ReplyCode::InDoubt);
    CHECK(fixture.results[1].answer.code == ReplyCode::Timeout);
    // The state of the connection is unknown, so it is closed.
    CHECK(std::count(fixture.closed.begin(), fixture.closed.end(), connection) == 1);
}

// Guards against statements without an answer, or with a wrong one, when a stopping daemon ends before their timeouts.
TEST_CASE("GroupScheduler, answers at once and truthfully the statements that are expired")
{
    SchedulerFixture fixture;
    const auto write = fixture.submit(SchedulerFixture::write());
    const auto read = fixture.submit(SchedulerFixture::read(true));
    fixture.completeOpens();
    REQUIRE(write->firstSentAt);
    REQUIRE(read->firstSentAt);
    // Fills the endpoint, so that the last one waits.
    ExecutionPtr waiting;
    while (!waiting || waiting->firstSentAt)
        waiting = fixture.submit(SchedulerFixture::write());
    for (const auto& execution : { write, read, waiting })
        fixture.scheduler->expire(execution, fixture.now);
    REQUIRE(fixture.results.size() == 3);
    CHECK(fixture.results[0].answer.code == ReplyCode::InDoubt);
    CHECK(fixture.results[1].answer.code == ReplyCode::Timeout);
    CHECK(fixture.results[2].answer.code == ReplyCode::Busy);
    // A second call, or the timeout itself, does not answer again.
    for (const auto& execution : { write, read, waiting })
        fixture.scheduler->expire(execution, fixture.now);
    CHECK(fixture.results.size() == 3);
}

TEST_CASE("GroupScheduler, pins a transaction to its connection and reuses the connection after the commit")
{
    SchedulerFixture fixture;
    auto work = SchedulerFixture::read(true);
    work.start = TransactionStart::Plain;
    fixture.submit(work);
    const auto begin = fixture.take();
    CHECK(begin.command.kind == CommandKind::Begin);
    fixture.succeed(begin, SessionPhase::Transaction);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    REQUIRE(fixture.results.size() == 1);
    REQUIRE(fixture.results[0].connection);
    // Another statement does not get the connection.
    fixture.submit(SchedulerFixture::write());
    CHECK(fixture.sent.empty());
    fixture.scheduler->continueTransaction(
        *fixture.results[0].connection, fixture.makeExecution(SchedulerFixture::commit()), fixture.now);
    const auto commit = fixture.take();
    CHECK(commit.connection == begin.connection);
    CHECK(commit.command.text == "COMMIT");
    fixture.succeed(commit, SessionPhase::Idle);
    CHECK(fixture.results.size() == 2);
    CHECK(fixture.take().connection == begin.connection);
}

TEST_CASE("GroupScheduler, aborts a transaction whose connection is lost before the commit")
{
    SchedulerFixture fixture;
    auto work = SchedulerFixture::write();
    work.start = TransactionStart::Plain;
    fixture.submit(work);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    const auto write = fixture.take();
    fixture.succeed(write, SessionPhase::Transaction);
    const auto connection = *fixture.results[0].connection;
    fixture.scheduler->onClosed(connection, fixture.now);
    fixture.scheduler->continueTransaction(
        connection, fixture.makeExecution(SchedulerFixture::read(true)), fixture.now);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[1].answer.code == ReplyCode::Aborted);
}

TEST_CASE("GroupScheduler, reports a commit as in doubt when its answer is lost")
{
    SchedulerFixture fixture;
    auto work = SchedulerFixture::write();
    work.start = TransactionStart::Plain;
    fixture.submit(work);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    const auto connection = *fixture.results[0].connection;
    fixture.scheduler->continueTransaction(connection, fixture.makeExecution(SchedulerFixture::commit()), fixture.now);
    fixture.scheduler->onClosed(connection, fixture.now);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[1].answer.code == ReplyCode::InDoubt);
}

TEST_CASE("GroupScheduler, rolls back a transaction when its statement is abandoned")
{
    SchedulerFixture fixture;
    auto work = SchedulerFixture::write();
    work.start = TransactionStart::Plain;
    const auto execution = fixture.submit(work);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    fixture.scheduler->abandon(execution, fixture.now);
    const auto write = fixture.take();
    fixture.succeed(write, SessionPhase::Transaction);
    const auto rollback = fixture.take();
    CHECK(rollback.command.kind == CommandKind::Rollback);
    CHECK(rollback.connection == write.connection);
    CHECK(fixture.results.empty());
}

TEST_CASE(
    "GroupScheduler, rolls back read-write transactions and waits for running writes when the primary is suspended")
{
    SchedulerFixture fixture;
    auto work = SchedulerFixture::read(true);
    work.start = TransactionStart::Plain;
    fixture.submit(work);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    const auto pinned = *fixture.results[0].connection;
    fixture.submit(SchedulerFixture::write());
    fixture.completeOpens();
    const auto write = fixture.take();
    bool drained = false;
    fixture.scheduler->suspendPrimary(fixture.now, [&] { drained = true; });
    CHECK(std::count(fixture.closed.begin(), fixture.closed.end(), pinned) == 1);
    CHECK_FALSE(drained);
    fixture.succeed(write);
    CHECK(drained);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[1].answer.succeeded);
    // No further writes are sent to the suspended primary.
    fixture.submit(SchedulerFixture::write());
    CHECK(fixture.sent.empty());
}

TEST_CASE("GroupScheduler, does not acknowledge a write after the suspension was confirmed")
{
    // Guards against an acknowledgement by a primary that has been replaced in the meantime.
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    const auto write = fixture.take();
    bool drained = false;
    fixture.scheduler->suspendPrimary(fixture.now, [&] { drained = true; });
    fixture.advance(GroupScheduler::drainTimeout + 1ms);
    CHECK(drained);
    fixture.succeed(write);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::InDoubt);
}

TEST_CASE("GroupScheduler, does not acknowledge a write of an earlier term of the primary")
{
    // Guards against acknowledging a write that the endpoint dropped when it was replaced, before it led again.
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.scheduler->setPrimary(EndpointId("e2"), 2, fixture.now);
    fixture.scheduler->setPrimary(EndpointId("e1"), 3, fixture.now);
    fixture.succeed(fixture.take());
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::InDoubt);
}

TEST_CASE("GroupScheduler, acknowledges a write when the primary was confirmed in its term")
{
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.scheduler->suspendPrimary(fixture.now, [] {});
    fixture.scheduler->setPrimary(EndpointId("e1"), 1, fixture.now);
    fixture.succeed(fixture.take());
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.succeeded);
}

TEST_CASE("GroupScheduler, rolls back a transaction of an earlier term of the primary")
{
    SchedulerFixture fixture;
    auto begin = SchedulerFixture::write();
    begin.start = TransactionStart::Plain;
    fixture.submit(begin);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    REQUIRE(fixture.results.size() == 1);
    REQUIRE(fixture.results[0].connection);
    fixture.scheduler->setPrimary(EndpointId("e2"), 2, fixture.now);
    fixture.scheduler->setPrimary(EndpointId("e1"), 3, fixture.now);
    fixture.scheduler->continueTransaction(
        *fixture.results[0].connection, fixture.makeExecution(SchedulerFixture::commit()), fixture.now);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[1].answer.code == ReplyCode::Aborted);
}

TEST_CASE("GroupScheduler, serves waiting writes at the new primary")
{
    SchedulerFixture fixture;
    fixture.scheduler->suspendPrimary(fixture.now, [] {});
    fixture.submit(SchedulerFixture::write());
    fixture.advance(600ms);
    CHECK(fixture.results.empty());
    fixture.scheduler->setPrimary(EndpointId("e2"), 2, fixture.now);
    CHECK(fixture.endpointName(fixture.take().connection) == "e2");
}

TEST_CASE("GroupScheduler, refuses statements immediately when they cannot be served in time")
{
    // Submits more reads than the primary can run, as happens while all replicas lag. The excess must be refused
    // immediately instead of waiting until it times out.
    SchedulerFixture fixture;
    constexpr int statements = 400;
    for (int i = 0; i < statements; ++i)
        fixture.submit(SchedulerFixture::read(true));
    REQUIRE_FALSE(fixture.results.empty());
    for (const auto& result : fixture.results) {
        CHECK(result.answer.code == ReplyCode::Busy);
        CHECK(result.reason == "not_in_time");
    }
    CHECK(fixture.results.size() > statements / 2);
}

TEST_CASE("GroupScheduler, starts the waiting statement with the highest priority when a connection becomes free")
{
    SchedulerFixture fixture;
    fixture.scheduler->setConnectionShare(1);
    fixture.submit(SchedulerFixture::write());
    const auto running = fixture.take();
    auto normal = SchedulerFixture::write();
    normal.priority = 2;
    normal.statement.id = "normal";
    fixture.submit(normal);
    auto urgent = SchedulerFixture::write();
    urgent.priority = 1;
    urgent.statement.id = "urgent";
    fixture.submit(urgent);
    fixture.succeed(running);
    CHECK(fixture.take().command.id == "urgent");
}

TEST_CASE("GroupScheduler, gives a draining replica no new reads")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    fixture.setEndpoints({ "e2" });
    fixture.submit(SchedulerFixture::read(false));
    CHECK(fixture.endpointName(fixture.take().connection) == "e3");
}

TEST_CASE("GroupScheduler, sends a read to a second endpoint when the first does not answer")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(100ms);
    fixture.submit(SchedulerFixture::read(false));
    const auto first = fixture.take();
    for (int i = 0; i < 3; ++i) {
        fixture.advance(100ms);
        fixture.scheduler->tick(fixture.now);
    }
    REQUIRE(fixture.sent.size() == 1);
    const auto second = fixture.take();
    CHECK(fixture.endpointName(second.connection) != fixture.endpointName(first.connection));
    fixture.succeed(second);
    REQUIRE(fixture.results.size() == 1);
    // The late first answer is not reported again.
    fixture.succeed(first);
    CHECK(fixture.results.size() == 1);
}

TEST_CASE("GroupScheduler, suspects the primary when it does not answer")
{
    SchedulerFixture fixture;
    CHECK(fixture.scheduler->primarySuspicion() == PrimarySuspicion::None);
    fixture.submit(SchedulerFixture::write());
    fixture.advance(700ms);
    fixture.scheduler->tick(fixture.now);
    CHECK(fixture.scheduler->primarySuspicion() == PrimarySuspicion::Silent);
}

TEST_CASE("GroupScheduler, prepares a statement again when the endpoint no longer knows it")
{
    SchedulerFixture fixture;
    auto work = SchedulerFixture::read(true);
    work.statement = { StatementKind::Execute, "id", "EXECUTE s1 1a", "s1", "1a" };
    work.prepared = PreparedStatement { false, "q2c" };
    fixture.submit(work);
    const auto prepare = fixture.take();
    CHECK(prepare.command.kind == CommandKind::Prepare);
    fixture.succeed(prepare);
    const auto execute = fixture.take();
    CHECK(execute.command.kind == CommandKind::Execute);
    CHECK(execute.command.text == "r_q2c");
    fixture.fail(execute, ReplyCode::NoStatement);
    CHECK(fixture.take().command.kind == CommandKind::Prepare);
}

TEST_CASE(
    "GroupScheduler, queues statements when the primary is unknown shortly after the start and refuses them later")
{
    // Guards against a daemon that refuses all statements after a restart until it has read its tables from a slow
    // store.
    TimerService timers;
    bool refused = false;
    SchedulerHooks hooks;
    hooks.leaseValid = [](Time) { return true; };
    const Time start { 1000s };
    GroupScheduler scheduler(DatabaseId("shop"), DataCentre("a"), timers, std::move(hooks), start);
    const auto submit = [&](Time now) {
        auto execution = std::make_shared<Execution>();
        execution->work = SchedulerFixture::write();
        execution->work.session = std::make_shared<SessionState>();
        execution->work.arrivedAt = now;
        execution->work.expiresAt = now + 800ms;
        execution->callback = [&](const StatementResult&) { refused = true; };
        scheduler.submit(execution, now);
    };
    submit(start + 100ms);
    CHECK_FALSE(refused);
    submit(start + 10s);
    CHECK(refused);
}

TEST_CASE("GroupScheduler, does not suspect the primary when it refuses connections because of its limit")
{
    // Guards against a burst of primary checks when many daemons restart at once and all connections of the primary
    // are taken.
    SchedulerFixture fixture;
    fixture.submit(SchedulerFixture::write());
    fixture.scheduler->onClosed(fixture.take().connection, fixture.now);
    for (int i = 0; i < 20; ++i) {
        fixture.advance(100ms);
        fixture.scheduler->tick(fixture.now);
        for (const auto& [id, endpoint] : std::exchange(fixture.opening, {})) {
            if (endpoint == EndpointId("e1"))
                fixture.scheduler->onConnectionLimit(id, fixture.now);
        }
        CHECK(fixture.scheduler->primarySuspicion() == PrimarySuspicion::None);
    }
}

TEST_CASE("GroupScheduler, refuses writes immediately when the replacement of the primary takes too long")
{
    // Guards against queueing every write until it times out while a failover waits for the lease of a silent daemon.
    SchedulerFixture fixture;
    fixture.scheduler->suspendPrimary(fixture.now, [] {});
    fixture.submit(SchedulerFixture::write());
    CHECK(fixture.results.empty());
    fixture.advance(4s);
    fixture.results.clear();
    fixture.submit(SchedulerFixture::write());
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::Busy);
    CHECK(fixture.results[0].reason == "not_in_time");
}

// Guards against clients that are idle inside transactions and occupy all connections to an endpoint.
TEST_CASE("GroupScheduler, reserves a connection for single statements when clients are idle inside transactions")
{
    SchedulerFixture fixture;
    auto begin = SchedulerFixture::write();
    begin.start = TransactionStart::Plain;
    constexpr int idleClients = 20;
    for (int i = 0; i < idleClients; ++i)
        fixture.submit(begin);
    for (int round = 0; round < idleClients * 4; ++round) {
        fixture.completeOpens();
        const auto sent = fixture.take();
        if (sent.connection != 0)
            fixture.succeed(sent, SessionPhase::Transaction);
        fixture.advance(1ms);
    }
    const auto opened = fixture.results.size();
    CHECK(opened >= 3);
    fixture.submit(SchedulerFixture::write());
    fixture.advance(1ms);
    fixture.completeOpens();
    const auto sent = fixture.take();
    CAPTURE(opened);
    CHECK(sent.command.kind == CommandKind::Forward);
    CHECK(fixture.endpointName(sent.connection) == "e1");
}

// Guards against a restarted daemon that accepts forwarded reads which it cannot serve, and refuses them after a wait,
// because it has no lease and knows no position that a replica must have reached.
TEST_CASE("GroupScheduler, needs the primary for a bounded-staleness read when no position is known")
{
    SchedulerFixture fixture;
    CHECK(fixture.scheduler->needsPrimary(SchedulerFixture::read(false)));
    fixture.reportPosition();
    fixture.advance(50ms);
    CHECK_FALSE(fixture.scheduler->needsPrimary(SchedulerFixture::read(false)));
    CHECK(fixture.scheduler->needsPrimary(SchedulerFixture::write()));
}

// Guards against a restarted daemon that queues statements for a primary whose connections are all counted as taken,
// while another daemon has a connection.
TEST_CASE("GroupScheduler, lacks access to the primary when its only attempt to connect was refused by the limit")
{
    SchedulerFixture fixture;
    fixture.reportPosition();
    fixture.advance(50ms);
    CHECK_FALSE(fixture.scheduler->lacksAccessToPrimary(SchedulerFixture::write(), fixture.now));
    fixture.loseConnectionsTo("e1");
    CHECK_FALSE(fixture.scheduler->lacksAccessToPrimary(SchedulerFixture::write(), fixture.now));
    fixture.advance(1s);
    fixture.scheduler->tick(fixture.now);
    fixture.refuseOpens("e1");
    CHECK(fixture.scheduler->lacksAccessToPrimary(SchedulerFixture::write(), fixture.now));
    CHECK_FALSE(fixture.scheduler->lacksAccessToPrimary(SchedulerFixture::read(false), fixture.now));
    fixture.advance(1s);
    fixture.scheduler->tick(fixture.now);
    fixture.completeOpens();
    CHECK_FALSE(fixture.scheduler->lacksAccessToPrimary(SchedulerFixture::write(), fixture.now));
}

TEST_CASE("GroupScheduler, lacks access to the primary when it has no lease")
{
    SchedulerFixture fixture;
    fixture.lease = false;
    CHECK(fixture.scheduler->lacksAccessToPrimary(SchedulerFixture::write(), fixture.now));
}

// Guards against replicas that stay idle after a restart until the primary has run a statement: behind a backlog that
// takes longer than to open a connection.
TEST_CASE("GroupScheduler, serves reads at replicas as soon as a session at the primary has started")
{
    SchedulerFixture fixture;
    for (const auto* endpoint : { "e1", "e2", "e3" })
        fixture.loseConnectionsTo(endpoint);
    fixture.positionAtStart = Position { 1, 10 };
    fixture.advance(1s);
    fixture.scheduler->tick(fixture.now);
    fixture.completeOpens();
    fixture.advance(20ms);
    CHECK_FALSE(fixture.scheduler->needsPrimary(SchedulerFixture::read(false)));
    fixture.submit(SchedulerFixture::read(false));
    CHECK(fixture.endpointName(fixture.take().connection) == "e2");
}
