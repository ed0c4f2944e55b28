#pragma once

#include "edge/endpoint_call_json.h"
#include "edge/json_http.h"
#include "standin/endpoint_switches.h"
#include "standin/group_core.h"
#include "standin/signal.h"
#include "standin/slot_gate.h"

#include <functional>
#include <random>
#include <set>
#include <string>

namespace endivetrestle::standin {

// Counts of one endpoint since its start.
struct EndpointCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t opened = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t droppedRequests = 0;
};

// Calls of an EndpointServer to its owner.
struct EndpointHooks {
    // The core's log, term or role may have changed.
    std::function<void()> onChange;
    // One-way delay between a data centre and this endpoint.
    std::function<Duration(const std::string& dataCentre)> oneWayDelay;
};

// Serves one core over HTTP: connections, slots, service time and faults. Requests that were taken run even if their
// connection is closed in the meantime, as a database does.
class EndpointServer final : private kj::TaskSet::ErrorHandler {
public:
    // The network, the timer and the hooks' targets must outlive the server.
    EndpointServer(kj::Network& network, kj::Timer& timer, GroupCore core, JsonHttpServerOptions options,
        EndpointSwitches switches, EndpointHooks hooks, std::uint64_t seed);
    KJ_DISALLOW_COPY(EndpointServer);

    // Why the endpoint does not listen; empty if it does or is down.
    [[nodiscard]] const std::string& problem() const { return this->listenProblem; }
    // Port of the endpoint. Stays the same while the endpoint is down.
    [[nodiscard]] std::uint16_t port() const { return this->options.port; }

    [[nodiscard]] GroupCore& core() { return this->state; }
    [[nodiscard]] const EndpointSwitches& switches() const { return this->current; }
    [[nodiscard]] const EndpointCounters& counters() const { return this->counts; }
    // Open connections for statements.
    [[nodiscard]] std::size_t connections() const { return this->statementConnections.size(); }
    [[nodiscard]] int busySlots() const { return this->gate.running(); }
    [[nodiscard]] std::size_t waitingStatements() const { return this->gate.waiting(); }

    // Puts switches in force. Must not be called by a handler of this server.
    void setSwitches(EndpointSwitches next);

    // Whether the endpoint takes part in replication at the moment.
    [[nodiscard]] bool proceeds() const { return !this->current.down && !this->current.paused; }

    // Tells watchers and the owner that the core may have changed.
    void notifyChange();

    // Applies the records that are in the log now, after the apply lag.
    void scheduleApply();

    // Time of the event loop as decision modules see it.
    [[nodiscard]] Time now() const;

private:
    kj::Promise<JsonHttpResponse> handle(JsonHttpRequest request);
    kj::Promise<JsonHttpResponse> handleLater(JsonHttpRequest request, Duration before, Duration after);
    kj::Promise<JsonHttpResponse> dispatch(JsonHttpRequest request);
    kj::Promise<JsonHttpResponse> control(const JsonHttpRequest& request);
    kj::Promise<JsonHttpResponse> execute(const JsonHttpRequest& request);
    kj::Promise<JsonHttpResponse> open(const JsonHttpRequest& request);
    kj::Promise<JsonHttpResponse> watch(Tagged<WatchCall> call, Time deadline);
    kj::Promise<JsonHttpResponse> detach(kj::Promise<JsonHttpResponse> work);
    kj::Promise<void> whenRunning();
    kj::Promise<JsonHttpResponse> finish(JsonHttpResponse response);
    JsonHttpResponse run(std::uint64_t connection, const ExecuteCall& call);
    EndpointStatus report(EndpointStatus status) const;
    template <typename Answer> JsonHttpResponse answer(std::string tag, Answer value);
    bool chance(std::int64_t& count, double share);
    void startListening();
    void stopListening();
    void forget(std::uint64_t connection);
    void taskFailed(kj::Exception&& exception) override;

    kj::Network& network;
    kj::Timer& timer;
    GroupCore state;
    JsonHttpServerOptions options;
    EndpointSwitches current;
    EndpointHooks hooks;
    std::mt19937_64 random;
    EndpointCounters counts;
    std::string listenProblem;
    SlotGate gate;
    Signal changed;
    Signal resumed;
    std::set<std::uint64_t> openConnections;
    std::set<std::uint64_t> statementConnections;
    std::string crossedAnswer;
    kj::Own<kj::TaskSet> tasks;
    kj::Own<JsonHttpServer> server;
};

} // namespace endivetrestle::standin
