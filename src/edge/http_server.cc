#include "edge/http_server.h"

// RESTinio's package needs fmt's header first.
#include <fmt/format.h>
#include <restinio/all.hpp>

#include "edge/closing_socket.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace endivetrestle {

namespace {

// Counts open connections. RESTinio calls it on a worker for every change of a connection's state.
struct ConnectionCounter {
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        const auto& cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause))
            ++this->open;
        else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause))
            --this->open;
    }

    std::atomic<std::size_t> open = 0;
};

struct ServerTraits : public restinio::default_traits_t {
    using connection_state_listener_t = ConnectionCounter;
    using stream_socket_t = internal::ClosingSocket; // NOLINT(readability-identifier-naming): name set by RESTinio.
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
};

using Server = restinio::http_server_t<ServerTraits>;
using RequestHandle = restinio::request_handle_t;

// Time without requests after which a drained server counts as quiet: a request may still be in a socket's buffer.
constexpr std::chrono::milliseconds quietPeriod { 100 };

std::string headerValue(const RequestHandle& request, const char* name)
{
    return request->header().get_field_or(name, "");
}

HttpRequest toRequest(const RequestHandle& handle)
{
    HttpRequest request;
    request.method = handle->header().method().c_str();
    request.path = std::string(handle->header().path());
    request.query = std::string(handle->header().query());
    request.authorization = headerValue(handle, "Authorization");
    request.session = headerValue(handle, "Endivetrestle-Session");
    request.requestId = headerValue(handle, "Endivetrestle-Request-Id");
    request.body = handle->body();
    handle->header().for_each_field(
        [&](const auto& field) { request.headers[std::string(field.name())] = std::string(field.value()); });
    return request;
}

} // namespace

struct HttpServer::State {
    State(asio::io_context* loop, Handler handler)
        : handler(std::move(handler))
        , ownContext(loop == nullptr ? std::make_unique<asio::io_context>() : nullptr)
        , context(loop == nullptr ? *this->ownContext : *loop)
    {
    }

    Handler handler;
    std::unique_ptr<asio::io_context> ownContext;
    asio::io_context& context;
    std::unique_ptr<Server> server;
    std::vector<std::thread> workers;
    std::atomic<std::size_t> inFlight = 0;
    std::atomic<bool> draining = false;
    std::shared_ptr<ConnectionCounter> connections = std::make_shared<ConnectionCounter>();
    std::uint16_t port = 0;
    std::mutex mutex;
    std::condition_variable answered;

    void open(const HttpServerSettings& settings)
    {
        this->server
            = std::make_unique<Server>(restinio::external_io_context(this->context), this->makeSettings(settings));
        std::exception_ptr failure;
        this->server->open_async([] {}, [&](std::exception_ptr error) { failure = error; });
        this->context.run_for(std::chrono::milliseconds(1));
        if (failure)
            std::rethrow_exception(failure);
    }

    void sendAnswer(const RequestHandle& handle, const HttpResponse& response)
    {
        auto builder = handle->create_response(restinio::http_status_line_t(
            restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)), ""));
        builder.append_header(restinio::http_field::content_type, response.contentType);
        for (const auto& [name, value] : response.headers)
            builder.append_header(name, value);
        if (this->draining || !handle->header().should_keep_alive())
            builder.connection_close();
        builder.set_body(response.body);
        builder.done([this](const auto&) { this->finishRequest(); });
    }

    void finishRequest()
    {
        if (--this->inFlight > 0)
            return;
        std::lock_guard lock(this->mutex);
        this->answered.notify_all();
    }

    restinio::request_handling_status_t handle(const RequestHandle& handle)
    {
        ++this->inFlight;
        this->handler(toRequest(handle), [this, handle](const HttpResponse& response) {
            // Answers may come from any thread; RESTinio's builder is used on a worker.
            this->sendAnswer(handle, response);
        });
        return restinio::request_accepted();
    }

    [[nodiscard]] restinio::server_settings_t<ServerTraits> makeSettings(const HttpServerSettings& settings)
    {
        restinio::server_settings_t<ServerTraits> result;
        result.address(settings.address)
            .port(settings.port)
            .buffer_size(4096)
            .read_next_http_message_timelimit(settings.idleTimeout)
            .handle_request_timeout(std::chrono::minutes(10))
            .write_http_response_timelimit(std::chrono::seconds(30))
            .max_pipelined_requests(1)
            .max_parallel_connections(settings.connectionLimit)
            .connection_state_listener(this->connections)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_body_size(settings.bodyLimit)
                                          .max_url_size(4096)
                                          .max_field_count(64)
                                          .max_field_name_size(256)
                                          .max_field_value_size(8192))
            .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor& acceptor) { this->port = acceptor.local_endpoint().port(); })
            .request_handler([this](const RequestHandle& handle) { return this->handle(handle); });
        return result;
    }
};

HttpServer::HttpServer(const HttpServerSettings& settings, Handler handler)
    : state(std::make_unique<State>(nullptr, std::move(handler)))
{
    this->state->open(settings);
    this->state->context.restart();
    for (unsigned i = 0; i < settings.workers; ++i) {
        this->state->workers.emplace_back([context = &this->state->context] {
            const auto guard = asio::make_work_guard(*context);
            context->run();
        });
    }
}

HttpServer::HttpServer(asio::io_context& loop, const HttpServerSettings& settings, Handler handler)
    : state(std::make_unique<State>(&loop, std::move(handler)))
{
    this->state->open(settings);
}

HttpServer::~HttpServer() { this->stop(); }

std::uint16_t HttpServer::port() const { return this->state->port; }

std::size_t HttpServer::connections() const { return this->state->connections->open; }

std::size_t HttpServer::inFlight() const { return this->state->inFlight; }

bool HttpServer::drain(Duration limit)
{
    this->state->draining = true;
    this->state->server->close_async([] {}, [](std::exception_ptr) {});
    const auto end = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock(this->state->mutex);
    while (std::chrono::steady_clock::now() < end) {
        this->state->answered.wait_until(lock, end, [this] { return this->state->inFlight == 0; });
        const bool woken
            = this->state->answered.wait_for(lock, quietPeriod, [this] { return this->state->inFlight > 0; });
        if (!woken && this->state->inFlight == 0)
            return true;
    }
    return this->state->inFlight == 0;
}

void HttpServer::stop()
{
    if (!this->state->ownContext || this->state->workers.empty())
        return;
    this->state->context.stop();
    for (auto& worker : this->state->workers)
        worker.join();
    this->state->workers.clear();
    this->state->server.reset();
}

} // namespace endivetrestle
