#include "process/statement_forwarder.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DaemonId ownerA { "a" };
const DaemonId ownerB { "b" };

// Records the calls to the local scheduler.
class RecordingRunner : public StatementRunner {
public:
    void submit(const ExecutionPtr& execution, Time) override { this->submitted.push_back(execution); }
    void continueTransaction(ConnectionId connection, const ExecutionPtr&, Time) override
    {
        this->continued.push_back(connection);
    }
    void endTransaction(ConnectionId connection, Time) override { this->ended.push_back(connection); }
    void abandon(const ExecutionPtr& execution, Time) override { this->abandoned.push_back(execution); }
    void expire(const ExecutionPtr& execution, Time) override { this->expired.push_back(execution); }

    std::vector<ExecutionPtr> submitted;
    std::vector<ConnectionId> continued;
    std::vector<ConnectionId> ended;
    std::vector<ExecutionPtr> abandoned;
    std::vector<ExecutionPtr> expired;
};

struct Fixture {
    Fixture()
    {
        ForwarderHooks hooks;
        hooks.owners = [this](const DatabaseId&, const ScheduledStatement&) { return this->owners; };
        hooks.send = [this](const DaemonId& owner, const ForwardMessage& message) {
            if (this->unreachable.count(owner) != 0)
                return false;
            this->sent.emplace_back(owner, message);
            return true;
        };
        hooks.nextId = [this] { return ++this->lastId; };
        hooks.observe = [this](const ObservedStatement& statement, const StatementResult& result) {
            this->observed.emplace_back(statement.workspace, result.owner);
        };
        hooks.unreachable = [this] { return this->groupUnreachable; };
        hooks.doubtful = [this] { return this->groupDoubtful; };
        hooks.silent = [this](const DaemonId& owner) { return this->silent.count(owner) != 0; };
        this->forwarder
            = std::make_unique<StatementForwarder>(DatabaseId("shop"), this->timers, this->local, std::move(hooks));
    }

    ExecutionPtr make(StatementKind kind, TransactionStart start = TransactionStart::None)
    {
        auto execution = std::make_shared<Execution>();
        execution->work.statement = { kind, "id", "TEXT" };
        execution->work.session = std::make_shared<SessionState>();
        execution->work.start = start;
        execution->work.arrivedAt = this->now;
        execution->work.expiresAt = this->now + 800ms;
        execution->callback = [this](const StatementResult& result) { this->results.push_back(result); };
        return execution;
    }

    ExecutionPtr submit(StatementKind kind, TransactionStart start = TransactionStart::None)
    {
        auto execution = this->make(kind, start);
        this->forwarder->submit(execution, this->now);
        return execution;
    }

    const ForwardedStatement& lastSent() { return std::get<ForwardedStatement>(this->sent.back().second); }

    void answer(std::optional<ConnectionId> connection, bool declined = false)
    {
        ForwardedOutcome outcome;
        outcome.number = this->lastSent().number;
        outcome.declined = declined;
        outcome.result.answer.succeeded = !declined;
        outcome.result.answer.phase = connection ? SessionPhase::Transaction : SessionPhase::Idle;
        outcome.result.connection = connection;
        this->forwarder->onOutcome(this->sent.back().first, outcome, this->now);
    }

    // Opens a transaction whose first statement is a write, and returns the identifier that the session uses for it.
    ConnectionId openTransaction()
    {
        this->submit(StatementKind::Write, TransactionStart::Plain);
        this->answer(77);
        const auto id = *this->results.back().connection;
        this->results.clear();
        return id;
    }

    void advance(Duration duration)
    {
        this->now += duration;
        this->timers.advance(this->now);
    }

    Time now { 1000s };
    TimerService timers;
    RecordingRunner local;
    std::vector<DaemonId> owners { ownerA, ownerB };
    std::set<DaemonId> unreachable;
    std::set<DaemonId> silent;
    bool groupUnreachable = false;
    bool groupDoubtful = false;
    std::vector<std::pair<DaemonId, ForwardMessage>> sent;
    std::vector<StatementResult> results;
    std::vector<std::pair<WorkspaceId, DaemonId>> observed;
    std::uint64_t lastId = 0;
    std::unique_ptr<StatementForwarder> forwarder;
};

} // namespace

TEST_CASE("StatementForwarder, runs a statement locally when this daemon owns the group")
{
    Fixture fixture;
    fixture.owners.clear();
    fixture.submit(StatementKind::Read);
    CHECK(fixture.sent.empty());
    CHECK(fixture.local.submitted.size() == 1);
}

TEST_CASE("StatementForwarder, reports the owner's result to the session")
{
    Fixture fixture;
    fixture.submit(StatementKind::Read);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent.front().first == ownerA);
    fixture.answer(std::nullopt);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.succeeded);
}

TEST_CASE("StatementForwarder, uses the next owner when the first cannot be reached")
{
    Fixture fixture;
    fixture.unreachable = { ownerA };
    fixture.submit(StatementKind::Write);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent.front().first == ownerB);
}

// Guards against refusing statements that this daemon could run itself while all owners restart.
TEST_CASE("StatementForwarder, runs a statement locally when no owner can be reached")
{
    Fixture fixture;
    fixture.unreachable = { ownerA, ownerB };
    fixture.submit(StatementKind::Write);
    CHECK(fixture.local.submitted.size() == 1);
}

TEST_CASE("StatementForwarder, sends a statement to the next owner when it is declined and then runs it locally")
{
    Fixture fixture;
    fixture.submit(StatementKind::Write);
    fixture.answer(std::nullopt, true);
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sent.back().first == ownerB);
    fixture.answer(std::nullopt, true);
    CHECK(fixture.local.submitted.size() == 1);
    CHECK(fixture.results.empty());
}

// Guards against running a write twice: the owner may have executed it before the link broke.
TEST_CASE("StatementForwarder, reports a write as in doubt when the link is lost after it was sent")
{
    Fixture fixture;
    fixture.submit(StatementKind::Write);
    fixture.forwarder->onLinkLost(ownerA, true, fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::InDoubt);
    CHECK(fixture.sent.size() == 1);
    CHECK(fixture.local.submitted.empty());
}

// Guards against reporting a write as in doubt although it was never sent.
TEST_CASE("StatementForwarder, sends a write to the next owner when the link was never established")
{
    Fixture fixture;
    fixture.submit(StatementKind::Write);
    fixture.forwarder->onLinkLost(ownerA, false, fixture.now);
    CHECK(fixture.results.empty());
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sent.back().first == ownerB);
}

TEST_CASE("StatementForwarder, sends a read to the next owner when the link is lost")
{
    Fixture fixture;
    fixture.submit(StatementKind::Read);
    fixture.forwarder->onLinkLost(ownerA, true, fixture.now);
    CHECK(fixture.results.empty());
    CHECK(fixture.sent.back().first == ownerB);
}

TEST_CASE("StatementForwarder, keeps a transaction at the owner that opened it")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction();
    fixture.owners = { ownerB };
    fixture.forwarder->continueTransaction(transaction, fixture.make(StatementKind::Read), fixture.now);
    CHECK(fixture.sent.back().first == ownerA);
    CHECK(fixture.lastSent().transaction == 77);
    fixture.answer(77);
    CHECK(fixture.results.back().connection == transaction);
}

// Guards against reporting a commit as rolled back although it may have taken effect.
TEST_CASE("StatementForwarder, reports a commit as in doubt when its transaction wrote and the link is lost")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction();
    fixture.forwarder->continueTransaction(transaction, fixture.make(StatementKind::Commit), fixture.now);
    fixture.forwarder->onLinkLost(ownerA, true, fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::InDoubt);
}

TEST_CASE("StatementForwarder, reports a transaction as rolled back when the link is lost before the commit")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction();
    fixture.forwarder->continueTransaction(transaction, fixture.make(StatementKind::Write), fixture.now);
    fixture.forwarder->onLinkLost(ownerA, true, fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Aborted);
    // The forwarder has dropped the transaction, so its next statement goes to the local runner, which aborts it.
    fixture.forwarder->continueTransaction(transaction, fixture.make(StatementKind::Commit), fixture.now);
    CHECK(fixture.local.continued == std::vector<ConnectionId> { transaction });
}

// Guards against an owner that keeps a connection pinned after the statement has timed out.
TEST_CASE("StatementForwarder, abandons a statement at its owner when it times out")
{
    Fixture fixture;
    fixture.submit(StatementKind::Write);
    const auto number = fixture.lastSent().number;
    fixture.advance(800ms + StatementForwarder::answerSlack);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::InDoubt);
    CHECK(std::get<ForwardedAbandon>(fixture.sent.back().second).number == number);
}

// Guards against a write that is reported as not run because its daemon stops before the owner has answered.
TEST_CASE("StatementForwarder, reports a forwarded write as in doubt when it is expired")
{
    Fixture fixture;
    const auto execution = fixture.submit(StatementKind::Write);
    fixture.forwarder->expire(execution, fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::InDoubt);
    fixture.advance(2s);
    CHECK(fixture.results.size() == 1);
}

TEST_CASE("StatementForwarder, rolls back the transaction at its owner when the session ends it")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction();
    fixture.forwarder->endTransaction(transaction, fixture.now);
    CHECK(std::get<ForwardedRollback>(fixture.sent.back().second).transaction == 77);
    CHECK(fixture.local.ended.empty());
}

TEST_CASE("StatementForwarder, reports no result when the statement is abandoned")
{
    Fixture fixture;
    const auto execution = fixture.submit(StatementKind::Write);
    fixture.forwarder->abandon(execution, fixture.now);
    CHECK(std::holds_alternative<ForwardedAbandon>(fixture.sent.back().second));
    fixture.advance(2s);
    CHECK(fixture.results.empty());
    CHECK(fixture.forwarder->statistics().inFlight == 0);
}

// Guards against an outcome that is reported twice and ends another statement, or opens a second transaction.
TEST_CASE("StatementForwarder, reports one result when the outcome arrives twice")
{
    Fixture fixture;
    fixture.submit(StatementKind::Write, TransactionStart::Plain);
    ForwardedOutcome outcome;
    outcome.number = fixture.lastSent().number;
    outcome.result.answer.succeeded = true;
    outcome.result.connection = 77;
    CHECK(fixture.forwarder->onOutcome(ownerA, outcome, fixture.now));
    fixture.submit(StatementKind::Read);
    CHECK_FALSE(fixture.forwarder->onOutcome(ownerA, outcome, fixture.now));
    CHECK(fixture.results.size() == 1);
    CHECK(fixture.forwarder->statistics().inFlight == 1);
}

// Guards against an outcome that arrives after the client was told that its statement timed out.
TEST_CASE("StatementForwarder, drops an outcome when its statement has timed out")
{
    Fixture fixture;
    fixture.submit(StatementKind::Write);
    ForwardedOutcome outcome;
    outcome.number = fixture.lastSent().number;
    outcome.result.answer.succeeded = true;
    fixture.advance(800ms + StatementForwarder::answerSlack);
    fixture.submit(StatementKind::Write);
    CHECK_FALSE(fixture.forwarder->onOutcome(ownerA, outcome, fixture.now));
    CHECK(fixture.results.size() == 1);
    CHECK(fixture.forwarder->statistics().inFlight == 1);
}

// Guards against a daemon without connections that runs a workspace's statement although an owner is left.
TEST_CASE("StatementForwarder, tries all named owners and reports the result when the statement belongs to a workspace")
{
    Fixture fixture;
    fixture.owners = { ownerA, ownerB, DaemonId("c") };
    fixture.unreachable = { ownerA };
    const auto execution = fixture.make(StatementKind::Read);
    execution->work.workspace = WorkspaceId("w1");
    fixture.forwarder->submit(execution, fixture.now);
    fixture.answer(std::nullopt, true);
    CHECK(fixture.sent.back().first == DaemonId("c"));
    CHECK(fixture.local.submitted.empty());
    fixture.answer(std::nullopt);
    CHECK(fixture.results.size() == 1);
    CHECK(fixture.observed == std::vector { std::pair { WorkspaceId("w1"), DaemonId("c") } });
    // A statement without a workspace is not observed.
    fixture.unreachable.clear();
    fixture.submit(StatementKind::Read);
    fixture.answer(std::nullopt);
    CHECK(fixture.observed.size() == 1);
}

// Guards against statements that wait until they expire on a daemon that is cut off.
TEST_CASE("StatementForwarder, refuses a statement at once when the group cannot be reached")
{
    Fixture fixture;
    fixture.groupUnreachable = true;
    fixture.submit(StatementKind::Write);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Busy);
    CHECK(fixture.results.front().reason == "unreachable");
    CHECK(fixture.sent.empty());
    CHECK(fixture.local.submitted.empty());
    CHECK(fixture.forwarder->statistics().refusedUnreachable == 1);
}

TEST_CASE("StatementForwarder, passes over owners that are silent")
{
    Fixture fixture;
    fixture.silent = { ownerA };
    fixture.submit(StatementKind::Write);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent.front().first == ownerB);
    fixture.silent = { ownerA, ownerB };
    fixture.submit(StatementKind::Write);
    CHECK(fixture.local.submitted.size() == 1);
}

TEST_CASE("StatementForwarder, moves a read to the next owner when the first is silent")
{
    Fixture fixture;
    fixture.submit(StatementKind::Read);
    const auto number = fixture.lastSent().number;
    fixture.silent = { ownerA };
    fixture.forwarder->onOwnerSilent(ownerA, fixture.now);
    REQUIRE(fixture.sent.size() == 3);
    CHECK(std::get<ForwardedAbandon>(fixture.sent[1].second).number == number);
    CHECK(fixture.sent.back().first == ownerB);
    CHECK(fixture.results.empty());
    // The first owner answers after all.
    ForwardedOutcome late;
    late.number = number;
    late.result.answer.succeeded = true;
    CHECK_FALSE(fixture.forwarder->onOutcome(ownerA, late, fixture.now));
    fixture.answer(std::nullopt);
    CHECK(fixture.results.size() == 1);
}

TEST_CASE("StatementForwarder, refuses the reads of a silent owner when it is in doubt whether another path answers")
{
    Fixture fixture;
    fixture.submit(StatementKind::Read);
    fixture.groupDoubtful = true;
    fixture.forwarder->onOwnerSilent(ownerA, fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Busy);
    CHECK(fixture.results.front().reason == "unreachable");
}

// Guards against reporting as not run what the silent owner may have run, and against running it twice.
TEST_CASE("StatementForwarder, leaves writes, transactions and commits to a silent owner")
{
    Fixture fixture;
    const auto transaction = fixture.openTransaction();
    fixture.forwarder->continueTransaction(transaction, fixture.make(StatementKind::Commit), fixture.now);
    fixture.submit(StatementKind::Write);
    fixture.submit(StatementKind::Read, TransactionStart::ReadOnly);
    const auto sent = fixture.sent.size();
    fixture.groupUnreachable = true;
    fixture.groupDoubtful = true;
    fixture.silent = { ownerA, ownerB };
    fixture.forwarder->onOwnerSilent(ownerA, fixture.now);
    CHECK(fixture.results.empty());
    CHECK(fixture.sent.size() == sent);
    fixture.forwarder->onLinkLost(ownerA, true, fixture.now);
    REQUIRE(fixture.results.size() == 3);
    std::size_t inDoubt = 0;
    for (const auto& result : fixture.results) {
        CHECK(result.answer.code != ReplyCode::Busy);
        inDoubt += result.answer.code == ReplyCode::InDoubt ? 1 : 0;
    }
    CHECK(inDoubt == 2);
}
