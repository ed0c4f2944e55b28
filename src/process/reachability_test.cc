#include "process/reachability.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const auto ownerA = ReachPath::owner(DaemonId("a"));
const auto ownerB = ReachPath::owner(DaemonId("b"));
const auto endpoint = ReachPath::endpoint(EndpointId("e1"));

struct Fixture {
    // Lets time pass in steps of 10 ms, as while the event loop runs. Returns the paths that became silent.
    std::vector<ReachPath> run(Duration duration)
    {
        std::vector<ReachPath> silent;
        for (const auto end = this->now + duration; this->now < end;) {
            this->now += 10ms;
            for (const auto& path : this->reach.evaluate(this->now))
                silent.push_back(path);
        }
        return silent;
    }

    Time now { 1000s };
    Reachability reach;
};

} // namespace

TEST_CASE("Reachability, calls a link silent when its probe is not answered")
{
    Fixture fixture;
    fixture.reach.onSent(ownerA, fixture.now);
    CHECK(fixture.run(40ms).empty());
    REQUIRE(fixture.reach.ownersToProbe() == std::vector<ReachPath> { ownerA });
    fixture.reach.onTest(ownerA, ReachTest::Probe, fixture.now);
    CHECK(fixture.reach.ownersToProbe().empty());
    CHECK(fixture.run(100ms).empty());
    CHECK(fixture.run(20ms) == std::vector<ReachPath> { ownerA });
    CHECK(fixture.reach.isSilent(ownerA));
    fixture.reach.onAnswer(ownerA, fixture.now);
    CHECK_FALSE(fixture.reach.isSilent(ownerA));
}

// Guards against refusing statements because an endpoint is slow: only an unanswered test is silence.
TEST_CASE("Reachability, never calls a path silent when it was not tested")
{
    Fixture fixture;
    fixture.reach.onSent(endpoint, fixture.now);
    CHECK(fixture.run(5s).empty());
    CHECK(fixture.reach.judge({ endpoint }) == GroupReach::Doubtful);
}

// Guards against giving up an owner whose processor quota is used up for a tenth of a second.
TEST_CASE("Reachability, keeps a link when its probe is answered after a tenth of a second")
{
    Fixture fixture;
    for (int round = 0; round < 50; ++round) {
        fixture.reach.onSent(ownerA, fixture.now);
        CHECK(fixture.run(40ms).empty());
        fixture.reach.onTest(ownerA, ReachTest::Probe, fixture.now);
        CHECK(fixture.run(100ms).empty());
        fixture.reach.onAnswer(ownerA, fixture.now);
        CHECK(fixture.reach.judge({ ownerA }) == GroupReach::Reachable);
    }
}

// Guards against taking the pause of this daemon itself for silence of the others.
TEST_CASE("Reachability, does not count the time in which this daemon was frozen")
{
    Fixture fixture;
    fixture.reach.onSent(ownerA, fixture.now);
    fixture.reach.onTest(ownerA, ReachTest::Probe, fixture.now);
    fixture.run(50ms);
    fixture.now += 3s;
    CHECK(fixture.reach.evaluate(fixture.now).empty());
    CHECK(fixture.run(90ms).empty());
    CHECK_FALSE(fixture.run(50ms).empty());
}

// Guards against a pause just before the timers run, after which the answers are still in the sockets.
TEST_CASE("Reachability, lets what has arrived be taken before it calls a path silent")
{
    Fixture fixture;
    fixture.reach.onTest(ownerA, ReachTest::Open, fixture.now);
    fixture.run(10ms);
    fixture.now += 100ms;
    CHECK(fixture.reach.evaluate(fixture.now).empty());
    fixture.reach.onAnswer(ownerA, fixture.now);
    CHECK(fixture.run(1s).empty());
}

TEST_CASE("Reachability, judges a group by all of its paths")
{
    Fixture fixture;
    const std::vector<ReachPath> paths { ownerA, ownerB };
    CHECK(fixture.reach.judge(paths) == GroupReach::Reachable);
    fixture.reach.onAnswer(ownerB, fixture.now);
    fixture.run(10ms);
    fixture.reach.onTest(ownerA, ReachTest::Open, fixture.now);
    fixture.run(110ms);
    // The other owner has not answered since the silence began.
    CHECK(fixture.reach.judge(paths) == GroupReach::Doubtful);
    fixture.reach.onTest(ownerB, ReachTest::Open, fixture.now);
    SECTION("an answer of one path is enough")
    {
        fixture.reach.onAnswer(ownerB, fixture.now);
        CHECK(fixture.reach.judge(paths) == GroupReach::Reachable);
    }
    SECTION("all paths are silent")
    {
        const auto answered = fixture.reach.lastGoodEvidence(paths);
        fixture.run(110ms);
        CHECK(fixture.reach.judge(paths) == GroupReach::Unreachable);
        CHECK(fixture.reach.lastGoodEvidence(paths) == answered);
        fixture.reach.forgetSilence();
        CHECK(fixture.reach.judge(paths) == GroupReach::Reachable);
    }
}

// Guards against a second answer that stays out after a first one has arrived.
TEST_CASE("Reachability, counts the silence from the last answer when more is awaited")
{
    Fixture fixture;
    fixture.reach.onSent(endpoint, fixture.now);
    fixture.run(90ms);
    fixture.reach.onAnswer(endpoint, fixture.now);
    fixture.reach.onSent(endpoint, fixture.now);
    fixture.run(90ms);
    CHECK_FALSE(fixture.reach.anyDoubt());
    fixture.run(20ms);
    CHECK(fixture.reach.anyDoubt());
    fixture.reach.onSettled(endpoint, fixture.now);
    CHECK_FALSE(fixture.reach.anyDoubt());
}

// Guards against a daemon that left the fleet and is remembered as silent for ever.
TEST_CASE("Reachability, forgets a silent path when it is not tested any more")
{
    Fixture fixture;
    fixture.reach.onTest(ownerA, ReachTest::Open, fixture.now);
    fixture.run(110ms);
    CHECK(fixture.reach.isSilent(ownerA));
    fixture.run(Reachability::forgetAfter);
    CHECK_FALSE(fixture.reach.awaitsAnswer());
}
