#include "connection/endpoint_state.h"

#include <algorithm>
#include <cmath>

namespace endivetrestle {

namespace {

// Weight of a new latency sample.
constexpr int latencyWeight = 8;
// Time for which an endpoint that lacked a position is not asked for positions it may lack.
constexpr Duration laggingPause = std::chrono::milliseconds(100);
constexpr Duration minLagEstimate = std::chrono::milliseconds(10);
constexpr Duration maxLagEstimate = std::chrono::seconds(5);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : limit(std::max(1, slots))
    , ceiling(slotMultiple * std::max(1, slots))
{
}

void ConcurrencyLimit::setSlots(int slots)
{
    this->ceiling = slotMultiple * std::max(1, slots);
    this->limit = std::min(this->limit, this->ceiling);
}

void ConcurrencyLimit::onSuccess()
{
    constexpr double increase = 0.25;
    this->limit = std::min(this->ceiling, this->limit + increase / this->limit);
}

void ConcurrencyLimit::onBusy(Time now)
{
    if (now - this->decreasedAt < decreaseInterval)
        return;
    this->decreasedAt = now;
    this->limit = std::max(1.0, this->limit * decrease);
}

EndpointConnection* EndpointState::findIdle(const SessionState& session)
{
    EndpointConnection* best = nullptr;
    int bestRank = 0;
    for (auto& [id, connection] : this->connections) {
        if (connection.phase != EndpointConnection::Phase::Idle)
            continue;
        const int rank = connection.held.matches(session) ? 3 : connection.held.isCompatible(session) ? 2 : 1;
        if (rank > bestRank) {
            best = &connection;
            bestRank = rank;
        }
    }
    return best;
}

bool EndpointState::hasIdle() const
{
    return std::any_of(this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.phase == EndpointConnection::Phase::Idle; });
}

std::optional<Time> EndpointState::oldestOutstanding() const
{
    std::optional<Time> oldest;
    for (const auto& [id, connection] : this->connections) {
        const bool outstanding = connection.phase == EndpointConnection::Phase::Running
            || connection.phase == EndpointConnection::Phase::Ending;
        if (outstanding && (!oldest || connection.sentAt < *oldest))
            oldest = connection.sentAt;
    }
    return oldest;
}

int EndpointState::connectionsInUse() const
{
    return static_cast<int>(std::count_if(this->connections.begin(), this->connections.end(), [](const auto& entry) {
        const auto phase = entry.second.phase;
        return phase != EndpointConnection::Phase::Idle && phase != EndpointConnection::Phase::Opening;
    }));
}

void EndpointState::decayBusyPeak()
{
    // Half a connection is forgotten in each second of ten ticks.
    constexpr double decayPerTick = 0.05;
    this->busyPeak = std::max(static_cast<double>(this->connectionsInUse()), this->busyPeak - decayPerTick);
}

int EndpointState::connectionsWanted() const { return static_cast<int>(std::ceil(this->busyPeak)); }

void EndpointState::addLatency(Duration sample) { this->latency += (sample - this->latency) / latencyWeight; }

void EndpointState::onLagging(Duration positionAge, Time now)
{
    this->laggingUntil = now + laggingPause;
    this->lagEstimate = std::clamp(positionAge + positionAge / 2, this->lagEstimate, maxLagEstimate);
}

void EndpointState::onCaughtUp(Duration positionAge)
{
    if (positionAge < this->lagEstimate)
        this->lagEstimate = std::max(minLagEstimate, positionAge);
    else
        this->lagEstimate = std::max(minLagEstimate, this->lagEstimate - this->lagEstimate / 16);
}

void EndpointState::decayLagEstimate()
{
    this->lagEstimate = std::max(minLagEstimate, this->lagEstimate - this->lagEstimate / 8);
}

} // namespace endivetrestle
