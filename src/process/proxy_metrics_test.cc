#include "process/proxy_metrics.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;

TEST_CASE("ProxyMetrics, counts statements by consistency, outcome and reason")
{
    ProxyMetrics metrics;
    Route route;
    route.consistency = RouteConsistency::ReadYourWrites;
    SessionReply reply;
    reply.code = ReplyCode::Busy;
    const Statement statement;
    metrics.statement({ statement, &route, reply, { "queue_timeout" }, std::chrono::milliseconds(30) });
    reply.succeeded = true;
    metrics.statement({ statement, nullptr, reply, {}, std::chrono::milliseconds(1) });
    const auto text = metrics.serialize();
    CHECK(text.find("endivetrestle_statements_total{consistency=\"read_your_writes\",outcome=\"busy\",reason="
                    "\"queue_timeout\"} 1")
        != std::string::npos);
    CHECK(text.find("consistency=\"local\",outcome=\"ok\"") != std::string::npos);
}

TEST_CASE("ProxyMetrics, exports the state of groups and of the daemon")
{
    ProxyMetrics metrics;
    SchedulerStatistics statistics;
    statistics.waiting = 3;
    statistics.evictions = 4;
    statistics.connectionWaits = 6;
    statistics.heldCommits = 2;
    metrics.missingHolders(DatabaseId("shop"), 3, 12.5);
    statistics.workspaceConnectionsOpened = 9;
    metrics.group(DatabaseId("shop"), statistics, 7, true);
    ForwarderStatistics forwarder;
    forwarder.forwarded = 5;
    metrics.forwarding(DatabaseId("shop"), forwarder, false);
    ProxyState state;
    state.sessions = 12;
    state.storeEra = 3;
    metrics.state(state);
    const auto text = metrics.serialize();
    CHECK(text.find("endivetrestle_waiting_statements{group=\"shop\"} 3") != std::string::npos);
    CHECK(text.find("endivetrestle_connection_evictions{group=\"shop\"} 4") != std::string::npos);
    CHECK(text.find("endivetrestle_held_commits{group=\"shop\"} 2") != std::string::npos);
    CHECK(text.find("endivetrestle_missing_holders{group=\"shop\"} 3") != std::string::npos);
    CHECK(text.find("endivetrestle_primary_missing_seconds{group=\"shop\"} 12.5") != std::string::npos);
    CHECK(text.find("endivetrestle_connection_waits{group=\"shop\"} 6") != std::string::npos);
    CHECK(text.find("endivetrestle_workspace_connections_opened{group=\"shop\"} 9") != std::string::npos);
    CHECK(text.find("endivetrestle_primary_term{group=\"shop\"} 7") != std::string::npos);
    CHECK(text.find("endivetrestle_forwarded_statements{group=\"shop\"} 5") != std::string::npos);
    CHECK(text.find("endivetrestle_group_owned{group=\"shop\"} 0") != std::string::npos);
    CHECK(text.find("endivetrestle_sessions 12") != std::string::npos);
    CHECK(text.find("endivetrestle_store_era 3") != std::string::npos);
    CHECK(text.find("endivetrestle_store_era_joined 0") != std::string::npos);
}

TEST_CASE("ProxyMetrics, exports the use of quotas")
{
    ProxyMetrics metrics;
    QuotaStatistics statistics;
    statistics.exceeded = 4;
    statistics.shardsCoordinated = 1;
    metrics.quota(statistics);
    const auto text = metrics.serialize();
    CHECK(text.find("endivetrestle_quota_exceeded 4") != std::string::npos);
    CHECK(text.find("endivetrestle_quota_shards_coordinated 1") != std::string::npos);
}

TEST_CASE("ProxyMetrics, exports the proof of the configuration only where something depends on it")
{
    ProxyMetrics metrics;
    ConfigurationProofState state;
    state.ageSeconds = 1.5;
    state.statistics.readings = 4;
    metrics.configurationProof(state);
    CHECK(metrics.serialize().find("configuration_proof") == std::string::npos);
    state.needed = true;
    metrics.configurationProof(state);
    const auto text = metrics.serialize();
    CHECK(text.find("endivetrestle_configuration_proof_age_seconds 1.5") != std::string::npos);
    CHECK(text.find("endivetrestle_configuration_readings 4") != std::string::npos);
}
