#include "base/log.h"
#include "edge/capnp_text.h"
#include "edge/peer_message.h"
#include "edge/peer_rpc.h"

#include <capnp/rpc-twoparty.h>

#include <map>

namespace endivetrestle {

namespace {

// Time that an answer may take beyond the caller's deadline, so that the owner's own timeout is reported instead of
// a broken call.
constexpr Duration answerGrace = std::chrono::milliseconds(50);

// A logged-in connection to one daemon.
struct Link {
    Link(kj::Own<kj::AsyncIoStream> connected)
        : stream(kj::mv(connected))
        , network(*stream, capnp::rpc::twoparty::Side::CLIENT)
        , system(capnp::makeRpcClient(network))
    {
    }

    rpc::Gate::Client gate()
    {
        capnp::MallocMessageBuilder message;
        auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        return this->system.bootstrap(vat).castAs<rpc::Gate>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    kj::Maybe<rpc::Peer::Client> peer;
};

kj::Duration toKj(Duration duration) { return std::max<std::int64_t>(duration.count(), 0) * kj::MICROSECONDS; }

} // namespace

struct PeerClient::State {
    // One entry an address. ready is set while the connection is being made or is up.
    struct Entry {
        std::shared_ptr<Link> link;
        kj::Maybe<kj::ForkedPromise<void>> ready;
        std::uint64_t generation = 0;
    };

    PeerIdentity identity;
    Duration connectTimeout;
    DelayHook delay = [](const std::string&) { return Duration::zero(); };
    std::map<std::string, Entry> entries;
    std::uint64_t lastGeneration = 0;
    bool stopped = false;

    // Proves the knowledge of the fleet key on a new connection and keeps the interface that this opens.
    kj::Promise<void> logIn(const std::shared_ptr<Link>& link)
    {
        return link->gate().challengeRequest().send().then([this, link](auto response) {
            const auto& daemon = this->identity.daemon.value;
            const auto mac = internal::loginMac(this->identity.fleetKey, daemon, stringOf(response.getNonce()));
            auto login = link->gate().loginRequest();
            login.setDaemon(textOf(daemon));
            login.setMac(textOf(mac));
            return login.send().then([link](auto answer) { link->peer = answer.getPeer(); });
        });
    }

    kj::Promise<void> openLink(kj::AsyncIoContext& io, const std::string& address, std::uint64_t generation)
    {
        auto& timer = io.provider->getTimer();
        auto opened = io.provider->getNetwork()
                          .parseAddress(address.c_str())
                          .then([](kj::Own<kj::NetworkAddress> parsed) {
                              auto connected = parsed->connect();
                              return connected.attach(kj::mv(parsed));
                          })
                          .then([this, address, generation](kj::Own<kj::AsyncIoStream> stream) {
                              KJ_REQUIRE(this->entries[address].generation == generation, "connection was replaced");
                              auto link = std::make_shared<Link>(kj::mv(stream));
                              this->entries[address].link = link;
                              return this->logIn(link);
                          });
        return timer.timeoutAfter(toKj(this->connectTimeout), kj::mv(opened));
    }

    // Completes with the link when it is logged in.
    kj::Promise<std::shared_ptr<Link>> connect(kj::AsyncIoContext& io, const std::string& address)
    {
        KJ_REQUIRE(!this->stopped, "the client is stopped");
        auto& entry = this->entries[address];
        if (entry.ready == nullptr) {
            entry.generation = ++this->lastGeneration;
            entry.ready = this->openLink(io, address, entry.generation).fork();
        }
        return KJ_ASSERT_NONNULL(entry.ready).addBranch().then([this, address] { return this->entries[address].link; });
    }

    // Forgets a link after a failure, so that the next call opens a new one. A newer link is kept.
    void drop(NetworkLoop& loop, const std::string& address, std::uint64_t generation)
    {
        const auto found = this->entries.find(address);
        if (found == this->entries.end() || found->second.generation != generation)
            return;
        // The link may be on the call stack, so it is destroyed by a later task.
        auto old = std::make_shared<Entry>(std::move(found->second));
        this->entries.erase(found);
        loop.post([old](kj::AsyncIoContext&) {});
    }
};

PeerClient::PeerClient(NetworkLoop& loop, PeerIdentity identity, Duration connectTimeout)
    : loop(loop)
    , state(std::make_shared<State>())
{
    this->state->identity = std::move(identity);
    this->state->connectTimeout = connectTimeout;
}

PeerClient::~PeerClient() { this->stop(); }

void PeerClient::setDelayHook(DelayHook hook)
{
    this->loop.run([&](kj::AsyncIoContext&) { this->state->delay = std::move(hook); });
}

void PeerClient::stop()
{
    if (this->stopped)
        return;
    this->stopped = true;
    this->loop.run([this](kj::AsyncIoContext&) {
        this->state->stopped = true;
        this->state->entries.clear();
    });
}

namespace {

// Runs one call on the link to an address. send makes the call and completes with the result; failed gets whether the
// call may have reached the peer.
template <typename State, typename Send, typename Failed>
void callPeer(
    NetworkLoop& loop, std::shared_ptr<State> state, std::string address, Duration timeout, Send send, Failed failed)
{
    loop.post([&loop, state, address, timeout, send, failed](kj::AsyncIoContext& io) mutable {
        if (state->stopped)
            return failed(false);
        auto sent = std::make_shared<bool>(false);
        auto& timer = io.provider->getTimer();
        const auto delay = state->delay(address);
        auto call = state->connect(io, address).then([=, &timer](std::shared_ptr<Link> link) mutable {
            auto run = [=]() mutable {
                *sent = true;
                return send(KJ_ASSERT_NONNULL(link->peer)).attach(kj::cp(link));
            };
            if (delay == Duration::zero())
                return run();
            return timer.afterDelay(toKj(delay)).then(kj::mv(run));
        });
        auto limited = timer.timeoutAfter(toKj(timeout), kj::mv(call));
        const auto generation = state->entries[address].generation;
        auto handled = limited.then(
            [=, &timer](auto done) -> kj::Promise<void> {
                if (delay == Duration::zero()) {
                    done();
                    return kj::READY_NOW;
                }
                return timer.afterDelay(toKj(delay)).then([done]() mutable { done(); });
            },
            [=, &loop](kj::Exception&& error) -> kj::Promise<void> {
                logEvent(LogLevel::Debug, "peer_call_failed",
                    { { "address", address }, { "detail", error.getDescription().cStr() } });
                state->drop(loop, address, generation);
                failed(*sent);
                return kj::READY_NOW;
            });
        loop.detach(kj::mv(handled));
    });
}

using Deliver = std::function<void()>;

} // namespace

void PeerClient::forward(
    const std::string& address, Request request, Duration remaining, std::function<void(Outcome)> done)
{
    const auto send = [request, remaining, done](rpc::Peer::Client& peer) {
        auto call = peer.forwardRequest();
        internal::writeRequest(call.initRequest(), request, remaining);
        return call.send().then([id = request.id, done](auto response) -> Deliver {
            auto outcome = internal::readOutcome(response.getOutcome(), id);
            return [done, outcome = std::move(outcome)] { done(outcome); };
        });
    };
    const auto failed = [done](bool sent) {
        if (sent)
            done(unknownOutcome(ErrorCode::EndpointUnreachable, "the owner did not answer"));
        else
            done(didNotRun(ErrorCode::EndpointUnreachable, "the owner cannot be reached"));
    };
    callPeer(this->loop, this->state, address, remaining + answerGrace, send, failed);
}

void PeerClient::gossip(const std::string& address, std::string message, Duration timeout,
    std::function<void(std::optional<std::string>)> done)
{
    const auto send = [message, done](rpc::Peer::Client& peer) {
        auto call = peer.gossipRequest();
        call.setMessage(textOf(message));
        return call.send().then([done](auto response) -> Deliver {
            auto text = stringOf(response.getMessage());
            return [done, text] { done(text); };
        });
    };
    callPeer(this->loop, this->state, address, timeout, send, [done](bool) { done(std::nullopt); });
}

void PeerClient::opinion(const std::string& address, const DatabaseId& database, const EndpointId& endpoint,
    Duration timeout, std::function<void(std::optional<PeerOpinion>)> done)
{
    const auto send = [database, endpoint, done](rpc::Peer::Client& peer) {
        auto call = peer.opinionRequest();
        call.setDatabase(textOf(database.value));
        call.setEndpoint(textOf(endpoint.value));
        return call.send().then([done](auto response) -> Deliver {
            const auto reader = response.getOpinion();
            PeerOpinion opinion;
            if (reader.getSinceContactUs() >= 0)
                opinion.sinceContact = Duration(reader.getSinceContactUs());
            opinion.term = reader.getTerm();
            return [done, opinion] { done(opinion); };
        });
    };
    callPeer(this->loop, this->state, address, timeout, send, [done](bool) { done(std::nullopt); });
}

void PeerClient::fetchConfiguration(const std::string& address, std::uint64_t atLeast, Duration timeout,
    std::function<void(std::optional<ConfigurationBody>)> done)
{
    const auto send = [atLeast, done](rpc::Peer::Client& peer) {
        auto call = peer.fetchConfigurationRequest();
        call.setAtLeast(atLeast);
        return call.send().then([done](auto response) -> Deliver {
            ConfigurationBody body { response.getVersion(), stringOf(response.getBody()) };
            return [done, body] { done(body); };
        });
    };
    callPeer(this->loop, this->state, address, timeout, send, [done](bool) { done(std::nullopt); });
}

} // namespace endivetrestle
