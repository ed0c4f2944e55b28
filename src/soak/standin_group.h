#pragma once

#include "base/clock.h"
#include "edge/line_socket.h"
#include "soak/audit.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endivetrestle::soak {

// Row that an endpoint returns for a statement. It contains a line feed, behind which it looks like the end of an
// answer.
std::string rowOf(const std::string& queryId);

class StandinGroup;

// One member of a stand-in group: speaks the line protocol of the platform's members on a loopback port.
class StandinMember {
public:
    struct Record {
        Position position;
        std::vector<std::string> writes;
        Time committedAt;
    };

    StandinMember(asio::io_context& context, StandinGroup& group, std::string id);
    ~StandinMember();
    StandinMember(const StandinMember&) = delete;
    StandinMember& operator=(const StandinMember&) = delete;

    // Closes all connections and the port; the log stays.
    void crash();
    void restart();

    [[nodiscard]] std::uint16_t port() const { return this->boundPort; }
    [[nodiscard]] bool contains(const Position& position) const;
    [[nodiscard]] Position applied() const { return this->positionAt(this->appliedCount); }
    [[nodiscard]] Position received() const { return this->positionAt(this->log.size()); }

    std::string id;
    bool up = true;
    bool primary = false;
    std::uint64_t term = 1;
    // Receives nothing from the primary.
    bool deaf = false;
    // Probability that an answer is lost after the statement ran.
    double loseAnswers = 0;
    std::vector<Record> log;
    // Records that reads see.
    std::size_t appliedCount = 0;

private:
    struct Connection {
        std::shared_ptr<LineSocket> socket;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared;
        bool started = false;
        bool inTransaction = false;
        bool plain = false;
        std::vector<std::string> writes;
    };

    [[nodiscard]] std::size_t startedConnections() const;
    void listen();
    void accept();
    bool onLine(std::uint64_t connection, std::string_view line);
    void run(std::uint64_t connection, const std::string& queryId, std::string text);
    std::string answer(Connection& connection, const std::string& queryId, std::string text, bool& ran);
    std::string answerStatement(Connection& connection, const std::string& queryId, const std::string& text, bool& ran);
    std::string commit(Connection& connection, const std::string& queryId);
    void append(const std::vector<std::string>& writes);
    [[nodiscard]] std::string ready(const Connection& connection) const;
    [[nodiscard]] Position positionAt(std::size_t count) const;

    asio::io_context& context;
    StandinGroup& group;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort = 0;
    std::map<std::uint64_t, Connection> connections;
    std::uint64_t lastConnection = 0;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

// A replicated group with asynchronous replication, terms and promotions.
class StandinGroup {
public:
    StandinGroup(asio::io_context& context, std::string name, Audit& audit, std::mt19937_64& random);

    // Starts a new member, which holds nothing at first.
    StandinMember& addMember(asio::io_context& context);
    // Makes the member lead the next term with what it has received.
    void promote(const std::string& id);
    // Moves records from the primary to the replicas; called every few milliseconds.
    void replicate();
    // The member that was promoted last, or null if it was demoted. A member of an earlier term that still takes itself
    // for the primary does not lead.
    StandinMember* leader();
    StandinMember* find(const std::string& id);

    std::string name;
    Audit& audit;
    std::mt19937_64& random;
    // Time after its commit until a replica receives a record.
    std::chrono::milliseconds replicationDelay { 40 };
    // Connections that each member accepts.
    std::size_t maxConnections = 32;
    std::vector<std::unique_ptr<StandinMember>> members;

private:
    StandinMember* lastPromoted = nullptr;
};

} // namespace endivetrestle::soak
