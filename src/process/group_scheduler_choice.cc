// Which endpoint runs a statement, and which statements cannot be served in time.
#include "process/group_scheduler.h"

#include "request/wait_policy.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Extra cost of an endpoint in another data centre, whose bytes and latency are dearer.
constexpr Duration remotePenalty = std::chrono::milliseconds(3);
// Extra cost of a read at the primary, which alone can run writes: a fixed part, and a multiple of its latency.
constexpr Duration primaryReadPenalty = std::chrono::milliseconds(10);
constexpr int primaryReadFactor = 2;
// Extra cost of an endpoint to which a connection would have to be opened first.
constexpr Duration openPenalty = std::chrono::milliseconds(15);
// Replicas that may refuse a read for its position before it goes to the primary.
constexpr int maxLagging = 2;
// Connections opened to one endpoint at the same time; opening occupies a slot of the endpoint.
constexpr int maxOpening = 2;
// Time after the start in which the primary may still become known. Statements wait for it as for one that is being
// replaced.
constexpr Duration startupGrace = std::chrono::seconds(3);
// Time within which a primary is usually replaced. A longer replacement waits for a daemon that does not answer, and
// its end is not known; statements for the primary are then refused at once.
constexpr Duration usualReplacement = std::chrono::seconds(3);
// Part of the connections to an endpoint that transactions do not take, at least one. Clients that rest inside
// transactions would otherwise keep single statements, which are most of the load, from the endpoint. With too few
// connections there is nothing to reserve.
constexpr double statementReserve = 0.25;
constexpr int smallestLimitWithReserve = 3;
// Lower bound of a latency in the estimate of completions.
constexpr double shortestLatencySeconds = 0.0005;

} // namespace

bool GroupScheduler::primaryUsable(Time now) const
{
    return this->primaryId && !this->suspended && this->endpoints.count(*this->primaryId) != 0
        && this->hooks.leaseValid(now);
}

GroupScheduler::Requirement GroupScheduler::requirementOf(const ScheduledStatement& work) const
{
    Requirement requirement;
    if (work.needsPrimary) {
        requirement.needsPrimary = true;
        return requirement;
    }
    requirement.minimum = this->history.minimumFor(work.arrivedAt - work.maxStaleness);
    if (!requirement.minimum) {
        requirement.needsPrimary = true;
        return requirement;
    }
    if (!work.lastWrite)
        return requirement;
    auto own = work.lastWrite;
    // Positions of an earlier term may have been rolled back; the first position of the present term covers what is
    // left of them.
    if (own->term < this->history.term())
        own = this->history.firstOfTerm();
    if (!own || own->term > this->history.term())
        requirement.needsPrimary = true;
    else
        requirement.minimum = std::max(*requirement.minimum, *own);
    return requirement;
}

Duration GroupScheduler::positionAge(const Position& position, Time now) const
{
    const auto reached = this->history.reachedAt(position);
    return reached ? now - *reached : Duration::zero();
}

bool GroupScheduler::mayHold(const EndpointState& endpoint, const Position& minimum, Time now) const
{
    if (endpoint.position && *endpoint.position >= minimum)
        return true;
    return endpoint.laggingUntil <= now && this->positionAge(minimum, now) >= endpoint.lagEstimate;
}

int GroupScheduler::connectionLimit(const EndpointState& endpoint, Time now) const
{
    // Load is uneven, so a daemon may go beyond its share while the endpoint has room for it.
    const int overflow = endpoint.overflowNotBefore <= now ? this->connectionShare / 2 : 0;
    return this->connectionShare + overflow;
}

bool GroupScheduler::canOpen(const EndpointState& endpoint, Time now) const
{
    return endpoint.opening < maxOpening
        && static_cast<int>(endpoint.connections.size()) < this->connectionLimit(endpoint, now)
        && endpoint.openNotBefore <= now;
}

bool GroupScheduler::hasRoomForTransaction(const EndpointState& endpoint, Time now) const
{
    const int limit = this->connectionLimit(endpoint, now);
    if (limit < smallestLimitWithReserve)
        return true;
    const int reserve = std::max(1, static_cast<int>(limit * statementReserve));
    return endpoint.transactions() < limit - reserve;
}

std::optional<GroupScheduler::Target> GroupScheduler::choosePrimary(const Execution& execution, Time now)
{
    if (!this->primaryUsable(now))
        return std::nullopt;
    auto& endpoint = this->endpoints.at(*this->primaryId);
    if (execution.work.start != TransactionStart::None && !this->hasRoomForTransaction(endpoint, now))
        return std::nullopt;
    if (!endpoint.limit.allows(endpoint.running) || (!endpoint.hasIdle() && !this->canOpen(endpoint, now)))
        return std::nullopt;
    return Target { &endpoint, true, std::nullopt };
}

std::optional<GroupScheduler::Target> GroupScheduler::choose(const Execution& execution, Time now)
{
    const auto requirement = this->requirementOf(execution.work);
    if (requirement.needsPrimary || execution.lagging >= maxLagging)
        return this->choosePrimary(execution, now);
    const bool primaryOpen = this->primaryUsable(now);
    std::optional<Target> best;
    Duration bestCost {};
    for (auto& [id, endpoint] : this->endpoints) {
        const bool asPrimary = primaryOpen && id == *this->primaryId;
        const bool excluded = endpoint.record.draining || endpoint.silent
            || (execution.attempts > 0 && id.value == execution.lastEndpoint && this->endpoints.size() > 1);
        if (excluded || (!asPrimary && !this->mayHold(endpoint, *requirement.minimum, now)))
            continue;
        if (execution.work.start != TransactionStart::None && !this->hasRoomForTransaction(endpoint, now))
            continue;
        const bool idle = endpoint.hasIdle();
        if (!endpoint.limit.allows(endpoint.running) || (!idle && !this->canOpen(endpoint, now)))
            continue;
        auto cost = endpoint.latency * (endpoint.running + 1);
        if (endpoint.record.dataCentre != this->local)
            cost += remotePenalty;
        if (asPrimary)
            cost = cost * primaryReadFactor + primaryReadPenalty;
        if (!idle)
            cost += openPenalty;
        if (best && cost >= bestCost)
            continue;
        best = Target { &endpoint, asPrimary, asPrimary ? std::nullopt : requirement.minimum };
        bestCost = cost;
    }
    // With no replica left a draining or silent primary is still better than none.
    return best ? best : this->choosePrimary(execution, now);
}

Admission GroupScheduler::admissionOf(const Execution& execution, Time now) const
{
    const auto& work = execution.work;
    const bool needsPrimary = this->requirementOf(work).needsPrimary;
    if (needsPrimary && !this->primaryUsable(now)) {
        const bool hopeless = this->suspended ? now - this->suspendedAt > usualReplacement
                                              : !this->primaryId && now - this->startedAt >= startupGrace;
        return hopeless ? Admission::Refused : Admission::InTime;
    }
    WaitOutlook outlook;
    outlook.ahead = this->queue.countAhead(work, needsPrimary);
    outlook.aheadIfLate = this->queue.countAhead(work, needsPrimary, true);
    for (const auto& [id, endpoint] : this->endpoints) {
        if (needsPrimary && id != *this->primaryId)
            continue;
        const double places = std::min<double>(endpoint.limit.value(), this->connectionShare);
        outlook.completionsPerSecond += places / std::max(toSeconds(endpoint.latency), shortestLatencySeconds);
        outlook.latency = std::max(outlook.latency, endpoint.latency);
    }
    outlook.arrivalsPerSecond = (needsPrimary ? this->primaryArrivals : this->arrivals).perSecond(now);
    const auto admission = admit(outlook, work.objective, work.expiresAt - now);
    return admission == Admission::Late && now < this->lateNotBefore ? Admission::Refused : admission;
}

void GroupScheduler::openConnection(EndpointState& endpoint, Time now)
{
    const auto id = this->hooks.nextConnectionId();
    auto& connection = endpoint.connections[id];
    connection.id = id;
    connection.endpoint = endpoint.record.id;
    connection.sentAt = now;
    ++endpoint.opening;
    ++this->counts.connectionsOpened;
    this->connectionOwners[id] = endpoint.record.id;
    this->hooks.open(id, endpoint.record);
}

bool GroupScheduler::tryStart(const ExecutionPtr& execution, Time now)
{
    if (execution->notBefore > now)
        return false;
    const auto target = this->choose(*execution, now);
    if (!target)
        return false;
    auto* connection = target->endpoint->findIdle(*execution->work.session);
    if (connection == nullptr) {
        // The statement stays in the queue and starts on whichever connection is free first.
        if (target->endpoint->opening == 0 || target->endpoint->opening < static_cast<int>(this->queue.size()))
            this->openConnection(*target->endpoint, now);
        return false;
    }
    this->start(*connection, *target, execution, now);
    return true;
}

void GroupScheduler::dispatch(Time now)
{
    if (this->dispatching) {
        this->dispatchAgain = true;
        return;
    }
    this->dispatching = true;
    do {
        this->dispatchAgain = false;
        this->queue.take([&](const ExecutionPtr& execution) { return this->tryStart(execution, now); });
    } while (this->dispatchAgain);
    this->dispatching = false;
}

} // namespace endivetrestle
