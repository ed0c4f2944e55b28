#include "process/endpoint_health.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId a { "a" };
const EndpointId b { "b" };
const EndpointId c { "c" };

struct Fixture {
    Time now { 100s };
    EndpointHealth health { {}, { a, b, c }, now };

    // Advances the time in steps of 50 ms, in each of which the given endpoints answer a probe after the given time.
    void advance(int steps, const std::map<EndpointId, Duration>& answers, const EndpointId& failing = {})
    {
        for (int i = 0; i < steps; ++i) {
            this->now += 50ms;
            for (const auto& [endpoint, time] : answers)
                this->health.onResult({ endpoint, this->now - time, this->now, endpoint == failing, true });
            this->health.tick(this->now, a);
        }
    }
};

} // namespace

// Guards against noticing a dead endpoint too late, and against counting failures as contact.
TEST_CASE("EndpointHealth, suspects an endpoint when it has not answered for 500 ms")
{
    Fixture fixture;
    fixture.advance(10, { { a, 1ms }, { b, 1ms }, { c, 1ms } });
    const Time lastContact = fixture.now;
    fixture.advance(9, { { a, 1ms }, { b, 1ms } }, b);
    CHECK_FALSE(fixture.health.view(b).suspected);
    fixture.advance(1, { { a, 1ms }, { b, 1ms } }, b);
    CHECK(fixture.health.view(b).suspected);
    CHECK(fixture.health.view(c).suspected);
    CHECK_FALSE(fixture.health.view(a).suspected);
    CHECK(fixture.health.view(c).lastContact == lastContact);
    CHECK(fixture.health.contactAge(c, fixture.now) == 500ms);
}

// Guards against suspecting every endpoint after a pause of the process or a jump of the clock, in either direction.
TEST_CASE("EndpointHealth, suspects no endpoint when the clock jumps")
{
    Fixture fixture;
    const Duration jump = GENERATE(Duration(30s), Duration(-30s));
    CAPTURE(jump.count());
    fixture.advance(10, { { a, 1ms }, { b, 1ms } });
    fixture.now += jump;
    CHECK(fixture.health.contactAge(a, fixture.now) <= 100ms);
    fixture.health.tick(fixture.now, a);
    CHECK_FALSE(fixture.health.view(a).suspected);
    CHECK(fixture.health.contactAge(a, fixture.now) <= 100ms);
}

// Guards against false suspicion of an endpoint whose probes are slow, and against a timeout without bound.
TEST_CASE("EndpointHealth, raises the suspicion timeout when probes are slow")
{
    Fixture fixture;
    fixture.advance(200, { { a, 10ms }, { b, 200ms }, { c, 900ms } });
    CHECK(fixture.health.suspectAfter(a) == 500ms);
    CHECK(fixture.health.suspectAfter(b) == 800ms);
    CHECK(fixture.health.suspectAfter(c) == 2s);
    fixture.advance(200, { { b, 10ms } });
    CHECK(fixture.health.suspectAfter(b) == 500ms);
}

// Guards against one slow replica that slows all reads, and against an ejection that never ends.
TEST_CASE("EndpointHealth, ejects a slow replica for a bounded time when its peers are fast")
{
    Fixture fixture;
    fixture.advance(20, { { a, 1ms }, { b, 1ms }, { c, 20ms } });
    CHECK(fixture.health.view(c).ejected);
    CHECK_FALSE(fixture.health.view(b).ejected);
    fixture.advance(110, { { a, 1ms }, { b, 1ms }, { c, 1ms } });
    CHECK_FALSE(fixture.health.view(c).ejected);
    CHECK(fixture.health.view(c).latency == 1ms);
}

// Guards against ejecting the last usable replica or the primary.
TEST_CASE("EndpointHealth, keeps a replica in use when all are slow or failing")
{
    Fixture fixture;
    fixture.advance(30, { { a, 100ms }, { b, 1ms }, { c, 60ms } }, a);
    CHECK_FALSE(fixture.health.view(a).ejected);
    fixture.advance(40, { { a, 1ms }, { b, 1ms }, { c, 60ms } }, b);
    CHECK_FALSE((fixture.health.view(b).ejected && fixture.health.view(c).ejected));
    fixture.advance(20, { { a, 1ms }, { c, 60ms } });
    CHECK(fixture.health.view(b).suspected);
    CHECK_FALSE(fixture.health.view(c).ejected);
}

// Guards against sending reads to a replica that answers but fails most calls.
TEST_CASE("EndpointHealth, ejects a replica when most of its calls fail")
{
    Fixture fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.advance(4, { { a, 1ms }, { b, 1ms }, { c, 1ms } }, c);
        fixture.advance(1, { { a, 1ms }, { b, 1ms }, { c, 1ms } });
    }
    CHECK(fixture.health.view(c).errorRate > 0.5);
    CHECK(fixture.health.view(c).ejected);
    CHECK_FALSE(fixture.health.view(c).suspected);
}
