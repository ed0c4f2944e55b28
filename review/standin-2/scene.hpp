#pragma once

#include "soak/standin_store.h"

#include <array>
#include <asio.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// A small deployment for the cases of the review: daemons as processes of their own, started with the command of the
// deploy file, and stand-ins of the platform's store, of the members of one service and of clients. All addresses are
// loopback addresses.
namespace review {

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// What was sent, answered and run, one line each, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

// A text with its control characters written as escapes, cut after some characters.
std::string printable(const std::string& text);

// One entry of a member's log: the term in which it was committed, and the writes that it holds.
struct Entry {
    std::uint64_t term = 1;
    std::vector<std::string> writes;
};

// One statement that a member has run.
struct Run {
    std::string member;
    std::string id;
    std::string text;
    // Session values of the connection at that moment.
    std::map<std::string, std::string> values;
};

class Service;

// One member of a service. A line ends with CR LF and with nothing else, as the page of the protocol says.
class Member {
public:
    Member(asio::io_context& context, Service& service, std::string id, bool primary);

    [[nodiscard]] std::uint16_t port() const { return this->boundPort; }
    // Ends the process: closes the port and all connections. The log stays.
    void crash();
    // Starts again with its log, as a replica if another member leads.
    void restart();
    // TERM.NUMBER of what it has received.
    [[nodiscard]] std::string position() const;

    std::string id;
    bool primary;
    bool up = true;
    // Receives nothing.
    bool deaf = false;
    std::uint64_t term = 1;
    std::vector<Entry> log;

private:
    struct Connection;

    void listen();
    void accept();
    [[nodiscard]] bool contains(const std::string& wanted) const;
    void finish(const std::shared_ptr<Connection>& connection, const std::string& queryId, const std::string& text);
    void reply(const std::shared_ptr<Connection>& connection, const std::string& text);
    void read(const std::shared_ptr<Connection>& connection);
    void take(const std::shared_ptr<Connection>& connection, const std::string& line);
    std::string answer(Connection& connection, const std::string& queryId, const std::string& text);

    asio::io_context& context;
    Service& service;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort = 0;
    // Slots in use.
    int busy = 0;
    std::set<std::shared_ptr<Connection>> connections;
};

// The members of one service.
class Service {
public:
    Service(asio::io_context& context, Record& record, std::string name);

    // Sends the primary's log to the replicas; called every few milliseconds.
    void replicate();
    // The platform's order to promote a member. Returns the status code.
    int promote(const std::string& id);
    Member* leader();
    // Whether the newest entry of the primary has been received by as many replicas as the service asks for.
    [[nodiscard]] bool isHeld(std::size_t logSize) const;

    int syncReplicas = 0;
    // Reads, writes and commits that a member runs at a time; 0 for any number.
    int slots = 0;
    // A member was promoted. Called when that takes effect.
    std::function<void(const Member&)> onPromoted;

    // Session commands of which the member answers FAILED although it has executed them.
    std::function<bool(const std::string& member, const std::string& text)> failsAfterRun;
    // Rows that a READ returns; one row named after the statement if it is not set.
    std::function<std::string(const std::string& queryId)> rows;
    // Time that a read or write takes.
    std::chrono::milliseconds work { 3 };

    std::string name;
    Record& record;
    std::vector<std::unique_ptr<Member>> members;
    std::mutex mutex;
    std::vector<Run> runs;

private:
    asio::io_context& context;
};

// One client session with blocking calls.
class Client {
public:
    Client(std::string name, Record& record);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Connects and starts a session. False if that fails.
    bool start(const asio::ip::tcp::endpoint& daemon, const std::string& database);
    // Writes bytes as they are. False if the connection is lost or nothing could be written for a second.
    bool send(const std::string& bytes, bool recorded = true);
    // Reads lines up to the next READY; empty if the connection ends or the time is over.
    std::vector<std::string> answer(std::chrono::milliseconds limit = std::chrono::milliseconds(3000));
    // Sends one statement and returns the lines of its answer.
    std::vector<std::string> query(const std::string& id, const std::string& text);
    // Whether the connection is still open, as far as this side has seen.
    [[nodiscard]] bool isOpen() const { return this->descriptor >= 0; }
    void close();

private:
    std::optional<std::string> line(std::chrono::steady_clock::time_point until);

    std::string name;
    Record& record;
    int descriptor = -1;
    std::string received;
};

// One daemon as a process of its own.
struct Daemon {
    std::string name;
    std::string ip;
    pid_t pid = 0;
    // Whether it ended although nobody ended it, and its status.
    bool ended = false;
    int status = 0;
};

class Scene {
public:
    Scene(Record& record, int daemons, const std::string& memoryMb = "260");
    ~Scene();

    // Starts everything and waits until all daemons are ready. False if that takes too long.
    bool start();
    [[nodiscard]] asio::ip::tcp::endpoint frontend(std::size_t daemon) const;
    // Takes note of daemons that have ended; returns the number of them.
    int countEnded();
    // Whether the daemon answers its readiness question within the time.
    bool isReady(std::size_t daemon, std::chrono::milliseconds limit);

    Record& record;
    asio::io_context context;
    std::mt19937_64 random { 1 };
    endivetrestle::soak::StandinStore store;
    Service service;
    std::vector<Daemon> daemons;
    // Writes the members' entries to the registry, without those that are down.
    void putRegistry();

private:
    void putConfiguration();
    void startDaemon(Daemon& daemon);
    void tick();

    std::string memoryMb;
    std::string directory;
    std::size_t storeClient = 0;
    asio::steady_timer ticker;
    std::thread loop;
};

} // namespace review
