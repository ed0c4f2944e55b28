// The part of EndpointPool that controls the number of connections: limits, opens, backoff and timeouts.
#include "connection/endpoint_pool.h"

#include <algorithm>

namespace endivetrestle {

void EndpointPool::setEndpoints(const std::vector<PoolEndpoint>& endpoints, Time now)
{
    const auto configure = [&](const EndpointId& id, Endpoint& endpoint, bool leaving) {
        if (leaving && !endpoint.leaving)
            endpoint.leavingSince = now;
        endpoint.leaving = leaving;
        this->applyLimits(id, now);
    };
    std::set<EndpointId> listed;
    for (const auto& wanted : endpoints) {
        listed.insert(wanted.id);
        auto& endpoint = this->endpoints[wanted.id];
        endpoint.listed = true;
        endpoint.limits = wanted.limits;
        configure(wanted.id, endpoint, wanted.leaving);
    }
    for (auto& [id, endpoint] : this->endpoints) {
        if (listed.contains(id))
            continue;
        endpoint.listed = false;
        configure(id, endpoint, true);
    }
    std::erase_if(
        this->endpoints, [](const auto& entry) { return !entry.second.listed && entry.second.counts.total() == 0; });
    this->openNeededConnections(now);
}

bool EndpointPool::setLimits(const EndpointId& endpoint, const EndpointLimits& limits, Time now)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return false;
    found->second.limits = limits;
    this->applyLimits(endpoint, now);
    this->openNeededConnections(now);
    return true;
}

void EndpointPool::applyLimits(const EndpointId& id, Time now)
{
    auto& endpoint = this->endpoints.at(id);
    while (!endpoint.idle.empty() && (endpoint.leaving || this->exceedsLimit(endpoint)))
        this->close(this->connections.find(endpoint.idle.front()),
            endpoint.leaving ? CloseReason::Leaving : CloseReason::Surplus, now);
    if (!endpoint.leaving)
        return;
    endpoint.unmetDemand = false;
    for (auto connection = this->connections.begin(); connection != this->connections.end(); ++connection) {
        if (connection->second.endpoint == id && connection->second.state == ConnectionState::Opening)
            this->close(connection, CloseReason::Leaving, now);
    }
}

void EndpointPool::recordOpenFailure(Endpoint& endpoint, Time now)
{
    // A larger shift could overflow and would exceed any sensible maximum.
    constexpr int maxShift = 20;
    const auto shift = std::min(endpoint.openFailures, maxShift);
    const auto backoff = std::min(this->settings.backoffFirst * (std::int64_t(1) << shift), this->settings.backoffMax);
    endpoint.openFailures = std::min(endpoint.openFailures + 1, maxShift);
    const auto wait = this->settings.jitter ? this->settings.jitter(backoff) : backoff;
    endpoint.openNotBefore = std::max(endpoint.openNotBefore, now + wait);
}

void EndpointPool::clearBackoff(const EndpointId& endpoint, Time now)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    found->second.openNotBefore = now;
    this->openNeededConnections(now);
}

bool EndpointPool::wantsOpen(const Endpoint& endpoint) const
{
    if (endpoint.leaving)
        return false;
    const auto& counts = endpoint.counts;
    if (counts.total() - counts.closing - counts.pinned < endpoint.limits.warmMinimum)
        return true;
    // Connections beyond the free slots could not be used once they are open.
    const auto freeSlots = endpoint.limits.slots - counts.usedSlots;
    return endpoint.unmetDemand && counts.idle == 0 && counts.opening < freeSlots;
}

bool EndpointPool::mayOpen(const Endpoint& endpoint) const
{
    const auto perEndpoint = endpoint.openFailures > 0 ? 1 : this->settings.maxConcurrentOpensPerEndpoint;
    return endpoint.counts.total() < endpoint.limits.maxConnections && endpoint.counts.opening < perEndpoint
        && this->opening < this->settings.maxConcurrentOpens;
}

void EndpointPool::openNeededConnections(Time now)
{
    for (auto& [id, endpoint] : this->endpoints) {
        while (this->wantsOpen(endpoint) && this->mayOpen(endpoint) && endpoint.openNotBefore <= now) {
            endpoint.unmetDemand = false;
            const PoolConnectionId connection { ++this->lastConnection };
            this->connections.emplace(connection, Connection { .endpoint = id, .since = now });
            ++endpoint.counts.opening;
            ++this->opening;
            this->actions.emplace_back(OpenConnection { connection, id });
        }
    }
}

std::optional<Time> EndpointPool::idleCloseDue(const Endpoint& endpoint) const
{
    const auto& counts = endpoint.counts;
    if (endpoint.idle.empty() || counts.total() - counts.closing - counts.pinned <= endpoint.limits.warmMinimum)
        return std::nullopt;
    return this->connections.at(endpoint.idle.front()).since + this->settings.idleClose;
}

Time EndpointPool::deadlineOf(const Connection& connection) const
{
    if (connection.state == ConnectionState::Opening)
        return connection.since + this->settings.openTimeout;
    if (connection.state == ConnectionState::Resetting)
        return connection.since + this->settings.resetTimeout;
    const auto& endpoint = this->endpoints.at(connection.endpoint);
    if (connection.state == ConnectionState::Pinned && !connection.usesSlot && endpoint.leaving)
        return endpoint.leavingSince + this->settings.leavingGrace;
    return Time::max();
}

void EndpointPool::tick(Time now)
{
    for (auto connection = this->connections.begin(); connection != this->connections.end(); ++connection) {
        if (this->deadlineOf(connection->second) > now)
            continue;
        if (connection->second.state == ConnectionState::Opening) {
            this->recordOpenFailure(this->endpointOf(connection->second), now);
            this->close(connection, CloseReason::OpenTimeout, now);
        } else if (connection->second.state == ConnectionState::Resetting) {
            this->close(connection, CloseReason::ResetFailed, now);
        } else {
            this->interrupt(connection, CloseReason::Leaving, now);
        }
    }
    for (auto& [id, endpoint] : this->endpoints) {
        for (auto due = this->idleCloseDue(endpoint); due && *due <= now; due = this->idleCloseDue(endpoint))
            this->close(this->connections.find(endpoint.idle.front()), CloseReason::IdleTooLong, now);
    }
    this->openNeededConnections(now);
}

Time EndpointPool::nextDue() const
{
    auto due = Time::max();
    for (const auto& [id, connection] : this->connections)
        due = std::min(due, this->deadlineOf(connection));
    for (const auto& [id, endpoint] : this->endpoints) {
        if (const auto idle = this->idleCloseDue(endpoint))
            due = std::min(due, *idle);
        if (this->wantsOpen(endpoint) && this->mayOpen(endpoint))
            due = std::min(due, endpoint.openNotBefore);
    }
    return due;
}

} // namespace endivetrestle
