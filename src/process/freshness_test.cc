#include "process/freshness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId a { "a" };
const EndpointId b { "b" };
const EndpointId c { "c" };

struct Fixture {
    Freshness freshness { {}, { a, b, c } };

    void primary(Time sentAt, Position position, std::uint64_t term = 2)
    {
        this->freshness.onStatus({ a, term, EndpointRole::Primary, position, position, 0ms, 0 }, sentAt, sentAt + 1ms);
    }
    void replica(const EndpointId& id, Time sentAt, Position applied, std::uint64_t term = 2)
    {
        this->freshness.onStatus({ id, term, EndpointRole::Replica, applied, applied, 0ms, 0 }, sentAt, sentAt + 1ms);
    }
};

Time at(int milliseconds) { return Time(1000s) + std::chrono::milliseconds(milliseconds); }

} // namespace

// Guards against data that is older than stated because the position of a replaced primary was accepted.
TEST_CASE("Freshness, confirms a sample when a majority answers a later request in the term")
{
    Fixture fixture;
    fixture.primary(at(10), { 2, 5 });
    fixture.replica(b, at(9), { 2, 5 });
    CHECK(fixture.freshness.latest() == std::nullopt);
    fixture.replica(c, at(20), { 2, 4 }, 1);
    CHECK(fixture.freshness.latest() == std::nullopt);
    fixture.replica(b, at(10), { 2, 5 });
    CHECK(fixture.freshness.confirmedSince(at(10)) == FreshnessSample { at(10), 2, { 2, 5 } });
    CHECK(fixture.freshness.confirmedSince(at(11)) == std::nullopt);
}

// Guards against a bound that uses a sample older than the age allows.
TEST_CASE("Freshness, returns the oldest position within the age when several samples are confirmed")
{
    Fixture fixture;
    for (int i = 1; i <= 5; ++i) {
        fixture.primary(at(i * 100), { 2, static_cast<std::uint64_t>(i) });
        fixture.replica(b, at(i * 100), { 2, 1 });
    }
    CHECK(fixture.freshness.positionForAge(200ms, at(500)) == Position { 2, 3 });
    CHECK(fixture.freshness.positionForAge(199ms, at(500)) == Position { 2, 4 });
    CHECK(fixture.freshness.positionForAge(50ms, at(600)) == std::nullopt);
    CHECK(fixture.freshness.positionForAge(Duration::max(), at(600)) == Position { 2, 1 });
}

// Guards against confirmations by answers that contradict what the endpoint has shown before.
TEST_CASE("Freshness, ignores a status when its position goes backwards or belongs to another term")
{
    Fixture fixture;
    const bool atPrimary = GENERATE(true, false);
    CAPTURE(atPrimary);
    fixture.primary(at(10), { 2, 9 });
    fixture.replica(b, at(5), { 2, 9 });
    if (atPrimary) {
        fixture.primary(at(20), { 2, 8 });
        fixture.primary(at(21), { 1, 10 });
    } else {
        fixture.replica(b, at(20), { 2, 7 });
        fixture.replica(c, at(20), { 1, 9 }, 1);
    }
    CHECK(fixture.freshness.latest() == std::nullopt);
}

// Guards against positions that no replica will ever contain, since they were lost with the former primary.
TEST_CASE("Freshness, drops samples of the former term when the first of a new term is confirmed")
{
    Fixture fixture;
    fixture.primary(at(10), { 2, 50 });
    fixture.replica(b, at(10), { 2, 9 });
    fixture.primary(at(20), { 2, 60 });
    fixture.replica(c, at(30), { 2, 9 }, 3);
    fixture.replica(b, at(30), { 2, 9 }, 3);
    CHECK(fixture.freshness.positionForAge(1s, at(40)) == Position { 2, 50 });
    fixture.primary(at(40), { 3, 10 }, 3);
    fixture.replica(b, at(40), { 3, 10 }, 3);
    CHECK(fixture.freshness.positionForAge(1s, at(50)) == Position { 3, 10 });
}

// Guards against growing without bound, and against thinning that makes data older than stated.
TEST_CASE("Freshness, bounds its samples and returns no position older than the age when many samples arrive")
{
    constexpr std::uint64_t seed = 20261204;
    rc::detail::TestParams params;
    params.seed = seed;
    const auto property = [](const std::vector<std::uint8_t>& gaps) {
        Fixture fixture;
        std::vector<std::pair<Time, std::uint64_t>> taken;
        Time now = at(0);
        std::uint64_t index = 0;
        for (int round = 0; round < 20; ++round)
            for (const auto gap : gaps) {
                now += std::chrono::microseconds(gap * 100);
                fixture.primary(now, { 2, ++index });
                taken.emplace_back(now, index);
                if (gap % 3 == 0)
                    fixture.replica(b, now, { 2, 1 });
            }
        RC_ASSERT(fixture.freshness.sampleCount() <= FreshnessSettings().maxSamples);
        for (const Duration age : { Duration(1ms), Duration(20ms), Duration(300ms), Duration(5s) }) {
            const auto position = fixture.freshness.positionForAge(age, now);
            const auto first = std::lower_bound(taken.begin(), taken.end(), std::pair(now - age, std::uint64_t { 0 }));
            RC_ASSERT(!position || (first != taken.end() && position->index >= first->second));
        }
    };
    const auto result
        = rc::detail::checkTestable(property, rc::detail::TestMetadata { "freshness", "freshness" }, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    INFO("seed=" << seed << " " << message.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}

// Guards against waits that are far too short or too long for a replica with a steady delay.
TEST_CASE("Freshness, predicts from the lag when a replica follows with a steady delay")
{
    Fixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.primary(at(i * 10), { 2, static_cast<std::uint64_t>(i + 1) });
        fixture.replica(b, at(i * 10), { 2, static_cast<std::uint64_t>(std::max(1, i - 4)) });
    }
    CHECK(fixture.freshness.applyLag(b) == 50ms);
    CHECK(fixture.freshness.predictApplied(b, { 2, 100 }, at(992)) == at(991) + 50ms);
    CHECK(fixture.freshness.predictApplied(b, { 2, 90 }, at(992)) == at(992));
}

// Guards against waiting for a stalled replica, and against ignoring how fast a replica catches up.
TEST_CASE("Freshness, predicts from the apply rate when a replica is behind and predicts nothing when it is stalled")
{
    Fixture fixture;
    fixture.replica(b, at(0), { 2, 1 });
    fixture.primary(at(0), { 2, 1000 });
    for (int i = 1; i <= 20; ++i)
        fixture.replica(b, at(i * 100), { 2, static_cast<std::uint64_t>(1 + i * 10) });
    CHECK(fixture.freshness.applyRate(b) == Approx(100));
    CHECK(fixture.freshness.predictApplied(b, { 2, 301 }, at(2001)) == at(2001) + 1s);
    for (int i = 21; i <= 60; ++i)
        fixture.replica(b, at(i * 100), { 2, 201 });
    CHECK(fixture.freshness.predictApplied(b, { 2, 301 }, at(6001)) == std::nullopt);
}
