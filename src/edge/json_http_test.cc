#include "edge/json_http.h"

#include <kj/debug.h>

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

struct Setup {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Network& network = io.provider->getNetwork();
    kj::Timer& timer = io.provider->getTimer();
    kj::Own<JsonHttpServer> server;
    std::vector<JsonHttpRequest> requests;
    std::vector<std::uint64_t> closed;

    explicit Setup(JsonHttpHandler handler)
    {
        JsonHttpServerOptions options;
        options.bodyLimit = 100;
        options.onClosed = [this](std::uint64_t connection) { this->closed.push_back(connection); };
        auto listening = JsonHttpServer::listen(
            this->network, this->timer, options, [this, handler = std::move(handler)](JsonHttpRequest request) {
                this->requests.push_back(request);
                return handler(std::move(request));
            });
        CAPTURE(listening.error);
        REQUIRE(listening.server.get());
        this->server = kj::mv(listening.server);
    }

    kj::Own<JsonHttpConnection> connect(JsonHttpClientOptions options = {})
    {
        auto connected = connectJsonHttp(
            this->network, this->timer, "127.0.0.1:" + std::to_string(this->server->port()), 10s, std::move(options))
                             .wait(this->io.waitScope);
        REQUIRE(connected.error == ErrorCode::None);
        return kj::mv(connected.connection);
    }

    JsonHttpReply call(JsonHttpConnection& connection, const std::string& body, Duration timeout = 10s)
    {
        return connection.call(kj::HttpMethod::POST, "/p", body, timeout).wait(this->io.waitScope);
    }

    // Runs the event loop until the condition holds.
    void until(const std::function<bool()>& condition)
    {
        while (!condition())
            this->timer.afterDelay(1 * kj::MILLISECONDS).wait(this->io.waitScope);
    }
};

kj::Promise<JsonHttpResponse> echo(JsonHttpRequest request) { return JsonHttpResponse { 200, request.body }; }

} // namespace

// Guards against lost or mixed bodies on a reused connection, and against headers that are sent with every call.
TEST_CASE("JsonHttp, answers several calls when they share a connection")
{
    Setup setup(echo);
    auto connection = setup.connect({ "d1", "bkk-a" });
    auto first = connection->call(kj::HttpMethod::POST, "/p", "1", 10s);
    auto second = connection->call(kj::HttpMethod::POST, "/q", "22", 10s);
    CHECK(first.wait(setup.io.waitScope).body == "1");
    CHECK(second.wait(setup.io.waitScope).body == "22");
    CHECK(setup.call(*connection, "").body.empty());
    REQUIRE(setup.requests.size() == 3);
    CHECK(setup.requests[1].path == "/q");
    CHECK(setup.requests[2].daemon == "d1");
    CHECK(setup.requests[2].dataCentre == "bkk-a");
    CHECK(setup.requests[2].connection == setup.requests[0].connection);
}

// Guards against bodies that exhaust the memory of either side.
TEST_CASE("JsonHttp, refuses a body when it exceeds the limit")
{
    Setup setup([](const JsonHttpRequest&) -> kj::Promise<JsonHttpResponse> {
        return JsonHttpResponse { 200, std::string(200, 'x') };
    });
    auto connection = setup.connect();
    CHECK(setup.call(*connection, std::string(101, 'x')).status == 413);
    CHECK(setup.requests.empty());
    JsonHttpClientOptions options;
    options.bodyLimit = 100;
    auto limited = setup.connect(options);
    CHECK(setup.call(*limited, "1").error == ErrorCode::BodyTooLarge);
    CHECK_FALSE(limited->usable());
}

// Guards against a second use of a connection whose late answer would be taken for the next one.
TEST_CASE("JsonHttp, makes the connection unusable when a call times out")
{
    Setup setup([](const JsonHttpRequest&) -> kj::Promise<JsonHttpResponse> { return kj::NEVER_DONE; });
    auto connection = setup.connect();
    const auto late = setup.call(*connection, "1", 5ms);
    CHECK(late.error == ErrorCode::DeadlineExceeded);
    CHECK(late.sent);
    const auto after = setup.call(*connection, "1");
    CHECK(after.error == ErrorCode::EndpointUnreachable);
    CHECK_FALSE(after.sent);
    connection = nullptr;
    setup.until([&] { return !setup.closed.empty(); });
    CHECK(setup.server->connections() == 0);
}

// Guards against overlapping calls that kj-http rejects, and against a wait that spoils the connection.
TEST_CASE("JsonHttp, sends a call after the earlier one when calls overlap")
{
    kj::Maybe<kj::ForkedPromise<void>> gate;
    Setup setup([&](const JsonHttpRequest& request) {
        return KJ_ASSERT_NONNULL(gate).addBranch().then([body = request.body] {
            return JsonHttpResponse { 200, body };
        });
    });
    auto pair = kj::newPromiseAndFulfiller<void>();
    gate = pair.promise.fork();
    KJ_DEFER(gate = nullptr);
    auto connection = setup.connect();
    auto first = connection->call(kj::HttpMethod::POST, "/p", "1", 10s);
    auto second = connection->call(kj::HttpMethod::POST, "/p", "2", 10s);
    const auto late = setup.call(*connection, "3", 5ms);
    CHECK(late.error == ErrorCode::DeadlineExceeded);
    CHECK_FALSE(late.sent);
    CHECK(connection->usable());
    CHECK(setup.requests.size() == 1);
    pair.fulfiller->fulfill();
    CHECK(first.wait(setup.io.waitScope).body == "1");
    CHECK(second.wait(setup.io.waitScope).body == "2");
    {
        auto dropped = connection->call(kj::HttpMethod::POST, "/p", "4", 10s);
    }
    CHECK_FALSE(connection->usable());
}

// Guards against a request that is sent again by the client on its own.
TEST_CASE("JsonHttp, reports a failed call when the server closes the connection without an answer")
{
    Setup setup(
        [](const JsonHttpRequest&) -> kj::Promise<JsonHttpResponse> { return KJ_EXCEPTION(DISCONNECTED, "closed"); });
    auto connection = setup.connect();
    const auto reply = setup.call(*connection, "1");
    CHECK(reply.error == ErrorCode::EndpointUnreachable);
    CHECK(reply.sent);
    CHECK_FALSE(connection->usable());
    CHECK(setup.requests.size() == 1);
}

// Guards against an exception in place of an error value when nothing listens.
TEST_CASE("JsonHttp, reports an error when it cannot connect or listen")
{
    Setup setup(echo);
    const auto port = setup.server->port();
    JsonHttpServerOptions options;
    options.port = port;
    CHECK_FALSE(JsonHttpServer::listen(setup.network, setup.timer, options, echo).error.empty());
    options.address = "localhost";
    CHECK_FALSE(JsonHttpServer::listen(setup.network, setup.timer, options, echo).error.empty());
    setup.server = nullptr;
    const auto connected = connectJsonHttp(setup.network, setup.timer, "127.0.0.1:" + std::to_string(port), 10s, {})
                               .wait(setup.io.waitScope);
    CHECK(connected.error == ErrorCode::EndpointUnreachable);
}
