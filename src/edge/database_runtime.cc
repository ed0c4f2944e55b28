#include "edge/database_runtime.h"

#include "base/log.h"

namespace endivetrestle {

namespace {

constexpr Duration gaugeInterval = std::chrono::seconds(1);

// Whether an action is carried out on the network loop.
bool needsNetwork(const controller::Action& action)
{
    return std::visit(
        [](const auto& value) {
            using Value = std::decay_t<decltype(value)>;
            return std::
                       is_same_v<Value,
                           controller::Open> || std::is_same_v<Value, controller::Close> || std::is_same_v<Value, controller::Reset> || std::is_same_v<Value, controller::Execute> || std::is_same_v<Value, controller::Probe> || std::is_same_v<Value, controller::FenceEndpoint> || std::is_same_v<Value, controller::PromoteEndpoint> || std::is_same_v<Value, controller::Resolve>;
        },
        action);
}

void performOnNetwork(EndpointGateway& gateway, kj::AsyncIoContext& io, const controller::Action& action)
{
    std::visit(
        [&](const auto& value) {
            if constexpr (requires { gateway.perform(io, value); })
                gateway.perform(io, value);
        },
        action);
}

std::optional<ShedReason> shedReason(const Outcome& outcome)
{
    if (outcome.code == ErrorCode::QueueFull)
        return ShedReason::QueueFull;
    if (outcome.code == ErrorCode::Overloaded)
        return ShedReason::Overload;
    if (outcome.code == ErrorCode::DeadlineExceeded && outcome.state == OutcomeState::DidNotRun)
        return ShedReason::Deadline;
    if (outcome.code == ErrorCode::RetryBudgetSpent)
        return ShedReason::RetryBudget;
    return std::nullopt;
}

RetryReason retryReason(controller::RetryCause cause)
{
    switch (cause) {
    case controller::RetryCause::Position:
        return RetryReason::Position;
    case controller::RetryCause::Term:
        return RetryReason::Term;
    case controller::RetryCause::Resolve:
        return RetryReason::Resolve;
    case controller::RetryCause::Connection:
        break;
    }
    return RetryReason::Connection;
}

} // namespace

DatabaseRuntime::DatabaseRuntime(RuntimeContext context, ControllerIdentity identity, ControllerSettings settings,
    const DatabaseDeclaration& declaration)
    : context(std::move(context))
    , identity(identity)
    , database(declaration.id)
    , controller(std::move(identity), std::move(settings), declaration, MonotonicClock::now())
    , metrics(this->context.metrics.database(declaration.id))
    , readSeries(this->context.burn.series(declaration.id, BurnKind::Read))
    , writeSeries(this->context.burn.series(declaration.id, BurnKind::Write))
{
}

void DatabaseRuntime::setDeclaration(const DatabaseDeclaration& changed)
{
    std::map<EndpointId, SocketAddress> addresses;
    for (const auto& endpoint : changed.endpoints)
        addresses[endpoint.id] = endpoint.address;
    // Runs before any action of the update below is carried out.
    this->context.loop.runSoon([self = this->shared_from_this(), addresses](kj::AsyncIoContext&) {
        if (!self->gateway) {
            EndpointGateway::Options options;
            options.daemon = self->identity.daemon;
            options.dataCentre = self->identity.dataCentre;
            // The gateway belongs to the runtime, so the reference back must not keep the runtime alive.
            const std::weak_ptr<DatabaseRuntime> weak = self;
            self->gateway = std::make_unique<EndpointGateway>(
                self->context.loop, options, [weak](const EndpointGateway::Input& input) {
                    if (const auto runtime = weak.lock())
                        runtime->update(input);
                });
        }
        self->gateway->setAddresses(addresses);
    });
    const auto& objectives = changed.objectives;
    this->context.burn.setObjective(
        this->database, BurnKind::Read, { objectives.availability, objectives.readLatency });
    this->context.burn.setObjective(
        this->database, BurnKind::Write, { objectives.availability, objectives.writeLatency });
    this->update([&](DatabaseController& target, Time now) { return target.setDeclaration(changed, now); });
}

void DatabaseRuntime::setRank(int rank)
{
    if (this->currentRank == rank)
        return;
    this->currentRank = rank;
    this->update([&](DatabaseController& target, Time now) { return target.setRank(rank, now); });
}

void DatabaseRuntime::update(const EndpointGateway::Input& input)
{
    controller::Actions actions;
    {
        std::lock_guard lock(this->mutex);
        actions = input(this->controller, MonotonicClock::now());
    }
    this->perform(actions);
}

void DatabaseRuntime::submit(const Request& request, const std::optional<TransactionIdParts>& parts, Done done)
{
    controller::Actions actions;
    {
        std::lock_guard lock(this->mutex);
        const auto now = MonotonicClock::now();
        const auto ticket = ++this->lastTicket;
        this->waiting.emplace(ticket, Waiting { std::move(done), request, now });
        actions = this->controller.submit(ticket, request, parts, now);
    }
    this->perform(actions);
}

void DatabaseRuntime::perform(const controller::Actions& actions)
{
    if (actions.empty())
        return;
    controller::Actions forNetwork;
    const auto now = MonotonicClock::now();
    for (const auto& action : actions) {
        if (needsNetwork(action))
            forNetwork.push_back(action);
        else
            this->performLocally(action, now);
    }
    if (forNetwork.empty())
        return;
    this->context.loop.runSoon(
        [self = this->shared_from_this(), forNetwork = std::move(forNetwork)](kj::AsyncIoContext& io) {
            if (!self->gateway)
                return;
            for (const auto& action : forNetwork)
                performOnNetwork(*self->gateway, io, action);
        });
}

void DatabaseRuntime::performLocally(const controller::Action& action, Time now)
{
    if (const auto* complete = std::get_if<controller::Complete>(&action)) {
        this->deliver(complete->ticket);
    } else if (const auto* record = std::get_if<controller::AddJournalEntry>(&action)) {
        this->context.journal.record(record->record, now, this->context.wallTime());
    } else if (const auto* started = std::get_if<controller::FailoverStarted>(&action)) {
        this->failoverEntry = this->context.journal.record(started->record, now, this->context.wallTime());
        this->context.burn.beginFailover(this->database, this->failoverEntry, now);
        logEvent(LogLevel::Warning, "failover_started",
            { { "database", this->database.value }, { "seen", started->record.seen } });
    } else if (const auto* replaced = std::get_if<controller::PrimaryReplaced>(&action)) {
        if (replaced->promotedHere)
            this->metrics.failover(replaced->planned, replaced->gap);
        this->context.journal.amend(this->failoverEntry,
            "primary is " + replaced->endpoint.value + " in term " + std::to_string(replaced->term),
            { { "gapMs", std::to_string(replaced->gap.count() / 1000) },
                { "promotedHere", replaced->promotedHere ? "true" : "false" } });
        logEvent(LogLevel::Info, "primary_changed",
            { { "database", this->database.value }, { "endpoint", replaced->endpoint.value },
                { "term", replaced->term }, { "gap_ms", toMilliseconds(replaced->gap) },
                { "promoted_here", replaced->promotedHere ? "true" : "false" } });
    } else if (const auto* retried = std::get_if<controller::Retried>(&action)) {
        this->metrics.retry(retryReason(retried->cause));
    } else if (const auto* failed = std::get_if<controller::CallFailed>(&action)) {
        this->context.metrics.endpoint(this->database, failed->endpoint).error();
    } else if (std::holds_alternative<controller::FailoverEnded>(action)) {
        this->context.burn.endFailover(this->database, now);
    } else if (const auto* ask = std::get_if<controller::AskOpinions>(&action)) {
        this->context.askOpinions(this->database, ask->endpoint, ask->term);
    }
}

// Hands an outcome to its caller. The controller checks at this moment whether a write may still be acknowledged.
void DatabaseRuntime::deliver(std::uint64_t ticket)
{
    std::optional<Outcome> outcome;
    controller::Actions more;
    Waiting caller;
    {
        std::lock_guard lock(this->mutex);
        const auto begun = this->controller.begunTransaction(ticket);
        outcome = this->controller.takeOutcome(ticket, MonotonicClock::now(), more);
        const auto found = this->waiting.find(ticket);
        if (outcome && found != this->waiting.end()) {
            caller = std::move(found->second);
            this->waiting.erase(found);
            if (begun)
                outcome->transaction = this->context.transactionIds.build(*begun, caller.request.caller);
        }
    }
    if (outcome && caller.done) {
        this->recordEnd(caller.request, *outcome, caller.arrival, MonotonicClock::now());
        caller.done(std::move(*outcome));
    }
    this->perform(more);
}

void DatabaseRuntime::recordEnd(const Request& request, const Outcome& outcome, Time arrival, Time now)
{
    const auto code = static_cast<ErrorCode>(outcome.code.value());
    const auto latency = now - arrival;
    this->metrics.request(request.kind, outcome.state, code, latency);
    if (request.kind == RequestKind::Read && outcome.state == OutcomeState::Completed)
        this->metrics.read(outcome.servedByReplica);
    BurnEvent event;
    event.state = outcome.state;
    event.code = code;
    event.latency = latency;
    const bool read = burnKindOf(request.kind) == BurnKind::Read;
    this->context.burn.record(read ? this->readSeries : this->writeSeries, event, now);
    const auto shed = shedReason(outcome);
    if (!shed)
        return;
    this->metrics.shed(*shed);
    JournalRecord record;
    record.database = this->database;
    record.kind = JournalKind::Shed;
    record.seen = outcome.detail;
    record.decided = "shed: " + std::string(errorName(code));
    record.done = "refused, did not run";
    this->context.journal.record(std::move(record), now, this->context.wallTime());
}

void DatabaseRuntime::tick(Time now)
{
    this->update([](DatabaseController& target, Time at) { return target.tick(at); });
    if (now < this->gaugesDue)
        return;
    this->gaugesDue = now + gaugeInterval;
    this->updateGauges();
}

void DatabaseRuntime::updateGauges()
{
    const auto state = this->report();
    this->metrics.setQueueLength(state.queued);
    EndpointCounts sum;
    for (const auto& endpoint : state.endpoints) {
        sum.opening += endpoint.connections.opening;
        sum.idle += endpoint.connections.idle;
        sum.busy += endpoint.connections.busy;
        sum.pinned += endpoint.connections.pinned;
        sum.resetting += endpoint.connections.resetting;
        auto& gauges = this->context.metrics.endpoint(this->database, endpoint.endpoint);
        const auto live = endpoint.health.suspected ? EndpointGauge::Suspected : EndpointGauge::Healthy;
        gauges.setState(endpoint.leaving ? EndpointGauge::Leaving : live);
        gauges.setAppliedLag(endpoint.lag);
    }
    const auto set = [&](ConnectionGauge gauge, int count) {
        this->metrics.setConnections(gauge, static_cast<std::size_t>(count));
    };
    set(ConnectionGauge::Opening, sum.opening);
    set(ConnectionGauge::Idle, sum.idle);
    set(ConnectionGauge::Busy, sum.busy);
    set(ConnectionGauge::Pinned, sum.pinned);
    set(ConnectionGauge::Resetting, sum.resetting);
}

void DatabaseRuntime::refuseQueued()
{
    this->update([](DatabaseController& target, Time now) { return target.refuseQueued(now); });
}

void DatabaseRuntime::onOpinion(const Opinion& opinion)
{
    this->update([&](DatabaseController& target, Time now) { return target.onOpinion(opinion, now); });
}

std::optional<Duration> DatabaseRuntime::contactAge(const EndpointId& endpoint)
{
    std::lock_guard lock(this->mutex);
    return this->controller.contactAge(endpoint, MonotonicClock::now());
}

std::uint64_t DatabaseRuntime::highestTerm()
{
    std::lock_guard lock(this->mutex);
    return this->controller.highestTerm();
}

ControllerReport DatabaseRuntime::report()
{
    std::lock_guard lock(this->mutex);
    return this->controller.report(MonotonicClock::now());
}

std::size_t DatabaseRuntime::unfinished()
{
    std::lock_guard lock(this->mutex);
    return this->controller.unfinished();
}

void DatabaseRuntime::stopOnLoop()
{
    this->gateway = nullptr;
    std::lock_guard lock(this->mutex);
    this->waiting.clear();
}

} // namespace endivetrestle
