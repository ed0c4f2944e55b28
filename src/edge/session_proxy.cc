#include "edge/session_proxy.h"

#include "base/boot_clock.h"
#include "base/log.h"
#include "platform/store_rows.h"
#include "request/session_start_wait.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace endivetrestle {

namespace {

// Interval of periodic work: connections, silent endpoints, doubts about primaries, the lease.
constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr std::size_t httpBodyLimit = 65536;
// Time beyond the idle limit of transactions that the forwarding daemon has to end an idle one itself.
constexpr Duration forwardedIdleSlack = std::chrono::milliseconds(500);

std::string makeIncarnation()
{
    std::random_device random;
    return std::to_string(random()) + std::to_string(random());
}

} // namespace

SessionProxy::SessionProxy(ProxySettings initial)
    : settings(std::move(initial))
    , context(1)
    , signals(this->context, SIGTERM, SIGINT, SIGHUP)
    , incarnation(makeIncarnation())
    , storeClient(this->context, this->settings.storeAddress)
    , store(this->storeClient,
          { [this] { this->onStoreRegained(); }, [this](std::uint64_t era) { this->onStoreEraChanged(era); },
              [this](bool answered) { this->onStoreCall(answered); } })
    , promotions(this->context, this->settings.promotionAddress)
    , peers(this->context)
    , probe(this->context, this->timers)
    , reachability(this->makeReachabilityHooks())
{
}

SessionProxy::~SessionProxy() = default;

int SessionProxy::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    logEvent(LogLevel::Info, "daemon_started",
        { { "daemon", this->settings.daemon.value }, { "incarnation", this->incarnation },
            { "data_centre", this->settings.dataCentre.value } });
    this->fleet = std::make_unique<FleetController>(
        FleetIdentity { this->settings.daemon, this->incarnation, this->settings.advertisedPeerAddress,
            this->settings.advertisedForwardAddress, this->settings.dataCentre,
            hostCapacity(this->settings.processorShare, this->settings.linkMbps) },
        this->store, this->timers, this->makeFleetHooks(), [] { return bootNow(); });
    this->makeQuota();
    this->makeBootstrap();
    this->makeConfigurationProof();
    this->listen();
    this->startFeeds();
    this->fleet->start();
    this->waitForSignal();
    this->timers.subscribeEvery(bootNow(), tickInterval, [this](Time now) { this->tick(now); });
    this->tickReachability(bootNow());
    this->watchSettings();
    this->runLoop();
    this->sessions->closeAll();
    logEvent(LogLevel::Info, "daemon_stopped", { { "sessions", this->sessions->sessions() } });
    return 0;
}

void SessionProxy::runLoop()
{
    while (!this->finished) {
        const auto due = this->timers.nextDue();
        const auto wait = std::max(Duration::zero(), due - bootNow());
        if (wait > Duration::zero())
            this->context.run_one_for(wait);
        this->context.poll();
        this->timers.advance(bootNow());
    }
}

void SessionProxy::listen()
{
    HttpServerSettings readiness;
    readiness.address = this->settings.readinessAddress.ip;
    readiness.port = this->settings.readinessAddress.port;
    readiness.bodyLimit = httpBodyLimit;
    this->readinessServer
        = std::make_unique<HttpServer>(this->context, readiness, [this](const HttpRequest&, const auto& answer) {
              constexpr int unavailable = 503;
              HttpResponse response;
              if (!this->isReady())
                  response.status = unavailable;
              answer(response);
          });
    HttpServerSettings peer;
    peer.address = this->settings.peerAddress.ip;
    peer.port = this->settings.peerAddress.port;
    peer.bodyLimit = httpBodyLimit;
    this->peerServer = std::make_unique<HttpServer>(
        this->context, peer, [this](const HttpRequest& request, HttpServer::Answer answer) {
            this->handlePeer(request, std::move(answer));
        });
    HttpServerSettings metricsPort;
    metricsPort.address = this->settings.peerAddress.ip;
    metricsPort.port = this->settings.metricsPort;
    this->metricsServer
        = std::make_unique<HttpServer>(this->context, metricsPort, [this](const HttpRequest&, const auto& answer) {
              answer(HttpResponse { 200, "text/plain; version=0.0.4", this->metricsPage() });
          });
    this->links = std::make_unique<ForwardLinks>(this->context, this->makeLinkHooks());
    this->links->listen(this->settings.forwardAddress);
    SessionServerHooks hooks;
    hooks.now = [] { return bootNow(); };
    hooks.routes = [this] { return this->routes; };
    hooks.runner = [this](const DatabaseId& group) { return this->runnerOf(group); };
    hooks.record = [this](const StatementRecord& statement) { this->record(statement); };
    hooks.ended = [this](const SessionEnd& end) { this->recordEnd(end); };
    hooks.servesNothing = [this] { return this->reachability.servesNothing(); };
    hooks.startHold = [startedAt = bootNow()] { return sessionStartWait(bootNow() - startedAt); };
    hooks.gate = this->makeOperationGate();
    this->sessions
        = std::make_unique<SessionServer>(this->context, this->timers, std::move(hooks), this->sessionLimit());
    this->sessions->listen(this->settings.clientAddress);
}

void SessionProxy::startFeeds()
{
    TableFeedHooks configuration;
    configuration.now = [] { return bootNow(); };
    configuration.snapshot = [this](const std::vector<StoreRow>& rows) { this->onConfigurationRows(rows); };
    configuration.changed = configuration.snapshot;
    configuration.reachable = [](bool) {};
    configuration.complete = [this](Time sentAt, StoreVersion version) {
        const auto now = bootNow();
        this->configurationProof->onReading(sentAt, version, now);
        // A daemon that has just started asks at once if the first reading proves nothing.
        this->configurationProof->tick(now);
    };
    this->configurationFeed = std::make_unique<TableFeed>(
        platform::configurationTable, this->store, this->timers, std::move(configuration));
    this->configurationFeed->start();
    TableFeedHooks registry;
    registry.now = [] { return bootNow(); };
    registry.snapshot = [this](const std::vector<StoreRow>& rows) { this->onRegistryRows(rows, true); };
    registry.changed = [this](const std::vector<StoreRow>& rows) { this->onRegistryRows(rows, false); };
    registry.reachable = [this](bool reachable) {
        if (reachable)
            this->directory.restartGrace(bootNow());
    };
    this->registryFeed
        = std::make_unique<TableFeed>(platform::registryTable, this->store, this->timers, std::move(registry));
    this->registryFeed->start();
}

// Whatever lost the answers of other calls may have lost the watches as well.
void SessionProxy::onStoreRegained()
{
    this->configurationFeed->watchAgain();
    this->registryFeed->watchAgain();
}

// What the feeds have read is of an earlier era, and their watches may be lost. Endpoints write again what the store
// has lost, so their entries get the grace period of those that lapsed while the store was away.
void SessionProxy::onStoreEraChanged(std::uint64_t era)
{
    this->fleet->onEraChanged(era);
    this->directory.onRestored(bootNow());
    this->configurationProof->onEraChanged(era, bootNow());
    this->configurationFeed->startOver();
    this->registryFeed->startOver();
}

void SessionProxy::onConfigurationRows(const std::vector<StoreRow>& rows)
{
    for (const auto& row : rows) {
        if (row.key != platform::configurationKey || row.removed)
            continue;
        auto table = platform::decodeConfigurationRow(row.value);
        // Noted although it is in force only below: nothing uses the proof in between.
        this->configurationProof->onRow(row, table.has_value());
        if (!table) {
            logEvent(LogLevel::Error, "configuration_unreadable", { { "row_version", toString(row.version) } });
            continue;
        }
        if (this->routes && table->version <= this->routes->version) {
            // The operators write again what the store has lost; until then the newer configuration stays in force.
            if (table->version < this->routes->version)
                logEvent(LogLevel::Info, "older_configuration_ignored",
                    { { "version", table->version }, { "in_force", this->routes->version },
                        { "row_version", toString(row.version) } });
            continue;
        }
        logEvent(LogLevel::Info, "configuration_in_force",
            { { "version", table->version }, { "routes", table->routes.size() } });
        table->workspacesInUse = table->workspacesInUse || this->settings.requiresWorkspaces;
        this->routes = std::make_shared<const RouteTable>(std::move(*table));
        this->configurationRow = row;
        this->syncRequirement.apply(*this->routes, bootNow());
        this->updateGroups();
        this->updatePlacements();
        this->configureQuota();
        this->sessions->checkKeys();
        this->sessions->startHeldSessions();
    }
}

void SessionProxy::onRegistryRows(const std::vector<StoreRow>& rows, bool snapshot)
{
    const auto now = bootNow();
    std::vector<EndpointRecord> records;
    for (const auto& row : rows) {
        auto record = row.removed ? std::nullopt : platform::decodeEndpointRow(row.key, row.value);
        if (!row.removed && !record)
            logEvent(LogLevel::Warning, "registry_row_unreadable",
                { { "key", row.key }, { "version", toString(row.version) } });
        if (!snapshot)
            this->directory.apply(EndpointId(row.key), record, now);
        else if (record)
            records.push_back(std::move(*record));
    }
    if (snapshot)
        this->directory.replaceAll(records, now);
    this->registryKnown = true;
    this->updateEndpoints();
}

SessionProxy::Group SessionProxy::makeGroup(const DatabaseId& id)
{
    Group group;
    EndpointInput input;
    input.opened = [this, id](ConnectionId connection, const std::optional<Position>& position) {
        if (auto* scheduler = this->schedulerOf(id))
            scheduler->onOpened(connection, position, bootNow());
    };
    input.answered = [this, id](ConnectionId connection, const EndpointAnswer& answer) {
        if (auto* scheduler = this->schedulerOf(id))
            scheduler->onAnswer(connection, answer, bootNow());
    };
    input.closed = [this, id](ConnectionId connection) {
        if (auto* scheduler = this->schedulerOf(id))
            scheduler->onClosed(connection, bootNow());
    };
    input.full = [this, id](ConnectionId connection) {
        if (auto* scheduler = this->schedulerOf(id))
            scheduler->onConnectionLimit(connection, bootNow());
    };
    this->addReachabilityHooks(id, input);
    group.transport = std::make_unique<EndpointTransport>(this->context, std::move(input));
    SchedulerHooks hooks;
    hooks.nextConnectionId = [this] { return ++this->lastConnectionId; };
    hooks.open = [transport = group.transport.get()](ConnectionId connection, const EndpointRecord& record,
                     const WorkspaceId& workspace) { transport->open(connection, record, workspace); };
    hooks.send = [transport = group.transport.get()](
                     ConnectionId connection, const EndpointCommand& command) { transport->send(connection, command); };
    hooks.close = [transport = group.transport.get()](ConnectionId connection) { transport->close(connection); };
    hooks.leaseValid = [this](Time now) { return this->fleet->leaseValid(now); };
    hooks.holdersRecorded = [this, id] { return this->fleet->holdersAreRecorded(id); };
    this->addReachabilityHooks(id, hooks);
    group.scheduler
        = std::make_unique<GroupScheduler>(id, this->settings.dataCentre, this->timers, std::move(hooks), bootNow());
    group.forwarder = this->makeForwarder(id, *group.scheduler);
    return group;
}

void SessionProxy::updateGroups()
{
    if (!this->routes)
        return;
    const auto now = bootNow();
    for (const auto& [id, declaration] : this->routes->groups) {
        if (this->groups.count(id) != 0)
            continue;
        auto& scheduler = *this->groups.emplace(id, this->makeGroup(id)).first->second.scheduler;
        const auto primary = this->fleet->primaries().find(id);
        if (primary != this->fleet->primaries().end() && !primary->second.replacing)
            scheduler.setPrimary(primary->second.endpoint, primary->second.term, now);
        scheduler.setEndpoints(this->directory.recordsOf(id), now);
    }
    std::set<DatabaseId> listed;
    for (const auto& [id, declaration] : this->routes->groups)
        listed.insert(id);
    this->reachability.setGroups(std::move(listed));
}

// Tells the schedulers of the groups whose registered endpoints have changed. Rows of the registry change often, and a
// pass over all groups for each of them would cost more than all statements of a daemon.
void SessionProxy::updateEndpoints()
{
    const auto now = bootNow();
    const auto changed = this->directory.takeChangedGroups();
    for (const auto& id : changed) {
        if (auto* scheduler = this->schedulerOf(id))
            scheduler->setEndpoints(this->directory.recordsOf(id), now);
    }
    this->fleet->onEndpointsChanged(changed);
}

GroupScheduler* SessionProxy::schedulerOf(const DatabaseId& group)
{
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? nullptr : found->second.scheduler.get();
}

bool SessionProxy::isReady() const
{
    return !this->stopping && this->routes && this->registryKnown && this->fleet->peersKnown()
        && this->fleet->leaseValid(bootNow()) && !this->reachability.servesNothing();
}

std::string SessionProxy::metricsPage()
{
    const auto now = bootNow();
    for (const auto& [id, group] : this->groups) {
        this->metrics.group(id, group.scheduler->statistics(), group.scheduler->positions().term(),
            group.scheduler->primaryUsable(now));
        this->metrics.missingHolders(
            id, this->fleet->awaitedHolders(id), toSeconds(this->fleet->primaryMissingFor(id)));
        this->metrics.forwarding(id, group.forwarder->statistics(), group.placement.ownedHere);
        this->metrics.reachable(id, !this->reachability.isUnreachable(id));
    }
    if (this->quota->nextDue() != Time::max())
        this->metrics.quota(this->quota->statistics());
    this->metrics.reachability(this->reachability.statistics());
    ProxyState state;
    state.sessions = this->sessions->sessions();
    state.liveDaemons = this->alive.size();
    state.configurationVersion = this->routes ? this->routes->version : 0;
    state.ready = this->isReady();
    state.leaseLeftSeconds = toSeconds(this->fleet->leaseEnd() - now);
    state.configurationFeedReachable = this->configurationFeed->isReachable();
    state.registryFeedReachable = this->registryFeed->isReachable();
    state.storeEra = this->fleet->storeEra();
    state.joinedEra = this->fleet->hasJoinedEra();
    state.droppedLogLines = droppedLogLines();
    this->metrics.state(state);
    this->metrics.configurationProof(this->configurationProofState(now));
    return this->metrics.serialize();
}

void SessionProxy::record(const StatementRecord& statement)
{
    this->metrics.statement(statement);
    // One success in this many is logged, so that the path of ordinary requests can be seen.
    constexpr std::uint64_t successSampling = 1024;
    const bool succeeded = statement.reply.succeeded;
    if (succeeded && (statement.trace.endpoint.empty() || ++this->successes % successSampling != 0))
        return;
    const auto code = succeeded ? std::string_view("ok") : replyCodeName(statement.reply.code);
    const auto decision = this->logLimiter.decide(std::string(code) + "/" + statement.trace.reason, bootNow());
    if (!decision.write)
        return;
    const auto* route = statement.route;
    const auto& group = route == nullptr ? DatabaseId() : route->group;
    const auto primary = this->fleet->primaries().find(group);
    const bool known = primary != this->fleet->primaries().end();
    logEvent(LogLevel::Info, succeeded ? "statement_sampled" : "statement_failed",
        { { "request", statement.statement.id }, { "code", code }, { "reason", statement.trace.reason },
            { "database", route == nullptr ? "" : route->databaseName }, { "group", group.value },
            { "workspace", statement.workspace.value },
            { "consistency", route == nullptr ? "" : consistencyName(route->consistency) },
            { "endpoint", statement.trace.endpoint }, { "owner", statement.trace.owner.value },
            { "attempts", statement.trace.attempts }, { "elapsed_ms", toMilliseconds(statement.elapsed) },
            { "configuration", this->routes ? this->routes->version : 0 },
            { "primary", known ? primary->second.endpoint.value : "" }, { "term", known ? primary->second.term : 0 },
            { "replacing", known && primary->second.replacing ? 1 : 0 },
            { "lease_left_ms", toMilliseconds(this->fleet->leaseEnd() - bootNow()) },
            { "left_out", decision.suppressed }, { "detail", statement.reply.errorText } });
}

void SessionProxy::recordEnd(const SessionEnd& end)
{
    this->metrics.sessionEnd(end);
    if (!end.isCut())
        return;
    const auto reason = sessionEndName(end.reason);
    const auto decision = this->logLimiter.decide("session/" + std::string(reason), bootNow());
    if (!decision.write)
        return;
    logEvent(LogLevel::Info, "session_ended",
        { { "reason", reason }, { "peer", end.peer }, { "database", end.database }, { "request", end.request },
            { "in_transaction", end.inTransaction ? 1 : 0 }, { "sessions", this->sessions->sessions() },
            { "stopping", this->stopping ? 1 : 0 }, { "left_out", decision.suppressed } });
}

void SessionProxy::tick(Time now)
{
    if (this->directory.expire(now))
        this->updateEndpoints();
    for (auto& [id, group] : this->groups) {
        if (!group.scheduler->isIdle())
            group.scheduler->tick(now);
    }
    this->fleet->tick();
    this->configurationProof->tick(now);
    const bool storeAnswered = this->configurationFeed->version().isSet();
    if (!storeAnswered)
        this->bootstrap->tick(this->configurationRow.version, now);
    const auto idleLimit = (this->routes ? this->routes->transactionIdleLimit : Duration::zero()) + forwardedIdleSlack;
    this->links->tick(now, idleLimit);
    this->checkStop(now);
}

} // namespace endivetrestle
