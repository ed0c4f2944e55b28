#include "request/read_router.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Replica that can serve a read, the time from which it can, and the cost used to compare replicas.
struct ReplicaOption {
    const ReadCandidate* candidate = nullptr;
    Time availableAt;
    double cost = 0;
};

using Candidates = std::vector<ReadCandidate>;

bool isUsableReplica(const ReadCandidate& candidate)
{
    return !candidate.primary && !candidate.leaving && !candidate.suspected;
}

const ReadCandidate* findPrimary(const Candidates& candidates)
{
    const auto primary = std::find_if(candidates.begin(), candidates.end(),
        [](const ReadCandidate& candidate) { return candidate.primary && !candidate.suspected; });
    return primary == candidates.end() ? nullptr : &*primary;
}

// Time from which the replica has applied the required position; Time::max() if it cannot be predicted.
Time availableFrom(
    const ReadCandidate& candidate, const ReadRequirements& requirements, const ReadRouterSettings& settings, Time now)
{
    if (candidate.applied >= requirements.required)
        return now;
    return candidate.predictedApply ? std::max(now, *candidate.predictedApply) + settings.waitMargin : Time::max();
}

double endpointCost(const ReadCandidate& candidate, const ReadRouterSettings& settings)
{
    const double load = static_cast<double>(candidate.busy + candidate.queued) / std::max(candidate.slots, 1);
    return static_cast<double>(candidate.latency.count()) * (1 + settings.busyWeight * load) * settings.loadWeight;
}

double replicaCost(const ReadCandidate& candidate, Time availableAt, const ReadRouterSettings& settings, Time now)
{
    const double wait = static_cast<double>((availableAt - now).count()) * settings.waitWeight;
    const double lag = static_cast<double>(candidate.lag.count()) * settings.lagWeight;
    return wait + lag + endpointCost(candidate, settings);
}

ReadChoice replicaChoice(
    const ReplicaOption& replica, Time now, std::string_view reasonNow, std::string_view reasonLater)
{
    if (replica.availableAt <= now)
        return { ReadChoiceKind::Replica, replica.candidate->endpoint, now, reasonNow };
    return { ReadChoiceKind::WaitFor, replica.candidate->endpoint, replica.availableAt, reasonLater };
}

ReadChoice primaryChoice(const ReadCandidate& primary, Time now, std::string_view reason)
{
    return { ReadChoiceKind::Primary, primary.endpoint, now, reason };
}

ReadChoice noEndpointChoice(Time now, std::string_view reason)
{
    return { ReadChoiceKind::NoneAvailable, {}, now, reason };
}

// Cheapest replica that can serve the read by the given time.
std::optional<ReplicaOption> cheapestReplica(const ReadRequirements& requirements, const Candidates& candidates,
    const ReadRouterSettings& settings, Time now, Time latest, bool ejected)
{
    std::optional<ReplicaOption> best;
    for (const auto& candidate : candidates) {
        if (!isUsableReplica(candidate) || candidate.ejected != ejected)
            continue;
        const Time availableAt = availableFrom(candidate, requirements, settings, now);
        if (availableAt > latest || availableAt == Time::max())
            continue;
        const double cost = replicaCost(candidate, availableAt, settings, now);
        if (!best || cost < best->cost)
            best = ReplicaOption { &candidate, availableAt, cost };
    }
    return best;
}

ReadChoice chooseByWeight(
    const ReadRequirements& requirements, const Candidates& candidates, const ReadRouterSettings& settings, Time now)
{
    const ReadCandidate* primary = findPrimary(candidates);
    if (requirements.requiresPrimary)
        return primary ? primaryChoice(*primary, now, "primary_required") : noEndpointChoice(now, "no_primary");
    const Time latest = std::max(now, std::min(requirements.deadline, now + settings.replicaWait));
    if (const auto replica = cheapestReplica(requirements, candidates, settings, now, latest, false)) {
        const double penalty = static_cast<double>(settings.primaryPenalty.count());
        const bool primaryCheaper
            = primary && !primary->leaving && endpointCost(*primary, settings) + penalty < replica->cost;
        if (primaryCheaper)
            return primaryChoice(*primary, now, "primary_cheaper");
        return replicaChoice(*replica, now, "replica_current", "replica_expected");
    }
    if (primary)
        return primaryChoice(*primary, now, "no_replica_in_time");
    if (const auto replica = cheapestReplica(requirements, candidates, settings, now, now, true))
        return replicaChoice(*replica, now, "ejected_only", "ejected_only");
    if (const auto replica = cheapestReplica(requirements, candidates, settings, now, requirements.deadline, false))
        return replicaChoice(*replica, now, "replica_late", "replica_late");
    return noEndpointChoice(now, "no_endpoint");
}

} // namespace

ReadPolicy weightedReadPolicy(ReadRouterSettings settings)
{
    return [settings](const ReadRequirements& requirements, const Candidates& candidates, Time now) {
        return chooseByWeight(requirements, candidates, settings, now);
    };
}

ReadPolicy primaryOnlyReadPolicy()
{
    return [](const ReadRequirements&, const Candidates& candidates, Time now) {
        const ReadCandidate* primary = findPrimary(candidates);
        return primary ? primaryChoice(*primary, now, "policy") : noEndpointChoice(now, "no_primary");
    };
}

ReadPolicy randomReplicaReadPolicy(ReadRouterSettings settings, std::function<std::uint64_t()> random)
{
    return [settings, random = std::move(random)](
               const ReadRequirements& requirements, const Candidates& candidates, Time now) {
        std::vector<const ReadCandidate*> replicas;
        for (const auto& candidate : candidates)
            if (isUsableReplica(candidate) && !requirements.requiresPrimary)
                replicas.push_back(&candidate);
        if (!replicas.empty()) {
            const ReadCandidate* replica = replicas[random() % replicas.size()];
            const Time availableAt = availableFrom(*replica, requirements, settings, now);
            if (availableAt <= std::max(now, std::min(requirements.deadline, now + settings.replicaWait)))
                return replicaChoice({ replica, availableAt, 0 }, now, "policy", "policy");
        }
        const ReadCandidate* primary = findPrimary(candidates);
        return primary ? primaryChoice(*primary, now, "policy") : noEndpointChoice(now, "no_primary");
    };
}

Position requiredPosition(const Position& session, const std::optional<Position>& positionForAge)
{
    return positionForAge ? std::max(session, *positionForAge) : session;
}

} // namespace endivetrestle
