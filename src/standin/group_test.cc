#include "standin/group.h"

#include "standin/test_group.h"

#include <kj/vector.h>

using namespace endivetrestle;
using namespace endivetrestle::standin;
using namespace std::chrono_literals;

// Guards against replicas that answer reads before they hold and have applied the session's write.
TEST_CASE("StandinGroup, refuses a read when the replica has not applied the position")
{
    TestGroup test;
    test.control(R"({"endpoints": {"b": {"applyLagMs": 3600000}}})");
    auto primary = test.connect(0);
    auto replica = test.connect(1);
    const auto written = test.run(*primary, test.call(ExecuteKind::Write, "put k v", "r1"));
    CHECK(written.code == ErrorCode::None);
    auto read = test.call(ExecuteKind::Read, "get k");
    read.minPosition = written.position;
    const auto watched = test.wait(replica->watch({ written.position.term, written.position.index - 1 }, 10s, 20s));
    CHECK(watched.answer.lastLog == written.position);
    CHECK(test.run(*replica, read).code == ErrorCode::PositionNotReached);
    test.control(R"({"endpoints": {"b": {"applyLagMs": 0}}})");
    const auto answer = test.run(*replica, read);
    CHECK(answer.code == ErrorCode::None);
    CHECK(answer.rows == R"(["v"])");
    CHECK(answer.status.role == EndpointRole::Replica);
}

// Guards against a second effect when a write is sent again on another connection (I6).
TEST_CASE("StandinGroup, returns the first result when a request id arrives again")
{
    TestGroup test;
    auto one = test.connect(0);
    auto two = test.connect(0);
    const auto first = test.run(*one, test.call(ExecuteKind::Write, "add n 1", "r1"));
    const auto again = test.run(*two, test.call(ExecuteKind::Write, "add n 1", "r1"));
    CHECK(again.replayed);
    CHECK(again.position == first.position);
    CHECK(test.run(*two, test.call(ExecuteKind::Read, "get n")).rows == R"(["1"])");
}

// Guards against a replaced primary that takes writes, and against a promotion that is not followed (I2).
TEST_CASE("StandinGroup, moves writes to the new primary when a majority was fenced")
{
    TestGroup test;
    auto old = test.connect(0);
    auto next = test.connect(1);
    auto third = test.connect(2, true);
    test.control(R"({"replication": [{"from": "a", "to": "b"}, {"from": "a", "to": "c"}, {"from": "b", "to": "a"}]})");
    const FenceCall claim { 2, DaemonId("d1") };
    CHECK(test.wait(next->fence(claim, TestGroup::timeout)).answer.granted);
    CHECK(test.wait(third->fence(claim, TestGroup::timeout)).answer.granted);
    CHECK_FALSE(test.wait(third->fence({ 2, DaemonId("d2") }, TestGroup::timeout)).answer.granted);
    const auto promoted = test.wait(next->promote(claim, TestGroup::timeout));
    CHECK(promoted.answer.granted);
    CHECK(promoted.answer.status.role == EndpointRole::Primary);
    const auto stale = test.run(*old, test.call(ExecuteKind::Write, "put k old", "r1"));
    CHECK(stale.code == ErrorCode::None); // still believes to be primary, but no other endpoint holds the record
    const auto written = test.run(*next, test.call(ExecuteKind::Write, "put k new", "r2"));
    const Position before { written.position.term, written.position.index - 1 };
    CHECK(test.wait(third->watch(before, 10s, 20s)).answer.lastLog == written.position);
    test.control(R"({"replication": [{"from": "b", "to": "a", "blocked": false}]})");
    CHECK(test.wait(old->watch({ 2, 0 }, 10s, 20s)).answer.term == 2);
    CHECK(test.run(*old, test.call(ExecuteKind::Write, "put k old", "r3")).code == ErrorCode::NotPrimary);
    auto read = test.call(ExecuteKind::Read, "get k");
    read.minPosition = stale.position;
    CHECK(test.run(*old, read).code == ErrorCode::PositionDiverged);
}

// Guards against an unknown outcome that cannot be resolved (I5).
TEST_CASE("StandinGroup, resolves a write as run when its answer was lost after the effect")
{
    TestGroup test;
    auto client = test.connect(0);
    auto control = test.connect(0, true);
    test.control(R"({"endpoints": {"a": {"loseAnswers": 1}}})");
    const auto lost = test.wait(client->execute(test.call(ExecuteKind::Write, "put k v", "r1"), TestGroup::timeout));
    CHECK(lost.error == ErrorCode::EndpointUnreachable);
    CHECK(lost.sent);
    CHECK_FALSE(client->usable());
    const auto found = test.wait(control->resolve({ RequestId("r1"), 1 }, TestGroup::timeout));
    CHECK(found.error == ErrorCode::None);
    CHECK(found.answer.ran);
}

// Guards against a write that was reported as not run and runs later (I5).
TEST_CASE("StandinGroup, refuses a delayed write when it was resolved before it ran")
{
    TestGroup test;
    auto client = test.connect(0);
    auto control = test.connect(0, true);
    test.control(R"({"endpoints": {"a": {"dropRequests": 1}}})");
    const auto call = test.call(ExecuteKind::Write, "put k v", "r1");
    CHECK(test.wait(client->execute(call, TestGroup::timeout)).error == ErrorCode::EndpointUnreachable);
    CHECK_FALSE(test.wait(control->resolve({ RequestId("r1"), 1 }, TestGroup::timeout)).answer.ran);
    auto again = test.connect(0);
    CHECK(test.run(*again, call).code == ErrorCode::RequestAborted);
}

// Guards against an answer delivered to another request (I4).
TEST_CASE(
    "StandinGroup, makes the client report AnswerMismatch when an answer is crossed, malformed or of another endpoint")
{
    TestGroup test;
    for (const auto* fault : { "crossAnswers", "malformedAnswers" }) {
        CAPTURE(fault);
        auto client = test.connect(0);
        auto control = test.connect(0, true);
        test.control(R"({"endpoints": {"a": {")" + std::string(fault) + R"(": 2}}})");
        const auto answer = test.wait(client->execute(test.call(ExecuteKind::Read, "get k"), TestGroup::timeout));
        CHECK(answer.error == ErrorCode::AnswerMismatch);
        CHECK(answer.answer == ExecuteAnswer {});
        CHECK_FALSE(client->usable());
        const auto after = test.wait(client->execute(test.call(ExecuteKind::Read, "get k"), TestGroup::timeout));
        CHECK(after.error == ErrorCode::EndpointUnreachable);
        CHECK_FALSE(after.sent);
        CHECK(test.wait(control->status(TestGroup::timeout)).error == ErrorCode::AnswerMismatch);
    }
    EndpointConnectOptions options;
    options.address = test.group->addressOf(1);
    options.endpoint = EndpointId("a");
    auto opened = connectEndpoint(test.io.provider->getNetwork(), test.io.provider->getTimer(), options);
    CHECK(test.wait(kj::mv(opened)).error == ErrorCode::AnswerMismatch);
}

// Guards against connections above the endpoint's limit, and against a limit that also shuts out control calls.
TEST_CASE("StandinGroup, refuses a connection when the limit is reached and frees it when one closes")
{
    EndpointSwitches switches;
    switches.connectionLimit = 2;
    TestGroup test(switches);
    auto one = test.connect(0);
    auto two = test.connect(0);
    auto refused = test.wait(test.tryConnect(0));
    CHECK(refused.error == ErrorCode::ConnectionLimit);
    auto control = test.connect(0, true);
    CHECK(test.wait(control->status(TestGroup::timeout)).error == ErrorCode::None);
    const auto wrong = test.wait(control->execute(test.call(ExecuteKind::Read, "get k"), TestGroup::timeout));
    CHECK(wrong.error == ErrorCode::BadRequest);
    one = nullptr;
    test.until([&] { return test.group->endpoint(0).connections() == 1; });
    test.connect(0);
}

// Guards against more statements at once than the endpoint has slots, and against statements that are forgotten.
TEST_CASE("StandinGroup, makes statements wait when all slots are busy")
{
    EndpointSwitches switches;
    switches.slots = 2;
    switches.serviceTime = 1h;
    TestGroup test(switches);
    auto& endpoint = test.group->endpoint(0);
    std::vector<kj::Own<EndpointClient>> clients;
    kj::Vector<kj::Promise<void>> calls;
    int done = 0;
    int busiest = 0;
    for (int index = 0; index < 6; ++index) {
        clients.push_back(test.connect(0));
        calls.add(clients.back()
                      ->execute(test.call(ExecuteKind::Read, "get k"), 1h)
                      .then([&](const EndpointResult<ExecuteAnswer>& result) {
                          done += result.error == ErrorCode::None ? 1 : 0;
                          busiest = std::max(busiest, result.answer.status.busySlots);
                      })
                      .eagerlyEvaluate(nullptr));
    }
    test.until([&] { return endpoint.waitingStatements() == 4; });
    CHECK(endpoint.busySlots() == 2);
    test.control(R"({"endpoints": {"a": {"slots": 3, "serviceTimeMs": 1}}})");
    test.until([&] { return done == 4; });
    CHECK(busiest == 3);
    test.until([&] { return endpoint.busySlots() == 2; });
    CHECK(endpoint.waitingStatements() == 0);
}

// Guards against an open transaction that outlives a daemon or is handed to another caller (I3).
TEST_CASE("StandinGroup, rolls back a transaction when its connection is closed or reset")
{
    TestGroup test;
    for (const bool reset : { true, false }) {
        CAPTURE(reset);
        auto client = test.connect(0);
        test.run(*client, test.call(ExecuteKind::Begin, ""));
        test.run(*client, test.call(ExecuteKind::Statement, "put k v"));
        if (reset) {
            CHECK(test.wait(client->reset(TestGroup::timeout)).error == ErrorCode::None);
            const auto late = test.run(*client, test.call(ExecuteKind::Commit, "", "r1"));
            CHECK(late.code == ErrorCode::TransactionAborted);
        }
        client = nullptr;
        test.until([&] { return test.group->endpoint(0).connections() == 0; });
    }
    CHECK(test.group->endpoint(0).core().table().empty());
    auto client = test.connect(0);
    test.run(*client, test.call(ExecuteKind::Begin, ""));
    test.run(*client, test.call(ExecuteKind::Statement, "put k v"));
    CHECK(test.run(*client, test.call(ExecuteKind::Commit, "", "r2")).code == ErrorCode::None);
    CHECK(test.group->endpoint(0).core().table().at("k") == "v");
}

// Guards against a blackhole that also swallows the calls of other daemons, and against effects of swallowed requests.
TEST_CASE("StandinGroup, answers other daemons when one daemon is cut off")
{
    TestGroup test;
    auto cut = test.connect(0, false, "d1");
    auto other = test.connect(0, false, "d2");
    test.control(R"({"endpoints": {"*": {"blackholeDaemons": ["d1"]}}})");
    const auto lost = test.wait(cut->execute(test.call(ExecuteKind::Write, "put k v", "r1"), 20ms));
    CHECK(lost.error == ErrorCode::DeadlineExceeded);
    CHECK(test.run(*other, test.call(ExecuteKind::Read, "get k")).rows.empty());
    cut = nullptr;
    test.until([&] { return test.group->endpoint(0).connections() == 1; });
}

// Guards against a paused endpoint that forgets the requests that it had taken: they run late, as after a real pause.
TEST_CASE("StandinGroup, runs a write after the pause when its sender has gone")
{
    TestGroup test;
    auto client = test.connect(0);
    test.control(R"({"endpoints": {"a": {"paused": true}}})");
    const auto late = test.wait(client->execute(test.call(ExecuteKind::Write, "put k v", "r1"), 20ms));
    CHECK(late.error == ErrorCode::DeadlineExceeded);
    client = nullptr;
    test.until([&] { return test.group->endpoint(0).connections() == 0; });
    CHECK(test.group->endpoint(0).core().table().empty());
    test.control(R"({"endpoints": {"a": {"paused": false}}})");
    test.until([&] { return test.group->endpoint(0).core().table().contains("k"); });
}

// Guards against an endpoint that cannot return, or returns without its log.
TEST_CASE("StandinGroup, keeps port, log and role when an endpoint was down")
{
    TestGroup test;
    auto client = test.connect(0);
    test.run(*client, test.call(ExecuteKind::Write, "put k v", "r1"));
    test.control(R"({"endpoints": {"a": {"down": true}}})");
    const auto call = test.call(ExecuteKind::Read, "get k");
    CHECK(test.wait(client->execute(call, TestGroup::timeout)).error == ErrorCode::EndpointUnreachable);
    CHECK(test.wait(test.tryConnect(0)).error == ErrorCode::EndpointUnreachable);
    test.control(R"({"endpoints": {"a": {"down": false}}})");
    auto again = test.connect(0);
    const auto answer = test.run(*again, test.call(ExecuteKind::Read, "get k"));
    CHECK(answer.rows == R"(["v"])");
    CHECK(answer.status.role == EndpointRole::Primary);
}

// Guards against experiments whose mistyped switch is silently ignored, and covers the switches over HTTP.
TEST_CASE("StandinGroup, sets switches over HTTP when the body is valid")
{
    TestGroup test;
    auto connected = test.wait(connectJsonHttp(test.io.provider->getNetwork(), test.io.provider->getTimer(),
        "127.0.0.1:" + std::to_string(test.group->controlPort()), TestGroup::timeout, {}));
    REQUIRE(connected.error == ErrorCode::None);
    const auto post = [&](const std::string& body) {
        return test.wait(
            connected.connection->call(kj::HttpMethod::POST, "/standin/control", body, TestGroup::timeout));
    };
    const auto* good
        = R"({"endpoints": {"b": {"positionBack": 1}}, "delays": [{"from": "x", "to": "y", "delayMs": 0.5}]})";
    CHECK(post(good).status == 200);
    CHECK(post(R"({"endpoints": {"b": {"pozitionBack": 1}}})").status == 400);
    CHECK(post(R"({"endpoints": {"q": {"down": true}}})").status == 400);
    auto replica = test.connect(1, true);
    test.until([&] { return test.group->endpoint(1).core().lastLog().index == 1; });
    CHECK(test.wait(replica->status(TestGroup::timeout)).answer.lastLog.index == 0);
    const auto status
        = test.wait(connected.connection->call(kj::HttpMethod::GET, "/standin/status", "", TestGroup::timeout));
    CHECK(nlohmann::json::parse(status.body)["endpoints"][0]["role"] == "primary");
}
