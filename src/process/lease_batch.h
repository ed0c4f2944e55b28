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
    // Version of the daemon's present row; 0 if it has none.
    std::uint64_t rowVersion = 0;
    // Whether the daemon has no valid lease, so that it cannot serve until this is done.
    bool urgent = false;

    bool operator==(const LeaseRenewal&) const = default;
};

// Change that renews the leases of the given daemons, all of which have taken the same epoch into account. It takes
// effect only if no primary has been claimed since, and if no other renewal of one of them has come first. Without the
// latter condition a renewal whose answer never came could take effect after a later one and show others an earlier end
// of the lease.
StoreChange renewalChange(const std::vector<LeaseRenewal>& renewals);

// Renews the leases of several daemons with one call to the store. Calls are scarce and priced, and a slow store serves
// the writes of these rows one after the other, so that a fleet that renews one by one could lose its leases.
class LeaseBatch {
public:
    using Callback = std::function<void(const StoreResult&)>;

    // Renewals in one call; the store accepts 100 conditions and writes.
    static constexpr std::size_t maxRenewals = 40;
    // Longest time that a renewal waits for others, if its daemon has a valid lease and if it has none.
    static constexpr Duration window = std::chrono::milliseconds(300);
    static constexpr Duration urgentWindow = std::chrono::milliseconds(20);
    // Longest time that renewals wait beyond that for the answer to the call before. Where many daemons start at once,
    // the calls grow with the time that the store takes.
    static constexpr Duration busyWait = std::chrono::milliseconds(100);

    LeaseBatch(TableStore& store, TimerService& timers);
    ~LeaseBatch();
    LeaseBatch(const LeaseBatch&) = delete;
    LeaseBatch& operator=(const LeaseBatch&) = delete;

    // Adds a renewal. The callback runs once. A renewal that does not fit to those that wait fails with Refused, and
    // its daemon renews by itself.
    void add(const LeaseRenewal& renewal, Time now, Callback callback);

private:
    struct Entry {
        LeaseRenewal renewal;
        Callback callback;
    };

    void onDue(Time now);
    void flush();

    TableStore& store;
    TimerService& timers;
    std::vector<Entry> waiting;
    Time due;
    std::uint64_t timer = 0;
    // Calls without an answer.
    int underWay = 0;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
