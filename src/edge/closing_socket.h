#pragma once

#include <asio.hpp>

#include <array>
#include <memory>
#include <string>

namespace endivetrestle::internal {

// Reads and drops what the peer still sends, so that closing does not reset the connection before the peer has read the
// answer. Ends after a time and a number of bytes.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
public:
    explicit LingeringClose(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
        , timer(socket.get_executor())
    {
    }

    void start()
    {
        std::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->timer.expires_after(timeLimit);
        this->timer.async_wait([self = this->shared_from_this()](std::error_code) {
            std::error_code closed;
            self->socket.close(closed);
        });
        this->readMore();
    }

private:
    static constexpr std::chrono::seconds timeLimit { 2 };
    static constexpr std::size_t byteLimit = 64U << 20U;

    void readMore()
    {
        this->socket.async_read_some(
            asio::buffer(this->buffer), [self = this->shared_from_this()](std::error_code error, std::size_t length) {
                self->dropped += length;
                if (error || self->dropped > byteLimit)
                    self->timer.cancel();
                else
                    self->readMore();
            });
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 65536> buffer {};
    std::size_t dropped = 0;
};

// TCP socket for RESTinio that answers a request which RESTinio rejects. RESTinio closes the connection without an
// answer when a request cannot be parsed or exceeds a limit; callers need a clear error. Such a close is recognised by
// the order of operations: bytes were read and nothing was written since.
class ClosingSocket : public asio::ip::tcp::socket {
public:
    using Base = asio::ip::tcp::socket;
    using Base::Base;

    template <typename Buffers, typename Handler> auto async_read_some(const Buffers& buffers, Handler&& handler)
    {
        const auto executor = asio::get_associated_executor(handler, this->get_executor());
        return Base::async_read_some(buffers,
            asio::bind_executor(executor,
                [this, inner = std::forward<Handler>(handler)](std::error_code error, std::size_t length) mutable {
                    this->readSinceWrite = !error && length > 0;
                    inner(error, length);
                }));
    }

    template <typename Buffers, typename Handler> auto async_write_some(const Buffers& buffers, Handler&& handler)
    {
        this->readSinceWrite = false;
        return Base::async_write_some(buffers, std::forward<Handler>(handler));
    }

    template <typename What> void shutdown(What what, std::error_code& error)
    {
        if (this->readSinceWrite && this->is_open()) {
            this->rejectRequest();
            return;
        }
        Base::shutdown(what, error);
    }

private:
    void rejectRequest()
    {
        static const std::string body
            = "{\"error\":{\"code\":\"bad_request\",\"outcome\":\"did_not_run\",\"message\":"
              "\"not a valid HTTP request, or its body or a header is longer than allowed\"}}";
        static const std::string answer = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: "
                                          "application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::error_code error;
        this->non_blocking(true, error);
        this->write_some(asio::buffer(answer), error);
        if (!error)
            std::make_shared<LingeringClose>(Base(std::move(static_cast<Base&>(*this))))->start();
    }

    bool readSinceWrite = false;
};

} // namespace endivetrestle::internal
