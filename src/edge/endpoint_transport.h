#pragma once

#include "base/clock.h"
#include "edge/line_socket.h"
#include "platform/line_codec.h"
#include "process/endpoint_directory.h"
#include "request/scheduled_statement.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace endivetrestle {

// Input that connections to endpoints deliver.
struct EndpointInput {
    // The endpoint's host has accepted the connection. May be null.
    std::function<void(ConnectionId)> connected;
    std::function<void(ConnectionId, const std::optional<Position>&)> opened;
    std::function<void(ConnectionId, const EndpointAnswer&)> answered;
    std::function<void(ConnectionId)> closed;
    // The endpoint refused the session because it has too many.
    std::function<void(ConnectionId)> full;
};

// Connections to the endpoints of one group: sockets, session start and the decoding of answers.
class EndpointTransport {
public:
    EndpointTransport(asio::io_context& context, EndpointInput input);
    ~EndpointTransport();
    EndpointTransport(const EndpointTransport&) = delete;
    EndpointTransport& operator=(const EndpointTransport&) = delete;

    void open(ConnectionId id, const EndpointRecord& record, const WorkspaceId& workspace);
    // Sends a command, which is answered or followed by the loss of the connection.
    void send(ConnectionId id, const EndpointCommand& command);
    void close(ConnectionId id);

private:
    struct Link {
        EndpointId endpoint;
        std::shared_ptr<LineSocket> socket;
        platform::AnswerParser parser;
        bool started = false;
    };

    bool onLine(ConnectionId id, std::string_view line);
    void onLost(ConnectionId id);
    void write(ConnectionId id, const std::optional<std::string>& line);

    asio::io_context& context;
    EndpointInput input;
    std::unordered_map<ConnectionId, Link> links;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle
