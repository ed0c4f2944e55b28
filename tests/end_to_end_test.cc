#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

// Guards against a session that does not see its own write through another daemon while replicas lag.
TEST_CASE("EndToEnd, reads the session's own write when another daemon serves the read")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    running.deployment.controlGroup(DatabaseId("shop-1"), R"({"endpoints": {"*": {"applyLagMs": 200}}})");
    const auto written = running.write(0, "put mango 12", "w1");
    CAPTURE(written.detail, written.status);
    REQUIRE(written.state == OutcomeState::Completed);
    REQUIRE_FALSE(written.session.empty());
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        const auto read = running.read(daemon, "get mango", written.session);
        CAPTURE(read.detail, read.servedBy);
        CHECK(read.rows == R"(["12"])");
    }
}

// Guards against a replica that is never used although it has what the session needs.
TEST_CASE("EndToEnd, serves a read from a replica when the replica has applied the session's write")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto written = running.write(0, "put mango 12", "w1");
    REQUIRE(written.state == OutcomeState::Completed);
    bool byReplica = false;
    for (int attempt = 0; attempt < 1000 && !byReplica; ++attempt) {
        const auto read = running.read(1, "get mango", written.session);
        CAPTURE(read.detail);
        REQUIRE(read.rows == R"(["12"])");
        byReplica = read.replica;
    }
    CHECK(byReplica);
}

// Guards against a request id that runs twice when it arrives through two daemons.
TEST_CASE("EndToEnd, runs a write once when its request id is sent through both daemons")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    CHECK(running.write(0, "add cups 1", "w1").state == OutcomeState::Completed);
    const auto second = running.write(1, "add cups 1", "w1");
    CAPTURE(second.detail);
    CHECK(second.state == OutcomeState::Completed);
    CHECK(running.read(0, "get cups", second.session).rows == R"(["1"])");
}

// Guards against statements of a transaction that reach the database before the commit or get lost with it.
TEST_CASE("EndToEnd, applies a transaction as a whole when it is committed through another daemon")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto begun = running.send(0, running.newCall(RequestKind::Begin, "t1"));
    CAPTURE(begun.detail);
    REQUIRE(begun.state == OutcomeState::Completed);
    auto statement = running.newCall(RequestKind::Statement, "t2");
    statement.transaction = begun.transaction;
    statement.statement = "put a 1;put b 2";
    CHECK(running.send(1, statement).state == OutcomeState::Completed);
    CHECK(running.read(0, "count a").rows == R"(["0"])");
    auto commit = running.newCall(RequestKind::Commit, "t3");
    commit.transaction = begun.transaction;
    const auto committed = running.send(1, commit);
    CAPTURE(committed.detail);
    REQUIRE(committed.state == OutcomeState::Completed);
    CHECK(running.read(0, "get a", committed.session).rows == R"(["1"])");
}

// Guards against a caller that stays without answers when the primary dies.
TEST_CASE("EndToEnd, accepts writes at a new primary when the primary is down")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto before = running.write(0, "put mango 12", "w1");
    REQUIRE(before.state == OutcomeState::Completed);
    running.deployment.controlGroup(DatabaseId("shop-1"), R"({"endpoints": {"shop-1-a": {"down": true}}})");
    auto after = running.write(1, "put mango 13", "w2", before.session);
    for (int attempt = 0; after.state != OutcomeState::Completed && attempt < 20; ++attempt)
        after = running.write(1, "put mango 13", "w2-" + std::to_string(attempt), before.session);
    CAPTURE(after.detail);
    REQUIRE(after.state == OutcomeState::Completed);
    CHECK(after.position.term > before.position.term);
    CHECK(running.read(0, "get mango", after.session).rows == R"(["13"])");
}

// Guards against a token that another key signed being taken for a session.
TEST_CASE("EndToEnd, refuses a token when it was changed")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    auto token = running.write(0, "put mango 12", "w1").session;
    REQUIRE(token.size() > 10);
    token[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
    const auto read = running.read(0, "get mango", token);
    CHECK(read.state == OutcomeState::DidNotRun);
    CHECK((read.code == ErrorCode::TokenForged || read.code == ErrorCode::TokenMalformed));
}

// Guards against a read that asks for current data and never gets an answer.
TEST_CASE("EndToEnd, answers a read from a confirmed primary when its age bound is zero")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    REQUIRE(running.write(0, "put mango 12", "w1").state == OutcomeState::Completed);
    auto call = running.newCall(RequestKind::Read, "r1");
    call.statement = "get mango";
    call.maxAge = Duration::zero();
    const auto read = running.send(1, call);
    CAPTURE(read.detail);
    CHECK(read.state == OutcomeState::Completed);
    CHECK(read.rows == R"(["12"])");
    CHECK_FALSE(read.replica);
}
