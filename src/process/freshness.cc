#include "process/freshness.h"

#include "request/status_check.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace endivetrestle {

namespace {

// Positions of the primary that are kept to tell when a position was first seen.
constexpr std::size_t maxPrimaryPositions = 256;

// Records per second below which an endpoint counts as stalled.
constexpr double minApplyRate = 0.5;

// Shorter intervals between two statuses give no usable rate.
constexpr Duration minRateInterval = std::chrono::milliseconds(1);

double smooth(std::optional<double> old, double measured, double weight)
{
    return old ? *old + weight * (measured - *old) : measured;
}

Duration smooth(std::optional<Duration> old, Duration measured, double weight)
{
    const auto before = old ? std::optional(static_cast<double>(old->count())) : std::nullopt;
    return Duration(std::llround(smooth(before, static_cast<double>(measured.count()), weight)));
}

// Drops every second element of the older half.
template <typename Element> void thinOut(std::deque<Element>& elements)
{
    std::deque<Element> kept;
    for (std::size_t i = 0; i < elements.size(); ++i)
        if (i >= elements.size() / 2 || i % 2 == 1)
            kept.push_back(elements[i]);
    elements = std::move(kept);
}

} // namespace

Freshness::Freshness(FreshnessSettings settings, std::vector<EndpointId> endpoints)
    : settings(settings)
{
    for (auto& endpoint : endpoints)
        this->endpoints.try_emplace(std::move(endpoint));
}

void Freshness::onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt)
{
    const auto found = this->endpoints.find(status.endpoint);
    if (found == this->endpoints.end() || !isPlausible(status) || status.term < this->term)
        return;
    if (status.term > this->term)
        this->startTerm(status.term);
    Progress& progress = found->second;
    const bool primary = status.role == EndpointRole::Primary;
    if (status.lastLog < progress.lastLog || (primary && status.lastLog.term != status.term))
        return;
    progress.lastLog = status.lastLog;
    progress.lastAnsweredSentAt = std::max(progress.lastAnsweredSentAt.value_or(Time::min()), sentAt);
    if (primary) {
        this->recordPrimaryPosition(status.lastLog, receivedAt);
        this->addSample({ sentAt, status.term, status.lastLog });
    }
    this->recordApplied(progress, status.applied, receivedAt);
    this->confirmPending();
}

void Freshness::setEndpoints(std::vector<EndpointId> endpoints)
{
    std::map<EndpointId, Progress> updated;
    for (auto& endpoint : endpoints) {
        const auto existing = this->endpoints.find(endpoint);
        updated.emplace(endpoint, existing == this->endpoints.end() ? Progress() : existing->second);
    }
    this->endpoints = std::move(updated);
    this->pending.clear();
}

std::optional<Position> Freshness::positionForAge(Duration age, Time now) const
{
    const Time oldest = age >= now.time_since_epoch() ? Time() : now - age;
    const auto sample = std::lower_bound(this->confirmed.begin(), this->confirmed.end(), oldest,
        [](const FreshnessSample& left, Time right) { return left.sentAt < right; });
    return sample == this->confirmed.end() ? std::nullopt : std::optional(sample->position);
}

std::optional<FreshnessSample> Freshness::confirmedSince(Time start) const
{
    const auto newest = this->latest();
    return newest && newest->sentAt >= start ? newest : std::nullopt;
}

std::optional<FreshnessSample> Freshness::latest() const
{
    return this->confirmed.empty() ? std::nullopt : std::optional(this->confirmed.back());
}

double Freshness::applyRate(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second.rate.value_or(0);
}

Duration Freshness::applyLag(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? Duration::zero() : found->second.lag.value_or(Duration::zero());
}

Position Freshness::applied(const EndpointId& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? Position() : found->second.applied;
}

// Predicts from the lag while the endpoint follows with a steady delay, and from its apply rate once it has fallen
// behind that.
std::optional<Time> Freshness::predictApplied(const EndpointId& endpoint, const Position& position, Time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || !found->second.appliedAt)
        return std::nullopt;
    const Progress& progress = found->second;
    if (progress.applied >= position)
        return now;
    if (progress.lag) {
        const Time byLag = this->firstSeen(position, now) + *progress.lag;
        if (byLag >= now)
            return byLag;
    }
    const double rate = progress.rate.value_or(0);
    if (rate < minApplyRate)
        return std::nullopt;
    const auto missing
        = position.index > progress.applied.index ? static_cast<double>(position.index - progress.applied.index) : 1.0;
    return std::max(now, *progress.appliedAt + Duration(static_cast<Duration::rep>(std::ceil(missing / rate * 1e6))));
}

// Logs may be truncated when the primary changes, so positions reported in the previous term no longer count.
void Freshness::startTerm(std::uint64_t term)
{
    this->term = term;
    this->pending.clear();
    this->primaryPositions.clear();
    for (auto& [endpoint, progress] : this->endpoints) {
        progress.lastAnsweredSentAt.reset();
        progress.lastLog = {};
        progress.lagTarget.reset();
        progress.appliedAt.reset();
    }
}

void Freshness::addSample(const FreshnessSample& sample)
{
    if (!this->pending.empty() && sample.sentAt < this->pending.back().sentAt)
        return;
    this->append(this->pending, sample, this->settings.maxPending);
}

// Confirms the samples up to the latest time at or after which a majority was asked and answered in the term.
void Freshness::confirmPending()
{
    std::vector<Time> answers;
    for (const auto& [endpoint, progress] : this->endpoints)
        if (progress.lastAnsweredSentAt)
            answers.push_back(*progress.lastAnsweredSentAt);
    const std::size_t majority = this->endpoints.size() / 2 + 1;
    if (answers.size() < majority)
        return;
    std::sort(answers.begin(), answers.end(), std::greater<>());
    while (!this->pending.empty() && this->pending.front().sentAt <= answers[majority - 1]) {
        this->addConfirmed(this->pending.front());
        this->pending.pop_front();
    }
}

// Drops the samples of the previous term: their positions may have been lost with its primary, and a replica would then
// never contain them.
void Freshness::addConfirmed(const FreshnessSample& sample)
{
    if (!this->confirmed.empty() && this->confirmed.back().term != sample.term)
        this->confirmed.clear();
    if (!this->confirmed.empty() && sample.sentAt < this->confirmed.back().sentAt)
        return;
    this->append(this->confirmed, sample, this->settings.maxSamples);
}

// The newest sample is always kept; the one before it is replaced if it is too close to its predecessor.
void Freshness::append(std::deque<FreshnessSample>& samples, const FreshnessSample& sample, std::size_t limit) const
{
    const auto size = samples.size();
    if (size >= 2 && sample.sentAt - samples[size - 2].sentAt < this->settings.spacing)
        samples.back() = sample;
    else
        samples.push_back(sample);
    if (samples.size() > limit)
        thinOut(samples);
}

void Freshness::recordPrimaryPosition(const Position& position, Time at)
{
    if (!this->primaryPositions.empty() && position <= this->primaryPositions.back().position)
        return;
    this->primaryPositions.push_back({ position, at });
    if (this->primaryPositions.size() > maxPrimaryPositions)
        this->primaryPositions.pop_front();
    for (auto& [endpoint, progress] : this->endpoints) {
        if (!progress.appliedAt || progress.lagTarget || progress.applied >= position)
            continue;
        progress.lagTarget = position;
        progress.lagTargetSeenAt = at;
    }
}

void Freshness::recordApplied(Progress& progress, const Position& applied, Time at)
{
    if (progress.appliedAt && (applied < progress.applied || at < *progress.appliedAt))
        return;
    this->updateApplyRate(progress, applied, at);
    progress.applied = applied;
    progress.appliedAt = at;
    progress.behind = !this->primaryPositions.empty() && applied < this->primaryPositions.back().position;
    if (!progress.lagTarget || applied < *progress.lagTarget)
        return;
    progress.lag = smooth(progress.lag, at - progress.lagTargetSeenAt, this->settings.smoothing);
    progress.lagTarget.reset();
}

// An endpoint that has applied everything shows no rate, so only steps that began behind the primary are measured.
void Freshness::updateApplyRate(Progress& progress, const Position& applied, Time at)
{
    if (!progress.appliedAt || !progress.behind || at - *progress.appliedAt < minRateInterval)
        return;
    const auto records = static_cast<double>(applied.index - progress.applied.index);
    progress.rate = smooth(progress.rate, records / toSeconds(at - *progress.appliedAt), this->settings.smoothing);
}

// A position that was not seen at the primary comes from another daemon and is treated as new.
Time Freshness::firstSeen(const Position& position, Time now) const
{
    const auto first = std::lower_bound(this->primaryPositions.begin(), this->primaryPositions.end(), position,
        [](const PrimaryPosition& left, const Position& right) { return left.position < right; });
    return first == this->primaryPositions.end() ? now : first->at;
}

} // namespace endivetrestle
