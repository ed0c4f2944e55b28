#include "request/write_tracker.h"

#include "request/status_check.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace endivetrestle {

WriteTracker::WriteTracker(WriteTrackerSettings settings, std::vector<EndpointId> endpoints)
    : settings(settings)
{
    for (auto& endpoint : endpoints)
        this->progressByEndpoint.try_emplace(std::move(endpoint));
}

WriteTracker::Events WriteTracker::writeExecuted(
    const ExecutedWrite& write, const EndpointStatus& status, Time receivedAt)
{
    Events events;
    const bool usable = isPlausible(status) && status.endpoint == write.primary && status.role == EndpointRole::Primary
        && write.position <= status.lastLog;
    if (isPlausible(status) && this->progressByEndpoint.contains(status.endpoint))
        this->advanceTerm(status.term, events);
    const std::uint64_t writeTerm = write.recordedBefore ? status.term : write.position.term;
    if (!usable || writeTerm != this->term || status.term != this->term) {
        events.emplace_back(WriteSuperseded { write, this->term });
        return events;
    }
    this->forget(write.ticket);
    const PendingKey key { write.position.index, write.ticket };
    this->pending.emplace(key, write);
    this->byTicket.emplace(write.ticket, key);
    this->deadlines.emplace(write.deadline, write.ticket);
    this->recordStatus(status, write.sentAt, receivedAt);
    this->reportHeldWrites(events);
    return events;
}

WriteTracker::Events WriteTracker::onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt)
{
    Events events;
    if (!isPlausible(status) || !this->progressByEndpoint.contains(status.endpoint))
        return events;
    this->advanceTerm(status.term, events);
    this->recordStatus(status, sentAt, receivedAt);
    this->reportHeldWrites(events);
    return events;
}

WriteTracker::Events WriteTracker::onTerm(std::uint64_t term)
{
    Events events;
    if (term <= highestPlausibleTerm)
        this->advanceTerm(term, events);
    return events;
}

WriteTracker::Events WriteTracker::tick(Time now)
{
    Events events;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto key = this->byTicket.at(this->deadlines.begin()->second);
        const auto write = this->pending.find(key);
        events.emplace_back(WriteDeadlineReached { write->second });
        this->erase(write);
    }
    return events;
}

WriteTracker::Events WriteTracker::setEndpoints(std::vector<EndpointId> endpoints)
{
    std::map<EndpointId, EndpointProgress> updated;
    for (auto& endpoint : endpoints) {
        const auto existing = this->progressByEndpoint.find(endpoint);
        updated.emplace(endpoint, existing == this->progressByEndpoint.end() ? EndpointProgress() : existing->second);
    }
    this->progressByEndpoint = std::move(updated);
    Events events;
    this->reportHeldWrites(events);
    return events;
}

void WriteTracker::forget(std::uint64_t ticket)
{
    if (const auto key = this->byTicket.find(ticket); key != this->byTicket.end())
        this->erase(this->pending.find(key->second));
}

bool WriteTracker::canAcknowledge(const MajorityEvidence& evidence, Time now) const
{
    return evidence.term == this->term && now - evidence.observedAt < this->settings.ackEvidenceMaxAge;
}

bool WriteTracker::isHeldByMajority(const Position& position, const Position& lastLog) const
{
    if (position.index == 0)
        return true;
    if (lastLog.term != this->term)
        return false;
    std::uint64_t newest = 0;
    for (const auto& [endpoint, progress] : this->progressByEndpoint)
        newest = std::max(newest, progress.index);
    const std::uint64_t required = position.term == this->term ? position.index : 1;
    const auto count
        = std::count_if(this->progressByEndpoint.begin(), this->progressByEndpoint.end(), [&](const auto& entry) {
              const auto& progress = entry.second;
              return (progress.isPrimary ? newest : progress.index) >= required;
          });
    return static_cast<std::size_t>(count) >= this->majority();
}

std::optional<MajorityEvidence> WriteTracker::evidence() const
{
    std::vector<Time> times;
    for (const auto& [endpoint, progress] : this->progressByEndpoint)
        if (progress.confirmedInTermAt)
            times.push_back(*progress.confirmedInTermAt);
    if (this->progressByEndpoint.empty() || times.size() < this->majority())
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>());
    return MajorityEvidence { this->term, times[this->majority() - 1] };
}

Time WriteTracker::nextDeadline() const
{
    return this->deadlines.empty() ? Time::max() : this->deadlines.begin()->first;
}

void WriteTracker::advanceTerm(std::uint64_t term, Events& events)
{
    if (term <= this->term)
        return;
    this->term = term;
    for (auto& [endpoint, progress] : this->progressByEndpoint)
        progress = EndpointProgress();
    for (const auto& [key, write] : this->pending)
        events.emplace_back(WriteSuperseded { write, term });
    this->pending.clear();
    this->byTicket.clear();
    this->deadlines.clear();
}

void WriteTracker::recordStatus(const EndpointStatus& status, Time sentAt, Time receivedAt)
{
    const auto found = this->progressByEndpoint.find(status.endpoint);
    if (found == this->progressByEndpoint.end() || status.term != this->term)
        return;
    EndpointProgress& progress = found->second;
    progress.isPrimary = progress.isPrimary || status.role == EndpointRole::Primary;
    progress.confirmedInTermAt
        = std::max(progress.confirmedInTermAt.value_or(Time::min()), this->evidenceTime(status, sentAt));
    const std::uint64_t index = status.lastLog.term == this->term ? status.lastLog.index : 0;
    // A lower index counts only if its request was sent after the higher one had arrived; otherwise the answers arrived
    // out of order.
    if (index < progress.index && sentAt < progress.indexReceivedAt)
        return;
    progress.index = index;
    progress.indexReceivedAt = receivedAt;
}

// A status that reports a record of this term was created after the call that wrote the record was sent. This keeps the
// evidence recent when the status answers a request that had been queued at the endpoint.
Time WriteTracker::evidenceTime(const EndpointStatus& status, Time sentAt) const
{
    if (status.lastLog.term != this->term || this->pending.empty())
        return sentAt;
    auto write = this->pending.upper_bound({ status.lastLog.index, std::numeric_limits<std::uint64_t>::max() });
    if (write == this->pending.begin())
        return sentAt;
    --write;
    return write->second.recordedBefore ? sentAt : std::max(sentAt, write->second.sentAt);
}

std::uint64_t WriteTracker::majorityIndex() const
{
    std::vector<std::uint64_t> indexes;
    for (const auto& [endpoint, progress] : this->progressByEndpoint)
        indexes.push_back(progress.index);
    if (indexes.empty())
        return 0;
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    return indexes[this->majority() - 1];
}

void WriteTracker::reportHeldWrites(Events& events)
{
    if (this->pending.empty())
        return;
    const std::uint64_t held = this->majorityIndex();
    const auto evidence = this->evidence();
    while (evidence && !this->pending.empty() && this->pending.begin()->first.first <= held) {
        const auto write = this->pending.begin();
        events.emplace_back(WriteHeldByMajority { write->second, *evidence });
        this->erase(write);
    }
}

void WriteTracker::erase(std::map<PendingKey, ExecutedWrite>::iterator write)
{
    this->deadlines.erase({ write->second.deadline, write->second.ticket });
    this->byTicket.erase(write->second.ticket);
    this->pending.erase(write);
}

} // namespace endivetrestle
