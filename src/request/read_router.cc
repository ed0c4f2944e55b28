#include "request/read_router.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Replica that can serve a read, from when on, and the cost by which replicas are compared.
struct Option {
    const ReadCandidate* candidate = nullptr;
    Time from;
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

// Time from which on the replica has applied what the read needs; Time::max() if it cannot be told.
Time servesFrom(const ReadCandidate& candidate, const ReadNeed& need, const ReadRouterSettings& settings, Time now)
{
    if (candidate.applied >= need.required)
        return now;
    return candidate.predictedApply ? std::max(now, *candidate.predictedApply) + settings.waitMargin : Time::max();
}

double endpointCost(const ReadCandidate& candidate, const ReadRouterSettings& settings)
{
    const double load = static_cast<double>(candidate.busy + candidate.queued) / std::max(candidate.slots, 1);
    return static_cast<double>(candidate.latency.count()) * (1 + settings.busyWeight * load) * settings.loadWeight;
}

double replicaCost(const ReadCandidate& candidate, Time from, const ReadRouterSettings& settings, Time now)
{
    const double wait = static_cast<double>((from - now).count()) * settings.waitWeight;
    const double lag = static_cast<double>(candidate.lag.count()) * settings.lagWeight;
    return wait + lag + endpointCost(candidate, settings);
}

ReadChoice toChoice(const Option& option, Time now, std::string_view reasonNow, std::string_view reasonLater)
{
    if (option.from <= now)
        return { ReadChoiceKind::Replica, option.candidate->endpoint, now, reasonNow };
    return { ReadChoiceKind::WaitFor, option.candidate->endpoint, option.from, reasonLater };
}

ReadChoice atPrimary(const ReadCandidate& primary, Time now, std::string_view reason)
{
    return { ReadChoiceKind::Primary, primary.endpoint, now, reason };
}

ReadChoice none(Time now, std::string_view reason) { return { ReadChoiceKind::NoneAvailable, {}, now, reason }; }

// Cheapest replica that can serve the read by the given time.
std::optional<Option> cheapestReplica(const ReadNeed& need, const Candidates& candidates,
    const ReadRouterSettings& settings, Time now, Time latest, bool ejected)
{
    std::optional<Option> best;
    for (const auto& candidate : candidates) {
        if (!isUsableReplica(candidate) || candidate.ejected != ejected)
            continue;
        const Time from = servesFrom(candidate, need, settings, now);
        if (from > latest || from == Time::max())
            continue;
        const double cost = replicaCost(candidate, from, settings, now);
        if (!best || cost < best->cost)
            best = Option { &candidate, from, cost };
    }
    return best;
}

ReadChoice chooseByWeight(
    const ReadNeed& need, const Candidates& candidates, const ReadRouterSettings& settings, Time now)
{
    const ReadCandidate* primary = findPrimary(candidates);
    if (need.requiresPrimary)
        return primary ? atPrimary(*primary, now, "primary_required") : none(now, "no_primary");
    const Time latest = std::max(now, std::min(need.deadline, now + settings.replicaWait));
    if (const auto replica = cheapestReplica(need, candidates, settings, now, latest, false)) {
        const double penalty = static_cast<double>(settings.primaryPenalty.count());
        const bool primaryCheaper
            = primary && !primary->leaving && endpointCost(*primary, settings) + penalty < replica->cost;
        if (primaryCheaper)
            return atPrimary(*primary, now, "primary_cheaper");
        return toChoice(*replica, now, "replica_current", "replica_expected");
    }
    if (primary)
        return atPrimary(*primary, now, "no_replica_in_time");
    if (const auto replica = cheapestReplica(need, candidates, settings, now, now, true))
        return toChoice(*replica, now, "ejected_only", "ejected_only");
    if (const auto replica = cheapestReplica(need, candidates, settings, now, need.deadline, false))
        return toChoice(*replica, now, "replica_late", "replica_late");
    return none(now, "no_endpoint");
}

} // namespace

ReadPolicy weightedReadPolicy(ReadRouterSettings settings)
{
    return [settings](const ReadNeed& need, const Candidates& candidates, Time now) {
        return chooseByWeight(need, candidates, settings, now);
    };
}

ReadPolicy primaryOnlyReadPolicy()
{
    return [](const ReadNeed&, const Candidates& candidates, Time now) {
        const ReadCandidate* primary = findPrimary(candidates);
        return primary ? atPrimary(*primary, now, "policy") : none(now, "no_primary");
    };
}

ReadPolicy randomReplicaReadPolicy(ReadRouterSettings settings, std::function<std::uint64_t()> random)
{
    return [settings, random = std::move(random)](const ReadNeed& need, const Candidates& candidates, Time now) {
        std::vector<const ReadCandidate*> replicas;
        for (const auto& candidate : candidates)
            if (isUsableReplica(candidate) && !need.requiresPrimary)
                replicas.push_back(&candidate);
        if (!replicas.empty()) {
            const ReadCandidate* replica = replicas[random() % replicas.size()];
            const Time from = servesFrom(*replica, need, settings, now);
            if (from <= std::max(now, std::min(need.deadline, now + settings.replicaWait)))
                return toChoice({ replica, from, 0 }, now, "policy", "policy");
        }
        const ReadCandidate* primary = findPrimary(candidates);
        return primary ? atPrimary(*primary, now, "policy") : none(now, "no_primary");
    };
}

Position requiredPosition(const Position& session, const std::optional<Position>& forAge)
{
    return forAge ? std::max(session, *forAge) : session;
}

} // namespace endivetrestle
