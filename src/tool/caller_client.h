#pragma once

#include "tool/caller_message.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// HTTP client for the callers' and operators' interfaces on a kj event loop. Keeps connections open and sends one
// request at a time over each, so a slow answer does not delay other requests. All functions must be called on the
// loop's thread, and the client must outlive the promises.
//
// Example:
//     auto io = kj::setupAsyncIo();
//     CallerClient client(*io.provider, { *parseDaemonAddress("127.0.0.1:8080") }, callerKey);
//     auto answer = client.send(0, call).wait(io.waitScope);
class CallerClient {
public:
    // Addresses must be IP addresses; names are not resolved. The key is sent as a bearer token.
    CallerClient(kj::AsyncIoProvider& provider, std::vector<DaemonAddress> daemons, std::string key);
    ~CallerClient();
    CallerClient(const CallerClient&) = delete;
    CallerClient& operator=(const CallerClient&) = delete;

    // Sends a call to the daemon with the given index and never fails: if no connection could be opened the answer is
    // "did not run" with endpoint_unreachable; if the connection broke afterwards it is "unknown" with the same code;
    // without an answer 1 s after the call's deadline it is "unknown" with deadline_exceeded.
    kj::Promise<CallerAnswer> send(std::size_t daemon, CallerCall call);

    // Response to fetch(). Status 0 means that none was received; the body then holds the reason.
    struct Response {
        int status = 0;
        std::string body;
        // Value of Endivetrestle-Session.
        std::string session;
        // False only if nothing was sent.
        bool sent = false;
    };

    // Sends any request with the bearer token. An empty body is not sent. Never fails.
    kj::Promise<Response> fetch(std::size_t daemon, kj::HttpMethod method, std::string path, std::string body);

    [[nodiscard]] std::size_t daemonCount() const { return this->daemons.size(); }

private:
    struct Connection;
    struct Message {
        kj::HttpMethod method = kj::HttpMethod::GET;
        std::string path;
        std::string body;
        std::string session;
        std::string requestId;
    };

    kj::Promise<Response> exchange(std::size_t daemon, Message message);
    kj::Promise<Response> exchangeOnNew(std::size_t daemon, Message message);
    kj::Maybe<kj::Promise<Response>> start(std::size_t daemon, kj::Own<Connection>& connection, const Message& message);
    kj::Promise<Response> readResponse(
        std::size_t daemon, kj::Own<Connection> connection, kj::HttpClient::Response&& response);
    [[nodiscard]] kj::HttpHeaders headersOf(std::size_t daemon, const Message& message) const;

    kj::AsyncIoProvider& provider;
    kj::Timer& timer;
    std::vector<DaemonAddress> daemons;
    std::string authorization;
    kj::HttpHeaderId authorizationHeader;
    kj::HttpHeaderId sessionHeader;
    kj::HttpHeaderId requestIdHeader;
    kj::Own<kj::HttpHeaderTable> headerTable;
    std::vector<kj::Vector<kj::Own<Connection>>> idle;
};

} // namespace endivetrestle
