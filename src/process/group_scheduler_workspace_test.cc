#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// A scheduler for a configuration with workspaces, which holds no connection yet.
class WorkspaceFixture : public SchedulerFixture {
public:
    explicit WorkspaceFixture(int share = 2)
    {
        for (const auto* endpoint : { "e1", "e2", "e3" })
            this->loseConnectionsTo(endpoint);
        this->scheduler->setConnectionShare(share);
        this->scheduler->setWorkspacesInUse(true);
        this->opening.clear();
    }

    static ScheduledStatement of(const char* workspace, ScheduledStatement work)
    {
        work.workspace = WorkspaceId(workspace);
        return work;
    }

    ExecutionPtr write(const char* workspace) { return this->submit(of(workspace, SchedulerFixture::write())); }

    // Runs a write of the workspace to its end, opening what it needs.
    void runWrite(const char* workspace)
    {
        this->write(workspace);
        this->completeOpens();
        const auto command = this->take();
        REQUIRE(this->workspaceOf[command.connection].value == workspace);
        this->succeed(command);
    }

    // Submits a write that opens a transaction, and completes it up to the client's pause.
    ConnectionId openTransaction(const char* workspace)
    {
        auto work = of(workspace, SchedulerFixture::write());
        work.start = TransactionStart::Plain;
        this->results.clear();
        this->submit(work);
        this->completeOpens();
        this->succeed(this->take(), SessionPhase::Transaction);
        this->succeed(this->take(), SessionPhase::Transaction);
        REQUIRE(this->results.size() == 1);
        REQUIRE(this->results[0].connection);
        return *this->results[0].connection;
    }

    int opensTo(const char* endpoint, const char* workspace)
    {
        return static_cast<int>(std::count_if(this->opening.begin(), this->opening.end(), [&](const auto& entry) {
            return entry.second.value == endpoint && this->workspaceOf[entry.first].value == workspace;
        }));
    }
};

} // namespace

TEST_CASE("GroupScheduler, opens a connection in the name of the statement's workspace")
{
    WorkspaceFixture fixture;
    fixture.write("a");
    CHECK(fixture.sent.empty());
    REQUIRE(fixture.opensTo("e1", "a") == 1);
    fixture.completeOpens();
    CHECK(fixture.workspaceOf[fixture.take().connection] == WorkspaceId("a"));
    CHECK(fixture.scheduler->statistics().workspaceConnectionsOpened == 1);
    CHECK(fixture.scheduler->statistics().connectionWaits == 1);
}

// Guards against the worst fault: a statement that runs under the name of another workspace.
TEST_CASE("GroupScheduler, never runs a statement on an idle connection of another workspace")
{
    WorkspaceFixture fixture(4);
    fixture.runWrite("a");
    fixture.write("b");
    CHECK(fixture.sent.empty());
    CHECK(fixture.opensTo("e1", "b") == 1);
    // Neither does a statement without a workspace, and none of a workspace uses a connection without one.
    fixture.submit(SchedulerFixture::write());
    CHECK(fixture.sent.empty());
    fixture.completeOpens();
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.workspaceOf[fixture.take().connection] == WorkspaceId("b"));
    CHECK(fixture.workspaceOf[fixture.take().connection] == WorkspaceId());
}

TEST_CASE("GroupScheduler, keeps workspaces apart before the configuration declares them")
{
    // Guards against a daemon that gets a forwarded statement of a workspace before the configuration.
    SchedulerFixture fixture;
    fixture.submit(WorkspaceFixture::of("a", SchedulerFixture::write()));
    CHECK(fixture.sent.empty());
    fixture.completeOpens();
    CHECK(fixture.workspaceOf[fixture.take().connection] == WorkspaceId("a"));
}

TEST_CASE("GroupScheduler, does not continue a transaction for another workspace")
{
    WorkspaceFixture fixture;
    const auto connection = fixture.openTransaction("a");
    fixture.results.clear();
    fixture.scheduler->continueTransaction(
        connection, fixture.makeExecution(WorkspaceFixture::of("b", SchedulerFixture::commit())), fixture.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].answer.code == ReplyCode::Aborted);
    CHECK(fixture.sent.empty());
    fixture.scheduler->continueTransaction(
        connection, fixture.makeExecution(WorkspaceFixture::of("a", SchedulerFixture::commit())), fixture.now);
    CHECK(fixture.sent.size() == 1);
}

TEST_CASE("GroupScheduler, hedges a read only on a connection of its workspace")
{
    // Guards against a second send of a slow read that takes any idle connection.
    WorkspaceFixture fixture;
    fixture.runWrite("a");
    for (const auto* workspace : { "b", "a" }) {
        fixture.submit(WorkspaceFixture::of(workspace, SchedulerFixture::read(false)));
        fixture.completeOpens();
        if (workspace == std::string("b"))
            fixture.succeed(fixture.take());
    }
    for (int i = 0; i < 4; ++i) {
        fixture.advance(100ms);
        fixture.scheduler->tick(fixture.now);
    }
    for (const auto& sent : fixture.sent)
        CHECK(fixture.workspaceOf[sent.connection] == WorkspaceId("a"));
}

TEST_CASE("GroupScheduler, runs control commands on connections of any workspace")
{
    WorkspaceFixture fixture;
    fixture.runWrite("a");
    bool answered = false;
    fixture.scheduler->runControlCommand(EndpointId("e1"), { CommandKind::Status }, 500ms, fixture.now,
        [&](const EndpointAnswer* answer) { answered = answer != nullptr; });
    fixture.succeed(fixture.take());
    CHECK(answered);
    CHECK(fixture.opening.empty());
}

TEST_CASE("GroupScheduler, finds a connection for control commands when transactions hold all")
{
    // Guards against promotions that wait for clients which pause inside transactions.
    WorkspaceFixture fixture;
    fixture.openTransaction("a");
    fixture.openTransaction("b");
    bool answered = false;
    fixture.scheduler->runControlCommand(EndpointId("e1"), { CommandKind::Status }, 500ms, fixture.now,
        [&](const EndpointAnswer* answer) { answered = answer != nullptr; });
    fixture.completeOpens();
    fixture.succeed(fixture.take());
    CHECK(answered);
}

TEST_CASE("GroupScheduler, never opens more connections for a workspace than statements wait")
{
    WorkspaceFixture fixture(8);
    fixture.write("a");
    for (int i = 0; i < 5; ++i)
        fixture.scheduler->tick(fixture.now);
    CHECK(fixture.opening.size() == 1);
    fixture.write("a");
    CHECK(fixture.opening.size() == 2);
    // Two attempts at an endpoint are the limit for all workspaces together.
    fixture.write("a");
    fixture.write("b");
    CHECK(fixture.opening.size() == 2);
}

TEST_CASE("GroupScheduler, waits for a connection in use that becomes free before another could be opened")
{
    WorkspaceFixture fixture(8);
    fixture.runWrite("a");
    fixture.write("a");
    const auto first = fixture.take();
    fixture.write("a");
    CHECK(fixture.opening.empty());
    SECTION("and starts on it")
    {
        fixture.advance(5ms);
        fixture.succeed(first);
        CHECK(fixture.sent.size() == 1);
        CHECK(fixture.opening.empty());
    }
    SECTION("and opens one if it does not become free")
    {
        fixture.advance(20ms);
        CHECK(fixture.opensTo("e1", "a") == 1);
    }
}

TEST_CASE("GroupScheduler, evicts an idle connection when another workspace needs one and the share is used")
{
    WorkspaceFixture fixture;
    fixture.runWrite("a");
    fixture.runWrite("a");
    fixture.runWrite("b");
    fixture.advance(1s);
    fixture.runWrite("a");
    fixture.closed.clear();
    fixture.write("c");
    REQUIRE(fixture.closed.size() == 1);
    CHECK(fixture.workspaceOf[fixture.closed[0]] == WorkspaceId("b"));
    CHECK(fixture.opensTo("e1", "c") == 1);
    CHECK(fixture.scheduler->statistics().evictions == 1);
    CHECK(fixture.scheduler->statistics().connections == 2);
}

TEST_CASE("GroupScheduler, does not evict a connection before it has served the statement for which it was opened")
{
    // Guards against workspaces that close each other's connections without running anything.
    WorkspaceFixture fixture(1);
    fixture.write("a");
    fixture.write("b");
    fixture.write("c");
    std::set<std::string> served;
    for (int round = 0; round < 10 && served.size() < 3; ++round) {
        fixture.completeOpens();
        fixture.advance(10ms);
        REQUIRE(fixture.sent.size() == 1);
        const auto command = fixture.take();
        served.insert(fixture.workspaceOf[command.connection].value);
        fixture.succeed(command);
    }
    CHECK(served.size() == 3);
    CHECK(fixture.scheduler->statistics().connectionsOpened - 3 == 3);
    CHECK(fixture.results.size() == 3);
}

TEST_CASE("GroupScheduler, takes the first connection that becomes free when all are in use")
{
    // Guards against a workspace that starves because others always have statements for their connections.
    WorkspaceFixture fixture(1);
    fixture.runWrite("a");
    fixture.write("a");
    const auto running = fixture.take();
    fixture.write("b");
    CHECK(fixture.closed.empty());
    fixture.advance(5ms);
    fixture.write("a");
    fixture.succeed(running);
    CHECK(fixture.closed.size() == 1);
    fixture.completeOpens();
    CHECK(fixture.workspaceOf[fixture.take().connection] == WorkspaceId("b"));
}

TEST_CASE("GroupScheduler, opens again soon when the endpoint counted the evicted connection")
{
    // Guards against half a second without a connection because the endpoint saw the attempt before the end of the
    // evicted connection.
    WorkspaceFixture fixture(1);
    fixture.runWrite("a");
    fixture.write("b");
    fixture.refuseOpens("e1");
    CHECK(fixture.opening.empty());
    fixture.advance(100ms);
    fixture.scheduler->tick(fixture.now);
    CHECK(fixture.opensTo("e1", "b") == 1);
}

TEST_CASE("GroupScheduler, keeps idle connections of workspaces while it is inside its share")
{
    WorkspaceFixture fixture;
    fixture.runWrite("a");
    const auto tickFor = [&](Duration duration) {
        for (Duration at {}; at < duration; at += 100ms) {
            fixture.advance(100ms);
            fixture.scheduler->tick(fixture.now);
        }
    };
    SECTION("for a bounded time")
    {
        tickFor(9s);
        CHECK(fixture.scheduler->statistics().connections == 1);
        tickFor(2s);
        CHECK(fixture.scheduler->statistics().connections == 0);
        CHECK(fixture.scheduler->isIdle());
    }
    SECTION("and not when it owns no share")
    {
        fixture.scheduler->setConnectionShare(2, false);
        tickFor(1s);
        CHECK(fixture.scheduler->statistics().connections == 0);
    }
}

TEST_CASE("GroupScheduler, opens no connection in advance when workspaces are in use")
{
    WorkspaceFixture fixture;
    fixture.scheduler->tick(fixture.now);
    fixture.advance(1s);
    fixture.scheduler->tick(fixture.now);
    CHECK(fixture.opening.empty());
    CHECK(fixture.scheduler->isIdle());
}

TEST_CASE("GroupScheduler, learns the primary's position when it opens a connection for a workspace")
{
    // Guards against replicas that get no reads because no connection is opened in advance.
    WorkspaceFixture fixture;
    fixture.positionAtStart = Position { 1, 10 };
    const auto read = WorkspaceFixture::of("a", SchedulerFixture::read(false));
    CHECK(fixture.scheduler->needsPrimary(read));
    fixture.submit(read);
    fixture.completeOpens();
    CHECK(fixture.endpointName(fixture.take().connection) == "e1");
    fixture.advance(20ms);
    CHECK_FALSE(fixture.scheduler->needsPrimary(read));
}

TEST_CASE("GroupScheduler, prefers an endpoint at which the workspace has an idle connection")
{
    WorkspaceFixture fixture;
    fixture.positionAtStart = Position { 1, 10 };
    fixture.runWrite("a");
    fixture.advance(50ms);
    fixture.submit(WorkspaceFixture::of("a", SchedulerFixture::read(false)));
    fixture.completeOpens();
    const auto first = fixture.take();
    const auto endpoint = fixture.endpointName(first.connection);
    CHECK(endpoint == "e2");
    fixture.succeed(first);
    fixture.submit(WorkspaceFixture::of("a", SchedulerFixture::read(false)));
    CHECK(fixture.endpointName(fixture.take().connection) == endpoint);
    CHECK(fixture.opening.empty());
}

TEST_CASE("GroupScheduler, admits statements of a workspace when another has a backlog")
{
    // Guards against refusing a well-behaved workspace because of another's statements, at once or after a wait.
    WorkspaceFixture fixture(4);
    for (int i = 0; i < 400; ++i)
        fixture.write("hot");
    REQUIRE_FALSE(fixture.results.empty());
    for (const auto& result : fixture.results)
        CHECK(result.reason == "not_in_time");
    const auto refused = fixture.results.size();
    const auto quiet = fixture.write("quiet");
    CHECK(fixture.results.size() == refused);
    CHECK_FALSE(quiet->late);
    // It gets one of the first turns.
    for (int round = 0; round < 20 && !quiet->firstSentAt; ++round) {
        fixture.completeOpens();
        fixture.advance(1ms);
        if (!fixture.sent.empty())
            fixture.succeed(fixture.take());
    }
    CHECK(quiet->firstSentAt);
}
