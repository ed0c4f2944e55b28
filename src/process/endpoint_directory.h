#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "process/endpoint_record.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// Local view of the registered endpoints. An entry that disappears from the registry is kept for a grace period,
// because entries of live endpoints expire while the store is unavailable.
//
// Example:
//     directory.apply(EndpointId("a"), record, now);
//     directory.apply(EndpointId("a"), std::nullopt, now); // still listed
//     directory.expire(now + EndpointDirectory::removalGrace); // true: "a" is gone
class EndpointDirectory {
public:
    // Time for which a vanished entry is kept. Live endpoints renew their entries within two seconds after a store
    // outage.
    static constexpr Duration removalGrace = std::chrono::milliseconds(2500);

    // Applies one changed entry, or a removed one if `record` has no value. Returns whether the listed records changed.
    bool apply(const EndpointId& id, const std::optional<EndpointRecord>& record, Time now);

    // Replaces the whole view with a complete list. The grace period starts for entries that are not in it. Returns
    // whether the listed records changed.
    bool replaceAll(const std::vector<EndpointRecord>& records, Time now);

    // Removes the entries whose grace period has ended. Returns whether any was removed.
    bool expire(Time now);

    // Restarts the grace period of all vanished entries. Called when the store is reachable again after an outage.
    void restartGrace(Time now);

    // Call when the store has come back from a copy. Entries may be missing as after an outage, and others may tell
    // what was so when the copy was taken: until the grace period has ended, an entry of a process that is draining
    // does not make it ready again.
    void onRestored(Time now);

    // Whether an endpoint that is not listed is gone. It may be missing for another reason for a grace period after the
    // first list, or after the store is reachable again: entries of live endpoints have expired meanwhile.
    [[nodiscard]] bool isSettled(Time now) const
    {
        return this->gracePeriodStart && now >= *this->gracePeriodStart + removalGrace;
    }

    [[nodiscard]] const std::map<EndpointId, EndpointRecord>& records() const { return this->listed; }
    // Returns the listed endpoints of one group, without iterating over other groups.
    [[nodiscard]] std::vector<EndpointRecord> recordsOf(const DatabaseId& group) const;
    // Returns the groups whose listed records have changed since the last call.
    std::set<DatabaseId> takeChangedGroups();
    // Whether the entry has disappeared from the registry and is only kept for its grace period.
    [[nodiscard]] bool isVanished(const EndpointId& id) const { return this->vanishedSince.count(id) != 0; }

private:
    void put(const EndpointRecord& record);
    [[nodiscard]] EndpointRecord withKnownDraining(EndpointRecord record, Time now) const;
    void removeFromGroup(const EndpointRecord& record);

    std::map<EndpointId, EndpointRecord> listed;
    std::map<DatabaseId, std::set<EndpointId>> members;
    std::set<DatabaseId> changedGroups;
    // Time of the first list, or time since which the store has been reachable again.
    std::optional<Time> gracePeriodStart;
    // End of the time in which entries may be those of a copy.
    std::optional<Time> copyDistrustedUntil;
    // Start of the grace period of each vanished entry.
    std::map<EndpointId, Time> vanishedSince;
};

} // namespace endivetrestle
