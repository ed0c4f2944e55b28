#pragma once

#include "record.hpp"
#include "store.hpp"

#include <asio.hpp>

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

struct Position {
    unsigned long term = 0;
    unsigned long number = 0;
    auto operator<=>(const Position&) const = default;
};

std::string toString(const Position& position);

// One commit in a log.
struct Commit {
    Position position;
    // Identifier of the statement that wrote, item and data.
    std::string id;
    std::string item;
    std::string data;
    Clock::time_point committedAt;
};

struct GroupSettings {
    std::string service;
    // Time by which replicas apply commits later than the primary makes them.
    std::chrono::milliseconds lag { 20 };
    std::chrono::milliseconds promoteTime { 300 };
    // Time that a read, write or commit runs.
    std::chrono::milliseconds work { 1 };
    int slots = 4;
    std::size_t maxConnections = 40;
};

class Group;

// One member: speaks the line protocol of the platform's members.
class Member {
public:
    Member(asio::io_context& context, Group& group, std::string id, const asio::ip::address& address, Record& record);

    // Number of commits that reads see now.
    [[nodiscard]] std::size_t applied() const;
    [[nodiscard]] Position position() const;
    [[nodiscard]] bool contains(const Position& wanted) const;
    [[nodiscard]] std::string address() const;
    void publish(Platform& platform);

    std::string id;
    bool primary = false;
    bool draining = false;
    unsigned long term = 1;
    // Commits received, in order.
    std::vector<Commit> log;

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        asio::ip::tcp::socket socket;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        bool inTransaction = false;
        bool plain = false;
        bool failed = false;
        std::vector<Commit> writes;
    };

    void accept();
    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<std::string> answer(Connection& connection, std::string queryId, std::string text);
    std::string runStatement(Connection& connection, const std::string& queryId, const std::string& text);
    std::string commit(Connection& connection, const std::string& queryId);
    void append(Commit commit);
    [[nodiscard]] std::string ready(const Connection& connection) const;

    asio::io_context& context;
    Group& group;
    Record& record;
    asio::ip::tcp::acceptor acceptor;
    std::size_t connections = 0;
    int running = 0;
    unsigned long signatures = 0;
};

// A primary and its replicas, with asynchronous replication and promotions.
class Group {
public:
    Group(asio::io_context& context, GroupSettings settings, const asio::ip::address& address, Record& record);

    // Handles POST /promote; returns the status of the answer.
    int promote(const std::string& id);
    [[nodiscard]] Member* find(const std::string& id);
    // The member that leads the highest term.
    [[nodiscard]] Member* leader();
    void publish(Platform& platform);

    GroupSettings settings;
    std::vector<std::unique_ptr<Member>> members;
    // Identifiers of the statements that ran at a member.
    std::set<std::string> ran;

private:
    void replicate();
    void tick();

    asio::io_context& context;
    Record& record;
    asio::steady_timer ticker;
    std::map<std::string, std::string> published;
    Platform* platform = nullptr;
};

} // namespace review
