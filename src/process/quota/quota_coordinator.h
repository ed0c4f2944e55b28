#pragma once

#include "process/quota/quota_fleet.h"
#include "process/quota/quota_parameters.h"
#include "process/quota/token_bucket.h"
#include "request/quota_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace endivetrestle {

// Limits of all workspaces that have one.
struct QuotaLimits {
    std::map<WorkspaceId, WorkspaceQuota> quotas;
    QuotaBounds bounds;

    bool operator==(const QuotaLimits&) const = default;
};

// Time during which a daemon supports no other coordinator after it received an answer. With more than ten shards
// support is renewed less often, so that the messages of a large fleet stay few.
Duration supportTime(const QuotaShard& shard);
// Part of supportTime by which the coordinator counts support for less long, because clocks differ in speed.
inline constexpr Duration supportMargin = std::chrono::milliseconds(50);

// Grants the tokens of workspaces while more than half of the fleet supports this daemon. Performs no I/O.
//
// Buckets last as long as the support is uninterrupted: when it is regained, another daemon may have granted tokens
// meanwhile, so the buckets start empty and refill at the rate. A bucket that is first used after the support has
// lasted for a window and the validity of tokens starts full, since no other daemon has granted tokens in that time.
class QuotaCoordinator {
public:
    // `mayServe` tells whether this daemon holds a valid lease; without one it may be missing in the lists of others.
    // The incarnation must differ from those of earlier starts of the daemon.
    QuotaCoordinator(const QuotaFleet& fleet, std::uint64_t incarnation, std::function<bool(Time)> mayServe);

    // Sets the limits. A workspace that is missing has none.
    void configure(std::shared_ptr<const QuotaLimits> limits, Time now);
    // Call before the fleet's list is replaced, and after it.
    void checkSupport(Time now);
    // Whether this daemon itself supports its coordination of the shard.
    void supportSelf(const QuotaShard& shard, bool supports, Time now);
    // Records the support that the request carries, and grants what the buckets hold.
    QuotaGrant onRequest(const QuotaRequest& request, Time now);
    // Takes tokens for operations of this daemon. No value if the coordinator is not active.
    std::optional<unsigned> take(const QuotaShard& shard, const WorkspaceId& workspace, unsigned wanted, Time now);
    [[nodiscard]] bool isActive(const QuotaShard& shard, Time now);
    // Whether the support suffices, without taking note of an interruption.
    [[nodiscard]] bool hasSupport(const QuotaShard& shard, Time now) const;
    // Number of shards that this daemon coordinates.
    [[nodiscard]] std::size_t activeShards() const;

private:
    struct Coordination {
        bool selfSupport = false;
        // End of the support of each daemon.
        std::map<DaemonId, Time> supportedUntil;
        // Largest number of daemons that a supporter has stated, with the time until which it counts.
        std::size_t statedDaemons = 0;
        Time statedUntil;
        std::optional<Time> activeSince;
        std::map<WorkspaceId, TokenBucket> buckets;
    };

    [[nodiscard]] bool hasMajority(const Coordination& coordination, Time now) const;
    bool check(Coordination& coordination, Time now);
    void recordSupport(Coordination& coordination, const QuotaRequest& request, Time now);
    TokenBucket* bucketOf(Coordination& coordination, const WorkspaceId& workspace, Time now);

    const QuotaFleet& fleet;
    std::uint64_t incarnation;
    std::function<bool(Time)> mayServe;
    std::shared_ptr<const QuotaLimits> limits = std::make_shared<QuotaLimits>();
    std::map<QuotaShard, Coordination> coordinations;
};

} // namespace endivetrestle
