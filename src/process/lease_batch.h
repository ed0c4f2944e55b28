#pragma once

#include "base/timer_service.h"
#include "process/fleet_rows.h"
#include "process/table_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace endivetrestle {

// Request to renew the lease of a daemon.
struct LeaseRenewal {
    LeaseRow row;
    // Version of the daemon's current row; not set if it has none.
    StoreVersion rowVersion;
    // Whether the daemon has no valid lease, so that it cannot serve until the renewal is done.
    bool urgent = false;

    bool operator==(const LeaseRenewal&) const = default;
};

// Returns the store change that renews the given leases, which must all have the same epoch version. It takes effect
// only if no primary has been claimed since that epoch and none of the lease rows has changed. Without the second
// condition, a delayed renewal could take effect after a later one, and other daemons would assume that the lease ends
// too early.
StoreChange renewalChange(const std::vector<LeaseRenewal>& renewals);

// Renews the leases of several daemons with one call to the store. Calls are limited and billed, and a slow store
// processes the writes of these rows sequentially, so that a fleet that renews one by one could lose its leases.
class LeaseBatch {
public:
    using Callback = std::function<void(const StoreResult&)>;

    // Maximum number of renewals in one call. The store accepts 100 conditions and writes in total.
    static constexpr std::size_t maxRenewals = 40;
    // Longest time that a renewal waits for others to join the batch, for a daemon with a valid lease and for one
    // without.
    static constexpr Duration window = std::chrono::milliseconds(300);
    static constexpr Duration urgentWindow = std::chrono::milliseconds(20);
    // Additional time that a batch waits for the answer to the previous call. When many daemons start at once, the
    // batches thus grow with the response time of the store.
    static constexpr Duration outstandingCallWait = std::chrono::milliseconds(100);

    LeaseBatch(TableStore& store, TimerService& timers);
    ~LeaseBatch();
    LeaseBatch(const LeaseBatch&) = delete;
    LeaseBatch& operator=(const LeaseBatch&) = delete;

    // Adds a renewal to the pending batch. The callback runs once. A renewal with another epoch version than the batch,
    // or of a daemon that is already in it, fails with Refused, and its daemon renews directly.
    void add(const LeaseRenewal& renewal, Time now, Callback callback);

private:
    struct Entry {
        LeaseRenewal renewal;
        Callback callback;
    };

    void onWindowEnd(Time now);
    void flush();

    TableStore& store;
    TimerService& timers;
    std::vector<Entry> pending;
    Time flushDue;
    std::uint64_t timer = 0;
    // Calls to the store that have not been answered.
    int outstandingCalls = 0;
    // Expires with the batch. Callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
