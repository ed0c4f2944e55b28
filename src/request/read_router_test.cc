#include "request/read_router.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId a { "a" };
const EndpointId b { "b" };
const EndpointId c { "c" };
const Time now { 100s };

// Primary a at position 10; replicas b and c at position 8 that are predicted to apply 10 in 5 and 15 ms.
struct Fixture {
    std::vector<ReadCandidate> candidates { 3 };
    ReadRequirements requirements { { 1, 8 } };
    ReadRouterSettings settings;

    Fixture()
    {
        this->candidates[0] = { a, true, false, false, false, { 1, 10 }, now, 1ms };
        this->candidates[1] = { b, false, false, false, false, { 1, 8 }, now + 5ms, 1ms };
        this->candidates[2] = { c, false, false, false, false, { 1, 8 }, now + 15ms, 1ms };
    }

    ReadChoice choose() const { return weightedReadPolicy(this->settings)(this->requirements, this->candidates, now); }
};

} // namespace

// Guards against reads that pile up at one replica while another one is idle.
TEST_CASE("ReadRouter, chooses the replica with less load when both are current")
{
    Fixture fixture;
    fixture.candidates[1].busy = 2;
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::Replica, c, now, "replica_current" });
    fixture.candidates[2].queued = 5;
    CHECK(fixture.choose().endpoint == b);
}

// Guards against a wait for a replica that exceeds replicaWait or the deadline.
TEST_CASE("ReadRouter, waits for the earliest replica or uses the primary when no replica is current")
{
    Fixture fixture;
    fixture.requirements.required = { 1, 10 };
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::WaitFor, b, now + 7ms, "replica_expected" });
    fixture.settings.replicaWait = 6ms;
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::Primary, a, now, "no_replica_in_time" });
    fixture.settings.replicaWait = 60ms;
    fixture.requirements.deadline = now + 3ms;
    CHECK(fixture.choose().kind == ReadChoiceKind::Primary);
    fixture.requirements.deadline = Time::max();
    fixture.candidates[1].predictedApply.reset();
    CHECK(fixture.choose().endpoint == c);
}

// Guards against weights that have no effect, so that deployments could not be tuned.
TEST_CASE("ReadRouter, prefers the primary when the weights favour latency")
{
    Fixture fixture;
    fixture.requirements.required = { 1, 10 };
    fixture.settings.primaryPenalty = 1ms;
    CHECK(fixture.choose().reason == "primary_cheaper");
    fixture.settings.waitWeight = 0;
    CHECK(fixture.choose().kind == ReadChoiceKind::WaitFor);
}

// Guards against new work for a leaving endpoint and against reads at endpoints that do not answer.
TEST_CASE("ReadRouter, skips endpoints when they are leaving or suspected")
{
    Fixture fixture;
    fixture.candidates[1].leaving = true;
    fixture.candidates[2].suspected = true;
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::Primary, a, now, "no_replica_in_time" });
    fixture.candidates[0].suspected = true;
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::NoneAvailable, {}, now, "no_endpoint" });
}

// Guards against a read that needs the primary and runs at a replica while there is no primary.
TEST_CASE("ReadRouter, uses no replica when the primary is required")
{
    Fixture fixture;
    fixture.requirements.requiresPrimary = true;
    fixture.candidates[0].leaving = true;
    CHECK(fixture.choose().reason == "primary_required");
    fixture.candidates[0].primary = false;
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::NoneAvailable, {}, now, "no_primary" });
    const auto choice = randomReplicaReadPolicy({}, [] { return 1; })(fixture.requirements, fixture.candidates, now);
    CHECK(choice.kind == ReadChoiceKind::NoneAvailable);
}

// Guards against refusing reads that could be served while the primary is being replaced.
TEST_CASE("ReadRouter, uses ejected or late replicas when there is no primary")
{
    Fixture fixture;
    fixture.candidates[0].suspected = true;
    fixture.candidates[1].ejected = true;
    fixture.requirements.required = { 1, 10 };
    fixture.settings.replicaWait = 0ms;
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::WaitFor, c, now + 17ms, "replica_late" });
    fixture.candidates[1].applied = { 1, 10 };
    CHECK(fixture.choose() == ReadChoice { ReadChoiceKind::Replica, b, now, "ejected_only" });
}

// Guards against comparison policies in the load tool that do not do what their names say.
TEST_CASE("ReadRouter, follows another policy when it is replaced")
{
    Fixture fixture;
    CHECK(primaryOnlyReadPolicy()(fixture.requirements, fixture.candidates, now).endpoint == a);
    std::uint64_t value = 0;
    const auto random = randomReplicaReadPolicy({}, [&] { return value++; });
    CHECK(random(fixture.requirements, fixture.candidates, now).endpoint == b);
    CHECK(random(fixture.requirements, fixture.candidates, now).endpoint == c);
    fixture.requirements.required = { 1, 10 };
    CHECK(random(fixture.requirements, fixture.candidates, now).until == now + 7ms);
    CHECK(random(fixture.requirements, fixture.candidates, now).until == now + 17ms);
}

// Guards against a read that misses the session's own write because its age bound is older.
TEST_CASE("ReadRouter, requires the later position when both session and age bound require one")
{
    CHECK(requiredPosition({ 2, 5 }, Position { 2, 4 }) == Position { 2, 5 });
    CHECK(requiredPosition({ 2, 5 }, Position { 3, 1 }) == Position { 3, 1 });
    CHECK(requiredPosition({ 2, 5 }, std::nullopt) == Position { 2, 5 });
}
