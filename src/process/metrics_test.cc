#include "process/metrics.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

bool hasLine(const std::string& text, const std::string& line) { return text.find(line + "\n") != std::string::npos; }

} // namespace

// Guards against counting a request under the labels of another outcome.
TEST_CASE("Metrics, serialises a request under its database, kind, outcome and code")
{
    Metrics metrics;
    auto& shop = metrics.database(DatabaseId("shop-1"));
    shop.request(RequestKind::Write, OutcomeState::DidNotRun, ErrorCode::QueueFull, 400us);
    shop.request(RequestKind::Write, OutcomeState::DidNotRun, ErrorCode::QueueFull, 400us);
    const auto text = metrics.serialize();
    CAPTURE(text);
    CHECK(text.find("endivetrestle_requests_total{code=\"queue_full\",database=\"shop-1\",kind=\"write\",outcome=\"did_"
                    "not_run\"} 2")
        != std::string::npos);
    CHECK(text.find("endivetrestle_request_seconds_bucket{database=\"shop-1\",kind=\"write\",le=\"0.0003\"} 0")
        != std::string::npos);
    CHECK(text.find("endivetrestle_request_seconds_bucket{database=\"shop-1\",kind=\"write\",le=\"0.0005\"} 2")
        != std::string::npos);
}

// Guards against a second set of handles for the same database, which would split its counts.
TEST_CASE("Metrics, returns the same handles for the same database and endpoint")
{
    Metrics metrics;
    CHECK(&metrics.database(DatabaseId("a")) == &metrics.database(DatabaseId("a")));
    CHECK(&metrics.database(DatabaseId("a")) != &metrics.database(DatabaseId("b")));
    auto& endpoint = metrics.endpoint(DatabaseId("a"), EndpointId("e1"));
    CHECK(&endpoint == &metrics.endpoint(DatabaseId("a"), EndpointId("e1")));
    CHECK(&endpoint != &metrics.endpoint(DatabaseId("b"), EndpointId("e1")));
}

// Guards against lost counts when several workers use a combination for the first time at once.
TEST_CASE("Metrics, counts every request when several threads report the first ones")
{
    Metrics metrics;
    auto& shop = metrics.database(DatabaseId("shop-1"));
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 1000; ++n)
                shop.request(RequestKind::Read, OutcomeState::Completed, ErrorCode::None, 1ms);
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(metrics.serialize().find("outcome=\"completed\"} 4000") != std::string::npos);
}

// Guards against a family that is registered and never set.
TEST_CASE("Metrics, exports every gauge and counter that the daemon sets")
{
    Metrics metrics;
    auto& shop = metrics.database(DatabaseId("s"));
    shop.read(true);
    shop.shed(ShedReason::Deadline);
    shop.retry(RetryReason::Term);
    shop.failover(false, 640ms);
    shop.setQueueLength(7);
    shop.setConnections(ConnectionGauge::Pinned, 3);
    auto& endpoint = metrics.endpoint(DatabaseId("s"), EndpointId("e"));
    endpoint.setState(EndpointGauge::Suspected);
    endpoint.setAppliedLag(50ms);
    endpoint.error();
    metrics.gossipSent(100);
    metrics.gossipReceived(50);
    metrics.setConfigurationVersion(12);
    metrics.setPeers("live", 4);
    metrics.setClientConnections(9);
    const auto text = metrics.serialize();
    CAPTURE(text);
    CHECK(hasLine(text, "endivetrestle_reads_total{database=\"s\",role=\"replica\"} 1"));
    CHECK(hasLine(text, "endivetrestle_shed_total{database=\"s\",reason=\"deadline\"} 1"));
    CHECK(hasLine(text, "endivetrestle_retries_total{database=\"s\",reason=\"term\"} 1"));
    CHECK(hasLine(text, "endivetrestle_failovers_total{database=\"s\",planned=\"false\"} 1"));
    CHECK(hasLine(text, "endivetrestle_failover_gap_seconds{database=\"s\"} 0.64"));
    CHECK(hasLine(text, "endivetrestle_queue_length{database=\"s\"} 7"));
    CHECK(hasLine(text, "endivetrestle_endpoint_connections{database=\"s\",state=\"pinned\"} 3"));
    CHECK(hasLine(text, "endivetrestle_endpoint_state{database=\"s\",endpoint=\"e\"} 2"));
    CHECK(hasLine(text, "endivetrestle_endpoint_applied_lag_seconds{database=\"s\",endpoint=\"e\"} 0.05"));
    CHECK(hasLine(text, "endivetrestle_endpoint_errors_total{database=\"s\",endpoint=\"e\"} 1"));
    CHECK(hasLine(text, "endivetrestle_gossip_bytes_total{direction=\"sent\"} 100"));
    CHECK(hasLine(text, "endivetrestle_gossip_bytes_total{direction=\"received\"} 50"));
    CHECK(hasLine(text, "endivetrestle_configuration_version 12"));
    CHECK(hasLine(text, "endivetrestle_peers{state=\"live\"} 4"));
    CHECK(hasLine(text, "endivetrestle_client_connections 9"));
}
