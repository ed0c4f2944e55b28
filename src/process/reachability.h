#pragma once

#include "base/clock.h"
#include "base/identifier.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// Something over which this daemon can serve statements: the link to an owner, or an endpoint.
struct ReachPath {
    enum class Kind { Owner, Endpoint };

    Kind kind = Kind::Owner;
    std::string id;

    static ReachPath owner(const DaemonId& daemon) { return { Kind::Owner, daemon.value }; }
    static ReachPath endpoint(const EndpointId& endpoint) { return { Kind::Endpoint, endpoint.value }; }

    auto operator<=>(const ReachPath&) const = default; // NOLINT(modernize-use-nullptr)
};

// How a path was tested.
enum class ReachTest {
    // A probe on an established link, which the process at the other end answers.
    Probe,
    // An attempt to open a connection, which the kernel at the other end answers.
    Open,
};

// Whether this daemon can serve a group at present.
enum class GroupReach { Reachable, Doubtful, Unreachable };

// Judges from answers and silence which owners and endpoints this daemon reaches.
//
// A path is silent only if a test of it was not answered: a slow answer to a statement is not silence. Time counts only
// while this daemon runs: a pause of its event loop that is longer than maxStep does not count, because answers may
// have been waiting in the meantime.
class Reachability {
public:
    // Something that has to be answered was sent to the path.
    void onSent(const ReachPath& path, Time now);
    // A test of the path was started. Tests that are started before an earlier one is answered do not count.
    void onTest(const ReachPath& path, ReachTest test, Time now);
    // The path answered in any way, which includes a refusal.
    void onAnswer(const ReachPath& path, Time now);
    // Nothing that was sent is unanswered any more, without an answer. Has no effect on a path that is being tested or
    // is silent.
    void onSettled(const ReachPath& path, Time now);
    // The other end closed an established connection, so nothing on it is awaited. Has no effect on a silent path,
    // whose connections the kernel gives up.
    void onClosed(const ReachPath& path, Time now);

    // Counts the time since the last call and judges the tests. A test has failed if two calls in succession find it
    // so: the first may come after a pause of this daemon, before what has arrived meanwhile was taken. Returns the
    // paths that have become silent. What is awaited from a path that was not tested for forgetAfter is forgotten,
    // since the path may not exist any more.
    std::vector<ReachPath> evaluate(Time now);
    // Whether something is unanswered.
    [[nodiscard]] bool awaitsAnswer() const { return !this->awaited.empty(); }
    // Turns all silent paths into paths without evidence.
    void forgetSilence();

    // Whether the path left a test unanswered and has not answered since.
    [[nodiscard]] bool isSilent(const ReachPath& path) const;
    // Whether a test of the path is unanswered.
    [[nodiscard]] bool isBeingTested(const ReachPath& path) const;
    // Whether a path was silent for so long that the group needs other evidence.
    [[nodiscard]] bool anyDoubt() const;
    // Owners that have left something unanswered for probeAfter and were not tested since.
    [[nodiscard]] std::vector<ReachPath> ownersToProbe() const;
    // Judges a group that can be served over any of the paths. Unreachable if all of them are silent.
    [[nodiscard]] GroupReach judge(const std::vector<ReachPath>& paths) const;
    // Time of the last answer of any of the paths; no value if there was none.
    [[nodiscard]] std::optional<Time> lastGoodEvidence(const std::vector<ReachPath>& paths) const;

    // Longest pause between two calls that counts as time in which this daemon was able to take an answer. It exceeds
    // the pause of a host whose processor quota is used up.
    static constexpr Duration maxStep = std::chrono::milliseconds(110);
    // Time without an answer after which a link is probed.
    static constexpr Duration probeAfter = std::chrono::milliseconds(40);
    // Time without an answer after which other paths are tested. Statements at endpoints often take longer than an
    // owner takes to answer a probe.
    static constexpr Duration ownerDoubtAfter = std::chrono::milliseconds(60);
    static constexpr Duration endpointDoubtAfter = std::chrono::milliseconds(100);
    // Time without an answer after which a link whose probe is unanswered is silent. An owner whose processor quota is
    // used up pauses for a tenth of a second and then answers.
    static constexpr Duration silentAfter = std::chrono::milliseconds(150);
    // Minimum time that a probe has to be answered.
    static constexpr Duration probeLimit = std::chrono::milliseconds(100);
    // Time that an attempt to open has to be answered. No process needs to run for the answer, but a packet may have to
    // travel to another data centre and back.
    static constexpr Duration openLimit = std::chrono::milliseconds(100);
    // Time without a test after which the silence of a path is forgotten.
    static constexpr Duration forgetAfter = std::chrono::seconds(30);

private:
    struct Path {
        // Counted time since which something is unanswered.
        std::optional<Duration> awaitedSince;
        // Counted time of the first test since then.
        std::optional<Duration> testedSince;
        ReachTest test = ReachTest::Probe;
        // Whether the test had failed at the last call of evaluate().
        bool failing = false;
        bool silent = false;
        // Counted time of the last test.
        Duration lastTest {};
        // Counted time and time of the last answer.
        std::optional<Duration> answeredAt;
        Time lastAnswer;
    };

    void count(Time now);
    Path& pathOf(const ReachPath& id) { return this->paths[id]; }
    std::set<ReachPath>::iterator forgetSilenceOf(std::set<ReachPath>::iterator entry);
    [[nodiscard]] const Path* find(const ReachPath& id) const;
    [[nodiscard]] bool isDoubtful(const ReachPath& id, const Path& path) const;
    [[nodiscard]] bool isTestFailed(const Path& path) const;
    [[nodiscard]] std::optional<Duration> latestSilence(const std::vector<ReachPath>& paths) const;

    std::map<ReachPath, Path> paths;
    // Paths with something unanswered, the silent ones included.
    std::set<ReachPath> awaited;
    // Time for which this daemon was running, and the last call up to which it is counted.
    Duration counted {};
    std::optional<Time> countedUntil;
};

} // namespace endivetrestle
