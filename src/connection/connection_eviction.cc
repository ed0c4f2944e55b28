#include "connection/connection_eviction.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace endivetrestle {

namespace {

bool isProtected(const EndpointConnection& connection, bool workspaceWaits, Time now)
{
    return !connection.served && workspaceWaits && now - connection.idleSince < unservedProtection;
}

} // namespace

EndpointConnection* leastNeededConnection(EndpointState& endpoint, const EvictionQuestions& questions, Time now)
{
    std::map<WorkspaceId, std::vector<EndpointConnection*>> idleByWorkspace;
    for (auto& [id, connection] : endpoint.connections) {
        if (connection.phase == EndpointConnection::Phase::Idle)
            idleByWorkspace[connection.workspace].push_back(&connection);
    }
    EndpointConnection* best = nullptr;
    std::tuple<bool, double, Time> bestNeed;
    for (auto& [workspace, idle] : idleByWorkspace) {
        std::stable_sort(idle.begin(), idle.end(),
            [](const auto* left, const auto* right) { return left->idleSince > right->idleSince; });
        const bool waits = questions.waits(workspace);
        const double rate = endpoint.demand.perSecond(workspace, now);
        // Chance that a further statement arrives while one runs.
        const double overlap = std::min(1.0, rate * toSeconds(endpoint.latency));
        double likelihood = rate;
        for (auto* connection : idle) {
            const auto need = std::make_tuple(waits, likelihood, connection->idleSince);
            likelihood *= overlap;
            if (isProtected(*connection, waits, now) || (best != nullptr && need >= bestNeed))
                continue;
            best = connection;
            bestNeed = need;
        }
    }
    return best;
}

} // namespace endivetrestle
