// How the daemon shares the groups with the other daemons and exchanges statements with them.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"

namespace endivetrestle {

std::unique_ptr<StatementForwarder> SessionProxy::makeForwarder(const DatabaseId& id, GroupScheduler& scheduler)
{
    ForwarderHooks hooks;
    hooks.owners = [this](const DatabaseId& group, const ScheduledStatement& work) {
        const auto found = this->groups.find(group);
        if (found == this->groups.end())
            return std::vector<DaemonId> {};
        const auto& placement = found->second.placement;
        const bool canRun = placement.ownedHere && !found->second.scheduler->lacksAccessToPrimary(work, bootNow());
        if (!work.workspace.empty())
            return this->workspaceOwners.targets(group, work.workspace, canRun, bootNow());
        if (canRun)
            return std::vector<DaemonId> {};
        // Where every daemon owns every group, the others are asked only by a daemon that cannot use the primary.
        return placement.owners.empty() ? this->otherDaemons() : placement.owners;
    };
    hooks.send
        = [this](const DaemonId& owner, const ForwardMessage& message) { return this->links->send(owner, message); };
    // Connections and forwarded statements share one sequence, so that their identifiers never meet.
    hooks.nextId = [this] { return ++this->lastConnectionId; };
    hooks.observe = [this, id](const ObservedStatement& statement, const StatementResult& result) {
        this->onOwnerResult(id, statement, result);
    };
    hooks.unreachable = [this, id] { return this->reachability.isUnreachable(id); };
    hooks.doubtful = [this, id] { return this->reachability.isDoubtful(id); };
    hooks.silent = [this](const DaemonId& owner) { return this->reachability.isSilent(owner); };
    return std::make_unique<StatementForwarder>(id, this->timers, scheduler, std::move(hooks));
}

void SessionProxy::onOwnerResult(
    const DatabaseId& group, const ObservedStatement& statement, const StatementResult& result)
{
    const auto now = bootNow();
    const bool overloaded = showsOverload(result, statement.objective, now - statement.submittedAt);
    if (!this->workspaceOwners.report(group, statement.workspace, result.owner, overloaded, now))
        return;
    const auto decision = this->logLimiter.decide("workspace_spread", now);
    if (!decision.write)
        return;
    logEvent(LogLevel::Info, "workspace_spread",
        { { "group", group.value }, { "workspace", statement.workspace.value }, { "overloaded", result.owner.value },
            { "left_out", decision.suppressed } });
}

ForwardLinkHooks SessionProxy::makeLinkHooks()
{
    ForwardLinkHooks hooks;
    hooks.now = [] { return bootNow(); };
    hooks.outcome = [this](const DaemonId& owner, const DatabaseId& group, const ForwardedOutcome& outcome) {
        const auto found = this->groups.find(group);
        if (found != this->groups.end())
            found->second.forwarder->onOutcome(owner, outcome, bootNow());
    };
    hooks.lost = [this](const DaemonId& owner, bool established) {
        for (auto& [id, group] : this->groups)
            group.forwarder->onLinkLost(owner, established, bootNow());
        this->onQuotaLinkLost(owner);
    };
    hooks.runner = [this](const DatabaseId& group) { return this->schedulerOf(group); };
    hooks.accepts = [this](const ForwardedStatement& statement, Time now) {
        const auto* scheduler = this->schedulerOf(statement.group);
        return !this->stopping && scheduler != nullptr && !this->reachability.isUnreachable(statement.group)
            && !scheduler->lacksAccessToPrimary(statement.work, now);
    };
    this->addQuotaHooks(hooks);
    hooks.evidence = [this](const DaemonId& owner, LinkEvidence evidence) { this->onLinkEvidence(owner, evidence); };
    return hooks;
}

// All other live daemons, those of this data centre first.
std::vector<DaemonId> SessionProxy::otherDaemons() const
{
    std::vector<DaemonId> near;
    std::vector<DaemonId> far;
    for (const auto& daemon : this->alive) {
        if (daemon.id != this->settings.daemon)
            (daemon.dataCentre == this->settings.dataCentre ? near : far).push_back(daemon.id);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

StatementRunner* SessionProxy::runnerOf(const DatabaseId& group)
{
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? nullptr : found->second.forwarder.get();
}

std::vector<DaemonId> SessionProxy::otherOwners(const DatabaseId& group) const
{
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? std::vector<DaemonId> {} : found->second.placement.owners;
}

void SessionProxy::onLiveDaemons(const std::vector<LeaseRow>& others)
{
    this->otherLeases = others;
    std::vector<DaemonInfo> daemons;
    std::map<DaemonId, SocketAddress> addresses;
    DaemonInfo self;
    self.id = this->settings.daemon;
    self.dataCentre = this->settings.dataCentre;
    self.capacity = hostCapacity(this->settings.processorShare, this->settings.linkMbps);
    daemons.push_back(self);
    for (const auto& lease : others) {
        DaemonInfo info;
        info.id = lease.daemon;
        info.dataCentre = lease.dataCentre;
        info.capacity = lease.capacity;
        daemons.push_back(info);
        addresses[lease.daemon] = lease.forwardAddress;
    }
    if (daemons.size() != this->alive.size())
        logEvent(LogLevel::Info, "live_daemons", { { "count", daemons.size() } });
    this->alive = std::move(daemons);
    this->links->setDaemons(std::move(addresses));
    this->updatePlacements();
    this->updateQuotaDaemons();
}

// Whether the placements rest on the whole fleet. A daemon that does not know the others yet takes itself for an owner
// of every group; if all of a large fleet opened connections on that ground, the endpoints would be busy with refusing
// them. After a restart the leases of before show the others at once.
bool SessionProxy::othersKnown() const
{
    return this->fleet->peerListComplete() || (!this->settings.firstStart && this->alive.size() > 1);
}

void SessionProxy::updatePlacements()
{
    if (!this->routes || this->alive.empty())
        return;
    const PlacementPolicy policy(this->settings.daemon, this->alive, this->routes->workspacesInUse);
    for (auto& [id, group] : this->groups) {
        const auto declared = this->routes->groups.find(id);
        if (declared != this->routes->groups.end())
            this->updatePlacement(id, group, policy.placementOf(id, declared->second.connectionLimit));
    }
}

void SessionProxy::updatePlacement(const DatabaseId& id, Group& group, const GroupPlacement& placement)
{
    if (placement.ownedHere != group.placement.ownedHere) {
        logEvent(LogLevel::Info, "group_placement",
            { { "group", id.value }, { "owned_here", placement.ownedHere ? 1 : 0 },
                { "other_owners", placement.owners.size() }, { "share", placement.connectionShare } });
    }
    const bool workspacesMoved = this->workspaceOwners.setOwners(id, placement.workspaceOwners);
    const auto firstOf = [](const GroupPlacement& of) {
        return of.ownedHere || of.owners.empty() ? std::string() : of.owners.front().value;
    };
    if (workspacesMoved || firstOf(placement) != firstOf(group.placement)) {
        const auto decision = this->logLimiter.decide("owner_changed", bootNow());
        if (decision.write)
            logEvent(LogLevel::Info, "owner_changed",
                { { "group", id.value }, { "owner", firstOf(placement) }, { "before", firstOf(group.placement) },
                    { "workspace_owners", placement.workspaceOwners.size() }, { "left_out", decision.suppressed } });
    }
    group.placement = placement;
    group.scheduler->setWorkspacesInUse(this->routes->workspacesInUse);
    group.scheduler->setConnectionShare(placement.connectionShare, placement.ownedHere && this->othersKnown());
}

} // namespace endivetrestle
