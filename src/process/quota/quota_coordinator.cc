#include "process/quota/quota_coordinator.h"

#include <algorithm>

namespace endivetrestle {

Duration supportTime(const QuotaShard& shard)
{
    constexpr std::uint32_t largestFactor = 10;
    constexpr Duration time = std::chrono::milliseconds(600);
    return time * static_cast<int>(std::clamp<std::uint32_t>(shard.count, 1, largestFactor));
}

QuotaCoordinator::QuotaCoordinator(
    const QuotaFleet& fleet, std::uint64_t incarnation, std::function<bool(Time)> mayServe)
    : fleet(fleet)
    , incarnation(incarnation)
    , mayServe(std::move(mayServe))
{
}

// A lower limit also lowers what the buckets hold, when they are next refilled. Buckets of workspaces that are not
// declared any more are kept, so that a workspace that is declared again soon does not get a full one.
void QuotaCoordinator::configure(std::shared_ptr<const QuotaLimits> next, Time now)
{
    for (auto& [shard, coordination] : this->coordinations) {
        for (const auto& [workspace, bucket] : std::map(coordination.buckets))
            this->bucketOf(coordination, workspace, now);
    }
    this->limits = std::move(next);
}

// Whether more than half of the daemons support the coordination, and more than half of those that every list contains.
// A daemon with an older list may be active with the support of the latter alone, so young daemons do not replace them.
// Each daemon must count only while it holds a lease, because then every list that was read lately contains it.
bool QuotaCoordinator::hasMajority(const Coordination& coordination, Time now) const
{
    if (!coordination.selfSupport || !this->fleet.known() || !this->mayServe(now))
        return false;
    std::size_t supporters = 1;
    std::size_t settledSupporters = 1;
    for (const auto& [daemon, until] : coordination.supportedUntil) {
        if (now >= until || !this->fleet.contains(daemon))
            continue;
        ++supporters;
        settledSupporters += this->fleet.isSettled(daemon, now) ? 1 : 0;
    }
    auto daemons = this->fleet.size(now).largest;
    if (now < coordination.statedUntil)
        daemons = std::max(daemons, coordination.statedDaemons);
    return 2 * supporters > daemons && 2 * settledSupporters > this->fleet.settledDaemons(now);
}

// Must run before anything that may add support, so that an interruption between two supports is noticed.
bool QuotaCoordinator::check(Coordination& coordination, Time now)
{
    if (!this->hasMajority(coordination, now)) {
        coordination.activeSince.reset();
        coordination.buckets.clear();
        return false;
    }
    if (!coordination.activeSince)
        coordination.activeSince = now;
    return true;
}

void QuotaCoordinator::checkSupport(Time now)
{
    for (auto& [shard, coordination] : this->coordinations)
        this->check(coordination, now);
}

void QuotaCoordinator::supportSelf(const QuotaShard& shard, bool supports, Time now)
{
    auto found = this->coordinations.find(shard);
    if (found == this->coordinations.end()) {
        if (!supports)
            return;
        found = this->coordinations.emplace(shard, Coordination {}).first;
    }
    this->check(found->second, now);
    found->second.selfSupport = supports;
    this->check(found->second, now);
}

void QuotaCoordinator::recordSupport(Coordination& coordination, const QuotaRequest& request, Time now)
{
    const Time stamp { Duration(request.stampUs) };
    // A timestamp of an earlier start may lie in the future if the host's clock began again.
    if (request.incarnation != this->incarnation || stamp > now || !this->fleet.contains(request.daemon))
        return;
    auto& until = coordination.supportedUntil[request.daemon];
    until = std::max(until, stamp + supportTime(request.shard) - supportMargin);
    if (now >= coordination.statedUntil || request.daemons >= coordination.statedDaemons) {
        coordination.statedDaemons = request.daemons;
        coordination.statedUntil = now + supportTime(request.shard);
    }
}

TokenBucket* QuotaCoordinator::bucketOf(Coordination& coordination, const WorkspaceId& workspace, Time now)
{
    const auto quota = this->limits->quotas.find(workspace);
    if (quota == this->limits->quotas.end())
        return nullptr;
    const auto parameters = quotaParameters(quota->second, this->limits->bounds, this->fleet.size(now));
    auto found = coordination.buckets.find(workspace);
    if (found == coordination.buckets.end()) {
        TokenBucket bucket;
        bucket.updatedAt = *coordination.activeSince;
        if (now - *coordination.activeSince > this->limits->bounds.window + tokenValidity)
            bucket.tokens = parameters.capacity;
        found = coordination.buckets.emplace(workspace, bucket).first;
    }
    found->second.refill(parameters.ratePerSecond, parameters.capacity, now);
    return &found->second;
}

QuotaGrant QuotaCoordinator::onRequest(const QuotaRequest& request, Time now)
{
    auto& coordination = this->coordinations[request.shard];
    this->check(coordination, now);
    this->recordSupport(coordination, request, now);
    QuotaGrant grant;
    grant.number = request.number;
    grant.shard = request.shard;
    grant.incarnation = this->incarnation;
    grant.stampUs = now.time_since_epoch().count();
    grant.active = this->check(coordination, now);
    if (!this->mayServe(now))
        grant.incarnation = 0;
    if (!grant.active)
        return grant;
    for (const auto& ask : request.asks) {
        auto* bucket = this->bucketOf(coordination, ask.workspace, now);
        if (bucket == nullptr)
            continue;
        QuotaTokens answer { ask.workspace, bucket->take(ask.waiting), false };
        answer.empty = answer.tokens < ask.waiting;
        // Half of what is left stays for operations that already wait elsewhere.
        answer.tokens += bucket->take(std::min(ask.ahead, static_cast<std::uint32_t>(bucket->tokens / 2)));
        grant.tokens.push_back(std::move(answer));
    }
    return grant;
}

std::optional<unsigned> QuotaCoordinator::take(
    const QuotaShard& shard, const WorkspaceId& workspace, unsigned wanted, Time now)
{
    const auto found = this->coordinations.find(shard);
    if (found == this->coordinations.end() || !this->check(found->second, now))
        return std::nullopt;
    auto* bucket = this->bucketOf(found->second, workspace, now);
    return bucket == nullptr ? 0 : bucket->take(wanted);
}

bool QuotaCoordinator::isActive(const QuotaShard& shard, Time now)
{
    const auto found = this->coordinations.find(shard);
    return found != this->coordinations.end() && this->check(found->second, now);
}

bool QuotaCoordinator::hasSupport(const QuotaShard& shard, Time now) const
{
    const auto found = this->coordinations.find(shard);
    return found != this->coordinations.end() && this->hasMajority(found->second, now);
}

std::size_t QuotaCoordinator::activeShards() const
{
    return static_cast<std::size_t>(std::count_if(this->coordinations.begin(), this->coordinations.end(),
        [](const auto& entry) { return entry.second.activeSince.has_value(); }));
}

} // namespace endivetrestle
