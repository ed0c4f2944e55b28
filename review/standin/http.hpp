#pragma once

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::string body = "{}";
};

// HTTP/1.1 server with keep-alive on one event loop. The handler may answer later, or never.
class HttpServer {
public:
    using Answer = std::function<void(HttpResponse)>;
    using Handler = std::function<void(const HttpRequest&, const Answer&)>;

    HttpServer(asio::io_context& context, const asio::ip::tcp::endpoint& address, Handler handler);
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    struct Connection;
    void accept();

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
};

// One GET request on a connection of its own. Returns the status, or 0 without an answer in time.
asio::awaitable<int> httpGet(asio::ip::tcp::endpoint address, std::string path, std::chrono::milliseconds timeout);

} // namespace review
