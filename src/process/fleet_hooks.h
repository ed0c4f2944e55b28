#pragma once

#include "base/identifier.h"
#include "base/socket_address.h"
#include "connection/endpoint_connection.h"
#include "process/endpoint_directory.h"
#include "process/endpoint_report.h"
#include "process/fleet_rows.h"
#include "process/lease_batch.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace endivetrestle {

// How a call to another daemon ended.
enum class PeerStatus {
    Done,
    // No answer, or no connection. A refused connection does not tell whether the daemon has ended: a network that is
    // cut may refuse connections to a daemon that runs and holds its lease.
    Unanswered,
};

// Answer of the platform to a promotion order.
enum class PromotionOutcome { Accepted, Rejected, Unavailable, Unknown };

// Group whose primary a daemon watches.
struct WatchedGroup {
    DatabaseId id;
    // Whether the daemon owns the group's connections. Otherwise it only runs statements of the group at the moment.
    bool ownedHere = true;

    bool operator==(const WatchedGroup&) const = default;
};

// Functions that the fleet controller needs from its daemon. Every callback runs exactly once, and only after the call
// has returned.
struct FleetHooks {
    // Asks another daemon to stop using the primary of a claimed group. Done means that the daemon has stopped.
    std::function<void(const SocketAddress&, const Claim&, std::function<void(PeerStatus)>)> requestSuspend;
    // Tells another daemon the primaries of some groups. The message may be lost, because daemons also read the store.
    std::function<void(const SocketAddress&, const std::vector<PrimaryRow>&)> announce;
    // Asks another daemon to renew this daemon's lease in a batch. Refused means that it did not do so, Unknown that it
    // did not answer within the timeout.
    std::function<void(const SocketAddress&, const LeaseRenewal&, Duration timeout, TableStore::Callback)>
        requestRenewal;
    // Asks another daemon whether it reaches an endpoint; no value if the daemon does not answer.
    std::function<void(
        const SocketAddress&, const DatabaseId&, const EndpointId&, std::function<void(std::optional<bool>)>)>
        askReachable;
    // Asks another daemon for the newest claim that it knows; no value if it does not answer or has no lease itself.
    std::function<void(const SocketAddress&, std::function<void(std::optional<StoreVersion>)>)> askWitness;
    // Asks an endpoint for its report, once.
    std::function<void(const DatabaseId&, const EndpointId&, std::function<void(const EndpointReply&)>)> queryEndpoint;
    // Tells an endpoint to step down as primary of any term below the given one.
    std::function<void(const DatabaseId&, const EndpointId&, std::uint64_t term, std::function<void()>)> demote;
    // Orders the platform to promote an endpoint.
    std::function<void(
        const DatabaseId&, const EndpointId&, std::uint64_t token, std::function<void(PromotionOutcome)>)>
        promote;
    // Starts to use the primary of a row that is not being replaced.
    std::function<void(const PrimaryRow&)> usePrimary;
    // Stops using the primary of a group; the callback runs when no statement is outstanding there.
    std::function<void(const DatabaseId&, std::function<void()>)> suspendLocally;
    // Brings the registered endpoints up to the present state of the store. The callback tells whether this succeeded.
    std::function<void(std::function<void(bool)>)> refreshEndpoints;
    // Whether an endpoint that is not registered is gone, and not only missing after an outage of the store.
    std::function<bool()> missingEndpointsAreGone;
    // Registered endpoints of a group, as this daemon last read them.
    std::function<std::vector<EndpointRecord>(const DatabaseId&)> endpointsOf;
    // Tells whether a process of the holder's id answers at its address, registered or not.
    std::function<void(const DatabaseId&, const CommitHolder&, std::function<void(bool alive)>)> probeEndpoint;
    // Number of replicas of a group that receive a commit before it is acknowledged.
    std::function<std::size_t(const DatabaseId&)> syncReplicas;
    // Groups of the current configuration.
    std::function<std::vector<DatabaseId>()> groups;
    // Groups whose primary this daemon watches. In a large fleet a daemon owns or uses few of all groups.
    std::function<std::vector<WatchedGroup>()> watchedGroups;
    // Whether statements to the primary of a group go unanswered or are refused.
    std::function<bool(const DatabaseId&)> suspectsPrimary;
    // Daemons that use the primary of a group, which are asked whether they reach it; empty if all daemons use it.
    std::function<std::vector<DaemonId>(const DatabaseId&)> daemonsUsingPrimary;
    // Reports the other daemons that are alive.
    std::function<void(const std::vector<LeaseRow>&)> onLiveDaemons;
};

} // namespace endivetrestle
