#pragma once

#include "edge/line_socket.h"
#include "soak/audit.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// Database that a client uses, and what its route promises.
struct ClientRoute {
    std::string database;
    // Empty if the route moves between groups.
    std::string group;
    // Age bound of reads; none on routes whose reads see everything.
    std::optional<Duration> maxStaleness;
    bool readsOwnWrites = false;
};

// Counts of clients.
struct ClientCounts {
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
};

// One client that runs statements and transactions on a session, reconnects when the session ends, and reports what it
// saw to the audit.
class SoakClient {
public:
    SoakClient(asio::io_context& context, std::mt19937_64& random, Audit& audit, ClientCounts& counts, std::string name,
        ClientRoute route, std::function<asio::ip::tcp::endpoint()> pickDaemon);
    ~SoakClient();
    SoakClient(const SoakClient&) = delete;
    SoakClient& operator=(const SoakClient&) = delete;

    void start();
    void stop();

    [[nodiscard]] const ClientRoute& usedRoute() const { return this->route; }
    // Statements of this client, by how they ended: writes, commits and all statements of routes that need the primary
    // on one side, all others on the other side.
    [[nodiscard]] const ClientCounts& primaryCounts() const { return this->atPrimary; }
    [[nodiscard]] const ClientCounts& readCounts() const { return this->reads; }

private:
    enum class Expect { Startup, Begin, Read, Write, Commit, Rollback, SetValue, Prepare };

    void connect();
    void reconnectLater();
    bool onLine(std::string_view line);
    void onReady(const std::string& state);
    void nextOperation();
    // Sends a statement; an EXECUTE with the shape that was prepared under its name.
    void send(Expect expected, const std::string& text, const std::optional<PreparedShape>& shape = std::nullopt);
    void sendData(bool write);
    void sendSetValue();
    void sendPrepare();
    // Name under which a statement that writes, or one that reads, is prepared, if there is one.
    [[nodiscard]] std::optional<std::string> preparedName(bool writes) const;
    void onFailure(const std::string& state);
    void onSuccess();
    void onCommitted(const std::vector<std::string>& writes);
    void armTimeout();
    // Counts of the kind to which the present statement belongs.
    [[nodiscard]] ClientCounts& presentCounts();

    asio::io_context& context;
    std::mt19937_64& random;
    Audit& audit;
    // Counts of all clients of the run.
    ClientCounts& counts;
    ClientCounts atPrimary;
    ClientCounts reads;
    std::string name;
    ClientRoute route;
    std::function<asio::ip::tcp::endpoint()> pickDaemon;
    std::shared_ptr<LineSocket> socket;
    asio::steady_timer timer;
    asio::steady_timer timeout;
    bool stopped = false;
    Expect expected = Expect::Startup;
    // Whether the daemon owes an answer.
    bool outstanding = false;
    std::string currentId;
    std::uint64_t statements = 0;
    // Parts of the answer that have arrived.
    std::vector<std::string> rows;
    std::string signature;
    std::string errorCode;
    bool inTransaction = false;
    // Number of the latest transaction.
    std::uint64_t transactions = 0;
    int transactionLeft = 0;
    std::vector<std::string> transactionWrites;
    std::map<std::string, std::string> values;
    std::pair<std::string, std::string> pendingValue;
    std::map<std::string, PreparedShape> prepared;
    std::pair<std::string, PreparedShape> pendingPrepare;
    // Last acknowledged write of the session in each group.
    std::map<std::string, Position> ownWrites;
};

} // namespace endivetrestle::soak
