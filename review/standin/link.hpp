#pragma once

#include <asio.hpp>

#include <functional>
#include <list>
#include <memory>

namespace review {

// A TCP proxy. While it is cut it passes nothing in either direction, without a reset.
class Link {
public:
    // Whether the cut concerns a connection that comes from this address.
    using Concerned = std::function<bool(const asio::ip::tcp::endpoint&)>;

    Link(asio::io_context& context, const asio::ip::tcp::endpoint& address, asio::ip::tcp::endpoint target,
        Concerned concerned);

    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }
    void setCut(bool value) { *this->cut = value; }

private:
    void accept();

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
    Concerned concerned;
    std::shared_ptr<bool> cut = std::make_shared<bool>(false);
};

} // namespace review
