// What a shared connection is used for after a command of the proxy has failed on it.
#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Read of a session that has set the given values.
ScheduledStatement readWith(const std::map<std::string, std::string>& values, const std::string& id)
{
    auto work = SchedulerFixture::read(true);
    work.statement.id = id;
    auto session = std::make_shared<SessionState>();
    session->values = values;
    work.session = session;
    return work;
}

// Answers all commands with success until none is outstanding; returns them.
std::vector<SchedulerFixture::Sent> succeedAll(SchedulerFixture& fixture)
{
    std::vector<SchedulerFixture::Sent> answered;
    for (int round = 0; round < 5; ++round) {
        fixture.advance(20ms);
        fixture.completeOpens();
        while (!fixture.sent.empty()) {
            answered.push_back(fixture.take());
            fixture.succeed(answered.back());
        }
    }
    return answered;
}

bool isClosed(const SchedulerFixture& fixture, ConnectionId connection)
{
    return std::find(fixture.closed.begin(), fixture.closed.end(), connection) != fixture.closed.end();
}

} // namespace

TEST_CASE("GroupScheduler, uses no connection again on which a command may have changed the session state")
{
    // Guards against another client's statement that runs with a value which was set although the endpoint answered
    // with a failure (review/7), or without one whose reset was answered so.
    const auto code = GENERATE(ReplyCode::Failed, ReplyCode::Timeout, ReplyCode::Unknown);
    const auto kind = GENERATE(CommandKind::SetValue, CommandKind::Reset, CommandKind::Prepare);
    CAPTURE(replyCodeName(code), static_cast<int>(kind));
    SchedulerFixture fixture;
    // A connection that has a value of an earlier client.
    fixture.submit(readWith({ { "lang", "th" } }, "earlier"));
    succeedAll(fixture);
    auto work = readWith({ { "lang", "th" } }, "c1");
    if (kind == CommandKind::SetValue)
        work = readWith({ { "lang", "th" }, { "tenant", "noi" } }, "c1");
    else if (kind == CommandKind::Reset)
        work = readWith({}, "c1");
    else {
        work.statement = { StatementKind::Execute, "c1", "EXECUTE s1 1a", "s1", "1a" };
        work.prepared = PreparedStatement { false, "q2c" };
    }
    fixture.submit(work);
    const auto command = fixture.take();
    REQUIRE(command.command.kind == kind);
    fixture.fail(command, code);
    CHECK(isClosed(fixture, command.connection));
    fixture.submit(readWith({}, "c2"));
    for (const auto& later : succeedAll(fixture))
        CHECK(later.connection != command.connection);
    CHECK(fixture.scheduler->statistics().unknownStates == 1);
}

TEST_CASE("GroupScheduler, keeps a connection on which a command did not run")
{
    // Guards against a connection that is closed, and opened anew, for each refusal.
    SchedulerFixture fixture;
    fixture.submit(readWith({ { "tenant", "noi" } }, "c1"));
    const auto command = fixture.take();
    fixture.fail(command, ReplyCode::Busy);
    CHECK(fixture.closed.empty());
    const auto answered = succeedAll(fixture);
    REQUIRE(answered.size() == 2);
    CHECK(answered.front().command.kind == CommandKind::SetValue);
    CHECK(answered.front().connection == command.connection);
}

TEST_CASE("GroupScheduler, keeps a connection on which a statement failed")
{
    SchedulerFixture fixture;
    fixture.submit(readWith({}, "c1"));
    fixture.fail(fixture.take(), ReplyCode::Failed);
    CHECK(fixture.closed.empty());
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Failed);
}

TEST_CASE("GroupScheduler, sends a statement elsewhere when a command before it failed")
{
    // Guards against a client that gets the failure of a command which it did not send, for a write that never ran and
    // that it cannot repeat.
    SchedulerFixture fixture;
    auto work = SchedulerFixture::write();
    auto session = std::make_shared<SessionState>();
    session->values = { { "tenant", "noi" } };
    work.session = session;
    fixture.submit(work);
    const auto command = fixture.take();
    fixture.fail(command, ReplyCode::Failed);
    CHECK(fixture.results.empty());
    const auto answered = succeedAll(fixture);
    REQUIRE(answered.size() == 2);
    CHECK(answered.back().command.text == "WRITE 1 x");
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.succeeded);
}

TEST_CASE("GroupScheduler, promises that a statement did not run when the commands before it keep failing")
{
    SchedulerFixture fixture;
    fixture.submit(readWith({ { "tenant", "noi" } }, "c1"));
    for (int attempt = 0; attempt < GroupScheduler::maxAttempts; ++attempt) {
        fixture.advance(20ms);
        fixture.scheduler->tick(fixture.now);
        fixture.completeOpens();
        REQUIRE(fixture.sent.size() == 1);
        fixture.fail(fixture.take(), ReplyCode::Failed);
    }
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Busy);
}

TEST_CASE("GroupScheduler, passes on that a command is not valid")
{
    // Guards against a value that the endpoint does not take and that is sent to it again and again.
    SchedulerFixture fixture;
    fixture.submit(readWith({ { "tenant", "noi" } }, "c1"));
    fixture.fail(fixture.take(), ReplyCode::Malformed);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Malformed);
}

TEST_CASE("GroupScheduler, closes a connection whose control command leaves a transaction open")
{
    SchedulerFixture fixture;
    bool answered = false;
    fixture.scheduler->runControlCommand(
        EndpointId("e1"), { CommandKind::Status }, 400ms, fixture.now, [&](const EndpointAnswer*) { answered = true; });
    const auto status = fixture.take();
    fixture.succeed(status, SessionPhase::Transaction);
    CHECK(answered);
    CHECK(isClosed(fixture, status.connection));
}

TEST_CASE("GroupScheduler, lets a statement go on that was started on the connection of a commit in doubt")
{
    // Guards against a connection that is closed under another client's statement, which then waits until it times out
    // and is counted as running at the endpoint for good.
    SchedulerFixture fixture;
    fixture.connectionShare = 1;
    fixture.reportPosition();
    fixture.advance(500ms);
    auto begin = SchedulerFixture::write();
    begin.start = TransactionStart::Plain;
    fixture.submit(begin);
    fixture.succeed(fixture.take(), SessionPhase::Transaction);
    const auto write = fixture.take();
    fixture.succeed(write, SessionPhase::Transaction);
    REQUIRE(fixture.results.back().connection);
    fixture.scheduler->continueTransaction(
        *fixture.results.back().connection, fixture.makeExecution(SchedulerFixture::commit()), fixture.now);
    const auto commit = fixture.take();
    REQUIRE(commit.connection == write.connection);
    // The other endpoints are gone, so a read that a replica may serve waits for this connection.
    fixture.scheduler->setConnectionShare(1, false);
    std::vector<EndpointRecord> only(1);
    only.front().id = EndpointId("e1");
    only.front().group = DatabaseId("shop");
    only.front().dataCentre = DataCentre("a");
    only.front().slots = 2;
    fixture.scheduler->setEndpoints(only, fixture.now);
    fixture.lease = false;
    fixture.submit(SchedulerFixture::read(false));
    REQUIRE(fixture.sent.empty());
    fixture.succeed(commit, SessionPhase::Idle, { 1, 11 });
    CHECK(fixture.results.back().answer.code == ReplyCode::InDoubt);
    REQUIRE(fixture.sent.size() == 1);
    const auto read = fixture.take();
    CHECK(read.connection == commit.connection);
    CHECK_FALSE(isClosed(fixture, read.connection));
    fixture.succeed(read);
    CHECK(fixture.results.back().answer.succeeded);
}
