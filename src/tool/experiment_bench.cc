#include "tool/experiment_bench.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace endivetrestle::internal {

namespace {

constexpr Duration startLimit = std::chrono::seconds(20);
constexpr Duration pollInterval = std::chrono::milliseconds(1);
// Records by which a replica may be behind while writes go on.
constexpr std::uint64_t healthyDistance = 100;

} // namespace

ExperimentBench::ExperimentBench(const DeploymentOptions& shape)
    : deployment(shape)
{
    const auto problem = this->deployment.start(startLimit);
    this->started = problem.empty();
    if (!this->started)
        logEvent(LogLevel::Error, "experiment_not_started", { { "detail", problem } });
}

StreamTarget ExperimentBench::target()
{
    StreamTarget result;
    for (std::size_t i = 0; i < this->deployment.daemonCount(); ++i)
        result.daemons.push_back({ "127.0.0.1", this->deployment.daemon(i).callerPort() });
    result.callerKey = this->deployment.caller().key;
    for (const auto& database : this->databases())
        result.rawEndpoints[database]
            = parseDaemonAddress(this->deployment.endpointAddress(database, 0)).value_or(DaemonAddress());
    return result;
}

std::vector<EndpointSample> ExperimentBench::endpoints(const DatabaseId& database)
{
    std::vector<EndpointSample> result;
    const auto status = nlohmann::json::parse(this->deployment.groupStatus(database));
    for (const auto& item : status.at("endpoints"))
        result.push_back({ item.at("id"), item.at("term"), item.at("role"), item.at("lastLog").at(1),
            item.at("reads").get<std::uint64_t>() + item.at("writes").get<std::uint64_t>() });
    return result;
}

EndpointSample ExperimentBench::primary(const DatabaseId& database)
{
    EndpointSample result;
    for (const auto& endpoint : this->endpoints(database)) {
        if (endpoint.role == "primary" && endpoint.term > result.term)
            result = endpoint;
    }
    return result;
}

std::size_t ExperimentBench::activeOwner(const DatabaseId& database)
{
    auto& fleet = this->deployment.daemon(0).fleetPart();
    const auto configuration = fleet.configuration();
    const auto owners = fleet.owners(*configuration->findDatabase(database));
    const auto& daemons = this->deployment.shape().daemons;
    const auto found = std::find_if(daemons.begin(), daemons.end(),
        [&](const DeployedDaemon& daemon) { return !owners.empty() && daemon.id == owners.front().id; });
    return found == daemons.end() ? 0 : static_cast<std::size_t>(found - daemons.begin());
}

void ExperimentBench::set(const DatabaseId& database, const std::string& endpoint, const nlohmann::json& switches)
{
    const nlohmann::json body { { "endpoints", { { endpoint, switches } } } };
    for (const auto& problem : this->deployment.controlGroup(database, body.dump()))
        logEvent(LogLevel::Error, "experiment_fault_not_set", { { "detail", toString(problem) } });
}

void ExperimentBench::isolate(const DatabaseId& database, const std::string& endpoint, bool blocked)
{
    nlohmann::json replication = nlohmann::json::array();
    for (const auto& other : this->endpoints(database)) {
        if (other.id == endpoint)
            continue;
        replication.push_back({ { "from", endpoint }, { "to", other.id }, { "blocked", blocked } });
        replication.push_back({ { "from", other.id }, { "to", endpoint }, { "blocked", blocked } });
    }
    const nlohmann::json body { { "endpoints", { { endpoint, { { "blackhole", blocked } } } } },
        { "replication", replication } };
    for (const auto& problem : this->deployment.controlGroup(database, body.dump()))
        logEvent(LogLevel::Error, "experiment_fault_not_set", { { "detail", toString(problem) } });
}

void ExperimentBench::kill(const DatabaseId& database, const std::string& endpoint)
{
    this->set(database, endpoint, { { "down", true } });
}

void ExperimentBench::cutOff(const DatabaseId& database, const std::string& endpoint)
{
    this->isolate(database, endpoint, true);
}

void ExperimentBench::heal(const DatabaseId& database, const std::string& endpoint)
{
    this->set(database, endpoint, { { "down", false } });
    this->isolate(database, endpoint, false);
}

void ExperimentBench::setStoreDown(bool down)
{
    const nlohmann::json body { { "set",
        { { "tableDown", down }, { "objectsDown", down }, { "liveListDown", down } } } };
    for (const auto& problem : this->deployment.controlPlatform(body.dump()))
        logEvent(LogLevel::Error, "experiment_fault_not_set", { { "detail", toString(problem) } });
}

bool ExperimentBench::awaitHealthy(Duration limit)
{
    return waitUntil(
        [this] {
            return std::all_of(this->databases().begin(), this->databases().end(), [this](const DatabaseId& database) {
                const auto primary = this->primary(database);
                const auto all = this->endpoints(database);
                return std::all_of(all.begin(), all.end(), [&](const EndpointSample& endpoint) {
                    const bool role = endpoint.role == (endpoint.id == primary.id ? "primary" : "replica");
                    return role && endpoint.term == primary.term
                        && endpoint.lastLog + healthyDistance > primary.lastLog;
                });
            });
        },
        limit);
}

bool waitUntil(const std::function<bool()>& condition, Duration limit)
{
    const auto end = MonotonicClock::now() + limit;
    while (!condition()) {
        if (MonotonicClock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void addLatency(Figures& figures, const std::string& name, const LatencyHistogram& histogram)
{
    figures.push_back({ name + " median", toMilliseconds(histogram.percentile(50)), "ms" });
    figures.push_back({ name + " p99", toMilliseconds(histogram.percentile(99)), "ms" });
    figures.push_back({ name + " worst", toMilliseconds(histogram.maximum()), "ms" });
}

void addShare(Figures& figures, const std::string& name, std::uint64_t part, std::uint64_t whole)
{
    const auto share = whole == 0 ? std::numeric_limits<double>::quiet_NaN()
                                  : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    figures.push_back({ name, share, "%" });
}

CallerCall newCall(RequestKind kind, const DatabaseId& database, std::string statement)
{
    static std::atomic<std::uint64_t> last = 0;
    CallerCall call;
    call.kind = kind;
    call.database = database;
    call.requestId = RequestId("experiment-" + std::to_string(++last));
    call.priority = kind == RequestKind::Write ? Priority::Write : Priority::Read;
    call.statement = std::move(statement);
    return call;
}

} // namespace endivetrestle::internal
