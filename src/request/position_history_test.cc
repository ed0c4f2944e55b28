#include "request/position_history.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

const Time start { 100s };

} // namespace

TEST_CASE("PositionHistory, returns no position when no sample is recent enough")
{
    PositionHistory history;
    CHECK_FALSE(history.minimumFor(start));
    history.add(start, { 1, 10 });
    CHECK_FALSE(history.minimumFor(start + 1ms));
}

TEST_CASE("PositionHistory, returns the smallest position that covers the time")
{
    PositionHistory history;
    history.add(start, { 1, 10 });
    history.add(start + 100ms, { 1, 12 });
    history.add(start + 200ms, { 1, 15 });
    CHECK(history.minimumFor(start - 5s) == Position { 1, 10 });
    CHECK(history.minimumFor(start + 1ms) == Position { 1, 12 });
    CHECK(history.minimumFor(start + 100ms) == Position { 1, 12 });
    CHECK(history.minimumFor(start + 150ms) == Position { 1, 15 });
}

TEST_CASE("PositionHistory, covers the time of a later sample when the position is unchanged")
{
    PositionHistory history;
    history.add(start, { 1, 10 });
    history.add(start + 5s, { 1, 10 });
    CHECK(history.minimumFor(start + 5s) == Position { 1, 10 });
}

TEST_CASE("PositionHistory, prefers a smaller position of a later send when answers arrive out of order")
{
    PositionHistory history;
    history.add(start, { 1, 20 });
    history.add(start + 1ms, { 1, 18 });
    CHECK(history.minimumFor(start) == Position { 1, 18 });
}

TEST_CASE("PositionHistory, ignores an answer to an earlier send")
{
    // Guards against a late answer whose old position is taken for the current one.
    PositionHistory history;
    history.add(start + 100ms, { 1, 20 });
    history.add(start, { 1, 10 });
    CHECK(history.minimumFor(start + 50ms) == Position { 1, 20 });
}

TEST_CASE("PositionHistory, drops positions of earlier terms when a term starts")
{
    // Guards against waiting for positions that a promotion rolled back.
    PositionHistory history;
    history.add(start, { 1, 20 });
    history.startTerm(2);
    CHECK_FALSE(history.minimumFor(start));
    CHECK_FALSE(history.firstOfTerm());
    history.add(start + 1s, { 2, 15 });
    history.add(start + 2s, { 1, 30 });
    CHECK(history.minimumFor(start) == Position { 2, 15 });
    CHECK(history.firstOfTerm() == Position { 2, 15 });
}

TEST_CASE("PositionHistory, drops old samples under steady traffic")
{
    PositionHistory history;
    for (int i = 0; i < 100000; ++i)
        history.add(start + i * 1ms, { 1, static_cast<std::uint64_t>(i) });
    // Samples that are older than the retention are gone.
    CHECK(history.minimumFor(start)->index >= 80000);
}
