#include "process/failover.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId a { "a" };
const EndpointId b { "b" };
const EndpointId c { "c" };

// Three endpoints of which a is primary in term 1 and has been in contact until the start time.
struct Fixture {
    Time now { 100s };
    Duration random = 0ms;
    Failover failover { { DataCentre("dc1"), {}, [this] { return static_cast<std::uint64_t>(this->random.count()); } },
        { { a }, { b }, { c } }, now };
    std::map<EndpointId, EndpointStatus> statuses;
    std::vector<failover::Action> actions;

    Fixture()
    {
        this->statuses[a] = { a, 1, EndpointRole::Primary, { 1, 10 }, { 1, 10 }, 0ms, 0 };
        this->statuses[b] = { b, 1, EndpointRole::Replica, { 1, 9 }, { 1, 9 }, 0ms, 0 };
        this->statuses[c] = { c, 1, EndpointRole::Replica, { 1, 8 }, { 1, 8 }, 0ms, 0 };
        this->reportStatuses({ a, b, c });
    }

    void collect(failover::Actions more) { this->actions.insert(this->actions.end(), more.begin(), more.end()); }

    void reportStatuses(const std::vector<EndpointId>& answering)
    {
        for (const auto& id : answering)
            this->collect(this->failover.onStatus(this->statuses.at(id), this->now, this->now));
    }

    // Advances the time in steps of 50 ms, in which only the given endpoints answer.
    void advance(Duration duration, const std::vector<EndpointId>& answering)
    {
        for (const auto end = this->now + duration; this->now < end;) {
            this->now += 50ms;
            this->reportStatuses(answering);
            this->collect(this->failover.tick(this->now));
        }
    }

    void loseContact()
    {
        this->statuses[b].primaryContactAge = 10s;
        this->statuses[c].primaryContactAge = 10s;
    }

    void answerFence(const EndpointId& id, std::uint64_t term, bool granted = true)
    {
        auto status = this->statuses.at(id);
        status.term = granted ? term : term + 5;
        status.role = EndpointRole::Fenced;
        this->collect(this->failover.onFenceAnswer(id, term, { granted, status }, this->now));
    }

    template <typename Kind> std::vector<Kind> take()
    {
        std::vector<Kind> found;
        for (const auto& action : this->actions)
            if (const auto* kind = std::get_if<Kind>(&action))
                found.push_back(*kind);
        this->actions.clear();
        return found;
    }
};

using Fences = std::vector<failover::Fence>;
using Promotes = std::vector<failover::Promote>;

} // namespace

// Guards against a false failover after the process was paused or the clock jumped.
TEST_CASE("Failover, does not suspect the primary when time jumps forward")
{
    Fixture fixture;
    fixture.loseContact();
    fixture.now += 3600s;
    fixture.collect(fixture.failover.tick(fixture.now));
    CHECK(fixture.failover.state() == FailoverState::Watching);
}

// Guards against an attempt that fences too few endpoints, uses an old term or chooses a shorter log.
TEST_CASE("Failover, promotes the endpoint with the highest position when the replicas have lost the primary")
{
    Fixture fixture;
    fixture.loseContact();
    fixture.advance(450ms, { b, c });
    CHECK(fixture.failover.state() == FailoverState::Watching);
    fixture.advance(50ms, { b, c });
    CHECK(fixture.take<failover::Fence>() == Fences { { a, 2 }, { b, 2 }, { c, 2 } });
    fixture.answerFence(c, 2);
    fixture.answerFence(c, 2);
    CHECK(fixture.failover.state() == FailoverState::Fencing);
    fixture.answerFence(b, 2);
    CHECK(fixture.take<failover::Promote>() == Promotes { { b, 2 } });
    fixture.statuses[b] = { b, 2, EndpointRole::Primary, { 2, 10 }, { 1, 9 }, 0ms, 0 };
    fixture.collect(fixture.failover.onPromoteAnswer(b, 2, { true, fixture.statuses[b] }, fixture.now));
    CHECK(fixture.failover.state() == FailoverState::Settling);
    const auto changes = fixture.take<failover::PrimaryChanged>();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0] == failover::PrimaryChanged { b, 2, 500ms, true });
    fixture.reportStatuses({ b });
    CHECK(fixture.failover.state() == FailoverState::Watching);
}

// Guards against a fence answer with a position below an earlier one that makes the failover drop acknowledged writes.
TEST_CASE("Failover, does not count a fence answer when its position went backwards until a repeated call confirms it")
{
    Fixture fixture;
    fixture.loseContact();
    fixture.advance(500ms, { b, c });
    CHECK(fixture.take<failover::Fence>() == Fences { { a, 2 }, { b, 2 }, { c, 2 } });
    const auto trueStatus = fixture.statuses[b];
    fixture.statuses[b].lastLog = fixture.statuses[b].applied = { 1, 7 };
    fixture.answerFence(b, 2);
    fixture.answerFence(c, 2);
    CHECK(fixture.take<failover::Promote>().empty());
    fixture.statuses[b] = trueStatus;
    fixture.answerFence(b, 2);
    CHECK(fixture.take<failover::Promote>() == Promotes { { b, 2 } });
}

// Guards against a failover by a daemon that is itself cut off from a working primary.
TEST_CASE("Failover, keeps the primary when a replica still has contact with it")
{
    Fixture fixture;
    fixture.advance(5s, { b, c });
    CHECK(fixture.failover.state() == FailoverState::Confirming);
    CHECK(fixture.take<failover::Fence>().empty());
    fixture.reportStatuses({ a });
    CHECK(fixture.failover.state() == FailoverState::Watching);
}

// Guards against keeping a primary that replicas can reach but no daemon can, and against counting peers of this
// daemon's own data centre, which share its faults.
TEST_CASE("Failover, overrides a replica's veto when daemons in other data centres have lost the primary too")
{
    Fixture fixture;
    const auto opinionFrom = [&](const char* dataCentre, std::optional<Duration> age) {
        fixture.collect(
            fixture.failover.onOpinion({ DaemonId(dataCentre), DataCentre(dataCentre), a, 1, age }, fixture.now));
    };
    fixture.advance(2200ms, { b, c });
    opinionFrom("dc1", 3s);
    CHECK(fixture.take<failover::Fence>().empty());
    opinionFrom("dc2", 100ms);
    opinionFrom("dc3", 3s);
    CHECK(fixture.take<failover::Fence>().empty());
    opinionFrom("dc2", 3s);
    CHECK(fixture.take<failover::Fence>().size() == 3);
}

// Guards against fencing without a reachable majority, which could not be completed.
TEST_CASE("Failover, sends no fence calls when only a minority answers")
{
    Fixture fixture;
    fixture.loseContact();
    fixture.advance(3s, { b });
    CHECK(fixture.take<failover::Fence>().empty());
}

// Guards against all owners starting at once.
TEST_CASE("Failover, waits for its rank delay when the suspicion is confirmed")
{
    Fixture fixture;
    fixture.failover.setRank(1);
    fixture.loseContact();
    fixture.advance(750ms, { b, c });
    CHECK(fixture.take<failover::Fence>().empty());
    fixture.advance(50ms, { b, c });
    CHECK(fixture.take<failover::Fence>().size() == 3);
}

// Guards against a refused daemon that repeats its term or retries without a pause.
TEST_CASE("Failover, backs off and uses a higher term when a fence call is refused")
{
    Fixture fixture;
    fixture.random = 100ms;
    fixture.loseContact();
    fixture.advance(500ms, { b, c });
    fixture.take<failover::Fence>();
    fixture.answerFence(b, 2, false);
    CHECK(fixture.failover.state() == FailoverState::Confirming);
    fixture.advance(150ms, { b, c });
    CHECK(fixture.take<failover::Fence>().empty());
    fixture.answerFence(c, 2);
    fixture.advance(50ms, { b, c });
    CHECK(fixture.take<failover::Fence>() == Fences { { a, 8 }, { b, 8 }, { c, 8 } });
    fixture.answerFence(a, 2);
    fixture.answerFence(b, 8);
    CHECK(fixture.failover.state() == FailoverState::Fencing);
}

// Guards against promoting a second endpoint in a term after the answer of the first was lost.
TEST_CASE("Failover, repeats the same promotion when its answer is lost")
{
    Fixture fixture;
    fixture.loseContact();
    fixture.advance(500ms, { b, c });
    fixture.answerFence(b, 2);
    fixture.answerFence(c, 2);
    fixture.take<failover::Promote>();
    fixture.collect(fixture.failover.onPromoteFailed(b, 2, fixture.now));
    fixture.advance(500ms, { c });
    const auto repeated = fixture.take<failover::Promote>();
    CHECK(repeated == Promotes(5, { b, 2 }));
    fixture.statuses[b] = { b, 2, EndpointRole::Primary, { 2, 10 }, { 1, 9 }, 0ms, 0 };
    fixture.reportStatuses({ b });
    CHECK(fixture.failover.primary() == KnownPrimary { b, 2 });
    CHECK(fixture.take<failover::PrimaryChanged>().at(0).promotedHere);
}

// Guards against a leaving endpoint that becomes primary needlessly, and against losing writes that only it has.
TEST_CASE("Failover, chooses a leaving endpoint only when it alone has the highest position")
{
    Fixture fixture;
    const bool same = GENERATE(true, false);
    CAPTURE(same);
    fixture.collect(fixture.failover.setEndpoints({ { a }, { b, true }, { c } }, fixture.now));
    fixture.statuses[c].lastLog = { 1, same ? 9u : 8u };
    fixture.loseContact();
    fixture.advance(500ms, { b, c });
    fixture.answerFence(b, 2);
    fixture.answerFence(c, 2);
    CHECK(fixture.take<failover::Promote>() == Promotes { { same ? c : b, 2 } });
}

// Guards against a switchover that chooses the old primary because its log is a few records ahead.
TEST_CASE("Failover, does not fence the primary when a switchover is requested and the other endpoints are a majority")
{
    Fixture fixture;
    fixture.collect(fixture.failover.requestSwitchover("leaving", {}, fixture.now));
    CHECK(fixture.take<failover::Fence>() == Fences { { b, 2 }, { c, 2 } });
    fixture.reportStatuses({ a });
    CHECK(fixture.failover.state() == FailoverState::Fencing);
    fixture.collect(fixture.failover.onFenceFailed(c, 2, fixture.now));
    CHECK(fixture.take<failover::Fence>() == Fences { { a, 2 }, { b, 2 }, { c, 2 } });
}

// Guards against missing a promotion by another daemon, and against accepting a primary of a lower term.
TEST_CASE("Failover, adopts the new primary when a status shows that another daemon has promoted it")
{
    Fixture fixture;
    fixture.take<failover::PrimaryChanged>();
    fixture.now += 80ms;
    fixture.statuses[c] = { c, 4, EndpointRole::Primary, { 4, 9 }, { 4, 9 }, 0ms, 0 };
    fixture.reportStatuses({ c, a });
    CHECK(fixture.failover.primary() == KnownPrimary { c, 4 });
    CHECK(fixture.take<failover::PrimaryChanged>().at(0) == failover::PrimaryChanged { c, 4, 80ms, false });
}

// Guards against counting a majority over a group that is no longer configured.
TEST_CASE("Failover, abandons its attempt when the group changes")
{
    Fixture fixture;
    fixture.loseContact();
    fixture.advance(500ms, { b, c });
    fixture.answerFence(b, 2);
    fixture.collect(fixture.failover.setEndpoints({ { a }, { b }, { c }, { EndpointId("d") } }, fixture.now));
    CHECK(fixture.failover.state() == FailoverState::Confirming);
    fixture.answerFence(c, 2);
    CHECK(fixture.take<failover::Promote>().empty());
}

// Guards against a group without a primary, after every daemon died between fencing and promoting.
TEST_CASE("Failover, starts an attempt when a fenced group has no primary")
{
    Fixture fixture;
    for (auto& [id, status] : fixture.statuses) {
        status.term = 7;
        status.role = EndpointRole::Fenced;
    }
    fixture.advance(600ms, { a, b, c });
    CHECK(fixture.take<failover::Fence>() == Fences { { a, 8 }, { b, 8 }, { c, 8 } });
}

// Guards against malformed statuses that would exhaust the terms or report a primary that does not exist.
TEST_CASE("Failover, ignores a status when it is implausible")
{
    Fixture fixture;
    fixture.statuses[b].term = ~std::uint64_t { 0 };
    fixture.statuses[c] = { c, 3, EndpointRole::Primary, { 4, 9 }, { 4, 9 }, 0ms, 0 };
    fixture.reportStatuses({ b, c });
    CHECK(fixture.failover.highestTerm() == 1);
}
