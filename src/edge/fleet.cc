#include "edge/fleet.h"

#include "base/log.h"
#include "edge/fleet_platform.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Time for one gossip exchange.
constexpr Duration gossipTimeout = std::chrono::milliseconds(800);
constexpr Duration fetchTimeout = std::chrono::seconds(2);
// Time between two runs of the parts that say when they are due.
constexpr Duration stepInterval = std::chrono::milliseconds(50);
constexpr Duration liveListInterval = std::chrono::seconds(5);

VersionKeeperSettings keeperSettings(const Settings& settings)
{
    VersionKeeperSettings result;
    result.pollInterval = settings.poll.interval;
    result.jitter = settings.poll.jitter;
    return result;
}

GossipSettings gossipSettings(const Settings& settings)
{
    GossipSettings result;
    result.fanout = static_cast<std::size_t>(settings.gossip.fanout);
    result.pushFanout = static_cast<std::size_t>(settings.gossip.pushFanout);
    return result;
}

PlatformOptions platformOptions(const Settings& settings, const SocketAddress& address, Duration timeout)
{
    PlatformOptions options;
    options.address = toString(address);
    options.daemon = settings.daemon.id.value;
    options.dataCentre = settings.daemon.dataCentre.value;
    options.timeout = timeout;
    return options;
}

} // namespace

Fleet::Fleet(NetworkLoop& loop, PeerClient& peers, const Settings& settings, DaemonInfo self, Journal& journal,
    Metrics& metrics, DaemonFleetHooks hooks)
    : loop(loop)
    , peers(peers)
    , settings(settings)
    , self(self.id)
    , journal(journal)
    , metrics(metrics)
    , hooks(std::move(hooks))
    , platform(std::make_unique<Platform>())
    , keeper(keeperSettings(settings), this->hooks.random)
    , membership(std::move(self))
    , gossip(this->membership, gossipSettings(settings), this->hooks.random)
    , ownership(static_cast<std::size_t>(settings.endpoints.ownersPerDatabase))
{
    this->loop.run([this](kj::AsyncIoContext& io) {
        auto& network = io.provider->getNetwork();
        auto& timer = io.provider->getTimer();
        const auto& services = this->settings.platform;
        this->platform->table = newTableService(
            network, timer, platformOptions(this->settings, services.tableService, services.tableTimeout));
        this->platform->objects = newObjectStore(
            network, timer, platformOptions(this->settings, services.objectStore, services.objectTimeout));
        this->platform->liveList
            = newLiveList(network, timer, platformOptions(this->settings, services.liveList, services.liveListTimeout));
    });
}

Fleet::~Fleet() { this->stop(); }

void Fleet::start(TimerService& timers, Time now)
{
    const auto onLoop = [this](const std::function<void()>& work) {
        if (!this->stopping)
            this->loop.post([this, work](kj::AsyncIoContext&) {
                if (!this->stopping)
                    work();
            });
    };
    timers.subscribeEvery(
        now, this->settings.gossip.interval, [=, this](Time) { onLoop([this] { this->tickRound(); }); });
    timers.subscribeEvery(now, stepInterval, [=, this](Time) {
        onLoop([this] {
            this->keep([](VersionKeeper& versions, Time at) { return versions.tick(at); });
            {
                std::lock_guard lock(this->viewMutex);
                this->membership.tick(MonotonicClock::now());
            }
            this->viewMayHaveChanged();
        });
    });
    timers.subscribeEvery(now, liveListInterval, [=, this](Time) { onLoop([this] { this->pollLiveList(); }); });
    onLoop([this] {
        this->pollLiveList();
        this->keep([](VersionKeeper& versions, Time at) { return versions.start(at); });
    });
}

void Fleet::leave()
{
    this->loop.run([this](kj::AsyncIoContext&) {
        {
            std::lock_guard lock(this->viewMutex);
            this->membership.leave(MonotonicClock::now());
        }
        this->viewMayHaveChanged();
        // The others learn of it at once instead of with the next round.
        for (const auto& peer : this->view()) {
            if (peer.id != this->self && peer.state == DaemonState::Alive)
                this->exchange(peer);
        }
    });
}

void Fleet::stop()
{
    if (!this->platform)
        return;
    this->stopping = true;
    this->loop.run([this](kj::AsyncIoContext&) { this->platform = nullptr; });
}

std::shared_ptr<const Configuration> Fleet::configuration()
{
    std::lock_guard lock(this->versionMutex);
    return this->current;
}

std::vector<DaemonInfo> Fleet::owners(const DatabaseDeclaration& database)
{
    std::lock_guard lock(this->viewMutex);
    if (this->ownershipSequence != this->membership.sequence() || this->ownerCache.empty()) {
        this->ownershipSequence = this->membership.sequence();
        this->ownership.update(this->membership.view());
        this->ownerCache.clear();
    }
    auto& cached = this->ownerCache[database.id];
    if (cached.empty())
        cached = this->ownership.owners(database.id, database.region);
    return cached;
}

std::optional<DaemonInfo> Fleet::find(const DaemonId& daemon)
{
    std::lock_guard lock(this->viewMutex);
    return this->membership.find(daemon);
}

std::vector<DaemonInfo> Fleet::view()
{
    std::lock_guard lock(this->viewMutex);
    return this->membership.view();
}

FleetReport Fleet::report()
{
    FleetReport result;
    {
        std::lock_guard lock(this->versionMutex);
        if (this->current) {
            result.version = this->current->version();
            result.hash = this->current->hash();
        }
        result.newestKnown = this->keeper.newestKnown();
        result.storeAnswered = this->keeper.storeAnswered();
        result.inForce = this->keeper.inForceView(100);
        // The keeper holds the reports of the others only.
        if (this->current)
            ++result.inForce.counts[this->current->version()];
    }
    result.daemons = this->view();
    return result;
}

void Fleet::reportCall(const DaemonId& daemon, bool succeeded)
{
    {
        std::lock_guard lock(this->viewMutex);
        if (succeeded)
            this->membership.reportSuccess(MonotonicClock::now(), daemon);
        else
            this->membership.reportFailure(MonotonicClock::now(), daemon);
    }
    if (!succeeded)
        this->loop.post([this](kj::AsyncIoContext&) {
            if (!this->stopping)
                this->viewMayHaveChanged();
        });
}

// Tells the daemon when the view has changed since the last call.
void Fleet::viewMayHaveChanged()
{
    {
        std::lock_guard lock(this->viewMutex);
        if (this->announcedSequence == this->membership.sequence())
            return;
        this->announcedSequence = this->membership.sequence();
    }
    this->forgetRemovedDaemons();
    this->updatePeerGauges();
    this->hooks.viewChanged();
}

// Drops what daemons reported that are no longer part of the view; otherwise operators would wait for a replaced daemon
// to take a version.
void Fleet::forgetRemovedDaemons()
{
    std::set<DaemonId> known;
    for (const auto& daemon : this->view())
        known.insert(daemon.id);
    std::lock_guard lock(this->versionMutex);
    for (const auto& daemon : this->viewedDaemons) {
        if (!known.contains(daemon))
            this->keeper.forgetDaemon(daemon);
    }
    this->viewedDaemons = std::move(known);
}

void Fleet::updatePeerGauges()
{
    std::map<DaemonState, std::size_t> counts { { DaemonState::Alive, 0 }, { DaemonState::Suspected, 0 },
        { DaemonState::Leaving, 0 }, { DaemonState::Dead, 0 } };
    for (const auto& daemon : this->view())
        ++counts[daemon.state];
    for (const auto& [state, count] : counts)
        this->metrics.setPeers(std::string(daemonStateName(state)), count);
}

void Fleet::tickRound()
{
    std::vector<DaemonInfo> round;
    {
        std::lock_guard lock(this->viewMutex);
        round = this->gossip.round();
    }
    for (const auto& peer : round)
        this->exchange(peer);
}

void Fleet::exchange(const DaemonInfo& peer)
{
    std::string message;
    {
        std::lock_guard lock(this->viewMutex);
        message = this->gossip.message(peer.id);
    }
    this->metrics.gossipSent(message.size());
    this->peers.gossip(
        toString(peer.peersAddress), message, gossipTimeout, [this, peer](const std::optional<std::string>& answer) {
            if (this->stopping)
                return;
            this->reportCall(peer.id, answer.has_value());
            if (!answer)
                return;
            this->metrics.gossipReceived(answer->size());
            std::optional<GossipReceived> received;
            {
                std::lock_guard lock(this->viewMutex);
                received = this->gossip.receive(MonotonicClock::now(), peer.id, *answer);
            }
            this->takeReceived(peer.id, received);
        });
}

std::string Fleet::onGossip(const DaemonId& from, const std::string& message)
{
    if (this->stopping)
        return {};
    this->metrics.gossipReceived(message.size());
    std::optional<GossipReceived> received;
    std::string answer;
    {
        std::lock_guard lock(this->viewMutex);
        received = this->gossip.receive(MonotonicClock::now(), from, message);
        answer = this->gossip.message(from);
    }
    this->takeReceived(from, received);
    this->metrics.gossipSent(answer.size());
    return answer;
}

void Fleet::takeReceived(const DaemonId& from, const std::optional<GossipReceived>& received)
{
    if (!received) {
        logEvent(LogLevel::Warning, "gossip_malformed", { { "from", from.value } });
        return;
    }
    if (received->changes > 0)
        this->viewMayHaveChanged();
    this->keep([&](VersionKeeper& versions, Time now) {
        for (const auto& [daemon, version] : received->inForce)
            versions.onInForce(daemon, version);
        return received->hint ? versions.onHint(now, *received->hint) : std::vector<KeeperAction> {};
    });
}

ConfigurationBody Fleet::onFetch(std::uint64_t atLeast)
{
    const auto configuration = this->configuration();
    if (!configuration || configuration->version() < atLeast)
        return {};
    return { configuration->version(), configuration->text() };
}

// Gives an input to the version keeper and carries out what it asks for.
void Fleet::keep(const std::function<std::vector<KeeperAction>(VersionKeeper&, Time now)>& input)
{
    std::vector<KeeperAction> actions;
    {
        std::lock_guard lock(this->versionMutex);
        actions = input(this->keeper, MonotonicClock::now());
    }
    this->perform(std::move(actions));
}

void Fleet::perform(std::vector<KeeperAction> actions)
{
    for (const auto& action : actions) {
        if (const auto* adopted = std::get_if<AdoptVersion>(&action)) {
            this->adopt(adopted->configuration);
        } else if (const auto* fetch = std::get_if<FetchFromPeer>(&action)) {
            const auto peer = fetch->peer;
            const auto info = this->find(peer);
            const auto failed = [this, peer] {
                this->keep([&](VersionKeeper& versions, Time now) { return versions.onPeerFailed(now, peer); });
            };
            if (!info) {
                failed();
                continue;
            }
            this->peers.fetchConfiguration(toString(info->peersAddress), fetch->version, fetchTimeout,
                [this, peer, failed](const std::optional<ConfigurationBody>& body) {
                    if (this->stopping)
                        return;
                    if (!body || body->version == 0)
                        failed();
                    else
                        this->keep([&](VersionKeeper& versions, Time now) {
                            return versions.onPeerBody(now, peer, body->body);
                        });
                });
        } else if (std::holds_alternative<PollStore>(action)) {
            this->callStore(ReadRow { std::string(configurationRowKey) }, [this](const StoreAnswer& answer) {
                this->onStoreAnswered(answer.status != StoreStatus::Unavailable);
                this->keep([&](VersionKeeper& versions, Time now) { return versions.onPolled(now, answer); });
            });
        } else if (const auto* object = std::get_if<FetchFromStore>(&action)) {
            this->callStore(GetObject { object->key }, [this](const StoreAnswer& answer) {
                this->keep([&](VersionKeeper& versions, Time now) { return versions.onStoreBody(now, answer); });
            });
        } else if (std::holds_alternative<GossipWithPeer>(action)) {
            this->tickRound();
        }
    }
}

void Fleet::adopt(const std::shared_ptr<const Configuration>& configuration)
{
    {
        std::lock_guard lock(this->versionMutex);
        if (this->current && this->current->version() >= configuration->version())
            return;
        this->current = configuration;
    }
    logEvent(LogLevel::Info, "configuration_adopted",
        { { "version", configuration->version() }, { "hash", configuration->hash() } });
    JournalRecord record;
    record.kind = JournalKind::Configuration;
    record.seen = "version " + std::to_string(configuration->version()) + " is accepted";
    record.decided = "adopt";
    record.done = "in force";
    this->journal.record(std::move(record), MonotonicClock::now(), this->hooks.wallTime());
    this->metrics.setConfigurationVersion(configuration->version());
    this->hooks.adopted(configuration);
    std::vector<DaemonInfo> told;
    {
        std::lock_guard lock(this->viewMutex);
        told = this->gossip.announce(configuration->version(), configuration->hash());
    }
    for (const auto& peer : told)
        this->exchange(peer);
}

// Records the beginning and the end of an outage of the table service.
void Fleet::onStoreAnswered(bool answered)
{
    const auto now = MonotonicClock::now();
    if (!answered && this->outageEntry == 0) {
        this->outageSince = now;
        JournalRecord record;
        record.kind = JournalKind::StoreOutage;
        record.seen = "the table service does not answer";
        record.decided = "go on with the configuration in force; take newer ones from peers";
        record.done = "under way";
        this->outageEntry = this->journal.record(std::move(record), now, this->hooks.wallTime());
    } else if (answered && this->outageEntry != 0) {
        const auto lasted = std::to_string((now - this->outageSince).count() / 1000);
        this->journal.amend(this->outageEntry, "the table service answers again", { { "lastedMs", lasted } });
        this->outageEntry = 0;
    }
}

void Fleet::pollLiveList()
{
    if (!this->platform)
        return;
    auto listed = this->platform->liveList->hosts().then([this](StoreResult<std::vector<ListedHost>> result) {
        if (this->stopping || result.error != ErrorCode::None)
            return;
        std::vector<LiveListEntry> entries;
        for (const auto& host : result.answer) {
            const auto address = parseSocketAddress(host.address);
            if (!address)
                continue;
            entries.push_back({ DaemonId(host.host), *address, DataCentre(host.dataCentre), Region(host.region),
                host.state == HostState::Leaving });
        }
        {
            std::lock_guard lock(this->viewMutex);
            this->membership.applyLiveList(MonotonicClock::now(), entries);
        }
        this->viewMayHaveChanged();
    });
    this->loop.detach(kj::mv(listed));
}

} // namespace endivetrestle
