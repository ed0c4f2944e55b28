#pragma once

#include "base/clock.h"
#include "base/identifier.h"

#include <cstdint>
#include <functional>

namespace endivetrestle {

// Answer to an operation that asks for a part of its workspace's quota.
enum class QuotaDecision {
    Granted,
    // The workspace has used up its limit.
    Exceeded,
    // The limit is not known to permit the operation, and no answer came in time.
    Unanswered,
};

// Permissions that an operation needs before it is queued. Without functions everything is permitted.
struct OperationGate {
    using QuotaCallback = std::function<void(QuotaDecision)>;

    // Whether the configuration in force is known to be recent enough to trust its keys.
    std::function<bool(Time now)> configurationIsRecent;
    // Takes one operation from the workspace's quota. The callback runs once, possibly before the call returns, unless
    // the request is cancelled. Returns the number of the request for cancelQuota, 0 if it has been answered.
    std::function<std::uint64_t(const WorkspaceId&, Time now, QuotaCallback)> takeQuota;
    // Drops a request whose operation is no longer wanted. Its callback does not run.
    std::function<void(std::uint64_t request)> cancelQuota;
};

} // namespace endivetrestle
