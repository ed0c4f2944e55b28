#pragma once

#include "base/clock.h"
#include "base/socket_address.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivetrestle {

// Part of what a scripted server sends, and when, counted from the arrival of the request.
struct ScriptedBytes {
    std::string text;
    Duration after = Duration::zero();
};

// Formats an HTTP response with a body.
inline std::string httpResponse(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
        + headers + "\r\n" + body;
}

// HTTP server on the loopback interface that sends the bytes that a script gives for each request. Unlike a real server
// it can answer a request twice.
class ScriptedHttpServer {
public:
    // Returns what to send for a request, given its number, which counts from 1, and its text.
    using Script = std::function<std::vector<ScriptedBytes>(int number, const std::string& request)>;

    ScriptedHttpServer(asio::io_context& context, Script script)
        : context(context)
        , acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , script(std::move(script))
    {
        this->accept();
    }

    [[nodiscard]] SocketAddress address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    // Requests received so far.
    [[nodiscard]] int requests() const { return this->received; }
    // Connections accepted so far.
    [[nodiscard]] int connections() const { return this->accepted; }
    // Parts of the script that have been sent so far.
    [[nodiscard]] int sent() const { return this->written; }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket socket)
            : socket(std::move(socket))
        {
        }
        asio::ip::tcp::socket socket;
        std::string input;
    };

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++this->accepted;
            this->readRequest(std::make_shared<Connection>(std::move(socket)));
            this->accept();
        });
    }

    // The clients under test name the length of a body in their last header field.
    void readRequest(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, connection](const asio::error_code& error, std::size_t headBytes) {
                if (!error)
                    this->readBody(connection, headBytes);
            });
    }

    void readBody(const std::shared_ptr<Connection>& connection, std::size_t headBytes)
    {
        static const std::string lengthName = "Content-Length: ";
        const auto found = connection->input.substr(0, headBytes).find(lengthName);
        const auto bodyBytes
            = found == std::string::npos ? 0 : std::stoul(connection->input.substr(found + lengthName.size()));
        const auto present = connection->input.size() - headBytes;
        asio::async_read(connection->socket, asio::dynamic_buffer(connection->input),
            asio::transfer_exactly(present < bodyBytes ? bodyBytes - present : 0),
            [this, connection, total = headBytes + bodyBytes](const asio::error_code& error, std::size_t) {
                if (error)
                    return;
                const auto request = connection->input.substr(0, total);
                connection->input.erase(0, total);
                for (const auto& bytes : this->script(++this->received, request))
                    this->sendLater(connection, bytes);
                this->readRequest(connection);
            });
    }

    void sendLater(const std::shared_ptr<Connection>& connection, const ScriptedBytes& bytes)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->context, bytes.after);
        timer->async_wait([this, connection, timer, text = bytes.text](const asio::error_code&) {
            // The client may have closed the connection.
            asio::error_code ignored;
            asio::write(connection->socket, asio::buffer(text), ignored);
            ++this->written;
        });
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    Script script;
    int received = 0;
    int accepted = 0;
    int written = 0;
};

} // namespace endivetrestle
