#pragma once

#include "edge/caller_api.h"
#include "edge/database_runtime.h"
#include "edge/fleet.h"
#include "edge/http_server.h"
#include "edge/operator_api.h"
#include "edge/peer_rpc.h"
#include "request/request_forwarder.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace endivetrestle {

// Contents of the files that the settings name. Never logged.
struct Secrets {
    std::string fleetKey;
    // The first one signs.
    std::vector<std::string> tokenKeys;
    std::string operatorKey;
};

// Result of readSecrets(). The secrets may be used only if there are no problems.
struct SecretsResult {
    Secrets secrets;
    std::vector<JsonProblem> problems;
};

// Reads the secret files. Surrounding white space is dropped; a key has at least 16 bytes.
SecretsResult readSecrets(const SecretFiles& files, const std::string& source);

// Choices that are not part of the settings.
struct DaemonOptions {
    // Replaces the weighted policy; for comparisons.
    ReadPolicy readPolicy;
    // Divides the windows of the burn report; for experiments that last minutes.
    double burnScale = 1;
};

// One proxy process: servers for callers, operators and peers, and everything behind them.
//
// Example:
//     Daemon daemon(settings, secrets, {});
//     daemon.start();
//     ...
//     daemon.shutDown(std::chrono::seconds(10));
class Daemon {
public:
    // Opens all ports. Throws std::exception or kj::Exception if one cannot be opened.
    Daemon(Settings settings, Secrets secrets, DaemonOptions options);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Starts timers, gossip and polls.
    void start();

    // Leaves the fleet, stops accepting, waits until every request in flight is answered and closes everything. Returns
    // false if requests were still in flight after the limit.
    bool shutDown(Duration limit);

    // Whether requests can be served: a configuration is in force and the daemon is not shutting down.
    [[nodiscard]] bool ready();

    [[nodiscard]] std::uint16_t callerPort() const { return this->callers->port(); }
    [[nodiscard]] std::uint16_t operatorPort() const { return this->operators->port(); }
    [[nodiscard]] std::uint16_t peerPort() const { return this->peerPortNumber; }
    // Emulates the one-way delay to peers from now on, for experiments.
    void setPeerDelay(PeerClient::DelayHook hook) { this->peerClient->setDelayHook(std::move(hook)); }
    [[nodiscard]] Fleet& fleetPart() { return *this->fleet; }

    // Runs a request as if it had come from a caller. done is called exactly once, on any thread.
    void run(Request request, std::optional<TransactionIdParts> parts, std::function<void(Outcome)> done);

private:
    struct Flight;

    void openServers();
    [[nodiscard]] ControllerSettings controllerSettings(const DatabaseDeclaration& declaration) const;
    void onForward(Request request, std::function<void(Outcome)> answer);
    void onOpinion(const DatabaseId& database, const EndpointId& endpoint, std::function<void(PeerOpinion)> answer);
    void askOpinions(const DatabaseId& database, const EndpointId& endpoint, std::uint64_t term);
    void step(const std::shared_ptr<Flight>& flight, const ForwardStep& next);
    void onFlightOutcome(const std::shared_ptr<Flight>& flight, const Outcome& outcome, Time receivedAt);
    void applyOwnership();
    void submitLocally(
        const Request& request, const std::optional<TransactionIdParts>& parts, std::function<void(Outcome)> done);
    [[nodiscard]] std::shared_ptr<DatabaseRuntime> runtime(const DatabaseId& database);
    [[nodiscard]] std::vector<std::shared_ptr<DatabaseRuntime>> allRuntimes();
    [[nodiscard]] std::vector<DaemonId> ownerIds(const DatabaseId& database);
    [[nodiscard]] std::uint64_t random();
    void serveTimers();
    [[nodiscard]] std::size_t unfinished();
    [[nodiscard]] nlohmann::json statusJson();

    Settings settings;
    Secrets secrets;
    DaemonOptions options;
    // Differs for every start, see Failover.
    DaemonId claimant;
    SessionTokenCodec tokens;
    TransactionIdCodec transactionIds;
    Journal journal;
    BurnTracker burn;
    Metrics metrics;
    TimerService timers;
    NetworkLoop loop;
    std::unique_ptr<PeerClient> peerClient;
    std::unique_ptr<PeerServer> peerServer;
    unsigned short peerPortNumber = 0;
    std::unique_ptr<Fleet> fleet;
    std::unique_ptr<CallerApi> callerApi;
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operators;

    // Runtimes are added and never removed; the map is guarded at the level of the configuration they come from.
    OrderedMutex runtimesMutex { LockLevel::ConfigurationVersion };
    std::map<DatabaseId, std::shared_ptr<DatabaseRuntime>> runtimes;

    std::atomic<bool> shuttingDown = false;
    std::atomic<bool> timersRunning = false;
    std::thread timerThread;
    std::mutex randomMutex;
    std::uint64_t randomState;
    std::atomic<std::uint64_t> lastRequestNumber = 0;
    std::atomic<std::size_t> forwardsInFlight = 0;
    bool stopped = false;
};

} // namespace endivetrestle
