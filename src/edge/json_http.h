#pragma once

#include "base/clock.h"
#include "base/outcome.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/refcount.h>
#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace endivetrestle {

// Largest body that a server or client of this file accepts unless its options say otherwise, in bytes.
constexpr std::size_t defaultBodyLimit = std::size_t { 1 } << 20;

// One request as a server receives it.
struct JsonHttpRequest {
    // Number of the connection, unique for the lifetime of the server.
    std::uint64_t connection = 0;
    kj::HttpMethod method = kj::HttpMethod::POST;
    std::string path;
    // Body text. Empty if there is none; not yet parsed.
    std::string body;
    // Values of the headers Endivetrestle-Daemon and Endivetrestle-Data-Centre. A client sends them with the first
    // request of a connection only, and they hold for the rest of that connection.
    std::string daemon;
    std::string dataCentre;
};

// Status and JSON text that answer a request.
struct JsonHttpResponse {
    unsigned status = 200;
    std::string body;
};

// Answers one request. A promise that fails with a DISCONNECTED exception closes the connection without an answer; any
// other failure answers with status 500.
using JsonHttpHandler = std::function<kj::Promise<JsonHttpResponse>(JsonHttpRequest)>;

struct JsonHttpServerOptions {
    // IPv4 or IPv6 address to listen at.
    std::string address = "127.0.0.1";
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
    // A larger body is answered with status 413 and the connection is closed.
    std::size_t bodyLimit = defaultBodyLimit;
    // Called after a connection has ended. Not called for connections that the server's destructor closes.
    std::function<void(std::uint64_t connection)> onClosed;
};

// HTTP/1.1 server for small JSON bodies. Runs on the event loop of the thread that created it. Notices within 20 ms
// that a client has closed its connection while its request is being handled, and then drops that request's promise.
//
// Example:
//     auto listening = JsonHttpServer::listen(network, timer, {}, [](JsonHttpRequest request) {
//         return kj::Promise<JsonHttpResponse>(JsonHttpResponse { 200, "{}" });
//     });
//     connectTo(listening.server->port());
class JsonHttpServer {
public:
    // Result of listen(): no server and a description of the error if the address cannot be used.
    struct Listening {
        kj::Own<JsonHttpServer> server;
        std::string error;
    };

    // Opens the listening socket and starts to accept. The network and the timer must outlive the server.
    static Listening listen(
        kj::Network& network, kj::Timer& timer, JsonHttpServerOptions options, JsonHttpHandler handler);

    // Closes the listening socket and all connections, and drops the promises of requests in flight. Must not be called
    // by this server's own handler.
    virtual ~JsonHttpServer() noexcept(false) = default;

    // Port that the server listens at.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    // Number of open connections.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    // Closes the connections for which the predicate holds. Must not be called by this server's own handler.
    virtual void closeConnections(const std::function<bool(std::uint64_t connection)>& predicate) = 0;
};

// Answer of one call, or the reason for which there is none.
struct JsonHttpReply {
    // None: an HTTP answer of any status arrived. DeadlineExceeded: no answer within the timeout. BodyTooLarge: the
    // answer exceeds the limit. EndpointUnreachable: the connection failed.
    ErrorCode error = ErrorCode::None;
    unsigned status = 0;
    std::string body;
    std::string detail;
    // False only if it is certain that no part of the request was handed to the socket.
    bool sent = true;
};

struct JsonHttpClientOptions {
    // Sent with the first request of the connection; empty values are left out.
    std::string daemon;
    std::string dataCentre;
    std::size_t bodyLimit = defaultBodyLimit;
};

// Client bound to one TCP connection. Never reconnects and never sends anything twice. After any error the connection
// is unusable and every later call fails at once with sent == false. A call made while another one is in flight waits
// for it; if its timeout ends before its turn it fails with sent == false and the connection stays usable. Dropping the
// promise of a call in flight makes the connection unusable. The connection may be released while calls are in flight;
// it closes after the last of them.
class JsonHttpConnection : public kj::Refcounted {
public:
    JsonHttpConnection(kj::Own<kj::AsyncIoStream> stream, kj::Timer& timer, JsonHttpClientOptions options);

    // Sends a request with a JSON body and waits for its answer. An empty body sends none. The path must outlive the
    // call. The promise never fails.
    kj::Promise<JsonHttpReply> call(kj::HttpMethod method, kj::StringPtr path, std::string body, Duration timeout);

    // Whether another call may be made.
    [[nodiscard]] bool usable() const { return this->failure.empty(); }

    // Makes the connection unusable, for example after an answer that does not match its call.
    void markBroken(std::string reason);

private:
    // Lasts from the start of a call to the end of its promise.
    struct Turn {
        explicit Turn(JsonHttpConnection& connection)
            : connection(connection)
        {
        }
        KJ_DISALLOW_COPY(Turn);
        ~Turn() noexcept(false);

        JsonHttpConnection& connection;
        bool answered = false;
    };

    kj::Promise<kj::HttpClient::Response> send(kj::HttpMethod method, kj::StringPtr path, std::string body);
    kj::Promise<JsonHttpReply> exchange(kj::HttpMethod method, kj::StringPtr path, std::string body);
    kj::Promise<JsonHttpReply> callLater(kj::HttpMethod method, kj::StringPtr path, std::string body, Duration timeout);
    kj::Promise<JsonHttpReply> readReply(kj::HttpClient::Response& response);
    kj::HttpHeaders takeHeaders();

    kj::Own<kj::AsyncIoStream> stream;
    kj::Timer& timer;
    JsonHttpClientOptions options;
    kj::Own<kj::HttpClient> client;
    bool introduced = false;
    bool busy = false;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
    std::string failure;
};

// Result of connectJsonHttp(): the connection, or EndpointUnreachable or DeadlineExceeded.
struct JsonHttpConnect {
    ErrorCode error = ErrorCode::None;
    std::string detail;
    kj::Own<JsonHttpConnection> connection;
};

// Opens a TCP connection to "address:port"; the address must be numeric. The promise never fails.
kj::Promise<JsonHttpConnect> connectJsonHttp(
    kj::Network& network, kj::Timer& timer, std::string address, Duration timeout, JsonHttpClientOptions options);

} // namespace endivetrestle
