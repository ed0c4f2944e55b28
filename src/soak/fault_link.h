#pragma once

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace endivetrestle::soak {

// How a link is cut.
enum class LinkCut {
    None,
    // Nothing passes, and no connection is closed.
    Silent,
    // Connections are reset, new ones after they were accepted.
    Reset,
    // Connections are reset, and nothing listens any more.
    Refused,
    // What the client sends arrives; nothing comes back.
    OneWay,
};

const char* linkCutName(LinkCut how);

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
    // Cuts the open connections and all new ones, until the link is cut with `LinkCut::None`. Connections that fell
    // silent stay so.
    void cut(LinkCut how);
    // Passes bytes on late.
    std::chrono::milliseconds delay { 0 };

private:
    struct Pair;

    void listen();
    void accept();
    void pump(const std::shared_ptr<Pair>& pair, bool towardsTarget);

    asio::io_context& context;
    std::mt19937_64& random;
    std::function<asio::ip::tcp::endpoint()> target;
    // Keeps the port while nothing listens.
    asio::ip::tcp::socket reservation;
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort = 0;
    LinkCut present = LinkCut::None;
    std::set<std::shared_ptr<Pair>> pairs;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace endivetrestle::soak
