#include "tool/caller_client.h"

#include <kj/debug.h>

namespace endivetrestle {

namespace {

// Time for which the client waits beyond the deadline that it stated. The daemon answers at the deadline, and the
// answer needs time to arrive.
constexpr auto answerGrace = 1 * kj::SECONDS;

CallerClient::Response failure(const kj::Exception& exception, bool sent)
{
    return { 0, kj::str(exception.getDescription()).cStr(), "", sent };
}

CallerAnswer toAnswer(CallerClient::Response response)
{
    if (response.status != 0)
        return parseCallerAnswer(response.status, response.body, std::move(response.session));
    const auto state = response.sent ? OutcomeState::Unknown : OutcomeState::DidNotRun;
    return failedAnswer(state, ErrorCode::EndpointUnreachable, std::move(response.body));
}

} // namespace

struct CallerClient::Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<kj::HttpClient> http;
};

CallerClient::CallerClient(kj::AsyncIoProvider& provider, std::vector<DaemonAddress> daemons, std::string key)
    : provider(provider)
    , timer(provider.getTimer())
    , daemons(std::move(daemons))
    , authorization(key.empty() ? "" : "Bearer " + std::move(key))
    , idle(this->daemons.size())
{
    kj::HttpHeaderTable::Builder builder;
    this->authorizationHeader = builder.add("Authorization");
    this->sessionHeader = builder.add("Endivetrestle-Session");
    this->requestIdHeader = builder.add("Endivetrestle-Request-Id");
    this->headerTable = builder.build();
}

CallerClient::~CallerClient() = default;

kj::HttpHeaders CallerClient::headersOf(std::size_t daemon, const Message& message) const
{
    kj::HttpHeaders headers(*this->headerTable);
    const auto set = [&](kj::HttpHeaderId id, const std::string& value) {
        if (!value.empty())
            headers.set(id, kj::heapString(value.data(), value.size()));
    };
    set(kj::HttpHeaderId::HOST, toString(this->daemons[daemon]));
    set(kj::HttpHeaderId::CONTENT_TYPE, message.body.empty() ? "" : "application/json");
    set(this->authorizationHeader, this->authorization);
    set(this->sessionHeader, message.session);
    set(this->requestIdHeader, message.requestId);
    return headers;
}

kj::Promise<CallerClient::Response> CallerClient::readResponse(
    std::size_t daemon, kj::Own<Connection> connection, kj::HttpClient::Response&& response)
{
    Response result;
    result.status = static_cast<int>(response.statusCode);
    result.sent = true;
    KJ_IF_MAYBE (token, response.headers->get(this->sessionHeader))
        result.session.assign(token->begin(), token->size());
    auto text = response.body->readAllText();
    return text.attach(kj::mv(response.body))
        .then([this, daemon, connection = kj::mv(connection), result = std::move(result)](kj::String body) mutable {
            result.body.assign(body.begin(), body.size());
            this->idle[daemon].add(kj::mv(connection));
            return kj::mv(result);
        });
}

// Starts a request on a connection. Returns nothing if the connection was closed while idle; then nothing was sent.
kj::Maybe<kj::Promise<CallerClient::Response>> CallerClient::start(
    std::size_t daemon, kj::Own<Connection>& connection, const Message& message)
{
    kj::Maybe<kj::HttpClient::Request> started;
    auto closed = kj::runCatchingExceptions([&] {
        started = connection->http->request(message.method, message.path.c_str(), this->headersOf(daemon, message),
            kj::implicitCast<uint64_t>(message.body.size()));
    });
    if (closed != nullptr)
        return nullptr;
    auto& request = KJ_ASSERT_NONNULL(started);
    auto body = kj::heapArray<kj::byte>(reinterpret_cast<const kj::byte*>(message.body.data()), message.body.size());
    kj::Promise<void> written = kj::READY_NOW;
    if (body.size() > 0)
        written = request.body->write(body.begin(), body.size()).attach(kj::mv(body));
    return written.attach(kj::mv(request.body))
        .then([this, daemon, connection = kj::mv(connection), response = kj::mv(request.response)]() mutable {
            return response.then(
                [this, daemon, connection = kj::mv(connection)](kj::HttpClient::Response&& received) mutable {
                    return this->readResponse(daemon, kj::mv(connection), kj::mv(received));
                });
        })
        .catch_([](kj::Exception&& exception) { return failure(exception, true); });
}

kj::Promise<CallerClient::Response> CallerClient::exchangeOnNew(std::size_t daemon, Message message)
{
    const auto name = toString(this->daemons[daemon]);
    return this->provider.getNetwork()
        .parseAddress(name.c_str())
        .then([](kj::Own<kj::NetworkAddress> address) {
            auto connecting = address->connect();
            return connecting.attach(kj::mv(address));
        })
        .then(
            [this, daemon, message = std::move(message)](
                kj::Own<kj::AsyncIoStream> stream) mutable -> kj::Promise<Response> {
                auto connection = kj::heap<Connection>();
                connection->http = kj::newHttpClient(*this->headerTable, *stream);
                connection->stream = kj::mv(stream);
                KJ_IF_MAYBE (response, this->start(daemon, connection, message))
                    return kj::mv(*response);
                return Response { 0, "connection closed", "", false };
            },
            [](kj::Exception&& exception) -> kj::Promise<Response> { return failure(exception, false); });
}

kj::Promise<CallerClient::Response> CallerClient::exchange(std::size_t daemon, Message message)
{
    auto& candidates = this->idle[daemon];
    while (!candidates.empty()) {
        auto connection = kj::mv(candidates.back());
        candidates.removeLast();
        KJ_IF_MAYBE (response, this->start(daemon, connection, message))
            return kj::mv(*response);
    }
    return this->exchangeOnNew(daemon, std::move(message));
}

kj::Promise<CallerAnswer> CallerClient::send(std::size_t daemon, CallerCall call)
{
    const bool isResolve = call.kind == RequestKind::Resolve;
    Message message;
    message.method = isResolve ? kj::HttpMethod::GET : kj::HttpMethod::POST;
    message.path = callerPath(call);
    message.body = callerBody(call);
    message.session = std::move(call.session);
    message.requestId = isResolve ? "" : std::move(call.requestId.value);
    auto late = this->timer.afterDelay(call.deadline.count() * kj::MICROSECONDS + answerGrace).then([] {
        return failedAnswer(OutcomeState::Unknown, ErrorCode::DeadlineExceeded, "no answer");
    });
    return this->exchange(daemon, std::move(message))
        .then([](Response response) { return toAnswer(std::move(response)); })
        .exclusiveJoin(kj::mv(late));
}

kj::Promise<CallerClient::Response> CallerClient::fetch(
    std::size_t daemon, kj::HttpMethod method, std::string path, std::string body)
{
    return this->exchange(daemon, { method, std::move(path), std::move(body), "", "" });
}

} // namespace endivetrestle
