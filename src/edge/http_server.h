#pragma once

#include "base/clock.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle {

// One HTTP request as the handlers see it. Header values are empty if the header is missing.
struct HttpRequest {
    std::string method;
    // Path without the query.
    std::string path;
    std::string query;
    // Value of Authorization.
    std::string authorization;
    // Value of Endivetrestle-Session.
    std::string session;
    // Value of Endivetrestle-Request-Id.
    std::string requestId;
    std::string body;
    // All headers by name as sent; of several with one name the last one.
    std::map<std::string, std::string> headers;

    bool operator==(const HttpRequest&) const = default;
};

// Answer to an HTTP request.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    bool operator==(const HttpResponse&) const = default;
};

// Limits and addresses of a server.
struct HttpServerSettings {
    std::string address = "127.0.0.1";
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
    // Threads of the worker pool.
    unsigned workers = 2;
    // Longest accepted body in bytes.
    std::size_t bodyLimit = 1U << 20U;
    // Most connections at once.
    std::size_t connectionLimit = 10000;
    // Time without a request after which a connection is closed.
    Duration idleTimeout = std::chrono::seconds(60);

    bool operator==(const HttpServerSettings&) const = default;
};

// HTTP/1.1 server on a pool of worker threads. The handler runs on a worker and may answer later from any thread; it
// must answer exactly once. A request that is not valid HTTP, or whose body is longer than the limit, gets a JSON error
// with code bad_request and the connection is closed; other connections are not affected.
//
// Example:
//     HttpServer server(settings, [](HttpRequest request, HttpServer::Answer answer) { answer({ 200 }); });
//     server.drain(std::chrono::seconds(10));
class HttpServer {
public:
    using Answer = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Answer)>;

    // Opens the port and starts the workers. Throws std::exception if the port cannot be opened.
    HttpServer(const HttpServerSettings& settings, Handler handler);
    // Serves on an event loop that the caller runs; settings.workers is not used. Throws like the constructor above.
    HttpServer(asio::io_context& loop, const HttpServerSettings& settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    // Open connections.
    [[nodiscard]] std::size_t connections() const;

    // Requests that have been received and not yet answered.
    [[nodiscard]] std::size_t inFlight() const;

    // Stops accepting connections and asks clients to close theirs with each further answer; waits until no request is
    // in flight, at most for the given time. Returns whether every request was answered.
    bool drain(Duration limit);

    // Ends the workers and closes every connection.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace endivetrestle
