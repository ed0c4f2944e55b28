#pragma once

#include "base/clock.h"
#include "edge/line_socket.h"
#include "soak/audit.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivetrestle::soak {

class StandinGroup;

// One member of a stand-in group: speaks the line protocol of the platform's members on a loopback port. It runs the
// requests of one connection one after another.
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
    // Starts again and holds nothing of before.
    void restartEmpty();

    [[nodiscard]] std::uint16_t port() const { return this->boundPort; }
    // Whether reads see the position.
    [[nodiscard]] bool contains(const Position& position) const;
    // Whether the log has the position.
    [[nodiscard]] bool holds(const Position& position) const;
    [[nodiscard]] Position applied() const { return this->positionAt(this->appliedCount); }
    [[nodiscard]] Position received() const { return this->positionAt(this->log.size()); }

    std::string id;
    bool up = true;
    bool primary = false;
    std::uint64_t term = 1;
    // Receives nothing from the primary.
    bool deaf = false;
    // Time after its commit until it receives a record, if it is not that of its group.
    std::optional<Duration> receivesAfter;
    // Most records that it receives every few milliseconds.
    std::size_t recordsPerTick = std::numeric_limits<std::size_t>::max() / 2;
    // Probability that an answer is lost after the statement ran.
    double loseAnswers = 0;
    // Probability that an answer of any kind is sent again, byte for byte, some time after the first one.
    double answerTwice = 0;
    // Probability that a command that changes the state of a connection is answered as failed. Half of these commands
    // take effect.
    double failCommands = 0.005;
    std::vector<Record> log;
    // Records that reads see.
    std::size_t appliedCount = 0;

private:
    struct Connection {
        std::shared_ptr<LineSocket> socket;
        std::map<std::string, std::string> values;
        std::map<std::string, PreparedShape> prepared;
        bool started = false;
        // Transaction that is open, unique among all members; empty if none is.
        std::string transaction;
        // Whether the transaction may write.
        bool plain = false;
        std::vector<std::string> writes;
        // Requests that have not run, the one under way first.
        std::deque<std::string> requests;
    };

    // standin_member.cc
    [[nodiscard]] std::size_t startedConnections() const;
    void listen();
    void accept();
    bool onLine(std::uint64_t connection, std::string_view line);
    bool onStartup(std::uint64_t connection, std::string fields);
    void runNextLater(std::uint64_t connection);
    void runNext(std::uint64_t connection);
    void replyWhenReplicated(std::uint64_t connection, const std::string& bytes, const Position& position);
    void endRequest(std::uint64_t connection);
    void reply(std::uint64_t connection, const std::string& bytes);
    [[nodiscard]] std::string ready(const Connection& connection) const;
    [[nodiscard]] Position positionAt(std::size_t count) const;
    [[nodiscard]] bool happens(double probability);

    // standin_member_statements.cc
    std::string answer(Connection& connection, const std::string& queryId, std::string text, bool& ran);
    std::optional<std::string> answerStateCommand(Connection& connection, const std::string& text);
    std::optional<std::string> answerControl(const std::string& text);
    std::optional<std::string> answerTransactionCommand(Connection& connection, const std::string& text);
    std::string answerStatement(Connection& connection, const std::string& queryId, const std::string& text, bool& ran);
    std::string commit(Connection& connection, const std::string& queryId, bool& ran);
    std::string recordRun(const Connection& connection, StatementRun run);
    [[nodiscard]] std::vector<std::string> makeRows(const std::string& signature);
    [[nodiscard]] std::string statusAnswer() const;
    void append(const std::vector<std::string>& writes);

    asio::io_context& context;
    StandinGroup& group;
    // Keeps the port while the member is down.
    asio::ip::tcp::socket reservation;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort = 0;
    std::map<std::uint64_t, Connection> connections;
    std::uint64_t lastConnection = 0;
    std::uint64_t lastTransaction = 0;
    std::uint64_t lastRun = 0;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

// Takes the next field off the front of a text.
std::string takeWord(std::string& text);
// Position as the line protocol writes it.
std::string toDotted(const Position& position);

} // namespace endivetrestle::soak
