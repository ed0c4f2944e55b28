#pragma once

#include "base/lock_order.h"
#include "edge/endpoint_gateway.h"
#include "process/burn_tracker.h"
#include "process/database_controller.h"
#include "process/journal.h"
#include "process/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>

namespace endivetrestle {

// What the runtimes of all databases share. Everything outlives the runtimes.
struct RuntimeContext {
    NetworkLoop& loop;
    Journal& journal;
    BurnTracker& burn;
    Metrics& metrics;
    const TransactionIdCodec& transactionIds;
    // Asks other daemons for their last contact with an endpoint and passes the answers to onOpinion().
    std::function<void(const DatabaseId&, const EndpointId&, std::uint64_t term)> askOpinions;
    // Wall-clock text for the journal.
    std::function<std::string()> wallTime;
};

// Runs the controller of one database: holds its lock, carries out its actions and hands outcomes to their callers.
// Thread-safe.
class DatabaseRuntime : public std::enable_shared_from_this<DatabaseRuntime> {
public:
    using Done = std::function<void(Outcome)>;

    DatabaseRuntime(RuntimeContext context, ControllerIdentity identity, ControllerSettings settings,
        const DatabaseDeclaration& declaration);

    // Must be called once after construction, and again with every changed declaration.
    void setDeclaration(const DatabaseDeclaration& changed);
    void setRank(int rank);

    // Runs a request. done is called exactly once, on any thread.
    void submit(const Request& request, const std::optional<TransactionIdParts>& parts, Done done);

    // To be called every few milliseconds.
    void tick(Time now);

    // Refuses queued requests.
    void refuseQueued();
    void onOpinion(const Opinion& opinion);

    [[nodiscard]] std::optional<Duration> contactAge(const EndpointId& endpoint);
    [[nodiscard]] std::uint64_t highestTerm();
    [[nodiscard]] ControllerReport report();
    [[nodiscard]] std::size_t unfinished();
    [[nodiscard]] int rank() const { return this->currentRank; }

    // Closes every connection. Must be called on the network loop's thread; no function may be called afterwards.
    void stopOnLoop();

private:
    void update(const EndpointGateway::Input& input);
    void perform(const controller::Actions& actions);
    void performLocally(const controller::Action& action, Time now);
    void deliver(std::uint64_t ticket);
    void recordEnd(const Request& request, const Outcome& outcome, Time arrival, Time now);
    void updateGauges();

    struct Waiting {
        Done done;
        Request request;
        Time arrival;
    };

    RuntimeContext context;
    ControllerIdentity identity;
    DatabaseId database;
    OrderedMutex mutex { LockLevel::DatabaseController };
    DatabaseController controller;
    std::unique_ptr<EndpointGateway> gateway;
    std::unordered_map<std::uint64_t, Waiting> waiting;
    std::uint64_t lastTicket = 0;
    std::atomic<int> currentRank = -1;
    std::uint64_t failoverEntry = 0;
    Time gaugesDue;
    DatabaseMetrics& metrics;
    BurnTracker::SeriesHandle readSeries;
    BurnTracker::SeriesHandle writeSeries;
};

} // namespace endivetrestle
