#include "base/timer_service.h"

namespace endivetrestle {

TimerService::SubscriptionId TimerService::add(Time when, Duration interval, Callback callback)
{
    std::lock_guard lock(this->mutex);
    const auto id = ++this->lastId;
    this->subscriptions.emplace(Key { when, id }, Subscription { interval, std::move(callback) });
    this->dueTimes.emplace(id, when);
    return id;
}

TimerService::SubscriptionId TimerService::subscribeAt(Time when, Callback callback)
{
    return this->add(when, Duration::zero(), std::move(callback));
}

TimerService::SubscriptionId TimerService::subscribeEvery(Time now, Duration interval, Callback callback)
{
    return this->add(now + interval, interval, std::move(callback));
}

void TimerService::cancel(SubscriptionId id)
{
    std::lock_guard lock(this->mutex);
    const auto due = this->dueTimes.find(id);
    if (due == this->dueTimes.end())
        return;
    this->subscriptions.erase(Key { due->second, id });
    this->dueTimes.erase(due);
}

void TimerService::advance(Time now)
{
    while (true) {
        Callback callback;
        {
            std::lock_guard lock(this->mutex);
            const auto first = this->subscriptions.begin();
            if (first == this->subscriptions.end() || first->first.first > now)
                return;
            const auto id = first->first.second;
            Subscription subscription = std::move(first->second);
            this->subscriptions.erase(first);
            callback = subscription.callback;
            if (subscription.interval > Duration::zero()) {
                const auto next = now + subscription.interval;
                this->dueTimes[id] = next;
                this->subscriptions.emplace(Key { next, id }, std::move(subscription));
            } else {
                this->dueTimes.erase(id);
            }
        }
        callback(now);
    }
}

Time TimerService::nextDue() const
{
    std::lock_guard lock(this->mutex);
    return this->subscriptions.empty() ? Time::max() : this->subscriptions.begin()->first.first;
}

} // namespace endivetrestle
