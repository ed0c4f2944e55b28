#include "edge/peer_rpc.h"

#include <catch2/catch.hpp>

#include <future>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

PeerHandlers echoHandlers()
{
    PeerHandlers handlers;
    handlers.forward = [](Request request, DaemonId from, std::function<void(Outcome)> answer) {
        Outcome outcome;
        outcome.state = OutcomeState::Completed;
        outcome.rows = request.statement + " from " + from.value;
        outcome.position = request.minPosition;
        std::thread([answer, outcome] { answer(outcome); }).detach();
    };
    handlers.gossip = [](const DaemonId&, const std::string& message) { return message + "!"; };
    handlers.opinion = [](const DatabaseId&, const EndpointId&, std::function<void(PeerOpinion)> answer) {
        answer({ 5ms, 7 });
    };
    handlers.fetchConfiguration = [](std::uint64_t atLeast) { return ConfigurationBody { atLeast + 1, "body" }; };
    return handlers;
}

Outcome forwardAndWait(PeerClient& client, const std::string& address, const Request& request)
{
    std::promise<Outcome> promise;
    client.forward(address, request, 2s, [&](Outcome outcome) { promise.set_value(std::move(outcome)); });
    return promise.get_future().get();
}

} // namespace

// Guards against fields of a request or outcome that are lost between daemons.
TEST_CASE("PeerRpc, carries a request and its outcome when both know the fleet key")
{
    NetworkLoop loop;
    loop.start();
    {
        PeerServer server(loop, { DaemonId("a"), "key" }, "127.0.0.1:0", echoHandlers());
        PeerClient client(loop, { DaemonId("b"), "key" }, 1s);
        Request request;
        request.id = RequestId("r1");
        request.statement = "get x";
        request.minPosition = { 3, 9 };
        const auto outcome = forwardAndWait(client, "127.0.0.1:" + std::to_string(server.port()), request);
        CAPTURE(outcome.detail);
        CHECK(outcome.state == OutcomeState::Completed);
        CHECK(outcome.rows == "get x from b");
        CHECK(outcome.position == Position { 3, 9 });
        std::promise<std::optional<PeerOpinion>> opinion;
        client.opinion("127.0.0.1:" + std::to_string(server.port()), DatabaseId("d"), EndpointId("e"), 1s,
            [&](std::optional<PeerOpinion> value) { opinion.set_value(value); });
        CHECK(opinion.get_future().get() == PeerOpinion { 5ms, 7 });
    }
    loop.stop();
}

// Guards against a daemon of another fleet that sends requests.
TEST_CASE("PeerRpc, reports that a request did not run when the fleet key is wrong")
{
    NetworkLoop loop;
    loop.start();
    {
        PeerServer server(loop, { DaemonId("a"), "key" }, "127.0.0.1:0", echoHandlers());
        PeerClient client(loop, { DaemonId("b"), "other" }, 1s);
        const auto outcome = forwardAndWait(client, "127.0.0.1:" + std::to_string(server.port()), {});
        CHECK(outcome.state == OutcomeState::DidNotRun);
        CHECK(outcome.code == ErrorCode::EndpointUnreachable);
    }
    loop.stop();
}

// Guards against an unknown outcome for a request that never left this daemon.
TEST_CASE("PeerRpc, reports that a request did not run when nobody listens")
{
    NetworkLoop loop;
    loop.start();
    {
        PeerClient client(loop, { DaemonId("b"), "key" }, 1s);
        const auto outcome = forwardAndWait(client, "127.0.0.1:1", {});
        CHECK(outcome.state == OutcomeState::DidNotRun);
    }
    loop.stop();
}

// Guards against the use of freed state when a request is forwarded while its daemon shuts down.
TEST_CASE("PeerRpc, reports that a request did not run when the client was stopped")
{
    NetworkLoop loop;
    loop.start();
    {
        PeerClient client(loop, { DaemonId("b"), "key" }, 1s);
        client.stop();
        CHECK(forwardAndWait(client, "127.0.0.1:1", {}).state == OutcomeState::DidNotRun);
    }
    loop.stop();
}

// Guards against a write reported as "did not run" although the owner may have run it before it died.
TEST_CASE("PeerRpc, reports an unknown outcome when the owner closes after the request was sent")
{
    NetworkLoop loop;
    loop.start();
    {
        std::promise<void> received;
        auto handlers = echoHandlers();
        std::vector<std::function<void(Outcome)>> held;
        handlers.forward = [&](Request, DaemonId, std::function<void(Outcome)> answer) {
            held.push_back(std::move(answer));
            received.set_value();
        };
        PeerServer server(loop, { DaemonId("a"), "key" }, "127.0.0.1:0", handlers);
        PeerClient client(loop, { DaemonId("b"), "key" }, 1s);
        std::promise<Outcome> promise;
        client.forward("127.0.0.1:" + std::to_string(server.port()), {}, 5s,
            [&](Outcome outcome) { promise.set_value(std::move(outcome)); });
        received.get_future().wait();
        server.stop();
        CHECK(promise.get_future().get().state == OutcomeState::Unknown);
    }
    loop.stop();
}
