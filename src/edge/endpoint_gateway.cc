#include "edge/endpoint_gateway.h"

#include <kj/debug.h>

#include <utility>

namespace endivetrestle {

// A client that stays alive while calls on it are in flight.
using SharedClient = std::shared_ptr<kj::Own<EndpointClient>>;

struct EndpointGateway::Control {
    SharedClient client;
    kj::Maybe<kj::ForkedPromise<void>> opening;
};

struct EndpointGateway::State : std::enable_shared_from_this<EndpointGateway::State> {
    State(NetworkLoop& loop, Options options, Update update)
        : loop(loop)
        , options(std::move(options))
        , update(std::move(update))
    {
    }

    NetworkLoop& loop;
    Options options;
    Update update;
    bool stopped = false;
    std::map<EndpointId, SocketAddress> addresses;
    // An entry without a client is being opened.
    std::map<PoolConnectionId, SharedClient> connections;
    std::map<EndpointId, Control> watches;
    std::map<EndpointId, Control> commands;

    kj::Promise<EndpointResult<kj::Own<EndpointClient>>> connect(
        kj::AsyncIoContext& io, const EndpointId& endpoint, bool control)
    {
        const auto address = this->addresses.find(endpoint);
        if (address == this->addresses.end()) {
            EndpointResult<kj::Own<EndpointClient>> unknown;
            unknown.error = ErrorCode::EndpointUnreachable;
            unknown.sent = false;
            return kj::mv(unknown);
        }
        EndpointConnectOptions connectOptions;
        connectOptions.address = toString(address->second);
        connectOptions.endpoint = endpoint;
        connectOptions.daemon = this->options.daemon;
        connectOptions.dataCentre = this->options.dataCentre;
        connectOptions.control = control;
        connectOptions.timeout = this->options.connectTimeout;
        return connectEndpoint(io.provider->getNetwork(), io.provider->getTimer(), std::move(connectOptions));
    }

    void report(const Input& input)
    {
        if (!this->stopped)
            this->update(input);
    }

    // Completes when the control connection can be used or could not be opened.
    kj::Promise<SharedClient> controlClient(
        kj::AsyncIoContext& io, std::map<EndpointId, Control>& controls, const EndpointId& endpoint)
    {
        auto& control = controls[endpoint];
        if (control.client && (*control.client)->usable())
            return control.client;
        if (control.opening == nullptr) {
            control.client = nullptr;
            control.opening = this->connect(io, endpoint, true)
                                  .then([self = this->shared_from_this(), &controls, endpoint](auto opened) {
                                      auto& entry = controls[endpoint];
                                      entry.opening = nullptr;
                                      if (opened.error == ErrorCode::None)
                                          entry.client
                                              = std::make_shared<kj::Own<EndpointClient>>(kj::mv(opened.answer));
                                  })
                                  .fork();
        }
        return KJ_ASSERT_NONNULL(control.opening)
            .addBranch()
            .then([self = this->shared_from_this(), &controls, endpoint]() { return controls[endpoint].client; });
    }

    // Makes a control call. make calls the client; done gets its result, or an unsent failure if there is no
    // connection.
    template <typename Answer, typename Make, typename Done>
    void controlCall(kj::AsyncIoContext& io, std::map<EndpointId, Control>& controls, const EndpointId& endpoint,
        Make make, Done done)
    {
        auto call = this->controlClient(io, controls, endpoint)
                        .then([make](SharedClient client) mutable -> kj::Promise<EndpointResult<Answer>> {
                            if (!client) {
                                EndpointResult<Answer> failed;
                                failed.error = ErrorCode::EndpointUnreachable;
                                failed.sent = false;
                                return kj::mv(failed);
                            }
                            auto& reference = **client;
                            return make(reference).attach(kj::mv(client));
                        })
                        .then([self = this->shared_from_this(), done](
                                  EndpointResult<Answer> result) mutable { done(*self, result); });
        this->loop.detach(kj::mv(call));
    }

    void closed(PoolConnectionId connection)
    {
        this->report([connection](DatabaseController& target, Time now) { return target.onClosed(connection, now); });
    }
};

EndpointGateway::EndpointGateway(NetworkLoop& loop, Options options, Update update)
    : state(std::make_shared<State>(loop, std::move(options), std::move(update)))
{
}

EndpointGateway::~EndpointGateway() { this->stop(); }

void EndpointGateway::stop()
{
    this->state->stopped = true;
    this->state->connections.clear();
    this->state->watches.clear();
    this->state->commands.clear();
}

void EndpointGateway::setAddresses(std::map<EndpointId, SocketAddress> changed)
{
    for (const auto& [endpoint, address] : this->state->addresses) {
        const auto found = changed.find(endpoint);
        if (found != changed.end() && found->second == address)
            continue;
        this->state->watches[endpoint].client = nullptr;
        this->state->commands[endpoint].client = nullptr;
    }
    this->state->addresses = std::move(changed);
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::Open& action)
{
    auto& shared = *this->state;
    shared.connections[action.connection] = nullptr;
    auto opened = shared.connect(io, action.endpoint, false)
                      .then([self = this->state, connection = action.connection](auto result) {
                          const auto entry = self->connections.find(connection);
                          // Closed while it was being opened.
                          if (entry == self->connections.end())
                              return;
                          if (result.error != ErrorCode::None) {
                              self->connections.erase(entry);
                              self->report([connection](DatabaseController& target, Time now) {
                                  return target.onOpenFailed(connection, now);
                              });
                              return;
                          }
                          entry->second = std::make_shared<kj::Own<EndpointClient>>(kj::mv(result.answer));
                          self->report([connection](DatabaseController& target, Time now) {
                              return target.onOpened(connection, now);
                          });
                      });
    shared.loop.detach(kj::mv(opened));
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::Close& action)
{
    static_cast<void>(io);
    this->state->connections.erase(action.connection);
    // Reported by a later task, because the controller's lock order does not allow a nested call.
    this->state->loop.post(
        [self = this->state, connection = action.connection](kj::AsyncIoContext&) { self->closed(connection); });
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::Reset& action)
{
    static_cast<void>(io);
    const auto entry = this->state->connections.find(action.connection);
    const auto done = [self = this->state, action](bool succeeded) {
        self->report([action, succeeded](DatabaseController& target, Time now) {
            return target.onResetDone(action.connection, action.generation, succeeded, now);
        });
    };
    if (entry == this->state->connections.end() || !entry->second) {
        this->state->loop.post([done](kj::AsyncIoContext&) { done(false); });
        return;
    }
    auto client = entry->second;
    auto reset = (*client)->reset(this->state->options.resetTimeout).then([done](auto result) {
        done(result.error == ErrorCode::None);
    });
    this->state->loop.detach(reset.attach(kj::mv(client)));
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::Execute& action)
{
    static_cast<void>(io);
    const auto sentAt = MonotonicClock::now();
    const auto entry = this->state->connections.find(action.use.connection);
    const auto done = [self = this->state, use = action.use, sentAt](const EndpointResult<ExecuteAnswer>& result) {
        self->report([&](DatabaseController& target, Time now) {
            if (result.error == ErrorCode::None)
                return target.onExecuteAnswer(use, sentAt, result.answer, now);
            return target.onExecuteFailed(use, sentAt, result.error, result.sent, now);
        });
    };
    if (entry == this->state->connections.end() || !entry->second) {
        this->state->loop.post([done](kj::AsyncIoContext&) {
            EndpointResult<ExecuteAnswer> failed;
            failed.error = ErrorCode::EndpointUnreachable;
            failed.sent = false;
            done(failed);
        });
        return;
    }
    auto client = entry->second;
    auto call = (*client)->execute(action.call, action.timeout).then([done](EndpointResult<ExecuteAnswer> result) {
        done(result);
    });
    this->state->loop.detach(call.attach(kj::mv(client)));
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::Probe& action)
{
    const auto sentAt = MonotonicClock::now();
    const auto make = [action](EndpointClient& client) {
        if (action.wait > Duration::zero())
            return client.watch(action.after, action.wait, action.timeout);
        return client.status(action.timeout);
    };
    const auto done = [action, sentAt](State& self, const EndpointResult<EndpointStatus>& result) {
        self.report([&](DatabaseController& target, Time now) {
            if (result.error == ErrorCode::None)
                return target.onProbeAnswer(action.number, sentAt, result.answer, now);
            return target.onProbeFailed(action.endpoint, action.number, sentAt, now);
        });
    };
    auto& controls = action.wait > Duration::zero() ? this->state->watches : this->state->commands;
    this->state->controlCall<EndpointStatus>(io, controls, action.endpoint, make, done);
}

namespace {

// Time for a fence or promote call. The failover repeats unanswered calls.
constexpr Duration controlTimeout = std::chrono::milliseconds(400);

} // namespace

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::FenceEndpoint& action)
{
    const auto sentAt = MonotonicClock::now();
    const auto make = [action](EndpointClient& client) { return client.fence(action.call, controlTimeout); };
    const auto done = [action, sentAt](State& self, const EndpointResult<FenceAnswer>& result) {
        self.report([&](DatabaseController& target, Time now) {
            if (result.error == ErrorCode::None)
                return target.onFenceAnswer(action.endpoint, action.call.term, sentAt, result.answer, now);
            return target.onFenceFailed(action.endpoint, action.call.term, now);
        });
    };
    this->state->controlCall<FenceAnswer>(io, this->state->commands, action.endpoint, make, done);
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::PromoteEndpoint& action)
{
    const auto sentAt = MonotonicClock::now();
    const auto make = [action](EndpointClient& client) { return client.promote(action.call, controlTimeout); };
    const auto done = [action, sentAt](State& self, const EndpointResult<FenceAnswer>& result) {
        self.report([&](DatabaseController& target, Time now) {
            if (result.error == ErrorCode::None)
                return target.onPromoteAnswer(action.endpoint, action.call.term, sentAt, result.answer, now);
            return target.onPromoteFailed(action.endpoint, action.call.term, now);
        });
    };
    this->state->controlCall<FenceAnswer>(io, this->state->commands, action.endpoint, make, done);
}

void EndpointGateway::perform(kj::AsyncIoContext& io, const controller::Resolve& action)
{
    const auto sentAt = MonotonicClock::now();
    const auto make = [action](EndpointClient& client) { return client.resolve(action.call, action.timeout); };
    const auto done = [action, sentAt](State& self, const EndpointResult<ResolveAnswer>& result) {
        self.report([&](DatabaseController& target, Time now) {
            if (result.error == ErrorCode::None)
                return target.onResolveAnswer(action.ticket, action.number, sentAt, result.answer, now);
            return target.onResolveFailed(action.ticket, action.number, now);
        });
    };
    this->state->controlCall<ResolveAnswer>(io, this->state->commands, action.endpoint, make, done);
}

} // namespace endivetrestle
