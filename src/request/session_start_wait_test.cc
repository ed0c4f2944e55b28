#include "request/session_start_wait.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("sessionStartWait, holds a start for less than the client timeout")
{
    CHECK(sessionStartWait(0s) > 1500ms);
    CHECK(sessionStartWait(0s) < 2s);
}

// Guards against holding clients although the store cannot be expected back in time.
TEST_CASE("sessionStartWait, is zero when the store outage is longer than typical")
{
    CHECK(sessionStartWait(10s) == 0s);
}
