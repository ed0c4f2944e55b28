#include "request/arrival_rate.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("ArrivalRate, follows a steady rate and decays when events stop")
{
    ArrivalRate rate;
    Time now { 100s };
    for (int i = 0; i < 500; ++i) {
        now += 10ms;
        rate.add(now);
    }
    CHECK(rate.perSecond(now) == Approx(100).epsilon(0.05));
    CHECK(rate.perSecond(now + 5s) < 1);
}

TEST_CASE("ArrivalRate, is zero before the first event") { CHECK(ArrivalRate().perSecond(Time(100s)) == 0); }
