#pragma once

#include "base/boot_clock.h"
#include "soak/daemon_process.h"
#include "soak/fault_link.h"
#include "soak/soak.h"
#include "soak/standin_group.h"
#include "soak/standin_store.h"

#include <deque>
#include <functional>
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
        std::unique_ptr<FaultLink> link;
        bool draining = false;
        std::int64_t processStartMs = 1;
        std::string lastRow;
        // Time at which the registry entry lapses after a crash.
        Time lapsesAt;
    };
    struct Daemon {
        std::unique_ptr<DaemonProcess> process;
        asio::ip::tcp::endpoint address;
        // Through these other daemons reach it for calls and for forwarded statements.
        std::unique_ptr<FaultLink> peerLink;
        std::unique_ptr<FaultLink> forwardLink;
        // Whether an end of the process is expected.
        bool endExpected = false;
        bool stopped = false;
    };

    // soak_run.cc
    void makeGroups();
    void putConfiguration();
    void putRegistry();
    void startDaemons();
    void startDaemon(int number, const std::string& ip);
    void startClients();
    void tick();
    void watchDaemon(std::size_t index);
    int promote(const std::string& group, const std::string& id, std::uint64_t token);
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    void runFor(std::chrono::milliseconds duration);
    void checkRecovery();
    void stopAll();

    // soak_faults.cc
    void scheduleFault();
    void injectFault();
    void harmDaemon(std::uint64_t kind);
    void harmDaemonLinks(std::uint64_t kind);
    void pause(std::size_t index, std::chrono::milliseconds duration, const std::string& name);
    void harmMember(std::uint64_t kind);
    void harmStore(std::uint64_t kind);
    void heal();
    void note(const std::string& fault);
    [[nodiscard]] std::chrono::milliseconds upTo(int milliseconds);

    static constexpr Duration staleness = std::chrono::milliseconds(600);

    SoakSettings settings;
    std::mt19937_64 random;
    asio::io_context context;
    Audit audit;
    SoakReport report;
    Time startedAt = bootNow();
    std::vector<std::unique_ptr<StandinGroup>> groups;
    std::deque<Member> members;
    StandinStore store;
    FaultLink storeLink;
    std::deque<Daemon> daemons;
    std::vector<std::unique_ptr<SoakClient>> clients;
    asio::steady_timer ticker;
    asio::steady_timer faultTimer;
    int configurationVersion = 0;
};

} // namespace endivetrestle::soak
