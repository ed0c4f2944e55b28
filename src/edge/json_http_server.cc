#include "edge/batching_stream.h"
#include "edge/json_http.h"
#include "edge/json_http_internal.h"
#include "edge/kj_time.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <map>
#include <utility>
#include <vector>

namespace endivetrestle {

using internal::BodyText;
using internal::describe;
using internal::headerNames;
using internal::readBody;

namespace {

// How often a server checks whether the clients of requests in flight are still connected. kj-http does not read from
// the socket while a request is handled, so it would notice only after the answer.
constexpr Duration disconnectCheckInterval = std::chrono::milliseconds(20);

// kj-http closes idle connections after 5 s by default. Connections here live as long as both sides want them.
constexpr auto idleLimit = 365 * kj::DAYS;

kj::StringPtr reason(unsigned status) { return status < 300 ? kj::StringPtr("OK") : kj::StringPtr("Refused"); }

struct SocketAddress {
    sockaddr_storage storage {};
    unsigned length = 0;
};

bool parseSocketAddress(const std::string& address, std::uint16_t port, SocketAddress& result)
{
    auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
    if (inet_pton(AF_INET, address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        result.length = sizeof(sockaddr_in);
        return true;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
    if (inet_pton(AF_INET6, address.c_str(), &v6->sin6_addr) != 1)
        return false;
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    result.length = sizeof(sockaddr_in6);
    return true;
}

// State of one connection of a server.
struct Connection {
    std::uint64_t number = 0;
    int descriptor = -1;
    int requestsInFlight = 0;
    std::string daemon;
    std::string dataCentre;
    kj::Canceler canceler;
};

class ConnectionService final : public kj::HttpService {
public:
    ConnectionService(Connection& connection, const JsonHttpHandler& handler, std::size_t bodyLimit)
        : connection(connection)
        , handler(handler)
        , bodyLimit(bodyLimit)
    {
    }

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& requestBody, Response& response) override
    {
        this->readIntroduction(headers);
        ++this->connection.requestsInFlight;
        return readBody(requestBody, this->bodyLimit)
            .then([this, method, path = std::string(url.begin(), url.size())](
                      BodyText body) mutable -> kj::Promise<JsonHttpResponse> {
                KJ_IF_MAYBE (text, body) {
                    return this->handler(JsonHttpRequest { this->connection.number, method, std::move(path),
                        std::move(*text), this->connection.daemon, this->connection.dataCentre });
                }
                return JsonHttpResponse { 413, R"({"code":"body_too_large","detail":""})" };
            })
            .then([this, &response](JsonHttpResponse answer) {
                --this->connection.requestsInFlight;
                return ConnectionService::send(response, std::move(answer));
            });
    }

private:
    void readIntroduction(const kj::HttpHeaders& headers)
    {
        KJ_IF_MAYBE (daemon, headers.get(headerNames().daemon))
            this->connection.daemon = daemon->cStr();
        KJ_IF_MAYBE (dataCentre, headers.get(headerNames().dataCentre))
            this->connection.dataCentre = dataCentre->cStr();
    }

    static kj::Promise<void> send(Response& response, JsonHttpResponse answer)
    {
        kj::HttpHeaders headers(*headerNames().table);
        headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
        auto stream = response.send(answer.status, reason(answer.status), headers, answer.body.size());
        if (answer.body.empty())
            return kj::READY_NOW;
        auto text = kj::heap<std::string>(std::move(answer.body));
        auto written = stream->write(text->data(), text->size());
        return written.attach(kj::mv(stream), kj::mv(text));
    }

    Connection& connection;
    const JsonHttpHandler& handler;
    std::size_t bodyLimit;
};

class RequestErrorHandler final : public kj::HttpServerErrorHandler {
public:
    kj::Promise<void> handleApplicationError(
        kj::Exception exception, kj::Maybe<kj::HttpService::Response&> response) override
    {
        if (exception.getType() == kj::Exception::Type::DISCONNECTED)
            return kj::READY_NOW;
        KJ_IF_MAYBE (answer, response)
            return answer->sendError(500, "Internal Server Error", *headerNames().table);
        return kj::READY_NOW;
    }
};

class Server final : public JsonHttpServer, private kj::TaskSet::ErrorHandler {
public:
    Server(kj::Own<kj::ConnectionReceiver> receiver, kj::Timer& timer, JsonHttpServerOptions options,
        JsonHttpHandler handler)
        : timer(timer)
        , options(std::move(options))
        , handler(std::move(handler))
        , receiver(kj::mv(receiver))
        , listeningPort(static_cast<std::uint16_t>(this->receiver->getPort()))
        , tasks(*this)
    {
        this->tasks.add(this->acceptLoop());
        this->tasks.add(this->checkLoop());
    }

    ~Server() noexcept(false) override { this->options.onClosed = nullptr; }

    [[nodiscard]] std::uint16_t port() const override { return this->listeningPort; }

    [[nodiscard]] std::size_t connections() const override { return this->open.size(); }

    void closeConnections(const std::function<bool(std::uint64_t connection)>& predicate) override
    {
        std::vector<Connection*> selected;
        for (auto& [number, connection] : this->open) {
            if (predicate(number))
                selected.push_back(connection);
        }
        for (auto* connection : selected)
            connection->canceler.cancel("connection closed by the server");
    }

private:
    kj::Promise<void> acceptLoop()
    {
        return this->receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            this->serve(kj::mv(stream));
            return this->acceptLoop();
        });
    }

    void serve(kj::Own<kj::AsyncIoStream> stream)
    {
        auto connection = kj::heap<Connection>();
        connection->number = ++this->lastConnection;
        KJ_IF_MAYBE (descriptor, stream->getFd())
            connection->descriptor = *descriptor;
        auto service = kj::heap<ConnectionService>(*connection, this->handler, this->options.bodyLimit);
        kj::HttpServerSettings settings;
        settings.headerTimeout = idleLimit;
        settings.pipelineTimeout = idleLimit;
        settings.errorHandler = this->errors;
        auto http = kj::heap<kj::HttpServer>(this->timer, *headerNames().table, *service, settings);
        auto served = http->listenHttp(internal::batchWrites(kj::mv(stream))).attach(kj::mv(http), kj::mv(service));
        this->open.emplace(connection->number, connection.get());
        auto finished = kj::defer([this, number = connection->number] { this->forget(number); });
        this->tasks.add(connection->canceler.wrap(kj::mv(served)).attach(kj::mv(finished), kj::mv(connection)));
    }

    void forget(std::uint64_t number)
    {
        this->open.erase(number);
        if (this->options.onClosed)
            this->options.onClosed(number);
    }

    kj::Promise<void> checkLoop()
    {
        return this->timer.afterDelay(toKj(disconnectCheckInterval)).then([this] {
            this->closeConnections([this](std::uint64_t number) { return this->isAbandoned(*this->open[number]); });
            return this->checkLoop();
        });
    }

    static bool isAbandoned(const Connection& connection)
    {
        if (connection.requestsInFlight == 0 || connection.descriptor < 0)
            return false;
        char byte = 0;
        return recv(connection.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    void taskFailed(kj::Exception&&) override { }

    kj::Timer& timer;
    JsonHttpServerOptions options;
    JsonHttpHandler handler;
    RequestErrorHandler errors;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::uint16_t listeningPort;
    std::uint64_t lastConnection = 0;
    std::map<std::uint64_t, Connection*> open;
    kj::TaskSet tasks;
};

} // namespace

JsonHttpServer::Listening JsonHttpServer::listen(
    kj::Network& network, kj::Timer& timer, JsonHttpServerOptions options, JsonHttpHandler handler)
{
    SocketAddress address;
    if (!parseSocketAddress(options.address, options.port, address))
        return Listening { {}, "not a numeric address: " + options.address };
    Listening result;
    auto failure = kj::runCatchingExceptions([&] {
        auto receiver = network.getSockaddr(&address.storage, address.length)->listen();
        result.server = kj::heap<Server>(kj::mv(receiver), timer, std::move(options), std::move(handler));
    });
    KJ_IF_MAYBE (exception, failure)
        result.error = describe(*exception);
    return result;
}

} // namespace endivetrestle
