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

    void forward(std::uint64_t number, ScheduledStatement work, std::optional<std::uint64_t> transaction = std::nullopt,
        const std::string& group = "shop")
    {
        work.session = std::make_shared<SessionState>();
        work.arrivedAt = this->schedulerFixture.now;
        work.expiresAt = this->schedulerFixture.now + 800ms;
        this->statements->onStatement(
            { number, DatabaseId(group), transaction, std::move(work) }, this->schedulerFixture.now);
    }

    struct OpenTransaction {
        // Number by which the other daemon names it.
        std::uint64_t number = 0;
        ConnectionId connection = 0;
    };

    // Opens a transaction with a write.
    OpenTransaction openTransaction(std::uint64_t statement = 1)
    {
        auto work = SchedulerFixture::write();
        work.start = TransactionStart::Plain;
        this->forward(statement, work);
        const auto begin = this->schedulerFixture.take();
        this->schedulerFixture.succeed(begin, SessionPhase::Transaction);
        this->schedulerFixture.succeed(this->schedulerFixture.take(), SessionPhase::Transaction);
        const OpenTransaction opened { *this->outcomes.back().result.connection, begin.connection };
        this->outcomes.clear();
        return opened;
    }

    // Checks that the scheduler rolls a transaction back, and lets it do so.
    void expectRollback(const OpenTransaction& transaction)
    {
        const auto command = this->schedulerFixture.take();
        CHECK(command.connection == transaction.connection);
        CHECK(command.command.kind == CommandKind::Rollback);
        this->schedulerFixture.succeed(command);
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
    const auto transaction = fixture.openTransaction();
    fixture.accepting = false;
    fixture.forward(2, SchedulerFixture::commit(), transaction.number);
    fixture.schedulerFixture.succeed(fixture.schedulerFixture.take());
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().result.answer.succeeded);
    CHECK(fixture.statements->empty());
}

// Guards against a connection that stays pinned after the daemon of its session has crashed.
TEST_CASE("ForwardedStatements, rolls back open transactions when the link is closed")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction();
    fixture.statements->onClosed(fixture.schedulerFixture.now);
    fixture.expectRollback(transaction);
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
    const auto transaction = fixture.openTransaction();
    fixture.statements->rollBackIdleSince(fixture.schedulerFixture.now, fixture.schedulerFixture.now);
    CHECK(fixture.schedulerFixture.sent.empty());
    fixture.schedulerFixture.advance(1s);
    fixture.statements->rollBackIdleSince(fixture.schedulerFixture.now, fixture.schedulerFixture.now);
    fixture.expectRollback(transaction);
}

// Guards against a statement that runs in another client's transaction, or rolls it back, on a connection that has
// changed hands.
TEST_CASE("ForwardedStatements, does not take a transaction for an earlier one on the same connection")
{
    Fixture fixture;
    const auto first = fixture.openTransaction(1);
    fixture.schedulerFixture.advance(1s);
    fixture.statements->rollBackIdleSince(fixture.schedulerFixture.now, fixture.schedulerFixture.now);
    fixture.expectRollback(first);
    const auto second = fixture.openTransaction(2);
    REQUIRE(second.connection == first.connection);
    fixture.forward(3, SchedulerFixture::write(), first.number);
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().declined);
    fixture.statements->onEnd({ DatabaseId("shop"), first.number }, fixture.schedulerFixture.now);
    CHECK(fixture.schedulerFixture.sent.empty());
}

// Guards against a transaction that stays open because its answer and its abandonment crossed on the link.
TEST_CASE("ForwardedStatements, rolls back a transaction when its last statement is abandoned after the answer")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction(1);
    fixture.statements->onAbandon({ 7 }, fixture.schedulerFixture.now);
    CHECK(fixture.schedulerFixture.sent.empty());
    fixture.statements->onAbandon({ 1 }, fixture.schedulerFixture.now);
    fixture.expectRollback(transaction);
    CHECK(fixture.statements->empty());
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
