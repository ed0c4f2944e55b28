// GroupScheduler: periodic work.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Time after which an idle connection that recent load does not justify is closed.
constexpr Duration idleTimeout = std::chrono::milliseconds(500);
// An endpoint with outstanding statements counts as silent if it has not answered for this time and for
// silenceLatencyFactor times its usual latency.
constexpr Duration silenceTimeout = std::chrono::milliseconds(500);
constexpr int silenceLatencyFactor = 8;
// A read is also sent to a second endpoint if it has been unanswered for this time and for hedgeLatencyFactor times the
// usual latency of the first.
constexpr Duration hedgeDelay = std::chrono::milliseconds(100);
constexpr int hedgeLatencyFactor = 5;
// Time after which an attempt to open a connection is abandoned.
constexpr Duration openTimeout = std::chrono::milliseconds(600);
// Time after which a connection is closed if its outstanding answer is no longer needed.
constexpr Duration unneededAnswerTimeout = std::chrono::milliseconds(2000);

} // namespace

bool GroupScheduler::isIdle() const
{
    const bool failing = std::any_of(this->endpoints.begin(), this->endpoints.end(),
        [](const auto& entry) { return entry.second.openFailures > 0; });
    return this->warmConnections() == 0 && this->endpointByConnection.empty() && this->queue.empty()
        && this->heldCommits.empty() && !failing;
}

void GroupScheduler::tick(Time now)
{
    this->releaseCommits(now);
    for (auto& [id, endpoint] : this->endpoints) {
        endpoint.decayLagEstimate();
        this->maintainConnections(endpoint, now);
        this->checkSilence(endpoint, now);
        this->hedgeReads(endpoint, now);
    }
    this->dispatch(now);
}

void GroupScheduler::maintainConnections(EndpointState& endpoint, Time now)
{
    std::vector<ConnectionId> timedOut;
    for (const auto& [id, connection] : endpoint.connections) {
        const auto age = now - connection.sentAt;
        const bool opening = connection.phase == EndpointConnection::Phase::Opening && age > openTimeout;
        const bool ending = connection.phase == EndpointConnection::Phase::Ending && age > unneededAnswerTimeout;
        const bool unneeded = (connection.control && connection.control->finished)
            || (connection.execution && connection.execution->finished);
        if (opening || ending || (unneeded && age > unneededAnswerTimeout))
            timedOut.push_back(id);
    }
    for (const auto id : timedOut) {
        this->hooks.close(id);
        this->onClosed(id, now);
    }
    endpoint.decayBusyPeak();
    const int present = static_cast<int>(endpoint.connections.size());
    if (!endpoint.record.draining && present < this->warmConnections() && this->canOpen(endpoint, now))
        this->openConnection(endpoint, {}, now);
    if (this->sharesConnections())
        this->closeUnneededConnections(endpoint, now);
    // Surplus connections are closed to leave room under the endpoint's connection limit for other daemons, and for
    // daemons that restart after a crash while the endpoint still counts their lost connections.
    const int wanted = std::max(this->warmConnections(), endpoint.connectionsWanted());
    if (static_cast<int>(endpoint.connections.size()) <= wanted)
        return;
    for (auto& [id, connection] : endpoint.connections) {
        const bool unused = connection.phase == EndpointConnection::Phase::Idle && connection.workspace.empty()
            && now - connection.idleSince > idleTimeout;
        if (unused) {
            this->closeConnection(connection);
            return;
        }
    }
}

void GroupScheduler::checkSilence(EndpointState& endpoint, Time now)
{
    const auto oldest = endpoint.oldestOutstanding();
    if (!oldest)
        return;
    const auto limit = std::max(silenceTimeout, endpoint.latency * silenceLatencyFactor);
    const auto quietSince = std::max(*oldest, endpoint.lastAnswerAt);
    const bool silent = now - quietSince > limit;
    if (silent && !endpoint.silent) {
        logEvent(LogLevel::Warning, "endpoint_silent",
            { { "group", this->group.value }, { "endpoint", endpoint.record.id.value },
                { "silent_ms", toMilliseconds(now - quietSince) } });
    }
    endpoint.silent = silent;
}

void GroupScheduler::hedgeReads(EndpointState& endpoint, Time now)
{
    const auto limit = std::max(hedgeDelay, endpoint.latency * hedgeLatencyFactor);
    for (auto& [id, connection] : endpoint.connections) {
        const auto execution = connection.execution;
        const bool late = execution && !execution->finished && !execution->hedged && !connection.inTransaction
            && now - connection.sentAt > limit;
        if (!late || !execution->work.isRepeatable() || execution->attempts > 1)
            continue;
        const auto target = this->chooseEndpoint(*execution, now);
        if (!target || target->endpoint == &endpoint)
            continue;
        auto* other = target->endpoint->findIdle(*execution->work.session, execution->work.workspace);
        if (other == nullptr)
            continue;
        execution->hedged = true;
        ++this->counts.hedgedReads;
        this->start(*other, *target, execution, now);
    }
}

} // namespace endivetrestle
