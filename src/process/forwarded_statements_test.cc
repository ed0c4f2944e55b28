#include "process/forwarded_statements.h"

#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Receiving side of a link, with a scheduler for three endpoints.
struct Fixture {
    Fixture()
    {
        ForwardedHooks hooks;
        hooks.now = [this] { return this->schedulerFixture.now; };
        hooks.runner = [this](const DatabaseId& group) {
            return group == DatabaseId("shop") ? this->schedulerFixture.scheduler.get() : nullptr;
        };
        hooks.accepts = [this](const ForwardedStatement&, Time) { return this->accepting; };
        hooks.reply
            = [this](const ForwardMessage& message) { this->outcomes.push_back(std::get<ForwardedOutcome>(message)); };
        this->statements = std::make_unique<ForwardedStatements>(std::move(hooks));
    }

    void forward(std::uint64_t number, ScheduledStatement work, std::optional<ConnectionId> connection = std::nullopt,
        const std::string& group = "shop")
    {
        work.session = std::make_shared<SessionState>();
        work.arrivedAt = this->schedulerFixture.now;
        work.expiresAt = this->schedulerFixture.now + 800ms;
        this->statements->onStatement(
            { number, DatabaseId(group), connection, std::move(work) }, this->schedulerFixture.now);
    }

    // Opens a transaction with a write and returns the connection on which it is open.
    ConnectionId openTransaction()
    {
        auto work = SchedulerFixture::write();
        work.start = TransactionStart::Plain;
        this->forward(1, work);
        this->schedulerFixture.succeed(this->schedulerFixture.take(), SessionPhase::Transaction);
        this->schedulerFixture.succeed(this->schedulerFixture.take(), SessionPhase::Transaction);
        const auto connection = *this->outcomes.back().result.connection;
        this->outcomes.clear();
        return connection;
    }

    SchedulerFixture schedulerFixture;
    bool accepting = true;
    std::vector<ForwardedOutcome> outcomes;
    std::unique_ptr<ForwardedStatements> statements;
};

} // namespace

TEST_CASE("ForwardedStatements, replies with the number of the statement")
{
    Fixture fixture;
    fixture.forward(42, SchedulerFixture::write());
    fixture.schedulerFixture.succeed(fixture.schedulerFixture.take());
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().number == 42);
    CHECK(fixture.outcomes.front().result.answer.succeeded);
    CHECK(fixture.statements->empty());
}

TEST_CASE("ForwardedStatements, declines a statement when it cannot run it")
{
    Fixture fixture;
    SECTION("a group that this daemon does not know")
    {
        fixture.forward(1, SchedulerFixture::write(), std::nullopt, "other");
    }
    SECTION("a new statement while this daemon accepts none")
    {
        fixture.accepting = false;
        fixture.forward(1, SchedulerFixture::write());
    }
    // Guards against running a statement in another daemon's transaction.
    SECTION("a transaction that was not opened over the link") { fixture.forward(1, SchedulerFixture::write(), 999); }
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().declined);
    CHECK(fixture.schedulerFixture.sent.empty());
}

// Guards against aborting open transactions as soon as their owner starts to shut down.
TEST_CASE("ForwardedStatements, continues an open transaction when new statements are not accepted")
{
    Fixture fixture;
    const auto connection = fixture.openTransaction();
    fixture.accepting = false;
    fixture.forward(2, SchedulerFixture::commit(), connection);
    fixture.schedulerFixture.succeed(fixture.schedulerFixture.take());
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().result.answer.succeeded);
    CHECK(fixture.statements->empty());
}

// Guards against a connection that stays pinned after the daemon of its session has crashed.
TEST_CASE("ForwardedStatements, rolls back open transactions when the link is closed")
{
    Fixture fixture;
    const auto connection = fixture.openTransaction();
    fixture.statements->onClosed(fixture.schedulerFixture.now);
    const auto command = fixture.schedulerFixture.take();
    CHECK(command.connection == connection);
    CHECK(command.command.kind == CommandKind::Rollback);
    CHECK(fixture.statements->empty());
}

TEST_CASE("ForwardedStatements, reports no result when a statement is abandoned")
{
    Fixture fixture;
    fixture.forward(7, SchedulerFixture::write());
    const auto command = fixture.schedulerFixture.take();
    fixture.statements->onAbandon({ 7 }, fixture.schedulerFixture.now);
    fixture.schedulerFixture.succeed(command);
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.statements->empty());
}

// Guards against a connection that stays pinned for a daemon whose process is suspended while its link stays open.
TEST_CASE("ForwardedStatements, rolls back a transaction when it is idle for too long")
{
    Fixture fixture;
    const auto connection = fixture.openTransaction();
    fixture.statements->rollBackIdleSince(fixture.schedulerFixture.now, fixture.schedulerFixture.now);
    CHECK(fixture.schedulerFixture.sent.empty());
    fixture.schedulerFixture.advance(1s);
    fixture.statements->rollBackIdleSince(fixture.schedulerFixture.now, fixture.schedulerFixture.now);
    const auto command = fixture.schedulerFixture.take();
    CHECK(command.connection == connection);
    CHECK(command.command.kind == CommandKind::Rollback);
}

// Guards against statements of other daemons that an owner has taken and cuts because its process ends.
TEST_CASE("ForwardedStatements, answers all running statements when they are expired")
{
    Fixture fixture;
    fixture.forward(1, SchedulerFixture::write());
    fixture.forward(2, SchedulerFixture::write());
    fixture.statements->expireAll(fixture.schedulerFixture.now);
    REQUIRE(fixture.outcomes.size() == 2);
    CHECK_FALSE(fixture.outcomes[0].result.answer.succeeded);
    CHECK_FALSE(fixture.outcomes[1].result.answer.succeeded);
    CHECK(fixture.statements->empty());
}
