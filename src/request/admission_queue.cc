#include "request/admission_queue.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

constexpr int maxCost = 16;

Priority priorityAt(std::size_t classIndex) { return static_cast<Priority>(classIndex); }

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings& settings)
    : settings(settings)
{
    this->settings.quantum = std::max(1, settings.quantum);
}

bool AdmissionQueue::hasAny(const SequencesByTarget& sequencesByTarget, const Targets& targets)
{
    return std::any_of(
        targets.begin(), targets.end(), [&](const auto& target) { return sequencesByTarget.contains(target); });
}

std::optional<AdmissionQueue::Sequence> AdmissionQueue::oldestSequence(
    const SequencesByTarget& sequencesByTarget, const Targets& targets)
{
    std::optional<Sequence> oldest;
    for (const auto& target : targets) {
        const auto found = sequencesByTarget.find(target);
        if (found != sequencesByTarget.end() && (!oldest || *found->second.begin() < *oldest))
            oldest = *found->second.begin();
    }
    return oldest;
}

std::size_t AdmissionQueue::countEntries(const SequencesByTarget& sequencesByTarget, const Targets& targets)
{
    std::size_t count = 0;
    for (const auto& target : targets) {
        const auto found = sequencesByTarget.find(target);
        if (found != sequencesByTarget.end())
            count += found->second.size();
    }
    return count;
}

void AdmissionQueue::insert(const QueueEntry& entry, Time now)
{
    const auto sequence = ++this->lastSequence;
    auto& queue = this->queueOf(entry.priority);
    auto [callerQueue, added] = queue.callerQueues.try_emplace(entry.caller);
    if (added)
        callerQueue->second.roundRobinPosition
            = queue.roundRobinOrder.insert(queue.roundRobinOrder.end(), entry.caller);
    callerQueue->second.sequencesByTarget[entry.target].insert(sequence);
    ++callerQueue->second.size;
    queue.byTarget[entry.target].insert(sequence);
    auto& record = queue.records.emplace(sequence, Record { entry, now }).first->second;
    record.entry.cost = std::clamp(entry.cost, 1, maxCost);
    this->index.emplace(entry.id, EntryLocation { entry.priority, sequence });
    this->deadlines.emplace(entry.deadline, sequence, entry.id);
    ++this->perCaller[entry.caller];
}

AdmissionQueue::Record AdmissionQueue::remove(const EntryLocation& location)
{
    const auto sequence = location.sequence;
    auto& queue = this->queueOf(location.priority);
    auto record = std::move(queue.records.extract(sequence).mapped());
    const auto& entry = record.entry;
    const auto eraseFrom = [&](SequencesByTarget& sequencesByTarget) {
        const auto sequences = sequencesByTarget.find(entry.target);
        sequences->second.erase(sequence);
        if (sequences->second.empty())
            sequencesByTarget.erase(sequences);
    };
    eraseFrom(queue.byTarget);
    const auto callerQueue = queue.callerQueues.find(entry.caller);
    eraseFrom(callerQueue->second.sequencesByTarget);
    if (--callerQueue->second.size == 0) {
        queue.roundRobinOrder.erase(callerQueue->second.roundRobinPosition);
        queue.callerQueues.erase(callerQueue);
    }
    this->index.erase(entry.id);
    this->deadlines.erase({ entry.deadline, sequence, entry.id });
    const auto count = this->perCaller.find(entry.caller);
    if (--count->second == 0)
        this->perCaller.erase(count);
    if (!queue.byTarget.contains(entry.target))
        this->resetDrainedEndpoints(entry.target);
    return record;
}

void AdmissionQueue::refuse(const EntryLocation& location, ErrorCode code)
{
    const auto record = this->remove(location);
    this->refusals.push_back({ record.entry.id, code, this->retryAfter(record.entry) });
}

std::optional<Priority> AdmissionQueue::lowestClass() const
{
    for (auto classIndex = priorityCount; classIndex-- > 0;) {
        if (!this->classes[classIndex].records.empty())
            return priorityAt(classIndex);
    }
    return std::nullopt;
}

bool AdmissionQueue::makeRoomForCaller(const QueueEntry& entry)
{
    if (this->sizeOf(entry.caller) < this->settings.maxPerCaller)
        return true;
    for (auto classIndex = priorityCount; classIndex-- > static_cast<std::size_t>(entry.priority) + 1;) {
        const auto callerQueue = this->classes[classIndex].callerQueues.find(entry.caller);
        if (callerQueue == this->classes[classIndex].callerQueues.end())
            continue;
        Sequence newest = 0;
        for (const auto& [target, sequences] : callerQueue->second.sequencesByTarget)
            newest = std::max(newest, *sequences.rbegin());
        this->refuse({ priorityAt(classIndex), newest }, ErrorCode::QueueFull);
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
    // Prevents a caller that fills the queue from shutting out the others, which fair service alone would not.
    auto& queue = this->queueOf(entry.priority);
    const auto largest = std::max_element(queue.callerQueues.begin(), queue.callerQueues.end(),
        [](const auto& left, const auto& right) { return left.second.size < right.second.size; });
    const auto own = queue.callerQueues.find(entry.caller);
    const auto ownSize = own == queue.callerQueues.end() ? 0 : own->second.size;
    if (largest == queue.callerQueues.end() || largest->second.size < ownSize + 2)
        return false;
    Sequence newest = 0;
    for (const auto& [target, sequences] : largest->second.sequencesByTarget)
        newest = std::max(newest, *sequences.rbegin());
    this->refuse({ entry.priority, newest }, ErrorCode::QueueFull);
    return true;
}

std::optional<ErrorCode> AdmissionQueue::admissionError(const QueueEntry& entry, Time now) const
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
    auto code = this->admissionError(entry, now);
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
    auto caller = queue.roundRobinOrder.begin();
    while (true) {
        if (caller == queue.roundRobinOrder.end())
            caller = queue.roundRobinOrder.begin();
        auto& callerQueue = queue.callerQueues.find(*caller)->second;
        const auto sequence = oldestSequence(callerQueue.sequencesByTarget, targets);
        if (!sequence) {
            ++caller;
            continue;
        }
        if (!callerQueue.quantumGranted) {
            callerQueue.deficit += this->settings.quantum;
            callerQueue.quantumGranted = true;
        }
        const auto cost = queue.records.at(*sequence).entry.cost;
        if (callerQueue.deficit >= cost) {
            callerQueue.deficit -= cost;
            return sequence;
        }
        callerQueue.quantumGranted = false;
        const auto passed = caller++;
        queue.roundRobinOrder.splice(queue.roundRobinOrder.end(), queue.roundRobinOrder, passed);
    }
}

std::optional<Priority> AdmissionQueue::chooseClass(EndpointService& service, const Targets& targets)
{
    std::optional<std::size_t> first;
    std::optional<std::size_t> entitled;
    for (std::size_t classIndex = 0; classIndex < priorityCount; ++classIndex) {
        auto& credit = service.credit[classIndex];
        if (!hasAny(this->classes[classIndex].byTarget, targets)) {
            credit = 0;
            continue;
        }
        if (!first) {
            first = classIndex;
            continue;
        }
        credit += this->settings.minimumShare[classIndex];
        if (!entitled && credit >= 1)
            entitled = classIndex;
    }
    if (!first)
        return std::nullopt;
    if (!entitled)
        return priorityAt(*first);
    service.credit[*entitled] -= 1;
    return priorityAt(*entitled);
}

std::optional<PoppedEntry> AdmissionQueue::popFor(const EndpointId& endpoint, EndpointRole role, Time now)
{
    this->expire(now);
    const auto targets = targetsOf(endpoint, role);
    auto& service = this->serviceOf(endpoint, role, now);
    this->updateStandingDelay(service, targets, now);
    this->shedIfOverloaded(service, targets, now);
    const auto priority = this->chooseClass(service, targets);
    if (!priority)
        return std::nullopt;
    const auto sequence = this->nextInClass(this->queueOf(*priority), targets);
    auto record = this->remove({ *priority, *sequence });
    this->measureServiceInterval(service, now);
    service.backlogged = std::any_of(
        this->classes.begin(), this->classes.end(), [&](const auto& queue) { return hasAny(queue.byTarget, targets); });
    if (!service.backlogged)
        service.delayAboveTargetSince.reset();
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
            const auto notExpired = [&](Sequence sequence) { return queue.records.at(sequence).entry.deadline > now; };
            if (std::any_of(found->second.begin(), found->second.end(), notExpired))
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
    this->remove(EntryLocation(found->second));
    return true;
}

void AdmissionQueue::expire(Time now)
{
    while (!this->deadlines.empty() && std::get<Time>(*this->deadlines.begin()) <= now) {
        const auto id = std::get<2>(*this->deadlines.begin());
        this->refuse(EntryLocation(this->index.at(id)), ErrorCode::DeadlineExceeded);
    }
}

void AdmissionQueue::refuseAll(ErrorCode code, Duration retryAfter)
{
    while (!this->index.empty()) {
        const auto record = this->remove(EntryLocation(this->index.begin()->second));
        this->refusals.push_back({ record.entry.id, code, retryAfter });
    }
}

void AdmissionQueue::refuseEndpoint(const EndpointId& endpoint, ErrorCode code)
{
    const QueueTarget target { QueueTargetKind::Endpoint, endpoint };
    for (std::size_t classIndex = 0; classIndex < priorityCount; ++classIndex) {
        auto& queue = this->classes[classIndex];
        for (auto found = queue.byTarget.find(target); found != queue.byTarget.end();
             found = queue.byTarget.find(target))
            this->refuse({ priorityAt(classIndex), *found->second.begin() }, code);
    }
    this->services.erase(endpoint);
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
