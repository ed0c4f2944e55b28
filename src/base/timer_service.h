#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace endivetrestle {

// Calls subscribers at their due time. The service does not read a clock: its owner passes the time to advance(), from
// a thread in production and directly in a test. All functions may be called from any thread; callbacks run on the
// thread that calls advance(), without the service's lock, so they may subscribe and cancel.
//
// Example:
//     TimerService timers;
//     auto id = timers.subscribeEvery(now, std::chrono::seconds(1), [](Time at) { gossip(at); });
//     timers.advance(now + std::chrono::seconds(1)); // runs the callback once
//     timers.cancel(id);
class TimerService {
public:
    using Callback = std::function<void(Time)>;
    using SubscriptionId = std::uint64_t;

    // Calls back once, at the first advance() that reaches the given time.
    SubscriptionId subscribeAt(Time when, Callback callback);

    // Calls back every interval, first at now + interval. Intervals that passed while advance() was not called are
    // skipped: the callback runs once, and again an interval later.
    SubscriptionId subscribeEvery(Time now, Duration interval, Callback callback);

    // Ends a subscription. Does not wait for a callback that is running.
    void cancel(SubscriptionId id);

    // Runs the callbacks due at the given time, earliest first.
    void advance(Time now);

    // Time of the earliest subscription, or Time::max() if there is none.
    [[nodiscard]] Time nextDue() const;

private:
    struct Subscription {
        Duration interval {};
        Callback callback;
    };
    using Key = std::pair<Time, SubscriptionId>;

    SubscriptionId add(Time when, Duration interval, Callback callback);

    mutable std::mutex mutex;
    SubscriptionId lastId = 0;
    std::map<Key, Subscription> subscriptions;
    std::map<SubscriptionId, Time> dueTimes;
};

} // namespace endivetrestle
