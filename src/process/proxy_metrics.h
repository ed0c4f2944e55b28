#pragma once

#include "base/identifier.h"
#include "connection/client_session.h"
#include "connection/session_end.h"
#include "process/configuration_proof.h"
#include "process/group_scheduler.h"
#include "process/quota/quota_client.h"
#include "process/reachability_monitor.h"
#include "process/statement_forwarder.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <tuple>

namespace endivetrestle {

// State of the whole daemon, exported as gauges.
struct ProxyState {
    std::size_t sessions = 0;
    std::size_t liveDaemons = 0;
    std::uint64_t configurationVersion = 0;
    bool ready = false;
    // Seconds until the lease ends; negative if it has ended.
    double leaseLeftSeconds = 0;
    bool configurationFeedReachable = false;
    bool registryFeedReachable = false;
    // Era of the store that the daemon goes by, and whether it has taken over the primaries of that era.
    std::uint64_t storeEra = 0;
    bool joinedEra = false;
    std::uint64_t droppedLogLines = 0;
};

// State of the proof that the configuration is recent, exported as gauges.
struct ConfigurationProofState {
    // Whether anything depends on the proof. Nothing is exported otherwise.
    bool needed = false;
    // Negative without any proof.
    double ageSeconds = -1;
    ConfigurationProofStatistics statistics;
    // Answers that this daemon gave as the prover.
    std::uint64_t provenAnswers = 0;
    std::uint64_t refusedAnswers = 0;
};

// Metrics of a session proxy. Metric handles are cached by their labels. Not thread-safe.
class ProxyMetrics {
public:
    ProxyMetrics();

    // Records the outcome and latency of a finished statement.
    void statement(const StatementRecord& record);
    // Counts a closed client connection by reason and by whether the client may have lost a transaction or an answer.
    void sessionEnd(const SessionEnd& end);
    // Sets the gauges of a group.
    void group(const DatabaseId& group, const SchedulerStatistics& statistics, std::uint64_t term, bool primaryUsable);
    // Sets the gauges of a replacement: the endpoints that it waits for, and how long the primary has been missing.
    void missingHolders(const DatabaseId& group, std::size_t missing, double seconds);
    // Sets the gauges for statements of a group that are forwarded to other daemons.
    void forwarding(const DatabaseId& group, const ForwarderStatistics& statistics, bool ownedHere);
    // Sets the gauges for the limits of workspaces.
    void quota(const QuotaStatistics& statistics);
    // Sets the gauge that tells whether the daemon can serve the group.
    void reachable(const DatabaseId& group, bool reachable);
    void reachability(const ReachabilityStatistics& statistics);
    void state(const ProxyState& state);
    void configurationProof(const ConfigurationProofState& state);

    // Returns all metrics in the Prometheus text exposition format 0.0.4.
    [[nodiscard]] std::string serialize() const;

private:
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const DatabaseId& group);

    // Labels of a statement counter: consistency, outcome and reason.
    using OutcomeKey = std::tuple<std::string, std::string, std::string>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& statements;
    prometheus::Family<prometheus::Histogram>& latencies;
    prometheus::Family<prometheus::Counter>& sessionEnds;
    std::map<OutcomeKey, prometheus::Counter*> outcomes;
    std::map<std::pair<SessionEndReason, bool>, prometheus::Counter*> endCounters;
    std::map<std::string, prometheus::Histogram*> latencyByConsistency;
    std::map<std::pair<std::string, DatabaseId>, prometheus::Gauge*> gauges;
};

} // namespace endivetrestle
