#pragma once

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace endivetrestle::soak {

// Loopback proxy in front of one port, which can harm the connections through it.
class FaultLink {
public:
    // The target is asked for at each connection, because it may move.
    FaultLink(asio::io_context& context, std::mt19937_64& random, std::function<asio::ip::tcp::endpoint()> target);
    ~FaultLink();
    FaultLink(const FaultLink&) = delete;
    FaultLink& operator=(const FaultLink&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->boundPort; }

    // Resets a share of the connections.
    void reset(double share);
    // Passes nothing on any more over a share of the connections, in one or both directions, without closing them.
    void silence(double share, bool bothWays);
    // Passes bytes on late.
    std::chrono::milliseconds delay { 0 };
    // New connections are accepted and get no answer.
    bool dark = false;

private:
    struct Pair;

    void accept();
    void pump(const std::shared_ptr<Pair>& pair, bool towardsTarget);

    asio::io_context& context;
    std::mt19937_64& random;
    std::function<asio::ip::tcp::endpoint()> target;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort = 0;
    std::set<std::shared_ptr<Pair>> pairs;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle::soak
