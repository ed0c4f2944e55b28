#include "edge/socket_listener.h"

#include "base/log.h"

namespace endivetrestle {

SocketListener::SocketListener(asio::io_context& context, std::function<void(asio::ip::tcp::socket)> onAccepted)
    : acceptor(context)
    , onAccepted(std::move(onAccepted))
{
}

void SocketListener::listen(const SocketAddress& address, int backlog)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(backlog);
    this->accept();
}

void SocketListener::close()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
}

void SocketListener::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        // After closing, or with the owner gone, the operation is cancelled and `this` must not be used.
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            this->onAccepted(std::move(socket));
        else
            logEvent(LogLevel::Warning, "accept_failed", { { "error", error.message() } });
        if (this->acceptor.is_open())
            this->accept();
    });
}

} // namespace endivetrestle
