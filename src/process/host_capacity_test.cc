#include "process/host_capacity.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

// Guards against a host with a fast processor behind a slow link that is given more than the link carries.
TEST_CASE("HostCapacity, is limited by the processor share, or by the link if that carries less")
{
    CHECK(hostCapacity(0.5, 200).statementsPerSecond() == Approx(500000 / 130.0));
    CHECK(hostCapacity(0.12, 10).statementsPerSecond() == Approx(120000 / 130.0));
    // 10 Mbit/s carry 1.25 MB/s.
    CHECK(hostCapacity(0.5, 10).statementsPerSecond() == Approx(1250));
}

TEST_CASE("HostCapacity, is not stated by default")
{
    CHECK_FALSE(HostCapacity {}.isStated());
    CHECK(hostCapacity(0.0001, 0.0001).isStated());
}
