#include "tool/deployment.h"
#include "base/sha256.h"

#include <future>
#include <random>

namespace endivetrestle {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(10);
constexpr const char* loopback = "127.0.0.1";

// Keys differ between runs, so that nothing depends on a known key.
std::string randomKey()
{
    std::random_device device;
    std::string key;
    for (int i = 0; i < 8; ++i)
        key += std::to_string(device());
    return key;
}

DeploymentOptions fourDaemons(const std::string& name, std::vector<std::string> dataCentres)
{
    DeploymentOptions result;
    for (const auto& dataCentre : dataCentres)
        result.dataCentres.emplace_back(dataCentre);
    for (std::size_t i = 0; i < 4; ++i)
        result.daemons.push_back(
            { DaemonId(name + "-" + std::to_string(i + 1)), DataCentre(dataCentres[i % dataCentres.size()]) });
    return result;
}

} // namespace

DeploymentOptions saengchanShape()
{
    auto result = fourDaemons("saengchan", { "bkk-a", "bkk-b", "nonthaburi" });
    result.region = Region("th-central");
    result.databases = { DatabaseId("orders-1"), DatabaseId("orders-2"), DatabaseId("orders-3") };
    result.slots = 2;
    result.connectionsPerEndpoint = 16;
    result.dataCentreDelay = std::chrono::milliseconds(1);
    return result;
}

DeploymentOptions prismShape()
{
    auto result = fourDaemons("prism", { "khomas-a", "khomas-b", "khomas-c" });
    result.region = Region("khomas");
    result.databases = { DatabaseId("ledger-1"), DatabaseId("ledger-2"), DatabaseId("ledger-3") };
    result.slots = 5;
    result.connectionsPerEndpoint = 55;
    result.dataCentreDelay = std::chrono::microseconds(1500);
    return result;
}

DeploymentOptions demoShape()
{
    DeploymentOptions result;
    result.region = Region("local");
    result.dataCentres = { DataCentre("local-a"), DataCentre("local-b"), DataCentre("local-c") };
    result.daemons
        = { { DaemonId("daemon-1"), DataCentre("local-a") }, { DaemonId("daemon-2"), DataCentre("local-b") } };
    result.databases = { DatabaseId("shop-1") };
    return result;
}

Deployment::Deployment(DeploymentOptions options)
    : options(std::move(options))
    , secrets { randomKey(), { randomKey() }, randomKey() }
    , callerIdentity { CallerId("shop"), randomKey() }
    , listen(this->options.daemons.size())
{
    this->standinLoop.start("standin");
    this->startStandins();
    for (std::size_t i = 0; i < this->options.daemons.size(); ++i) {
        const auto& address = this->options.address;
        this->listen[i] = { { address, 0 }, { address, 0 }, { address, 0 } };
        this->daemons.push_back(
            std::make_unique<Daemon>(this->daemonSettings(i), this->secrets, this->options.daemonOptions));
        const auto& daemon = *this->daemons.back();
        this->listen[i]
            = { { address, daemon.callerPort() }, { address, daemon.peerPort() }, { address, daemon.operatorPort() } };
    }
    this->registerHosts();
}

Deployment::~Deployment()
{
    this->daemons.clear();
    this->standinLoop.run([this](kj::AsyncIoContext&) {
        this->groups.clear();
        this->platform = nullptr;
    });
    this->standinLoop.stop();
}

EndpointId Deployment::endpointId(const DatabaseId& database, std::size_t index)
{
    return EndpointId(database.value + "-" + static_cast<char>('a' + index));
}

void Deployment::startStandins()
{
    this->standinLoop.run([this](kj::AsyncIoContext& io) {
        auto& network = io.provider->getNetwork();
        auto& timer = io.provider->getTimer();
        standin::StandinPlatformOptions platformOptions;
        platformOptions.seed = this->options.seed;
        this->platform = std::make_unique<standin::StandinPlatform>(network, timer, platformOptions);
        for (std::size_t position = 0; position < this->options.databases.size(); ++position) {
            const auto& database = this->options.databases[position];
            standin::GroupOptions groupOptions;
            groupOptions.seed = this->options.seed + position;
            groupOptions.switches.slots = this->options.slots;
            groupOptions.switches.serviceTime = this->options.serviceTime;
            groupOptions.switches.connectionLimit = this->options.connectionsPerEndpoint;
            groupOptions.switches.openingTime = this->options.openingTime;
            groupOptions.switches.shipDelay = this->options.shipDelay;
            groupOptions.switches.applyLag = this->options.applyLag;
            const auto& places = this->options.dataCentres;
            for (int i = 0; i < this->options.endpointsPerDatabase; ++i) {
                const auto index = static_cast<std::size_t>(i);
                groupOptions.members.push_back(
                    { endpointId(database, index), places[(position + index) % places.size()] });
            }
            auto made = std::make_unique<standin::StandinGroup>(network, timer, groupOptions);
            nlohmann::json delays = nlohmann::json::array();
            for (std::size_t a = 0; a < places.size(); ++a) {
                for (std::size_t b = a + 1; b < places.size(); ++b)
                    delays.push_back({ { "from", places[a].value }, { "to", places[b].value },
                        { "delayMs", toMilliseconds(this->options.dataCentreDelay) } });
            }
            made->control(nlohmann::json { { "delays", delays } }.dump());
            this->groups[database] = std::move(made);
        }
    });
}

Settings Deployment::daemonSettings(std::size_t index) const
{
    auto result = this->options.settings;
    const auto& daemon = this->options.daemons[index];
    result.daemon = { daemon.id, daemon.id.value, daemon.dataCentre, this->options.region };
    result.listen = this->listen[index];
    const SocketAddress address { loopback, this->platform->port() };
    result.platform.tableService = address;
    result.platform.objectStore = address;
    result.platform.liveList = address;
    return result;
}

// Enters every daemon into the live list and emulates the distance between their data centres.
void Deployment::registerHosts()
{
    nlohmann::json hosts = nlohmann::json::array();
    for (std::size_t i = 0; i < this->daemons.size(); ++i)
        hosts.push_back({ { "host", this->options.daemons[i].id.value }, { "address", toString(this->listen[i].peers) },
            { "dataCentre", this->options.daemons[i].dataCentre.value }, { "region", this->options.region.value } });
    this->controlPlatform(nlohmann::json { { "hosts", hosts } }.dump());
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        std::map<std::string, Duration> delays;
        for (std::size_t j = 0; j < this->daemons.size(); ++j) {
            if (this->options.daemons[i].dataCentre != this->options.daemons[j].dataCentre)
                delays[toString(this->listen[j].peers)] = this->options.dataCentreDelay;
        }
        if (this->daemons[i])
            this->daemons[i]->setPeerDelay([delays](const std::string& address) {
                const auto found = delays.find(address);
                return found == delays.end() ? Duration::zero() : found->second;
            });
    }
}

standin::StandinGroup& Deployment::group(const DatabaseId& database) { return *this->groups.at(database); }

std::string Deployment::endpointAddress(const DatabaseId& database, std::size_t index)
{
    return this->group(database).addressOf(index);
}

std::vector<JsonProblem> Deployment::controlGroup(const DatabaseId& database, const std::string& body)
{
    std::vector<JsonProblem> problems;
    this->standinLoop.run([&](kj::AsyncIoContext&) { problems = this->group(database).control(body); });
    return problems;
}

std::vector<JsonProblem> Deployment::controlPlatform(const std::string& body)
{
    std::vector<JsonProblem> problems;
    this->standinLoop.run([&](kj::AsyncIoContext&) { problems = this->platform->control(body); });
    return problems;
}

std::string Deployment::groupStatus(const DatabaseId& database)
{
    std::string text;
    this->standinLoop.run([&](kj::AsyncIoContext&) { text = this->group(database).statusText(); });
    return text;
}

ConfigurationDocument Deployment::document()
{
    ConfigurationDocument result;
    CallerDeclaration caller;
    caller.id = this->callerIdentity.id;
    caller.keySha256 = sha256Hex(this->callerIdentity.key);
    for (std::size_t position = 0; position < this->options.databases.size(); ++position) {
        const auto& id = this->options.databases[position];
        DatabaseDeclaration database;
        database.id = id;
        database.region = this->options.region;
        database.slots = this->options.slots;
        database.connectionsPerEndpoint = this->options.connectionsPerEndpoint;
        database.objectives = this->options.objectives;
        const auto& places = this->options.dataCentres;
        for (int i = 0; i < this->options.endpointsPerDatabase; ++i) {
            const auto index = static_cast<std::size_t>(i);
            const auto address = parseSocketAddress(this->endpointAddress(id, index));
            database.endpoints.push_back({ endpointId(id, index), *address, places[(position + index) % places.size()],
                DeclaredEndpointState::Active });
        }
        result.databases.push_back(std::move(database));
        caller.databases[id] = {};
    }
    result.callers.push_back(std::move(caller));
    return result;
}

std::string Deployment::confirmConfiguration()
{
    auto& fleet = this->daemons.front()->fleetPart();
    std::promise<Fleet::Planned> planned;
    fleet.makePlan(ReplaceDocument { this->document() }, "deployment",
        [&](Fleet::Planned result) { planned.set_value(std::move(result)); });
    const auto plan = planned.get_future().get();
    if (!plan.plan)
        return plan.reasons.empty() ? std::string("no plan could be made") : plan.reasons.front();
    std::promise<ConfirmResult> confirmed;
    fleet.confirm(plan.plan->id, [&](ConfirmResult result) { confirmed.set_value(std::move(result)); });
    const auto result = confirmed.get_future().get();
    if (result.status == ConfirmStatus::Accepted)
        return {};
    return result.lines.empty() ? std::string("the configuration was not accepted") : result.lines.front();
}

// Waits until the database answers a read through every daemon.
std::string Deployment::awaitDatabase(const DatabaseId& database, Time end)
{
    for (auto& daemon : this->daemons) {
        std::string missing = "no configuration";
        while (!missing.empty()) {
            if (MonotonicClock::now() >= end)
                return database.value + ": " + missing;
            if (daemon->ready()) {
                Request request;
                request.id = RequestId("start");
                request.caller = this->callerIdentity.id;
                request.database = database;
                request.statement = "get start";
                request.deadline = MonotonicClock::now() + std::chrono::seconds(1);
                std::promise<Outcome> promise;
                daemon->run(request, std::nullopt, [&](Outcome outcome) { promise.set_value(std::move(outcome)); });
                const auto outcome = promise.get_future().get();
                missing = outcome.state == OutcomeState::Completed ? std::string()
                                                                   : outcome.code.message() + " " + outcome.detail;
            }
            if (!missing.empty())
                std::this_thread::sleep_for(pollInterval);
        }
    }
    return {};
}

std::string Deployment::start(Duration limit)
{
    const auto end = MonotonicClock::now() + limit;
    for (auto& daemon : this->daemons)
        daemon->start();
    if (auto problem = this->confirmConfiguration(); !problem.empty())
        return problem;
    for (const auto& database : this->options.databases) {
        if (auto problem = this->awaitDatabase(database, end); !problem.empty())
            return problem;
    }
    return {};
}

bool Deployment::stop(Duration limit)
{
    bool clean = true;
    for (auto& daemon : this->daemons) {
        if (daemon)
            clean = daemon->shutDown(limit) && clean;
    }
    return clean;
}

void Deployment::killDaemon(std::size_t index) { this->daemons.at(index) = nullptr; }

void Deployment::restartDaemon(std::size_t index)
{
    this->daemons.at(index)
        = std::make_unique<Daemon>(this->daemonSettings(index), this->secrets, this->options.daemonOptions);
    this->registerHosts();
    this->daemons[index]->start();
}

} // namespace endivetrestle
