#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/position.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Weights and limits of read routing, which differ between deployments. Low values of primaryPenalty and replicaWait
// favour latency, high values favour reads at replicas.
struct ReadRouterSettings {
    // Added to the cost of a read at the primary, as if it took this much longer.
    Duration primaryPenalty = std::chrono::milliseconds(20);
    // Longest wait for a replica to apply the required position before the primary is used.
    Duration replicaWait = std::chrono::milliseconds(20);
    // Added to a predicted apply time, because a read that arrives too early is refused and has to be sent again.
    Duration waitMargin = std::chrono::milliseconds(2);
    // Multiplies the cost of waiting in the comparison of replicas.
    double waitWeight = 1;
    // Multiplies the expected time at the endpoint: latency times (1 + busyWeight times statements per slot).
    double loadWeight = 1;
    // 0 compares by latency alone, a high value by load.
    double busyWeight = 1;
    // Share of the replica's lag that is added to its cost, so that reads without a bound tend to current replicas.
    double lagWeight = 0.05;

    bool operator==(const ReadRouterSettings&) const = default;
};

// What a read requires of the endpoint that serves it.
struct ReadRequirements {
    // Later of the session's position and the position for the age bound.
    Position required;
    // The read must run at the primary, for example because there is no confirmed sample for its age bound.
    bool requiresPrimary = false;
    // A wait that ends after the deadline is not chosen.
    Time deadline = Time::max();

    bool operator==(const ReadRequirements&) const = default;
};

// State of an endpoint as known when the read is routed.
struct ReadCandidate {
    EndpointId endpoint;
    bool primary = false;
    // Receives no new reads. A leaving primary is still used for reads that need the primary.
    bool leaving = false;
    // No contact for the suspicion time. It is not chosen.
    bool suspected = false;
    // Ejected as an outlier. It is chosen only if no other endpoint is left.
    bool ejected = false;
    Position applied;
    // Predicted time at which the required position is applied; no value if unknown.
    std::optional<Time> predictedApply;
    Duration latency {};
    Duration lag {};
    // Statements running, statements that can run at once, and statements queued for this endpoint.
    int busy = 0;
    int slots = 1;
    int queued = 0;

    bool operator==(const ReadCandidate&) const = default;
};

enum class ReadChoiceKind {
    // Run at the replica now.
    Replica,
    // Run at the primary now.
    Primary,
    // Run at the replica at the time until.
    WaitFor,
    // No endpoint can serve the read at present.
    NoneAvailable,
};

struct ReadChoice {
    ReadChoiceKind kind = ReadChoiceKind::NoneAvailable;
    EndpointId endpoint;
    // Time to wait for; only for WaitFor.
    Time until;
    // Stable name for the journal and metrics: "replica_current", "replica_expected", "primary_required",
    // "primary_cheaper", "no_replica_in_time", "ejected_only", "replica_late", "no_primary", "no_endpoint", "policy".
    std::string_view reason;

    bool operator==(const ReadChoice&) const = default;
};

// Chooses one of the candidates. The endpoint checks the requirements of the read itself, so a policy cannot cause a
// wrong answer.
using ReadPolicy = std::function<ReadChoice(const ReadRequirements&, const std::vector<ReadCandidate>&, Time now)>;

// Chooses the endpoint with the lowest cost according to the weights. This is the policy used in production.
ReadPolicy weightedReadPolicy(ReadRouterSettings settings);

// Sends every read to the primary. Used for comparison in the load tool.
ReadPolicy primaryOnlyReadPolicy();

// Chooses a random replica that is not leaving or suspected and waits for it if it lags; chooses the primary if the
// wait would exceed replicaWait. Used for comparison in the load tool.
ReadPolicy randomReplicaReadPolicy(ReadRouterSettings settings, std::function<std::uint64_t()> random);

// Later of the session's position and the position for the age bound, if there is a bound.
Position requiredPosition(const Position& session, const std::optional<Position>& positionForAge);

} // namespace endivetrestle
