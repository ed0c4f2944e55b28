#include "http.hpp"

#include <algorithm>

namespace review {

namespace {

std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            result += text[i];
    }
    return result;
}

void parseTarget(const std::string& target, HttpRequest& request)
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::size_t begin = mark + 1;
    while (begin <= target.size()) {
        const auto end = std::min(target.find('&', begin), target.size());
        const auto pair = target.substr(begin, end - begin);
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[unescape(pair.substr(0, equals))] = unescape(pair.substr(equals + 1));
        begin = end + 1;
    }
}

bool parseHead(const std::string& head, HttpRequest& request)
{
    const auto lineEnd = head.find("\r\n");
    const auto line = head.substr(0, lineEnd);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        return false;
    request.method = line.substr(0, first);
    parseTarget(line.substr(first + 1, second - first - 1), request);
    std::size_t begin = lineEnd + 2;
    while (begin < head.size()) {
        const auto end = head.find("\r\n", begin);
        if (end == std::string::npos || end == begin)
            break;
        const auto field = head.substr(begin, end - begin);
        const auto colon = field.find(':');
        if (colon != std::string::npos) {
            auto name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = field.find_first_not_of(' ', colon + 1);
            request.headers[name] = value == std::string::npos ? "" : field.substr(value);
        }
        begin = end + 2;
    }
    return true;
}

} // namespace

struct HttpServer::Connection : std::enable_shared_from_this<Connection> {
    Connection(asio::ip::tcp::socket accepted, Handler& handler)
        : socket(std::move(accepted))
        , handler(handler)
    {
    }

    void readHead()
    {
        asio::async_read_until(this->socket, asio::dynamic_buffer(this->input), "\r\n\r\n",
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t length) {
                if (error)
                    return;
                self->request = HttpRequest();
                if (!parseHead(self->input.substr(0, length), self->request))
                    return;
                self->input.erase(0, length);
                const auto found = self->request.headers.find("content-length");
                self->bodyLength = found == self->request.headers.end() ? 0 : std::stoul(found->second);
                self->readBody();
            });
    }

    void readBody()
    {
        const auto missing = this->bodyLength > this->input.size() ? this->bodyLength - this->input.size() : 0;
        asio::async_read(this->socket, asio::dynamic_buffer(this->input), asio::transfer_exactly(missing),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (error)
                    return;
                self->request.body = self->input.substr(0, self->bodyLength);
                self->input.erase(0, self->bodyLength);
                self->handler(self->request, [self](HttpResponse response) { self->write(std::move(response)); });
            });
    }

    void write(HttpResponse response)
    {
        this->output = "HTTP/1.1 " + std::to_string(response.status) + " Answer\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        asio::async_write(this->socket, asio::buffer(this->output),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (!error)
                    self->readHead();
            });
    }

    asio::ip::tcp::socket socket;
    Handler& handler;
    std::string input;
    std::string output;
    HttpRequest request;
    std::size_t bodyLength = 0;
};

HttpServer::HttpServer(asio::io_context& context, const asio::ip::tcp::endpoint& address, Handler handler)
    : context(context)
    , acceptor(context, address)
    , handler(std::move(handler))
{
    this->accept();
}

void HttpServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        std::make_shared<Connection>(std::move(socket), this->handler)->readHead();
        this->accept();
    });
}

asio::awaitable<int> httpGet(asio::ip::tcp::endpoint address, std::string path, std::chrono::milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer timer(executor, timeout);
    timer.async_wait([socket](const asio::error_code& error) {
        asio::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    int status = 0;
    try {
        co_await socket->async_connect(address, asio::use_awaitable);
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        co_await asio::async_write(*socket, asio::buffer(request), asio::use_awaitable);
        std::string answer;
        co_await asio::async_read_until(*socket, asio::dynamic_buffer(answer), "\r\n", asio::use_awaitable);
        status = std::stoi(answer.substr(answer.find(' ') + 1));
    } catch (const std::exception&) {
        status = 0;
    }
    co_return status;
}

} // namespace review
