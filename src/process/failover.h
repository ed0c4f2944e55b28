#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "process/observed_time.h"
#include "request/endpoint_call.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace endivetrestle {

// States of the failover of one database.
enum class FailoverState {
    // A primary is known, or there has been none for too short a time to raise a suspicion.
    Watching,
    // The primary is suspected and the endpoints and peers are asked to confirm it, or a failed attempt is backing off.
    Confirming,
    // Fence calls of one term are outstanding.
    Fencing,
    // A majority is fenced and one endpoint is being promoted.
    Promoting,
    // The promotion succeeded; the new primary has not yet been seen in a status.
    Settling,
};

// "watching", "confirming", "fencing", "promoting" or "settling".
std::string_view failoverStateName(FailoverState state);

namespace failover {

// Ask the other owners and a few further daemons when they last had contact with the endpoint. The answers are
// passed to onOpinion(). The endpoint is empty if no primary is known.
struct AskOpinions {
    EndpointId endpoint;
    std::uint64_t term = 0;

    bool operator==(const AskOpinions&) const = default;
};

// Send FenceCall{term, claimant} and pass the answer or its failure back with the same endpoint and term.
struct Fence {
    EndpointId endpoint;
    std::uint64_t term = 0;

    bool operator==(const Fence&) const = default;
};

// Send PromoteCall{term, claimant} and pass the answer or its failure back with the same endpoint and term.
struct Promote {
    EndpointId endpoint;
    std::uint64_t term = 0;

    bool operator==(const Promote&) const = default;
};

// Another endpoint, or the same endpoint in a higher term, has become primary.
struct PrimaryChanged {
    EndpointId endpoint;
    std::uint64_t term = 0;
    // Time since the last contact with the previous primary. Zero if none was known.
    Duration gap {};
    // Whether this daemon promoted it. False if the change was seen in a status.
    bool promotedHere = false;

    bool operator==(const PrimaryChanged&) const = default;
};

// Entry for the journal: an event name and key=value fields.
struct JournalEvent {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const JournalEvent&) const = default;
};

using Action = std::variant<AskOpinions, Fence, Promote, PrimaryChanged, JournalEvent>;
using Actions = std::vector<Action>;

} // namespace failover

// Timing of the failover. suspectAfter is the initial value; setSuspectAfter() adapts it to the measured probe times.
struct FailoverSettings {
    Duration suspectAfter = std::chrono::milliseconds(500);
    // Time per rank that an owner waits after the confirmation before its first attempt.
    Duration rankDelay = std::chrono::milliseconds(300);
    // Age of a suspicion from which peers in other data centres can override the veto of endpoints that still have
    // contact with the primary.
    Duration vetoLimit = std::chrono::milliseconds(1500);
    // Range of the random wait after a failed attempt.
    Duration shortestBackoff = std::chrono::milliseconds(100);
    Duration longestBackoff = std::chrono::milliseconds(300);
    // Unanswered opinion requests, fence calls and promote calls are repeated after this time.
    Duration repeatAfter = std::chrono::milliseconds(100);
    // An attempt that has neither succeeded nor been refused in this time is abandoned for one with a higher term.
    Duration attemptLimit = std::chrono::milliseconds(800);
    // Time for which leaving and excluded endpoints get no fence calls if the other endpoints are a majority.
    Duration fenceAllAfter = std::chrono::milliseconds(200);
    // Time without a status of the promoted primary after which suspicion starts again.
    Duration settleLimit = std::chrono::milliseconds(500);
    // Longest step between two ticks that counts towards silence. Ticks should come at least this often.
    Duration longestStep = std::chrono::milliseconds(100);

    bool operator==(const FailoverSettings&) const = default;
};

// Member of the database group.
struct FailoverEndpoint {
    EndpointId endpoint;
    // A leaving endpoint becomes primary only if no other fenced endpoint has as high a position.
    bool leaving = false;

    bool operator==(const FailoverEndpoint&) const = default;
};

// Answer of a peer daemon to AskOpinions.
struct Opinion {
    DaemonId daemon;
    DataCentre dataCentre;
    EndpointId endpoint;
    // Highest term that the peer knows.
    std::uint64_t term = 0;
    // Time that the peer has observed without contact, from EndpointHealth::contactAge(). An opinion without a value
    // does not count.
    std::optional<Duration> contactAge;

    bool operator==(const Opinion&) const = default;
};

// Endpoint that is primary in a term.
struct KnownPrimary {
    EndpointId endpoint;
    std::uint64_t term = 0;

    bool operator==(const KnownPrimary&) const = default;
};

// Failover state machine of one database at one owner. Detects that the group has no working primary, fences a majority
// in a term that is higher than every term seen, and promotes the fenced endpoint with the highest last log position.
// Concurrent attempts of two daemons, a daemon that crashes after any step and late or repeated answers are harmless as
// long as endpoints follow the rules of FenceCall and PromoteCall. The claimant sent with the calls should be different
// for every start of a process, since a restarted process does not know what it promoted before. Reusing a claimant is
// still harmless here: an attempt starts only after a majority has answered, and its term is higher than all of their
// terms.
//
// Not thread-safe. No call blocks. Every call returns the actions to carry out, in order.
//
// Example:
//     Failover failover({ dataCentre, settings, random }, { { a }, { b }, { c } }, now);
//     perform(failover.onStatus(status, sentAt, receivedAt));
//     perform(failover.tick(now));
class Failover {
public:
    using Actions = failover::Actions;
    // Uniformly distributed 64-bit values; used for the backoff only. Must be set.
    using Random = std::function<std::uint64_t()>;

    struct Options {
        // Data centre of this daemon. Opinions from it do not confirm a suspicion.
        DataCentre dataCentre;
        FailoverSettings settings;
        Random random;
    };

    Failover(Options options, std::vector<FailoverEndpoint> endpoints, Time now);

    // Must be called at least every FailoverSettings::longestStep.
    Actions tick(Time now);

    // Any answer of an endpoint that carries its status: probe, watch, statement, refused call. sentAt is when the
    // request was sent. Implausible statuses and those of endpoints outside the group are ignored.
    Actions onStatus(const EndpointStatus& status, Time sentAt, Time receivedAt);

    // A probe or statement got no answer, or the connection failed. The endpoint does not count as reachable until it
    // answers again. The primary is still suspected only after suspectAfter without contact.
    Actions onContactFailure(const EndpointId& endpoint, Time now);

    Actions onOpinion(const Opinion& opinion, Time now);

    // Answers and failures of calls asked for by Fence and Promote, with the endpoint and term of the action.
    Actions onFenceAnswer(const EndpointId& endpoint, std::uint64_t term, const FenceAnswer& answer, Time now);
    Actions onFenceFailed(const EndpointId& endpoint, std::uint64_t term, Time now);
    Actions onPromoteAnswer(const EndpointId& endpoint, std::uint64_t term, const FenceAnswer& answer, Time now);
    Actions onPromoteFailed(const EndpointId& endpoint, std::uint64_t term, Time now);

    // Starts a planned change of the primary that needs no suspicion. Ignored, with a journal event, unless the state
    // is Watching and a majority of the endpoints has answered recently. Excluded endpoints and the current primary are
    // treated as leaving during this attempt. The reason goes into the journal.
    Actions requestSwitchover(std::string reason, std::set<EndpointId> exclude, Time now);

    // Applies the group's members of a configuration. An attempt in progress is abandoned, since its majority was
    // counted over another set; a change of leaving flags alone does not affect it. Successive sets must differ by at
    // most one member; otherwise two sets can have majorities without a common member.
    Actions setEndpoints(std::vector<FailoverEndpoint> endpoints, Time now);

    // Rank of this daemon among the owners; 0 starts first.
    void setRank(int rank);

    // Time without contact after which the primary is suspected, from EndpointHealth::suspectAfter().
    void setSuspectAfter(Duration suspectAfter);

    [[nodiscard]] FailoverState state() const { return this->currentState; }
    // The primary of the highest known term, if one was seen.
    [[nodiscard]] std::optional<KnownPrimary> primary() const;
    // Highest term seen in any status.
    [[nodiscard]] std::uint64_t highestTerm() const { return this->highestSeenTerm; }

private:
    struct Member {
        bool leaving = false;
        bool reachable = false;
        std::optional<EndpointStatus> status;
        Time sentAt;
        // Highest last log position in any status.
        Position highestLog;
    };
    struct PeerView {
        Opinion opinion;
        Time receivedAt;
    };
    struct Attempt {
        std::uint64_t term = 0;
        Time startedAt;
        Time repeatAt;
        bool fenceAll = false;
        std::map<EndpointId, Position> granted;
        // Positions below an earlier one of the same endpoint, with the time of the first answer that reported them.
        std::map<EndpointId, std::pair<Position, Time>> regressions;
        EndpointId candidate;
    };

    // Transitions, one function each.
    void suspect(Time now, Actions& actions);
    void startFencing(Time now, Actions& actions);
    void startPromoting(Time now, Actions& actions);
    void startSettling(Time now, Actions& actions);
    void backOff(std::string_view reason, Time now, Actions& actions);
    void resumeWatching(std::string_view reason, Actions& actions);

    // Work done in each state.
    void stepWatching(Time now, Actions& actions);
    void stepConfirming(Time now, Actions& actions);
    void stepFencing(Time now, Actions& actions);
    void stepPromoting(Time now, Actions& actions);
    void stepSettling(Time now, Actions& actions);

    void step(Time now, Actions& actions);
    void applyStatus(const EndpointStatus& status, Time now, Actions& actions);
    void adoptHigherTerm(std::uint64_t term, Time now, Actions& actions);
    void adoptPrimary(const KnownPrimary& found, Time now, Actions& actions);
    void changePrimary(const KnownPrimary& found, bool promotedHere, Time now, Actions& actions);
    void enter(FailoverState state, std::string_view reason, Actions& actions);
    void handleFenceAnswer(const EndpointId& endpoint, const FenceAnswer& answer, Time now, Actions& actions);
    bool isUnconfirmedRegression(const EndpointId& endpoint, const Position& position, Time now);
    void sendFences(Time now, Actions& actions);
    void askOpinions(Time now, Actions& actions);
    void fenceAllEndpoints(Time now, Actions& actions);
    [[nodiscard]] bool majorityHasRecentStatus(Time now) const;
    [[nodiscard]] bool isConfirmed(Time now) const;
    [[nodiscard]] bool peersConfirm(Time now) const;
    [[nodiscard]] bool hasRecentStatus(const Member& member, Time now) const;
    [[nodiscard]] Duration primaryContactAge(const Member& member) const;
    [[nodiscard]] bool isAvoided(const EndpointId& endpoint) const;
    [[nodiscard]] bool preferredAreMajority(Time now) const;
    [[nodiscard]] bool isAttempt(FailoverState state, std::uint64_t term) const;
    [[nodiscard]] std::size_t majority() const { return this->members.size() / 2 + 1; }
    [[nodiscard]] Duration timeWithoutContact() const { return this->observed.value() - this->lastContact; }
    [[nodiscard]] EndpointId chooseCandidate() const;
    [[nodiscard]] bool mayPromote(Time now) const;

    Options options;
    Duration suspectAfter;
    int rank = 0;
    FailoverState currentState = FailoverState::Watching;
    std::map<EndpointId, Member> members;
    std::map<DaemonId, PeerView> peers;

    std::uint64_t highestSeenTerm = 0;
    std::uint64_t highestAttemptedTerm = 0;
    std::optional<KnownPrimary> knownPrimary;
    ObservedTime observed;
    // Observed time of the last contact with the primary of the highest term, or of the last increase of the term.
    Duration lastContact {};
    // Last contact with any primary, from which PrimaryChanged::gap is computed.
    std::optional<Time> lastPrimaryContact;

    // Observed time at which the suspicion began.
    Duration suspectedAt {};
    Time nextOpinionRequestAt;
    std::optional<Time> confirmedAt;
    std::optional<Time> backOffUntil;
    std::set<EndpointId> excluded;
    Attempt attempt;
};

} // namespace endivetrestle
