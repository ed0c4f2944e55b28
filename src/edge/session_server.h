#pragma once

#include "base/socket_address.h"
#include "connection/client_session.h"
#include "edge/line_socket.h"
#include "edge/socket_listener.h"
#include "platform/line_codec.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace endivetrestle {

// What the server needs to serve a session.
struct SessionServerHooks {
    std::function<Time()> now;
    std::function<std::shared_ptr<const RouteTable>()> routes;
    std::function<StatementRunner*(const DatabaseId&)> runner;
    std::function<void(const StatementRecord&)> record;
};

// Accepts client connections and connects their lines to client sessions.
class SessionServer {
public:
    SessionServer(asio::io_context& context, TimerService& timers, SessionServerHooks hooks, std::size_t maxSessions);
    ~SessionServer();
    SessionServer(const SessionServer&) = delete;
    SessionServer& operator=(const SessionServer&) = delete;

    // Opens the port. Throws std::system_error if it cannot be opened.
    void listen(const SocketAddress& address);
    // Ends sessions as they become idle. Connections that still arrive are served, since the balancer needs time to
    // notice that this daemon is not ready.
    void closeIdleSessions();
    // Rolls back transactions that wait for their client's next statement.
    void abortTransactions(const std::string& reason);
    // Stops accepting connections.
    void stopAccepting();

    [[nodiscard]] std::size_t sessions() const { return this->links.size(); }

private:
    struct Link {
        std::shared_ptr<LineSocket> socket;
        std::unique_ptr<ClientSession> session;
    };

    void add(asio::ip::tcp::socket socket);
    bool onLine(std::uint64_t id, std::string_view line);
    bool startSession(std::uint64_t id, Link& link, const std::string& databaseName);
    void remove(std::uint64_t id, bool afterWrites);

    asio::io_context& context;
    TimerService& timers;
    SessionServerHooks hooks;
    std::size_t maxSessions;
    SocketListener listener;
    std::unordered_map<std::uint64_t, Link> links;
    std::uint64_t lastId = 0;
    bool closing = false;
};

} // namespace endivetrestle
