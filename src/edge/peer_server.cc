#include "base/log.h"
#include "edge/capnp_text.h"
#include "edge/peer_message.h"
#include "edge/peer_rpc.h"

#include <capnp/rpc-twoparty.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <array>
#include <future>

namespace endivetrestle {

namespace {

// Requests longer than this are refused by the RPC library before they are read (8 bytes a word).
constexpr std::uint64_t messageWordLimit = (16ULL << 20U) / 8;

std::string randomNonce()
{
    std::array<unsigned char, 16> bytes {};
    if (RAND_bytes(bytes.data(), bytes.size()) != 1)
        return {};
    std::string text;
    for (const auto byte : bytes) {
        text += static_cast<char>('a' + (byte >> 4U));
        text += static_cast<char>('a' + (byte & 15U));
    }
    return text;
}

class PeerImplementation final : public rpc::Peer::Server {
public:
    PeerImplementation(const PeerHandlers& handlers, DaemonId from)
        : handlers(handlers)
        , from(std::move(from))
    {
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        auto request = internal::readRequest(context.getParams().getRequest(), MonotonicClock::now());
        KJ_REQUIRE(request.has_value(), "malformed forward request");
        const auto id = request->id;
        context.releaseParams();
        auto pair = kj::newPromiseAndCrossThreadFulfiller<Outcome>();
        auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Outcome>>>(kj::mv(pair.fulfiller));
        this->handlers.forward(std::move(*request), this->from,
            [fulfiller](Outcome outcome) { (*fulfiller)->fulfill(std::move(outcome)); });
        return pair.promise.then([context, id](Outcome outcome) mutable {
            internal::writeOutcome(context.getResults().initOutcome(), id, outcome);
        });
    }

    kj::Promise<void> gossip(GossipContext context) override
    {
        const auto message = stringOf(context.getParams().getMessage());
        context.getResults().setMessage(textOf(this->handlers.gossip(this->from, message)));
        return kj::READY_NOW;
    }

    kj::Promise<void> opinion(OpinionContext context) override
    {
        const auto params = context.getParams();
        auto pair = kj::newPromiseAndCrossThreadFulfiller<PeerOpinion>();
        auto fulfiller
            = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<PeerOpinion>>>(kj::mv(pair.fulfiller));
        this->handlers.opinion(DatabaseId(stringOf(params.getDatabase())), EndpointId(stringOf(params.getEndpoint())),
            [fulfiller](const PeerOpinion& opinion) { (*fulfiller)->fulfill(PeerOpinion(opinion)); });
        return pair.promise.then([context](const PeerOpinion& opinion) mutable {
            auto builder = context.getResults().initOpinion();
            builder.setSinceContactUs(opinion.sinceContact ? opinion.sinceContact->count() : -1);
            builder.setTerm(opinion.term);
        });
    }

    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
    {
        const auto body = this->handlers.fetchConfiguration(context.getParams().getAtLeast());
        context.getResults().setVersion(body.version);
        context.getResults().setBody(textOf(body.body));
        return kj::READY_NOW;
    }

private:
    const PeerHandlers& handlers;
    DaemonId from;
};

// One gate a connection, so that a nonce is used once and only on the connection it was made for.
class GateImplementation final : public rpc::Gate::Server {
public:
    GateImplementation(const PeerIdentity& identity, const PeerHandlers& handlers)
        : identity(identity)
        , handlers(handlers)
    {
    }

    kj::Promise<void> challenge(ChallengeContext context) override
    {
        this->nonce = randomNonce();
        context.getResults().setNonce(textOf(this->nonce));
        return kj::READY_NOW;
    }

    kj::Promise<void> login(LoginContext context) override
    {
        const std::string daemon = context.getParams().getDaemon();
        const std::string mac = context.getParams().getMac();
        const auto expected = internal::loginMac(this->identity.fleetKey, daemon, this->nonce);
        const bool matches = !this->nonce.empty() && mac.size() == expected.size()
            && CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) == 0;
        this->nonce.clear();
        if (!matches) {
            logEvent(LogLevel::Warning, "peer_login_refused", { { "daemon", daemon } });
            KJ_FAIL_REQUIRE("login refused: wrong fleet key");
        }
        context.getResults().setPeer(kj::heap<PeerImplementation>(this->handlers, DaemonId(daemon)));
        return kj::READY_NOW;
    }

private:
    const PeerIdentity& identity;
    const PeerHandlers& handlers;
    std::string nonce;
};

struct Connection {
    Connection(kj::Own<kj::AsyncIoStream> accepted, const PeerIdentity& identity, const PeerHandlers& handlers,
        capnp::ReaderOptions options)
        : stream(kj::mv(accepted))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, options)
        , system(capnp::makeRpcServer(network, rpc::Gate::Client(kj::heap<GateImplementation>(identity, handlers))))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace

struct PeerServer::State : kj::TaskSet::ErrorHandler {
    State(PeerIdentity identity, PeerHandlers handlers)
        : identity(std::move(identity))
        , handlers(std::move(handlers))
    {
    }

    void taskFailed(kj::Exception&& exception) override
    {
        logEvent(LogLevel::Debug, "peer_connection_ended", { { "detail", exception.getDescription().cStr() } });
    }

    kj::Promise<void> acceptNext()
    {
        return this->receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            capnp::ReaderOptions options;
            options.traversalLimitInWords = messageWordLimit;
            auto connection = kj::heap<Connection>(kj::mv(stream), this->identity, this->handlers, options);
            auto ended = connection->network.onDisconnect().attach(kj::mv(connection));
            this->tasks->add(kj::mv(ended));
            return this->acceptNext();
        });
    }

    PeerIdentity identity;
    PeerHandlers handlers;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Own<kj::TaskSet> tasks;
};

PeerServer::PeerServer(NetworkLoop& loop, PeerIdentity identity, const std::string& address, PeerHandlers handlers)
    : loop(loop)
    , state(std::make_shared<State>(std::move(identity), std::move(handlers)))
{
    std::promise<std::string> result;
    auto future = result.get_future();
    this->loop.post([&, state = this->state](kj::AsyncIoContext& io) {
        state->tasks = kj::heap<kj::TaskSet>(*state);
        auto listening = io.provider->getNetwork()
                             .parseAddress(address.c_str())
                             .then([&result, state](kj::Own<kj::NetworkAddress> parsed) {
                                 state->receiver = parsed->listen();
                                 state->tasks->add(state->acceptNext());
                                 result.set_value({});
                             });
        this->loop.detach(
            listening.catch_([&result](kj::Exception&& error) { result.set_value(error.getDescription().cStr()); }));
    });
    const auto problem = future.get();
    KJ_REQUIRE(problem.empty(), "cannot listen for peers", address, problem);
    this->loop.run([this](kj::AsyncIoContext&) { this->boundPort = this->state->receiver->getPort(); });
}

PeerServer::~PeerServer() { this->stop(); }

unsigned PeerServer::port() const { return this->boundPort; }

void PeerServer::stop()
{
    if (!this->state)
        return;
    this->loop.run([this](kj::AsyncIoContext&) {
        this->state->tasks = nullptr;
        this->state->receiver = nullptr;
    });
    this->state = nullptr;
}

} // namespace endivetrestle
