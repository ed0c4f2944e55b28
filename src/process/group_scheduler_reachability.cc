// GroupScheduler: what it shows and does when this daemon may not reach the endpoints.
#include "process/group_scheduler.h"

namespace endivetrestle {

void GroupScheduler::refuseUnsent()
{
    for (const auto& execution : this->queue.waitingStatements()) {
        if (execution->finished || execution->firstSentAt)
            continue;
        this->queue.remove(execution);
        ++this->counts.refusedUnreachable;
        this->refuse(execution, ReplyCode::Busy, "the group cannot be reached from this daemon; connect elsewhere",
            "unreachable");
    }
}

bool GroupScheduler::openTestConnection(const EndpointId& id, Time now)
{
    auto* endpoint = this->findEndpoint(id);
    if (endpoint == nullptr)
        return false;
    if (endpoint->opening == 0)
        this->openConnection(*endpoint, {}, now);
    return true;
}

std::vector<EndpointId> GroupScheduler::endpointIds() const
{
    std::vector<EndpointId> result;
    for (const auto& [id, endpoint] : this->endpoints)
        result.push_back(id);
    return result;
}

std::vector<EndpointId> GroupScheduler::awaitedEndpoints() const
{
    std::vector<EndpointId> result;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint.oldestOutstanding())
            result.push_back(id);
    }
    return result;
}

EndpointId GroupScheduler::endpointOf(ConnectionId connection) const
{
    const auto found = this->endpointByConnection.find(connection);
    return found == this->endpointByConnection.end() ? EndpointId() : found->second;
}

} // namespace endivetrestle
