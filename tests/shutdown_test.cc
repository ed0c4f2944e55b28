#include "end_to_end.h"

#include <catch2/catch.hpp>

#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t writeCount = 100;

// Starts writes that each add one to the same counter; they wait for slots of the endpoint. They are payments, because
// the queue sheds writes of lower classes when they wait long.
std::vector<kj::Promise<CallerAnswer>> startWrites(
    RunningDeployment& running, std::size_t daemon, const std::string& key = "n")
{
    // Nothing is answered before all are in flight.
    running.control({ { "endpoints", { { "*", { { "serviceTimeMs", 2000 } } } } } });
    std::vector<kj::Promise<CallerAnswer>> result;
    for (std::size_t i = 0; i < writeCount; ++i) {
        auto call = running.writeCall("add " + key + " 1", key + std::to_string(i));
        call.priority = Priority::Payment;
        call.deadline = 40s;
        result.push_back(running.client.send(daemon, call).eagerlyEvaluate(nullptr));
    }
    return result;
}

// Waits until all writes are in flight, then lets the endpoint work fast.
bool awaitInFlight(RunningDeployment& running, std::size_t daemon)
{
    const bool reached = running.waitUntil([&] {
        const auto status = running.operate(daemon, "/admin/v1/status");
        return status.value("inFlight", std::size_t { 0 }) >= writeCount;
    });
    running.control({ { "endpoints", { { "*", { { "serviceTimeMs", 5 } } } } } });
    return reached;
}

// The counter when replicas and owners agree again.
std::string counter(RunningDeployment& running, std::size_t daemon)
{
    CallerAnswer read;
    running.waitUntil([&] {
        read = running.read(daemon, "get n");
        return read.state == OutcomeState::Completed;
    });
    return read.rows;
}

} // namespace

// Guards against requests that are cut off by the shutdown of the daemon that serves their database.
TEST_CASE("Shutdown, completes every request in flight when the active owner shuts down")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto owner = running.activeOwner(0);
    const auto other = 1 - owner;
    auto writes = startWrites(running, owner);
    REQUIRE(awaitInFlight(running, owner));
    const bool clean = running.runAside<bool>([&] { return running.deployment.daemon(owner).shutDown(30s); });
    CHECK(clean);
    for (auto& write : writes) {
        const auto answer = write.wait(running.io.waitScope);
        CAPTURE(answer.detail, errorName(answer.code), answer.status);
        CHECK(answer.state == OutcomeState::Completed);
    }
    running.deployment.killDaemon(owner);
    CHECK(counter(running, other) == R"(["100"])");
    CHECK(running.write(other, "add n 1", "after").state == OutcomeState::Completed);
}

// Guards against requests that are cut off in the daemon that forwards them.
TEST_CASE("Shutdown, completes every request in flight when a forwarding daemon shuts down")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto owner = running.activeOwner(0);
    const auto forwarding = 1 - owner;
    auto writes = startWrites(running, forwarding);
    REQUIRE(awaitInFlight(running, forwarding));
    const bool clean = running.runAside<bool>([&] { return running.deployment.daemon(forwarding).shutDown(30s); });
    CHECK(clean);
    for (auto& write : writes) {
        const auto answer = write.wait(running.io.waitScope);
        CAPTURE(answer.detail, errorName(answer.code), answer.status);
        CHECK(answer.state == OutcomeState::Completed);
    }
    running.deployment.killDaemon(forwarding);
    CHECK(counter(running, owner) == R"(["100"])");
}

// Guards against forwarded requests that are cut off when the owner that runs them shuts down.
TEST_CASE("Shutdown, completes forwarded requests when the active owner shuts down")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto owner = running.activeOwner(0);
    const auto forwarding = 1 - owner;
    auto writes = startWrites(running, forwarding);
    REQUIRE(awaitInFlight(running, forwarding));
    CHECK(running.runAside<bool>([&] { return running.deployment.daemon(owner).shutDown(30s); }));
    for (auto& write : writes) {
        const auto answer = write.wait(running.io.waitScope);
        CAPTURE(answer.detail, errorName(answer.code), answer.status);
        CHECK(answer.state == OutcomeState::Completed);
    }
    CHECK(counter(running, forwarding) == R"(["100"])");
}

// Guards against a transaction without a definite outcome after its daemon has shut down.
TEST_CASE("Shutdown, gives an open transaction a definite outcome when its daemon shuts down")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto owner = running.activeOwner(0);
    const auto other = 1 - owner;
    const auto begun = running.send(owner, running.newCall(RequestKind::Begin, "t1"));
    REQUIRE(begun.state == OutcomeState::Completed);
    auto statement = running.newCall(RequestKind::Statement, "t2");
    statement.transaction = begun.transaction;
    statement.statement = "put a 1";
    REQUIRE(running.send(owner, statement).state == OutcomeState::Completed);
    auto stopping = std::async(std::launch::async, [&] { return running.deployment.daemon(owner).shutDown(5s); });
    auto commit = running.newCall(RequestKind::Commit, "t3");
    commit.transaction = begun.transaction;
    auto committed = running.send(other, commit);
    if (committed.state == OutcomeState::Unknown)
        committed = running.resolve(other, "t3");
    running.waitUntil([&] { return stopping.wait_for(0s) == std::future_status::ready; });
    CAPTURE(committed.detail, errorName(committed.code));
    const bool ran = committed.state == OutcomeState::Completed;
    CHECK((ran || committed.state == OutcomeState::DidNotRun));
    running.deployment.killDaemon(owner);
    CallerAnswer read;
    running.waitUntil([&] {
        read = running.read(other, "count a");
        return read.state == OutcomeState::Completed;
    });
    CHECK(read.rows == (ran ? R"(["1"])" : R"(["0"])"));
}

// Guards against a shutdown that waits for callers that have gone.
TEST_CASE("Shutdown, is clean when callers disconnected before their answers")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    {
        auto abandoned = startWrites(running, 0);
        REQUIRE(awaitInFlight(running, 0));
    }
    CHECK(running.runAside<bool>([&] { return running.deployment.daemon(0).shutDown(30s); }));
}

// Guards against writes that are lost or doubled when a daemon dies with them in flight.
TEST_CASE("Shutdown, resolves every write through the other daemon when a daemon is killed")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto owner = running.activeOwner(0);
    const auto other = 1 - owner;
    for (const auto killed : { owner, other }) {
        if (killed == other) {
            running.deployment.restartDaemon(owner);
            REQUIRE(running.waitUntil([&] { return running.deployment.daemon(owner).ready(); }));
        }
        const auto survivor = 1 - killed;
        const std::string name = "kill-" + std::to_string(killed) + "-";
        auto writes = startWrites(running, killed, name);
        REQUIRE(awaitInFlight(running, killed));
        running.runAside<bool>([&] {
            running.deployment.killDaemon(killed);
            return true;
        });
        int completed = 0;
        for (std::size_t i = 0; i < writeCount; ++i) {
            const auto answer = writes[i].wait(running.io.waitScope);
            const auto outcome
                = answer.state == OutcomeState::Unknown ? running.resolve(survivor, name + std::to_string(i)) : answer;
            CAPTURE(i, errorName(answer.code), answer.detail, outcome.detail);
            CHECK((outcome.state == OutcomeState::Completed || outcome.state == OutcomeState::DidNotRun));
            completed += outcome.state == OutcomeState::Completed ? 1 : 0;
        }
        CallerAnswer read;
        running.waitUntil([&] {
            read = running.read(survivor, "get " + name);
            return read.state == OutcomeState::Completed;
        });
        const auto expected = completed == 0 ? std::string("[]") : "[\"" + std::to_string(completed) + "\"]";
        CHECK(read.rows == expected);
    }
}

// Guards against a session that loses its writes while the fleet is replaced.
TEST_CASE("Shutdown, lets a session read its writes while every daemon is replaced in turn")
{
    auto shape = saengchanShape();
    shape.databases.resize(1);
    RunningDeployment running(shape);
    REQUIRE(running.problem.empty());
    std::string session;
    int number = 0;
    // Writes and reads back through a daemon; each step is repeated at another daemon until it has an answer.
    const auto writeAndRead = [&](std::size_t avoided) {
        const auto value = std::to_string(++number);
        const auto daemon = (avoided + 1 + static_cast<std::size_t>(number) % 3) % 4;
        CallerAnswer written;
        // A write whose outcome is unknown because an idle connection had been closed is resolved to "did not run".
        for (int attempt = 0; written.state != OutcomeState::Completed && attempt < 20; ++attempt)
            written
                = running.settledWrite(daemon, "put k " + value, "v" + value + "-" + std::to_string(attempt), session);
        CAPTURE(written.detail, errorName(written.code), daemon, avoided);
        REQUIRE(written.state == OutcomeState::Completed);
        session = written.session;
        CallerAnswer read;
        running.waitUntil([&] {
            read = running.read((daemon + 1) % 4 == avoided ? daemon : (daemon + 1) % 4, "get k", session);
            return read.state == OutcomeState::Completed;
        });
        CHECK(read.rows == "[\"" + value + "\"]");
    };
    for (std::size_t replaced = 0; replaced < 4; ++replaced) {
        auto stopping
            = std::async(std::launch::async, [&] { return running.deployment.daemon(replaced).shutDown(20s); });
        writeAndRead(replaced);
        running.waitUntil([&] { return stopping.wait_for(0s) == std::future_status::ready; });
        CHECK(stopping.get());
        running.deployment.killDaemon(replaced);
        writeAndRead(replaced);
        running.deployment.restartDaemon(replaced);
        REQUIRE(running.waitUntil([&] { return running.deployment.daemon(replaced).ready(); }));
        writeAndRead(replaced);
    }
}
