#include "base/timer_service.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace endivetrestle;
using namespace std::chrono_literals;

// Guards against a burst of calls that make up for missed intervals after the process was paused.
TEST_CASE("TimerService, calls a periodic subscriber once when several intervals passed")
{
    TimerService timers;
    int calls = 0;
    timers.subscribeEvery(Time(0s), 1s, [&](Time) { ++calls; });
    timers.advance(Time(10s));
    CHECK(calls == 1);
    timers.advance(Time(11s));
    CHECK(calls == 2);
}

// Guards against calling a subscriber that has been destroyed.
TEST_CASE("TimerService, does not call back when the subscription was cancelled by an earlier callback")
{
    TimerService timers;
    std::vector<int> order;
    TimerService::SubscriptionId second = 0;
    timers.subscribeAt(Time(1s), [&](Time) {
        order.push_back(1);
        timers.cancel(second);
    });
    second = timers.subscribeAt(Time(2s), [&](Time) { order.push_back(2); });
    timers.advance(Time(3s));
    CHECK(order == std::vector<int> { 1 });
    CHECK(timers.nextDue() == Time::max());
}
