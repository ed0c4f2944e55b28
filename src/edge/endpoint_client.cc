#include "edge/endpoint_client.h"

#include "edge/endpoint_call_json.h"

#include <atomic>
#include <utility>

namespace endivetrestle {

namespace {

// Numbers control calls across all connections of the process, so that no two calls share a tag.
std::string nextTag(const std::string& daemon)
{
    static std::atomic<std::uint64_t> lastNumber = 0;
    return daemon + "/" + std::to_string(++lastNumber);
}

template <typename Answer> EndpointResult<Answer> failed(ErrorCode error, std::string detail, bool sent = true)
{
    EndpointResult<Answer> result;
    result.error = error;
    result.detail = std::move(detail);
    result.sent = sent;
    return result;
}

const EndpointStatus& statusOf(const EndpointStatus& answer) { return answer; }
const EndpointStatus& statusOf(const FenceAnswer& answer) { return answer.status; }
const EndpointStatus& statusOf(const ResolveAnswer& answer) { return answer.status; }

// What an answer must carry to be accepted.
struct Expectation {
    mutable kj::Own<JsonHttpConnection> connection;
    EndpointId endpoint;

    [[nodiscard]] bool accepts(const EndpointStatus& status) const
    {
        return this->endpoint.empty() || status.endpoint == this->endpoint;
    }

    template <typename Answer> EndpointResult<Answer> mismatch(std::string detail) const
    {
        this->connection->markBroken(detail);
        return failed<Answer>(ErrorCode::AnswerMismatch, std::move(detail));
    }

    // Result of a reply that holds no answer of the call.
    template <typename Answer> EndpointResult<Answer> refused(JsonHttpReply reply) const
    {
        if (reply.error == ErrorCode::BodyTooLarge)
            return this->mismatch<Answer>(std::move(reply.detail));
        if (reply.error != ErrorCode::None)
            return failed<Answer>(reply.error, std::move(reply.detail), reply.sent);
        auto refusal = fromJson<CallRefusal>(reply.body);
        if (!refusal)
            return this->mismatch<Answer>("malformed refusal");
        return failed<Answer>(refusal->code, std::move(refusal->detail));
    }

    EndpointResult<ExecuteAnswer> checkExecute(
        std::uint64_t callNumber, const RequestId& requestId, JsonHttpReply reply) const
    {
        if (reply.error != ErrorCode::None || reply.status != 200)
            return this->refused<ExecuteAnswer>(std::move(reply));
        auto answer = fromJson<ExecuteAnswer>(reply.body);
        if (!answer)
            return this->mismatch<ExecuteAnswer>("malformed answer");
        if (answer->callNumber != callNumber || answer->requestId != requestId)
            return this->mismatch<ExecuteAnswer>("answer to another request");
        if (!this->accepts(answer->status))
            return this->mismatch<ExecuteAnswer>("answer of another endpoint");
        return { ErrorCode::None, std::move(*answer) };
    }

    template <typename Answer> EndpointResult<Answer> check(const std::string& tag, JsonHttpReply reply) const
    {
        if (reply.error != ErrorCode::None || reply.status != 200)
            return this->refused<Answer>(std::move(reply));
        auto answer = fromJson<Tagged<Answer>>(reply.body);
        if (!answer)
            return this->mismatch<Answer>("malformed answer");
        if (answer->tag != tag)
            return this->mismatch<Answer>("answer to another call");
        if (!this->accepts(statusOf(answer->value)))
            return this->mismatch<Answer>("answer of another endpoint");
        return { ErrorCode::None, std::move(answer->value) };
    }
};

class HttpEndpointClient final : public EndpointClient {
public:
    HttpEndpointClient(kj::Own<JsonHttpConnection> connection, EndpointId endpoint, std::string daemon)
        : connection(kj::mv(connection))
        , endpoint(std::move(endpoint))
        , daemon(std::move(daemon))
    {
    }

    kj::Promise<EndpointResult<ExecuteAnswer>> execute(const ExecuteCall& call, Duration timeout) override
    {
        return this->connection->call(kj::HttpMethod::POST, "/execute", toJson(call), timeout)
            .then([expected = this->expectation(), number = call.callNumber, requestId = call.requestId](
                      JsonHttpReply reply) { return expected.checkExecute(number, requestId, std::move(reply)); });
    }

    kj::Promise<EndpointResult<EndpointStatus>> status(Duration timeout) override
    {
        return this->control<EndpointStatus>("/status", EmptyCall {}, timeout);
    }

    kj::Promise<EndpointResult<EndpointStatus>> watch(Position after, Duration wait, Duration timeout) override
    {
        return this->control<EndpointStatus>("/watch", WatchCall { after, wait }, timeout);
    }

    kj::Promise<EndpointResult<FenceAnswer>> fence(const FenceCall& call, Duration timeout) override
    {
        return this->control<FenceAnswer>("/fence", call, timeout);
    }

    kj::Promise<EndpointResult<FenceAnswer>> promote(const PromoteCall& call, Duration timeout) override
    {
        return this->control<FenceAnswer>("/promote", call, timeout);
    }

    kj::Promise<EndpointResult<ResolveAnswer>> resolve(const ResolveCall& call, Duration timeout) override
    {
        return this->control<ResolveAnswer>("/resolve", call, timeout);
    }

    kj::Promise<EndpointResult<EndpointStatus>> reset(Duration timeout) override
    {
        return this->control<EndpointStatus>("/reset", EmptyCall {}, timeout);
    }

    [[nodiscard]] bool usable() const override { return this->connection->usable(); }

    // First call of the connection.
    kj::Promise<EndpointResult<EndpointStatus>> open(bool control, Duration timeout)
    {
        return this->control<EndpointStatus>("/open", OpenCall { control }, timeout);
    }

private:
    [[nodiscard]] Expectation expectation() const { return { kj::addRef(*this->connection), this->endpoint }; }

    template <typename Answer, typename Call>
    kj::Promise<EndpointResult<Answer>> control(kj::StringPtr path, const Call& call, Duration timeout)
    {
        auto tag = nextTag(this->daemon);
        auto text = toJson(Tagged<Call> { tag, call });
        return this->connection->call(kj::HttpMethod::POST, path, std::move(text), timeout)
            .then([expected = this->expectation(), tag = std::move(tag)](
                      JsonHttpReply reply) { return expected.check<Answer>(tag, std::move(reply)); });
    }

    mutable kj::Own<JsonHttpConnection> connection;
    EndpointId endpoint;
    std::string daemon;
};

using Opened = EndpointResult<kj::Own<EndpointClient>>;

kj::Promise<Opened> introduce(JsonHttpConnect connected, const EndpointConnectOptions& options)
{
    if (connected.error != ErrorCode::None)
        return failed<kj::Own<EndpointClient>>(connected.error, std::move(connected.detail), false);
    auto client = kj::heap<HttpEndpointClient>(kj::mv(connected.connection), options.endpoint, options.daemon.value);
    auto& reference = *client;
    return reference.open(options.control, options.timeout)
        .then([client = kj::mv(client)](EndpointResult<EndpointStatus> answer) mutable {
            if (answer.error != ErrorCode::None)
                return failed<kj::Own<EndpointClient>>(answer.error, std::move(answer.detail), false);
            Opened opened;
            opened.answer = kj::mv(client);
            return opened;
        });
}

} // namespace

kj::Promise<EndpointResult<kj::Own<EndpointClient>>> connectEndpoint(
    kj::Network& network, kj::Timer& timer, EndpointConnectOptions options)
{
    JsonHttpClientOptions http { options.daemon.value, options.dataCentre.value, options.bodyLimit };
    auto connected = connectJsonHttp(network, timer, options.address, options.timeout, std::move(http));
    return connected.then(
        [options = std::move(options)](JsonHttpConnect opened) { return introduce(kj::mv(opened), options); });
}

} // namespace endivetrestle
