#include "process/reachability_monitor.h"

#include "process/scheduler_fixture_test.h"
#include "process/statement_forwarder.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const DatabaseId shop { "shop" };
const DaemonId ownerA { "a" };
const DaemonId ownerB { "b" };

// A daemon with a forwarder, a scheduler and a monitor. Owners and endpoints answer after a latency unless they are
// silent; a silent one loses everything.
struct Fixture {
    explicit Fixture(std::vector<DaemonId> listed = { ownerA, ownerB })
        : owners(std::move(listed))
        , monitor(this->makeHooks())
    {
        // The connections that the scheduler fixture opens in its constructor stand for what the daemon had before.
        this->world.sent.clear();
        this->monitor.setGroups({ shop });
        ForwarderHooks hooks;
        hooks.owners = [this](const DatabaseId&, const ScheduledStatement&) { return this->owners; };
        hooks.nextId = [this] { return ++this->lastNumber; };
        hooks.send
            = [this](const DaemonId& owner, const ForwardMessage& message) { return this->send(owner, message); };
        hooks.unreachable = [this] { return this->monitor.isUnreachable(shop); };
        hooks.doubtful = [this] { return this->monitor.isDoubtful(shop); };
        hooks.silent = [this](const DaemonId& owner) { return this->monitor.isSilent(owner); };
        this->forwarder
            = std::make_unique<StatementForwarder>(shop, this->world.timers, *this->world.scheduler, std::move(hooks));
    }

    ReachabilityHooks makeHooks()
    {
        ReachabilityHooks hooks;
        hooks.paths = [this](const DatabaseId&) {
            return GroupPaths { this->owners, this->world.scheduler->endpointIds() };
        };
        hooks.awaitedEndpoints = [this](const DatabaseId&) { return this->world.scheduler->awaitedEndpoints(); };
        hooks.testOwner = [this](const DaemonId& owner, Time now) {
            ++this->ownerTests;
            const bool established = this->lostLinks.count(owner) == 0;
            this->monitor.onTest(ReachPath::owner(owner), established ? ReachTest::Probe : ReachTest::Open, now);
            const auto slow = this->slowProbes.count(owner) != 0;
            this->answerLater(ReachPath::owner(owner), slow ? 400ms : this->probeLatency, [] {});
        };
        hooks.testEndpoint = [this](const DatabaseId&, const EndpointId& endpoint, Time now) {
            this->endpointTests.push_back(now);
            this->answerLater(ReachPath::endpoint(endpoint), this->probeLatency, [] {});
            return true;
        };
        hooks.ownerSilent = [this](const DaemonId& owner, Time now) { this->forwarder->onOwnerSilent(owner, now); };
        hooks.unreachable = [this](const DatabaseId&, Time) { this->world.scheduler->refuseUnsent(); };
        return hooks;
    }

    // Delivers an answer unless the path is silent when the question arrives or when the answer does.
    void answerLater(const ReachPath& path, Duration latency, std::function<void()> deliver)
    {
        if (this->silent.count(path) == 0)
            this->answers.emplace(this->world.now + latency, std::make_pair(path, std::move(deliver)));
    }

    bool send(const DaemonId& owner, const ForwardMessage& message)
    {
        if (this->lostLinks.count(owner) != 0)
            return false;
        const auto* statement = std::get_if<ForwardedStatement>(&message);
        if (statement == nullptr)
            return true;
        this->monitor.onSent(ReachPath::owner(owner), this->world.now);
        ForwardedOutcome outcome;
        outcome.number = statement->number;
        outcome.result.answer.succeeded = true;
        this->answerLater(ReachPath::owner(owner), this->ownerLatency,
            [this, owner, outcome] { this->forwarder->onOutcome(owner, outcome, this->world.now); });
        return true;
    }

    // Answers what the scheduler has sent to its endpoints.
    void serveEndpoints()
    {
        for (auto command = this->world.take(); command.connection != 0; command = this->world.take()) {
            const EndpointId endpoint(this->world.endpointName(command.connection));
            this->monitor.onEndpointSent(shop, endpoint, this->world.now);
            this->answerLater(ReachPath::endpoint(endpoint), this->endpointLatency,
                [this, command] { this->world.succeed(command); });
        }
    }

    void deliverAnswers()
    {
        while (!this->answers.empty() && this->answers.begin()->first <= this->world.now) {
            const auto [path, deliver] = this->answers.extract(this->answers.begin()).mapped();
            if (this->silent.count(path) != 0)
                continue;
            this->monitor.onAnswer(path, this->world.now);
            deliver();
        }
    }

    // Like the event loop: takes what has arrived first, then runs the timers.
    void run(Duration duration)
    {
        for (const auto end = this->world.now + duration; this->world.now < end;) {
            this->world.advance(10ms);
            this->serveEndpoints();
            this->deliverAnswers();
            this->monitor.tick(this->world.now);
        }
    }

    ExecutionPtr submit(ScheduledStatement work)
    {
        work.expiresAt = this->world.now + 1000ms;
        auto execution = this->world.makeExecution(std::move(work));
        execution->callback = [this](const StatementResult& result) {
            this->results.push_back(result);
            this->answeredAt.push_back(this->world.now);
        };
        this->forwarder->submit(execution, this->world.now);
        return execution;
    }

    void silenceOwners()
    {
        for (const auto& owner : this->owners)
            this->silent.insert(ReachPath::owner(owner));
    }

    void silenceEndpoints()
    {
        for (const auto& endpoint : this->world.scheduler->endpointIds())
            this->silent.insert(ReachPath::endpoint(endpoint));
    }

    void silenceAll()
    {
        this->silenceOwners();
        this->silenceEndpoints();
    }

    // Runs until a result arrives and returns how long that took.
    Duration untilResult()
    {
        const auto start = this->world.now;
        while (this->results.empty() && this->world.now - start < 5s)
            this->run(10ms);
        return this->world.now - start;
    }

    SchedulerFixture world;
    std::vector<DaemonId> owners;
    std::set<DaemonId> lostLinks;
    // Owners whose process stalls for 400 ms.
    std::set<DaemonId> slowProbes;
    std::set<ReachPath> silent;
    std::multimap<Time, std::pair<ReachPath, std::function<void()>>> answers;
    Duration ownerLatency = 10ms;
    Duration probeLatency = 2ms;
    Duration endpointLatency = 10ms;
    int ownerTests = 0;
    std::vector<Time> endpointTests;
    std::uint64_t lastNumber = 0;
    std::vector<StatementResult> results;
    std::vector<Time> answeredAt;
    ReachabilityMonitor monitor;
    std::unique_ptr<StatementForwarder> forwarder;
};

} // namespace

TEST_CASE("ReachabilityMonitor, tests nothing when everything answers")
{
    Fixture fixture;
    for (int round = 0; round < 200; ++round) {
        fixture.submit(SchedulerFixture::read(true));
        fixture.run(20ms);
    }
    CHECK(fixture.results.size() == 200);
    CHECK(fixture.ownerTests == 0);
    CHECK(fixture.endpointTests.empty());
}

// Guards against a partitioned daemon that holds statements until the client's deadline.
TEST_CASE("ReachabilityMonitor, has a read refused within 250 ms when all links and endpoints are silent")
{
    Fixture fixture;
    fixture.submit(SchedulerFixture::read(true));
    fixture.run(500ms);
    fixture.results.clear();
    fixture.silenceAll();
    fixture.submit(SchedulerFixture::read(true));
    const auto refusedAfter = fixture.untilResult();
    CHECK(refusedAfter <= 250ms);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::Busy);
    CHECK(fixture.results.front().reason == "unreachable");
    // The read was refused because no other path answered. The last test fails a little later.
    fixture.run(250ms - refusedAfter);
    CHECK(fixture.monitor.servesNothing());
    SECTION("later statements are refused at once")
    {
        fixture.submit(SchedulerFixture::write());
        CHECK(fixture.results.size() == 2);
        CHECK(fixture.results.back().answer.code == ReplyCode::Busy);
    }
    SECTION("the state lasts while nothing is sent, and tests go on at a bounded rate")
    {
        const auto before = fixture.monitor.statistics().tests;
        fixture.run(12s);
        CHECK(fixture.monitor.servesNothing());
        CHECK(fixture.monitor.statistics().tests - before >= 40);
        CHECK(fixture.monitor.statistics().tests - before <= 50);
    }
    SECTION("the first answer ends it")
    {
        fixture.run(5s);
        fixture.silent.clear();
        fixture.run(300ms);
        CHECK_FALSE(fixture.monitor.servesNothing());
        fixture.results.clear();
        fixture.submit(SchedulerFixture::read(true));
        fixture.run(50ms);
        REQUIRE(fixture.results.size() == 1);
        CHECK(fixture.results.front().answer.succeeded);
    }
}

// Guards against reporting a write as not run although the owner may have run it.
TEST_CASE("ReachabilityMonitor, leaves a write that was sent in doubt when its owner is silent")
{
    Fixture fixture;
    fixture.silenceAll();
    fixture.submit(SchedulerFixture::write());
    fixture.run(500ms);
    CHECK(fixture.monitor.isUnreachable(shop));
    CHECK(fixture.results.empty());
    fixture.forwarder->onLinkLost(ownerA, true, fixture.world.now);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.code == ReplyCode::InDoubt);
}

// Guards against refusing what another owner can serve.
TEST_CASE("ReachabilityMonitor, has a read moved to another owner when the first is silent")
{
    Fixture fixture;
    fixture.silent.insert(ReachPath::owner(ownerA));
    fixture.submit(SchedulerFixture::read(true));
    CHECK(fixture.untilResult() <= 250ms);
    CHECK(fixture.results.front().answer.succeeded);
    CHECK(fixture.results.front().owner == ownerB);
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
    CHECK(fixture.endpointTests.empty());
    fixture.results.clear();
    fixture.submit(SchedulerFixture::write());
    CHECK(fixture.untilResult() <= 20ms);
    CHECK(fixture.results.front().owner == ownerB);
}

TEST_CASE("ReachabilityMonitor, has a read run here when the owners are silent and the endpoints answer")
{
    Fixture fixture;
    fixture.silenceOwners();
    fixture.submit(SchedulerFixture::read(true));
    CHECK(fixture.untilResult() <= 250ms);
    CHECK(fixture.results.front().answer.succeeded);
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
}

// Guards against a daemon that refuses statements because it cannot reach endpoints which it does not need.
TEST_CASE("ReachabilityMonitor, lets statements through when the endpoints are silent and an owner answers")
{
    Fixture fixture;
    fixture.silenceEndpoints();
    for (int round = 0; round < 100; ++round) {
        fixture.submit(SchedulerFixture::read(true));
        fixture.run(20ms);
    }
    CHECK(fixture.results.size() == 100);
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
}

// Guards against an owner of a group that holds statements while it is cut off from the endpoints.
TEST_CASE("ReachabilityMonitor, has waiting statements refused when an owner of the group loses its endpoints")
{
    Fixture fixture(std::vector<DaemonId> {});
    fixture.silenceEndpoints();
    std::vector<ExecutionPtr> executions;
    for (int index = 0; index < 20; ++index)
        executions.push_back(fixture.submit(SchedulerFixture::write()));
    fixture.run(260ms);
    CHECK(fixture.monitor.servesNothing());
    std::size_t sent = 0;
    for (const auto& execution : executions)
        sent += execution->firstSentAt ? 1 : 0;
    CHECK(sent > 0);
    REQUIRE(fixture.results.size() == executions.size() - sent);
    for (const auto& result : fixture.results) {
        CHECK(result.answer.code == ReplyCode::Busy);
        CHECK(result.reason == "unreachable");
    }
    for (const auto at : fixture.answeredAt)
        CHECK(at - executions.front()->work.arrivedAt <= 250ms);
}

// Guards against silence that was this daemon's own.
TEST_CASE("ReachabilityMonitor, refuses nothing when this daemon was frozen for three seconds")
{
    Fixture fixture;
    for (int round = 0; round < 10; ++round) {
        fixture.submit(SchedulerFixture::read(true));
        fixture.world.now += 3s;
        fixture.deliverAnswers();
        fixture.monitor.tick(fixture.world.now);
        fixture.run(100ms);
    }
    CHECK(fixture.results.size() == 10);
    CHECK(fixture.monitor.statistics().silentOwners == 0);
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
}

// Guards against false refusals when the processor quota of this daemon and of the owners is used up in turn.
TEST_CASE("ReachabilityMonitor, refuses nothing when processor quotas are used up for a tenth of a second")
{
    Fixture fixture({ ownerA });
    fixture.probeLatency = 90ms;
    fixture.ownerLatency = 120ms;
    for (int round = 0; round < 50; ++round) {
        fixture.submit(SchedulerFixture::read(true));
        fixture.run(60ms);
        fixture.world.now += 90ms;
        fixture.deliverAnswers();
        fixture.monitor.tick(fixture.world.now);
        fixture.run(20ms);
    }
    CHECK(fixture.results.size() == 50);
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
}

TEST_CASE("ReachabilityMonitor, waits for a loaded owner when it answers after 400 ms and probes in time")
{
    Fixture fixture;
    fixture.ownerLatency = 400ms;
    fixture.submit(SchedulerFixture::write());
    fixture.submit(SchedulerFixture::read(true));
    fixture.run(450ms);
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results.front().answer.succeeded);
    CHECK(fixture.results.back().owner == ownerA);
    CHECK(fixture.monitor.statistics().silentOwners == 0);
    // A probe at most every 40 ms.
    CHECK(fixture.ownerTests <= 10);
}

// Guards against a write that is lost because the process of its owner stalls: the owner is passed over for new
// statements, and its answer still counts.
TEST_CASE("ReachabilityMonitor, keeps a write when its owner stalls and answers after 400 ms")
{
    Fixture fixture;
    fixture.ownerLatency = 400ms;
    fixture.slowProbes = { ownerA };
    fixture.submit(SchedulerFixture::write());
    fixture.run(450ms);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results.front().answer.succeeded);
    CHECK_FALSE(fixture.monitor.isSilent(ownerA));
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
}

// Guards against false refusals when endpoints take eight times as long as usual.
TEST_CASE("ReachabilityMonitor, refuses nothing when the endpoints are slow")
{
    Fixture fixture(std::vector<DaemonId> {});
    fixture.endpointLatency = 80ms;
    std::size_t submitted = 0;
    for (int round = 0; round < 40; ++round) {
        if (round == 20)
            fixture.endpointLatency = 300ms;
        fixture.submit(SchedulerFixture::read(true));
        ++submitted;
        fixture.run(320ms);
    }
    CHECK(fixture.results.size() == submitted);
    for (const auto& result : fixture.results)
        CHECK(result.answer.succeeded);
    CHECK(fixture.monitor.statistics().unreachableEvents == 0);
}

// Guards against a daemon that refuses statements during an outage of the store, and against a test of every path then.
TEST_CASE("ReachabilityMonitor, stays able to serve when only the store does not answer")
{
    Fixture fixture;
    fixture.monitor.onStoreCall(false, fixture.world.now);
    fixture.run(10s);
    CHECK_FALSE(fixture.monitor.servesNothing());
    CHECK(fixture.ownerTests == 1);
    CHECK(fixture.endpointTests.empty());
}

// Guards against a partitioned daemon without load that stays ready.
TEST_CASE("ReachabilityMonitor, finds out without load that it serves nothing when the store does not answer")
{
    Fixture fixture;
    fixture.monitor.setGroups({ shop, DatabaseId("stock") });
    fixture.silenceAll();
    fixture.run(2s);
    CHECK_FALSE(fixture.monitor.servesNothing());
    fixture.monitor.onStoreCall(false, fixture.world.now);
    fixture.run(1s);
    CHECK(fixture.monitor.servesNothing());
}
