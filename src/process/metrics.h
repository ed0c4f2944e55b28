#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/lock_order.h"
#include "base/outcome.h"
#include "request/request.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle {

// Lower-case name of a request kind, used as a label value.
std::string_view requestKindName(RequestKind kind);

// States of connections to endpoints that are exported.
enum class ConnectionGauge { Opening, Idle, Busy, Pinned, Resetting };
inline constexpr std::size_t connectionGaugeCount = 5;

// States of endpoints that are exported as the value of a gauge: 0 unknown, 1 healthy, 2 suspected, 3 failed, 4
// leaving.
enum class EndpointGauge { Unknown = 0, Healthy = 1, Suspected = 2, Failed = 3, Leaving = 4 };

// Why a request was sent to an endpoint a second time, or was refused before it was sent.
enum class RetryReason { Connection, Position, Term, Resolve };
inline constexpr std::size_t retryReasonCount = 4;
enum class ShedReason { QueueFull, Deadline, Overload, RetryBudget };
inline constexpr std::size_t shedReasonCount = 4;

class Metrics;

// Metrics of one database. Obtained once from Metrics::database() and kept; updates use atomic operations on cached
// handles and look nothing up by label text. Thread-safe.
class DatabaseMetrics {
public:
    DatabaseMetrics(Metrics& metrics, const DatabaseId& database);
    ~DatabaseMetrics();
    DatabaseMetrics(const DatabaseMetrics&) = delete;
    DatabaseMetrics& operator=(const DatabaseMetrics&) = delete;

    // Counts an ended request and its latency. The first use of a combination of kind, state and code takes a lock.
    void request(RequestKind kind, OutcomeState state, ErrorCode code, Duration latency);
    // Counts a completed read by the role of the endpoint that served it.
    void read(bool servedByReplica);
    void shed(ShedReason reason) { this->sheds[static_cast<std::size_t>(reason)]->Increment(); }
    void retry(RetryReason reason) { this->retries[static_cast<std::size_t>(reason)]->Increment(); }
    // Counts a replaced primary and sets the time for which writes were refused.
    void failover(bool planned, Duration gap);
    void setQueueLength(std::size_t length) { this->queueLength->Set(static_cast<double>(length)); }
    void setConnections(ConnectionGauge state, std::size_t count)
    {
        this->connections[static_cast<std::size_t>(state)]->Set(static_cast<double>(count));
    }

private:
    static constexpr std::size_t kindCount = 7;
    static constexpr std::size_t stateCount = 3;
    static constexpr std::size_t codeCount = static_cast<std::size_t>(ErrorCode::Internal) + 1;
    // Counters by state and code; allocated for a kind at its first request.
    struct KindTable {
        std::array<std::array<std::atomic<prometheus::Counter*>, codeCount>, stateCount> counters {};
        prometheus::Histogram* latency = nullptr;
    };

    KindTable& table(RequestKind kind);
    prometheus::Counter& counter(KindTable& table, RequestKind kind, OutcomeState state, ErrorCode code);

    Metrics& metrics;
    std::string database;
    std::array<std::atomic<KindTable*>, kindCount> tables {};
    std::array<prometheus::Counter*, shedReasonCount> sheds {};
    std::array<prometheus::Counter*, retryReasonCount> retries {};
    std::array<prometheus::Counter*, 2> reads {};
    std::array<prometheus::Counter*, 2> failovers {};
    std::array<prometheus::Gauge*, connectionGaugeCount> connections {};
    prometheus::Gauge* queueLength = nullptr;
    prometheus::Gauge* failoverGap = nullptr;
};

// Metrics of one endpoint, kept by its user like DatabaseMetrics. Thread-safe.
class EndpointMetrics {
public:
    EndpointMetrics(prometheus::Gauge& state, prometheus::Gauge& lag, prometheus::Counter& errors)
        : state(state)
        , lag(lag)
        , errors(errors)
    {
    }

    void setState(EndpointGauge value) { this->state.Set(static_cast<double>(static_cast<int>(value))); }
    // Age of the data that the endpoint has applied.
    void setAppliedLag(Duration value) { this->lag.Set(toSeconds(value)); }
    void error() { this->errors.Increment(); }

private:
    prometheus::Gauge& state;
    prometheus::Gauge& lag;
    prometheus::Counter& errors;
};

// All metrics of a daemon. Thread-safe; handles stay valid for its lifetime.
//
// Example:
//     auto& shop = metrics.database(DatabaseId("shop-1")); // once, kept by the database's controller
//     shop.request(RequestKind::Read, OutcomeState::Completed, ErrorCode::None, latency);
//     response.body = metrics.serialize();
class Metrics {
public:
    Metrics();
    ~Metrics();

    // Finds or creates the handles of a database or endpoint. Looks up by text; callers keep the reference.
    DatabaseMetrics& database(const DatabaseId& database);
    EndpointMetrics& endpoint(const DatabaseId& database, const EndpointId& endpoint);

    // Bytes of gossip messages, with framing where the sender knows it.
    void gossipSent(std::size_t bytes) { this->gossipBytes[0]->Increment(static_cast<double>(bytes)); }
    void gossipReceived(std::size_t bytes) { this->gossipBytes[1]->Increment(static_cast<double>(bytes)); }
    void setConfigurationVersion(std::uint64_t version)
    {
        this->configurationVersion->Set(static_cast<double>(version));
    }
    // Number of known daemons in a state of the membership view, for example "live". Looks up by text.
    void setPeers(const std::string& state, std::size_t count);
    void setClientConnections(std::size_t count) { this->clientConnections->Set(static_cast<double>(count)); }

    // Text of the Prometheus exposition format 0.0.4.
    [[nodiscard]] std::string serialize() const;

private:
    friend class DatabaseMetrics;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Histogram>& latencies;
    prometheus::Family<prometheus::Counter>& reads;
    prometheus::Family<prometheus::Counter>& sheds;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& failovers;
    prometheus::Family<prometheus::Gauge>& failoverGaps;
    prometheus::Family<prometheus::Gauge>& queueLengths;
    prometheus::Family<prometheus::Gauge>& connections;
    prometheus::Family<prometheus::Gauge>& endpointStates;
    prometheus::Family<prometheus::Gauge>& appliedLags;
    prometheus::Family<prometheus::Counter>& endpointErrors;
    prometheus::Family<prometheus::Gauge>& peers;
    std::array<prometheus::Counter*, 2> gossipBytes {};
    prometheus::Gauge* configurationVersion = nullptr;
    prometheus::Gauge* clientConnections = nullptr;

    OrderedMutex mutex { LockLevel::Metrics };
    std::map<DatabaseId, std::unique_ptr<DatabaseMetrics>> databases;
    std::map<std::pair<DatabaseId, EndpointId>, std::unique_ptr<EndpointMetrics>> endpoints;
    std::map<std::string, prometheus::Gauge*> peerGauges;
};

} // namespace endivetrestle
