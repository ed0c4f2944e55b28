#include "request/admission_queue.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

constexpr int maxCost = 16;

Priority priorityAt(std::size_t position) { return static_cast<Priority>(position); }

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings& settings)
    : settings(settings)
{
    this->settings.quantum = std::max(1, settings.quantum);
}

bool AdmissionQueue::hasAny(const Waiting& waiting, const Targets& targets)
{
    return std::any_of(targets.begin(), targets.end(), [&](const auto& target) { return waiting.contains(target); });
}

std::optional<AdmissionQueue::Sequence> AdmissionQueue::oldestOf(const Waiting& waiting, const Targets& targets)
{
    std::optional<Sequence> oldest;
    for (const auto& target : targets) {
        const auto found = waiting.find(target);
        if (found != waiting.end() && (!oldest || *found->second.begin() < *oldest))
            oldest = *found->second.begin();
    }
    return oldest;
}

std::size_t AdmissionQueue::countOf(const Waiting& waiting, const Targets& targets)
{
    std::size_t count = 0;
    for (const auto& target : targets) {
        const auto found = waiting.find(target);
        if (found != waiting.end())
            count += found->second.size();
    }
    return count;
}

void AdmissionQueue::insert(const QueueEntry& entry, Time now)
{
    const auto sequence = ++this->lastSequence;
    auto& queue = this->queueOf(entry.priority);
    auto [turn, added] = queue.turns.try_emplace(entry.caller);
    if (added)
        turn->second.ringPosition = queue.ring.insert(queue.ring.end(), entry.caller);
    turn->second.waiting[entry.target].insert(sequence);
    ++turn->second.size;
    queue.byTarget[entry.target].insert(sequence);
    auto& record = queue.records.emplace(sequence, Record { entry, now }).first->second;
    record.entry.cost = std::clamp(entry.cost, 1, maxCost);
    this->index.emplace(entry.id, Place { entry.priority, sequence });
    this->deadlines.emplace(entry.deadline, sequence, entry.id);
    ++this->perCaller[entry.caller];
}

AdmissionQueue::Record AdmissionQueue::remove(const Place& place)
{
    const auto sequence = place.sequence;
    auto& queue = this->queueOf(place.priority);
    auto record = std::move(queue.records.extract(sequence).mapped());
    const auto& entry = record.entry;
    const auto eraseFrom = [&](Waiting& waiting) {
        const auto sequences = waiting.find(entry.target);
        sequences->second.erase(sequence);
        if (sequences->second.empty())
            waiting.erase(sequences);
    };
    eraseFrom(queue.byTarget);
    const auto turn = queue.turns.find(entry.caller);
    eraseFrom(turn->second.waiting);
    if (--turn->second.size == 0) {
        queue.ring.erase(turn->second.ringPosition);
        queue.turns.erase(turn);
    }
    this->index.erase(entry.id);
    this->deadlines.erase({ entry.deadline, sequence, entry.id });
    const auto count = this->perCaller.find(entry.caller);
    if (--count->second == 0)
        this->perCaller.erase(count);
    if (!queue.byTarget.contains(entry.target))
        this->noteDrained(entry.target);
    return record;
}

void AdmissionQueue::refuse(const Place& place, ErrorCode code)
{
    const auto record = this->remove(place);
    this->refusals.push_back({ record.entry.id, code, this->retryAfter(record.entry) });
}

std::optional<Priority> AdmissionQueue::lowestClass() const
{
    for (auto position = priorityCount; position-- > 0;) {
        if (!this->classes[position].records.empty())
            return priorityAt(position);
    }
    return std::nullopt;
}

bool AdmissionQueue::makeRoomForCaller(const QueueEntry& entry)
{
    if (this->sizeOf(entry.caller) < this->settings.maxPerCaller)
        return true;
    for (auto position = priorityCount; position-- > static_cast<std::size_t>(entry.priority) + 1;) {
        const auto turn = this->classes[position].turns.find(entry.caller);
        if (turn == this->classes[position].turns.end())
            continue;
        Sequence newest = 0;
        for (const auto& [target, sequences] : turn->second.waiting)
            newest = std::max(newest, *sequences.rbegin());
        this->refuse({ priorityAt(position), newest }, ErrorCode::QueueFull);
        return true;
    }
    return false;
}

bool AdmissionQueue::makeRoom(const QueueEntry& entry)
{
    if (this->size() < this->settings.maxEntries)
        return true;
    const auto lowest = this->lowestClass();
    if (!lowest || *lowest < entry.priority)
        return false;
    if (*lowest == entry.priority)
        return this->makeRoomWithinClass(entry);
    this->refuse({ *lowest, this->queueOf(*lowest).records.rbegin()->first }, ErrorCode::QueueFull);
    return true;
}

bool AdmissionQueue::makeRoomWithinClass(const QueueEntry& entry)
{
    // Without this a caller that fills the queue would shut out the others however fair the service is.
    auto& queue = this->queueOf(entry.priority);
    const auto largest = std::max_element(queue.turns.begin(), queue.turns.end(),
        [](const auto& left, const auto& right) { return left.second.size < right.second.size; });
    const auto own = queue.turns.find(entry.caller);
    const auto ownSize = own == queue.turns.end() ? 0 : own->second.size;
    if (largest == queue.turns.end() || largest->second.size < ownSize + 2)
        return false;
    Sequence newest = 0;
    for (const auto& [target, sequences] : largest->second.waiting)
        newest = std::max(newest, *sequences.rbegin());
    this->refuse({ entry.priority, newest }, ErrorCode::QueueFull);
    return true;
}

std::optional<ErrorCode> AdmissionQueue::refusalOf(const QueueEntry& entry, Time now) const
{
    if (this->index.contains(entry.id))
        return ErrorCode::Internal;
    if (entry.deadline <= now)
        return ErrorCode::DeadlineExceeded;
    const auto wait = this->estimateWait(entry);
    if (!wait)
        return std::nullopt;
    if (*wait > entry.deadline - now)
        return ErrorCode::Overloaded;
    // One entry of each class is admitted whatever the delay, so that the class can use its minimum share.
    const bool sheddable = entry.priority != Priority::Payment && this->sizeOf(entry.priority) > 0;
    if (sheddable && *wait > this->settings.delayTarget && this->overloadedFor(entry.target, now))
        return ErrorCode::Overloaded;
    return std::nullopt;
}

std::optional<QueueRefusal> AdmissionQueue::push(const QueueEntry& entry, Time now)
{
    this->expire(now);
    auto code = this->refusalOf(entry, now);
    if (!code && !(this->makeRoomForCaller(entry) && this->makeRoom(entry)))
        code = ErrorCode::QueueFull;
    if (code)
        return QueueRefusal { entry.id, *code, this->retryAfter(entry) };
    this->insert(entry, now);
    return std::nullopt;
}

std::optional<AdmissionQueue::Sequence> AdmissionQueue::nextInClass(ClassQueue& queue, const Targets& targets)
{
    if (!hasAny(queue.byTarget, targets))
        return std::nullopt;
    // Each round adds at least one unit to the deficit of a caller with a matching entry, and no cost is above maxCost,
    // so the loop ends.
    auto position = queue.ring.begin();
    while (true) {
        if (position == queue.ring.end())
            position = queue.ring.begin();
        auto& turn = queue.turns.find(*position)->second;
        const auto sequence = oldestOf(turn.waiting, targets);
        if (!sequence) {
            ++position;
            continue;
        }
        if (!turn.granted) {
            turn.deficit += this->settings.quantum;
            turn.granted = true;
        }
        const auto cost = queue.records.at(*sequence).entry.cost;
        if (turn.deficit >= cost) {
            turn.deficit -= cost;
            return sequence;
        }
        turn.granted = false;
        const auto passed = position++;
        queue.ring.splice(queue.ring.end(), queue.ring, passed);
    }
}

std::optional<Priority> AdmissionQueue::chooseClass(Server& server, const Targets& targets)
{
    std::optional<std::size_t> first;
    std::optional<std::size_t> owed;
    for (std::size_t position = 0; position < priorityCount; ++position) {
        auto& credit = server.credit[position];
        if (!hasAny(this->classes[position].byTarget, targets)) {
            credit = 0;
            continue;
        }
        if (!first) {
            first = position;
            continue;
        }
        credit += this->settings.minimumShare[position];
        if (!owed && credit >= 1)
            owed = position;
    }
    if (!first)
        return std::nullopt;
    if (!owed)
        return priorityAt(*first);
    server.credit[*owed] -= 1;
    return priorityAt(*owed);
}

std::optional<PoppedEntry> AdmissionQueue::popFor(const EndpointId& endpoint, EndpointRole role, Time now)
{
    this->expire(now);
    const auto targets = targetsOf(endpoint, role);
    auto& server = this->serverOf(endpoint, role, now);
    this->watchDelay(server, targets, now);
    this->shedIfOverloaded(server, targets, now);
    const auto priority = this->chooseClass(server, targets);
    if (!priority)
        return std::nullopt;
    const auto sequence = this->nextInClass(this->queueOf(*priority), targets);
    auto record = this->remove({ *priority, *sequence });
    this->measure(server, now);
    server.backlogged = std::any_of(
        this->classes.begin(), this->classes.end(), [&](const auto& queue) { return hasAny(queue.byTarget, targets); });
    if (!server.backlogged)
        server.delayedSince.reset();
    return PoppedEntry { std::move(record.entry), now - record.arrival };
}

bool AdmissionQueue::hasFor(const EndpointId& endpoint, EndpointRole role, Time now) const
{
    const auto targets = targetsOf(endpoint, role);
    for (const auto& queue : this->classes) {
        for (const auto& target : targets) {
            const auto found = queue.byTarget.find(target);
            if (found == queue.byTarget.end())
                continue;
            const auto lasting = [&](Sequence sequence) { return queue.records.at(sequence).entry.deadline > now; };
            if (std::any_of(found->second.begin(), found->second.end(), lasting))
                return true;
        }
    }
    return false;
}

bool AdmissionQueue::cancel(std::uint64_t id)
{
    const auto found = this->index.find(id);
    if (found == this->index.end())
        return false;
    this->remove(Place(found->second));
    return true;
}

void AdmissionQueue::expire(Time now)
{
    while (!this->deadlines.empty() && std::get<Time>(*this->deadlines.begin()) <= now) {
        const auto id = std::get<2>(*this->deadlines.begin());
        this->refuse(Place(this->index.at(id)), ErrorCode::DeadlineExceeded);
    }
}

void AdmissionQueue::refuseAll(ErrorCode code, Duration retryAfter)
{
    while (!this->index.empty()) {
        const auto record = this->remove(Place(this->index.begin()->second));
        this->refusals.push_back({ record.entry.id, code, retryAfter });
    }
}

void AdmissionQueue::refuseEndpoint(const EndpointId& endpoint, ErrorCode code)
{
    const QueueTarget target { QueueTargetKind::Endpoint, endpoint };
    for (std::size_t position = 0; position < priorityCount; ++position) {
        auto& queue = this->classes[position];
        for (auto found = queue.byTarget.find(target); found != queue.byTarget.end();
             found = queue.byTarget.find(target))
            this->refuse({ priorityAt(position), *found->second.begin() }, code);
    }
    this->servers.erase(endpoint);
}

std::vector<QueueRefusal> AdmissionQueue::takeRefusals() { return std::exchange(this->refusals, {}); }

Time AdmissionQueue::nextDue() const
{
    return this->deadlines.empty() ? Time::max() : std::get<Time>(*this->deadlines.begin());
}

std::size_t AdmissionQueue::sizeOf(Priority priority) const { return this->queueOf(priority).records.size(); }

std::size_t AdmissionQueue::sizeOf(const CallerId& caller) const
{
    const auto found = this->perCaller.find(caller);
    return found == this->perCaller.end() ? 0 : found->second;
}

std::size_t AdmissionQueue::sizeOf(const QueueTarget& target) const
{
    std::size_t size = 0;
    for (const auto& queue : this->classes) {
        const auto found = queue.byTarget.find(target);
        if (found != queue.byTarget.end())
            size += found->second.size();
    }
    return size;
}

Duration AdmissionQueue::oldestWait(Time now) const
{
    Duration longest {};
    for (const auto& queue : this->classes) {
        if (!queue.records.empty())
            longest = std::max(longest, now - queue.records.begin()->second.arrival);
    }
    return longest;
}

} // namespace endivetrestle
