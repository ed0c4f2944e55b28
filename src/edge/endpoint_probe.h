#pragma once

#include "base/timer_service.h"
#include "edge/endpoint_transport.h"
#include "process/durability/commit_holders.h"

#include <functional>
#include <map>

namespace endivetrestle {

// Tests whether a process of an endpoint answers at an address, whether or not the endpoint is registered. Each test
// opens a connection of its own and closes it when the endpoint has answered the start of the session.
class EndpointProbe {
public:
    // Longest wait for an answer.
    static constexpr Duration timeout = std::chrono::milliseconds(400);

    EndpointProbe(asio::io_context& context, TimerService& timers);

    // The callback runs once, and only after the call has returned. It tells whether an endpoint of the holder's id
    // has answered; an answer that names another endpoint or group does not count.
    void ask(const DatabaseId& group, const CommitHolder& holder, Time now, std::function<void(bool alive)> callback);

private:
    struct Question {
        std::function<void(bool alive)> callback;
        TimerService::SubscriptionId timer = 0;
    };

    [[nodiscard]] EndpointInput makeInput();
    void end(ConnectionId id, bool alive);

    TimerService& timers;
    EndpointTransport transport;
    std::map<ConnectionId, Question> questions;
    ConnectionId lastId = 0;
};

} // namespace endivetrestle
