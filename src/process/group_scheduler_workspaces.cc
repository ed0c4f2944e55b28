// GroupScheduler: connections that belong to a workspace, and which of them are closed for others.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Typical time to open a connection. A statement waits that long for a connection in use rather than open another.
constexpr Duration openTime = std::chrono::milliseconds(15);
// Number of waiting statements that a connection in use can serve within openTime, at most.
constexpr std::int64_t maxServedWhileOpening = 4;
// An attempt to open a connection to another endpoint that takes longer no longer counts for the statements that wait,
// so that an endpoint which does not answer holds up none of them.
constexpr Duration slowOpen = std::chrono::milliseconds(40);
// Time after which an idle connection of a workspace is closed.
constexpr Duration workspaceIdleTimeout = std::chrono::seconds(10);
// The same while this daemon holds more connections than its share, or has none.
constexpr Duration surplusIdleTimeout = std::chrono::milliseconds(500);

} // namespace

// How a statement of the workspace gets a connection to the endpoint now. A connection beyond the share is opened only
// if all others are in use.
GroupScheduler::ConnectionSource GroupScheduler::sourceOf(
    EndpointState& endpoint, const WorkspaceId& workspace, Time now) const
{
    if (endpoint.hasIdle(workspace))
        return ConnectionSource::Idle;
    if (!this->canOpen(endpoint, now) && !this->sharesConnections())
        return ConnectionSource::None;
    if (!this->sharesConnections())
        return ConnectionSource::Open;
    if (endpoint.opening >= maxConcurrentOpens || endpoint.openNotBefore > now)
        return ConnectionSource::None;
    if (static_cast<int>(endpoint.connections.size()) < this->connectionShare)
        return ConnectionSource::Open;
    if (this->evictionCandidate(endpoint, now) != nullptr)
        return ConnectionSource::Evict;
    return this->canOpen(endpoint, now) ? ConnectionSource::Open : ConnectionSource::None;
}

EndpointConnection* GroupScheduler::evictionCandidate(EndpointState& endpoint, Time now) const
{
    const EvictionQuestions questions {
        [this](const WorkspaceId& workspace) { return this->queue.waitingOf(workspace) > 0; },
    };
    return leastNeededConnection(endpoint, questions, now);
}

// Connections of the workspace that are being opened: all at the endpoint, and those at other endpoints that will
// probably open soon.
std::size_t GroupScheduler::opensInProgress(const EndpointState& endpoint, const WorkspaceId& workspace, Time now) const
{
    auto result = static_cast<std::size_t>(endpoint.openingFor(workspace));
    for (const auto& [id, other] : this->endpoints) {
        if (&other == &endpoint || other.opening == 0)
            continue;
        for (const auto& [connectionId, connection] : other.connections) {
            const bool opening = connection.phase == EndpointConnection::Phase::Opening
                && connection.workspace == workspace && now - connection.sentAt < slowOpen;
            result += opening ? 1 : 0;
        }
    }
    return result;
}

// Number of waiting statements that connections of the workspace in use will serve before another one could be opened.
std::size_t GroupScheduler::freeSoon(const EndpointState& endpoint, const WorkspaceId& workspace, Time now)
{
    const auto each
        = std::clamp<std::int64_t>(openTime / std::max(endpoint.latency, Duration(1)), 1, maxServedWhileOpening);
    std::int64_t result = 0;
    for (const auto& [id, connection] : endpoint.connections) {
        const bool runsSingleStatement = connection.phase == EndpointConnection::Phase::Running && connection.execution
            && !connection.inTransaction && connection.execution->work.start == TransactionStart::None;
        if (runsSingleStatement && connection.workspace == workspace && now - connection.sentAt < openTime)
            result += each;
    }
    return static_cast<std::size_t>(result);
}

bool GroupScheduler::primaryHasSlot(Time now) const
{
    if (!this->primaryUsable(now))
        return false;
    const auto& endpoint = this->endpoints.at(*this->primaryId);
    return endpoint.limit.allows(endpoint.running);
}

// Opens a connection for a queued statement, unless those that are being opened or become free soon are enough for all
// statements of its workspace.
void GroupScheduler::openFor(const Execution& execution, EndpointState& endpoint, Time now)
{
    const auto& workspace = execution.work.workspace;
    const auto waiting = this->queue.waitingOf(workspace);
    // A statement that only the primary can run cannot start on a connection to another endpoint.
    const auto opening = execution.needsPrimary() ? static_cast<std::size_t>(endpoint.openingFor(workspace))
                                                  : this->opensInProgress(endpoint, workspace, now);
    if (opening >= waiting)
        return;
    if (opening + freeSoon(endpoint, workspace, now) >= waiting) {
        this->dispatchLater(now + openTime);
        return;
    }
    auto* evicted = static_cast<int>(endpoint.connections.size()) < this->connectionShare
        ? nullptr
        : this->evictionCandidate(endpoint, now);
    if (evicted != nullptr)
        this->evict(*evicted, workspace, now);
    this->openConnection(endpoint, workspace, now).replacesEvicted = evicted != nullptr;
}

void GroupScheduler::evict(EndpointConnection& connection, const WorkspaceId& beneficiary, Time now)
{
    ++this->counts.evictions;
    if (const auto decision = this->logLimiter.decide("connection_evicted", now); decision.write) {
        logEvent(LogLevel::Info, "connection_evicted",
            { { "group", this->group.value }, { "endpoint", connection.endpoint.value },
                { "workspace", connection.workspace.value }, { "for_workspace", beneficiary.value },
                { "idle_ms", toMilliseconds(now - connection.idleSince) }, { "left_out", decision.suppressed } });
    }
    this->closeConnection(connection);
}

void GroupScheduler::pauseLateAdmission(const WorkspaceId& workspace, Time now)
{
    std::erase_if(this->lateAdmissionNotBefore, [&](const auto& entry) { return entry.second <= now; });
    this->lateAdmissionNotBefore[workspace] = now + lateAdmissionPause;
}

// Charges the workspace of a statement that starts for the slot time that it is expected to take.
void GroupScheduler::chargeStart(
    EndpointConnection& connection, const Execution& execution, Duration expected, Time now)
{
    const auto& workspace = execution.work.workspace;
    this->endpoints.at(connection.endpoint).demand.add(workspace, now);
    connection.startedAt = now;
    connection.chargedSlotTime = expected;
    auto& fairness = this->queue.fairness();
    // A statement of an open transaction has waited for nobody.
    if (connection.inTransaction) {
        fairness.charge(workspace, expected);
        return;
    }
    if (this->queue.empty())
        fairness.onNoneWaiting();
    fairness.onStarted(workspace, expected);
}

// Corrects the charge of a statement that was answered to the slot time that it took.
void GroupScheduler::chargeEnd(const EndpointConnection& connection, const Execution& execution, Time now)
{
    if (this->sharesConnections())
        this->queue.fairness().charge(
            execution.work.workspace, now - connection.startedAt - connection.chargedSlotTime);
}

// Logs why a statement was refused on arrival, where workspaces share the endpoints.
void GroupScheduler::logRefusal(const Execution& execution, Time now)
{
    const auto decision
        = this->sharesConnections() ? this->logLimiter.decide("statement_not_admitted", now) : LogLimiter::Decision {};
    if (!decision.write)
        return;
    const auto& work = execution.work;
    const bool needsPrimary = this->requirementOf(work).needsPrimary;
    logEvent(LogLevel::Info, "statement_not_admitted",
        { { "group", this->group.value }, { "workspace", work.workspace.value }, { "request", work.statement.id },
            { "waiting_of_workspace", this->queue.waitingOf(work.workspace) }, { "waiting", this->queue.size() },
            { "ahead", this->queue.countAhead(work, needsPrimary) }, { "left_out", decision.suppressed } });
}

void GroupScheduler::noteConnectionWait(Execution& execution)
{
    if (!std::exchange(execution.waitedForConnection, true))
        ++this->counts.connectionWaits;
}

// Runs a pass over the waiting statements at the given time, for a decision that depends on it alone.
void GroupScheduler::dispatchLater(Time at)
{
    if (this->dispatchDue && *this->dispatchDue <= at)
        return;
    this->dispatchDue = at;
    this->timers.subscribeAt(at, [this, alive = this->alive](Time now) {
        if (!*alive)
            return;
        this->dispatchDue.reset();
        this->dispatch(now);
    });
}

// Closes idle connections where workspaces share the endpoint. They are kept while this daemon is inside its share,
// because a workspace that returns would have to open another.
void GroupScheduler::closeUnneededConnections(EndpointState& endpoint, Time now)
{
    endpoint.demand.prune(now);
    std::vector<ConnectionId> unneeded;
    for (const auto& [id, connection] : endpoint.connections) {
        if (connection.phase == EndpointConnection::Phase::Idle && now - connection.idleSince > workspaceIdleTimeout)
            unneeded.push_back(id);
    }
    for (const auto id : unneeded)
        this->closeConnection(endpoint.connections.at(id));
    const bool insideShare = this->keepWarm && !endpoint.record.draining
        && static_cast<int>(endpoint.connections.size()) <= this->connectionShare;
    if (insideShare)
        return;
    auto* surplus = this->evictionCandidate(endpoint, now);
    if (surplus != nullptr && now - surplus->idleSince > surplusIdleTimeout)
        this->closeConnection(*surplus);
}

} // namespace endivetrestle
