#include "edge/loop_http_client.h"

#include "edge/http_server.h"
#include "edge/scripted_http_server_test.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("LoopHttpClient, does not run the callback of a call when it is destroyed before the answer")
{
    // Guards against a daemon that ends by itself when it gives up a watch.
    asio::io_context context;
    HttpServer::Answer held;
    HttpServer server(context, {}, [&](const HttpRequest&, HttpServer::Answer answer) { held = std::move(answer); });
    auto client = std::make_unique<LoopHttpClient>(context, SocketAddress { "127.0.0.1", server.port() });
    int answers = 0;
    HttpCall call;
    call.target = "/watch";
    client->send(call, 10s, [&](const HttpAnswer&) { ++answers; });
    client->send(call, 10s, [&](const HttpAnswer&) { ++answers; });
    while (!held)
        context.run_one();
    client.reset();
    context.run_for(100ms);
    CHECK(answers == 0);
}

TEST_CASE("HttpAnswer, finds a header field whatever the case of its name")
{
    // Guards against an era of the store that is missed because a server writes the name of its header in another way.
    asio::io_context context;
    HttpServer server(context, {}, [&](const HttpRequest&, const HttpServer::Answer& answer) {
        answer({ 200, "application/json", "{}", { { "store-ERA", "17" }, { "Other", "x y" } } });
    });
    LoopHttpClient client(context, SocketAddress { "127.0.0.1", server.port() });
    HttpCall call;
    call.target = "/";
    std::vector<HttpAnswer> answers;
    for (int i = 0; i < 2; ++i)
        client.send(call, 10s, [&](const HttpAnswer& answer) { answers.push_back(answer); });
    while (answers.size() < 2)
        context.run_one();
    for (const auto& answer : answers) {
        CHECK(answer.header("Store-Era") == "17");
        CHECK(answer.header("other") == "x y");
        CHECK_FALSE(answer.header("Store"));
    }
}

namespace {

// A client with a server that sends what a script says.
struct ScriptedFixture {
    explicit ScriptedFixture(ScriptedHttpServer::Script script)
        : server(context, std::move(script))
        , client(context, server.address())
    {
    }

    // Runs a call to its end.
    HttpAnswer call()
    {
        std::optional<HttpAnswer> result;
        this->client.send({ "GET", "/", {}, "", std::nullopt }, 300ms, [&](const HttpAnswer& answer) { result = answer; });
        while (!result)
            this->context.run_one();
        return *result;
    }

    asio::io_context context;
    ScriptedHttpServer server;
    LoopHttpClient client;
};

} // namespace

// Guards against half an answer that is read as a whole one by callers that look at the body alone.
TEST_CASE("LoopHttpClient, reports no body when the answer is cut off before its end")
{
    ScriptedFixture fixture([](int, const std::string&) -> std::vector<ScriptedBytes> {
        return { { "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"done\":true}" } };
    });
    const auto answer = fixture.call();
    CHECK(answer.status == 0);
    CHECK(answer.body.empty());
}
