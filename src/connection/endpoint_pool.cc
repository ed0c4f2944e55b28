#include "connection/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

EndpointPool::EndpointPool(EndpointPoolSettings settings)
    : settings(std::move(settings))
{
}

int& EndpointPool::countOf(EndpointCounts& counts, ConnectionState state) const
{
    switch (state) {
    case ConnectionState::Opening:
        return counts.opening;
    case ConnectionState::Idle:
        return counts.idle;
    case ConnectionState::Busy:
        return counts.busy;
    case ConnectionState::Pinned:
        return counts.pinned;
    case ConnectionState::Resetting:
        return counts.resetting;
    case ConnectionState::Closing:
        break;
    }
    return counts.closing;
}

EndpointPool::Connections::iterator EndpointPool::findInState(PoolConnectionId connection, ConnectionState state)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || found->second.state != state)
        return this->connections.end();
    return found;
}

EndpointPool::Connections::iterator EndpointPool::findPin(const ConnectionUse& pin)
{
    const auto found = this->findInState(pin.connection, ConnectionState::Pinned);
    if (found == this->connections.end() || found->second.pinGeneration != pin.generation)
        return this->connections.end();
    return found;
}

void EndpointPool::changeState(Connections::iterator connection, ConnectionState state, Time now)
{
    auto& [id, record] = *connection;
    auto& endpoint = this->endpointOf(record);
    --this->countOf(endpoint.counts, record.state);
    ++this->countOf(endpoint.counts, state);
    if (record.state == ConnectionState::Opening)
        --this->opening;
    if (record.state == ConnectionState::Idle)
        std::erase(endpoint.idle, id);
    if (state == ConnectionState::Idle)
        endpoint.idle.push_back(id);
    record.state = state;
    record.since = now;
}

void EndpointPool::setSlotUse(Connection& connection, bool used)
{
    if (connection.usesSlot == used)
        return;
    connection.usesSlot = used;
    this->endpointOf(connection).counts.usedSlots += used ? 1 : -1;
}

void EndpointPool::close(Connections::iterator connection, CloseReason reason, Time now)
{
    this->changeState(connection, ConnectionState::Closing, now);
    this->actions.emplace_back(CloseConnection { connection->first, reason });
}

void EndpointPool::interrupt(Connections::iterator connection, CloseReason reason, Time now)
{
    auto& record = connection->second;
    if (record.state == ConnectionState::Busy || record.state == ConnectionState::Pinned) {
        const auto generation = record.usesSlot ? record.generation : record.pinGeneration;
        record.interrupted = ConnectionUse { connection->first, generation, record.endpoint };
    }
    this->close(connection, reason, now);
}

void EndpointPool::clearInterrupted(const ConnectionUse& use)
{
    const auto connection = this->connections.find(use.connection);
    if (connection == this->connections.end() || !connection->second.interrupted)
        return;
    auto& record = connection->second;
    if (record.interrupted->generation == use.generation || record.pinGeneration == use.generation)
        record.interrupted.reset();
}

void EndpointPool::remove(Connections::iterator connection, Time now)
{
    this->changeState(connection, ConnectionState::Closing, now);
    this->setSlotUse(connection->second, false);
    const auto endpoint = this->endpoints.find(connection->second.endpoint);
    --endpoint->second.counts.closing;
    this->connections.erase(connection);
    if (!endpoint->second.listed && endpoint->second.counts.total() == 0)
        this->endpoints.erase(endpoint);
    this->openNeededConnections(now);
}

bool EndpointPool::exceedsLimit(const Endpoint& endpoint) const
{
    return endpoint.counts.total() - endpoint.counts.closing > endpoint.limits.maxConnections;
}

bool EndpointPool::leavingGraceExpired(const Endpoint& endpoint, Time now) const
{
    return endpoint.leaving && now >= endpoint.leavingSince + this->settings.leavingGrace;
}

void EndpointPool::returnConnection(Connections::iterator connection, ReleaseState state, Time now)
{
    auto& record = connection->second;
    auto& endpoint = this->endpointOf(record);
    this->setSlotUse(record, false);
    if (endpoint.leaving || this->exceedsLimit(endpoint)) {
        this->close(connection, endpoint.leaving ? CloseReason::Leaving : CloseReason::Surplus, now);
        return;
    }
    if (state == ReleaseState::Clean) {
        this->changeState(connection, ConnectionState::Idle, now);
        return;
    }
    // The endpoint runs a reset like a statement. Without a free slot the connection is closed instead, which rolls
    // back without exceeding the limit.
    if (!this->hasFreeSlot(record.endpoint)) {
        this->close(connection, CloseReason::Dirty, now);
        return;
    }
    this->setSlotUse(record, true);
    this->changeState(connection, ConnectionState::Resetting, now);
    this->actions.emplace_back(ResetConnection { connection->first, ++record.generation });
}

std::optional<ConnectionUse> EndpointPool::checkOut(const EndpointId& endpoint, Time now)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || found->second.leaving || !this->hasFreeSlot(endpoint))
        return std::nullopt;
    if (found->second.idle.empty()) {
        found->second.unmetDemand = true;
        this->openNeededConnections(now);
        return std::nullopt;
    }
    // The most recently used connection is taken, so that connections that are not needed stay idle long enough to be
    // closed.
    const auto connection = this->connections.find(found->second.idle.back());
    this->changeState(connection, ConnectionState::Busy, now);
    this->setSlotUse(connection->second, true);
    return ConnectionUse { connection->first, ++connection->second.generation, endpoint };
}

bool EndpointPool::release(const ConnectionUse& use, ReleaseState state, Time now)
{
    const auto connection = this->findInState(use.connection, ConnectionState::Busy);
    if (connection == this->connections.end() || connection->second.generation != use.generation) {
        this->clearInterrupted(use);
        return false;
    }
    this->returnConnection(connection, state, now);
    return true;
}

bool EndpointPool::pin(const ConnectionUse& use)
{
    const auto connection = this->findInState(use.connection, ConnectionState::Busy);
    if (connection == this->connections.end() || connection->second.generation != use.generation)
        return false;
    this->changeState(connection, ConnectionState::Pinned, connection->second.since);
    connection->second.pinGeneration = use.generation;
    this->setSlotUse(connection->second, false);
    return true;
}

std::optional<ConnectionUse> EndpointPool::beginStatement(const ConnectionUse& pin)
{
    const auto connection = this->findPin(pin);
    if (connection == this->connections.end() || connection->second.usesSlot)
        return std::nullopt;
    auto& record = connection->second;
    if (!this->hasFreeSlot(record.endpoint))
        return std::nullopt;
    this->setSlotUse(record, true);
    return ConnectionUse { connection->first, ++record.generation, record.endpoint };
}

bool EndpointPool::endStatement(const ConnectionUse& statement, Time now)
{
    const auto connection = this->findInState(statement.connection, ConnectionState::Pinned);
    if (connection == this->connections.end() || !connection->second.usesSlot
        || connection->second.generation != statement.generation)
        return false;
    this->setSlotUse(connection->second, false);
    if (this->leavingGraceExpired(this->endpointOf(connection->second), now))
        this->interrupt(connection, CloseReason::Leaving, now);
    return true;
}

bool EndpointPool::unpin(const ConnectionUse& pin, ReleaseState state, Time now)
{
    const auto connection = this->findPin(pin);
    if (connection == this->connections.end()) {
        this->clearInterrupted(pin);
        return false;
    }
    connection->second.pinGeneration = 0;
    // A running statement occupies its slot until the connection is closed, because the endpoint may still run it.
    if (connection->second.usesSlot)
        this->close(connection, CloseReason::Abandoned, now);
    else
        this->returnConnection(connection, state, now);
    return true;
}

bool EndpointPool::acceptAnswer(const ConnectionUse& use, Time now)
{
    const auto connection = this->connections.find(use.connection);
    if (connection == this->connections.end() || connection->second.state == ConnectionState::Closing)
        return false;
    const auto& record = connection->second;
    const bool running
        = record.state == ConnectionState::Busy || (record.state == ConnectionState::Pinned && record.usesSlot);
    if (running && record.generation == use.generation)
        return true;
    if (record.state == ConnectionState::Opening)
        this->recordOpenFailure(this->endpointOf(record), now);
    this->interrupt(connection, CloseReason::CrossedAnswer, now);
    return false;
}

bool EndpointPool::abandon(const ConnectionUse& use, Time now)
{
    const auto connection = this->connections.find(use.connection);
    if (connection == this->connections.end())
        return false;
    const auto& record = connection->second;
    const bool pinned = record.state == ConnectionState::Pinned;
    const bool inUse = pinned || record.state == ConnectionState::Busy;
    const bool current = (record.usesSlot && record.generation == use.generation)
        || (pinned && record.pinGeneration == use.generation);
    if (!inUse || !current) {
        this->clearInterrupted(use);
        return false;
    }
    this->close(connection, CloseReason::Abandoned, now);
    return true;
}

bool EndpointPool::onOpened(PoolConnectionId connection, Time now)
{
    const auto found = this->findInState(connection, ConnectionState::Opening);
    if (found == this->connections.end())
        return false;
    auto& endpoint = this->endpointOf(found->second);
    found->second.opened = true;
    endpoint.openFailures = 0;
    endpoint.openNotBefore = now;
    if (this->exceedsLimit(endpoint))
        this->close(found, CloseReason::Surplus, now);
    else
        this->changeState(found, ConnectionState::Idle, now);
    this->openNeededConnections(now);
    return true;
}

bool EndpointPool::onOpenFailed(PoolConnectionId connection, Time now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || found->second.opened)
        return false;
    // If the pool is already closing the connection, the failure has been counted or was not caused by the endpoint.
    if (found->second.state == ConnectionState::Opening)
        this->recordOpenFailure(this->endpointOf(found->second), now);
    this->remove(found, now);
    return true;
}

bool EndpointPool::onResetDone(PoolConnectionId connection, std::uint64_t generation, bool succeeded, Time now)
{
    const auto found = this->findInState(connection, ConnectionState::Resetting);
    if (found == this->connections.end() || found->second.generation != generation)
        return false;
    if (succeeded) {
        this->returnConnection(found, ReleaseState::Clean, now);
        return true;
    }
    this->setSlotUse(found->second, false);
    this->close(found, CloseReason::ResetFailed, now);
    return true;
}

std::optional<ConnectionUse> EndpointPool::onClosed(PoolConnectionId connection, Time now)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return std::nullopt;
    auto& record = found->second;
    auto interrupted = record.interrupted;
    if (record.state == ConnectionState::Busy || record.state == ConnectionState::Pinned)
        interrupted
            = ConnectionUse { connection, record.usesSlot ? record.generation : record.pinGeneration, record.endpoint };
    if (record.state == ConnectionState::Opening)
        this->recordOpenFailure(this->endpointOf(record), now);
    this->remove(found, now);
    return interrupted;
}

bool EndpointPool::hasFreeSlot(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && found->second.counts.usedSlots < found->second.limits.slots;
}

bool EndpointPool::canCheckOut(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return this->hasFreeSlot(endpoint) && !found->second.leaving && !found->second.idle.empty();
}

EndpointCounts EndpointPool::counts(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? EndpointCounts() : found->second.counts;
}

std::optional<ConnectionState> EndpointPool::stateOf(PoolConnectionId connection) const
{
    const auto found = this->connections.find(connection);
    return found == this->connections.end() ? std::nullopt : std::optional(found->second.state);
}

std::vector<PoolAction> EndpointPool::takeActions() { return std::exchange(this->actions, {}); }

} // namespace endivetrestle
