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
        this->holders.try_emplace(std::move(endpoint));
}

WriteTracker::Events WriteTracker::writeExecuted(
    const ExecutedWrite& write, const EndpointStatus& status, Time receivedAt)
{
    Events events;
    const bool usable = isPlausible(status) && status.endpoint == write.primary && status.role == EndpointRole::Primary
        && write.position <= status.lastLog;
    if (isPlausible(status) && this->holders.contains(status.endpoint))
        this->raiseTerm(status.term, events);
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
    this->observe(status, write.sentAt, receivedAt);
    this->reportHeld(events);
    return events;
}

WriteTracker::Events WriteTracker::onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt)
{
    Events events;
    if (!isPlausible(status) || !this->holders.contains(status.endpoint))
        return events;
    this->raiseTerm(status.term, events);
    this->observe(status, sentAt, receivedAt);
    this->reportHeld(events);
    return events;
}

WriteTracker::Events WriteTracker::onTerm(std::uint64_t term)
{
    Events events;
    if (term <= highestPlausibleTerm)
        this->raiseTerm(term, events);
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
    std::map<EndpointId, Holder> updated;
    for (auto& endpoint : endpoints) {
        const auto existing = this->holders.find(endpoint);
        updated.emplace(endpoint, existing == this->holders.end() ? Holder() : existing->second);
    }
    this->holders = std::move(updated);
    Events events;
    this->reportHeld(events);
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

bool WriteTracker::isHeld(const Position& position, const Position& lastLog) const
{
    if (position.index == 0)
        return true;
    if (lastLog.term != this->term)
        return false;
    std::uint64_t newest = 0;
    for (const auto& [endpoint, holder] : this->holders)
        newest = std::max(newest, holder.index);
    const std::uint64_t required = position.term == this->term ? position.index : 1;
    const auto count = std::count_if(this->holders.begin(), this->holders.end(), [&](const auto& entry) {
        const auto& holder = entry.second;
        return (holder.leads ? newest : holder.index) >= required;
    });
    return static_cast<std::size_t>(count) >= this->majority();
}

std::optional<MajorityEvidence> WriteTracker::evidence() const
{
    std::vector<Time> times;
    for (const auto& [endpoint, holder] : this->holders)
        if (holder.inTermAt)
            times.push_back(*holder.inTermAt);
    if (this->holders.empty() || times.size() < this->majority())
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>());
    return MajorityEvidence { this->term, times[this->majority() - 1] };
}

Time WriteTracker::nextDeadline() const
{
    return this->deadlines.empty() ? Time::max() : this->deadlines.begin()->first;
}

void WriteTracker::raiseTerm(std::uint64_t term, Events& events)
{
    if (term <= this->term)
        return;
    this->term = term;
    for (auto& [endpoint, holder] : this->holders)
        holder = Holder();
    for (const auto& [key, write] : this->pending)
        events.emplace_back(WriteSuperseded { write, term });
    this->pending.clear();
    this->byTicket.clear();
    this->deadlines.clear();
}

void WriteTracker::observe(const EndpointStatus& status, Time sentAt, Time receivedAt)
{
    const auto found = this->holders.find(status.endpoint);
    if (found == this->holders.end() || status.term != this->term)
        return;
    Holder& holder = found->second;
    holder.leads = holder.leads || status.role == EndpointRole::Primary;
    holder.inTermAt = std::max(holder.inTermAt.value_or(Time::min()), this->provenAt(status, sentAt));
    const std::uint64_t index = status.lastLog.term == this->term ? status.lastLog.index : 0;
    // A lower index counts only if its request was sent after the higher one had arrived; otherwise the answers
    // overtook each other.
    if (index < holder.index && sentAt < holder.indexReceivedAt)
        return;
    holder.index = index;
    holder.indexReceivedAt = receivedAt;
}

// A status that shows a record of this term was made after the call that wrote the record was sent. This keeps the
// evidence recent when the status answers a request that had been waiting at the endpoint.
Time WriteTracker::provenAt(const EndpointStatus& status, Time sentAt) const
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
    for (const auto& [endpoint, holder] : this->holders)
        indexes.push_back(holder.index);
    if (indexes.empty())
        return 0;
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    return indexes[this->majority() - 1];
}

void WriteTracker::reportHeld(Events& events)
{
    if (this->pending.empty())
        return;
    const std::uint64_t held = this->majorityIndex();
    const auto evidence = this->evidence();
    while (evidence && !this->pending.empty() && this->pending.begin()->first.first <= held) {
        const auto write = this->pending.begin();
        events.emplace_back(WriteHeld { write->second, *evidence });
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
