#include "edge/http_server.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

std::string readAll(asio::ip::tcp::socket& socket)
{
    std::string text;
    std::error_code error;
    std::array<char, 4096> buffer {};
    while (!error) {
        const auto length = socket.read_some(asio::buffer(buffer), error);
        text.append(buffer.data(), length);
    }
    return text;
}

// Sends bytes on a new connection and returns everything until the server closes.
std::string exchange(std::uint16_t port, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    std::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return readAll(socket);
}

HttpServer::Handler echo()
{
    return [](HttpRequest request, HttpServer::Answer answer) {
        answer({ 200, "text/plain", request.method + " " + request.path + " " + request.body, {} });
    };
}

} // namespace

// Guards against header or body fields that are lost on the way to the handler.
TEST_CASE("HttpServer, passes method, path and body to the handler when a request arrives")
{
    HttpServer server({}, echo());
    const auto answer = exchange(
        server.port(), "POST /a?b=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
    CAPTURE(answer);
    CHECK(answer.find("POST /a abc") != std::string::npos);
}

// Guards against a connection that is closed without telling the caller why.
TEST_CASE("HttpServer, answers with an error when the body is longer than the limit")
{
    HttpServerSettings settings;
    settings.bodyLimit = 1000;
    HttpServer server(settings, echo());
    const auto answer = exchange(server.port(), "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1073741824\r\n\r\nabc");
    CAPTURE(answer);
    CHECK(answer.find("400 Bad Request") != std::string::npos);
    CHECK(answer.find("bad_request") != std::string::npos);
}

// Guards against a connection that is closed without telling the caller why.
TEST_CASE("HttpServer, answers with an error when the request is not HTTP")
{
    HttpServer server({}, echo());
    const auto answer = exchange(server.port(), "hello there\r\n\r\n");
    CAPTURE(answer);
    CHECK(answer.find("bad_request") != std::string::npos);
}

// Guards against a shutdown that cuts requests in flight.
TEST_CASE("HttpServer, answers requests in flight when it is drained")
{
    std::mutex mutex;
    std::vector<HttpServer::Answer> held;
    HttpServer server({}, [&](HttpRequest, HttpServer::Answer answer) {
        std::lock_guard lock(mutex);
        held.push_back(std::move(answer));
    });
    constexpr int requests = 20;
    std::vector<std::thread> callers;
    std::atomic<int> answered = 0;
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([&] {
            const auto answer = exchange(server.port(), "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            answered += answer.find("200") != std::string::npos ? 1 : 0;
        });
    }
    while (server.inFlight() < requests)
        std::this_thread::yield();
    std::thread drainer([&] { CHECK(server.drain(30s)); });
    {
        std::lock_guard lock(mutex);
        for (auto& answer : held)
            answer({ 200, "text/plain", "done", {} });
    }
    drainer.join();
    for (auto& caller : callers)
        caller.join();
    CHECK(answered == requests);
}
