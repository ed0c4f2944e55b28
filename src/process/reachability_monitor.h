#pragma once

#include "base/log_limiter.h"
#include "process/reachability.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace endivetrestle {

// Over which paths this daemon serves a group.
struct GroupPaths {
    // Daemons to which it forwards; empty if it runs the group's statements itself.
    std::vector<DaemonId> owners;
    // Endpoints that it connects to itself, in the first place or if it reaches no owner.
    std::vector<EndpointId> endpoints;
};

// Callbacks through which a monitor learns the paths, tests them and reports.
struct ReachabilityHooks {
    std::function<GroupPaths(const DatabaseId&)> paths;
    // Endpoints of the group that owe an answer.
    std::function<std::vector<EndpointId>(const DatabaseId&)> awaitedEndpoints;
    // Probes the link to an owner, or opens it. The start of the test is reported through onTest().
    std::function<void(const DaemonId&, Time)> testOwner;
    // Opens a connection to an endpoint unless one is being opened, and returns whether one is being opened now.
    std::function<bool(const DatabaseId&, const EndpointId&, Time)> testEndpoint;
    // An owner is silent: statements that may run elsewhere should not wait for it.
    std::function<void(const DaemonId&, Time)> ownerSilent;
    // The group cannot be served from here: statements that were not sent should be refused.
    std::function<void(const DatabaseId&, Time)> unreachable;
};

// Counters and gauges of a monitor, exported as metrics.
struct ReachabilityStatistics {
    std::size_t unreachableGroups = 0;
    // Times that a group became unreachable.
    std::uint64_t unreachableEvents = 0;
    std::uint64_t silentOwners = 0;
    std::uint64_t silentEndpoints = 0;
    // Probes and attempts to open that were started because other paths were silent.
    std::uint64_t tests = 0;
};

// Knows which groups this daemon cannot serve at present. While a path is silent and no other one of its group answers,
// the monitor has the others tested: owners at once, endpoints after a while, since a connection costs them more. A
// group is unreachable when all its paths have left a test unanswered, and until one of them answers.
class ReachabilityMonitor {
public:
    explicit ReachabilityMonitor(ReachabilityHooks hooks);

    // Sets the groups that this daemon serves.
    void setGroups(std::set<DatabaseId> listed);

    // Evidence of links to owners and of connections to endpoints, as for Reachability.
    void onSent(const ReachPath& path, Time now) { this->reach.onSent(path, now); }
    void onTest(const ReachPath& path, ReachTest test, Time now) { this->reach.onTest(path, test, now); }
    void onAnswer(const ReachPath& path, Time now);
    void onClosed(const ReachPath& path, Time now) { this->reach.onClosed(path, now); }
    // A statement or command was sent to an endpoint of the group.
    void onEndpointSent(const DatabaseId& group, const EndpointId& endpoint, Time now);
    // Whether the last calls to the store had an answer. A store that does not answer makes the monitor test the paths
    // of groups that have not answered since, and is no other evidence: the store alone may be down.
    void onStoreCall(bool answered, Time now);

    // Periodic work.
    void tick(Time now);
    // Time until the next tick() is due.
    [[nodiscard]] Duration tickInterval() const;

    [[nodiscard]] bool isUnreachable(const DatabaseId& group) const { return this->unreachable.count(group) != 0; }
    // Whether paths of the group are silent and none has answered since.
    [[nodiscard]] bool isDoubtful(const DatabaseId& group) const
    {
        return this->doubtfulSince.count(group) != 0 || this->isUnreachable(group);
    }
    // Whether no group can be served. False as long as that is in doubt for one of them.
    [[nodiscard]] bool servesNothing() const;
    [[nodiscard]] bool isSilent(const DaemonId& owner) const { return this->reach.isSilent(ReachPath::owner(owner)); }
    [[nodiscard]] ReachabilityStatistics statistics() const;

    // Interval of tick() while something is unanswered or a group is unreachable, and otherwise.
    static constexpr Duration busyInterval = std::chrono::milliseconds(10);
    static constexpr Duration idleInterval = std::chrono::milliseconds(30);
    // Time for which no owner of a doubtful group has answered, after which its endpoints are tested as well.
    static constexpr Duration endpointTestDelay = std::chrono::milliseconds(40);
    // Minimum time between two tests of an endpoint, each of which costs it a connection.
    static constexpr Duration endpointRetestInterval = std::chrono::milliseconds(250);
    // Time for which ordinary statements may provide the evidence that is wanted of all groups before it is sought.
    static constexpr Duration evidenceGrace = std::chrono::milliseconds(500);
    // Minimum time between two tests of silent paths.
    static constexpr Duration recoveryInterval = std::chrono::milliseconds(250);
    // Largest number of paths tested, and of groups judged, in one tick. It bounds the cost in a fleet of thousands of
    // groups.
    static constexpr std::size_t maxTestsPerTick = 8;
    static constexpr std::size_t maxGroupsPerTick = 32;

private:
    [[nodiscard]] static std::vector<ReachPath> reachPaths(const GroupPaths& paths);
    void readEndpoints(Time now);
    void recordSilence(const ReachPath& path, Time now);
    void judgeGroups(Time now);
    void judge(const DatabaseId& group, Time now);
    [[nodiscard]] bool needsEvidence(const std::vector<ReachPath>& paths, Time now) const;
    void testFirst(const DatabaseId& group, const std::vector<ReachPath>& paths, Time now);
    void testOthers(const DatabaseId& group, const GroupPaths& paths, Time now);
    void testSilent(Time now);
    void test(const DatabaseId& group, const ReachPath& path, Time now);
    void testEndpoint(const DatabaseId& group, const ReachPath& path, Time now);
    void enter(const DatabaseId& group, const std::vector<ReachPath>& paths, Time now);
    void leave(const DatabaseId& group, const std::string& cause, Time now);

    ReachabilityHooks hooks;
    Reachability reach;
    std::set<DatabaseId> groups;
    // Groups whose endpoints may owe an answer.
    std::set<DatabaseId> active;
    // Since when a group with silent paths has had no answer over another one.
    std::map<DatabaseId, Time> doubtfulSince;
    // Groups that cannot be served, with the time since when.
    std::map<DatabaseId, Time> unreachable;
    // Evidence that is older than this does not count for groups without silent paths: another group has become
    // unreachable, or the store has stopped answering.
    std::optional<Time> evidenceWantedSince;
    bool storeAnswers = true;
    std::map<ReachPath, Time> endpointTestedAt;
    Time silentTestedAt;
    std::size_t testsLeft = 0;
    // The group and the silent path with which the next tick goes on.
    DatabaseId nextGroup;
    std::size_t nextSilent = 0;
    LogLimiter logLimiter;
    ReachabilityStatistics counts;
};

} // namespace endivetrestle
