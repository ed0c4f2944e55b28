#pragma once

#include "base/socket_address.h"
#include "connection/client_session.h"
#include "connection/session_end.h"
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
    std::function<void(const SessionEnd&)> ended;
    // How long a session start may wait for the first configuration.
    std::function<Duration()> startHold;
    // Whether this daemon can serve no group at present. May be null.
    std::function<bool()> servesNothing;
    OperationGate gate;
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
    // Ends sessions as they become idle. Connections that still arrive are served for one operation, since the balancer
    // needs time to notice that this daemon is not ready.
    //
    // A session ends with an error line that answers no statement, after which the client closes it. A statement that
    // crosses the line has its answer in it, did not run, and is completed by a ready line. Closing the connection
    // instead would cut statements that are on their way.
    void closeIdleSessions();
    // Rolls back transactions that wait for their client's next statement.
    void abortTransactions(const std::string& reason);
    // Refuses at once what is not accepted any more, in all sessions.
    void accept(StatementAcceptance accepted) { this->acceptance = accepted; }
    // Answers all statements under way as if the timeouts of their routes had been reached.
    void expireStatements();
    // Starts the sessions that wait for the first configuration, those that have waited longest first.
    void startHeldSessions();
    // Ends the sessions whose keys the configuration in force has revoked.
    void checkKeys();
    // Sets how many sessions may be open. Sessions beyond the limit go on.
    void setMaxSessions(std::size_t limit) { this->maxSessions = limit; }
    // Stops accepting connections.
    void stopAccepting();

    // Ends what is left because the process ends.
    void closeAll();

    [[nodiscard]] std::size_t sessions() const { return this->links.size(); }
    // Port that was opened.
    [[nodiscard]] std::uint16_t port() const { return this->listener.port(); }

    // Time that a client has to close a session that was ended.
    static constexpr Duration endLimit = std::chrono::milliseconds(1000);
    // Connections beyond the limit of sessions that are accepted only to be told so.
    static constexpr std::size_t refusalRoom = 64;

private:
    struct Link {
        std::shared_ptr<LineSocket> socket;
        std::unique_ptr<ClientSession> session;
        std::string peer;
        // Session start that waits for the first configuration.
        std::optional<SessionStart> heldStart;
        // Whether the client has been told that the session ends.
        bool ending = false;
    };

    void add(asio::ip::tcp::socket socket);
    bool onLine(std::uint64_t id, std::string_view line);
    bool startSession(std::uint64_t id, Link& link, const SessionStart& start);
    bool checkStart(std::uint64_t id, Link& link, const RouteTable& table, const SessionStart& start);
    bool onLineAfterEnd(std::uint64_t id, Link& link, const platform::ClientLine& line);
    bool holdStart(std::uint64_t id, Link& link, const SessionStart& start);
    bool refuseStart(std::uint64_t id, Link& link, ReplyCode code, const std::string& text, SessionEndReason reason);
    void endSession(std::uint64_t id);
    void remove(std::uint64_t id, SessionEndReason reason, bool afterWrites);

    asio::io_context& context;
    TimerService& timers;
    SessionServerHooks hooks;
    std::size_t maxSessions;
    SocketListener listener;
    std::unordered_map<std::uint64_t, Link> links;
    std::uint64_t lastId = 0;
    bool closing = false;
    StatementAcceptance acceptance = StatementAcceptance::All;
};

} // namespace endivetrestle
