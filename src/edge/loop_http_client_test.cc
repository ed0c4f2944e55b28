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
    HttpAnswer call(HttpAnswerMatch match = HttpAnswerMatch::Proven, Duration timeout = 1s)
    {
        HttpCall call;
        call.target = "/";
        call.match = [match](const HttpAnswer&) { return match; };
        std::optional<HttpAnswer> result;
        this->client.send(call, timeout, [&](const HttpAnswer& answer) { result = answer; });
        while (!result)
            this->context.run_one();
        return *result;
    }

    asio::io_context context;
    ScriptedHttpServer server;
    LoopHttpClient client;
};

} // namespace

// Guards against a call that gets the answer of the call before, because that one was answered twice.
TEST_CASE("LoopHttpClient, uses another connection when a second answer has arrived before the next call")
{
    const bool atOnce = GENERATE(true, false);
    ScriptedFixture fixture([atOnce](int number, const std::string&) -> std::vector<ScriptedBytes> {
        if (number > 1)
            return { { httpResponse(200, "second") } };
        const auto answer = httpResponse(200, "first");
        if (atOnce)
            return { { answer + answer } };
        return { { answer }, { answer, 10ms } };
    });
    CHECK(fixture.call().body == "first");
    while (fixture.server.sent() < (atOnce ? 1 : 2))
        fixture.context.run_one();
    CHECK(fixture.call().body == "second");
    CHECK(fixture.server.connections() == 2);
}

// Guards against a change that counts as possibly done although its connection had been closed long before.
TEST_CASE("LoopHttpClient, uses another connection when the server has closed the one that was kept")
{
    asio::io_context context;
    HttpServerSettings settings;
    settings.idleTimeout = 20ms;
    HttpServer server(context, settings, [](const HttpRequest&, const HttpServer::Answer& answer) { answer({ 200 }); });
    LoopHttpClient client(context, SocketAddress { "127.0.0.1", server.port() });
    for (std::uint64_t round = 1; round <= 2; ++round) {
        std::optional<HttpAnswer> answer;
        HttpCall call;
        call.target = "/";
        call.match = [](const HttpAnswer&) { return HttpAnswerMatch::Proven; };
        client.send(call, 1s, [&](const HttpAnswer& received) { answer = received; });
        while (!answer)
            context.run_one();
        CHECK(answer->status == 200);
        CHECK(client.connectionsOpened() == round);
        context.run_for(1500ms);
    }
}

// Guards against a copy of an answer that arrives while the next call is outstanding.
TEST_CASE("LoopHttpClient, keeps a connection only when the answer is proven to belong to its call")
{
    const auto match = GENERATE(HttpAnswerMatch::Possible, HttpAnswerMatch::Proven);
    ScriptedFixture fixture([](int number, const std::string&) -> std::vector<ScriptedBytes> {
        return { { httpResponse(200, std::to_string(number)) } };
    });
    CHECK(fixture.call(match).body == "1");
    CHECK(fixture.call(match).body == "2");
    CHECK(fixture.server.connections() == (match == HttpAnswerMatch::Proven ? 1 : 2));
}

TEST_CASE("LoopHttpClient, reports no answer when the answer cannot belong to the call")
{
    ScriptedFixture fixture([](int, const std::string&) -> std::vector<ScriptedBytes> {
        return { { httpResponse(200, "of another call", "Store-Era: 3\r\n") } };
    });
    const auto answer = fixture.call(HttpAnswerMatch::Impossible);
    CHECK(answer.status == 0);
    CHECK(answer.mayHaveRun);
    CHECK(answer.body.empty());
    CHECK(answer.headers.empty());
    CHECK(fixture.call().body == "of another call");
    CHECK(fixture.server.connections() == 2);
}

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

// Guards against an answer that comes after its call was given up and is taken for that of the next call.
TEST_CASE("LoopHttpClient, drops an answer that arrives after the time-out of its call")
{
    ScriptedFixture fixture([](int number, const std::string&) -> std::vector<ScriptedBytes> {
        return { { httpResponse(200, std::to_string(number)), number == 1 ? 40ms : 80ms } };
    });
    const auto first = fixture.call(HttpAnswerMatch::Proven, 20ms);
    CHECK(first.status == 0);
    CHECK(first.mayHaveRun);
    CHECK(fixture.call().body == "2");
}
