#pragma once

#include "base/lock_order.h"
#include "base/timer_service.h"
#include "edge/network_loop.h"
#include "edge/peer_rpc.h"
#include "edge/platform_client.h"
#include "process/gossip.h"
#include "process/journal.h"
#include "process/metrics.h"
#include "process/ownership.h"
#include "process/settings.h"
#include "version/confirm_machine.h"
#include "version/plan.h"
#include "version/version_keeper.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>

namespace endivetrestle {

// What the fleet needs of the daemon.
struct DaemonFleetHooks {
    // A newer configuration is in force. Called on the network loop's thread without locks.
    std::function<void(std::shared_ptr<const Configuration>)> adopted;
    // The view of daemons changed, so owners may have. Called on the network loop's thread without locks.
    std::function<void()> viewChanged;
    RandomSource random;
    // Unix time in milliseconds.
    std::function<std::int64_t()> wallClockMs;
    std::function<std::string()> wallTime;
};

// State of the fleet as this daemon sees it, for reports.
struct FleetReport {
    std::vector<DaemonInfo> daemons;
    std::uint64_t version = 0;
    std::string hash;
    std::uint64_t newestKnown = 0;
    bool storeAnswered = false;
    // Versions in force on this daemon and on those that reported theirs.
    InForceView inForce;
};

// This daemon's part in the fleet: the view of daemons, gossip, configuration versions and the platform's services.
// Decisions are made by the modules it owns; this class carries out their actions on the network loop. Functions may
// be called from any thread unless stated otherwise.
class Fleet {
public:
    Fleet(NetworkLoop& loop, PeerClient& peers, const Settings& settings, DaemonInfo self, Journal& journal,
        Metrics& metrics, DaemonFleetHooks hooks);
    ~Fleet();

    // Starts gossip and polls on the timers, which must not be advanced any more when the fleet is destroyed.
    void start(TimerService& timers, Time now);

    // Tells the others that this daemon is leaving.
    void leave();

    // Ends everything on the loop's thread. No function may be called afterwards.
    void stop();

    // Configuration in force, or null.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration();
    // Owners of a database by rank.
    [[nodiscard]] std::vector<DaemonInfo> owners(const DatabaseDeclaration& database);
    [[nodiscard]] std::optional<DaemonInfo> find(const DaemonId& daemon);
    [[nodiscard]] std::vector<DaemonInfo> view();
    [[nodiscard]] FleetReport report();

    // Result of a call to a peer.
    void reportCall(const DaemonId& daemon, bool succeeded);

    // Handlers for peers, on the network loop's thread.
    std::string onGossip(const DaemonId& from, const std::string& message);
    ConfigurationBody onFetch(std::uint64_t atLeast);

    // Result of makePlanFor(): the stored plan, or why there is none.
    struct Planned {
        std::optional<Plan> plan;
        ErrorCode code = ErrorCode::None;
        std::vector<std::string> reasons;
    };
    // Makes a plan from an intent and stores it, so that any daemon can confirm it.
    void makePlan(const Intent& intent, const std::string& createdBy, std::function<void(Planned)> done);
    // Confirms a plan by id.
    void confirm(const PlanId& plan, std::function<void(ConfirmResult)> done);

private:
    struct Platform;

    void tickRound();
    void exchange(const DaemonInfo& peer);
    void takeReceived(const DaemonId& from, const std::optional<GossipReceived>& received);
    void perform(std::vector<KeeperAction> actions);
    void adopt(const std::shared_ptr<const Configuration>& configuration);
    void keep(const std::function<std::vector<KeeperAction>(VersionKeeper&, Time now)>& input);
    void pollLiveList();
    void viewMayHaveChanged();
    void updatePeerGauges();
    void forgetRemovedDaemons();
    void onStoreAnswered(bool answered);
    void callStore(const ConfirmAction& action, std::function<void(StoreAnswer)> done);
    void stepConfirm(
        std::shared_ptr<ConfirmMachine> machine, const ConfirmAction& action, std::function<void(ConfirmResult)> done);

    NetworkLoop& loop;
    PeerClient& peers;
    Settings settings;
    DaemonId self;
    Journal& journal;
    Metrics& metrics;
    DaemonFleetHooks hooks;
    std::unique_ptr<Platform> platform;

    OrderedMutex versionMutex { LockLevel::ConfigurationVersion };
    VersionKeeper keeper;
    std::shared_ptr<const Configuration> current;

    OrderedMutex viewMutex { LockLevel::Membership };
    Membership membership;
    Gossip gossip;
    Ownership ownership;
    std::uint64_t ownershipSequence = 0;
    std::map<DatabaseId, std::vector<DaemonInfo>> ownerCache;

    std::atomic<bool> stopping = false;
    std::uint64_t announcedSequence = 0;
    // Daemons of the view at the last change; guarded by versionMutex.
    std::set<DaemonId> viewedDaemons;
    std::uint64_t outageEntry = 0;
    Time outageSince;
};

} // namespace endivetrestle
