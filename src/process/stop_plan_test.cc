#include "process/stop_plan.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

// Guards against a process that is killed by the platform before it has answered what it took (review/5).
TEST_CASE("StopPlan, is in order and over before the grace period ends")
{
    const auto grace = GENERATE(as<Duration> {}, 1s, 2s, 6s, 30s, 3600s);
    const Time now { 1000s };
    const auto plan = planStop(now, grace);
    CHECK(now < plan.endSessionsAt);
    CHECK(plan.endSessionsAt < plan.refuseTransactionsAt);
    CHECK(plan.refuseTransactionsAt < plan.refuseStatementsAt);
    CHECK(plan.refuseStatementsAt < plan.answerRestAt);
    CHECK(plan.answerRestAt < plan.releaseLeaseAt);
    CHECK(plan.releaseLeaseAt < plan.endAt);
    CHECK(plan.endAt < now + grace);
}

// Guards against transactions that have less than their part of the grace period to end.
TEST_CASE("StopPlan, gives open transactions the first half of the grace period")
{
    CHECK(planStop(Time(), 6s).refuseTransactionsAt == Time(3s));
}
