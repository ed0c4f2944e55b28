#include "process/quota/daemon_quota.h"

namespace endivetrestle {

DaemonQuota::DaemonQuota(const DaemonId& self, std::uint64_t incarnation, Time startedAt, const QuotaClientHooks& hooks)
    : fleet(self, startedAt)
    , coordinator(this->fleet, incarnation, hooks.hasLease)
    , client(this->fleet, this->coordinator, startedAt, hooks)
{
}

void DaemonQuota::configure(const std::vector<Workspace>& workspaces, const QuotaBounds& bounds, Time now)
{
    auto limits = std::make_shared<QuotaLimits>();
    limits->bounds = bounds;
    std::vector<WorkspaceId> unlimited;
    for (const auto& workspace : workspaces) {
        if (workspace.quota)
            limits->quotas[workspace.id] = *workspace.quota;
        else
            unlimited.push_back(workspace.id);
    }
    this->coordinator.configure(limits, now);
    this->client.configure(limits, std::move(unlimited), now);
}

void DaemonQuota::setDaemons(const std::vector<QuotaDaemon>& others, Time now)
{
    this->coordinator.checkSupport(now);
    this->fleet.update(others, now);
    this->coordinator.checkSupport(now);
    this->client.onFleetChanged(now);
}

std::uint64_t DaemonQuota::take(const WorkspaceId& workspace, Time now, OperationGate::QuotaCallback callback)
{
    return this->client.take(workspace, now, std::move(callback));
}

QuotaGrant DaemonQuota::onRequest(const QuotaRequest& request, Time now)
{
    ++this->requestsServed;
    auto grant = this->coordinator.onRequest(request, now);
    if (!grant.active)
        grant.coordinator = this->client.activeCoordinator(request.shard, now);
    return grant;
}

DaemonId DaemonQuota::coordinatorOf(const WorkspaceId& workspace) const
{
    return this->client.coordinatorOf(workspace);
}

QuotaStatistics DaemonQuota::statistics() const
{
    auto result = this->client.statistics();
    result.requestsServed = this->requestsServed;
    result.waiting = this->client.waitingOperations();
    result.shardsCoordinated = this->coordinator.activeShards();
    return result;
}

} // namespace endivetrestle
