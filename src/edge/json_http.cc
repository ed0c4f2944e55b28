#include "edge/json_http.h"

#include "edge/batching_stream.h"
#include "edge/json_http_internal.h"
#include "edge/kj_time.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

using internal::BodyText;
using internal::describe;
using internal::headerNames;
using internal::readBody;

JsonHttpConnection::JsonHttpConnection(
    kj::Own<kj::AsyncIoStream> stream, kj::Timer& timer, JsonHttpClientOptions options)
    : stream(internal::batchWrites(kj::mv(stream)))
    , timer(timer)
    , options(std::move(options))
    , client(kj::newHttpClient(*headerNames().table, *this->stream))
{
}

void JsonHttpConnection::markBroken(std::string reason)
{
    if (this->failure.empty())
        this->failure = reason.empty() ? "connection failed" : std::move(reason);
}

kj::HttpHeaders JsonHttpConnection::takeHeaders()
{
    kj::HttpHeaders headers(*headerNames().table);
    headers.set(kj::HttpHeaderId::HOST, "e");
    if (this->introduced)
        return headers;
    this->introduced = true;
    if (!this->options.daemon.empty())
        headers.set(headerNames().daemon, kj::StringPtr(this->options.daemon.c_str()));
    if (!this->options.dataCentre.empty())
        headers.set(headerNames().dataCentre, kj::StringPtr(this->options.dataCentre.c_str()));
    return headers;
}

kj::Promise<JsonHttpReply> JsonHttpConnection::readReply(kj::HttpClient::Response& response)
{
    const unsigned status = response.statusCode;
    return readBody(*response.body, this->options.bodyLimit).then([this, status](BodyText body) {
        KJ_IF_MAYBE (text, body)
            return JsonHttpReply { ErrorCode::None, status, std::move(*text) };
        this->markBroken("answer exceeds the body limit");
        return JsonHttpReply { ErrorCode::BodyTooLarge, status, {}, this->failure };
    });
}

kj::Promise<kj::HttpClient::Response> JsonHttpConnection::send(
    kj::HttpMethod method, kj::StringPtr path, std::string body)
{
    const auto headers = this->takeHeaders();
    auto request = this->client->request(method, path, headers, body.size());
    if (body.empty())
        return kj::mv(request.response);
    auto text = kj::heap<std::string>(std::move(body));
    auto written = request.body->write(text->data(), text->size()).attach(kj::mv(text));
    return written.then([stream = kj::mv(request.body), answer = kj::mv(request.response)]() mutable {
        stream = nullptr;
        return kj::mv(answer);
    });
}

kj::Promise<JsonHttpReply> JsonHttpConnection::exchange(kj::HttpMethod method, kj::StringPtr path, std::string body)
{
    if (!this->usable())
        return JsonHttpReply { ErrorCode::EndpointUnreachable, 0, {}, this->failure, false };
    this->busy = true;
    auto turn = kj::heap<Turn>(*this);
    auto& current = *turn;
    return kj::evalNow([&] { return this->send(method, path, std::move(body)); })
        .then([this](kj::HttpClient::Response response) {
            auto holder = kj::heap<kj::HttpClient::Response>(kj::mv(response));
            auto& reference = *holder;
            return this->readReply(reference).attach(kj::mv(holder));
        })
        .then(
            [&current](JsonHttpReply reply) {
                current.answered = true;
                return reply;
            },
            [this](kj::Exception&& exception) {
                this->markBroken(describe(exception));
                return JsonHttpReply { ErrorCode::EndpointUnreachable, 0, {}, this->failure };
            })
        .attach(kj::mv(turn));
}

JsonHttpConnection::Turn::~Turn() noexcept(false)
{
    if (!this->answered)
        this->connection.markBroken("a call was abandoned before its answer");
    this->connection.busy = false;
    for (auto& waiter : std::exchange(this->connection.waiters, {}))
        waiter->fulfill();
}

kj::Promise<JsonHttpReply> JsonHttpConnection::call(
    kj::HttpMethod method, kj::StringPtr path, std::string body, Duration timeout)
{
    if (!this->usable())
        return JsonHttpReply { ErrorCode::EndpointUnreachable, 0, {}, this->failure, false };
    if (this->busy)
        return this->callLater(method, path, std::move(body), timeout);
    auto late = this->timer.afterDelay(toKj(timeout)).then([this] {
        this->markBroken("no answer within the timeout");
        return JsonHttpReply { ErrorCode::DeadlineExceeded, 0, {}, this->failure };
    });
    return this->exchange(method, path, std::move(body)).exclusiveJoin(kj::mv(late)).attach(kj::addRef(*this));
}

kj::Promise<JsonHttpReply> JsonHttpConnection::callLater(
    kj::HttpMethod method, kj::StringPtr path, std::string body, Duration timeout)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    this->waiters.push_back(kj::mv(pair.fulfiller));
    const auto deadline = this->timer.now() + toKj(timeout);
    auto late = this->timer.atTime(deadline).then([] { return false; });
    return pair.promise.then([] { return true; })
        .exclusiveJoin(kj::mv(late))
        .then([this, method, path, body = std::move(body), deadline](bool turn) mutable -> kj::Promise<JsonHttpReply> {
            if (!turn)
                return JsonHttpReply { ErrorCode::DeadlineExceeded, 0, {}, "earlier calls took too long", false };
            auto left = std::max(deadline - this->timer.now(), 0 * kj::NANOSECONDS);
            return this->call(method, path, std::move(body), Duration(left / kj::MICROSECONDS));
        })
        .attach(kj::addRef(*this));
}

kj::Promise<JsonHttpConnect> connectJsonHttp(
    kj::Network& network, kj::Timer& timer, std::string address, Duration timeout, JsonHttpClientOptions options)
{
    const auto text = kj::str(address.c_str());
    auto opened = network.parseAddress(text)
                      .then([](kj::Own<kj::NetworkAddress> target) {
                          auto& reference = *target;
                          return reference.connect().attach(kj::mv(target));
                      })
                      .then(
                          [&timer, options = std::move(options)](kj::Own<kj::AsyncIoStream> stream) mutable {
                              auto connection
                                  = kj::refcounted<JsonHttpConnection>(kj::mv(stream), timer, std::move(options));
                              return JsonHttpConnect { ErrorCode::None, {}, kj::mv(connection) };
                          },
                          [](kj::Exception&& exception) {
                              return JsonHttpConnect { ErrorCode::EndpointUnreachable, describe(exception), {} };
                          });
    auto late = timer.afterDelay(toKj(timeout)).then([] {
        return JsonHttpConnect { ErrorCode::DeadlineExceeded, "connection not opened within the timeout", {} };
    });
    return opened.exclusiveJoin(kj::mv(late));
}

} // namespace endivetrestle
