#pragma once

#include "base/clock.h"
#include "base/socket_address.h"

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivetrestle {

struct HttpAnswer;

// What an answer tells about the call that it belongs to. HTTP/1.1 numbers neither requests nor responses: a response
// that is sent twice, the second time while the next request is outstanding, looks like the answer to that request.
enum class HttpAnswerMatch {
    // The answer belongs to the call, and no later call on the connection will take a copy of it for its own.
    Proven,
    // The answer may belong to the call, but a copy of it could be taken for the answer to a later call.
    Possible,
    // The answer belongs to another call.
    Impossible,
};

// One outgoing HTTP request.
struct HttpCall {
    std::string method = "GET";
    // Path and query.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // Longest wait for the connection, if it is shorter than usual.
    std::optional<Duration> connectLimit;
    // Judges a complete answer. Without this hook, each answer counts as Possible.
    std::function<HttpAnswerMatch(const HttpAnswer&)> match;
};

// Answer to an outgoing request.
struct HttpAnswer {
    // Status code, or 0 if there was no complete answer.
    int status = 0;
    std::string body;
    // Names and values of the header fields, as they were sent.
    std::vector<std::pair<std::string, std::string>> headers;
    // Whether the request may have reached the server although there is no answer.
    bool mayHaveRun = false;
    // Number of the connection on which the answer arrived, counted from 1 by the client.
    std::uint64_t connection = 0;
    // Times at which the request was handed over and the answer was complete.
    Time sentAt;
    Time answeredAt;

    // Value of the first header field of a name, whose case does not matter; no value if there is none.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

// HTTP/1.1 client on the caller's event loop. It keeps one connection to one server and runs one request at a time;
// further requests wait in order. A request that is not answered within its time is given up and the connection is
// reset, so that bytes still under way are lost.
//
// No call is given the answer to another one. The connection is kept only after an answer that is proven to belong to
// its call, and only if no further bytes have arrived when the next request is written. An answer that cannot belong to
// its call counts as none: the request may have run.
class LoopHttpClient {
public:
    using Callback = std::function<void(const HttpAnswer&)>;

    LoopHttpClient(asio::io_context& context, SocketAddress server);
    ~LoopHttpClient();
    LoopHttpClient(const LoopHttpClient&) = delete;
    LoopHttpClient& operator=(const LoopHttpClient&) = delete;

    // Sends a request. The callback runs once, on the event loop, at the latest after the time-out. The time-out covers
    // the time in the queue.
    void send(HttpCall call, Duration timeout, Callback callback);

    // Sends later requests to another address. The request under way is finished first.
    void setServer(SocketAddress server);
    [[nodiscard]] const SocketAddress& server() const;

    // Connections opened so far.
    [[nodiscard]] std::uint64_t connectionsOpened() const;

private:
    class State;
    std::shared_ptr<State> state;
};

} // namespace endivetrestle
