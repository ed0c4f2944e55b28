#include "standin/endpoint_server.h"

#include "edge/kj_time.h"

#include <kj/debug.h>

#include <utility>

namespace endivetrestle::standin {

namespace {

JsonHttpResponse refuse(ErrorCode code, std::string detail)
{
    return { code == ErrorCode::BadRequest ? 400U : 503U, toJson(CallRefusal { code, std::move(detail) }) };
}

JsonHttpResponse malformed() { return refuse(ErrorCode::BadRequest, "malformed call"); }

kj::Exception disconnection(const char* reason) { return KJ_EXCEPTION(DISCONNECTED, reason); }

EndpointStatus& statusOf(EndpointStatus& answer) { return answer; }
EndpointStatus& statusOf(FenceAnswer& answer) { return answer.status; }
EndpointStatus& statusOf(ResolveAnswer& answer) { return answer.status; }

} // namespace

EndpointServer::EndpointServer(kj::Network& network, kj::Timer& timer, GroupCore core, JsonHttpServerOptions options,
    EndpointSwitches switches, EndpointHooks hooks, std::uint64_t seed)
    : network(network)
    , timer(timer)
    , state(std::move(core))
    , options(std::move(options))
    , current(std::move(switches))
    , hooks(std::move(hooks))
    , random(seed)
    , tasks(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this)))
{
    this->options.onClosed = [this](std::uint64_t connection) { this->forget(connection); };
    this->gate.setLimit(this->current.slots);
    if (!this->current.down)
        this->startListening();
}

Time EndpointServer::now() const { return fromKj(this->timer.now()); }

void EndpointServer::startListening()
{
    auto listening = JsonHttpServer::listen(this->network, this->timer, this->options,
        [this](JsonHttpRequest request) { return this->handle(std::move(request)); });
    this->listenProblem = std::move(listening.error);
    this->server = kj::mv(listening.server);
    if (this->server)
        this->options.port = this->server->port();
}

void EndpointServer::stopListening()
{
    this->server = nullptr;
    this->tasks = kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
    for (const auto connection : this->openConnections)
        this->state.rollBack(connection);
    this->openConnections.clear();
    this->statementConnections.clear();
}

void EndpointServer::setSwitches(EndpointSwitches next)
{
    const bool stop = next.down && !this->current.down;
    const bool start = !next.down && this->current.down;
    const bool resume = !next.paused && this->current.paused;
    const bool lessLag = next.applyLag < this->current.applyLag;
    this->current = std::move(next);
    this->gate.setLimit(this->current.slots);
    if (stop)
        this->stopListening();
    if (start)
        this->startListening();
    if (start || lessLag)
        this->scheduleApply();
    if (resume)
        this->resumed.raise();
}

void EndpointServer::forget(std::uint64_t connection)
{
    this->openConnections.erase(connection);
    this->statementConnections.erase(connection);
    this->state.rollBack(connection);
}

void EndpointServer::taskFailed(kj::Exception&&) { }

void EndpointServer::notifyChange()
{
    this->changed.raise();
    if (this->hooks.onChange)
        this->hooks.onChange();
}

void EndpointServer::scheduleApply()
{
    const auto index = this->state.lastLog().index;
    if (this->current.applyLag == Duration::zero()) {
        this->state.applyUpTo(index);
        return;
    }
    this->tasks->add(this->timer.afterDelay(toKj(this->current.applyLag))
                         .then([this] { return this->whenRunning(); })
                         .then([this, index] { this->state.applyUpTo(index); }));
}

kj::Promise<void> EndpointServer::whenRunning()
{
    if (!this->current.paused)
        return kj::READY_NOW;
    return this->resumed.wait().then([this] { return this->whenRunning(); });
}

bool EndpointServer::chance(std::int64_t& count, double share)
{
    if (count > 0) {
        --count;
        return true;
    }
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

// Carries on with the work when the connection that asked for it is gone.
kj::Promise<JsonHttpResponse> EndpointServer::detach(kj::Promise<JsonHttpResponse> work)
{
    auto pair = kj::newPromiseAndFulfiller<JsonHttpResponse>();
    auto& fulfiller = *pair.fulfiller;
    this->tasks->add(work.then([&fulfiller](JsonHttpResponse response) { fulfiller.fulfill(kj::mv(response)); },
                             [&fulfiller](kj::Exception&& exception) { fulfiller.reject(kj::mv(exception)); })
                         .attach(kj::mv(pair.fulfiller)));
    return kj::mv(pair.promise);
}

kj::Promise<JsonHttpResponse> EndpointServer::handle(JsonHttpRequest request)
{
    this->openConnections.insert(request.connection);
    if (this->current.blackhole || this->current.blackholeDaemons.contains(request.daemon))
        return kj::NEVER_DONE;
    if (request.path == "/execute" && !this->statementConnections.contains(request.connection))
        return refuse(ErrorCode::BadRequest, "the connection was not opened for statements");
    const auto oneWay = this->hooks.oneWayDelay ? this->hooks.oneWayDelay(request.dataCentre) : Duration::zero();
    const auto before = oneWay + this->current.extraLatency;
    if (before == Duration::zero() && !this->current.paused)
        return this->dispatch(std::move(request));
    return this->handleLater(std::move(request), before, oneWay);
}

kj::Promise<JsonHttpResponse> EndpointServer::handleLater(JsonHttpRequest request, Duration before, Duration after)
{
    return this->detach(
        this->timer.afterDelay(toKj(before))
            .then([this] { return this->whenRunning(); })
            .then([this, request = std::move(request)]() mutable { return this->dispatch(std::move(request)); })
            .then([this, after](JsonHttpResponse response) {
                return this->timer.afterDelay(toKj(after)).then([response = std::move(response)]() mutable {
                    return std::move(response);
                });
            }));
}

kj::Promise<JsonHttpResponse> EndpointServer::dispatch(JsonHttpRequest request)
{
    if (this->chance(this->current.dropRequests, this->current.dropRequestShare)) {
        ++this->counts.droppedRequests;
        return disconnection("request dropped");
    }
    if (request.path == "/execute")
        return this->execute(request);
    return this->control(request).then([this](JsonHttpResponse response) { return this->finish(std::move(response)); });
}

// Last step of every answer: faults that happen after the effect.
kj::Promise<JsonHttpResponse> EndpointServer::finish(JsonHttpResponse response)
{
    if (this->current.paused) {
        return this->whenRunning().then(
            [this, response = std::move(response)]() mutable { return this->finish(std::move(response)); });
    }
    if (this->chance(this->current.loseAnswers, this->current.loseAnswerShare)) {
        ++this->counts.lostAnswers;
        return disconnection("answer lost");
    }
    if (this->chance(this->current.malformedAnswers, 0))
        response.body = R"({"n":)";
    return response;
}

EndpointStatus EndpointServer::report(EndpointStatus status) const
{
    status.busySlots = this->gate.running();
    status.lastLog.index -= std::min(this->current.positionBack, status.lastLog.index);
    status.applied.index -= std::min(this->current.positionBack, status.applied.index);
    return status;
}

template <typename Answer> JsonHttpResponse EndpointServer::answer(std::string tag, Answer value)
{
    statusOf(value) = this->report(std::move(statusOf(value)));
    if (this->chance(this->current.crossAnswers, 0))
        tag += "-crossed";
    return { 200, toJson(Tagged<Answer> { std::move(tag), std::move(value) }) };
}

JsonHttpResponse EndpointServer::run(std::uint64_t connection, const ExecuteCall& call)
{
    const auto lastLog = this->state.lastLog();
    auto answer = this->state.execute(connection, call, this->now());
    if (!this->openConnections.contains(connection))
        this->state.rollBack(connection);
    ++(call.kind == ExecuteKind::Read ? this->counts.reads : this->counts.writes);
    if (this->state.lastLog() != lastLog)
        this->notifyChange();
    answer.status = this->report(std::move(answer.status));
    if (this->current.crossAnswers == 0)
        return { 200, toJson(answer) };
    --this->current.crossAnswers;
    auto own = toJson(answer);
    answer.callNumber += 1;
    answer.requestId.value += "-crossed";
    return { 200, this->crossedAnswer.empty() ? toJson(answer) : std::exchange(this->crossedAnswer, std::move(own)) };
}

kj::Promise<JsonHttpResponse> EndpointServer::execute(const JsonHttpRequest& request)
{
    auto call = fromJson<ExecuteCall>(request.body);
    if (!call)
        return malformed();
    const auto connection = request.connection;
    if (this->current.serviceTime == Duration::zero() && this->gate.isFree())
        return this->finish(this->run(connection, *call));
    return this->detach(
        this->gate.acquire().then([this, connection, call = std::move(*call)](SlotGate::Slot slot) mutable {
            return this->timer.afterDelay(toKj(this->current.serviceTime))
                .then([this] { return this->whenRunning(); })
                .then([this, connection, call = std::move(call), slot = std::move(slot)] {
                    return this->finish(this->run(connection, call));
                });
        }));
}

kj::Promise<JsonHttpResponse> EndpointServer::open(const JsonHttpRequest& request)
{
    auto call = fromJson<Tagged<OpenCall>>(request.body);
    if (!call)
        return malformed();
    if (!call->value.control) {
        if (this->statementConnections.size() >= static_cast<std::size_t>(this->current.connectionLimit)) {
            ++this->counts.refusedConnections;
            return refuse(ErrorCode::ConnectionLimit, "all connections are in use");
        }
        this->statementConnections.insert(request.connection);
    }
    ++this->counts.opened;
    return this->timer.afterDelay(toKj(this->current.openingTime)).then([this, tag = std::move(call->tag)]() mutable {
        return this->answer(std::move(tag), this->state.status(this->now()));
    });
}

kj::Promise<JsonHttpResponse> EndpointServer::watch(Tagged<WatchCall> call, Time deadline)
{
    const auto now = this->now();
    if (this->state.lastLog() > call.value.after || now >= deadline)
        return this->answer(std::move(call.tag), this->state.status(now));
    auto over = this->timer.afterDelay(toKj(deadline - now));
    return this->changed.wait().exclusiveJoin(kj::mv(over)).then([this, call = std::move(call), deadline]() mutable {
        return this->watch(std::move(call), deadline);
    });
}

kj::Promise<JsonHttpResponse> EndpointServer::control(const JsonHttpRequest& request)
{
    if (request.path == "/open")
        return this->open(request);
    if (request.path == "/status" || request.path == "/reset") {
        auto call = fromJson<Tagged<EmptyCall>>(request.body);
        if (call && request.path == "/reset")
            this->state.rollBack(request.connection);
        return call ? this->answer(std::move(call->tag), this->state.status(this->now())) : malformed();
    }
    if (request.path == "/watch") {
        auto call = fromJson<Tagged<WatchCall>>(request.body);
        if (!call)
            return malformed();
        const auto deadline = this->now() + call->value.wait;
        return this->watch(std::move(*call), deadline);
    }
    if (request.path == "/fence" || request.path == "/promote") {
        auto call = fromJson<Tagged<FenceCall>>(request.body);
        if (!call)
            return malformed();
        auto result = request.path == "/fence" ? this->state.fence(call->value, this->now())
                                               : this->state.promote(call->value, this->now());
        this->notifyChange();
        return this->answer(std::move(call->tag), std::move(result));
    }
    if (request.path == "/resolve") {
        auto call = fromJson<Tagged<ResolveCall>>(request.body);
        if (!call)
            return malformed();
        auto result = this->state.resolve(call->value, this->now());
        this->notifyChange();
        return this->answer(std::move(call->tag), std::move(result));
    }
    return refuse(ErrorCode::BadRequest, "unknown path");
}

} // namespace endivetrestle::standin
