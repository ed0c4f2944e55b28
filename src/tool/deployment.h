#pragma once

#include "edge/daemon.h"
#include "standin/group.h"
#include "standin/platform.h"

#include <memory>
#include <string>
#include <vector>

namespace endivetrestle {

// Place of one daemon of a deployment.
struct DeployedDaemon {
    DaemonId id;
    DataCentre dataCentre;

    bool operator==(const DeployedDaemon&) const = default;
};

// Size and shape of a deployment on one machine.
struct DeploymentOptions {
    Region region;
    std::vector<DataCentre> dataCentres;
    std::vector<DeployedDaemon> daemons;
    // Loopback address on which the daemons listen.
    std::string address = "127.0.0.1";
    std::vector<DatabaseId> databases;
    // Endpoints of each database, placed in the data centres in turn.
    int endpointsPerDatabase = 3;
    int slots = 2;
    int connectionsPerEndpoint = 16;
    Duration openingTime = std::chrono::milliseconds(10);
    Duration serviceTime = std::chrono::milliseconds(1);
    // From an append at the primary until another endpoint has the record, and until it has applied it.
    Duration shipDelay = std::chrono::milliseconds(1);
    Duration applyLag = std::chrono::milliseconds(5);
    // One way between two data centres, for endpoints and daemons.
    Duration dataCentreDelay {};
    Objectives objectives;
    // Policies and limits of every daemon; identity, addresses and secrets are filled in.
    Settings settings;
    DaemonOptions daemonOptions;
    std::uint64_t seed = 1;
};

// Shapes of the two deployments, with the emulated distances between their data centres.
DeploymentOptions saengchanShape();
DeploymentOptions prismShape();
// Two daemons before one database, without emulated distances.
DeploymentOptions demoShape();

// A caller of a deployment with its key.
struct DeployedCaller {
    CallerId id;
    std::string key;

    bool operator==(const DeployedCaller&) const = default;
};

// Daemons, database groups and platform of a deployment in one process, on loopback ports that the kernel chose. The
// groups and the platform are stand-ins on a thread of their own; everything talks over sockets. The configuration is
// put in force by a plan and its confirmation, as an operator would.
//
// Example:
//     Deployment deployment(demoShape());
//     if (!deployment.start(std::chrono::seconds(10))) ...
//     deployment.controlGroup(DatabaseId("shop-1"), R"({"endpoints": {"shop-1-a": {"down": true}}})");
class Deployment {
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Starts every daemon, puts the configuration in force and waits until every database answers a read. Returns an
    // empty text, or what was still missing after the limit.
    std::string start(Duration limit);

    // Stops every daemon. Returns false if requests were in flight after the limit.
    bool stop(Duration limit);

    // Stops one daemon without leaving the fleet, as if its host had failed; start it again with restartDaemon().
    void killDaemon(std::size_t index);
    // Starts a daemon again at the same ports.
    void restartDaemon(std::size_t index);

    // Sets switches of a group's or the platform's stand-in; see StandinGroup and StandinPlatform. Returns the
    // problems.
    std::vector<JsonProblem> controlGroup(const DatabaseId& database, const std::string& body);
    std::vector<JsonProblem> controlPlatform(const std::string& body);
    // Status texts of the stand-ins.
    [[nodiscard]] std::string groupStatus(const DatabaseId& database);

    [[nodiscard]] std::size_t daemonCount() const { return this->daemons.size(); }
    // The daemon must not have been killed.
    [[nodiscard]] Daemon& daemon(std::size_t index) { return *this->daemons.at(index); }
    [[nodiscard]] bool running(std::size_t index) const { return this->daemons.at(index) != nullptr; }
    [[nodiscard]] const DeployedCaller& caller() const { return this->callerIdentity; }
    [[nodiscard]] const std::string& operatorKey() const { return this->secrets.operatorKey; }
    [[nodiscard]] const DeploymentOptions& shape() const { return this->options; }
    // "ip:port" of an endpoint.
    [[nodiscard]] std::string endpointAddress(const DatabaseId& database, std::size_t index);
    // Name of an endpoint of a database, for example "shop-1-a".
    [[nodiscard]] static EndpointId endpointId(const DatabaseId& database, std::size_t index);

private:
    [[nodiscard]] Settings daemonSettings(std::size_t index) const;
    [[nodiscard]] ConfigurationDocument document();
    void startStandins();
    void registerHosts();
    std::string confirmConfiguration();
    std::string awaitDatabase(const DatabaseId& database, Time end);
    standin::StandinGroup& group(const DatabaseId& database);

    DeploymentOptions options;
    Secrets secrets;
    DeployedCaller callerIdentity;
    NetworkLoop standinLoop;
    std::unique_ptr<standin::StandinPlatform> platform;
    std::map<DatabaseId, std::unique_ptr<standin::StandinGroup>> groups;
    std::vector<std::unique_ptr<Daemon>> daemons;
    // Ports of each daemon, kept over a restart.
    std::vector<ListenSettings> listen;
};

} // namespace endivetrestle
