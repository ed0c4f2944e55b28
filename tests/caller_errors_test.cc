#include "base/sha256.h"
#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr const char* statements = "/v1/databases/shop-1/statements";

std::string keyOf(RunningDeployment& running) { return running.deployment.caller().key; }

// Session token of a fresh write.
std::string newSession(RunningDeployment& running)
{
    return running.settledWrite(0, "put mango 12", "session-" + std::to_string(++running.reads)).session;
}

} // namespace

// Guards against error codes that change, and against a bad request that disturbs another connection.
TEST_CASE("CallerErrors, answers stable codes and goes on serving when requests are wrong")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto key = keyOf(running);
    struct Case {
        std::string name;
        std::string path;
        std::string key;
        std::string headers;
        std::string body;
        int status;
        std::string code;
    };
    const std::vector<Case> cases = {
        { "broken JSON", statements, key, "", R"({"statement": )", 400, "bad_request" },
        { "no JSON", statements, key, "", "", 400, "bad_request" },
        { "array", statements, key, "", "[]", 400, "bad_request" },
        { "deep JSON", statements, key, "", std::string(100000, '['), 400, "bad_request" },
        { "unknown key", statements, key, "", R"({"statement": "get a", "colour": 1})", 400, "bad_request" },
        { "double key", statements, key, "", R"({"statement": "get a", "statement": "get b"})", 400, "bad_request" },
        { "wrong type", statements, key, "", R"({"statement": 7})", 400, "bad_request" },
        { "no statement", statements, key, "", R"({"kind": "read"})", 400, "bad_request" },
        { "deadline 0", statements, key, "", R"({"statement": "get a", "deadlineMs": 0})", 400, "bad_request" },
        { "huge deadline", statements, key, "", R"({"statement": "get a", "deadlineMs": 1e300})", 400, "bad_request" },
        { "negative age", statements, key, "", R"({"statement": "get a", "maxAgeMs": -5})", 400, "bad_request" },
        { "kind of another path", statements, key, "", R"({"statement": "get a", "kind": "commit"})", 400,
            "bad_request" },
        { "unknown statement", statements, key, "", R"({"statement": "fetch a"})", 400, "statement_failed" },
        { "wrong key", statements, "no-such-key-0000", "", R"({"statement": "get a"})", 401, "unauthenticated" },
        { "unknown database", "/v1/databases/other/statements", key, "", R"({"statement": "get a"})", 404,
            "unknown_database" },
        { "unknown path", "/v1/other", key, "", "{}", 404, "bad_request" },
        { "unknown transaction", "/v1/transactions/abc/commit", key, "", "{}", 404, "unknown_transaction" },
        { "bad request id", statements, key, "Endivetrestle-Request-Id: a b/c\r\n", R"({"statement": "get a"})", 400,
            "bad_request" },
        { "long request id", statements, key, "Endivetrestle-Request-Id: " + std::string(129, 'x') + "\r\n",
            R"({"statement": "get a"})", 400, "bad_request" },
        { "token of no form", statements, key, "Endivetrestle-Session: %%%\r\n", R"({"statement": "get a"})", 401,
            "token_malformed" },
        { "body over the limit", statements, key, "", std::string((1U << 20U) + 1, ' '), 400, "bad_request" },
    };
    const auto before = running.write(0, "put mango 12", "before");
    REQUIRE(before.state == OutcomeState::Completed);
    for (const auto& test : cases) {
        const auto response = running.post(test.path, test.key, test.headers, test.body);
        CAPTURE(test.name, response.text.substr(0, 500));
        CHECK(response.status == test.status);
        CHECK(response.code == test.code);
        CHECK(running.read(0, "get mango", before.session).rows == R"(["12"])");
    }
}

// Guards against a declared length that makes the daemon reserve memory or stops it.
TEST_CASE("CallerErrors, refuses a body when its declared length is far over the limit")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    for (const auto* length : { "1073741824", "18446744073709551615", "99999999999999999999999", "-1", "x" }) {
        const auto response = running.exchangeRaw(0,
            std::string("POST ") + statements + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + keyOf(running)
                + "\r\nContent-Length: " + length + "\r\n\r\n{");
        CAPTURE(length, response.text);
        CHECK(response.status == 400);
        CHECK(response.code == "bad_request");
        CHECK(running.read(0, "get mango").state == OutcomeState::Completed);
    }
}

// Guards against a caller that uses the session of another one.
TEST_CASE("CallerErrors, refuses a session token when another caller sends it")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const std::string otherKey = "key-of-another-caller";
    const auto applied = running.apply({ { "intent", "declareCaller" },
        { "caller",
            { { "id", "other" }, { "keySha256", sha256Hex(otherKey) },
                { "databases", { { "shop-1", nlohmann::json::object() } } } } } });
    CAPTURE(applied.dump());
    REQUIRE(applied["status"] == "accepted");
    const auto headers = "Endivetrestle-Session: " + newSession(running) + "\r\n";
    const auto response = running.post(statements, otherKey, headers, R"({"statement": "get mango"})");
    CAPTURE(response.text);
    CHECK(response.status == 401);
    CHECK(response.code == "token_foreign");
    CHECK(running.post(statements, otherKey, "", R"({"statement": "get mango"})").status == 200);
}

// Guards against a caller that uses the open transaction of another one.
TEST_CASE("CallerErrors, hides a transaction when another caller names it")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const std::string otherKey = "key-of-another-caller";
    const auto applied = running.apply({ { "intent", "declareCaller" },
        { "caller",
            { { "id", "other" }, { "keySha256", sha256Hex(otherKey) },
                { "databases", { { "shop-1", nlohmann::json::object() } } } } } });
    REQUIRE(applied["status"] == "accepted");
    const auto begun = running.send(0, running.newCall(RequestKind::Begin, "t1"));
    REQUIRE(begun.state == OutcomeState::Completed);
    const auto path = "/v1/transactions/" + begun.transaction.value;
    CHECK(
        running.post(path + "/statements", otherKey, "", R"({"statement": "put a 1"})").code == "unknown_transaction");
    CHECK(running.post(path + "/commit", otherKey, "", "{}").code == "unknown_transaction");
    auto commit = running.newCall(RequestKind::Commit, "t2");
    commit.transaction = begun.transaction;
    CHECK(running.send(0, commit).state == OutcomeState::Completed);
    CHECK(running.read(0, "count a").rows == R"(["0"])");
}

// Guards against a token that is accepted for ever.
TEST_CASE("CallerErrors, refuses a session token when it has expired")
{
    auto shape = demoShape();
    shape.settings.limits.tokenLifetime = 0s;
    RunningDeployment running(shape);
    REQUIRE(running.problem.empty());
    const auto session = newSession(running);
    CallerAnswer read;
    CHECK(running.waitUntil([&] {
        read = running.read(1, "get mango", session);
        return read.code == ErrorCode::TokenExpired;
    }));
    CAPTURE(read.detail, read.status);
    CHECK(read.status == 401);
    CHECK(read.state == OutcomeState::DidNotRun);
}

// Guards against data that is older than the operators allow.
TEST_CASE("CallerErrors, refuses a read when its age is above what the caller may read")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto applied = running.apply(
        { { "intent", "setReadAge" }, { "caller", "shop" }, { "database", "shop-1" }, { "maxReadAgeMs", 1000 } });
    REQUIRE(applied["status"] == "accepted");
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        auto call = running.newCall(RequestKind::Read, "r1");
        call.statement = "get mango";
        call.maxAge = 1001ms;
        const auto refused = running.send(daemon, call);
        CHECK(refused.status == 403);
        CHECK(refused.code == ErrorCode::AgeNotAllowed);
        call.maxAge = 1000ms;
        CHECK(running.send(daemon, call).state == OutcomeState::Completed);
    }
}

// Guards against an operator's interface that is open to callers, and errors without a code.
TEST_CASE("CallerErrors, refuses operators' requests when the key is not the operators'")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    CallerClient stranger(*running.io.provider, running.operatorAddresses(), keyOf(running));
    for (const auto* path :
        { "/admin/v1/status", "/admin/v1/explain", "/admin/v1/report", "/admin/v1/configuration" }) {
        const auto response = stranger.fetch(0, kj::HttpMethod::GET, path, "").wait(running.io.waitScope);
        CAPTURE(path, response.body);
        CHECK(response.status == 401);
        CHECK(response.body.find("unauthenticated") != std::string::npos);
    }
    CHECK(running.operate(0, "/admin/v1/explain?kind=nothing")["httpStatus"] == 400);
    CHECK(running.operate(0, "/admin/v1/nothing")["httpStatus"] == 404);
    CHECK(running.operate(0, "/admin/v1/plans", nlohmann::json("text"))["httpStatus"] == 400);
    CHECK(running.operate(0, "/admin/v1/plans/confirm", nlohmann::json::object())["httpStatus"] == 404);
}
