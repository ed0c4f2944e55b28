#pragma once

#include "base/socket_address.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>

namespace endivetrestle {

// Accepts TCP connections on one port, on the caller's event loop. A connection that fails on its way is logged.
class SocketListener {
public:
    SocketListener(asio::io_context& context, std::function<void(asio::ip::tcp::socket)> onAccepted);

    // Opens the port; port 0 lets the kernel choose one. Throws std::system_error if it cannot be opened.
    void listen(const SocketAddress& address, int backlog);
    void close();
    // Port that was opened.
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void accept();

    asio::ip::tcp::acceptor acceptor;
    std::function<void(asio::ip::tcp::socket)> onAccepted;
};

} // namespace endivetrestle
