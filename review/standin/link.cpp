#include "link.hpp"

#include <array>

namespace review {

namespace {

using Socket = std::shared_ptr<asio::ip::tcp::socket>;

void closeBoth(const Socket& one, const Socket& other)
{
    asio::error_code ignored;
    one->close(ignored);
    other->close(ignored);
}

// Passes bytes in one direction. What arrives during a cut is held until the cut is over.
asio::awaitable<void> pass(Socket from, Socket to, std::shared_ptr<bool> cut)
{
    std::array<char, 16384> buffer {};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    try {
        while (true) {
            const auto length = co_await from->async_read_some(asio::buffer(buffer), asio::use_awaitable);
            while (*cut) {
                timer.expires_after(std::chrono::milliseconds(5));
                co_await timer.async_wait(asio::use_awaitable);
                // A peer that has given the connection up takes what is held with it.
                char byte = 0;
                asio::error_code error;
                from->non_blocking(true, error);
                if (::recv(from->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN)
                    throw std::system_error(errno, std::generic_category());
            }
            co_await asio::async_write(*to, asio::buffer(buffer, length), asio::use_awaitable);
        }
    } catch (const std::exception&) {
        closeBoth(from, to);
    }
}

asio::awaitable<void> connectAndPass(Socket client, asio::ip::tcp::endpoint target, std::shared_ptr<bool> cut)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto server = std::make_shared<asio::ip::tcp::socket>(executor);
    try {
        co_await server->async_connect(target, asio::use_awaitable);
    } catch (const std::exception&) {
        closeBoth(client, server);
        co_return;
    }
    asio::error_code ignored;
    client->set_option(asio::ip::tcp::no_delay(true), ignored);
    server->set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::co_spawn(executor, pass(client, server, cut), asio::detached);
    asio::co_spawn(executor, pass(server, client, cut), asio::detached);
}

} // namespace

Link::Link(asio::io_context& context, const asio::ip::tcp::endpoint& address, asio::ip::tcp::endpoint target,
    Concerned concerned)
    : context(context)
    , acceptor(context, address)
    , target(std::move(target))
    , concerned(std::move(concerned))
{
    this->accept();
}

void Link::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        asio::error_code ignored;
        const bool concernsIt = this->concerned(socket.remote_endpoint(ignored));
        const auto client = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        asio::co_spawn(this->context,
            connectAndPass(client, this->target, concernsIt ? this->cut : std::make_shared<bool>(false)),
            asio::detached);
        this->accept();
    });
}

} // namespace review
