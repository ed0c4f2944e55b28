#include "fault_matrix_world.h"

// Injection of faults and the events of the scenarios.
namespace endivetrestle::testing::matrix {

using namespace std::chrono_literals;

namespace {

constexpr int endpointCount = 3;
constexpr int daemonCount = 3;
constexpr Duration forever = 1h;
// Time until daemons see that another one has come or gone.
constexpr Duration viewDelay = 300ms;

} // namespace

World::World(const Cell& cell, Mutation mutation)
    : cell(cell)
    , mutation(mutation)
    , random(cell.seed * 7919 + static_cast<std::uint64_t>(cell.scenario))
    , left(cell.injections)
{
    std::vector<EndpointId> ids;
    for (int index = 0; index < endpointCount; ++index)
        ids.emplace_back("e" + std::to_string(index));
    for (auto& core : standin::makeGroup(ids, this->now)) {
        Endpoint endpoint;
        endpoint.core = std::make_unique<standin::GroupCore>(std::move(core));
        this->endpoints.push_back(std::move(endpoint));
    }
    this->notePromotion(0);
    this->daemons.resize(daemonCount);
    for (int index = 0; index < daemonCount; ++index) {
        this->daemons[index].id = DaemonId("d" + std::to_string(index));
        this->daemons[index].dataCentre = DataCentre("dc" + std::to_string(index));
        this->ownerOrder.push_back(this->daemons[index].id);
    }
    for (int index = 0; index < daemonCount; ++index)
        this->start(index);
    this->publishOwners(Duration::zero());
    this->heartbeat();
}

DatabaseDeclaration World::declaration() const
{
    DatabaseDeclaration result;
    result.id = DatabaseId("db");
    result.region = Region("r");
    result.slots = 2;
    result.connectionsPerEndpoint = 16;
    for (const auto& endpoint : this->endpoints) {
        EndpointDeclaration entry;
        entry.id = endpoint.core->id();
        entry.dataCentre = DataCentre("dc" + entry.id.value.substr(1));
        if (this->primaryLeaves && entry.id.value == "e0")
            entry.state = DeclaredEndpointState::Leaving;
        result.endpoints.push_back(std::move(entry));
    }
    return result;
}

void World::start(int daemon)
{
    auto& self = this->daemons[daemon];
    ++self.incarnation;
    self.alive = true;
    self.paused = false;
    self.clockOffset = Duration::zero();
    self.owners.clear();
    ControllerSettings settings;
    settings.random = [this] { return this->random(); };
    // Routing must not decide about safety, so half of the seeds choose replicas at random.
    settings.readPolicy = this->cell.seed % 2 == 0 || this->mutation == Mutation::SkipMinPosition
        ? randomReplicaReadPolicy({}, settings.random)
        : weightedReadPolicy({});
    // Short enough for an abandoned transaction to end within a case.
    settings.transactions.idleLimit = 600ms;
    if (this->mutation == Mutation::IgnoreEvidenceAge)
        settings.writes.ackEvidenceMaxAge = 1h;
    const auto claimant = DaemonId(self.id.value + "#" + std::to_string(self.incarnation));
    self.controller = std::make_unique<DatabaseController>(
        ControllerIdentity { self.id, self.dataCentre, claimant }, settings, this->declaration(), this->local(self));
    this->tick(daemon);
}

// Counts the step and injects what the cell lists for this occurrence.
World::Disruption World::hit(Step step, Place place)
{
    Disruption result;
    if (this->healed)
        return result;
    const int occurrence = ++this->occurrences[step];
    std::vector<Injection> due;
    for (const auto& injection : this->left) {
        // Steps of the beginning come before the workload and are counted like all others.
        if (injection.step == step && injection.occurrence == occurrence)
            due.push_back(injection);
    }
    const bool transition = step == Step::Deliver || step == Step::Suspect || step == Step::Settle
        || step == Step::RankChange || step == Step::Submit;
    for (const auto& injection : due) {
        ++this->injectedCount;
        if (!isMessageFault(injection.fault) && injection.afterEffect && !transition)
            result.after.push_back(injection.fault);
        else if (!isMessageFault(injection.fault))
            this->inject(injection.fault, place);
        else if (transition && step != Step::Submit && place.daemon >= 0)
            this->daemons[place.daemon].nextMessage.insert(injection.fault);
        else
            result.faults.insert(injection.fault);
    }
    return result;
}

void World::inject(Fault fault, Place place)
{
    if (this->healed)
        return;
    const int daemon = place.daemon >= 0 ? place.daemon : 0;
    switch (fault) {
    case Fault::EndpointDown:
        return this->takeDown(place.endpoint >= 0 ? place.endpoint : this->primary(), this->oneOf({ 400, 1500, 3000 }));
    case Fault::CutFromReplicas:
        return this->cutPrimary(true, false, this->oneOf({ 600, 2200 }));
    case Fault::CutFromDaemons:
        return this->cutPrimary(false, true, this->oneOf({ 600, 2200 }));
    case Fault::CutFromBoth:
        return this->cutPrimary(true, true, this->oneOf({ 600, 2200 }));
    case Fault::ReplicaBehind:
        return this->lag(this->oneOf({ 800, 2000 }));
    case Fault::DaemonKilled:
        return this->kill(daemon, this->oneOf({ 500, 2000 }));
    case Fault::DaemonPaused:
        return this->pause(daemon, 5s);
    case Fault::ClockJump:
        this->daemons[daemon].clockOffset += this->oneOf({ 700, 10000, 3600000 });
        return;
    case Fault::TwoActive: {
        const auto first = this->ownerOrder[0];
        const auto second = this->ownerOrder[1];
        this->setOwners(first.value.back() - '0', { first, second });
        this->setOwners(second.value.back() - '0', { second, first });
        return this->publishOwners(1500ms);
    }
    case Fault::OwnerChange:
        std::rotate(this->ownerOrder.begin(), this->ownerOrder.begin() + 1, this->ownerOrder.end());
        return this->publishOwners(5ms);
    case Fault::CallerRetries:
        return this->retryThroughOther();
    case Fault::CallerGone:
        for (auto& caller : this->callers) {
            if (caller.transaction.empty() && &caller != &this->callers.back())
                continue;
            caller.gone = true;
            return;
        }
        return;
    default:
        return;
    }
}

void World::cutPrimary(bool replicas, bool daemons, Duration length)
{
    const auto name = this->endpoints[this->primary()].core->id().value;
    const auto cut = [&](const std::string& other) {
        auto& until = this->cuts[{ std::min(name, other), std::max(name, other) }];
        until = std::max(until, this->now + length);
    };
    for (const auto& endpoint : this->endpoints) {
        if (replicas && endpoint.core->id().value != name)
            cut(endpoint.core->id().value);
    }
    for (const auto& daemon : this->daemons) {
        if (daemons)
            cut(daemon.id.value);
    }
}

// The database restarts: its log, term and role remain, connections and their transactions do not.
void World::takeDown(int endpoint, std::optional<Duration> length)
{
    auto& target = this->endpoints[endpoint];
    target.down = true;
    for (int daemon = 0; daemon < daemonCount; ++daemon) {
        std::vector<PoolConnectionId> lost;
        for (const auto& [connection, link] : this->daemons[daemon].links) {
            if (link.endpoint != endpoint)
                continue;
            target.core->rollBack(link.number);
            lost.push_back(connection);
        }
        for (const auto connection : lost) {
            this->daemons[daemon].links.erase(connection);
            this->at(1ms, [this, daemon, connection, incarnation = this->daemons[daemon].incarnation] {
                this->atDaemon(daemon, incarnation, [this, daemon, connection] {
                    auto& self = this->daemons[daemon];
                    this->perform(daemon, self.controller->onClosed(connection, this->local(self)));
                });
            });
        }
    }
    if (length)
        this->at(*length, [this, endpoint] { this->endpoints[endpoint].down = false; });
}

void World::kill(int daemon, Duration length)
{
    auto& self = this->daemons[daemon];
    if (!self.alive)
        return;
    self.alive = false;
    ++self.incarnation;
    while (!self.links.empty())
        this->disconnect(daemon, self.links.begin()->first);
    self.deferred.clear();
    self.waiting.clear();
    const auto gone = unknownOutcome(ErrorCode::EndpointUnreachable, "the daemon is gone");
    for (const auto& [number, call] : this->openCalls) {
        if (call.daemon == daemon)
            this->at(1ms, [this, number = number, gone] { this->answerCall(number, gone); });
    }
    for (auto& [number, entry] : this->openForwards) {
        if (entry.first != daemon)
            continue;
        this->at(1ms, [done = entry.second, gone] { done(gone); });
        entry.second = [](const Outcome&) {};
    }
    this->publishOwners(viewDelay);
    this->at(length, [this, daemon] {
        if (this->daemons[daemon].alive)
            return;
        this->start(daemon);
        this->publishOwners(viewDelay);
    });
}

void World::pause(int daemon, Duration length)
{
    auto& self = this->daemons[daemon];
    if (!self.alive || self.paused)
        return;
    self.paused = true;
    this->publishOwners(1200ms);
    this->at(length, [this, daemon, incarnation = self.incarnation] {
        if (this->daemons[daemon].incarnation == incarnation)
            this->wake(daemon);
    });
}

void World::wake(int daemon)
{
    auto& self = this->daemons[daemon];
    if (!std::exchange(self.paused, false))
        return;
    for (const auto& work : std::exchange(self.deferred, {}))
        work();
    this->publishOwners(viewDelay);
}

void World::lag(Duration length)
{
    const int primary = this->primary();
    for (int index = 0; index < endpointCount; ++index) {
        if (index == primary)
            continue;
        auto& replica = this->endpoints[index];
        (index == (primary + 1) % endpointCount ? replica.shipDelay : replica.applyLag) = 700ms;
        this->at(length, [this, index] { this->endpoints[index].shipDelay = this->endpoints[index].applyLag = {}; });
    }
}

// Every daemon learns of the owners at a different time. A paused daemon counts as gone for the others.
void World::publishOwners(Duration delay)
{
    for (int daemon = 0; daemon < daemonCount; ++daemon) {
        const auto spread = delay == Duration::zero() ? delay : Duration(this->random() % 40000);
        this->at(delay + spread, [this, daemon] {
            auto& self = this->daemons[daemon];
            if (!self.alive || self.paused)
                return;
            std::vector<DaemonId> owners;
            for (const auto& id : this->ownerOrder) {
                const auto& other = this->daemons[id.value.back() - '0'];
                if (other.alive && !other.paused && owners.size() < 2)
                    owners.push_back(id);
            }
            this->setOwners(daemon, owners);
        });
    }
}

void World::setOwners(int daemon, std::vector<DaemonId> owners)
{
    auto& self = this->daemons[daemon];
    if (!self.alive || self.paused)
        return;
    const auto rank = std::find(owners.begin(), owners.end(), self.id);
    const bool changed = !self.owners.empty() && self.owners != owners;
    self.owners = owners;
    if (changed)
        this->hit(Step::RankChange, { daemon, -1 });
    if (!self.alive || self.paused)
        return;
    const int value = rank == owners.end() ? -1 : static_cast<int>(rank - owners.begin());
    this->perform(daemon, self.controller->setRank(value, this->local(self)));
}

void World::startScenario()
{
    switch (this->cell.scenario) {
    case Scenario::Steady:
        return;
    case Scenario::PrimaryKilled:
        return this->at(400ms, [this] { this->takeDown(this->primary(), std::nullopt); });
    case Scenario::PrimaryCut:
        return this->at(400ms, [this] { this->cutPrimary(true, true, forever); });
    case Scenario::OwnerChanged:
        return this->at(400ms, [this] { this->inject(Fault::OwnerChange, {}); });
    case Scenario::PrimaryLeaving:
        return this->at(400ms, [this] {
            this->primaryLeaves = true;
            for (int daemon = 0; daemon < daemonCount; ++daemon) {
                this->at(this->latency() * 20, [this, daemon] {
                    this->atDaemon(daemon, this->daemons[daemon].incarnation, [this, daemon] {
                        auto& self = this->daemons[daemon];
                        this->perform(daemon, self.controller->setDeclaration(this->declaration(), this->local(self)));
                    });
                });
            }
        });
    }
}

void World::heal()
{
    this->healed = true;
    this->cuts.clear();
    for (auto& endpoint : this->endpoints) {
        endpoint.down = false;
        endpoint.shipDelay = endpoint.applyLag = {};
    }
    for (int daemon = 0; daemon < daemonCount; ++daemon) {
        this->daemons[daemon].nextMessage.clear();
        if (!this->daemons[daemon].alive)
            this->start(daemon);
        this->wake(daemon);
    }
    this->publishOwners(50ms);
}

} // namespace endivetrestle::testing::matrix
