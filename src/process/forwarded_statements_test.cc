#include "process/forwarded_statements.h"

#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// The owner's side of a link in front of a scheduler with three endpoints.
struct Fixture {
    Fixture()
    {
        ForwardedHooks hooks;
        hooks.now = [this] { return this->world.now; };
        hooks.runner = [this](const DatabaseId& group) {
            return group == DatabaseId("shop") ? this->world.scheduler.get() : nullptr;
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
        work.arrivedAt = this->world.now;
        work.expiresAt = this->world.now + 800ms;
        this->statements->onStatement({ number, DatabaseId(group), connection, std::move(work) }, this->world.now);
    }

    // Opens a transaction with a write and returns the owner's connection.
    ConnectionId openTransaction()
    {
        auto work = SchedulerFixture::write();
        work.start = TransactionStart::Plain;
        this->forward(1, work);
        this->world.succeed(this->world.take(), SessionPhase::Transaction);
        this->world.succeed(this->world.take(), SessionPhase::Transaction);
        const auto connection = *this->outcomes.back().result.connection;
        this->outcomes.clear();
        return connection;
    }

    SchedulerFixture world;
    bool accepting = true;
    std::vector<ForwardedOutcome> outcomes;
    std::unique_ptr<ForwardedStatements> statements;
};

} // namespace

TEST_CASE("ForwardedStatements, answers with the number of the statement")
{
    Fixture fixture;
    fixture.forward(42, SchedulerFixture::write());
    fixture.world.succeed(fixture.world.take());
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().number == 42);
    CHECK(fixture.outcomes.front().result.answer.succeeded);
    CHECK(fixture.statements->empty());
}

TEST_CASE("ForwardedStatements, declines what it cannot take")
{
    Fixture fixture;
    SECTION("a group that this daemon does not know")
    {
        fixture.forward(1, SchedulerFixture::write(), std::nullopt, "other");
    }
    SECTION("a new statement while this daemon takes none")
    {
        fixture.accepting = false;
        fixture.forward(1, SchedulerFixture::write());
    }
    // Guards against a statement that lands in another caller's transaction.
    SECTION("a connection that the link has not opened") { fixture.forward(1, SchedulerFixture::write(), 999); }
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().declined);
    CHECK(fixture.world.sent.empty());
}

// Guards against a transaction that is cut by the stop of its owner although time is left to end it.
TEST_CASE("ForwardedStatements, goes on with an open transaction when no new statements are taken")
{
    Fixture fixture;
    const auto connection = fixture.openTransaction();
    fixture.accepting = false;
    fixture.forward(2, SchedulerFixture::commit(), connection);
    fixture.world.succeed(fixture.world.take());
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().result.answer.succeeded);
    CHECK(fixture.statements->empty());
}

// Guards against a pinned connection whose session's daemon has died.
TEST_CASE("ForwardedStatements, rolls its transactions back when the link is lost")
{
    Fixture fixture;
    const auto connection = fixture.openTransaction();
    fixture.statements->onClosed(fixture.world.now);
    const auto command = fixture.world.take();
    CHECK(command.connection == connection);
    CHECK(command.command.kind == CommandKind::Rollback);
    CHECK(fixture.statements->empty());
}

TEST_CASE("ForwardedStatements, reports nothing of an abandoned statement")
{
    Fixture fixture;
    fixture.forward(7, SchedulerFixture::write());
    const auto command = fixture.world.take();
    fixture.statements->onAbandon({ 7 }, fixture.world.now);
    fixture.world.succeed(command);
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.statements->empty());
}

// Guards against a connection that stays pinned for a daemon that is suspended with its link open.
TEST_CASE("ForwardedStatements, rolls back a transaction that is idle for too long")
{
    Fixture fixture;
    const auto connection = fixture.openTransaction();
    fixture.statements->endIdleSince(fixture.world.now, fixture.world.now);
    CHECK(fixture.world.sent.empty());
    fixture.world.advance(1s);
    fixture.statements->endIdleSince(fixture.world.now, fixture.world.now);
    const auto command = fixture.world.take();
    CHECK(command.connection == connection);
    CHECK(command.command.kind == CommandKind::Rollback);
}
