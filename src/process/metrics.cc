#include "process/metrics.h"

#include <prometheus/text_serializer.h>

#include <mutex>

namespace endivetrestle {

namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Labels;

constexpr std::array<const char*, shedReasonCount> shedNames = { "queue_full", "deadline", "overload", "retry_budget" };
constexpr std::array<const char*, retryReasonCount> retryNames = { "connection", "position", "term", "resolve" };
constexpr std::array<const char*, connectionGaugeCount> connectionNames
    = { "opening", "idle", "busy", "pinned", "resetting" };
constexpr std::array<std::string_view, 7> kindNames
    = { "read", "write", "begin", "statement", "commit", "rollback", "resolve" };

// Bucket bounds in seconds. The lowest cover the added latency target of 0.3 ms, the highest the failover target of
// 11 s.
const Histogram::BucketBoundaries latencyBounds = { 0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.0015, 0.0025, 0.005, 0.01,
    0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 11 };

prometheus::Family<Counter>& counterFamily(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<Gauge>& gaugeFamily(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

std::string_view requestKindName(RequestKind kind) { return kindNames.at(static_cast<std::size_t>(kind)); }

DatabaseMetrics::DatabaseMetrics(Metrics& metrics, const DatabaseId& database)
    : metrics(metrics)
    , database(database.value)
{
    const Labels base = { { "database", this->database } };
    const auto with = [&](const char* key, const char* value) {
        Labels labels = base;
        labels.emplace(key, value);
        return labels;
    };
    for (std::size_t i = 0; i < shedReasonCount; ++i)
        this->sheds[i] = &metrics.sheds.Add(with("reason", shedNames[i]));
    for (std::size_t i = 0; i < retryReasonCount; ++i)
        this->retries[i] = &metrics.retries.Add(with("reason", retryNames[i]));
    for (std::size_t i = 0; i < connectionGaugeCount; ++i)
        this->connections[i] = &metrics.connections.Add(with("state", connectionNames[i]));
    this->reads = { &metrics.reads.Add(with("role", "primary")), &metrics.reads.Add(with("role", "replica")) };
    this->failovers
        = { &metrics.failovers.Add(with("planned", "false")), &metrics.failovers.Add(with("planned", "true")) };
    this->queueLength = &metrics.queueLengths.Add(base);
    this->failoverGap = &metrics.failoverGaps.Add(base);
}

DatabaseMetrics::~DatabaseMetrics()
{
    for (auto& table : this->tables)
        delete table.load();
}

DatabaseMetrics::KindTable& DatabaseMetrics::table(RequestKind kind)
{
    auto& slot = this->tables.at(static_cast<std::size_t>(kind));
    if (auto* known = slot.load(std::memory_order_acquire); known != nullptr)
        return *known;
    std::lock_guard lock(this->metrics.mutex);
    if (auto* known = slot.load(std::memory_order_acquire); known != nullptr)
        return *known;
    auto created = std::make_unique<KindTable>();
    const Labels labels = { { "database", this->database }, { "kind", std::string(requestKindName(kind)) } };
    created->latency = &this->metrics.latencies.Add(labels, latencyBounds);
    slot.store(created.get(), std::memory_order_release);
    return *created.release();
}

Counter& DatabaseMetrics::counter(KindTable& table, RequestKind kind, OutcomeState state, ErrorCode code)
{
    auto& slot = table.counters.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(code));
    if (auto* known = slot.load(std::memory_order_acquire); known != nullptr)
        return *known;
    // Family::Add() returns the existing counter for equal labels, so two threads obtain the same one.
    auto& created
        = this->metrics.requests.Add({ { "database", this->database }, { "kind", std::string(requestKindName(kind)) },
            { "outcome", std::string(outcomeStateName(state)) }, { "code", std::string(errorName(code)) } });
    slot.store(&created, std::memory_order_release);
    return created;
}

void DatabaseMetrics::request(RequestKind kind, OutcomeState state, ErrorCode code, Duration latency)
{
    auto& table = this->table(kind);
    this->counter(table, kind, state, code).Increment();
    table.latency->Observe(toSeconds(latency));
}

void DatabaseMetrics::read(bool servedByReplica) { this->reads[servedByReplica ? 1 : 0]->Increment(); }

void DatabaseMetrics::failover(bool planned, Duration gap)
{
    this->failovers[planned ? 1 : 0]->Increment();
    this->failoverGap->Set(toSeconds(gap));
}

Metrics::Metrics()
    : requests(counterFamily(this->registry, "endivetrestle_requests_total", "Ended requests."))
    , latencies(prometheus::BuildHistogram()
                    .Name("endivetrestle_request_seconds")
                    .Help("Time from the arrival of a request to its answer.")
                    .Register(this->registry))
    , reads(counterFamily(this->registry, "endivetrestle_reads_total", "Completed reads by role of the endpoint."))
    , sheds(counterFamily(this->registry, "endivetrestle_shed_total", "Requests refused before they were sent."))
    , retries(counterFamily(this->registry, "endivetrestle_retries_total", "Statements sent a second time."))
    , failovers(counterFamily(this->registry, "endivetrestle_failovers_total", "Replaced primaries."))
    , failoverGaps(gaugeFamily(
          this->registry, "endivetrestle_failover_gap_seconds", "Time without writes in the latest failover."))
    , queueLengths(gaugeFamily(this->registry, "endivetrestle_queue_length", "Requests that wait for a slot."))
    , connections(
          gaugeFamily(this->registry, "endivetrestle_endpoint_connections", "Connections to endpoints by state."))
    , endpointStates(gaugeFamily(
          this->registry, "endivetrestle_endpoint_state", "0 unknown, 1 healthy, 2 suspected, 3 failed, 4 leaving."))
    , appliedLags(gaugeFamily(this->registry, "endivetrestle_endpoint_applied_lag_seconds",
          "Age of the data that an endpoint has applied."))
    , endpointErrors(
          counterFamily(this->registry, "endivetrestle_endpoint_errors_total", "Failed calls to an endpoint."))
    , peers(gaugeFamily(this->registry, "endivetrestle_peers", "Known daemons by state."))
{
    auto& gossip = counterFamily(this->registry, "endivetrestle_gossip_bytes_total", "Bytes of gossip messages.");
    this->gossipBytes = { &gossip.Add({ { "direction", "sent" } }), &gossip.Add({ { "direction", "received" } }) };
    this->configurationVersion
        = &gaugeFamily(this->registry, "endivetrestle_configuration_version", "Configuration version in force.")
               .Add({});
    this->clientConnections
        = &gaugeFamily(this->registry, "endivetrestle_client_connections", "Open connections of callers.").Add({});
}

Metrics::~Metrics() = default;

DatabaseMetrics& Metrics::database(const DatabaseId& database)
{
    std::lock_guard lock(this->mutex);
    auto& slot = this->databases[database];
    if (!slot)
        slot = std::make_unique<DatabaseMetrics>(*this, database);
    return *slot;
}

EndpointMetrics& Metrics::endpoint(const DatabaseId& database, const EndpointId& endpoint)
{
    std::lock_guard lock(this->mutex);
    auto& slot = this->endpoints[{ database, endpoint }];
    if (!slot) {
        const Labels labels = { { "database", database.value }, { "endpoint", endpoint.value } };
        slot = std::make_unique<EndpointMetrics>(
            this->endpointStates.Add(labels), this->appliedLags.Add(labels), this->endpointErrors.Add(labels));
    }
    return *slot;
}

void Metrics::setPeers(const std::string& state, std::size_t count)
{
    std::lock_guard lock(this->mutex);
    auto& gauge = this->peerGauges[state];
    if (gauge == nullptr)
        gauge = &this->peers.Add({ { "state", state } });
    gauge->Set(static_cast<double>(count));
}

std::string Metrics::serialize() const { return prometheus::TextSerializer().Serialize(this->registry.Collect()); }

} // namespace endivetrestle
