#pragma once

#include "base/log_limiter.h"
#include "edge/endpoint_probe.h"
#include "edge/endpoint_transport.h"
#include "edge/forward_links.h"
#include "edge/http_server.h"
#include "edge/peer_calls.h"
#include "edge/session_server.h"
#include "platform/promotion_client.h"
#include "platform/store_client.h"
#include "process/configuration_proof.h"
#include "process/configuration_prover.h"
#include "process/durability/sync_requirement.h"
#include "process/endpoint_directory.h"
#include "process/fleet_controller.h"
#include "process/group_placement.h"
#include "process/group_scheduler.h"
#include "process/proxy_metrics.h"
#include "process/proxy_settings.h"
#include "process/quota/daemon_quota.h"
#include "process/reachability_monitor.h"
#include "process/seed_bootstrap.h"
#include "process/statement_forwarder.h"
#include "process/stop_plan.h"
#include "process/store_contact.h"
#include "process/table_feed.h"
#include "process/workspace_owners.h"

#include <asio/signal_set.hpp>

#include <map>
#include <memory>
#include <string>

namespace endivetrestle {

// One daemon that serves client sessions of the statement protocol on the users' platform. Everything runs on one event
// loop: the hosts have half a core, and a statement needs no hand-off between threads.
//
// Example:
//     SessionProxy proxy(settings);
//     return proxy.run();
class SessionProxy {
public:
    explicit SessionProxy(ProxySettings settings);
    ~SessionProxy();
    SessionProxy(const SessionProxy&) = delete;
    SessionProxy& operator=(const SessionProxy&) = delete;

    // Serves until SIGTERM or SIGINT and returns the exit code. Throws std::system_error if a port cannot be opened.
    int run();

    // Reads the settings again, on SIGHUP and when the look at the file shows a change. No value if they cannot be
    // used; the reader has logged why. Null if the settings do not come from a file.
    std::function<std::optional<ProxySettings>()> readSettings;
    // Whether the settings file differs from the one that was read last.
    std::function<bool()> settingsChanged;

private:
    struct Group {
        std::unique_ptr<EndpointTransport> transport;
        std::unique_ptr<GroupScheduler> scheduler;
        std::unique_ptr<StatementForwarder> forwarder;
        GroupPlacement placement;
    };

    // session_proxy_fleet.cc
    FleetHooks makeFleetHooks();
    void queryEndpoint(
        const DatabaseId& group, const EndpointId& endpoint, std::function<void(const EndpointReply&)> callback);
    void makeBootstrap();
    [[nodiscard]] BootstrapAnswer bootstrapAnswer(StoreVersion knownRowVersion) const;
    void applyBootstrap(const BootstrapAnswer& answer);
    void handlePeer(const HttpRequest& request, HttpServer::Answer answer);

    // session_proxy_forwarding.cc
    ForwardLinkHooks makeLinkHooks();
    std::unique_ptr<StatementForwarder> makeForwarder(const DatabaseId& group, GroupScheduler& scheduler);
    void onLiveDaemons(const std::vector<LeaseRow>& others);
    void updatePlacements();
    void updatePlacement(const DatabaseId& id, Group& group, const GroupPlacement& placement);
    void onOwnerResult(const DatabaseId& group, const ObservedStatement& statement, const StatementResult& result);
    [[nodiscard]] bool othersKnown() const;
    [[nodiscard]] std::vector<DaemonId> otherOwners(const DatabaseId& group) const;
    [[nodiscard]] std::vector<DaemonId> otherDaemons() const;
    StatementRunner* runnerOf(const DatabaseId& group);

    // session_proxy_quota.cc
    void makeQuota();
    OperationGate makeOperationGate();
    void logQuotaRefusal(const WorkspaceId& workspace, QuotaDecision decision);
    void configureQuota();
    void updateQuotaDaemons();
    void addQuotaHooks(ForwardLinkHooks& hooks);
    void onQuotaLinkLost(const DaemonId& daemon);
    void armQuotaTimer();

    // session_proxy_configuration.cc
    void makeConfigurationProof();
    [[nodiscard]] bool needsConfigurationProof() const;
    [[nodiscard]] bool configurationIsRecent(Time now);
    bool askProver(const ConfigurationQuestion& question, const ConfigurationProofHooks::AnswerCallback& callback);
    void answerConfigurationQuestion(const ConfigurationQuestion& question, HttpServer::Answer answer);
    void logConfigurationRecency(bool recent, Time now);
    [[nodiscard]] ConfigurationProofState configurationProofState(Time now) const;

    // session_proxy_reachability.cc
    ReachabilityHooks makeReachabilityHooks();
    void addReachabilityHooks(const DatabaseId& group, EndpointInput& input);
    void addReachabilityHooks(const DatabaseId& group, SchedulerHooks& hooks);
    void onLinkEvidence(const DaemonId& owner, LinkEvidence evidence);
    void onStoreCall(bool answered);
    void tickReachability(Time now);

    void listen();
    void startFeeds();
    void onStoreRegained();
    void onStoreEraChanged(std::uint64_t era);
    void onConfigurationRows(const std::vector<StoreRow>& rows);
    void onRegistryRows(const std::vector<StoreRow>& rows, bool snapshot);
    void updateGroups();
    void updateEndpoints();
    GroupScheduler* schedulerOf(const DatabaseId& group);
    Group makeGroup(const DatabaseId& group);
    void record(const StatementRecord& statement);
    void recordEnd(const SessionEnd& end);
    [[nodiscard]] std::string metricsPage();
    [[nodiscard]] bool isReady() const;

    // session_proxy_lifecycle.cc
    void waitForSignal();
    void watchSettings();
    void reloadSettings(const std::string& cause);
    [[nodiscard]] std::size_t sessionLimit() const;
    void beginStop();
    void refuseTransactions();
    void refuseStatements();
    void answerRest();
    void finishStop();
    void checkStop(Time now);
    void tick(Time now);
    void runLoop();

    ProxySettings settings;
    asio::io_context context;
    TimerService timers;
    asio::signal_set signals;
    std::string incarnation;
    platform::StoreClient storeClient;
    // All calls to the store go through it.
    StoreContact store;
    platform::PromotionClient promotions;
    PeerCalls peers;
    EndpointProbe probe;
    std::shared_ptr<const RouteTable> routes;
    // Row from which the routes were read.
    StoreRow configurationRow;
    std::unique_ptr<SeedBootstrap> bootstrap;
    EndpointDirectory directory;
    SyncRequirement syncRequirement;
    bool registryKnown = false;
    ReachabilityMonitor reachability;
    std::map<DatabaseId, Group> groups;
    WorkspaceOwners workspaceOwners { this->settings.daemon };
    std::unique_ptr<FleetController> fleet;
    std::unique_ptr<DaemonQuota> quota;
    // Subscription of the quota's next periodic work, 0 if there is none, and its time.
    TimerService::SubscriptionId quotaTimer = 0;
    Time quotaTimerDue = Time::max();
    std::unique_ptr<ForwardLinks> links;
    std::unique_ptr<SessionServer> sessions;
    std::unique_ptr<TableFeed> configurationFeed;
    std::unique_ptr<TableFeed> registryFeed;
    std::unique_ptr<ConfigurationProof> configurationProof;
    std::unique_ptr<ConfigurationProver> configurationProver;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> metricsServer;
    ProxyMetrics metrics;
    LogLimiter logLimiter;
    std::uint64_t successes = 0;
    ConnectionId lastConnectionId = 0;
    std::vector<DaemonInfo> alive;
    std::vector<LeaseRow> otherLeases;
    bool stopping = false;
    bool finished = false;
    // Times of the planned stop; without meaning before it.
    StopPlan stopPlan;
    bool leaseReleased = false;
};

} // namespace endivetrestle
