#pragma once

#include "connection/endpoint_connection.h"
#include "connection/workspace_demand.h"
#include "process/endpoint_directory.h"

#include <algorithm>
#include <map>
#include <optional>

namespace endivetrestle {

// Adaptive limit on the statements that run concurrently at one endpoint. Excess statements wait in the proxy, where
// they are ordered by priority, and not at the endpoint. The limit grows while it is reached and latency stays near
// that of an unloaded endpoint. It shrinks when latency rises well above that or the endpoint refuses a statement as
// busy. Daemons that share an endpoint thus converge on a short queue there without coordination.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(int slots);

    // Records an answer. `running` is the number of statements under way, including the answered one.
    void onAnswer(Duration latency, int running, Time now);
    void onBusy(Time now);
    void setSlots(int slots);
    [[nodiscard]] bool allows(int running) const { return running < static_cast<int>(this->limit); }
    [[nodiscard]] double value() const { return this->limit; }
    // Estimated latency of a statement on an unloaded endpoint.
    [[nodiscard]] Duration unloadedLatency() const { return this->baseline; }

private:
    void evaluateWindow(Time now);
    [[nodiscard]] double minimum() const;

    double limit;
    double slots;
    // Lowest average latency of a window. It drifts upwards so that it follows changes in the mix of statements.
    Duration baseline {};
    Duration windowSum {};
    int windowSamples = 0;
    bool limitReached = false;
    Time windowStart;
    Time decreasedAt;
};

// Connections, limits and measurements of one endpoint of a group.
struct EndpointState {
    explicit EndpointState(const EndpointRecord& record)
        : record(record)
        , limit(record.slots)
    {
    }

    EndpointRecord record;
    ConcurrencyLimit limit;
    std::map<ConnectionId, EndpointConnection> connections;
    // Control commands that wait for a connection.
    std::deque<ControlTaskPtr> controls;
    // Peak number of connections in use at the same time; it decays.
    double busyPeak = 0;
    // Statements sent to the endpoint lately, by workspace.
    WorkspaceDemand demand;
    // Statements that run at the endpoint.
    int running = 0;
    int opening = 0;
    // Last known position of the endpoint's log.
    std::optional<Position> position;
    // Smoothed time from sending a statement to its answer.
    Duration latency = std::chrono::milliseconds(10);
    // Estimated replication lag: the endpoint is expected to hold positions that are older.
    Duration lagEstimate = std::chrono::milliseconds(10);
    // Until this time the endpoint gets no reads that need a position it is not known to hold.
    Time laggingUntil;
    Time lastAnswerAt;
    // Whether the endpoint has left outstanding statements unanswered for too long.
    bool silent = false;
    // Failed attempts to open a connection since the last success.
    int openFailures = 0;
    Time openNotBefore;
    // Whether the endpoint refused the last attempt because its connection limit is reached.
    bool atConnectionLimit = false;
    // Time before which no connection beyond this daemon's share is opened, because the endpoint refused one.
    Time overflowNotBefore;

    // An idle connection of the workspace, preferably one that already holds the state of the session.
    EndpointConnection* findIdle(const SessionState& session, const WorkspaceId& workspace);
    [[nodiscard]] bool hasIdle(const WorkspaceId& workspace) const;
    // Connections of the workspace that are being opened.
    [[nodiscard]] int openingFor(const WorkspaceId& workspace) const;
    [[nodiscard]] bool hasOpenConnection() const { return this->opening < static_cast<int>(this->connections.size()); }
    // Time at which the oldest outstanding statement was sent; no value if none is outstanding.
    [[nodiscard]] std::optional<Time> oldestOutstanding() const;

    // Connections that run a statement, hold a transaction, or run a rollback or reset.
    [[nodiscard]] int connectionsInUse() const;
    // Connections on which a transaction is open or being opened.
    [[nodiscard]] int transactions() const;
    // Raises the peak to the present number of connections in use.
    void updateBusyPeak() { this->busyPeak = std::max(this->busyPeak, static_cast<double>(this->connectionsInUse())); }
    // Lowers the peak towards the present number of connections in use. Called at every tick.
    void decayBusyPeak();
    // Number of connections that recent use justifies.
    [[nodiscard]] int connectionsWanted() const;
    // Adds a measured latency to the smoothed one.
    void addLatency(Duration sample);
    // Records that the endpoint did not hold a position of the given age.
    void onLagging(Duration positionAge, Time now);
    // Records that the endpoint held a position of the given age that it was not known to hold.
    void onCaughtUp(Duration positionAge);
    // Lowers the lag estimate over time, so that an endpoint that has caught up gets reads again.
    void decayLagEstimate();
};

} // namespace endivetrestle
