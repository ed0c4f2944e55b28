// The part of AdmissionQueue that measures service and recognises overload.
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

AdmissionQueue::Server& AdmissionQueue::serverOf(const EndpointId& endpoint, EndpointRole role, Time now)
{
    if (!this->servers.contains(endpoint)
        && this->servers.size() >= std::max<std::size_t>(1, this->settings.maxEndpoints))
        this->servers.erase(std::min_element(this->servers.begin(), this->servers.end(),
            [](const auto& left, const auto& right) { return left.second.lastPop < right.second.lastPop; }));
    auto [found, added] = this->servers.try_emplace(endpoint);
    if (added)
        found->second.lastPop = now;
    found->second.role = role;
    if (role != EndpointRole::Primary)
        return found->second;
    // A group has one primary. The rate of an earlier one would make waits look shorter than they are.
    for (auto& [other, server] : this->servers) {
        if (other != endpoint && server.role == EndpointRole::Primary)
            server.role = EndpointRole::Fenced;
    }
    return found->second;
}

void AdmissionQueue::measure(Server& server, Time now) const
{
    constexpr double smoothing = 1.0 / 16;
    // One pause of an endpoint would otherwise dominate the mean for many pops and refuse entries that fit.
    constexpr double largestGrowth = 8;
    if (server.backlogged) {
        auto sample = static_cast<double>((now - server.lastPop).count());
        if (server.samples >= this->settings.minimumSamples && server.interval > 0)
            sample = std::min(sample, largestGrowth * server.interval);
        server.samples = std::min(server.samples + 1, 1 << 20);
        server.interval += std::max(smoothing, 1.0 / server.samples) * (sample - server.interval);
    }
    server.lastPop = now;
}

void AdmissionQueue::noteDrained(const QueueTarget& target)
{
    for (auto& [endpoint, server] : this->servers) {
        if (!serves(endpoint, server.role, target))
            continue;
        const auto targets = targetsOf(endpoint, server.role);
        const auto waiting = [&](const auto& queue) { return hasAny(queue.byTarget, targets); };
        if (std::any_of(this->classes.begin(), this->classes.end(), waiting))
            continue;
        server.backlogged = false;
        server.delayedSince.reset();
    }
}

void AdmissionQueue::watchDelay(Server& server, const Targets& targets, Time now) const
{
    Duration delay {};
    for (const auto& queue : this->classes) {
        if (const auto oldest = oldestOf(queue.byTarget, targets))
            delay = std::max(delay, now - queue.records.at(*oldest).arrival);
    }
    if (delay <= this->settings.delayTarget) {
        server.delayedSince.reset();
        server.shedCount = 0;
    } else if (!server.delayedSince) {
        server.delayedSince = now;
        server.shedCount = 0;
        server.nextShed = now + this->settings.delayInterval;
    }
}

bool AdmissionQueue::delayed(const Server& server, Time now) const
{
    return server.delayedSince && now - *server.delayedSince >= this->settings.delayInterval;
}

void AdmissionQueue::shedIfOverloaded(Server& server, const Targets& targets, Time now)
{
    if (!this->delayed(server, now) || now < server.nextShed)
        return;
    for (auto position = priorityCount; position-- > static_cast<std::size_t>(Priority::Payment) + 1;) {
        auto& queue = this->classes[position];
        // One entry of each class stays, so that the class can use its minimum share.
        if (countOf(queue.byTarget, targets) < 2)
            continue;
        const auto most
            = std::max_element(queue.turns.begin(), queue.turns.end(), [&](const auto& left, const auto& right) {
                  return countOf(left.second.waiting, targets) < countOf(right.second.waiting, targets);
              });
        this->refuse(
            { static_cast<Priority>(position), *oldestOf(most->second.waiting, targets) }, ErrorCode::Overloaded);
        ++server.shedCount;
        const auto interval = static_cast<double>(this->settings.delayInterval.count());
        server.nextShed = now + Duration(static_cast<Duration::rep>(interval / std::sqrt(server.shedCount)));
        return;
    }
}

bool AdmissionQueue::overloaded(const EndpointId& endpoint, Time now) const
{
    const auto found = this->servers.find(endpoint);
    return found != this->servers.end() && this->delayed(found->second, now);
}

bool AdmissionQueue::overloadedFor(const QueueTarget& target, Time now) const
{
    bool any = false;
    for (const auto& [endpoint, server] : this->servers) {
        if (!serves(endpoint, server.role, target))
            continue;
        if (!this->delayed(server, now))
            return false;
        any = true;
    }
    return any;
}

// Entries per microsecond of the endpoints that serve the target and, if given, the other target too. Zero if none of
// them has been measured. An endpoint that has not been measured counts like the mean of those that have.
double AdmissionQueue::rateOf(const QueueTarget& target, const QueueTarget* other) const
{
    double rate = 0;
    int measured = 0;
    int unmeasured = 0;
    for (const auto& [endpoint, server] : this->servers) {
        if (!serves(endpoint, server.role, target) || (other && !serves(endpoint, server.role, *other)))
            continue;
        if (server.samples < this->settings.minimumSamples) {
            ++unmeasured;
            continue;
        }
        ++measured;
        rate += 1 / std::max(1.0, server.interval);
    }
    return measured == 0 ? 0 : rate * (measured + unmeasured) / measured;
}

// Entries of a class that the endpoints of the target will serve. Entries that other endpoints may run as well count in
// proportion to the rates.
double AdmissionQueue::entriesAhead(const ClassQueue& queue, const QueueTarget& target) const
{
    double entries = 0;
    for (const auto& [waiting, sequences] : queue.byTarget) {
        const auto all = this->rateOf(waiting, nullptr);
        const auto shared = waiting == target ? all : this->rateOf(waiting, &target);
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
    const auto turn = queue.turns.find(entry.caller);
    const auto queued = turn == queue.turns.end() ? 0 : turn->second.size;
    const auto callers = queue.turns.size() + (queued == 0 ? 1 : 0);
    // Callers take turns, so a caller with few entries does not wait for all entries of the others.
    const auto roundRobin = static_cast<double>((queued + 1) * callers - 1);
    const auto ahead = std::min(roundRobin, this->entriesAhead(queue, entry.target));
    double higher = 0;
    for (std::size_t position = 0; position < own; ++position)
        higher += this->entriesAhead(this->classes[position], entry.target);
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
