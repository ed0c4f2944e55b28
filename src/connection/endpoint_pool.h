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

// State of a connection. A closed connection is not in the pool any more.
enum class ConnectionState {
    // The open was requested and not yet answered.
    Opening,
    // Open and free.
    Idle,
    // Checked out for one statement; occupies a slot.
    Busy,
    // Held by a transaction. Occupies a slot only while a statement of the transaction runs.
    Pinned,
    // Being reset after a dirty release; occupies a slot, because the endpoint runs the reset.
    Resetting,
    // The close was requested and not yet reported. Occupies a slot if a statement or reset was running, because the
    // endpoint may still run it.
    Closing,
};

// Condition in which a connection comes back.
enum class ReleaseState {
    // Nothing of the use is left on the connection.
    Clean,
    // A transaction or session state may be left on it.
    Dirty,
};

// Why a connection is closed, for logs and metrics.
enum class CloseReason { Surplus, IdleTooLong, Leaving, Abandoned, CrossedAnswer, OpenTimeout, ResetFailed, Dirty };

// Requests of the pool to the edge. The edge reports back with onOpened() or onOpenFailed(), onClosed() and
// onResetDone().
struct OpenConnection {
    ConnectionId connection;
    EndpointId endpoint;

    bool operator==(const OpenConnection&) const = default;
};
struct CloseConnection {
    ConnectionId connection;
    CloseReason reason = CloseReason::Surplus;

    bool operator==(const CloseConnection&) const = default;
};
struct ResetConnection {
    ConnectionId connection;
    // Generation that the answer must name in onResetDone().
    std::uint64_t generation = 0;

    bool operator==(const ResetConnection&) const = default;
};
using PoolAction = std::variant<OpenConnection, CloseConnection, ResetConnection>;

// This owner's share of an endpoint.
struct EndpointLimits {
    // Connections in any state, closing ones included, because the endpoint counts them until they are closed.
    int maxConnections = 16;
    // Connections that are kept open without demand, pinned ones not counted.
    int warmMinimum = 1;
    // Statements that run at once.
    int slots = 2;

    bool operator==(const EndpointLimits&) const = default;
};

struct PoolEndpoint {
    EndpointId id;
    EndpointLimits limits;
    // No new checkouts; connections are closed when they come back.
    bool leaving = false;

    bool operator==(const PoolEndpoint&) const = default;
};

struct EndpointPoolSettings {
    // Opens in progress to all endpoints together.
    int maxConcurrentOpens = 8;
    // Opens in progress to one endpoint. After a failed open it is 1 until an open succeeds.
    int maxConcurrentOpensPerEndpoint = 4;
    // Time after which an unanswered open counts as failed.
    Duration openTimeout = std::chrono::seconds(1);
    // Time after which an unanswered reset counts as failed.
    Duration resetTimeout = std::chrono::milliseconds(500);
    // Time without use after which a connection above the warm minimum is closed.
    Duration idleClose = std::chrono::seconds(60);
    // Wait before the next open after a failed one. It doubles with every further failure up to the maximum.
    Duration backoffFirst = std::chrono::milliseconds(50);
    Duration backoffMax = std::chrono::seconds(1);
    // Time for which a transaction may go on at a leaving endpoint. Afterwards its connection is closed as soon as no
    // statement runs. It is below the 2 s after which a leaving endpoint must not get new work.
    Duration leavingGrace = std::chrono::milliseconds(1500);
    // Returns the wait to use in place of a backoff, for example a random one between half of it and all of it. No
    // function: the backoff itself.
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

// Connections of one owner to the endpoints of one database. Each function is one transition; it returns false or no
// value, and changes nothing, if the connection is not in the state or use that it names. Actions are collected until
// takeActions().
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

    // Changes the share of one endpoint. Connections above a lower limit are closed when they are idle or come back.
    // Returns false for an unknown endpoint.
    bool setLimits(const EndpointId& endpoint, const EndpointLimits& limits, Time now);

    // Idle to Busy. No value if no slot is free, the endpoint is leaving or unknown, or no connection is idle; in the
    // last case a connection is opened as soon as the limits allow.
    std::optional<ConnectionUse> checkOut(const EndpointId& endpoint, Time now);

    // Busy to Idle, Resetting (dirty) or Closing (leaving endpoint or surplus).
    bool release(const ConnectionUse& use, ReleaseState state, Time now);

    // Busy to Pinned, once the statement that begins the transaction has been answered. Frees the slot. The use that
    // checkOut() returned identifies the pin from then on.
    bool pin(const ConnectionUse& use);

    // Starts a statement on a pinned connection and occupies a slot. No value if a statement runs already or no slot is
    // free. The returned use identifies the statement.
    std::optional<ConnectionUse> beginStatement(const ConnectionUse& pin);

    // Ends a statement on a pinned connection and frees its slot.
    bool endStatement(const ConnectionUse& statement, Time now);

    // Pinned to Idle, Resetting or Closing, like release(). While a statement runs the connection is closed.
    bool unpin(const ConnectionUse& pin, ReleaseState state, Time now);

    // Whether an answer belongs to the statement that currently runs on the connection. An answer for any other use
    // shows that the connection is out of step, so the connection is closed and the answer must not be used.
    bool acceptAnswer(const ConnectionUse& use, Time now);

    // Gives up waiting for the statement of a use. The connection is closed and never used again, so that its late
    // answer reaches nobody.
    bool abandon(const ConnectionUse& use, Time now);

    // Opening to Idle.
    bool onOpened(ConnectionId connection, Time now);
    // Opening to closed; delays the next open.
    bool onOpenFailed(ConnectionId connection, Time now);
    // Resetting to Idle, or to Closing if the reset failed.
    bool onResetDone(ConnectionId connection, std::uint64_t generation, bool succeeded, Time now);

    // Any state to closed. Returns the use that was interrupted: the running statement, or the pin if none was running.
    // No value if the connection was not in use or the owner ended the use itself, which release(), unpin() and
    // abandon() do even when they return false because the pool is closing the connection.
    std::optional<ConnectionUse> onClosed(ConnectionId connection, Time now);

    // Ends the backoff of an endpoint, for an endpoint that has been seen alive by other means.
    void clearBackoff(const EndpointId& endpoint, Time now);

    // Closes idle and timed-out connections, and opens those that the warm minimum or earlier checkouts ask for.
    void tick(Time now);

    // When tick() has something to do next, or Time::max().
    [[nodiscard]] Time nextDue() const;

    // Actions since the last call, in order.
    std::vector<PoolAction> takeActions();

    [[nodiscard]] bool hasFreeSlot(const EndpointId& endpoint) const;
    // Whether checkOut() would succeed.
    [[nodiscard]] bool canCheckOut(const EndpointId& endpoint) const;
    [[nodiscard]] EndpointCounts counts(const EndpointId& endpoint) const;
    // No value if the connection is closed.
    [[nodiscard]] std::optional<ConnectionState> stateOf(ConnectionId connection) const;

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
        // The use that the pool itself cut off by closing the connection.
        std::optional<ConnectionUse> interrupted;
        // When the state was entered.
        Time since;
    };

    struct Endpoint {
        EndpointLimits limits;
        bool leaving = false;
        bool listed = true;
        Time leavingSince;
        EndpointCounts counts;
        // Idle connections, the most recently used last.
        std::vector<ConnectionId> idle;
        // A checkout found no idle connection.
        bool demand = false;
        int failures = 0;
        Time openNotBefore;
    };

    using Connections = std::map<ConnectionId, Connection>;

    Connections::iterator findInState(ConnectionId connection, ConnectionState state);
    Connections::iterator findPin(const ConnectionUse& pin);
    Endpoint& endpointOf(const Connection& connection) { return this->endpoints.at(connection.endpoint); }

    int& countOf(EndpointCounts& counts, ConnectionState state) const;
    void enter(Connections::iterator connection, ConnectionState state, Time now);
    void useSlot(Connection& connection, bool used);
    void close(Connections::iterator connection, CloseReason reason, Time now);
    // Closes a connection whose use has not ended, and remembers that use for onClosed().
    void interrupt(Connections::iterator connection, CloseReason reason, Time now);
    void forgetInterrupted(const ConnectionUse& use);
    void remove(Connections::iterator connection, Time now);
    void returnConnection(Connections::iterator connection, ReleaseState state, Time now);

    [[nodiscard]] bool surplus(const Endpoint& endpoint) const;
    [[nodiscard]] bool graceOver(const Endpoint& endpoint, Time now) const;
    void applyLimits(const EndpointId& id, Time now);
    void noteOpenFailure(Endpoint& endpoint, Time now);
    [[nodiscard]] bool wantsOpen(const Endpoint& endpoint) const;
    [[nodiscard]] bool mayOpen(const Endpoint& endpoint) const;
    void replenish(Time now);
    [[nodiscard]] std::optional<Time> idleCloseDue(const Endpoint& endpoint) const;
    [[nodiscard]] Time dueOf(const Connection& connection) const;

    EndpointPoolSettings settings;
    std::map<EndpointId, Endpoint> endpoints;
    Connections connections;
    std::uint64_t lastConnection = 0;
    int opening = 0;
    std::vector<PoolAction> actions;
};

} // namespace endivetrestle
