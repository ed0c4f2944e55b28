#pragma once

#include "process/quota/quota_coordinator.h"
#include "process/quota/quota_fleet.h"
#include "request/operation_gate.h"
#include "request/quota_message.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Counters of a daemon's use of quotas.
struct QuotaStatistics {
    // Operations that got a token, and those of them that took it from the local fixed part.
    std::uint64_t granted = 0;
    std::uint64_t grantedFixed = 0;
    // Operations refused because the limit is reached, and because no coordinator answered.
    std::uint64_t exceeded = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsServed = 0;
    // Requests that were not answered in time.
    std::uint64_t requestsLost = 0;
    // Tokens that were granted and not used in time.
    std::uint64_t tokensExpired = 0;
    std::uint64_t coordinatorChanges = 0;
    // Operations that wait, and shards that this daemon coordinates.
    std::size_t waiting = 0;
    std::size_t shardsCoordinated = 0;
};

struct QuotaClientHooks {
    // Sends a request to the daemon. False if it cannot be sent.
    std::function<bool(const DaemonId&, const QuotaRequest&)> send;
    // Whether this daemon holds a valid lease. Without one it neither supports a coordinator nor uses its fixed part,
    // because the lists of the others may lack it.
    std::function<bool(Time)> hasLease;
    // The daemon uses another coordinator for the shard, for the given reason.
    std::function<void(const QuotaShard&, const DaemonId& coordinator, const char* reason)> coordinatorChanged;
};

// Takes tokens for the operations of this daemon's clients: from those in hand, from the coordinator on this daemon, or
// from another daemon by a request. Also decides which daemon is asked and supported as the coordinator of each shard.
// Performs no I/O.
class QuotaClient {
public:
    QuotaClient(const QuotaFleet& fleet, QuotaCoordinator& coordinator, Time startedAt, QuotaClientHooks hooks);

    // Sets the limits, and which workspaces exist.
    void configure(std::shared_ptr<const QuotaLimits> limits, std::vector<WorkspaceId> unlimited, Time now);
    // Call when the fleet's list has changed.
    void onFleetChanged(Time now);
    std::uint64_t take(const WorkspaceId& workspace, Time now, OperationGate::QuotaCallback callback);
    void cancel(std::uint64_t request);
    void onGrant(const DaemonId& from, const QuotaGrant& grant, Time now);
    // What was sent to the daemon and not answered is lost.
    void onUnreachable(const DaemonId& daemon, Time now);
    void tick(Time now);
    // Time at which tick() must run; Time::max() while no workspace has a limit.
    [[nodiscard]] Time nextDue() const;
    // Coordinator of the shard if it is known to be active; empty otherwise.
    [[nodiscard]] DaemonId activeCoordinator(const QuotaShard& shard, Time now) const;
    [[nodiscard]] DaemonId coordinatorOf(const WorkspaceId& workspace) const;
    [[nodiscard]] std::size_t waitingOperations() const { return this->waiting.size(); }
    [[nodiscard]] const QuotaStatistics& statistics() const { return this->counters; }

    // Longest time between requests to a coordinator, times the factor of supportTime().
    static constexpr Duration requestInterval = std::chrono::milliseconds(200);
    // Longest wait for an answer. It exceeds the pauses of a host whose processor share is used up.
    static constexpr Duration answerLimit = std::chrono::milliseconds(300);
    // Longest wait of an operation for a token.
    static constexpr Duration longestWait = std::chrono::milliseconds(400);
    // Time after the start in which a daemon supports no coordinator, since it may have promised its support before.
    static Duration startTime(const QuotaShard& shard) { return supportTime(shard); }
    // Number of daemons for which one coordinator is enough.
    static constexpr std::size_t daemonsPerShard = 32;

private:
    struct Hand {
        unsigned tokens = 0;
        Time validUntil;
    };
    struct Usage {
        std::deque<Hand> hand;
        // Requests that wait, oldest first.
        std::deque<std::uint64_t> waiting;
        TokenBucket fixed;
        bool fixedStarted = false;
        // Until then the bucket is taken to be empty.
        Time emptyUntil;
        // Until then the workspace is not asked for, because the last answer left it out.
        Time unknownUntil;
        // Tokens used per second, averaged over about a second.
        double rate = 0;
        Time rateAt;
    };
    struct Waiting {
        WorkspaceId workspace;
        Time since;
        OperationGate::QuotaCallback callback;
    };
    struct Sent {
        DaemonId to;
        QuotaShard shard;
        Time at;
    };
    struct Shard {
        // Daemon that is asked, and since when. Empty before the list is known.
        DaemonId current;
        Time since;
        // Time of the last answer of the current coordinator in which it was active.
        std::optional<Time> activeAt;
        // Number of the request that waits for its answer, 0 if none does, and the time of the last request.
        std::uint64_t outstanding = 0;
        Time sentAt;
        // Earliest time for the next request, set after an answer that left operations waiting.
        Time notBefore;
        // The coordinator does not know yet of the support promised after its last answer.
        bool unconfirmed = false;
        // Daemon to which support is promised, until when, and what it sent.
        DaemonId promisedTo;
        Time promisedUntil;
        std::uint64_t incarnation = 0;
        std::int64_t stampUs = 0;
        // Daemons that did not answer or were not active for long, with the time until which others are preferred.
        std::map<DaemonId, Time> avoidedUntil;
    };

    [[nodiscard]] bool hasLimits() const { return !this->limits->quotas.empty(); }
    [[nodiscard]] QuotaShard shardOf(const WorkspaceId& workspace) const;
    void updateShards(Time now);
    [[nodiscard]] bool maySupport(const QuotaShard& id, const Shard& shard, Time now) const;
    [[nodiscard]] bool isActive(const QuotaShard& id, const Shard& shard, Time now) const;
    [[nodiscard]] std::vector<DaemonId> candidates(const QuotaShard& id) const;
    void choose(const QuotaShard& id, Shard& shard, Time now, const char* reason);
    void use(const QuotaShard& id, Shard& shard, const DaemonId& daemon, Time now, const char* reason);
    void avoid(const QuotaShard& id, Shard& shard, Time now, const char* reason, Duration time);
    void checkCurrent(const QuotaShard& id, Shard& shard, Time now);
    void updateSelfSupport(const QuotaShard& id, Shard& shard, Time now);
    void promise(Shard& shard, const QuotaShard& id, const DaemonId& to, const QuotaGrant& grant, Time now);
    void pump(Time now);
    void request(const QuotaShard& id, Shard& shard, Time now);
    [[nodiscard]] std::vector<QuotaAsk> asksOf(const QuotaShard& id, Time now);
    [[nodiscard]] Time requestDue(const QuotaShard& id, const Shard& shard) const;
    bool takeFromHand(Usage& usage, Time now);
    bool takeFixed(const WorkspaceId& workspace, Usage& usage, Time now);
    void countUse(Usage& usage, Time now);
    static unsigned aheadOf(const Usage& usage, Time now);
    void serve(const QuotaShard& id, Shard& shard, Time now);
    void grantWaiting(Usage& usage, Time now);
    void refuseWaiting(Usage& usage, QuotaDecision decision);
    void settle();

    const QuotaFleet& fleet;
    QuotaCoordinator& coordinator;
    Time startedAt;
    QuotaClientHooks hooks;
    std::shared_ptr<const QuotaLimits> limits = std::make_shared<QuotaLimits>();
    std::vector<WorkspaceId> unlimited;
    std::map<QuotaShard, Shard> shards;
    // Promises made with another number of shards; until they end, no support is promised.
    Time earlierPromisesUntil;
    std::unordered_map<WorkspaceId, Usage> usages;
    std::map<std::uint64_t, Waiting> waiting;
    std::map<std::uint64_t, Sent> sent;
    // Decisions whose callbacks have not run yet.
    std::deque<std::pair<std::uint64_t, QuotaDecision>> decided;
    bool settling = false;
    Time checkedAt;
    std::uint64_t lastNumber = 0;
    QuotaStatistics counters;
};

} // namespace endivetrestle
