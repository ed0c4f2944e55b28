// GroupScheduler: selection of endpoints, opening of connections and admission control.
#include "process/group_scheduler.h"

#include "request/wait_policy.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Extra cost of an endpoint in another data centre, where traffic costs more and latency is higher.
constexpr Duration remotePenalty = std::chrono::milliseconds(3);
// Extra cost of a read at the primary: a fixed part and a factor on its latency. Keeps the primary free for writes,
// which only it can run.
constexpr Duration primaryReadPenalty = std::chrono::milliseconds(10);
constexpr int primaryReadFactor = 2;
// Extra cost of an endpoint without an idle connection.
constexpr Duration openPenalty = std::chrono::milliseconds(15);
// Extra cost of an endpoint where a connection of another workspace has to be closed, which that one may open again.
constexpr Duration evictionPenalty = std::chrono::milliseconds(30);
// Time after the start of the daemon for which statements wait for a primary that is not known yet, as they do for one
// that is being replaced.
constexpr Duration startupGrace = std::chrono::seconds(3);
// Time within which a primary is usually replaced. A replacement that takes longer waits for a daemon that does not
// respond, for an unknown time, so new statements for the primary are refused immediately.
constexpr Duration usualReplacementTime = std::chrono::seconds(3);
// Fraction of the connections to an endpoint, at least one, that is reserved for single statements. Without it, clients
// that are idle inside transactions could block single statements, which are most of the load. Nothing is reserved if
// the connection limit is too small.
constexpr double singleStatementReserve = 0.25;
constexpr int minLimitForReserve = 3;
// Lower bound for the latency from which the completion rate is estimated.
constexpr double minLatencySeconds = 0.0005;

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
    requirement.minimumPosition = this->history.minimumFor(work.arrivedAt - work.maxStaleness);
    if (!requirement.minimumPosition) {
        requirement.needsPrimary = true;
        return requirement;
    }
    if (!work.lastWrite)
        return requirement;
    auto lastWrite = work.lastWrite;
    // Positions of an earlier term may have been rolled back. The first position of the current term covers those that
    // were not.
    if (lastWrite->term < this->history.term())
        lastWrite = this->history.firstOfTerm();
    if (!lastWrite || lastWrite->term > this->history.term())
        requirement.needsPrimary = true;
    else
        requirement.minimumPosition = std::max(*requirement.minimumPosition, *lastWrite);
    return requirement;
}

Duration GroupScheduler::positionAge(const Position& position, Time now) const
{
    const auto reached = this->history.reachedAt(position);
    return reached ? now - *reached : Duration::zero();
}

bool GroupScheduler::mayHaveApplied(const EndpointState& endpoint, const Position& minimum, Time now) const
{
    if (endpoint.position && *endpoint.position >= minimum)
        return true;
    return endpoint.laggingUntil <= now && this->positionAge(minimum, now) >= endpoint.lagEstimate;
}

int GroupScheduler::connectionLimit(const EndpointState& endpoint, Time now) const
{
    // Load is spread unevenly over the daemons, so a daemon may exceed its share unless the endpoint has
    // recently refused a connection.
    const int overflow = endpoint.overflowNotBefore <= now ? this->connectionShare / 2 : 0;
    return this->connectionShare + overflow;
}

bool GroupScheduler::canOpen(const EndpointState& endpoint, Time now) const
{
    return endpoint.opening < maxConcurrentOpens
        && static_cast<int>(endpoint.connections.size()) < this->connectionLimit(endpoint, now)
        && endpoint.openNotBefore <= now;
}

bool GroupScheduler::hasRoomForTransaction(const EndpointState& endpoint, Time now) const
{
    const int limit = this->connectionLimit(endpoint, now);
    if (limit < minLimitForReserve)
        return true;
    const int reserve = std::max(1, static_cast<int>(limit * singleStatementReserve));
    return endpoint.transactions() < limit - reserve;
}

std::optional<GroupScheduler::Target> GroupScheduler::choosePrimary(const Execution& execution, Time now)
{
    if (!this->primaryUsable(now))
        return std::nullopt;
    auto& endpoint = this->endpoints.at(*this->primaryId);
    if (execution.work.start != TransactionStart::None && !this->hasRoomForTransaction(endpoint, now))
        return std::nullopt;
    if (!endpoint.limit.allows(endpoint.running)
        || this->sourceOf(endpoint, execution.work.workspace, now) == ConnectionSource::None)
        return std::nullopt;
    return Target { &endpoint, true, std::nullopt };
}

std::optional<GroupScheduler::Target> GroupScheduler::chooseEndpoint(const Execution& execution, Time now)
{
    const auto requirement = this->requirementOf(execution.work);
    if (requirement.needsPrimary || execution.needsPrimary())
        return this->choosePrimary(execution, now);
    const bool primaryUsable = this->primaryUsable(now);
    std::optional<Target> best;
    Duration bestCost {};
    for (auto& [id, endpoint] : this->endpoints) {
        const bool asPrimary = primaryUsable && id == *this->primaryId;
        const bool excluded = endpoint.record.draining || endpoint.silent
            || (execution.attempts > 0 && id.value == execution.lastEndpoint && this->endpoints.size() > 1);
        if (excluded || (!asPrimary && !this->mayHaveApplied(endpoint, *requirement.minimumPosition, now)))
            continue;
        if (execution.work.start != TransactionStart::None && !this->hasRoomForTransaction(endpoint, now))
            continue;
        if (!endpoint.limit.allows(endpoint.running))
            continue;
        const auto source = this->sourceOf(endpoint, execution.work.workspace, now);
        if (source == ConnectionSource::None)
            continue;
        auto cost = endpoint.latency * (endpoint.running + 1);
        if (endpoint.record.dataCentre != this->localDataCentre)
            cost += remotePenalty;
        if (asPrimary)
            cost = cost * primaryReadFactor + primaryReadPenalty;
        if (source != ConnectionSource::Idle)
            cost += source == ConnectionSource::Evict ? evictionPenalty : openPenalty;
        if (best && cost >= bestCost)
            continue;
        best = Target { &endpoint, asPrimary, asPrimary ? std::nullopt : requirement.minimumPosition };
        bestCost = cost;
    }
    // Without a suitable replica, a draining or silent primary is used as a last resort.
    return best ? best : this->choosePrimary(execution, now);
}

AdmissionDecision GroupScheduler::admissionOf(const Execution& execution, Time now) const
{
    const auto& work = execution.work;
    const bool needsPrimary = this->requirementOf(work).needsPrimary;
    if (needsPrimary && !this->primaryUsable(now)) {
        const bool overdue = this->suspended ? now - this->suspendedAt > usualReplacementTime
                                             : !this->primaryId && now - this->startedAt >= startupGrace;
        return overdue ? AdmissionDecision::Refused : AdmissionDecision::OnTime;
    }
    QueueLoad load;
    load.ahead = this->queue.countAhead(work, needsPrimary);
    load.aheadIfLate = this->queue.countAhead(work, needsPrimary, true);
    for (const auto& [id, endpoint] : this->endpoints) {
        if (needsPrimary && id != *this->primaryId)
            continue;
        const double concurrency = std::min<double>(endpoint.limit.value(), this->connectionShare);
        load.completionsPerSecond += concurrency / std::max(toSeconds(endpoint.latency), minLatencySeconds);
        load.latency = std::max(load.latency, endpoint.latency);
    }
    load.arrivalsPerSecond = (needsPrimary ? this->primaryArrivals : this->arrivals).perSecond(now);
    const auto admission = decideAdmission(load, work.objective, work.expiresAt - now);
    const auto pause = this->lateAdmissionNotBefore.find(work.workspace);
    const bool paused = pause != this->lateAdmissionNotBefore.end() && now < pause->second;
    return admission == AdmissionDecision::Late && paused ? AdmissionDecision::Refused : admission;
}

EndpointConnection& GroupScheduler::openConnection(EndpointState& endpoint, const WorkspaceId& workspace, Time now)
{
    const auto id = this->hooks.nextConnectionId();
    auto& connection = endpoint.connections[id];
    connection.id = id;
    connection.endpoint = endpoint.record.id;
    connection.workspace = workspace;
    connection.sentAt = now;
    ++endpoint.opening;
    ++this->counts.connectionsOpened;
    this->counts.workspaceConnectionsOpened += workspace.empty() ? 0 : 1;
    this->endpointByConnection[id] = endpoint.record.id;
    this->hooks.open(id, endpoint.record, workspace);
    return connection;
}

StartResult GroupScheduler::tryStart(const ExecutionPtr& execution, Time now)
{
    if (execution->notBefore > now)
        return StartResult::Waiting;
    const auto target = this->chooseEndpoint(*execution, now);
    if (!target) {
        // A transaction may lack a connection where a single statement finds one.
        const bool single = execution->work.start == TransactionStart::None;
        if (!single || !execution->needsPrimary())
            return StartResult::Waiting;
        if (!this->sharesConnections() || !this->primaryHasSlot(now))
            return StartResult::PrimaryFull;
        this->noteConnectionWait(*execution);
        return StartResult::PrimaryFullForWorkspace;
    }
    auto* connection = target->endpoint->findIdle(*execution->work.session, execution->work.workspace);
    if (connection == nullptr) {
        // The statement stays in the queue and starts on the first connection that becomes free.
        if (this->sharesConnections()) {
            this->noteConnectionWait(*execution);
            this->openFor(*execution, *target->endpoint, now);
        } else if (target->endpoint->opening == 0 || target->endpoint->opening < static_cast<int>(this->queue.size()))
            this->openConnection(*target->endpoint, {}, now);
        return StartResult::Waiting;
    }
    this->start(*connection, *target, execution, now);
    return StartResult::Started;
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
        this->queue.offer([&](const ExecutionPtr& execution) { return this->tryStart(execution, now); });
    } while (this->dispatchAgain);
    this->dispatching = false;
}

} // namespace endivetrestle
