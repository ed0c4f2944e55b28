#include "connection/endpoint_state.h"

#include <algorithm>
#include <cmath>

namespace endivetrestle {

namespace {

// Upper bound of the limit as a multiple of the slots. More than 1 keeps the slots busy while answers are on the
// network.
constexpr double maxSlotMultiple = 2.0;
// A window of answers is evaluated once it has this many answers and is this long.
constexpr int minWindowSamples = 24;
constexpr Duration minWindow = std::chrono::milliseconds(150);
// A slower window raises the baseline by the difference divided by this.
constexpr int baselineDriftDivisor = 64;
// Average latency, relative to the baseline, above which statements are taken to queue at the endpoint.
constexpr double congestedLatencyRatio = 2.5;
constexpr double congestionDecrease = 0.85;
constexpr double busyDecrease = 0.7;
// Lower bound of the limit as a share of the slots, so that each of several daemons still gets its part.
constexpr double minSlotShare = 0.5;
// Refusals within this time of a decrease cause no further one.
constexpr Duration decreaseInterval = std::chrono::milliseconds(50);
// A new latency sample has the weight 1 / latencySmoothingDivisor.
constexpr int latencySmoothingDivisor = 8;
// Time for which an endpoint that lacked a position gets no reads for positions that it may lack.
constexpr Duration laggingPause = std::chrono::milliseconds(100);
constexpr Duration minLagEstimate = std::chrono::milliseconds(10);
constexpr Duration maxLagEstimate = std::chrono::seconds(5);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : limit(std::max(1, slots))
    , slots(std::max(1, slots))
{
}

void ConcurrencyLimit::setSlots(int newSlots)
{
    this->slots = std::max(1, newSlots);
    this->limit = std::min(this->limit, this->slots * maxSlotMultiple);
}

void ConcurrencyLimit::onAnswer(Duration latency, int running, Time now)
{
    if (this->windowSamples == 0)
        this->windowStart = now;
    this->windowSum += latency;
    ++this->windowSamples;
    this->limitReached = this->limitReached || running >= static_cast<int>(this->limit);
    if (this->windowSamples >= minWindowSamples && now - this->windowStart >= minWindow)
        this->evaluateWindow(now);
}

double ConcurrencyLimit::minimum() const { return std::max(1.0, this->slots * minSlotShare); }

void ConcurrencyLimit::evaluateWindow(Time now)
{
    const auto average = this->windowSum / this->windowSamples;
    if (this->baseline == Duration::zero() || average < this->baseline)
        this->baseline = average;
    else
        this->baseline += (average - this->baseline) / baselineDriftDivisor;
    if (toSeconds(average) > toSeconds(this->baseline) * congestedLatencyRatio) {
        this->limit = std::max(this->minimum(), this->limit * congestionDecrease);
        this->decreasedAt = now;
    } else if (this->limitReached)
        this->limit = std::min(this->slots * maxSlotMultiple, this->limit + 1);
    this->windowSum = {};
    this->windowSamples = 0;
    this->limitReached = false;
}

void ConcurrencyLimit::onBusy(Time now)
{
    if (now - this->decreasedAt < decreaseInterval)
        return;
    this->decreasedAt = now;
    this->limit = std::max(this->minimum(), this->limit * busyDecrease);
}

EndpointConnection* EndpointState::findIdle(const SessionState& session, const WorkspaceId& workspace)
{
    EndpointConnection* best = nullptr;
    int bestRank = 0;
    for (auto& [id, connection] : this->connections) {
        if (connection.phase != EndpointConnection::Phase::Idle || connection.workspace != workspace)
            continue;
        const int rank = connection.sessionState.matches(session) ? 3
            : connection.sessionState.isCompatible(session)       ? 2
                                                                  : 1;
        if (rank > bestRank) {
            best = &connection;
            bestRank = rank;
        }
    }
    return best;
}

bool EndpointState::hasIdle(const WorkspaceId& workspace) const
{
    return std::any_of(this->connections.begin(), this->connections.end(), [&](const auto& entry) {
        return entry.second.phase == EndpointConnection::Phase::Idle && entry.second.workspace == workspace;
    });
}

int EndpointState::openingFor(const WorkspaceId& workspace) const
{
    return static_cast<int>(std::count_if(this->connections.begin(), this->connections.end(), [&](const auto& entry) {
        return entry.second.phase == EndpointConnection::Phase::Opening && entry.second.workspace == workspace;
    }));
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

int EndpointState::transactions() const
{
    return static_cast<int>(std::count_if(this->connections.begin(), this->connections.end(), [](const auto& entry) {
        const auto& connection = entry.second;
        const bool opening = connection.execution && connection.execution->work.start != TransactionStart::None;
        return connection.inTransaction || opening;
    }));
}

void EndpointState::decayBusyPeak()
{
    // With ten ticks per second the peak falls by half a connection per second.
    constexpr double decayPerTick = 0.05;
    this->busyPeak = std::max(static_cast<double>(this->connectionsInUse()), this->busyPeak - decayPerTick);
}

int EndpointState::connectionsWanted() const { return static_cast<int>(std::ceil(this->busyPeak)); }

void EndpointState::addLatency(Duration sample) { this->latency += (sample - this->latency) / latencySmoothingDivisor; }

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
