#include "process/quota/quota_parameters.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

double permitted(const WorkspaceQuota& quota, const QuotaBounds& bounds)
{
    return (quota.operationsPerSecond * toSeconds(bounds.window) + quota.burst) * (1 + bounds.overage) + bounds.slack;
}

} // namespace

// Guards against bucket sizes whose sum exceeds the bound.
TEST_CASE("QuotaParameters, keep the sum of all buckets inside the bound")
{
    rc::prop("sum of buckets", [] {
        const WorkspaceQuota quota { *rc::gen::inRange(0, 5000) / 4.0, *rc::gen::inRange(0, 400) / 2.0 };
        const QuotaBounds bounds { std::chrono::milliseconds(*rc::gen::inRange(100, 20000)),
            *rc::gen::inRange(0, 100) / 100.0, static_cast<double>(*rc::gen::inRange(0, 200)) };
        const auto largest = *rc::gen::inRange<std::size_t>(1, 2000);
        const auto smallest = *rc::gen::inRange<std::size_t>(1, largest + 1);
        const auto parameters = quotaParameters(quota, bounds, { smallest, largest });
        const auto fixed = parameters.fixedCapacity + parameters.fixedRatePerSecond * toSeconds(bounds.window);
        const auto sum = parameters.capacity
            + parameters.ratePerSecond * (toSeconds(bounds.window) + toSeconds(tokenValidity))
            + fixed * static_cast<double>(largest);
        // Below a whole token nothing is granted.
        RC_ASSERT(sum <= permitted(quota, bounds) + 1e-6 || parameters.capacity < 1);
        RC_ASSERT(parameters.ratePerSecond <= quota.operationsPerSecond);
        RC_ASSERT(parameters.fixedCapacity == 0 || parameters.fixedCapacity >= 1);
    });
}

TEST_CASE("QuotaParameters, have no fixed part where the formula leaves less than a token for each daemon")
{
    const QuotaBounds bounds { 5s, 0.1, 20 };
    const auto small = quotaParameters({ 3, 5 }, bounds, { 26, 26 });
    CHECK(small.fixedCapacity == 0);
    CHECK(small.fixedRatePerSecond == 0);
    CHECK(small.capacity == Approx(25.5));
    const auto few = quotaParameters({ 3, 5 }, bounds, { 3, 3 });
    CHECK(few.fixedCapacity >= 1);
    CHECK(few.capacity == Approx(25.5 * 0.75));
}

// Guards against a coordinator that leaves no room for the fixed parts of daemons whose list is smaller.
TEST_CASE("QuotaParameters, leave room for fixed parts while a smaller fleet was known")
{
    const QuotaBounds bounds { 5s, 0.1, 20 };
    CHECK(quotaParameters({ 3, 5 }, bounds, { 3, 26 }).capacity == Approx(25.5 * 0.75));
}

// Guards against a bucket that overflows while a daemon pauses, which would cost the workspace part of its rate.
TEST_CASE("QuotaParameters, pause less after an empty bucket that fills up fast")
{
    const QuotaBounds bounds { 5s, 0.1, 20 };
    CHECK(quotaParameters({ 2, 5 }, bounds, { 1, 1 }).emptyPause == 50ms);
    const auto fast = quotaParameters({ 1000, 0 }, bounds, { 1, 1 });
    CHECK(fast.emptyPause < 10ms);
    CHECK(toSeconds(fast.emptyPause) * 1000 <= fast.capacity / 2);
}
