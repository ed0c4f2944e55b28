#include "request/wait_policy.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("decideAdmission, admits a statement on time when its wait is within half of its objective")
{
    CHECK(decideAdmission({ 10, 10, 100, 50, 20ms }, 400ms, 1s) == AdmissionDecision::OnTime);
}

TEST_CASE("decideAdmission, admits a statement as late when it would miss its objective but not expire")
{
    // Guards against refusing statements for which there is capacity a moment later. The load is that of a primary that
    // gets all reads while its replicas lag: 30 statements at 100 per second.
    CHECK(decideAdmission({ 30, 30, 100, 50, 20ms }, 400ms, 1s) == AdmissionDecision::Late);
}

TEST_CASE("decideAdmission, refuses a statement that would expire before it is served")
{
    CHECK(decideAdmission({ 10, 10, 100, 50, 50ms }, 400ms, 120ms) == AdmissionDecision::Refused);
    CHECK(decideAdmission({ 30, 60, 100, 50, 20ms }, 400ms, 1s) == AdmissionDecision::Refused);
}

TEST_CASE("decideAdmission, estimates late waits from the capacity that arrivals leave")
{
    // Guards against statements that wait until they expire because others are always served first. 1 s is left for the
    // wait.
    CHECK(decideAdmission({ 30, 50, 100, 50, 20ms }, 400ms, 1020ms) == AdmissionDecision::Late);
    CHECK(decideAdmission({ 30, 51, 100, 50, 20ms }, 400ms, 1020ms) == AdmissionDecision::Refused);
    CHECK(decideAdmission({ 30, 90, 100, 10, 20ms }, 400ms, 1020ms) == AdmissionDecision::Late);
    // Load above the endpoints' capacity.
    CHECK(decideAdmission({ 30, 51, 100, 170, 20ms }, 400ms, 1020ms) == AdmissionDecision::Refused);
}

TEST_CASE("lateCapacityShare, is at least one half when arrivals exceed completions")
{
    CHECK(lateCapacityShare(100, 40) == Approx(0.6));
    CHECK(lateCapacityShare(100, 300) == Approx(0.5));
    CHECK(lateCapacityShare(0, 10) == Approx(0.5));
}

TEST_CASE("decideAdmission, refuses a statement behind others when nothing is completed")
{
    CHECK(decideAdmission({ 1, 1, 0, 0, 0ms }, 400ms, 1s) == AdmissionDecision::Refused);
    CHECK(decideAdmission({ 0, 0, 0, 0, 0ms }, 400ms, 1s) == AdmissionDecision::OnTime);
}

TEST_CASE("waitLimit, bounds short and long objectives")
{
    CHECK(waitLimit(20ms) == 100ms);
    CHECK(waitLimit(400ms) == 200ms);
    CHECK(waitLimit(60s) == 2s);
}
