#include "process/overload_spread.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1000s };

// Reports overloaded results until alternating would begin, and returns whether it began.
bool overload(OverloadSpread& spread, bool second, Time now)
{
    bool began = false;
    for (int i = 0; i < OverloadSpread::overloadThreshold; ++i)
        began = spread.report(second, true, now) || began;
    return began;
}

} // namespace

TEST_CASE("OverloadSpread, alternates while the first owner is overloaded, and ends")
{
    OverloadSpread spread;
    CHECK_FALSE(spread.useSecond(start));
    CHECK(overload(spread, false, start));
    CHECK(spread.useSecond(start));
    CHECK_FALSE(spread.useSecond(start));
    CHECK(spread.useSecond(start));
    CHECK_FALSE(spread.useSecond(start + OverloadSpread::spreadPeriod));
}

// Guards against connections at two owners because of single slow statements or an overload long ago.
TEST_CASE("OverloadSpread, ignores slow statements that are few or far apart")
{
    OverloadSpread spread;
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(spread.report(false, i % 2 == 0, start));
    for (int i = 0; i < 20; ++i)
        CHECK_FALSE(spread.report(false, true, start + (OverloadSpread::resultRetention + 1ms) * i));
}

// Guards against twice the connections to endpoints that are themselves overloaded.
TEST_CASE("OverloadSpread, returns to the first owner when the second one is overloaded too")
{
    OverloadSpread spread;
    REQUIRE(overload(spread, false, start));
    CHECK_FALSE(overload(spread, true, start + 1s));
    CHECK_FALSE(spread.active(start + 1s));
    CHECK_FALSE(overload(spread, false, start + 2s));
    CHECK(overload(spread, false, start + 1s + OverloadSpread::retryPause));
}
