// Setup, clients, processes and the end of a soak run.
#include "soak/soak_run.h"

#include "process/fleet_rows.h"

#include <algorithm>
#include <csignal>
#include <fstream>
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

// Ports of a daemon for calls of other daemons and for forwarded statements.
constexpr std::uint16_t peerPort = 17440;
constexpr std::uint16_t forwardPort = 17441;

std::string daemonName(std::size_t index) { return "d" + std::to_string(index + 1); }

asio::ip::tcp::endpoint loopback(std::uint16_t port) { return { asio::ip::address_v4::loopback(), port }; }

} // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings(settings)
    , random(settings.seed)
    , store(this->context, this->random,
          [this](const std::string& group, const std::string& id, const std::string& holder, std::uint64_t token) {
              return this->promote(group, id, holder, token);
          })
    , ticker(this->context)
    , faultTimer(this->context)
{
}

SoakReport SoakRun::run()
{
    this->report.seed = this->settings.seed;
    this->makeGroups();
    this->putConfiguration();
    this->startDaemons();
    this->tick();
    this->runFor(std::chrono::seconds(4));
    this->startClients();
    if (this->settings.scenario != SoakScenario::Mixed)
        this->injectFault();
    this->scheduleFault();
    this->runFor(std::chrono::seconds(this->settings.seconds));
    this->heal();
    this->runFor(recoveryTime - recoveryWindow);
    this->checkRecovery();
    this->stopAll();
    this->report.violations = this->audit.violations();
    for (const auto& [kind, count] : this->audit.violationCounts())
        this->report.violationCounts[violationKindName(kind)] = count;
    this->report.acknowledgedWrites = this->audit.acknowledged();
    this->report.checkedReads = this->audit.checkedReads();
    return this->report;
}

void SoakRun::makeGroups()
{
    // One replica of the last group receives commits sooner than the others, so it usually acknowledges them alone.
    constexpr std::chrono::milliseconds fastReplica { 3 };
    for (int i = 1; i <= this->settings.groups + 1; ++i) {
        this->groups.push_back(
            std::make_unique<StandinGroup>(this->context, "g" + std::to_string(i), this->audit, this->random));
        auto& group = *this->groups.back();
        group.maxConnections = static_cast<std::size_t>(this->settings.connections);
        if (i > this->settings.groups) {
            group.syncReplicas = 1;
            group.members[1]->receivesAfter = fastReplica;
            this->audit.declareDurable(group.name);
        }
        for (const auto& endpoint : group.members)
            this->addMember(*endpoint);
    }
}

SoakRun::Member& SoakRun::addMember(StandinMember& endpoint)
{
    auto& member = this->members.emplace_back();
    member.endpoint = &endpoint;
    member.linkTarget = std::make_shared<StandinMember*>(&endpoint);
    endpoint.answerTwice = this->usualRepeatShare();
    for (int i = 0; i < this->settings.daemons; ++i)
        member.links.push_back(std::make_unique<FaultLink>(
            this->context, this->random, [target = member.linkTarget] { return loopback((*target)->port()); }));
    return member;
}

void SoakRun::putConfiguration()
{
    json routes = json::array();
    json services = json::array();
    for (const auto& group : this->groups) {
        services.push_back({ { "Name", group->name }, { "MaxConns", this->settings.connections },
            { "SyncReplicas", group->syncReplicas } });
        for (const char* type : { "primary", "bounded_staleness", "read_your_writes" }) {
            routes.push_back({ { "Name", group->name + type }, { "Host", group->name + "-" + type }, { "Type", type },
                { "TimeoutMs", 800 }, { "TargetLatencyMs", 200 }, { "Priority", 1 }, { "Service", group->name },
                { "MaxStalenessMs", staleness.count() / 1000 } });
        }
    }
    routes.push_back(
        { { "Name", movingDatabase }, { "Host", movingDatabase }, { "Type", "read_your_writes" }, { "TimeoutMs", 800 },
            { "TargetLatencyMs", 200 }, { "Priority", 1 }, { "Service", this->groups.at(this->movingTarget)->name },
            { "MaxStalenessMs", movingStaleness.count() / 1000 } });
    this->configurationVersion += 3;
    this->store.put("op", "config",
        json { { "Version", this->configurationVersion }, { "Routes", routes }, { "Services", services },
            { "Limits", { { "TxIdleMs", 3000 } } } }
            .dump());
}

void SoakRun::putRegistry()
{
    if (this->writersAway)
        return;
    const auto now = bootNow();
    for (auto& member : this->members) {
        const auto& endpoint = *member.endpoint;
        const auto row = member.left || (!endpoint.up && now >= member.lapsesAt)
            ? std::string()
            : json {
                  { "Service", endpoint.id.substr(0, endpoint.id.find('-')) },
                  // Each daemon sees the address of its own link (storeView).
                  { "Address", "127.0.0.1:" + std::to_string(endpoint.port()) }, { "Zone", "z" }, { "Version", "v1" },
                  { "Capacity", 4 }, { "State", member.draining ? "draining" : "ready" }, { "WarmupLeftMs", 0 },
                  { "DbRole", endpoint.primary ? "primary" : "replica" }, { "Seq", 1 },
                  { "born", member.processStartMs }
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

void SoakRun::startDaemons()
{
    // Addresses of the loopback network that depend on the process, so that soaks can run side by side.
    const auto process = getpid();
    const std::string network
        = "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + ".";
    for (int i = 1; i <= this->settings.daemons; ++i)
        this->daemons.emplace_back().address = { asio::ip::make_address(network + std::to_string(i)), clientPort };
    this->addLinks();
    for (int i = 1; i <= this->settings.daemons; ++i)
        this->startDaemon(i, network + std::to_string(i));
}

void SoakRun::addLinks()
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        auto& daemon = this->daemons[i];
        daemon.storeClient
            = this->store.addClient([this, i](const std::string& table, const std::string& key,
                                        const std::string& value) { return this->storeView(i, table, key, value); });
        const auto storeAddress = [this, i] { return loopback(this->store.port(this->daemons[i].storeClient)); };
        daemon.storeLink = std::make_unique<FaultLink>(this->context, this->random, storeAddress);
        daemon.promotionLink = std::make_unique<FaultLink>(this->context, this->random, storeAddress);
        daemon.peers.resize(this->daemons.size());
        for (std::size_t other = 0; other < this->daemons.size(); ++other) {
            if (other == i)
                continue;
            const auto address = this->daemons[other].address.address();
            const auto linkTo = [&](std::uint16_t port) {
                return std::make_unique<FaultLink>(
                    this->context, this->random, [address, port] { return asio::ip::tcp::endpoint(address, port); });
            };
            daemon.peers[other] = { linkTo(peerPort), linkTo(forwardPort) };
        }
    }
}

// Rows that hold addresses, with those of the daemon's own links.
std::string SoakRun::storeView(
    std::size_t daemon, const std::string& table, const std::string& key, const std::string& value) const
{
    const auto linkAddress = [](const FaultLink& link) { return SocketAddress { "127.0.0.1", link.port() }; };
    if (table == leaseTable) {
        auto lease = key == promotionLockKey ? std::nullopt : decodeLeaseRow({ table, key, value });
        for (std::size_t other = 0; lease && other < this->daemons.size(); ++other) {
            if (other == daemon || lease->daemon.value != daemonName(other))
                continue;
            lease->address = linkAddress(*this->daemons[daemon].peers[other].calls);
            lease->forwardAddress = linkAddress(*this->daemons[daemon].peers[other].statements);
            return encodeRow(*lease).value;
        }
        return value;
    }
    const auto member = std::find_if(this->members.begin(), this->members.end(),
        [&](const Member& candidate) { return candidate.endpoint->id == key; });
    if (table != "servers" || value.empty() || member == this->members.end() || member->links.empty())
        return value;
    auto row = json::parse(value);
    row["Address"] = toString(linkAddress(*member->links[daemon]));
    return row.dump();
}

void SoakRun::startDaemon(int number, const std::string& ip)
{
    auto& daemon = this->daemons.at(static_cast<std::size_t>(number) - 1);
    const auto name = daemonName(static_cast<std::size_t>(number) - 1);
    const auto file = this->settings.directory + "/" + name + ".toml";
    // Two data centres, so that a group has two owners when connections are scarce.
    std::ofstream(file) << "NodeName = \"" << name << "\"\nIp = \"" << ip << "\"\nZone = \"z" << number % 2
                        << "\"\nRegion = \"r\"\nInternalPorts = [" << peerPort << ", " << forwardPort
                        << "]\n[ListenAddrs]\nFrontend = \"" << ip << ":" << clientPort << "\"\nReadiness = \"" << ip
                        << ":18785\"\n[platform]\nAddress = \"127.0.0.1:" << daemon.storeLink->port()
                        << "\"\n[Cloud]\nAddress = \"127.0.0.1:" << daemon.promotionLink->port()
                        << "\"\n[Bounds]\nGraceS = 6\n";
    daemon.process = std::make_unique<DaemonProcess>(
        this->settings.daemonProgram, file, this->settings.directory + "/" + name + ".log");
    daemon.process->start();
}

void SoakRun::startClients()
{
    for (int i = 0; i < this->settings.clients; ++i) {
        const auto number = static_cast<std::size_t>(i);
        const auto& group = this->groups.at(number % this->groups.size())->name;
        const auto type = number / this->groups.size() % 3;
        ClientRoute route { group + "-primary", group };
        if (i < movingClients)
            route = { movingDatabase, "", movingStaleness, true };
        else if (type == 1)
            route = { group + "-bounded_staleness", group, staleness };
        else if (type == 2)
            route = { group + "-read_your_writes", group, staleness, true };
        this->clients.push_back(std::make_unique<SoakClient>(this->context, this->random, this->audit,
            this->report.counts, "c" + std::to_string(i), route,
            [this] { return this->daemons.at(this->random() % this->daemons.size()).address; }));
        this->clients.back()->start();
    }
}

void SoakRun::tick()
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

void SoakRun::watchDaemon(std::size_t index)
{
    auto& daemon = this->daemons.at(index);
    if (daemon.stopped || daemon.process->poll())
        return;
    if (!daemon.endExpected)
        this->audit.violate(ViolationKind::Service,
            "daemon " + std::to_string(index + 1) + " ended by itself with status "
                + std::to_string(daemon.process->lastStatus()));
    daemon.endExpected = false;
    daemon.stopped = true;
    const auto downFor = std::chrono::ceil<std::chrono::milliseconds>(daemon.startNotBefore - bootNow());
    this->later(std::max(std::chrono::milliseconds(100 + this->random() % 900), downFor), [this, index] {
        this->daemons.at(index).process->start();
        this->daemons.at(index).stopped = false;
    });
}

// Whether neither a daemon nor the store was harmed in the last seconds.
bool SoakRun::inTouch(Time now) const
{
    constexpr Duration stableTime = std::chrono::seconds(4);
    return now >= this->storeHarmedUntil + stableTime
        && std::all_of(this->daemons.begin(), this->daemons.end(),
            [&](const Daemon& daemon) { return now >= daemon.harmedUntil + stableTime && !daemon.stopped; });
}

int SoakRun::promote(const std::string& group, const std::string& id, const std::string& holder, std::uint64_t token)
{
    constexpr int accepted = 200;
    constexpr int rejected = 409;
    const auto now = bootNow();
    this->audit.onPromotion({ group, id, holder, token }, this->inTouch(now), now);
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

void SoakRun::later(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error)
            action();
    });
}

void SoakRun::runFor(std::chrono::milliseconds duration) { this->context.run_for(duration); }

void SoakRun::checkRecovery()
{
    const auto before = this->countsByGroup();
    this->runFor(recoveryWindow);
    for (const auto& [kind, now] : this->countsByGroup()) {
        const auto& earlier = before.at(kind);
        const auto good = now.succeeded - earlier.succeeded;
        const auto bad = now.refused - earlier.refused + now.unknown - earlier.unknown + now.lost - earlier.lost;
        if (static_cast<double>(good) < recoveredShare * static_cast<double>(good + bad) || good == 0)
            this->audit.violate(ViolationKind::Service,
                "after healing only " + std::to_string(good) + " of " + std::to_string(good + bad) + " " + kind
                    + " succeeded");
    }
}

// Counts of each group, those that need its primary apart from the others: a group that stands still must not hide
// behind the others, nor its writes behind its reads.
std::map<std::string, ClientCounts> SoakRun::countsByGroup() const
{
    std::map<std::string, ClientCounts> result;
    const auto add = [&](const std::string& kind, const ClientCounts& counts) {
        auto& total = result[kind];
        total.succeeded += counts.succeeded;
        total.refused += counts.refused;
        total.unknown += counts.unknown;
        total.lost += counts.lost;
    };
    for (const auto& client : this->clients) {
        const auto& route = client->usedRoute();
        const auto& name = route.group.empty() ? route.database : route.group;
        add("statements at the primary of " + name, client->primaryCounts());
        if (route.maxStaleness)
            add("reads of " + name, client->readCounts());
    }
    return result;
}

void SoakRun::stopAll()
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
        return std::any_of(
            this->daemons.begin(), this->daemons.end(), [](const Daemon& daemon) { return daemon.process->poll(); });
    };
    while (bootNow() < end && running())
        this->runFor(std::chrono::milliseconds(50));
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const auto& process = *this->daemons.at(i).process;
        if (this->daemons.at(i).process->poll())
            this->audit.violate(
                ViolationKind::Service, "daemon " + std::to_string(i + 1) + " did not stop within its grace period");
        else if (process.lastStatus() != 0)
            this->audit.violate(ViolationKind::Service,
                "daemon " + std::to_string(i + 1) + " stopped with status " + std::to_string(process.lastStatus()));
    }
}

} // namespace endivetrestle::soak
