#pragma once

#include "base/boot_clock.h"
#include "soak/daemon_process.h"
#include "soak/fault_link.h"
#include "soak/soak.h"
#include "soak/standin_group.h"
#include "soak/standin_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace endivetrestle::soak {

// One run of the soak: the stand-ins, the daemons, the clients and the faults.
class SoakRun {
public:
    explicit SoakRun(const SoakSettings& settings);

    SoakReport run();

private:
    struct Member {
        StandinMember* endpoint = nullptr;
        // Through these the daemons reach it, by their index. Empty if another member has taken over its address.
        std::vector<std::unique_ptr<FaultLink>> links;
        // Member to which the links lead.
        std::shared_ptr<StandinMember*> linkTarget;
        bool draining = false;
        // Whether it has ended for good.
        bool left = false;
        std::int64_t processStartMs = 1;
        std::string lastRow;
        // Time at which the registry entry lapses after a crash.
        Time lapsesAt;
    };
    // What one daemon uses to reach another one: for calls, and for forwarded statements.
    struct PeerLinks {
        std::unique_ptr<FaultLink> calls;
        std::unique_ptr<FaultLink> statements;
    };
    struct Daemon {
        std::unique_ptr<DaemonProcess> process;
        asio::ip::tcp::endpoint address;
        // Its number among the clients of the store, and its links to the store and to the promotion service.
        std::size_t storeClient = 0;
        std::unique_ptr<FaultLink> storeLink;
        std::unique_ptr<FaultLink> promotionLink;
        // Its links to the other daemons, by their index; its own entry is empty.
        std::vector<PeerLinks> peers;
        // End of the latest fault of this daemon or its links.
        Time harmedUntil;
        // Whether an end of the process is expected.
        bool endExpected = false;
        bool stopped = false;
        // Time before which it is not started again.
        Time startNotBefore;
    };

    // soak_run.cc
    void makeGroups();
    Member& addMember(StandinMember& endpoint);
    void addLinks();
    [[nodiscard]] std::string storeView(
        std::size_t daemon, const std::string& table, const std::string& key, const std::string& value) const;
    void putConfiguration();
    void putRegistry();
    void startDaemons();
    void startDaemon(int number, const std::string& ip);
    void startClients();
    void tick();
    void watchDaemon(std::size_t index);
    int promote(const std::string& group, const std::string& id, const std::string& holder, std::uint64_t token);
    [[nodiscard]] bool inTouch(Time now) const;
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    void runFor(std::chrono::milliseconds duration);
    void checkRecovery();
    [[nodiscard]] std::map<std::string, ClientCounts> countsByGroup() const;
    void stopAll();

    // soak_faults.cc
    void scheduleFault();
    [[nodiscard]] std::chrono::milliseconds pauseBetweenFaults();
    void injectFault();
    void harmDaemon(std::uint64_t kind);
    void harmDaemonLinks(std::uint64_t kind);
    void harmSome(std::uint64_t kind);
    void pause(std::size_t index, std::chrono::milliseconds duration, const std::string& name);
    void harmMember(std::uint64_t kind);
    void harmStore(std::uint64_t kind);
    void repeatAnswers();
    // Share of answers that members send twice when no fault says otherwise.
    [[nodiscard]] double usualRepeatShare() const;
    void restoreStore();
    void writeAgain();
    void harmed(std::size_t daemon, std::chrono::milliseconds duration);
    void heal();
    void note(const std::string& fault);
    [[nodiscard]] std::chrono::milliseconds upTo(int milliseconds);

    // soak_partial_faults.cc
    void cutDaemon();
    void cutStore();
    void cutPrimary();
    void forgetWatches();
    void loseStoreForSome();
    void releasePrimaries(std::chrono::milliseconds within);
    void release(StandinGroup& group);
    void setDaemonLinks(std::size_t index, LinkCut how);
    [[nodiscard]] std::vector<std::size_t> someDaemons();
    [[nodiscard]] LinkCut anyCut();

    // soak_holder_faults.cc
    void loseHolders();
    void loseHoldersTogether(Member& primary, Member& replica, bool withDaemons);
    void loseLogOfReplica(Member& primary, Member& replica, Member& other);
    void reuseAddress(Member& lost);
    void crash(Member& member, std::chrono::milliseconds backAfter);
    void endAllDaemons();
    void moveRoute();
    [[nodiscard]] Member* memberOf(const StandinMember* endpoint);

    static constexpr Duration staleness = std::chrono::milliseconds(600);
    // Age bound of the route that moves; longer than its replicas are late.
    static constexpr Duration movingStaleness = std::chrono::milliseconds(2500);
    static constexpr const char* movingDatabase = "moving";
    static constexpr int movingClients = 4;

    SoakSettings settings;
    std::mt19937_64 random;
    asio::io_context context;
    Audit audit;
    SoakReport report;
    Time startedAt = bootNow();
    std::vector<std::unique_ptr<StandinGroup>> groups;
    std::deque<Member> members;
    StandinStore store;
    std::deque<Daemon> daemons;
    std::vector<std::unique_ptr<SoakClient>> clients;
    asio::steady_timer ticker;
    asio::steady_timer faultTimer;
    int configurationVersion = 0;
    // Number of the group to which the moving route leads.
    std::size_t movingTarget = 0;
    // Whether the operators and the endpoints have not yet written again what the store has lost.
    bool writersAway = false;
    // End of the latest fault of the store.
    Time storeHarmedUntil;
    // Whether the time with faults is over.
    bool healed = false;
};

} // namespace endivetrestle::soak
