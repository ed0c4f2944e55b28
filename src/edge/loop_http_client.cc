#include "edge/loop_http_client.h"

#include "base/boot_clock.h"
#include "base/log.h"
#include "edge/keep_alive.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <deque>
#include <http_parser.h>

namespace endivetrestle {

namespace {

constexpr std::size_t readBufferBytes = 16384;
// Longest wait for a connection. The kernel repeats a lost opening packet only after seconds.
constexpr Duration connectTimeout = std::chrono::milliseconds(600);

std::string encodeRequest(const HttpCall& call, const SocketAddress& server)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + toString(server) + "\r\n";
    for (const auto& [name, value] : call.headers)
        text += name + ": " + value + "\r\n";
    if (!call.body.empty() || call.method != "GET")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    text += "\r\n";
    text += call.body;
    return text;
}

} // namespace

class LoopHttpClient::State : public std::enable_shared_from_this<LoopHttpClient::State> {
public:
    State(asio::io_context& context, SocketAddress server)
        : context(context)
        , server(std::move(server))
        , socket(context)
        , timer(context)
    {
        http_parser_settings_init(&this->parserSettings);
        this->parserSettings.on_body = [](http_parser* parser, const char* data, std::size_t length) {
            static_cast<State*>(parser->data)->answer.body.append(data, length);
            return 0;
        };
        // The parser may hand over names and values in parts. A name that follows a value begins the next field.
        this->parserSettings.on_header_field = [](http_parser* parser, const char* data, std::size_t length) {
            auto* self = static_cast<State*>(parser->data);
            if (std::exchange(self->readsHeaderValue, false) || self->answer.headers.empty())
                self->answer.headers.emplace_back();
            self->answer.headers.back().first.append(data, length);
            return 0;
        };
        this->parserSettings.on_header_value = [](http_parser* parser, const char* data, std::size_t length) {
            auto* self = static_cast<State*>(parser->data);
            self->readsHeaderValue = true;
            self->answer.headers.back().second.append(data, length);
            return 0;
        };
        this->parserSettings.on_message_complete = [](http_parser* parser) {
            auto* self = static_cast<State*>(parser->data);
            self->complete = true;
            self->keepAlive = http_should_keep_alive(parser) != 0;
            // Stops the parser, so that bytes after the answer are noticed.
            http_parser_pause(parser, 1);
            return 0;
        };
    }

    void send(HttpCall call, Duration timeout, Callback callback)
    {
        this->queue.push_back({ std::move(call), bootNow(), timeout, std::move(callback) });
        if (!this->active)
            this->startNext();
    }

    void shutDown()
    {
        this->stopped = true;
        // Handlers of the call under way run once more and must find that it is over.
        this->active = false;
        ++this->callSequence;
        this->timer.cancel();
        this->closeSocket();
        this->queue.clear();
    }

    void setServer(SocketAddress next)
    {
        if (next == this->server)
            return;
        this->server = std::move(next);
        if (this->active)
            this->serverChanged = true;
        else
            this->closeSocket();
    }

    [[nodiscard]] const SocketAddress& serverAddress() const { return this->server; }
    [[nodiscard]] std::uint64_t opened() const { return this->connectionCount; }

private:
    struct Pending {
        HttpCall call;
        Time queuedAt;
        Duration timeout;
        Callback callback;
    };

    void startNext()
    {
        if (this->queue.empty() || this->stopped)
            return;
        this->active = true;
        this->complete = false;
        this->written = false;
        this->readsHeaderValue = false;
        this->answer = {};
        auto& pending = this->queue.front();
        const auto left = pending.queuedAt + pending.timeout - bootNow();
        this->closeIfNotQuiet();
        const auto sequence = ++this->callSequence;
        if (this->socket.is_open()) {
            this->failAfter(left, sequence);
            this->write(sequence);
            return;
        }
        this->failAfter(std::min(left, pending.call.connectLimit.value_or(connectTimeout)), sequence);
        this->connect(sequence);
    }

    // Closes a kept connection that the server has closed, or on which it has sent what no request asked for.
    void closeIfNotQuiet()
    {
        if (!this->socket.is_open())
            return;
        char next = 0;
        asio::error_code error;
        this->socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block)
            return;
        if (!error)
            this->logForeignBytes("bytes_before_request");
        this->closeSocket();
    }

    void logForeignBytes(const char* reason)
    {
        logEvent(LogLevel::Warning, "http_answer_of_no_call",
            { { "server", toString(this->server) }, { "reason", reason }, { "connection", this->connectionCount },
                { "target", this->queue.front().call.target } });
    }

    void failAfter(Duration delay, std::uint64_t sequence)
    {
        constexpr Duration shortest = std::chrono::milliseconds(1);
        this->timer.expires_after(std::max(delay, shortest));
        this->timer.async_wait([self = this->shared_from_this(), sequence](const asio::error_code& error) {
            if (!error && sequence == self->callSequence && self->active)
                self->fail();
        });
    }

    void connect(std::uint64_t sequence)
    {
        ++this->connectionCount;
        asio::error_code error;
        const auto address = asio::ip::make_address(this->server.ip, error);
        this->socket.async_connect(asio::ip::tcp::endpoint(address, this->server.port),
            [self = this->shared_from_this(), sequence](const asio::error_code& error) {
                if (sequence != self->callSequence || !self->active)
                    return;
                if (error) {
                    self->fail();
                    return;
                }
                asio::error_code ignored;
                self->socket.non_blocking(true, ignored);
                self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                enableKeepAlive(self->socket.native_handle());
                const auto& pending = self->queue.front();
                self->failAfter(pending.queuedAt + pending.timeout - bootNow(), sequence);
                self->write(sequence);
            });
    }

    void write(std::uint64_t sequence)
    {
        this->answer.sentAt = bootNow();
        this->answer.connection = this->connectionCount;
        this->written = true;
        this->outgoing = encodeRequest(this->queue.front().call, this->server);
        http_parser_init(&this->parser, HTTP_RESPONSE);
        this->parser.data = this;
        asio::async_write(this->socket, asio::buffer(this->outgoing),
            [self = this->shared_from_this(), sequence](const asio::error_code& error, std::size_t) {
                if (sequence != self->callSequence || !self->active)
                    return;
                if (error)
                    self->fail();
                else
                    self->read(sequence);
            });
    }

    void read(std::uint64_t sequence)
    {
        // Waiting for input first lets all clients of a loop share one buffer; a large fleet keeps hundreds of them.
        this->socket.async_wait(asio::ip::tcp::socket::wait_read,
            [self = this->shared_from_this(), sequence](const asio::error_code& error) {
                if (sequence == self->callSequence && self->active)
                    self->readAvailable(error, sequence);
            });
    }

    void readAvailable(asio::error_code error, std::uint64_t sequence)
    {
        static std::array<char, readBufferBytes> buffer;
        const auto length = error ? 0 : this->socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block)
            this->read(sequence);
        else
            this->onBytes(error, { buffer.data(), length }, sequence);
    }

    void onBytes(const asio::error_code& error, std::string_view bytes, std::uint64_t sequence)
    {
        if (error) {
            this->fail();
            return;
        }
        const auto parsed = http_parser_execute(&this->parser, &this->parserSettings, bytes.data(), bytes.size());
        if (this->complete) {
            this->onComplete(parsed < bytes.size());
            return;
        }
        if (HTTP_PARSER_ERRNO(&this->parser) != HPE_OK) {
            this->fail();
            return;
        }
        this->read(sequence);
    }

    void onComplete(bool bytesFollow)
    {
        this->answer.status = static_cast<int>(this->parser.status_code);
        this->answer.answeredAt = bootNow();
        const auto& call = this->queue.front().call;
        const auto match = call.match ? call.match(this->answer) : HttpAnswerMatch::Possible;
        if (match == HttpAnswerMatch::Impossible) {
            this->logForeignBytes("answer_of_another_call");
            this->fail();
            return;
        }
        if (bytesFollow)
            this->logForeignBytes("bytes_after_answer");
        this->finish(this->keepAlive && !bytesFollow && match == HttpAnswerMatch::Proven);
    }

    void fail()
    {
        HttpAnswer none;
        none.mayHaveRun = this->written;
        none.sentAt = this->answer.sentAt;
        none.connection = this->answer.connection;
        this->answer = std::move(none);
        this->finish(false);
    }

    void finish(bool keepConnection)
    {
        ++this->callSequence;
        this->timer.cancel();
        if (std::exchange(this->serverChanged, false) || !keepConnection)
            this->closeSocket();
        this->answer.answeredAt = bootNow();
        auto callback = std::move(this->queue.front().callback);
        this->queue.pop_front();
        this->active = false;
        const auto result = std::move(this->answer);
        const auto self = this->shared_from_this();
        callback(result);
        if (!this->active)
            this->startNext();
    }

    void closeSocket()
    {
        asio::error_code ignored;
        // A reset drops bytes that have not arrived yet, so that a request given up here cannot run much later.
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
    }

    asio::io_context& context;
    SocketAddress server;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::deque<Pending> queue;
    bool active = false;
    bool stopped = false;
    // Whether the call under way is the last one on this connection.
    bool serverChanged = false;
    bool written = false;
    bool complete = false;
    bool keepAlive = false;
    // Whether the last part of a header that the parser handed over was one of a value.
    bool readsHeaderValue = false;
    std::uint64_t callSequence = 0;
    std::uint64_t connectionCount = 0;
    std::string outgoing;
    http_parser parser {};
    http_parser_settings parserSettings {};
    HttpAnswer answer;
};

std::optional<std::string> HttpAnswer::header(std::string_view name) const
{
    const auto sameLetter = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
    };
    for (const auto& [present, value] : this->headers) {
        if (std::equal(present.begin(), present.end(), name.begin(), name.end(), sameLetter))
            return value;
    }
    return std::nullopt;
}

LoopHttpClient::LoopHttpClient(asio::io_context& context, SocketAddress server)
    : state(std::make_shared<State>(context, std::move(server)))
{
}

LoopHttpClient::~LoopHttpClient() { this->state->shutDown(); }

void LoopHttpClient::send(HttpCall call, Duration timeout, Callback callback)
{
    this->state->send(std::move(call), timeout, std::move(callback));
}

void LoopHttpClient::setServer(SocketAddress server) { this->state->setServer(std::move(server)); }

const SocketAddress& LoopHttpClient::server() const { return this->state->serverAddress(); }

std::uint64_t LoopHttpClient::connectionsOpened() const { return this->state->opened(); }

} // namespace endivetrestle
