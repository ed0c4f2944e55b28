// Periodic work of the scheduler.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Time for which a connection beyond the recent need is kept.
constexpr Duration idleLimit = std::chrono::milliseconds(500);
// Time without any answer after which an endpoint with outstanding statements counts as silent, if that is more than
// silenceMultiple of its usual latency.
constexpr Duration silenceLimit = std::chrono::milliseconds(500);
constexpr int silenceMultiple = 8;
// Age from which a read is sent to a second endpoint as well.
constexpr Duration hedgeDelay = std::chrono::milliseconds(100);
constexpr int hedgeMultiple = 5;
// Time after which an attempt to open a connection is given up.
constexpr Duration openLimit = std::chrono::milliseconds(600);
// Time after which a connection is closed whose answer nobody waits for any more.
constexpr Duration unclaimedLimit = std::chrono::milliseconds(2000);

} // namespace

bool GroupScheduler::isDormant() const
{
    const bool failing = std::any_of(this->endpoints.begin(), this->endpoints.end(),
        [](const auto& entry) { return entry.second.openFailures > 0; });
    return this->warmConnections == 0 && this->connectionOwners.empty() && this->queue.empty() && !failing;
}

void GroupScheduler::tick(Time now)
{
    for (auto& [id, endpoint] : this->endpoints) {
        endpoint.decayLagEstimate();
        this->keepWarm(endpoint, now);
        this->checkSilence(endpoint, now);
        this->hedgeReads(endpoint, now);
    }
    this->dispatch(now);
}

void GroupScheduler::keepWarm(EndpointState& endpoint, Time now)
{
    std::vector<ConnectionId> late;
    for (const auto& [id, connection] : endpoint.connections) {
        const auto age = now - connection.sentAt;
        const bool opening = connection.phase == EndpointConnection::Phase::Opening && age > openLimit;
        const bool ending = connection.phase == EndpointConnection::Phase::Ending && age > unclaimedLimit;
        const bool unclaimed = (connection.control && connection.control->finished)
            || (connection.execution && connection.execution->finished);
        if (opening || ending || (unclaimed && age > unclaimedLimit))
            late.push_back(id);
    }
    for (const auto id : late) {
        this->hooks.close(id);
        this->onClosed(id, now);
    }
    endpoint.decayBusyPeak();
    const int present = static_cast<int>(endpoint.connections.size());
    if (!endpoint.record.draining && present < this->warmConnections && this->canOpen(endpoint, now))
        this->openConnection(endpoint, now);
    // Connections that are not needed are given up, so that other daemons, and daemons that start after a crash whose
    // connections the endpoint still counts, find room under the endpoint's limit.
    const int wanted = std::max(this->warmConnections, endpoint.connectionsWanted());
    if (present <= wanted)
        return;
    for (auto& [id, connection] : endpoint.connections) {
        const bool unused
            = connection.phase == EndpointConnection::Phase::Idle && now - connection.idleSince > idleLimit;
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
    const auto limit = std::max(silenceLimit, endpoint.latency * silenceMultiple);
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
    const auto limit = std::max(hedgeDelay, endpoint.latency * hedgeMultiple);
    for (auto& [id, connection] : endpoint.connections) {
        const auto execution = connection.execution;
        const bool late = execution && !execution->finished && !execution->hedged && !connection.inTransaction
            && now - connection.sentAt > limit;
        if (!late || !execution->work.isRepeatable() || execution->attempts > 1)
            continue;
        const auto target = this->choose(*execution, now);
        if (!target || target->endpoint == &endpoint)
            continue;
        auto* other = target->endpoint->findIdle(*execution->work.session);
        if (other == nullptr)
            continue;
        execution->hedged = true;
        ++this->counts.hedges;
        this->start(*other, *target, execution, now);
    }
}

} // namespace endivetrestle
