#include "soak/soak.h"

#include "base/boot_clock.h"
#include "soak/daemon_process.h"
#include "soak/fault_link.h"
#include "soak/standin_group.h"
#include "soak/standin_store.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace endivetrestle::soak {

namespace {

using nlohmann::json;

constexpr std::uint16_t clientPort = 18784;
constexpr std::chrono::milliseconds tickInterval { 5 };
constexpr std::chrono::milliseconds registryInterval { 100 };
// Time from SIGTERM until a daemon must have ended; its settings say six seconds.
constexpr std::chrono::seconds stopLimit { 7 };
// Quiet time at the end, and the part of it in which most statements must succeed.
constexpr std::chrono::seconds recoveryTime { 20 };
constexpr std::chrono::seconds recoveryWindow { 4 };
constexpr double recoveredShare = 0.8;

class Soak {
public:
    explicit Soak(const SoakSettings& settings)
        : settings(settings)
        , random(settings.seed)
        , store(this->context, this->random,
              [this](const std::string& group, const std::string& id, std::uint64_t token) {
                  return this->promote(group, id, token);
              })
        , storeLink(this->context, this->random, [this] { return this->store.port(); })
        , ticker(this->context)
        , faultTimer(this->context)
    {
    }

    SoakReport run()
    {
        this->report.seed = this->settings.seed;
        this->makeGroups();
        this->putConfiguration();
        this->startDaemons();
        this->tick();
        this->runFor(std::chrono::seconds(4));
        this->startClients();
        this->scheduleFault();
        this->runFor(std::chrono::seconds(this->settings.seconds));
        this->heal();
        this->runFor(recoveryTime - recoveryWindow);
        this->checkRecovery();
        this->stopAll();
        this->report.violations = this->audit.violations();
        this->report.acknowledgedWrites = this->audit.acknowledged();
        this->report.checkedReads = this->audit.checkedReads();
        return this->report;
    }

private:
    struct Member {
        StandinMember* endpoint = nullptr;
        std::unique_ptr<FaultLink> link;
        bool draining = false;
        std::int64_t bornMs = 1;
        std::string lastRow;
        // Time at which the registry entry lapses after a crash.
        Time lapsesAt;
    };
    struct Daemon {
        std::unique_ptr<DaemonProcess> process;
        asio::ip::tcp::endpoint address;
        // Whether an end of the process is expected.
        bool endExpected = false;
        bool stopped = false;
    };

    void makeGroups()
    {
        for (int i = 1; i <= this->settings.groups; ++i) {
            this->groups.push_back(
                std::make_unique<StandinGroup>(this->context, "g" + std::to_string(i), this->audit, this->random));
            for (const auto& endpoint : this->groups.back()->members) {
                auto& member = this->members.emplace_back();
                member.endpoint = endpoint.get();
                member.link = std::make_unique<FaultLink>(
                    this->context, this->random, [target = endpoint.get()] { return target->port(); });
            }
        }
    }

    void putConfiguration()
    {
        json routes = json::array();
        json services = json::array();
        for (const auto& group : this->groups) {
            services.push_back({ { "Name", group->name }, { "MaxConns", 32 }, { "SyncReplicas", 0 } });
            for (const char* type : { "primary", "bounded_staleness", "read_your_writes" }) {
                routes.push_back({ { "Name", group->name + type }, { "Host", group->name + "-" + type },
                    { "Type", type }, { "TimeoutMs", 800 }, { "TargetLatencyMs", 200 }, { "Priority", 1 },
                    { "Service", group->name }, { "MaxStalenessMs", staleness.count() / 1000 } });
            }
        }
        this->configurationVersion += 3;
        this->store.put("op", "config",
            json { { "Version", this->configurationVersion }, { "Routes", routes }, { "Services", services },
                { "Limits", { { "TxIdleMs", 3000 } } } }
                .dump());
    }

    void putRegistry()
    {
        const auto now = bootNow();
        for (auto& member : this->members) {
            const auto& endpoint = *member.endpoint;
            const auto row = !endpoint.up && now >= member.lapsesAt
                ? std::string()
                : json {
                      { "Service", endpoint.id.substr(0, endpoint.id.find('-')) },
                      { "Address", "127.0.0.1:" + std::to_string(member.link->port()) }, { "Zone", "z" },
                      { "Version", "v1" }, { "Capacity", 4 }, { "State", member.draining ? "draining" : "ready" },
                      { "WarmupLeftMs", 0 }, { "DbRole", endpoint.primary ? "primary" : "replica" }, { "Seq", 1 },
                      { "born", member.bornMs }
                  }.dump();
            if (row == member.lastRow)
                continue;
            member.lastRow = row;
            if (row.empty())
                this->store.remove("servers", endpoint.id);
            else
                this->store.put("servers", endpoint.id, row);
        }
    }

    void startDaemons()
    {
        // Addresses of the loopback network that depend on the process, so that soaks can run side by side.
        const auto process = getpid();
        const std::string network
            = "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + ".";
        for (int i = 1; i <= this->settings.daemons; ++i) {
            const auto ip = network + std::to_string(i);
            const auto name = "d" + std::to_string(i);
            const auto file = this->settings.directory + "/" + name + ".toml";
            std::ofstream(file) << "NodeName = \"" << name << "\"\nIp = \"" << ip
                                << "\"\nZone = \"z\"\nRegion = \"r\"\n"
                                << "InternalPorts = [17440, 17445]\n[ListenAddrs]\nFrontend = \"" << ip << ":"
                                << clientPort << "\"\nReadiness = \"" << ip
                                << ":18785\"\n[platform]\nAddress = \"127.0.0.1:" << this->storeLink.port()
                                << "\"\n[Cloud]\nAddress = \"127.0.0.1:" << this->store.port()
                                << "\"\n[Bounds]\nGraceS = 6\n";
            auto& daemon = this->daemons.emplace_back();
            daemon.address = { asio::ip::make_address(ip), clientPort };
            daemon.process = std::make_unique<DaemonProcess>(file, this->settings.directory + "/" + name + ".log");
            daemon.process->start();
        }
    }

    void startClients()
    {
        for (int i = 0; i < this->settings.clients; ++i) {
            const auto& group = this->groups.at(static_cast<std::size_t>(i) % this->groups.size())->name;
            ClientRoute route { group + "-primary", group };
            if (i % 3 == 1)
                route = { group + "-bounded_staleness", group, staleness };
            else if (i % 3 == 2)
                route = { group + "-read_your_writes", group, staleness, true };
            this->clients.push_back(std::make_unique<SoakClient>(this->context, this->random, this->audit,
                this->report.counts, "c" + std::to_string(i), route,
                [this] { return this->daemons.at(this->random() % this->daemons.size()).address; }));
            this->clients.back()->start();
        }
    }

    void tick()
    {
        for (const auto& group : this->groups)
            group->replicate();
        this->store.tick();
        this->putRegistry();
        for (std::size_t i = 0; i < this->daemons.size(); ++i)
            this->watchDaemon(i);
        this->ticker.expires_after(tickInterval);
        this->ticker.async_wait([this](const asio::error_code& error) {
            if (!error)
                this->tick();
        });
    }

    void watchDaemon(std::size_t index)
    {
        auto& daemon = this->daemons.at(index);
        if (daemon.stopped || daemon.process->poll())
            return;
        if (!daemon.endExpected)
            this->audit.violate("daemon " + std::to_string(index + 1) + " ended by itself with status "
                + std::to_string(daemon.process->lastStatus()));
        daemon.endExpected = false;
        daemon.stopped = true;
        this->later(std::chrono::milliseconds(100 + this->random() % 900), [this, index] {
            this->daemons.at(index).process->start();
            this->daemons.at(index).stopped = false;
        });
    }

    int promote(const std::string& group, const std::string& id, std::uint64_t token)
    {
        constexpr int accepted = 200;
        constexpr int rejected = 409;
        this->audit.onToken(token);
        for (const auto& candidate : this->groups) {
            auto* member = candidate->name == group ? candidate->find(id) : nullptr;
            if (member == nullptr || !member->up)
                continue;
            ++this->report.promotions;
            this->later(std::chrono::milliseconds(100 + this->random() % 400),
                [target = candidate.get(), id] { target->promote(id); });
            return accepted;
        }
        return rejected;
    }

    void later(std::chrono::milliseconds delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
            if (!error)
                action();
        });
    }

    void runFor(std::chrono::milliseconds duration) { this->context.run_for(duration); }

    void scheduleFault()
    {
        this->faultTimer.expires_after(std::chrono::milliseconds(100 + this->random() % 1200));
        this->faultTimer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            this->injectFault();
            this->scheduleFault();
        });
    }

    void note(const std::string& fault)
    {
        this->report.faults.push_back(std::to_string(toSeconds(bootNow() - this->startedAt)) + " " + fault);
    }

    [[nodiscard]] std::chrono::milliseconds upTo(int milliseconds)
    {
        return std::chrono::milliseconds(200 + this->random() % static_cast<std::uint64_t>(milliseconds));
    }

    void injectFault()
    {
        const auto kind = this->random() % 16;
        if (kind < 5)
            this->harmDaemon(kind);
        else if (kind < 12)
            this->harmMember(kind);
        else
            this->harmStore(kind);
    }

    void harmDaemon(std::uint64_t kind)
    {
        const auto index = this->random() % this->daemons.size();
        auto& daemon = this->daemons.at(index);
        if (daemon.stopped)
            return;
        const auto name = "daemon " + std::to_string(index + 1);
        if (kind < 2) {
            this->note("kill " + name);
            daemon.endExpected = true;
            daemon.process->signal(SIGKILL);
        } else if (kind == 2 && !daemon.endExpected) {
            this->note("terminate " + name);
            daemon.endExpected = true;
            daemon.process->signal(SIGTERM);
        } else if (kind == 3)
            this->pause(index, this->upTo(3000), name);
        else if (this->random() % 4 == 0)
            // Longer than a lease.
            this->pause(index, std::chrono::seconds(15), name);
    }

    void pause(std::size_t index, std::chrono::milliseconds duration, const std::string& name)
    {
        this->note("pause " + name + " for " + std::to_string(duration.count()) + " ms");
        this->daemons.at(index).process->signal(SIGSTOP);
        this->later(duration, [this, index] { this->daemons.at(index).process->signal(SIGCONT); });
    }

    void harmMember(std::uint64_t kind)
    {
        auto& member = this->members.at(this->random() % this->members.size());
        auto* endpoint = member.endpoint;
        const auto duration = this->upTo(4000);
        this->note("harm " + endpoint->id + " kind " + std::to_string(kind) + (endpoint->primary ? " (primary)" : ""));
        switch (kind) {
        case 5:
            if (!endpoint->up)
                return;
            endpoint->crash();
            member.lapsesAt = bootNow() + std::chrono::seconds(2);
            this->later(duration, [&member, endpoint] {
                ++member.bornMs;
                endpoint->restart();
            });
            return;
        case 6:
            member.link->reset(0.7);
            return;
        case 7:
            member.link->silence(0.6, this->random() % 2 == 0);
            return;
        case 8:
            member.link->dark = true;
            member.link->silence(1.0, true);
            this->later(duration, [&member] { member.link->dark = false; });
            return;
        case 9:
            endpoint->loseAnswers = 0.2;
            this->later(duration, [endpoint] { endpoint->loseAnswers = 0; });
            return;
        case 10:
            endpoint->deaf = true;
            this->later(duration, [endpoint] { endpoint->deaf = false; });
            return;
        default:
            member.draining = true;
            this->later(std::chrono::seconds(5), [&member] { member.draining = false; });
            return;
        }
    }

    void harmStore(std::uint64_t kind)
    {
        const auto duration = this->upTo(6000);
        this->note("harm store kind " + std::to_string(kind));
        switch (kind) {
        case 12:
            this->store.down = true;
            this->later(duration, [this] { this->store.down = false; });
            return;
        case 13:
            this->store.loseAnswers = 0.3;
            this->later(duration, [this] { this->store.loseAnswers = 0; });
            return;
        case 14:
            this->storeLink.silence(0.7, this->random() % 2 == 0);
            this->store.compact();
            return;
        default:
            this->storeLink.reset(0.7);
            this->putConfiguration();
            return;
        }
    }

    void heal()
    {
        this->note("heal");
        this->faultTimer.cancel();
        // Faults that are under way end by themselves within their time; paused daemons go on at once.
        for (auto& daemon : this->daemons)
            daemon.process->signal(SIGCONT);
        this->store.down = false;
        this->store.loseAnswers = 0;
    }

    void checkRecovery()
    {
        const auto before = this->report.counts;
        this->runFor(recoveryWindow);
        const auto& now = this->report.counts;
        const auto good = now.succeeded - before.succeeded;
        const auto bad = now.refused - before.refused + now.unknown - before.unknown + now.lost - before.lost;
        if (static_cast<double>(good) < recoveredShare * static_cast<double>(good + bad) || good == 0)
            this->audit.violate("after healing only " + std::to_string(good) + " of " + std::to_string(good + bad)
                + " statements succeeded");
    }

    void stopAll()
    {
        for (const auto& client : this->clients)
            client->stop();
        for (auto& daemon : this->daemons) {
            daemon.endExpected = true;
            daemon.stopped = true;
            daemon.process->signal(SIGTERM);
        }
        const auto end = bootNow() + stopLimit;
        const auto running = [this] {
            return std::any_of(this->daemons.begin(), this->daemons.end(),
                [](const Daemon& daemon) { return daemon.process->poll(); });
        };
        while (bootNow() < end && running())
            this->runFor(std::chrono::milliseconds(50));
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            const auto& process = *this->daemons.at(i).process;
            if (this->daemons.at(i).process->poll())
                this->audit.violate("daemon " + std::to_string(i + 1) + " did not stop within its grace period");
            else if (process.lastStatus() != 0)
                this->audit.violate(
                    "daemon " + std::to_string(i + 1) + " stopped with status " + std::to_string(process.lastStatus()));
        }
    }

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

} // namespace

SoakReport runSoak(const SoakSettings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    Soak soak(settings);
    return soak.run();
}

std::string formatReport(const SoakReport& report)
{
    std::string text = "seed " + std::to_string(report.seed) + ": " + std::to_string(report.faults.size()) + " faults, "
        + std::to_string(report.promotions) + " promotions, statements succeeded "
        + std::to_string(report.counts.succeeded) + ", refused " + std::to_string(report.counts.refused) + ", unknown "
        + std::to_string(report.counts.unknown) + ", sessions lost " + std::to_string(report.counts.lost)
        + ", writes checked " + std::to_string(report.acknowledgedWrites) + ", reads checked "
        + std::to_string(report.checkedReads) + ", " + std::to_string(report.violations.size()) + " violations\n";
    for (const auto& violation : report.violations)
        text += "  VIOLATION " + violation + "\n";
    if (!report.violations.empty()) {
        for (const auto& fault : report.faults)
            text += "  " + fault + "\n";
    }
    return text;
}

std::string formatReportJson(const SoakReport& report)
{
    return json {
        { "seed", report.seed }, { "faults", report.faults }, { "promotions", report.promotions },
        { "succeeded", report.counts.succeeded }, { "refused", report.counts.refused },
        { "unknown", report.counts.unknown }, { "sessionsLost", report.counts.lost },
        { "writesChecked", report.acknowledgedWrites }, { "readsChecked", report.checkedReads },
        { "violations", report.violations }
    }.dump(2)
        + "\n";
}

} // namespace endivetrestle::soak
