#include "edge/daemon.h"

#include "base/log.h"
#include "base/sha256.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <random>
#include <sstream>

namespace endivetrestle {

namespace {

// Longest sleep of the timer thread, which bounds how late a new subscription can be noticed.
constexpr Duration timerStep = std::chrono::milliseconds(20);
constexpr Duration controllerTick = std::chrono::milliseconds(20);
constexpr Duration peerConnectTimeout = std::chrono::milliseconds(300);

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string wallTimeText()
{
    const auto now = std::time(nullptr);
    std::tm parts {};
    gmtime_r(&now, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

// The number of a key follows from its content, so that daemons agree on it in whatever order they list keys.
HmacKey makeKey(const std::string& secret)
{
    const auto digest = sha256Hex("key id " + secret);
    return { static_cast<std::uint8_t>(std::stoul(digest.substr(0, 2), nullptr, 16)), secret };
}

SessionTokenSettings tokenSettings(const Settings& settings, const Secrets& secrets)
{
    SessionTokenSettings result;
    result.keys.signing = makeKey(secrets.tokenKeys.front());
    for (const auto& secret : secrets.tokenKeys)
        result.keys.accepted.push_back(makeKey(secret));
    result.lifetime = std::chrono::duration_cast<std::chrono::seconds>(settings.limits.tokenLifetime);
    return result;
}

HttpServerSettings serverSettings(const SocketAddress& address, const Settings& settings, unsigned workers)
{
    HttpServerSettings result;
    result.address = address.ip;
    result.port = address.port;
    result.workers = workers;
    result.bodyLimit = settings.limits.bodyBytes;
    result.connectionLimit = settings.limits.connectionsPerCaller;
    return result;
}

ReadRouterSettings routerSettings(const ReadSettings& reads)
{
    // High enough that a free slot outweighs a longer way within a region.
    constexpr double leastLoadedWeight = 8;
    ReadRouterSettings result;
    result.replicaWait = reads.maxReplicaWait;
    result.primaryPenalty = reads.primaryPenalty;
    result.lagWeight = reads.lagWeight;
    if (reads.replicaPreference == ReplicaPreference::Nearest)
        result.busyWeight = 0;
    else if (reads.replicaPreference == ReplicaPreference::LeastLoaded)
        result.busyWeight = leastLoadedWeight;
    return result;
}

} // namespace

// A request on its way through this daemon.
struct Daemon::Flight {
    Forwarder forwarder;
    Request request;
    std::optional<TransactionIdParts> parts;
    std::function<void(Outcome)> done;
};

Daemon::Daemon(Settings settings, Secrets secrets, DaemonOptions options)
    : settings(std::move(settings))
    , secrets(std::move(secrets))
    , options(std::move(options))
    , claimant(this->settings.daemon.id.value + "#" + std::to_string(unixMilliseconds()))
    , tokens(tokenSettings(this->settings, this->secrets))
    , transactionIds(HmacKeys { makeKey(this->secrets.fleetKey), {} })
    , journal(JournalSettings {})
    , burn(BurnSettings {}.scaledBy(this->options.burnScale))
    , randomState((static_cast<std::uint64_t>(std::random_device {}()) << 32U) ^ std::random_device {}())
{
    this->loop.start();
    this->openServers();
}

Daemon::~Daemon() { this->shutDown(Duration::zero()); }

std::uint64_t Daemon::random()
{
    std::lock_guard lock(this->randomMutex);
    std::mt19937_64 engine(this->randomState);
    this->randomState = engine();
    return engine();
}

void Daemon::openServers()
{
    const PeerIdentity identity { this->settings.daemon.id, this->secrets.fleetKey };
    this->peerClient = std::make_unique<PeerClient>(this->loop, identity, peerConnectTimeout);
    PeerHandlers handlers;
    handlers.forward = [this](Request request, const DaemonId&, std::function<void(Outcome)> answer) {
        this->onForward(std::move(request), std::move(answer));
    };
    handlers.gossip = [this](const DaemonId& from, const std::string& message) {
        return this->fleet ? this->fleet->onGossip(from, message) : std::string();
    };
    handlers.opinion
        = [this](const DatabaseId& database, const EndpointId& endpoint, std::function<void(PeerOpinion)> answer) {
              this->onOpinion(database, endpoint, std::move(answer));
          };
    handlers.fetchConfiguration
        = [this](std::uint64_t atLeast) { return this->fleet ? this->fleet->onFetch(atLeast) : ConfigurationBody {}; };
    const auto& peers = this->settings.listen.peers;
    this->peerServer = std::make_unique<PeerServer>(
        this->loop, identity, peers.ip + ":" + std::to_string(peers.port), std::move(handlers));
    this->peerPortNumber = static_cast<unsigned short>(this->peerServer->port());

    DaemonInfo self;
    self.id = this->settings.daemon.id;
    self.peersAddress = { peers.ip, this->peerPortNumber };
    self.dataCentre = this->settings.daemon.dataCentre;
    self.region = this->settings.daemon.region;
    self.incarnation = static_cast<std::uint64_t>(unixMilliseconds());
    DaemonFleetHooks hooks;
    hooks.adopted = [this](const std::shared_ptr<const Configuration>&) { this->applyOwnership(); };
    hooks.viewChanged = [this] { this->applyOwnership(); };
    hooks.random = [this](std::uint64_t bound) { return this->random() % bound; };
    hooks.wallClockMs = unixMilliseconds;
    hooks.wallTime = wallTimeText;
    this->fleet = std::make_unique<Fleet>(
        this->loop, *this->peerClient, this->settings, self, this->journal, this->metrics, std::move(hooks));

    CallerApiHooks callerHooks;
    callerHooks.configuration = [this] { return this->fleet->configuration(); };
    callerHooks.run
        = [this](Request request, std::optional<TransactionIdParts> parts, std::function<void(Outcome)> done) {
              this->run(std::move(request), std::move(parts), std::move(done));
          };
    callerHooks.wallClock = [] { return unixMilliseconds() / 1000; };
    callerHooks.newRequestId = [this] {
        return this->claimant.value.substr(0, this->claimant.value.find('#')) + "-" + std::to_string(this->random())
            + "-" + std::to_string(++this->lastRequestNumber);
    };
    this->callerApi = std::make_unique<CallerApi>(
        this->settings.limits, this->tokens, this->transactionIds, std::move(callerHooks));
    this->operatorApi = std::make_unique<OperatorApi>(this->secrets.operatorKey, *this->fleet, this->journal,
        this->burn, this->metrics,
        OperatorApiHooks {
            this->settings.daemon.id, [this] { return this->statusJson(); }, [this] { return this->ready(); } });
    this->callers = std::make_unique<HttpServer>(
        serverSettings(this->settings.listen.callers, this->settings, static_cast<unsigned>(this->settings.workers)),
        [this](const HttpRequest& request, HttpServer::Answer answer) {
            this->callerApi->handle(request, std::move(answer));
        });
    this->operators = std::make_unique<HttpServer>(serverSettings(this->settings.listen.operators, this->settings, 1),
        [this](const HttpRequest& request, HttpServer::Answer answer) {
            this->operatorApi->handle(request, std::move(answer));
        });
}

void Daemon::start()
{
    const auto now = MonotonicClock::now();
    this->fleet->start(this->timers, now);
    this->timers.subscribeEvery(now, controllerTick, [this](Time at) {
        for (const auto& runtime : this->allRuntimes())
            runtime->tick(at);
        this->metrics.setClientConnections(this->callers->connections());
    });
    this->timersRunning = true;
    this->timerThread = std::thread([this] { this->serveTimers(); });
    logEvent(LogLevel::Info, "daemon_started",
        { { "daemon", this->settings.daemon.id.value }, { "callers_port", this->callerPort() },
            { "operators_port", this->operatorPort() }, { "peers_port", this->peerPort() } });
}

void Daemon::serveTimers()
{
    while (this->timersRunning) {
        const auto now = MonotonicClock::now();
        this->timers.advance(now);
        const auto due = std::min(this->timers.nextDue(), now + timerStep);
        std::this_thread::sleep_for(std::max(due - MonotonicClock::now(), Duration(200)));
    }
}

ControllerSettings Daemon::controllerSettings(const DatabaseDeclaration& declaration) const
{
    const auto& policy = this->settings.endpoints;
    ControllerSettings result;
    result.failover.suspectAfter = policy.suspectAfter;
    result.health.suspectAfter = policy.suspectAfter;
    result.writes.ackEvidenceMaxAge = policy.ackEvidenceMaxAge;
    result.probeInterval = policy.probeInterval;
    result.ackDeadline = policy.ackDeadline;
    result.warmConnections = policy.warmConnections;
    result.queue.maxEntries = this->settings.limits.queuePerDatabase;
    result.queue.maxPerCaller = this->settings.limits.queuePerCaller;
    result.pool.maxConcurrentOpensPerEndpoint = policy.concurrentOpens;
    result.transactions.idleLimit = this->settings.limits.transactionIdle;
    // Leaves room for the daemon that takes over when connections are scarce.
    result.transactions.maxOpen = static_cast<std::size_t>(std::max(declaration.connectionsPerEndpoint / 2, 1));
    result.queue.delayTarget = this->settings.limits.queueDelayTarget;
    result.readPolicy = this->options.readPolicy ? this->options.readPolicy
                                                 : weightedReadPolicy(routerSettings(this->settings.reads));
    auto* self = const_cast<Daemon*>(this);
    result.random = [self] { return self->random(); };
    return result;
}

std::shared_ptr<DatabaseRuntime> Daemon::runtime(const DatabaseId& database)
{
    std::lock_guard lock(this->runtimesMutex);
    const auto found = this->runtimes.find(database);
    return found == this->runtimes.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<DatabaseRuntime>> Daemon::allRuntimes()
{
    std::lock_guard lock(this->runtimesMutex);
    std::vector<std::shared_ptr<DatabaseRuntime>> result;
    for (const auto& [database, runtime] : this->runtimes)
        result.push_back(runtime);
    return result;
}

// Brings the runtimes in line with the configuration in force and the view of daemons. Runs on the network loop.
void Daemon::applyOwnership()
{
    const auto configuration = this->fleet ? this->fleet->configuration() : nullptr;
    if (!configuration)
        return;
    for (const auto& declaration : configuration->document().databases) {
        const auto owners = this->fleet->owners(declaration);
        int rank = -1;
        for (std::size_t i = 0; i < owners.size(); ++i) {
            if (owners[i].id == this->settings.daemon.id)
                rank = static_cast<int>(i);
        }
        auto existing = this->runtime(declaration.id);
        if (!existing && rank < 0)
            continue;
        if (!existing) {
            RuntimeContext context { this->loop, this->journal, this->burn, this->metrics, this->transactionIds,
                [this](const DatabaseId& database, const EndpointId& endpoint, std::uint64_t term) {
                    this->askOpinions(database, endpoint, term);
                },
                wallTimeText };
            const ControllerIdentity identity { this->settings.daemon.id, this->settings.daemon.dataCentre,
                this->claimant };
            existing = std::make_shared<DatabaseRuntime>(
                std::move(context), identity, this->controllerSettings(declaration), declaration);
            std::lock_guard lock(this->runtimesMutex);
            this->runtimes[declaration.id] = existing;
        }
        existing->setDeclaration(declaration);
        if (existing->rank() != rank) {
            JournalRecord record;
            record.database = declaration.id;
            record.kind = JournalKind::OwnerChange;
            record.seen = "the view of daemons or the configuration changed";
            record.decided = "rank " + std::to_string(rank) + " instead of " + std::to_string(existing->rank());
            record.done = rank < 0 ? "queued requests are sent to the new owner" : "in force";
            this->journal.record(std::move(record), MonotonicClock::now(), wallTimeText());
            logEvent(LogLevel::Info, "owner_rank_changed", { { "database", declaration.id.value }, { "rank", rank } });
        }
        existing->setRank(rank);
    }
}

std::vector<DaemonId> Daemon::ownerIds(const DatabaseId& database)
{
    const auto configuration = this->fleet->configuration();
    const auto* declaration = configuration ? configuration->findDatabase(database) : nullptr;
    std::vector<DaemonId> result;
    if (declaration == nullptr)
        return result;
    for (const auto& owner : this->fleet->owners(*declaration))
        result.push_back(owner.id);
    return result;
}

void Daemon::submitLocally(
    const Request& request, const std::optional<TransactionIdParts>& parts, std::function<void(Outcome)> done)
{
    const auto target = this->runtime(request.database);
    if (!target) {
        done(didNotRun(ErrorCode::NotOwner, "this daemon does not own the database"));
        return;
    }
    target->submit(request, parts, std::move(done));
}

void Daemon::run(Request request, std::optional<TransactionIdParts> parts, std::function<void(Outcome)> done)
{
    const auto holder = parts ? parts->owner : DaemonId();
    const auto owners = this->ownerIds(request.database);
    auto flight = std::make_shared<Flight>(Flight {
        Forwarder(request, this->settings.daemon.id, holder, {}), request, std::move(parts), std::move(done) });
    this->step(flight, flight->forwarder.start(owners, MonotonicClock::now()));
}

void Daemon::step(const std::shared_ptr<Flight>& flight, const ForwardStep& next)
{
    if (const auto* answer = std::get_if<AnswerCaller>(&next)) {
        flight->done(answer->outcome);
        return;
    }
    if (const auto* local = std::get_if<RunLocally>(&next)) {
        const auto parts = local->request.transaction.empty() ? std::nullopt : flight->parts;
        this->submitLocally(local->request, parts,
            [this, flight](const Outcome& outcome) { this->onFlightOutcome(flight, outcome, MonotonicClock::now()); });
        return;
    }
    const auto& forward = std::get<ForwardTo>(next);
    const auto owner = this->fleet->find(forward.daemon);
    if (!owner) {
        this->onFlightOutcome(
            flight, didNotRun(ErrorCode::EndpointUnreachable, "the owner is not known"), MonotonicClock::now());
        return;
    }
    const auto remaining = forward.request.deadline - MonotonicClock::now();
    this->peerClient->forward(toString(owner->peersAddress), forward.request, std::max(remaining, Duration(1)),
        [this, flight, daemon = forward.daemon](const Outcome& outcome) {
            const auto receivedAt = MonotonicClock::now();
            const bool failed = outcome.code == ErrorCode::EndpointUnreachable && outcome.servedBy.empty();
            this->fleet->reportCall(daemon, !failed);
            this->onFlightOutcome(flight, outcome, receivedAt);
        });
}

void Daemon::onFlightOutcome(const std::shared_ptr<Flight>& flight, const Outcome& outcome, Time receivedAt)
{
    const auto now = MonotonicClock::now();
    auto checked = outcome;
    // This process was paused between the receipt and now: the acknowledgement is too old to be passed on.
    const bool write = flight->request.kind == RequestKind::Write || flight->request.kind == RequestKind::Commit;
    if (write && outcome.state == OutcomeState::Completed
        && now - receivedAt > this->settings.endpoints.ackEvidenceMaxAge)
        checked = unknownOutcome(ErrorCode::AnswerMismatch, "the acknowledgement is too old");
    const auto owners = this->ownerIds(flight->request.database);
    this->step(flight, flight->forwarder.onOutcome(checked, owners, now));
}

// A request that another daemon forwards is run here or refused; it is never forwarded again, which rules out loops.
void Daemon::onForward(Request request, std::function<void(Outcome)> answer)
{
    std::optional<TransactionIdParts> parts;
    if (!request.transaction.empty())
        parts = this->transactionIds.parse(request.transaction, request.caller);
    ++this->forwardsInFlight;
    this->submitLocally(request, parts, [this, answer = std::move(answer)](Outcome outcome) {
        answer(std::move(outcome));
        --this->forwardsInFlight;
    });
}

bool Daemon::ready() { return !this->shuttingDown && this->fleet->configuration() != nullptr; }

std::size_t Daemon::unfinished()
{
    std::size_t sum = this->callers->inFlight() + this->forwardsInFlight;
    for (const auto& runtime : this->allRuntimes())
        sum += runtime->unfinished();
    return sum;
}

bool Daemon::shutDown(Duration limit)
{
    if (this->stopped)
        return true;
    this->stopped = true;
    this->shuttingDown = true;
    const auto end = MonotonicClock::now() + limit;
    if (limit > Duration::zero())
        this->fleet->leave();
    const bool answered = this->callers->drain(std::max(limit, Duration(1)));
    while (this->unfinished() > 0 && MonotonicClock::now() < end)
        std::this_thread::sleep_for(timerStep);
    const bool clean = answered && this->unfinished() == 0;
    this->timersRunning = false;
    if (this->timerThread.joinable())
        this->timerThread.join();
    this->operators->drain(std::chrono::milliseconds(200));
    this->callers->stop();
    this->operators->stop();
    this->peerServer->stop();
    this->fleet->stop();
    this->peerClient->stop();
    const auto all = this->allRuntimes();
    this->loop.run([&](kj::AsyncIoContext&) {
        for (const auto& runtime : all)
            runtime->stopOnLoop();
    });
    this->loop.stop();
    logEvent(LogLevel::Info, "daemon_stopped",
        { { "daemon", this->settings.daemon.id.value }, { "clean", clean ? "true" : "false" } });
    return clean;
}

} // namespace endivetrestle
