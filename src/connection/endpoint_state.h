#pragma once

#include "connection/endpoint_connection.h"
#include "process/endpoint_directory.h"

#include <algorithm>
#include <map>
#include <optional>

namespace endivetrestle {

// Limits how many statements run at one endpoint at once, so that the rest waits here, by priority, and not at the
// endpoint. The limit grows while it is used up and answers take little longer than on an unloaded endpoint, and
// shrinks when they take much longer or the endpoint refuses one as busy. Several daemons that share an endpoint thus
// settle on a short queue there without knowing of each other.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(int slots);

    // A statement was answered after the given time; `running` counts those under way, this one included.
    void onAnswer(Duration latency, int running, Time now);
    void onBusy(Time now);
    void setSlots(int slots);
    [[nodiscard]] bool allows(int running) const { return running < static_cast<int>(this->limit); }
    [[nodiscard]] double value() const { return this->limit; }
    // Usual time of a statement on an unloaded endpoint.
    [[nodiscard]] Duration unloadedLatency() const { return this->baseline; }

private:
    void judgeWindow(Time now);
    [[nodiscard]] double lowest() const;

    double limit;
    double slots;
    // Lowest average of a window, drifting upwards so that it follows a change of the load's mix.
    Duration baseline {};
    Duration windowSum {};
    int windowSamples = 0;
    bool limitReached = false;
    Time windowStart;
    Time decreasedAt;
};

// What is known about one endpoint of a group.
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
    // Most connections in use at once, decaying with time.
    double busyPeak = 0;
    // Statements that run.
    int running = 0;
    int opening = 0;
    // Last known position of its log.
    std::optional<Position> position;
    // Smoothed time from sending a statement to its answer.
    Duration latency = std::chrono::milliseconds(10);
    // Age that a position must have before the endpoint is expected to hold it.
    Duration lagEstimate = std::chrono::milliseconds(60);
    // Time until which it gets no reads for positions that it is not known to hold.
    Time laggingUntil;
    Time lastAnswerAt;
    // Whether statements have been outstanding for long without any answer.
    bool silent = false;
    // Failed attempts to open a connection since the last success.
    int openFailures = 0;
    Time openNotBefore;
    // Time before which no connection beyond the share is opened, because the endpoint had no room.
    Time overflowNotBefore;

    // An idle connection, preferably one that already holds the state of the session.
    EndpointConnection* findIdle(const SessionState& session);
    [[nodiscard]] bool hasIdle() const;
    // Time at which the oldest outstanding statement was sent; no value if none is outstanding.
    [[nodiscard]] std::optional<Time> oldestOutstanding() const;

    // Connections that run a statement, hold a transaction or end one.
    [[nodiscard]] int connectionsInUse() const;
    // Connections on which a transaction is open or being opened.
    [[nodiscard]] int transactions() const;
    // Counts the connections in use towards the peak.
    void noteUse() { this->busyPeak = std::max(this->busyPeak, static_cast<double>(this->connectionsInUse())); }
    // Called at every tick.
    void decayBusyPeak();
    // Connections that recent use justifies.
    [[nodiscard]] int connectionsWanted() const;
    // Smooths a measured latency.
    void addLatency(Duration sample);
    // Learns that the endpoint did not hold a position of the given age.
    void onLagging(Duration positionAge, Time now);
    // Learns that the endpoint held a position of the given age that it was not known to hold.
    void onCaughtUp(Duration positionAge);
    // Lets the estimate shrink with time, so that an endpoint that has caught up is tried again.
    void decayLagEstimate();
};

} // namespace endivetrestle
