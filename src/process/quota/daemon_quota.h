#pragma once

#include "process/quota/quota_client.h"
#include "process/quota/quota_coordinator.h"
#include "process/quota/quota_fleet.h"
#include "version/workspace.h"

#include <memory>
#include <vector>

namespace endivetrestle {

// The quotas of workspaces on one daemon: the client that takes tokens, and the coordinator that this daemon may be.
//
// Example:
//     DaemonQuota quota(self, incarnation, bootNow(), hooks);
//     quota.setDaemons(others, now);
//     quota.configure(workspaces, bounds, now);
//     quota.take(workspace, now, [](QuotaDecision decision) { ... });
class DaemonQuota {
public:
    DaemonQuota(const DaemonId& self, std::uint64_t incarnation, Time startedAt, const QuotaClientHooks& hooks);
    DaemonQuota(const DaemonQuota&) = delete;
    DaemonQuota& operator=(const DaemonQuota&) = delete;

    void configure(const std::vector<Workspace>& workspaces, const QuotaBounds& bounds, Time now);
    // Replaces the list of the other daemons that hold a lease.
    void setDaemons(const std::vector<QuotaDaemon>& others, Time now);

    // See OperationGate.
    std::uint64_t take(const WorkspaceId& workspace, Time now, OperationGate::QuotaCallback callback);
    void cancel(std::uint64_t request) { this->client.cancel(request); }

    // Answers the request of another daemon.
    QuotaGrant onRequest(const QuotaRequest& request, Time now);
    void onGrant(const DaemonId& from, const QuotaGrant& grant, Time now) { this->client.onGrant(from, grant, now); }
    void onUnreachable(const DaemonId& daemon, Time now) { this->client.onUnreachable(daemon, now); }
    void tick(Time now) { this->client.tick(now); }
    // Time at which tick() must run next; Time::max() while no workspace has a limit.
    [[nodiscard]] Time nextDue() const { return this->client.nextDue(); }

    // Whether this daemon may grant tokens of the shard.
    [[nodiscard]] bool hasSupport(const QuotaShard& shard, Time now) const
    {
        return this->coordinator.hasSupport(shard, now);
    }
    [[nodiscard]] DaemonId coordinatorOf(const WorkspaceId& workspace) const;
    [[nodiscard]] QuotaStatistics statistics() const;

private:
    QuotaFleet fleet;
    QuotaCoordinator coordinator;
    QuotaClient client;
    std::uint64_t requestsServed = 0;
};

} // namespace endivetrestle
