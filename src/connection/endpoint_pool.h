#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "connection/connection_use.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace endivetrestle {

// State of a connection in the pool. Closed connections are removed.
enum class ConnectionState {
    // The open was requested and not yet answered.
    Opening,
    // Open and free.
    Idle,
    // Checked out for one statement; occupies a slot.
    Busy,
    // Held by a transaction. Occupies a slot only while a statement of the transaction runs.
    Pinned,
    // Being reset after a dirty release. Occupies a slot, because the endpoint runs the reset.
    Resetting,
    // The close was requested and is not confirmed yet. Occupies a slot if a statement or reset was running, because
    // the
    // endpoint may still run it.
    Closing,
};

// Condition in which a connection is returned to the pool.
enum class ReleaseState {
    // Nothing of the use is left on the connection.
    Clean,
    // A transaction or session state may be left on it.
    Dirty,
};

// Why a connection is closed, for logs and metrics.
enum class CloseReason { Surplus, IdleTooLong, Leaving, Abandoned, CrossedAnswer, OpenTimeout, ResetFailed, Dirty };

// Actions that the pool requests from the network layer (src/edge). Their results are reported with onOpened() or
// onOpenFailed(), onClosed() and onResetDone().
struct OpenConnection {
    PoolConnectionId connection;
    EndpointId endpoint;

    bool operator==(const OpenConnection&) const = default;
};
struct CloseConnection {
    PoolConnectionId connection;
    CloseReason reason = CloseReason::Surplus;

    bool operator==(const CloseConnection&) const = default;
};
struct ResetConnection {
    PoolConnectionId connection;
    // Generation that the answer must name in onResetDone().
    std::uint64_t generation = 0;

    bool operator==(const ResetConnection&) const = default;
};
using PoolAction = std::variant<OpenConnection, CloseConnection, ResetConnection>;

// Share of an endpoint's capacity that the owner of the pool may use.
struct EndpointLimits {
    // Connections in any state. Closing ones are included, because the endpoint counts them until they are closed.
    int maxConnections = 16;
    // Connections that are kept open without demand; pinned ones are not counted.
    int warmMinimum = 1;
    // Statements that run at once.
    int slots = 2;

    bool operator==(const EndpointLimits&) const = default;
};

struct PoolEndpoint {
    EndpointId id;
    EndpointLimits limits;
    // Allows no new checkouts; connections are closed when they are returned.
    bool leaving = false;

    bool operator==(const PoolEndpoint&) const = default;
};

struct EndpointPoolSettings {
    // Concurrent opens to all endpoints together.
    int maxConcurrentOpens = 8;
    // Concurrent opens to one endpoint. After a failed open the limit is 1 until an open succeeds.
    int maxConcurrentOpensPerEndpoint = 4;
    // Time after which an unanswered open counts as failed.
    Duration openTimeout = std::chrono::seconds(1);
    // Time after which an unanswered reset counts as failed.
    Duration resetTimeout = std::chrono::milliseconds(500);
    // Idle time after which a connection above the warm minimum is closed.
    Duration idleClose = std::chrono::seconds(60);
    // Wait before the next open after a failed one. It doubles with every further failure up to the maximum.
    Duration backoffFirst = std::chrono::milliseconds(50);
    Duration backoffMax = std::chrono::seconds(1);
    // Time for which a transaction may continue at a leaving endpoint. Afterwards its connection is closed as soon as
    // no statement runs. It is below the 2 s after which a leaving endpoint must not get new work.
    Duration leavingGrace = std::chrono::milliseconds(1500);
    // Maps a backoff to the actual wait, for example a random one between half of it and all of it. Without a function
    // the wait is the backoff.
    std::function<Duration(Duration)> jitter;
};

// Numbers of connections of one endpoint by state.
struct EndpointCounts {
    int opening = 0;
    int idle = 0;
    int busy = 0;
    int pinned = 0;
    int resetting = 0;
    int closing = 0;
    // Slots that are occupied.
    int usedSlots = 0;

    [[nodiscard]] int total() const
    {
        return this->opening + this->idle + this->busy + this->pinned + this->resetting + this->closing;
    }
    bool operator==(const EndpointCounts&) const = default;
};

// Connections of one owner to the endpoints of one database. Each function is one state transition. It returns false or
// no value, and changes nothing, if the connection is not in the required state or the given use is not its current
// one. Actions are collected until takeActions().
//
// Example:
//     EndpointPool pool(settings);
//     pool.setEndpoints({ { EndpointId("e1"), { 16, 2, 2 } } }, now);
//     perform(pool.takeActions()); // opens 2 connections
//     pool.onOpened(connection, now);
//     if (auto use = pool.checkOut(EndpointId("e1"), now)) {
//         ...
//         if (pool.acceptAnswer(*use, now))
//             pool.release(*use, ReleaseState::Clean, now);
//     }
class EndpointPool {
public:
    explicit EndpointPool(EndpointPoolSettings settings);

    // Replaces the set of endpoints. An endpoint that is no longer listed is treated as leaving and forgotten once its
    // last connection is closed.
    void setEndpoints(const std::vector<PoolEndpoint>& endpoints, Time now);

    // Changes the share of one endpoint. Connections above a lower limit are closed when they are idle or returned.
    // Returns false for an unknown endpoint.
    bool setLimits(const EndpointId& endpoint, const EndpointLimits& limits, Time now);

    // Idle to Busy. No value if no slot is free, the endpoint is leaving or unknown, or no connection is idle. In the
    // last case a connection is opened as soon as the limits allow.
    std::optional<ConnectionUse> checkOut(const EndpointId& endpoint, Time now);

    // Busy to Idle, Resetting (dirty) or Closing (leaving endpoint or surplus).
    bool release(const ConnectionUse& use, ReleaseState state, Time now);

    // Busy to Pinned, once the statement that begins the transaction has been answered. Frees the slot. From then on
    // the use that checkOut() returned identifies the pin.
    bool pin(const ConnectionUse& use);

    // Starts a statement on a pinned connection and occupies a slot. No value if a statement runs already or no slot is
    // free. The returned use identifies the statement.
    std::optional<ConnectionUse> beginStatement(const ConnectionUse& pin);

    // Ends a statement on a pinned connection and frees its slot.
    bool endStatement(const ConnectionUse& statement, Time now);

    // Pinned to Idle, Resetting or Closing, like release(). Closes the connection if a statement is running.
    bool unpin(const ConnectionUse& pin, ReleaseState state, Time now);

    // Whether an answer belongs to the statement that currently runs on the connection. An answer to any other use
    // shows that requests and answers are out of step; the connection is then closed and the answer must not be used.
    bool acceptAnswer(const ConnectionUse& use, Time now);

    // Stops waiting for the answer to a use. The connection is closed and never used again, so that a late answer
    // cannot reach another caller.
    bool abandon(const ConnectionUse& use, Time now);

    // Opening to Idle.
    bool onOpened(PoolConnectionId connection, Time now);
    // Removes a connection that could not be opened and delays the next open.
    bool onOpenFailed(PoolConnectionId connection, Time now);
    // Resetting to Idle, or to Closing if the reset failed.
    bool onResetDone(PoolConnectionId connection, std::uint64_t generation, bool succeeded, Time now);

    // Removes a closed connection. Returns the use that was interrupted: the running statement, or the pin if no
    // statement was running. No value if the connection was not in use or the owner had ended the use. release(),
    // unpin() and abandon() end a use even if they return false because the pool is closing the connection.
    std::optional<ConnectionUse> onClosed(PoolConnectionId connection, Time now);

    // Ends the backoff of an endpoint that is known to be alive from other evidence.
    void clearBackoff(const EndpointId& endpoint, Time now);

    // Closes idle and timed-out connections, and opens those that the warm minimum or earlier checkouts need.
    void tick(Time now);

    // Time at which tick() next has something to do, or Time::max().
    [[nodiscard]] Time nextDue() const;

    // Actions since the last call, in order.
    std::vector<PoolAction> takeActions();

    [[nodiscard]] bool hasFreeSlot(const EndpointId& endpoint) const;
    // Whether checkOut() would succeed.
    [[nodiscard]] bool canCheckOut(const EndpointId& endpoint) const;
    [[nodiscard]] EndpointCounts counts(const EndpointId& endpoint) const;
    // No value if the connection is closed.
    [[nodiscard]] std::optional<ConnectionState> stateOf(PoolConnectionId connection) const;

private:
    struct Connection {
        EndpointId endpoint;
        ConnectionState state = ConnectionState::Opening;
        // Generation of the latest use or reset.
        std::uint64_t generation = 0;
        // Generation of the pin.
        std::uint64_t pinGeneration = 0;
        // Whether a statement or reset occupies a slot.
        bool usesSlot = false;
        // Whether onOpened() was received.
        bool opened = false;
        // The use that the pool interrupted by closing the connection.
        std::optional<ConnectionUse> interrupted;
        // Time at which the state was entered.
        Time since;
    };

    struct Endpoint {
        EndpointLimits limits;
        bool leaving = false;
        bool listed = true;
        Time leavingSince;
        EndpointCounts counts;
        // Idle connections, the most recently used last.
        std::vector<PoolConnectionId> idle;
        // A checkout found no idle connection.
        bool unmetDemand = false;
        int openFailures = 0;
        Time openNotBefore;
    };

    using Connections = std::map<PoolConnectionId, Connection>;

    Connections::iterator findInState(PoolConnectionId connection, ConnectionState state);
    Connections::iterator findPin(const ConnectionUse& pin);
    Endpoint& endpointOf(const Connection& connection) { return this->endpoints.at(connection.endpoint); }

    int& countOf(EndpointCounts& counts, ConnectionState state) const;
    void changeState(Connections::iterator connection, ConnectionState state, Time now);
    void setSlotUse(Connection& connection, bool used);
    void close(Connections::iterator connection, CloseReason reason, Time now);
    // Closes a connection whose use has not ended and records that use for onClosed().
    void interrupt(Connections::iterator connection, CloseReason reason, Time now);
    void clearInterrupted(const ConnectionUse& use);
    void remove(Connections::iterator connection, Time now);
    void returnConnection(Connections::iterator connection, ReleaseState state, Time now);

    [[nodiscard]] bool exceedsLimit(const Endpoint& endpoint) const;
    [[nodiscard]] bool leavingGraceExpired(const Endpoint& endpoint, Time now) const;
    void applyLimits(const EndpointId& id, Time now);
    void recordOpenFailure(Endpoint& endpoint, Time now);
    [[nodiscard]] bool wantsOpen(const Endpoint& endpoint) const;
    [[nodiscard]] bool mayOpen(const Endpoint& endpoint) const;
    void openNeededConnections(Time now);
    [[nodiscard]] std::optional<Time> idleCloseDue(const Endpoint& endpoint) const;
    [[nodiscard]] Time deadlineOf(const Connection& connection) const;

    EndpointPoolSettings settings;
    std::map<EndpointId, Endpoint> endpoints;
    Connections connections;
    std::uint64_t lastConnection = 0;
    int opening = 0;
    std::vector<PoolAction> actions;
};

} // namespace endivetrestle
