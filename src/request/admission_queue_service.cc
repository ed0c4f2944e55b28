// Service measurement and overload detection of AdmissionQueue.
#include "request/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace endivetrestle {

AdmissionQueue::Targets AdmissionQueue::targetsOf(const EndpointId& endpoint, EndpointRole role)
{
    Targets targets { { QueueTargetKind::Endpoint, endpoint } };
    if (role == EndpointRole::Fenced)
        return targets;
    const auto own = role == EndpointRole::Primary ? QueueTargetKind::Primary : QueueTargetKind::Replica;
    targets.push_back({ own, {} });
    targets.push_back({ QueueTargetKind::Any, {} });
    return targets;
}

bool AdmissionQueue::serves(const EndpointId& endpoint, EndpointRole role, const QueueTarget& target)
{
    switch (target.kind) {
    case QueueTargetKind::Primary:
        return role == EndpointRole::Primary;
    case QueueTargetKind::Replica:
        return role == EndpointRole::Replica;
    case QueueTargetKind::Any:
        return role != EndpointRole::Fenced;
    case QueueTargetKind::Endpoint:
        break;
    }
    return endpoint == target.endpoint;
}

AdmissionQueue::EndpointService& AdmissionQueue::serviceOf(const EndpointId& endpoint, EndpointRole role, Time now)
{
    if (!this->services.contains(endpoint)
        && this->services.size() >= std::max<std::size_t>(1, this->settings.maxEndpoints))
        this->services.erase(std::min_element(this->services.begin(), this->services.end(),
            [](const auto& left, const auto& right) { return left.second.lastPop < right.second.lastPop; }));
    auto [found, added] = this->services.try_emplace(endpoint);
    if (added)
        found->second.lastPop = now;
    found->second.role = role;
    if (role != EndpointRole::Primary)
        return found->second;
    // A group has one primary. Counting the rate of a former primary as well would underestimate the waits.
    for (auto& [other, service] : this->services) {
        if (other != endpoint && service.role == EndpointRole::Primary)
            service.role = EndpointRole::Fenced;
    }
    return found->second;
}

void AdmissionQueue::measureServiceInterval(EndpointService& service, Time now) const
{
    constexpr double smoothing = 1.0 / 16;
    // Limits one sample relative to the mean. Otherwise a single pause of an endpoint would dominate the mean for many
    // pops, and entries that can be served in time would be refused.
    constexpr double largestGrowth = 8;
    if (service.backlogged) {
        auto sample = static_cast<double>((now - service.lastPop).count());
        if (service.samples >= this->settings.minimumSamples && service.serviceInterval > 0)
            sample = std::min(sample, largestGrowth * service.serviceInterval);
        service.samples = std::min(service.samples + 1, 1 << 20);
        service.serviceInterval += std::max(smoothing, 1.0 / service.samples) * (sample - service.serviceInterval);
    }
    service.lastPop = now;
}

void AdmissionQueue::resetDrainedEndpoints(const QueueTarget& target)
{
    for (auto& [endpoint, service] : this->services) {
        if (!serves(endpoint, service.role, target))
            continue;
        const auto targets = targetsOf(endpoint, service.role);
        const auto hasEntries = [&](const auto& queue) { return hasAny(queue.byTarget, targets); };
        if (std::any_of(this->classes.begin(), this->classes.end(), hasEntries))
            continue;
        service.backlogged = false;
        service.delayAboveTargetSince.reset();
    }
}

void AdmissionQueue::updateStandingDelay(EndpointService& service, const Targets& targets, Time now) const
{
    Duration delay {};
    for (const auto& queue : this->classes) {
        if (const auto oldest = oldestSequence(queue.byTarget, targets))
            delay = std::max(delay, now - queue.records.at(*oldest).arrival);
    }
    if (delay <= this->settings.delayTarget) {
        service.delayAboveTargetSince.reset();
        service.shedCount = 0;
    } else if (!service.delayAboveTargetSince) {
        service.delayAboveTargetSince = now;
        service.shedCount = 0;
        service.nextShed = now + this->settings.delayInterval;
    }
}

bool AdmissionQueue::hasStandingDelay(const EndpointService& service, Time now) const
{
    return service.delayAboveTargetSince && now - *service.delayAboveTargetSince >= this->settings.delayInterval;
}

void AdmissionQueue::shedIfOverloaded(EndpointService& service, const Targets& targets, Time now)
{
    if (!this->hasStandingDelay(service, now) || now < service.nextShed)
        return;
    for (auto classIndex = priorityCount; classIndex-- > static_cast<std::size_t>(Priority::Payment) + 1;) {
        auto& queue = this->classes[classIndex];
        // One entry of each class stays, so that the class can use its minimum share.
        if (countEntries(queue.byTarget, targets) < 2)
            continue;
        const auto most = std::max_element(
            queue.callerQueues.begin(), queue.callerQueues.end(), [&](const auto& left, const auto& right) {
                return countEntries(left.second.sequencesByTarget, targets)
                    < countEntries(right.second.sequencesByTarget, targets);
            });
        this->refuse({ static_cast<Priority>(classIndex), *oldestSequence(most->second.sequencesByTarget, targets) },
            ErrorCode::Overloaded);
        ++service.shedCount;
        const auto interval = static_cast<double>(this->settings.delayInterval.count());
        service.nextShed = now + Duration(static_cast<Duration::rep>(interval / std::sqrt(service.shedCount)));
        return;
    }
}

bool AdmissionQueue::overloaded(const EndpointId& endpoint, Time now) const
{
    const auto found = this->services.find(endpoint);
    return found != this->services.end() && this->hasStandingDelay(found->second, now);
}

bool AdmissionQueue::overloadedFor(const QueueTarget& target, Time now) const
{
    bool any = false;
    for (const auto& [endpoint, service] : this->services) {
        if (!serves(endpoint, service.role, target))
            continue;
        if (!this->hasStandingDelay(service, now))
            return false;
        any = true;
    }
    return any;
}

// Service rate, in entries per microsecond, of the endpoints that serve the target and, if given, the other target too.
// Zero if none of them has been measured. An unmeasured endpoint counts as the mean of the measured ones.
double AdmissionQueue::rateOf(const QueueTarget& target, const QueueTarget* other) const
{
    double rate = 0;
    int measured = 0;
    int unmeasured = 0;
    for (const auto& [endpoint, service] : this->services) {
        if (!serves(endpoint, service.role, target) || (other && !serves(endpoint, service.role, *other)))
            continue;
        if (service.samples < this->settings.minimumSamples) {
            ++unmeasured;
            continue;
        }
        ++measured;
        rate += 1 / std::max(1.0, service.serviceInterval);
    }
    return measured == 0 ? 0 : rate * (measured + unmeasured) / measured;
}

// Entries of a class that the endpoints of the target will serve. Entries that other endpoints may run as well count in
// proportion to the rates.
double AdmissionQueue::entriesAhead(const ClassQueue& queue, const QueueTarget& target) const
{
    double entries = 0;
    for (const auto& [queuedTarget, sequences] : queue.byTarget) {
        const auto all = this->rateOf(queuedTarget, nullptr);
        const auto shared = queuedTarget == target ? all : this->rateOf(queuedTarget, &target);
        if (all > 0)
            entries += static_cast<double>(sequences.size()) * std::min(1.0, shared / all);
    }
    return entries;
}

std::optional<Duration> AdmissionQueue::estimateWait(const QueueEntry& entry) const
{
    const auto rate = this->rateOf(entry.target, nullptr);
    if (rate <= 0)
        return std::nullopt;
    const auto own = static_cast<std::size_t>(entry.priority);
    const auto& queue = this->classes[own];
    const auto callerQueue = queue.callerQueues.find(entry.caller);
    const auto queued = callerQueue == queue.callerQueues.end() ? 0 : callerQueue->second.size;
    const auto callers = queue.callerQueues.size() + (queued == 0 ? 1 : 0);
    // Callers are served round robin, so a caller with few entries does not wait for all entries of the others.
    const auto roundRobin = static_cast<double>((queued + 1) * callers - 1);
    const auto ahead = std::min(roundRobin, this->entriesAhead(queue, entry.target));
    double higher = 0;
    for (std::size_t classIndex = 0; classIndex < own; ++classIndex)
        higher += this->entriesAhead(this->classes[classIndex], entry.target);
    auto wait = (higher + ahead) / rate;
    const auto share = this->settings.minimumShare[own];
    if (own > 0 && share > 0)
        wait = std::min(wait, (ahead + 1) / (share * rate));
    constexpr double longest = 1e12;
    return Duration(static_cast<Duration::rep>(std::min(wait, longest)));
}

Duration AdmissionQueue::retryAfter(const QueueEntry& entry) const
{
    const auto wait = this->estimateWait(entry).value_or(Duration::zero());
    return std::clamp(wait, this->settings.minimumRetryAfter, this->settings.maximumRetryAfter);
}

} // namespace endivetrestle
