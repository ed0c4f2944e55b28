#include "process/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace endivetrestle {

EndpointHealth::EndpointHealth(EndpointHealthSettings settings, std::vector<EndpointId> endpoints, Time now)
    : settings(settings)
    , observed(settings.longestStep, now)
{
    this->setEndpoints(std::move(endpoints), now);
}

void EndpointHealth::setEndpoints(std::vector<EndpointId> endpoints, Time now)
{
    EndpointRecord added;
    added.contactAt = this->observed.advance(now);
    added.suspectAfter = this->settings.suspectAfter;
    std::map<EndpointId, EndpointRecord> updated;
    for (auto& endpoint : endpoints) {
        const auto existing = this->records.find(endpoint);
        updated.emplace(endpoint, existing == this->records.end() ? added : existing->second);
    }
    this->records = std::move(updated);
}

void EndpointHealth::onResult(const CallResult& result)
{
    this->observed.advance(result.receivedAt);
    const auto found = this->records.find(result.endpoint);
    if (found == this->records.end())
        return;
    EndpointRecord& record = found->second;
    ++record.results;
    record.errorRate += this->settings.smoothing * ((result.failed ? 1.0 : 0.0) - record.errorRate);
    if (result.failed)
        return;
    record.lastContact = std::max(record.lastContact.value_or(Time::min()), result.receivedAt);
    record.contactAt = this->observed.value();
    if (!result.timed)
        return;
    const Duration time = std::max(result.receivedAt - result.sentAt, Duration::zero());
    const auto measured = static_cast<double>(time.count());
    record.latency
        = record.latency ? *record.latency + this->settings.smoothing * (measured - *record.latency) : measured;
    if (result.probe)
        this->addProbeTime(record, time);
}

void EndpointHealth::tick(Time now, const EndpointId& primary)
{
    this->observed.advance(now);
    this->endEjections(now, primary);
    for (auto& [endpoint, record] : this->records) {
        const bool mayEject = endpoint != primary && !record.ejectedUntil
            && record.results >= this->settings.outlierResults && this->isReplicaInUse(primary, endpoint);
        if (mayEject && this->isOutlier(endpoint, record))
            record.ejectedUntil = now + this->settings.ejectionTime;
    }
    this->restoreReplicas(primary);
}

EndpointHealthView EndpointHealth::view(const EndpointId& endpoint) const
{
    EndpointHealthView view;
    const auto found = this->records.find(endpoint);
    if (found == this->records.end())
        return view;
    const EndpointRecord& record = found->second;
    view.lastContact = record.lastContact;
    view.silence = this->observed.value() - record.contactAt;
    view.suspectAfter = record.suspectAfter;
    view.suspected = this->isSuspected(record);
    view.latency = Duration(std::llround(record.latency.value_or(0)));
    view.errorRate = record.errorRate;
    view.ejected = record.ejectedUntil.has_value();
    return view;
}

Duration EndpointHealth::suspectAfter(const EndpointId& endpoint) const
{
    const auto found = this->records.find(endpoint);
    return found == this->records.end() ? this->settings.suspectAfter : found->second.suspectAfter;
}

std::optional<Duration> EndpointHealth::contactAge(const EndpointId& endpoint, Time now) const
{
    const auto found = this->records.find(endpoint);
    return found == this->records.end() ? std::nullopt
                                        : std::optional(this->observed.at(now) - found->second.contactAt);
}

void EndpointHealth::addProbeTime(EndpointRecord& record, Duration time) const
{
    record.probeTimes.push_back(time);
    if (record.probeTimes.size() > this->settings.probeWindow)
        record.probeTimes.pop_front();
    std::vector<Duration> times(record.probeTimes.begin(), record.probeTimes.end());
    const auto rank = static_cast<std::size_t>(std::ceil(0.99 * static_cast<double>(times.size()))) - 1;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(rank), times.end());
    const Duration raised = std::max(this->settings.suspectAfter, times[rank] * this->settings.probeTimeFactor);
    record.suspectAfter = std::min(raised, this->settings.longestSuspectAfter);
}

// Restarts the measurement when an ejection ends, so that earlier results do not eject the endpoint again.
void EndpointHealth::endEjections(Time now, const EndpointId& primary)
{
    for (auto& [endpoint, record] : this->records) {
        if (!record.ejectedUntil || (now < *record.ejectedUntil && endpoint != primary))
            continue;
        record.ejectedUntil.reset();
        record.latency.reset();
        record.errorRate = 0;
        record.results = 0;
    }
}

// Ends all ejections if no replica is in use. The last one may have become suspected or primary after others were
// ejected.
void EndpointHealth::restoreReplicas(const EndpointId& primary)
{
    if (this->isReplicaInUse(primary, primary))
        return;
    for (auto& [endpoint, record] : this->records)
        record.ejectedUntil.reset();
}

bool EndpointHealth::isSuspected(const EndpointRecord& record) const
{
    return this->observed.value() - record.contactAt >= record.suspectAfter;
}

bool EndpointHealth::isOutlier(const EndpointId& endpoint, const EndpointRecord& record) const
{
    const auto errors = this->medianOfOthers(endpoint, [](const EndpointRecord& other) { return other.errorRate; });
    if (errors && record.errorRate > *errors + this->settings.outlierErrorRate)
        return true;
    const auto latency = this->medianOfOthers(endpoint, [](const EndpointRecord& other) { return other.latency; });
    if (!latency || !record.latency)
        return false;
    const double floor = *latency + static_cast<double>(this->settings.outlierFloor.count());
    return *record.latency > std::max(floor, *latency * this->settings.outlierFactor);
}

// Median over the other endpoints that are not suspected. Of two values it is the upper one, so that a single fast peer
// does not make the endpoint an outlier.
std::optional<double> EndpointHealth::medianOfOthers(
    const EndpointId& endpoint, const std::function<std::optional<double>(const EndpointRecord&)>& value) const
{
    std::vector<double> values;
    for (const auto& [other, record] : this->records)
        if (other != endpoint && !this->isSuspected(record))
            if (const auto single = value(record))
                values.push_back(*single);
    if (values.empty())
        return std::nullopt;
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

bool EndpointHealth::isReplicaInUse(const EndpointId& primary, const EndpointId& excluded) const
{
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        const bool other = entry.first != primary && entry.first != excluded;
        return other && !entry.second.ejectedUntil && !this->isSuspected(entry.second);
    });
}

} // namespace endivetrestle
