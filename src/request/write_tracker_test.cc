#include "request/write_tracker.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const EndpointId a { "a" };
const EndpointId b { "b" };
const EndpointId c { "c" };
const Time start { 100s };

EndpointStatus statusOf(const EndpointId& id, std::uint64_t term, Position lastLog)
{
    const auto role = id == a ? EndpointRole::Primary : EndpointRole::Replica;
    return { id, term, role, lastLog, {}, 0ms, 0 };
}

ExecutedWrite writeAt(std::uint64_t ticket, Position position, Time sentAt = start)
{
    return { ticket, RequestId("r" + std::to_string(ticket)), a, position, sentAt, sentAt + 1s };
}

template <typename Kind> std::vector<std::uint64_t> tickets(const WriteTracker::Events& events)
{
    std::vector<std::uint64_t> found;
    for (const auto& event : events)
        if (const auto* kind = std::get_if<Kind>(&event))
            found.push_back(kind->write.ticket);
    return found;
}

using Tickets = std::vector<std::uint64_t>;

struct Fixture {
    WriteTracker tracker { {}, { a, b, c } };

    WriteTracker::Events execute(std::uint64_t ticket, Position position, Time sentAt = start)
    {
        return this->tracker.writeExecuted(
            writeAt(ticket, position, sentAt), statusOf(a, position.term, position), sentAt + 1ms);
    }
};

} // namespace

// Guards against acknowledging a write that only the primary holds, or more writes than the replica has received.
TEST_CASE("WriteTracker, reports writes as held in log order when a majority has them")
{
    Fixture fixture;
    CHECK(fixture.execute(1, { 2, 11 }).empty());
    CHECK(fixture.execute(2, { 2, 13 }).empty());
    CHECK(fixture.execute(3, { 2, 12 }).empty());
    CHECK(fixture.tracker.onStatus(statusOf(a, 2, { 2, 13 }), start, start + 2ms).empty());
    CHECK(tickets<WriteHeldByMajority>(fixture.tracker.onStatus(statusOf(b, 2, { 2, 12 }), start, start + 3ms))
        == Tickets { 1, 3 });
    CHECK(tickets<WriteHeldByMajority>(fixture.tracker.onStatus(statusOf(c, 2, { 2, 13 }), start, start + 4ms))
        == Tickets { 2 });
    CHECK(fixture.tracker.pendingCount() == 0);
}

// Guards against counting a replica whose longer log comes from an older term and will be truncated.
TEST_CASE("WriteTracker, does not count a replica when its last record is of an older term")
{
    Fixture fixture;
    fixture.execute(1, { 2, 11 });
    CHECK(fixture.tracker.onStatus(statusOf(b, 2, { 1, 50 }), start, start + 1ms).empty());
    CHECK(fixture.tracker.onStatus(statusOf(b, 1, { 1, 60 }), start, start + 1ms).empty());
}

// Guards against counting an endpoint that has lost records, and against treating answers that arrived out of order as
// such a loss.
TEST_CASE("WriteTracker, accepts a lower position when its request was sent later")
{
    Fixture fixture;
    const bool askedLater = GENERATE(true, false);
    CAPTURE(askedLater);
    fixture.tracker.onStatus(statusOf(b, 2, { 2, 20 }), start, start + 5ms);
    fixture.tracker.onStatus(statusOf(b, 2, { 2, 5 }), askedLater ? start + 5ms : start + 4ms, start + 7ms);
    CHECK(fixture.execute(1, { 2, 11 }, start + 8ms).size() == (askedLater ? 0 : 1));
}

// Guards against an acknowledgement on behalf of a primary that has been replaced.
TEST_CASE("WriteTracker, supersedes pending writes and evidence when a higher term is seen")
{
    Fixture fixture;
    fixture.execute(1, { 2, 11 });
    const auto held = fixture.tracker.onStatus(statusOf(b, 2, { 2, 11 }), start, start + 1ms);
    REQUIRE(held.size() == 1);
    const auto evidence = std::get<WriteHeldByMajority>(held[0]).evidence;
    CHECK(fixture.tracker.canAcknowledge(evidence, start + 2ms));
    fixture.execute(2, { 2, 12 });
    CHECK(tickets<WriteSuperseded>(fixture.tracker.onStatus(statusOf(c, 3, { 1, 4 }), start, start + 2ms))
        == Tickets { 2 });
    CHECK_FALSE(fixture.tracker.canAcknowledge(evidence, start + 2ms));
    CHECK(tickets<WriteSuperseded>(fixture.execute(3, { 2, 13 })) == Tickets { 3 });
}

// Guards against a daemon that resumes after a pause and acknowledges on old evidence.
TEST_CASE("WriteTracker, does not allow an acknowledgement when the evidence is 250 ms old")
{
    Fixture fixture;
    fixture.execute(1, { 2, 11 });
    fixture.tracker.onStatus(statusOf(b, 2, { 2, 11 }), start - 100ms, start + 1ms);
    const auto evidence = fixture.tracker.evidence();
    REQUIRE(evidence);
    CHECK(evidence->observedAt == start);
    CHECK(fixture.tracker.canAcknowledge(*evidence, start + 249ms));
    CHECK_FALSE(fixture.tracker.canAcknowledge(*evidence, start + 250ms));
}

// Guards against evidence that looks recent because an old record was confirmed by a later call.
TEST_CASE("WriteTracker, dates evidence by the status call when the record was written by an earlier call")
{
    Fixture fixture;
    auto write = writeAt(1, { 1, 9 });
    write.recordedBefore = true;
    CHECK(fixture.tracker.writeExecuted(write, statusOf(a, 2, { 2, 12 }), start + 1ms).empty());
    const auto events = fixture.tracker.onStatus(statusOf(b, 2, { 2, 12 }), start - 1s, start + 2ms);
    REQUIRE(events.size() == 1);
    CHECK(std::get<WriteHeldByMajority>(events[0]).evidence == MajorityEvidence { 2, start - 1s });
}

// Guards against writes that wait forever, and against a second event for a write that has ended.
TEST_CASE("WriteTracker, ends a write once when its deadline passes")
{
    Fixture fixture;
    fixture.execute(1, { 2, 11 });
    fixture.execute(2, { 2, 12 }, start + 5ms);
    fixture.tracker.forget(2);
    CHECK(fixture.tracker.nextDeadline() == start + 1s);
    CHECK(tickets<WriteDeadlineReached>(fixture.tracker.tick(start + 2s)) == Tickets { 1 });
    CHECK(fixture.tracker.onStatus(statusOf(b, 2, { 2, 12 }), start, start + 2s).empty());
    CHECK(fixture.tracker.nextDeadline() == Time::max());
}

// Guards against accepting a write as executed although its answer is inconsistent.
TEST_CASE("WriteTracker, reports a write as superseded when the answer is not from a primary of its term")
{
    Fixture fixture;
    auto status = statusOf(a, 2, { 2, 11 });
    status.role = EndpointRole::Fenced;
    CHECK(
        tickets<WriteSuperseded>(fixture.tracker.writeExecuted(writeAt(1, { 2, 11 }), status, start)) == Tickets { 1 });
    status = statusOf(a, 2, { 2, 10 });
    CHECK(
        tickets<WriteSuperseded>(fixture.tracker.writeExecuted(writeAt(2, { 2, 11 }), status, start)) == Tickets { 2 });
}

// Guards against a group of one endpoint that never acknowledges, and a group of five that acknowledges when only two
// endpoints hold a write.
TEST_CASE("WriteTracker, requires a majority when the group has one or five endpoints")
{
    WriteTracker one({}, { a });
    CHECK(one.writeExecuted(writeAt(1, { 2, 1 }), statusOf(a, 2, { 2, 1 }), start).size() == 1);
    WriteTracker five({}, { a, b, c, EndpointId("d"), EndpointId("e") });
    CHECK(five.writeExecuted(writeAt(1, { 2, 1 }), statusOf(a, 2, { 2, 1 }), start).empty());
    CHECK(five.onStatus(statusOf(b, 2, { 2, 1 }), start, start).empty());
    CHECK(five.onStatus(statusOf(c, 2, { 2, 1 }), start, start).size() == 1);
}

// Guards against a read that returns a record which a failover may still drop.
TEST_CASE("WriteTracker, reports a position as held when a majority has its record")
{
    Fixture fixture;
    const Position read { 2, 12 };
    fixture.tracker.onStatus(statusOf(a, 2, read), start, start + 1ms);
    CHECK_FALSE(fixture.tracker.isHeldByMajority(read, read));
    fixture.tracker.onStatus(statusOf(b, 2, { 2, 11 }), start, start + 2ms);
    CHECK_FALSE(fixture.tracker.isHeldByMajority(read, read));
    CHECK(fixture.tracker.isHeldByMajority({ 2, 11 }, read));
    fixture.tracker.onStatus(statusOf(b, 2, read), start, start + 3ms);
    CHECK(fixture.tracker.isHeldByMajority(read, read));
}

// Guards against reads at a replica that wait for the next status of the primary.
TEST_CASE("WriteTracker, counts the primary as a holder when a replica has a newer record of the term")
{
    Fixture fixture;
    fixture.tracker.onStatus(statusOf(a, 2, { 2, 5 }), start, start + 1ms);
    fixture.tracker.onStatus(statusOf(b, 2, { 2, 12 }), start, start + 2ms);
    CHECK(fixture.tracker.isHeldByMajority({ 2, 12 }, { 2, 12 }));
}

// Guards against accepting a record of an earlier term that the current primary may lack.
TEST_CASE(
    "WriteTracker, reports a position of an earlier term as held when its log and a majority reach the current term")
{
    Fixture fixture;
    const Position old { 1, 9 };
    fixture.tracker.onStatus(statusOf(a, 2, { 2, 10 }), start, start + 1ms);
    CHECK_FALSE(fixture.tracker.isHeldByMajority(old, { 2, 10 }));
    fixture.tracker.onStatus(statusOf(b, 2, { 2, 10 }), start, start + 2ms);
    CHECK(fixture.tracker.isHeldByMajority(old, { 2, 10 }));
    CHECK_FALSE(fixture.tracker.isHeldByMajority(old, old));
}
