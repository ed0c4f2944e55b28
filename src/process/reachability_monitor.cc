#include "process/reachability_monitor.h"

#include "base/log.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace endivetrestle {

ReachabilityMonitor::ReachabilityMonitor(ReachabilityHooks hooks)
    : hooks(std::move(hooks))
{
}

void ReachabilityMonitor::setGroups(std::set<DatabaseId> listed)
{
    this->groups = std::move(listed);
    const auto gone = [this](const auto& entry) { return this->groups.count(entry.first) == 0; };
    std::erase_if(this->unreachable, gone);
    std::erase_if(this->doubtfulSince, gone);
}

std::vector<ReachPath> ReachabilityMonitor::reachPaths(const GroupPaths& paths)
{
    std::vector<ReachPath> result;
    for (const auto& owner : paths.owners)
        result.push_back(ReachPath::owner(owner));
    for (const auto& endpoint : paths.endpoints)
        result.push_back(ReachPath::endpoint(endpoint));
    return result;
}

void ReachabilityMonitor::onEndpointSent(const DatabaseId& group, const EndpointId& endpoint, Time now)
{
    this->active.insert(group);
    this->reach.onSent(ReachPath::endpoint(endpoint), now);
}

void ReachabilityMonitor::onStoreCall(bool answered, Time now)
{
    if (!answered && this->storeAnswers)
        this->evidenceWantedSince = now;
    this->storeAnswers = answered;
}

// If this daemon served nothing, one answer shows that the network is back, and silence from before says no more about
// the other paths.
void ReachabilityMonitor::onAnswer(const ReachPath& path, Time now)
{
    const bool wasSilent = this->reach.isSilent(path);
    const bool servedNothing = wasSilent && this->servesNothing();
    this->reach.onAnswer(path, now);
    if (!wasSilent)
        return;
    const auto decision = this->logLimiter.decide("path_answers_again", now);
    if (decision.write)
        logEvent(LogLevel::Info, "path_answers_again",
            { { "kind", path.kind == ReachPath::Kind::Owner ? "owner" : "endpoint" }, { "id", path.id },
                { "left_out", decision.suppressed } });
    if (this->unreachable.empty())
        return;
    if (servedNothing)
        this->reach.forgetSilence();
    std::vector<DatabaseId> ended;
    for (const auto& [group, since] : this->unreachable) {
        if (this->reach.judge(reachPaths(this->hooks.paths(group))) == GroupReach::Reachable)
            ended.push_back(group);
    }
    for (const auto& group : ended)
        this->leave(group, path.id, now);
}

// Endpoints that have answered one statement may still owe the answer to another.
void ReachabilityMonitor::readEndpoints(Time now)
{
    for (auto entry = this->active.begin(); entry != this->active.end();) {
        const auto awaited = this->hooks.awaitedEndpoints(*entry);
        for (const auto& endpoint : awaited)
            this->reach.onSent(ReachPath::endpoint(endpoint), now);
        for (const auto& endpoint : this->hooks.paths(*entry).endpoints) {
            if (std::find(awaited.begin(), awaited.end(), endpoint) == awaited.end())
                this->reach.onSettled(ReachPath::endpoint(endpoint), now);
        }
        entry = awaited.empty() ? this->active.erase(entry) : std::next(entry);
    }
}

void ReachabilityMonitor::tick(Time now)
{
    this->testsLeft = maxTestsPerTick;
    this->readEndpoints(now);
    const auto silent = this->reach.evaluate(now);
    for (const auto& path : silent)
        this->recordSilence(path, now);
    for (const auto& path : this->reach.ownersToProbe())
        this->hooks.testOwner(DaemonId(path.id), now);
    const bool calm = !this->reach.anyDoubt() && !this->evidenceWantedSince && this->doubtfulSince.empty();
    if (!calm || !this->unreachable.empty()) {
        this->judgeGroups(now);
        this->testSilent(now);
    }
    // After the judgement, so that statements of silent owners are not sent over paths that have just become silent.
    for (const auto& path : silent) {
        if (path.kind == ReachPath::Kind::Owner)
            this->hooks.ownerSilent(DaemonId(path.id), now);
    }
}

void ReachabilityMonitor::recordSilence(const ReachPath& path, Time now)
{
    const bool owner = path.kind == ReachPath::Kind::Owner;
    ++(owner ? this->counts.silentOwners : this->counts.silentEndpoints);
    const auto decision = this->logLimiter.decide("path_silent", now);
    if (decision.write)
        logEvent(LogLevel::Warning, "path_silent",
            { { "kind", owner ? "owner" : "endpoint" }, { "id", path.id }, { "left_out", decision.suppressed } });
}

Duration ReachabilityMonitor::tickInterval() const
{
    return this->reach.awaitsAnswer() || !this->unreachable.empty() ? busyInterval : idleInterval;
}

void ReachabilityMonitor::judgeGroups(Time now)
{
    // A callback may change the groups.
    std::vector<DatabaseId> chosen;
    auto entry = this->groups.lower_bound(this->nextGroup);
    for (std::size_t count = 0; count < std::min(maxGroupsPerTick, this->groups.size()); ++count) {
        if (entry == this->groups.end())
            entry = this->groups.begin();
        chosen.push_back(*entry++);
    }
    this->nextGroup = entry == this->groups.end() ? DatabaseId() : *entry;
    for (const auto& group : chosen)
        this->judge(group, now);
    if (this->unreachable.empty() && this->storeAnswers)
        this->evidenceWantedSince.reset();
}

bool ReachabilityMonitor::needsEvidence(const std::vector<ReachPath>& paths, Time now) const
{
    if (!this->evidenceWantedSince || now - *this->evidenceWantedSince < evidenceGrace)
        return false;
    const auto last = this->reach.lastGoodEvidence(paths);
    return !last || *last < *this->evidenceWantedSince;
}

void ReachabilityMonitor::judge(const DatabaseId& group, Time now)
{
    const auto paths = this->hooks.paths(group);
    const auto ids = reachPaths(paths);
    const auto reached = this->reach.judge(ids);
    if (reached == GroupReach::Reachable) {
        this->doubtfulSince.erase(group);
        this->leave(group, "evidence", now);
        if (this->needsEvidence(ids, now))
            this->testFirst(group, ids, now);
        return;
    }
    this->doubtfulSince.try_emplace(group, now);
    if (reached == GroupReach::Unreachable)
        this->enter(group, ids, now);
    else
        this->testOthers(group, paths, now);
}

// Tests one path of a group of which nothing is known. If it is silent, the group becomes doubtful.
void ReachabilityMonitor::testFirst(const DatabaseId& group, const std::vector<ReachPath>& paths, Time now)
{
    const auto path
        = std::find_if(paths.begin(), paths.end(), [this](const ReachPath& id) { return !this->reach.isSilent(id); });
    if (path != paths.end())
        this->test(group, *path, now);
}

// Tests the paths of a doubtful group that are not known to be silent.
void ReachabilityMonitor::testOthers(const DatabaseId& group, const GroupPaths& paths, Time now)
{
    for (const auto& owner : paths.owners)
        this->test(group, ReachPath::owner(owner), now);
    if (!paths.owners.empty() && now - this->doubtfulSince.at(group) < endpointTestDelay)
        return;
    for (const auto& endpoint : paths.endpoints)
        this->test(group, ReachPath::endpoint(endpoint), now);
}

void ReachabilityMonitor::test(const DatabaseId& group, const ReachPath& path, Time now)
{
    if (this->testsLeft == 0 || this->reach.isBeingTested(path))
        return;
    if (path.kind == ReachPath::Kind::Owner) {
        --this->testsLeft;
        ++this->counts.tests;
        this->hooks.testOwner(DaemonId(path.id), now);
        return;
    }
    const auto last = this->endpointTestedAt.find(path);
    if (last != this->endpointTestedAt.end() && now - last->second < endpointRetestInterval)
        return;
    --this->testsLeft;
    ++this->counts.tests;
    this->endpointTestedAt[path] = now;
    this->testEndpoint(group, path, now);
}

void ReachabilityMonitor::testEndpoint(const DatabaseId& group, const ReachPath& path, Time now)
{
    if (this->hooks.testEndpoint(group, EndpointId(path.id), now))
        this->reach.onTest(path, ReachTest::Open, now);
}

// Tests one silent path of the unreachable groups, so that their state ends although no statement is sent.
void ReachabilityMonitor::testSilent(Time now)
{
    if (this->unreachable.empty() || now - this->silentTestedAt < recoveryInterval)
        return;
    std::map<ReachPath, DatabaseId> candidates;
    for (const auto& [group, since] : this->unreachable) {
        for (const auto& path : reachPaths(this->hooks.paths(group)))
            candidates.emplace(path, group);
        if (candidates.size() >= maxGroupsPerTick)
            break;
    }
    if (candidates.empty())
        return;
    this->silentTestedAt = now;
    const auto chosen = static_cast<std::ptrdiff_t>(this->nextSilent++ % candidates.size());
    const auto& [path, group] = *std::next(candidates.begin(), chosen);
    ++this->counts.tests;
    if (path.kind == ReachPath::Kind::Owner)
        this->hooks.testOwner(DaemonId(path.id), now);
    else
        this->testEndpoint(group, path, now);
}

void ReachabilityMonitor::enter(const DatabaseId& group, const std::vector<ReachPath>& paths, Time now)
{
    if (!this->unreachable.emplace(group, now).second)
        return;
    // Groups that are not in use are tested as well, because readiness depends on all of them.
    if (this->unreachable.size() == 1)
        this->evidenceWantedSince = now;
    ++this->counts.unreachableEvents;
    const auto last = this->reach.lastGoodEvidence(paths);
    const auto decision = this->logLimiter.decide("group_unreachable", now);
    if (decision.write)
        logEvent(LogLevel::Warning, "group_unreachable",
            { { "group", group.value }, { "paths", paths.size() },
                { "last_good_ms", last ? toMilliseconds(now - *last) : -1.0 }, { "store_answers", this->storeAnswers },
                { "unreachable_groups", this->unreachable.size() }, { "left_out", decision.suppressed } });
    this->hooks.unreachable(group, now);
}

void ReachabilityMonitor::leave(const DatabaseId& group, const std::string& cause, Time now)
{
    const auto found = this->unreachable.find(group);
    if (found == this->unreachable.end())
        return;
    const auto lasted = now - found->second;
    this->unreachable.erase(found);
    this->doubtfulSince.erase(group);
    const auto decision = this->logLimiter.decide("group_reachable", now);
    if (decision.write)
        logEvent(LogLevel::Info, "group_reachable",
            { { "group", group.value }, { "cause", cause }, { "lasted_ms", toMilliseconds(lasted) },
                { "left_out", decision.suppressed } });
}

bool ReachabilityMonitor::servesNothing() const
{
    return !this->groups.empty() && this->unreachable.size() == this->groups.size();
}

ReachabilityStatistics ReachabilityMonitor::statistics() const
{
    auto statistics = this->counts;
    statistics.unreachableGroups = this->unreachable.size();
    return statistics;
}

} // namespace endivetrestle
