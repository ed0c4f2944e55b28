// How the daemon counts operations against the limits of workspaces, together with the other daemons.
#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"

#include <algorithm>
#include <random>

namespace endivetrestle {

namespace {

// Shortest time until the quota's timer runs again.
constexpr Duration shortestTimer = std::chrono::milliseconds(1);

std::uint64_t randomIncarnation()
{
    std::random_device random;
    // 0 means no incarnation in the messages.
    return std::max<std::uint64_t>(1, (static_cast<std::uint64_t>(random()) << 32U) | random());
}

std::string_view decisionName(QuotaDecision decision)
{
    return decision == QuotaDecision::Exceeded ? "quota_exceeded" : "quota_unanswered";
}

} // namespace

void SessionProxy::makeQuota()
{
    QuotaClientHooks hooks;
    hooks.send
        = [this](const DaemonId& daemon, const QuotaRequest& request) { return this->links->send(daemon, request); };
    // A daemon that stops hands its coordination over while it still answers. Two daemons need each other's support, so
    // there it goes on to the end.
    hooks.hasLease = [this](Time now) {
        const bool handsOver = this->stopping && this->alive.size() > 2;
        return !handsOver && this->fleet->leaseValid(now);
    };
    hooks.coordinatorChanged = [this](const QuotaShard& shard, const DaemonId& daemon, const char* reason) {
        const auto decision = this->logLimiter.decide("quota_coordinator", bootNow());
        if (decision.write)
            logEvent(LogLevel::Info, "quota_coordinator",
                { { "coordinator", daemon.value }, { "reason", reason }, { "shard", shard.index },
                    { "shards", shard.count }, { "left_out", decision.suppressed } });
    };
    this->quota = std::make_unique<DaemonQuota>(this->settings.daemon, randomIncarnation(), bootNow(), hooks);
}

OperationGate SessionProxy::makeOperationGate()
{
    OperationGate gate;
    gate.configurationIsRecent = [this](Time now) { return this->configurationIsRecent(now); };
    gate.takeQuota = [this](const WorkspaceId& workspace, Time now, OperationGate::QuotaCallback callback) {
        const auto request = this->quota->take(
            workspace, now, [this, workspace, callback = std::move(callback)](QuotaDecision decision) {
                if (decision != QuotaDecision::Granted)
                    this->logQuotaRefusal(workspace, decision);
                callback(decision);
            });
        this->armQuotaTimer();
        return request;
    };
    gate.cancelQuota = [this](std::uint64_t request) { this->quota->cancel(request); };
    return gate;
}

void SessionProxy::logQuotaRefusal(const WorkspaceId& workspace, QuotaDecision decision)
{
    const auto limited = this->logLimiter.decide("quota_refused", bootNow());
    if (limited.write)
        logEvent(LogLevel::Info, "quota_refused",
            { { "workspace", workspace.value }, { "reason", decisionName(decision) },
                { "coordinator", this->quota->coordinatorOf(workspace).value }, { "left_out", limited.suppressed } });
}

void SessionProxy::configureQuota()
{
    std::vector<Workspace> workspaces;
    for (const auto& [id, workspace] : this->routes->workspaces)
        workspaces.push_back(workspace);
    this->quota->configure(workspaces, this->settings.quotaBounds, bootNow());
    this->armQuotaTimer();
}

// A daemon that does not know the others yet would take itself for the coordinator of the whole fleet.
void SessionProxy::updateQuotaDaemons()
{
    if (!this->othersKnown())
        return;
    std::vector<QuotaDaemon> others;
    for (const auto& lease : this->otherLeases)
        others.push_back({ lease.daemon, lease.rowSinceStoreMs });
    this->quota->setDaemons(others, bootNow());
    this->armQuotaTimer();
}

void SessionProxy::addQuotaHooks(ForwardLinkHooks& hooks)
{
    hooks.quotaRequest = [this](const QuotaRequest& request, Time now) { return this->quota->onRequest(request, now); };
    hooks.quotaGrant = [this](const DaemonId& from, const QuotaGrant& grant, Time now) {
        this->quota->onGrant(from, grant, now);
        this->armQuotaTimer();
    };
}

void SessionProxy::onQuotaLinkLost(const DaemonId& daemon)
{
    this->quota->onUnreachable(daemon, bootNow());
    this->armQuotaTimer();
}

// A timer that is due too early only looks when to run next; most calls do not move it.
void SessionProxy::armQuotaTimer()
{
    const auto due = this->quota->nextDue();
    if (due >= this->quotaTimerDue)
        return;
    if (this->quotaTimer != 0)
        this->timers.cancel(this->quotaTimer);
    this->quotaTimerDue = std::max(due, bootNow() + shortestTimer);
    this->quotaTimer = this->timers.subscribeAt(this->quotaTimerDue, [this](Time now) {
        this->quotaTimer = 0;
        this->quotaTimerDue = Time::max();
        if (now >= this->quota->nextDue())
            this->quota->tick(now);
        this->armQuotaTimer();
    });
}

} // namespace endivetrestle
