#pragma once

#include "base/log.h"
#include "tool/call_stream.h"
#include "tool/experiment.h"
#include "tool/latency_histogram.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace endivetrestle::internal {

// State of one endpoint as its stand-in reports it.
struct EndpointSample {
    std::string id;
    std::uint64_t term = 0;
    std::string role;
    std::uint64_t lastLog = 0;
    std::uint64_t statements = 0;
};

// A started deployment with the faults that experiments cause.
class ExperimentBench {
public:
    explicit ExperimentBench(const DeploymentOptions& shape);

    // Whether the deployment started; if not, the reason was logged.
    [[nodiscard]] bool ready() const { return this->started; }

    [[nodiscard]] StreamTarget target();
    [[nodiscard]] const std::vector<DatabaseId>& databases() const { return this->deployment.shape().databases; }
    [[nodiscard]] std::vector<EndpointSample> endpoints(const DatabaseId& database);
    // Primary of the highest term.
    [[nodiscard]] EndpointSample primary(const DatabaseId& database);
    // Daemon with rank 0 for a database, by its index.
    [[nodiscard]] std::size_t activeOwner(const DatabaseId& database);

    // Kills an endpoint, or cuts it off from everybody, or heals it.
    void kill(const DatabaseId& database, const std::string& endpoint);
    void cutOff(const DatabaseId& database, const std::string& endpoint);
    void heal(const DatabaseId& database, const std::string& endpoint);
    void setStoreDown(bool down);
    // Sets switches of an endpoint, or of all with "*".
    void set(const DatabaseId& database, const std::string& endpoint, const nlohmann::json& switches);
    // Waits until all endpoints are in one term with one primary and hold the same log up to a few records.
    bool awaitHealthy(Duration limit);

    Deployment deployment;

private:
    void isolate(const DatabaseId& database, const std::string& endpoint, bool blocked);

    bool started = false;
};

// Polls every millisecond. Returns false if the condition was not met within the limit.
bool waitUntil(const std::function<bool()>& condition, Duration limit);

// Appends "NAME median", "NAME p99" and "NAME worst" in milliseconds.
void addLatency(Figures& figures, const std::string& name, const LatencyHistogram& histogram);

// Appends a share in percent, NaN if there was nothing to count.
void addShare(Figures& figures, const std::string& name, std::uint64_t part, std::uint64_t whole);

// A call with a request id that is unique within the process.
CallerCall newCall(RequestKind kind, const DatabaseId& database, std::string statement);

} // namespace endivetrestle::internal
