#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "request/endpoint_call.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace endivetrestle {

// Position of the primary, asked for at sentAt. Data that contains the position was complete at sentAt.
struct FreshnessSample {
    Time sentAt;
    // Term of the primary that answered.
    std::uint64_t term = 0;
    Position position;

    bool operator==(const FreshnessSample&) const = default;
};

struct FreshnessSettings {
    // Largest number of confirmed samples. When it is reached every second one of the older half is dropped, which only
    // makes the position for an age later than necessary.
    std::size_t maxSamples = 256;
    // Largest number of samples that wait for confirmation.
    std::size_t maxPending = 64;
    // Samples closer together than this are not kept separately.
    Duration spacing = std::chrono::milliseconds(2);
    // Weight of a new measurement in the smoothed apply rate and lag.
    double smoothing = 0.2;

    bool operator==(const FreshnessSettings&) const = default;
};

// Tracks how old the data of one database is, without synchronised clocks. A sample of the primary's position is
// confirmed once a majority of endpoints has answered requests sent at or after the sample's request with the primary's
// term: a later primary can then only have been promoted after that time. Not thread-safe.
//
// Example:
//     freshness.onStatus(status, sentAt, receivedAt);
//     if (auto position = freshness.positionForAge(maxAge, now))
//         need.required = std::max(need.required, *position);
//     else
//         need.requiresPrimary = true; // and the answer waits for confirmedSince(start)
class Freshness {
public:
    Freshness(FreshnessSettings settings, std::vector<EndpointId> endpoints);

    // Any status with the time its request was sent. Ignored: implausible statuses, endpoints outside the group, a term
    // other than the highest seen, a primary whose last record is of another term, and a position that is lower than
    // one seen earlier from the same endpoint in the same term.
    void onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt);

    // Applies a changed group. Samples that wait for confirmation are dropped; confirmed ones remain valid.
    void setEndpoints(std::vector<EndpointId> endpoints);

    // Position that data of at most this age contains: that of the oldest confirmed sample sent at or after now - age.
    // No value if there is none; the read then runs at the primary.
    [[nodiscard]] std::optional<Position> positionForAge(Duration age, Time now) const;

    // Newest confirmed sample if it was sent at or after start. A read that ran at the primary of the sample's term may
    // then be answered as current at start.
    [[nodiscard]] std::optional<FreshnessSample> confirmedSince(Time start) const;

    // Newest confirmed sample.
    [[nodiscard]] std::optional<FreshnessSample> latest() const;

    // Smoothed records per second that the endpoint applies. Zero if unknown.
    [[nodiscard]] double applyRate(const EndpointId& endpoint) const;

    // Smoothed time from a position being seen at the primary until it was seen applied at the endpoint.
    [[nodiscard]] Duration applyLag(const EndpointId& endpoint) const;

    // Time at which the endpoint will have applied the position, at least now. now if it already has; no value if it
    // cannot be predicted, for example because the endpoint does not advance.
    [[nodiscard]] std::optional<Time> predictApplied(
        const EndpointId& endpoint, const Position& position, Time now) const;

    // Newest applied position seen from the endpoint. Zero if unknown.
    [[nodiscard]] Position applied(const EndpointId& endpoint) const;

    [[nodiscard]] std::size_t sampleCount() const { return this->confirmed.size(); }

private:
    // What an endpoint has reported in the current term, and how fast it applies records.
    struct Progress {
        // Latest send time of a request that the endpoint has answered.
        std::optional<Time> lastAnsweredSentAt;
        Position lastLog;
        Position applied;
        std::optional<Time> appliedAt;
        bool behind = false;
        std::optional<double> rate;
        std::optional<Duration> lag;
        // Position of the primary that the lag is being measured with, and when it was seen.
        std::optional<Position> lagTarget;
        Time lagTargetSeenAt;
    };
    // Position of the primary and when it was first seen.
    struct PrimaryPosition {
        Position position;
        Time at;
    };

    void startTerm(std::uint64_t term);
    void addSample(const FreshnessSample& sample);
    void confirmPending();
    void addConfirmed(const FreshnessSample& sample);
    void recordPrimaryPosition(const Position& position, Time at);
    void recordApplied(Progress& progress, const Position& applied, Time at);
    void updateApplyRate(Progress& progress, const Position& applied, Time at);
    void append(std::deque<FreshnessSample>& samples, const FreshnessSample& sample, std::size_t limit) const;
    [[nodiscard]] Time firstSeen(const Position& position, Time now) const;

    FreshnessSettings settings;
    std::map<EndpointId, Progress> endpoints;
    std::uint64_t term = 0;
    std::deque<FreshnessSample> pending;
    std::deque<FreshnessSample> confirmed;
    std::deque<PrimaryPosition> primaryPositions;
};

} // namespace endivetrestle
