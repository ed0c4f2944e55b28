#include "request/start_hold.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("startHold, holds a start for less than the client timeout")
{
    CHECK(startHold(0s) > 1500ms);
    CHECK(startHold(0s) < 2s);
}

// Guards against holding clients although the store cannot be expected back in time.
TEST_CASE("startHold, is zero when the store outage is longer than typical") { CHECK(startHold(10s) == 0s); }
