// Commits that are not acknowledged before all endpoints of the group are recorded.
#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Runs a write that the endpoint acknowledges while an endpoint of the group is not recorded.
void commitUnrecorded(SchedulerFixture& world)
{
    world.holdersRecorded = false;
    world.submit(SchedulerFixture::write());
    world.succeed(world.take());
    REQUIRE(world.results.empty());
}

} // namespace

TEST_CASE("GroupScheduler, acknowledges a commit only once all endpoints are recorded")
{
    // Guards against a commit that a client was told of and whose holder no daemon knows after a restart (review/11).
    SchedulerFixture world;
    commitUnrecorded(world);
    CHECK(world.scheduler->statistics().heldCommits == 1);
    CHECK_FALSE(world.scheduler->isIdle());
    world.advance(100ms);
    world.scheduler->tick(world.now);
    CHECK(world.results.empty());
    world.holdersRecorded = true;
    if (GENERATE(true, false))
        world.scheduler->setPrimary(EndpointId("e1"), 1, world.now);
    else
        world.scheduler->tick(world.now);
    REQUIRE(world.results.size() == 1);
    CHECK(world.results[0].answer.succeeded);
    CHECK(world.scheduler->statistics().heldCommits == 0);
    CHECK(world.sent.empty());
}

TEST_CASE("GroupScheduler, holds the commit of a transaction that wrote, and no read")
{
    SchedulerFixture world;
    auto work = SchedulerFixture::write();
    work.start = TransactionStart::Plain;
    world.submit(std::move(work));
    world.succeed(world.take(), SessionPhase::Transaction);
    world.holdersRecorded = false;
    world.succeed(world.take(), SessionPhase::Transaction);
    REQUIRE(world.results.size() == 1);
    REQUIRE(world.results[0].connection);
    world.scheduler->continueTransaction(
        *world.results[0].connection, world.makeExecution(SchedulerFixture::commit()), world.now);
    world.succeed(world.take());
    CHECK(world.results.size() == 1);
    world.submit(SchedulerFixture::read(true));
    world.succeed(world.take());
    CHECK(world.results.size() == 2);
    world.holdersRecorded = true;
    world.scheduler->tick(world.now);
    REQUIRE(world.results.size() == 3);
    CHECK(world.results[2].answer.succeeded);
}

TEST_CASE("GroupScheduler, does not promise anything about a held commit that it cannot acknowledge")
{
    // Guards against a client that is told that its write did not run, or that runs it again.
    SchedulerFixture world;
    commitUnrecorded(world);
    SECTION("Its time is over")
    {
        world.advance(1s);
        world.scheduler->tick(world.now);
    }
    SECTION("Its session's daemon does not wait any more")
    {
        // The write is found by the session through its execution.
        auto execution = world.submit(SchedulerFixture::write());
        world.succeed(world.take());
        world.scheduler->expire(execution, world.now);
        REQUIRE(world.results.size() == 1);
        CHECK(world.results[0].answer.code == ReplyCode::InDoubt);
        world.advance(1s);
        REQUIRE(world.results.size() == 2);
        world.results.pop_back();
    }
    SECTION("The primary is being replaced")
    {
        bool drained = false;
        world.scheduler->suspendPrimary(world.now, [&] { drained = true; });
        CHECK(drained);
    }
    SECTION("The lease has ended")
    {
        world.lease = false;
        world.scheduler->tick(world.now);
    }
    SECTION("The endpoint leads in a later term")
    {
        world.holdersRecorded = true;
        world.scheduler->setPrimary(EndpointId("e1"), 2, world.now);
    }
    REQUIRE(world.results.size() == 1);
    CHECK(world.results[0].answer.code == ReplyCode::InDoubt);
    CHECK(world.scheduler->statistics().heldCommits == 0);
    world.advance(2s);
    CHECK(world.results.size() == 1);
}

TEST_CASE("GroupScheduler, refuses writes at once when the endpoints are not recorded in time")
{
    // Guards against writes that are left in doubt one after the other while the store is away.
    SchedulerFixture world;
    auto work = SchedulerFixture::write();
    work.start = TransactionStart::Plain;
    world.submit(std::move(work));
    world.succeed(world.take(), SessionPhase::Transaction);
    world.succeed(world.take(), SessionPhase::Transaction);
    const auto transaction = world.results.at(0).connection;
    REQUIRE(transaction);
    world.holdersRecorded = false;
    world.submit(SchedulerFixture::write());
    CHECK(world.results.size() == 1);
    world.advance(700ms);
    world.submit(SchedulerFixture::write());
    REQUIRE(world.results.size() == 2);
    CHECK(world.results[1].answer.code == ReplyCode::Busy);
    CHECK(world.results[1].reason == "holders_not_recorded");
    // A commit that has not been sent is rolled back, and the client may repeat the transaction.
    world.scheduler->continueTransaction(*transaction, world.makeExecution(SchedulerFixture::commit()), world.now);
    REQUIRE(world.results.size() == 3);
    CHECK(world.results[2].answer.code == ReplyCode::Aborted);
    CHECK(world.closed.back() == *transaction);
    // Reads go on, and so do writes once the endpoints are recorded.
    world.holdersRecorded = true;
    world.scheduler->tick(world.now);
    world.sent.clear();
    world.submit(SchedulerFixture::write());
    CHECK(world.results.size() == 3);
}
