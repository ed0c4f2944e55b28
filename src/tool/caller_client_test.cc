#include "tool/caller_client.h"

#include <catch2/catch.hpp>

#include <map>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Answers every request with a fixed body, or with none at all, and keeps what it received.
class FixedService : public kj::HttpService {
public:
    FixedService(kj::HttpHeaderTable& table, kj::HttpHeaderId session, kj::HttpHeaderId key)
        : table(table)
        , session(session)
        , key(key)
    {
    }

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& requestBody, Response& response) override
    {
        this->requests += 1;
        this->lastUrl = std::string(kj::str(method).cStr()) + " " + url.cStr();
        this->lastKey = headers.get(this->key).orDefault("").cStr();
        this->lastSession = headers.get(this->session).orDefault("").cStr();
        if (this->silent)
            return kj::NEVER_DONE;
        return requestBody.readAllText().then([this, &response](kj::String body) {
            this->lastBody = body.cStr();
            kj::HttpHeaders headers(this->table);
            headers.set(this->session, "token-2");
            auto stream = response.send(200, "OK", headers, this->body.size());
            auto done = stream->write(this->body.data(), this->body.size());
            return done.attach(kj::mv(stream));
        });
    }

    kj::HttpHeaderTable& table;
    kj::HttpHeaderId session;
    kj::HttpHeaderId key;
    std::string body;
    bool silent = false;
    int requests = 0;
    std::string lastUrl, lastBody, lastKey, lastSession;
};

struct Bench {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::HttpHeaderTable::Builder builder;
    kj::HttpHeaderId session = builder.add("Endivetrestle-Session");
    kj::HttpHeaderId key = builder.add("Authorization");
    kj::Own<kj::HttpHeaderTable> table = builder.build();
    FixedService service { *table, session, key };
    kj::Own<kj::HttpServer> server = kj::heap<kj::HttpServer>(io.provider->getTimer(), *table, service);
    kj::Own<kj::ConnectionReceiver> port
        = io.provider->getNetwork().parseAddress("127.0.0.1", 0).wait(io.waitScope)->listen();
    kj::Promise<void> listening = server->listenHttp(*port).eagerlyEvaluate(nullptr);
    DaemonAddress address { "127.0.0.1", static_cast<std::uint16_t>(port->getPort()) };
};

CallerCall writeCall()
{
    CallerCall call;
    call.kind = RequestKind::Write;
    call.database = DatabaseId("shop-1");
    call.requestId = RequestId("r1");
    call.priority = Priority::Payment;
    call.statement = "append a b";
    call.session = "token-1";
    return call;
}

} // namespace

// Guards against a request or an answer that differs from the documented interface.
TEST_CASE("CallerClient, sends the documented request and reads the answer and the new token")
{
    Bench bench;
    bench.service.body = R"({"outcome":"completed","rows":["x"],"servedBy":"a2","replica":true,)"
                         R"("position":{"term":3,"index":17}})";
    CallerClient client(*bench.io.provider, { bench.address }, "secret");
    const auto answer = client.send(0, writeCall()).wait(bench.io.waitScope);
    CHECK(bench.service.lastUrl == "POST /v1/databases/shop-1/statements");
    CHECK(bench.service.lastKey == "Bearer secret");
    CHECK(bench.service.lastSession == "token-1");
    CHECK(bench.service.lastBody
        == R"({"deadlineMs":2000,"kind":"write","priority":"payment","repeatable":false,"statement":"append a b"})");
    CHECK(answer.state == OutcomeState::Completed);
    CHECK(answer.rows == "[\"x\"]");
    CHECK(answer.position == Position { 3, 17 });
    CHECK(answer.replica);
    CHECK(answer.session == "token-2");
}

// Guards against an outcome other than the one that the daemon stated in an error.
TEST_CASE("CallerClient, reads the outcome of an error")
{
    const auto answer = parseCallerAnswer(
        429, R"({"error":{"code":"queue_full","outcome":"did_not_run","message":"m","retryAfterMs":40}})", "");
    CHECK(answer.state == OutcomeState::DidNotRun);
    CHECK(answer.code == ErrorCode::QueueFull);
    CHECK(answer.retryAfter == 40ms);
    for (const char* body : { "", "[]", "{\"outcome\":\"maybe\"}", "{\"error\":\"x\"}" }) {
        CAPTURE(body);
        CHECK(parseCallerAnswer(200, body, "").state == OutcomeState::Unknown);
        CHECK(parseCallerAnswer(200, body, "").code == ErrorCode::AnswerMismatch);
    }
}

// Guards against "unknown" for a request that was never sent, and "did not run" for one that was.
TEST_CASE("CallerClient, tells an unreachable daemon from one that closes the connection before it answers")
{
    Bench bench;
    CallerClient client(*bench.io.provider, { bench.address }, "secret");
    bench.service.silent = true;
    auto pending = client.send(0, writeCall()).eagerlyEvaluate(nullptr);
    while (bench.service.requests == 0)
        bench.io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(bench.io.waitScope);
    bench.listening = nullptr;
    bench.server = nullptr;
    bench.port = nullptr;
    const auto broken = pending.wait(bench.io.waitScope);
    CHECK(broken.state == OutcomeState::Unknown);
    CHECK(broken.code == ErrorCode::EndpointUnreachable);
    const auto refused = client.send(0, writeCall()).wait(bench.io.waitScope);
    CHECK(refused.state == OutcomeState::DidNotRun);
    CHECK(refused.code == ErrorCode::EndpointUnreachable);
}

// Guards against a client that waits for ever for a daemon that does not answer.
TEST_CASE("CallerClient, gives up when the deadline and the grace time have passed without an answer")
{
    Bench bench;
    bench.service.silent = true;
    CallerClient client(*bench.io.provider, { bench.address }, "secret");
    auto call = writeCall();
    call.deadline = 1ms;
    const auto answer = client.send(0, call).wait(bench.io.waitScope);
    CHECK(answer.state == OutcomeState::Unknown);
    CHECK(answer.code == ErrorCode::DeadlineExceeded);
}

// Guards against a request that is reported as unknown because a connection was closed while it was idle.
TEST_CASE("CallerClient, opens a new connection when the idle one was closed by the daemon")
{
    Bench bench;
    bench.service.body = R"({"outcome":"completed"})";
    CallerClient client(*bench.io.provider, { bench.address }, "secret");
    CHECK(client.send(0, writeCall()).wait(bench.io.waitScope).state == OutcomeState::Completed);
    bench.server->drain().wait(bench.io.waitScope);
    bench.listening = nullptr;
    bench.server = kj::heap<kj::HttpServer>(bench.io.provider->getTimer(), *bench.table, bench.service);
    bench.listening = bench.server->listenHttp(*bench.port).eagerlyEvaluate(nullptr);
    // One turn of the loop may run an expired timer without looking at the sockets, so several turns are needed until
    // the close has been seen for certain.
    for (int turn = 0; turn < 20; ++turn)
        bench.io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(bench.io.waitScope);
    CHECK(client.send(0, writeCall()).wait(bench.io.waitScope).state == OutcomeState::Completed);
}

// Guards against addresses that are accepted although no daemon can be reached under them.
TEST_CASE("CallerClient, accepts only addresses with host and port")
{
    CHECK(parseDaemonAddress("127.0.0.1:80") == DaemonAddress { "127.0.0.1", 80 });
    CHECK(toString(*parseDaemonAddress("[::1]:8080")) == "[::1]:8080");
    for (const char* text : { "", ":80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "h:80x" }) {
        CAPTURE(text);
        CHECK_FALSE(parseDaemonAddress(text));
    }
}
