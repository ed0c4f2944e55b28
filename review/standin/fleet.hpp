#pragma once

#include "record.hpp"

#include <asio.hpp>

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// One daemon of the system as a process of its own, started with the command of the deploy file.
class Daemon {
public:
    Daemon(std::string name, std::string ip, std::string folder, Record& record);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void start();
    void signal(int number);
    // Whether a connection that comes from this address is one of this process.
    [[nodiscard]] bool owns(const asio::ip::tcp::endpoint& address) const;
    // Whether the process runs.
    [[nodiscard]] bool runs();

    std::string name;
    std::string ip;
    std::string settings;

private:
    std::string folder;
    Record& record;
    pid_t pid = 0;
};

// A few daemons in one zone on addresses of the loopback network.
class Fleet {
public:
    static constexpr std::uint16_t frontendPort = 18784;
    static constexpr std::uint16_t readinessPort = 18785;
    static constexpr std::uint16_t peerPort = 17440;

    // `run` is the command of the deploy file's role.
    Fleet(int count, const std::string& folder, std::uint16_t platformPort, Record& record);

    // Network of the run: the first three bytes of all its addresses.
    static std::string network();
    [[nodiscard]] asio::ip::tcp::endpoint frontend(const Daemon& daemon) const;
    // Whether the daemon reports itself ready.
    asio::awaitable<bool> ready(const Daemon& daemon) const;
    // Waits until all daemons are ready; false if that takes longer than the limit.
    asio::awaitable<bool> allReady(std::chrono::seconds limit);

    std::vector<std::unique_ptr<Daemon>> daemons;
};

// Reply to a statement.
struct Reply {
    // Whether the whole answer came.
    bool whole = false;
    bool succeeded = false;
    std::string code;
    std::string row;
    std::string state;
    Clock::time_point sentAt;
    Clock::time_point answeredAt;
};

// A client session.
class Session {
public:
    explicit Session(asio::io_context& context)
        : socket(context)
    {
    }

    // Connects and starts the session. False if that fails.
    asio::awaitable<bool> open(asio::ip::tcp::endpoint address, std::string database);
    asio::awaitable<Reply> query(std::string id, std::string text);
    void close();

private:
    asio::awaitable<std::string> line();

    asio::ip::tcp::socket socket;
    std::string input;
};

} // namespace review
