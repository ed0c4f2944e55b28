#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/socket_address.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle {

// What an endpoint reports about itself in the registry.
struct EndpointRecord {
    EndpointId id;
    DatabaseId group;
    SocketAddress address;
    DataCentre dataCentre;
    // Statements that the endpoint runs at once.
    int slots = 1;
    bool draining = false;
    // Whether the endpoint considers itself the primary. A replaced primary may still say so.
    bool claimsPrimary = false;
    // Start of the endpoint's process as a Unix time in milliseconds; tells restarts under one id apart.
    std::int64_t bornMs = 0;

    bool operator==(const EndpointRecord&) const = default;
};

// View of the registered endpoints. An entry that disappears is kept for a grace period, because entries expire while
// the store is unavailable although their endpoints are alive.
//
// Example:
//     directory.apply(EndpointId("a"), record, now);
//     directory.apply(EndpointId("a"), std::nullopt, now); // still listed
//     directory.expire(now + EndpointDirectory::removalGrace); // true: "a" is gone
class EndpointDirectory {
public:
    // Time for which a vanished entry is kept. Entries of live endpoints are back within two seconds of a store outage.
    static constexpr Duration removalGrace = std::chrono::milliseconds(2500);

    // Applies one changed or removed entry. Returns whether the listed records changed.
    bool apply(const EndpointId& id, const std::optional<EndpointRecord>& record, Time now);

    // Replaces the whole view with a full listing; entries that are not in it start their grace period.
    bool replaceAll(const std::vector<EndpointRecord>& records, Time now);

    // Drops the entries whose grace period has ended. Returns whether any was dropped.
    bool expire(Time now);

    // Restarts the grace period of all vanished entries; called when the store answers again after an outage.
    void restartGrace(Time now);

    [[nodiscard]] const std::map<EndpointId, EndpointRecord>& records() const { return this->current; }
    // Listed endpoints of one group, without a pass over those of the others.
    [[nodiscard]] std::vector<EndpointRecord> recordsOf(const DatabaseId& group) const;
    // Groups whose listed records have changed since the last call.
    std::set<DatabaseId> takeChangedGroups();
    // Whether the entry has vanished and is only kept for its grace period.
    [[nodiscard]] bool isVanished(const EndpointId& id) const { return this->vanished.count(id) != 0; }

private:
    void put(const EndpointRecord& record);
    void leaveGroup(const EndpointRecord& record);

    std::map<EndpointId, EndpointRecord> current;
    std::map<DatabaseId, std::set<EndpointId>> members;
    std::set<DatabaseId> changedGroups;
    // Start of the grace period by vanished endpoint.
    std::map<EndpointId, Time> vanished;
};

} // namespace endivetrestle
