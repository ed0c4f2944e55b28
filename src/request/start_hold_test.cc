#include "request/start_hold.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("startHold, lets a start wait less long than the client does")
{
    CHECK(startHold(0s) > 1500ms);
    CHECK(startHold(0s) < 2s);
}

// Guards against holding clients although the store cannot be expected back in time.
TEST_CASE("startHold, refuses at once when the store stays away for longer than usual") { CHECK(startHold(10s) == 0s); }
