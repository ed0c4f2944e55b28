#pragma once

#include "base/clock.h"

#include <algorithm>

namespace endivetrestle {

// Times of a planned stop, in order. What a daemon has taken from a client it answers before it ends: it takes less and
// less, until the rest is answered with what is known, and the answers are on their way.
struct StopPlan {
    // Sessions end between transactions from here on. Earlier, the balancer has not noticed that the daemon is not
    // ready, and clients would come back to it.
    Time endSessionsAt;
    // Transactions that wait for their client are rolled back, and none is begun any more.
    Time refuseTransactionsAt;
    // Statements are refused at once from here on. Those under way have the time until answerRestAt.
    Time refuseStatementsAt;
    // Statements still under way are answered as if their time were over.
    Time answerRestAt;
    // The answers have been sent; primaries and the lease are given up.
    Time releaseLeaseAt;
    // The process ends, whether or not the store has answered.
    Time endAt;

    bool operator==(const StopPlan&) const = default;
};

// Returns the plan of a stop that is asked for now and must be over within the grace period.
inline StopPlan planStop(Time now, Duration grace)
{
    constexpr Duration balancerDelay = std::chrono::milliseconds(2200);
    constexpr Duration answerTravelTime = std::chrono::milliseconds(100);
    constexpr Duration storeLimit = std::chrono::milliseconds(300);
    StopPlan plan;
    plan.endSessionsAt = now + std::min<Duration>(balancerDelay, grace / 3);
    plan.refuseTransactionsAt = now + grace / 2;
    plan.refuseStatementsAt = now + grace * 3 / 4;
    plan.answerRestAt = now + grace * 9 / 10;
    plan.releaseLeaseAt = plan.answerRestAt + std::min<Duration>(answerTravelTime, grace / 60);
    plan.endAt = plan.releaseLeaseAt + std::min<Duration>(storeLimit, grace / 20);
    return plan;
}

} // namespace endivetrestle
