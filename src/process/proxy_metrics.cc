#include "process/proxy_metrics.h"

#include <prometheus/text_serializer.h>

namespace endivetrestle {

namespace {

// Upper bounds of the latency buckets in seconds. They cover the configured objectives of 100 ms to 800 ms.
const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5,
    3 };

std::string outcomeOf(const SessionReply& reply)
{
    return reply.succeeded ? "ok" : std::string(replyCodeName(reply.code));
}

} // namespace

ProxyMetrics::ProxyMetrics()
    : statements(prometheus::BuildCounter()
                     .Name("endivetrestle_statements_total")
                     .Help("Statements by consistency of their route, outcome and reason.")
                     .Register(this->registry))
    , latencies(prometheus::BuildHistogram()
                    .Name("endivetrestle_statement_seconds")
                    .Help("Time from the arrival of a statement to its reply.")
                    .Register(this->registry))
    , sessionEnds(prometheus::BuildCounter()
                      .Name("endivetrestle_session_ends_total")
                      .Help("Client connections that have ended, by reason; cut is 1 if the client may miss something.")
                      .Register(this->registry))
{
}

void ProxyMetrics::sessionEnd(const SessionEnd& end)
{
    auto& counter = this->endCounters[{ end.reason, end.isCut() }];
    if (counter == nullptr) {
        counter = &this->sessionEnds.Add(
            { { "reason", std::string(sessionEndName(end.reason)) }, { "cut", end.isCut() ? "1" : "0" } });
    }
    counter->Increment();
}

void ProxyMetrics::statement(const StatementRecord& record)
{
    const std::string consistency(record.route == nullptr ? "local" : consistencyName(record.route->consistency));
    auto& counter = this->outcomes[{ consistency, outcomeOf(record.reply), record.trace.reason }];
    if (counter == nullptr) {
        counter = &this->statements.Add({ { "consistency", consistency }, { "outcome", outcomeOf(record.reply) },
            { "reason", record.trace.reason } });
    }
    counter->Increment();
    auto& histogram = this->latencyByConsistency[consistency];
    if (histogram == nullptr)
        histogram = &this->latencies.Add({ { "consistency", consistency } }, latencyBuckets);
    histogram->Observe(toSeconds(record.elapsed));
}

prometheus::Gauge& ProxyMetrics::gauge(const std::string& name, const std::string& help, const DatabaseId& group)
{
    auto& handle = this->gauges[{ name, group }];
    if (handle == nullptr) {
        auto& family = prometheus::BuildGauge().Name("endivetrestle_" + name).Help(help).Register(this->registry);
        std::map<std::string, std::string> labels;
        if (!group.empty())
            labels["group"] = group.value;
        handle = &family.Add(labels);
    }
    return *handle;
}

void ProxyMetrics::missingHolders(const DatabaseId& group, std::size_t missing, double seconds)
{
    this->gauge("missing_holders", "Endpoints that may hold commits and for which a replacement waits.", group)
        .Set(static_cast<double>(missing));
    this->gauge("primary_missing_seconds", "Time for which the primary has been in replacement.", group).Set(seconds);
}

void ProxyMetrics::group(
    const DatabaseId& group, const SchedulerStatistics& statistics, std::uint64_t term, bool primaryUsable)
{
    const auto set
        = [&](const char* name, const char* help, double value) { this->gauge(name, help, group).Set(value); };
    set("waiting_statements", "Statements that wait for an endpoint.", static_cast<double>(statistics.waiting));
    set("endpoint_connections", "Open connections to the group's endpoints.",
        static_cast<double>(statistics.connections));
    set("endpoint_connections_opened", "Connections opened so far.", static_cast<double>(statistics.connectionsOpened));
    set("endpoint_busy_answers", "Statements refused by endpoints as busy.",
        static_cast<double>(statistics.busyAnswers));
    set("endpoint_lagging_answers", "Reads refused by replicas that lag.",
        static_cast<double>(statistics.laggingAnswers));
    set("hedged_reads", "Reads sent to a second endpoint.", static_cast<double>(statistics.hedgedReads));
    set("unknown_session_states",
        "Connections closed because a command may or may not have changed their session state.",
        static_cast<double>(statistics.unknownStates));
    set("repeated_answers", "Answers of endpoints that repeat an earlier one.",
        static_cast<double>(statistics.repeatedAnswers));
    set("uncertain_answers", "Answers of endpoints that may repeat an earlier one.",
        static_cast<double>(statistics.uncertainAnswers));
    set("answer_proofs", "Status commands sent to prove session values.", static_cast<double>(statistics.answerProofs));
    set("replica_reads", "Reads with an age bound served by replicas.", static_cast<double>(statistics.replicaReads));
    set("primary_reads", "Reads with an age bound served by the primary.",
        static_cast<double>(statistics.primaryReads));
    set("refused_unreachable_waiting", "Statements that waited when the daemon lost all endpoints of the group.",
        static_cast<double>(statistics.refusedUnreachable));
    set("workspace_connections_opened", "Connections opened for a workspace.",
        static_cast<double>(statistics.workspaceConnectionsOpened));
    set("connection_evictions", "Idle connections closed because another workspace needed one.",
        static_cast<double>(statistics.evictions));
    set("connection_waits", "Statements that waited for a connection of their workspace.",
        static_cast<double>(statistics.connectionWaits));
    set("held_commits", "Commits whose acknowledgement waits until all endpoints are recorded.",
        static_cast<double>(statistics.heldCommits));
    set("commits_held", "Commits whose acknowledgement has waited until all endpoints were recorded.",
        static_cast<double>(statistics.commitsHeld));
    set("primary_term", "Term of the primary in use.", static_cast<double>(term));
    set("primary_usable", "1 if writes may be sent to the primary.", primaryUsable ? 1 : 0);
}

void ProxyMetrics::forwarding(const DatabaseId& group, const ForwarderStatistics& statistics, bool ownedHere)
{
    const auto set
        = [&](const char* name, const char* help, double value) { this->gauge(name, help, group).Set(value); };
    set("forwarded_statements", "Statements sent to owners of the group.", static_cast<double>(statistics.forwarded));
    set("forwarded_declined", "Forwarded statements that the owner did not take.",
        static_cast<double>(statistics.declined));
    set("forwarded_lost", "Forwarded statements that ended with their link.", static_cast<double>(statistics.lost));
    set("forwarded_reads_moved", "Reads that were moved away from a silent owner.",
        static_cast<double>(statistics.movedReads));
    set("refused_unreachable", "Statements refused because the group cannot be served from here.",
        static_cast<double>(statistics.refusedUnreachable));
    set("forwarded_under_way", "Forwarded statements without an outcome.", static_cast<double>(statistics.inFlight));
    set("group_owned", "1 if this daemon runs the group's statements itself.", ownedHere ? 1 : 0);
}

void ProxyMetrics::quota(const QuotaStatistics& statistics)
{
    const DatabaseId none;
    const auto set = [&](const char* name, const char* help, auto value) {
        this->gauge(name, help, none).Set(static_cast<double>(value));
    };
    set("quota_granted", "Operations of limited workspaces that got a token.", statistics.granted);
    set("quota_granted_fixed", "Those of them without an active coordinator.", statistics.grantedFixed);
    set("quota_exceeded", "Operations refused because the workspace has used up its limit.", statistics.exceeded);
    set("quota_unanswered", "Operations refused because no coordinator answered in time.", statistics.unanswered);
    set("quota_waiting", "Operations that wait for a token.", statistics.waiting);
    set("quota_requests_sent", "Requests for tokens sent to coordinators.", statistics.requestsSent);
    set("quota_requests_served", "Requests for tokens answered as a coordinator.", statistics.requestsServed);
    set("quota_requests_lost", "Requests for tokens that were not answered in time.", statistics.requestsLost);
    set("quota_tokens_expired", "Tokens that were granted and not used.", statistics.tokensExpired);
    set("quota_coordinator_changes", "Changes of the daemon that is asked for tokens.", statistics.coordinatorChanges);
    set("quota_shards_coordinated", "Parts of the workspaces that this daemon coordinates.",
        statistics.shardsCoordinated);
}

void ProxyMetrics::reachable(const DatabaseId& group, bool reachable)
{
    this->gauge("group_reachable", "0 if no owner or endpoint of the group answers this daemon.", group)
        .Set(reachable ? 1 : 0);
}

void ProxyMetrics::reachability(const ReachabilityStatistics& statistics)
{
    const DatabaseId none;
    const auto set
        = [&](const char* name, const char* help, double value) { this->gauge(name, help, none).Set(value); };
    set("unreachable_groups", "Groups that this daemon cannot serve at present.",
        static_cast<double>(statistics.unreachableGroups));
    set("unreachable_events", "Times that a group became unreachable.",
        static_cast<double>(statistics.unreachableEvents));
    set("silent_owners", "Times that an owner left a test unanswered.", static_cast<double>(statistics.silentOwners));
    set("silent_endpoints", "Times that an endpoint left a test unanswered.",
        static_cast<double>(statistics.silentEndpoints));
    set("reachability_tests", "Tests of paths that were started because others were silent.",
        static_cast<double>(statistics.tests));
}

void ProxyMetrics::state(const ProxyState& state)
{
    const DatabaseId none;
    const auto set
        = [&](const char* name, const char* help, double value) { this->gauge(name, help, none).Set(value); };
    set("sessions", "Open client sessions.", static_cast<double>(state.sessions));
    set("live_daemons", "Daemons with a fresh lease, this one included.", static_cast<double>(state.liveDaemons));
    set("configuration_version", "Version of the configuration in force.",
        static_cast<double>(state.configurationVersion));
    set("ready", "1 if the daemon takes new sessions.", state.ready ? 1 : 0);
    set("lease_left_seconds", "Time until the lease ends.", state.leaseLeftSeconds);
    set("configuration_feed_up", "1 if the configuration feed is connected.", state.configurationFeedReachable ? 1 : 0);
    set("registry_feed_up", "1 if the registry feed is connected.", state.registryFeedReachable ? 1 : 0);
    set("store_era", "Era of the store; rises each time that it comes back from a copy.",
        static_cast<double>(state.storeEra));
    set("store_era_joined", "1 if the daemon has taken over the primaries of the era.", state.joinedEra ? 1 : 0);
    set("dropped_log_lines", "Log lines dropped because nobody read them.", static_cast<double>(state.droppedLogLines));
}

void ProxyMetrics::configurationProof(const ConfigurationProofState& state)
{
    if (!state.needed)
        return;
    const auto set = [&](const char* name, const char* help, double value) {
        this->gauge(std::string("configuration_") + name, help, DatabaseId()).Set(value);
    };
    const auto& counts = state.statistics;
    set("proof_age_seconds", "Time since which the configuration is not proven to be complete; -1 without a proof.",
        state.ageSeconds);
    set("questions", "Questions to the prover whether the configuration is complete.",
        static_cast<double>(counts.questions));
    set("questions_unanswered", "Questions that the prover did not answer with a proof.",
        static_cast<double>(counts.unansweredQuestions));
    set("readings", "Readings of the store to prove the configuration, for this daemon or for others.",
        static_cast<double>(counts.readings));
    set("readings_failed", "Readings that proved nothing.", static_cast<double>(counts.failedReadings));
    set("refusals", "Checks that failed because the configuration was not known to be recent.",
        static_cast<double>(counts.refusals));
    set("answers_proven", "Questions of other daemons answered with a proof.",
        static_cast<double>(state.provenAnswers));
    set("answers_refused", "Questions of other daemons answered without a proof.",
        static_cast<double>(state.refusedAnswers));
}

std::string ProxyMetrics::serialize() const { return prometheus::TextSerializer().Serialize(this->registry.Collect()); }

} // namespace endivetrestle
