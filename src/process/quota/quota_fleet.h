#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "process/quota/quota_parameters.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace endivetrestle {

// A daemon of the lease list.
struct QuotaDaemon {
    DaemonId id;
    // Time of the store's clock since which the daemon has had a lease row; 0 if it is not known.
    std::int64_t rowSinceMs = 0;

    bool operator==(const QuotaDaemon&) const = default;
};

// The lease list as the quota rules need it. Two daemons read the list at different times, so decisions that must agree
// take into account what it contained during the retention time:
// - A majority is counted against the largest list, so that a list that has shrunk does not permit a second majority
//   beside that of an older list.
// - A daemon that has just joined counts for the size of the list but not as a supporter, so that a list that has grown
//   does not permit a second majority beside that of an older list either. Daemons that joined at the same time as the
//   first ones of the fleet count at once, because a fleet that starts for the first time would wait otherwise.
class QuotaFleet {
public:
    QuotaFleet(DaemonId self, Time startedAt);

    // Replaces the list of the other daemons.
    void update(const std::vector<QuotaDaemon>& others, Time now);
    // Whether a list has been set.
    [[nodiscard]] bool known() const { return !this->sizes.empty(); }
    [[nodiscard]] FleetSize size(Time now) const;
    [[nodiscard]] bool contains(const DaemonId& daemon) const { return this->settledAt.count(daemon) != 0; }
    // Whether the lists of all daemons with a valid lease contain the daemon.
    [[nodiscard]] bool isSettled(const DaemonId& daemon, Time now) const;
    // Number of settled daemons, this one included.
    [[nodiscard]] std::size_t settledDaemons(Time now) const;
    // Daemons of the list, this one included.
    [[nodiscard]] std::vector<DaemonId> daemons() const;
    [[nodiscard]] const DaemonId& ownId() const { return this->self; }

    // Time by which every daemon with a valid lease is assumed to have read a change of the list. The list is read
    // every 4 s and 250 ms for each daemon, see fleet_controller.cc.
    static Duration retention(std::size_t daemons);

private:
    struct Size {
        std::size_t count = 0;
        // End of the time during which the list had this size; no value for the present one.
        std::optional<Time> until;
    };

    void prune(Time now);

    DaemonId self;
    Time startedAt;
    // Daemons of the list with the time from which they are settled.
    std::map<DaemonId, Time> settledAt;
    std::deque<Size> sizes;
};

} // namespace endivetrestle
