#include "end_to_end.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Sends additions through both daemons, resolves unknown outcomes, and checks that the sum is the number of those that
// completed.
struct Additions {
    explicit Additions(RunningDeployment& running)
        : running(running)
    {
    }

    CallerAnswer add()
    {
        const auto id = "add-" + std::to_string(++this->sent);
        const auto daemon = static_cast<std::size_t>(this->sent % 2);
        auto answer = this->running.settledWrite(daemon, "add n 1", id, this->session);
        this->completed += answer.state == OutcomeState::Completed ? 1 : 0;
        CAPTURE(id, answer.detail, errorName(answer.code));
        CHECK(answer.state != OutcomeState::Unknown);
        if (answer.state == OutcomeState::Completed && !answer.session.empty())
            this->session = answer.session;
        return answer;
    }

    void checkSum()
    {
        CallerAnswer read;
        this->running.waitUntil([&] {
            read = this->running.read(0, "get n", this->session);
            return read.state == OutcomeState::Completed;
        });
        CAPTURE(this->sent, read.servedBy);
        CHECK(read.rows == "[\"" + std::to_string(this->completed) + "\"]");
    }

    // Adds until one is accepted in a higher term than the given one.
    bool addUntilNewTerm(std::uint64_t term)
    {
        return this->running.waitUntil([&] {
            const auto answer = this->add();
            return answer.state == OutcomeState::Completed && answer.position.term > term;
        });
    }

    RunningDeployment& running;
    std::string session;
    int sent = 0;
    int completed = 0;
};

std::uint64_t primaryTerm(RunningDeployment& running)
{
    const auto primary = running.primary();
    return primary < 0 ? 0 : running.endpoint(static_cast<std::size_t>(primary))["term"].get<std::uint64_t>();
}

} // namespace

// Guards against writes applied twice or answers passed to the wrong request when answers and requests are lost,
// crossed, malformed, or report positions that go backwards.
TEST_CASE("EndpointFaults, gives every write one definite effect when answers are faulty")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    Additions additions(running);
    const auto fault
        = GENERATE(as<std::string> {}, R"({"loseAnswers": 5})", R"({"loseAnswerShare": 0.3})", R"({"dropRequests": 5})",
            R"({"dropRequestShare": 0.3})", R"({"crossAnswers": 5})", R"({"malformedAnswers": 5})");
    CAPTURE(fault);
    for (int i = 0; i < 10; ++i)
        additions.add();
    REQUIRE(running.control({ { "endpoints", { { "*", nlohmann::json::parse(fault) } } } }).empty());
    for (int i = 0; i < 20; ++i)
        additions.add();
    REQUIRE(
        running
            .control({ { "endpoints",
                { { "*",
                    { { "loseAnswerShare", 0 }, { "dropRequestShare", 0 }, { "loseAnswers", 0 }, { "dropRequests", 0 },
                        { "crossAnswers", 0 }, { "malformedAnswers", 0 }, { "positionBack", 0 } } } } } })
            .empty());
    for (int i = 0; i < 10; ++i)
        additions.add();
    additions.checkSum();
}

// Guards against an acknowledgement taken back, or a write doubled, when endpoints report positions that go backwards.
// A write is not known to be held while they do, so its outcome is asked for afterwards.
TEST_CASE("EndpointFaults, gives every write one definite effect when positions went backwards")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    Additions additions(running);
    for (int i = 0; i < 10; ++i)
        additions.add();
    running.control({ { "endpoints", { { "*", { { "positionBack", 3 } } } } } });
    std::vector<std::string> unknown;
    for (int i = 0; i < 5; ++i) {
        auto call = running.writeCall("add n 1", "back-" + std::to_string(i));
        call.deadline = 300ms;
        const auto answer = running.send(static_cast<std::size_t>(i % 2), call);
        additions.completed += answer.state == OutcomeState::Completed ? 1 : 0;
        if (answer.state == OutcomeState::Unknown)
            unknown.push_back(call.requestId.value);
    }
    running.control({ { "endpoints", { { "*", { { "positionBack", 0 } } } } } });
    for (const auto& id : unknown) {
        const auto outcome = running.resolve(0, id);
        CAPTURE(id, outcome.detail);
        CHECK(outcome.state != OutcomeState::Unknown);
        additions.completed += outcome.state == OutcomeState::Completed ? 1 : 0;
    }
    additions.checkSum();
}

// Guards against writes lost or doubled when the primary stops for a time and goes on afterwards.
TEST_CASE("EndpointFaults, replaces a paused primary and keeps every accepted write when it goes on")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    Additions additions(running);
    for (int i = 0; i < 10; ++i)
        additions.add();
    const auto term = primaryTerm(running);
    running.controlEndpoint(0, { { "paused", true } });
    CHECK(additions.addUntilNewTerm(term));
    running.controlEndpoint(0, { { "paused", false } });
    for (int i = 0; i < 20; ++i)
        additions.add();
    CHECK(running.waitUntil([&] { return running.endpoint(0)["role"] != "primary"; }));
    additions.checkSum();
}

// Guards against a daemon that replaces a primary which only this daemon cannot reach.
TEST_CASE("EndpointFaults, keeps the primary when only one daemon is cut off from it")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const auto cut = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    const auto term = primaryTerm(running);
    const auto name = running.deployment.shape().daemons[cut].id.value;
    running.controlEndpoint(0, { { "blackholeDaemons", { name } } });
    // The cut-off daemon notices, and its veto is recorded or its suspicion is visible.
    running.waitUntil([&] {
        const auto status = running.operate(cut, "/admin/v1/status");
        for (const auto& database : status["databases"])
            for (const auto& endpoint : database["endpoints"])
                if (endpoint["endpoint"] == "shop-1-a" && endpoint["silenceMs"].get<double>() > 3000)
                    return true;
        return false;
    });
    CHECK(running.primary() == 0);
    CHECK(primaryTerm(running) == term);
    // The other owner reaches the primary, so writes go on meanwhile.
    Additions additions(running);
    CHECK(running.waitUntil([&] { return additions.add().state == OutcomeState::Completed; }));
    CHECK(primaryTerm(running) == term);
    running.controlEndpoint(0, { { "blackholeDaemons", nlohmann::json::array() } });
    CHECK(running.waitUntil([&] { return additions.add().state == OutcomeState::Completed; }));
    additions.checkSum();
}

// Guards against acknowledged writes lost, or unacknowledged ones shown, when a primary that was cut off returns.
TEST_CASE("EndpointFaults, drops the unacknowledged writes of a primary that was cut off when it returns")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    Additions additions(running);
    for (int i = 0; i < 10; ++i)
        additions.add();
    const auto term = primaryTerm(running);
    // The primary no longer reaches its replicas; a write is appended there only.
    const auto replication = [](bool blocked) {
        auto list = nlohmann::json::array();
        for (const auto* other : { "shop-1-b", "shop-1-c" }) {
            list.push_back({ { "from", "shop-1-a" }, { "to", other }, { "blocked", blocked } });
            list.push_back({ { "from", other }, { "to", "shop-1-a" }, { "blocked", blocked } });
        }
        return nlohmann::json { { "replication", list } };
    };
    REQUIRE(running.control(replication(true)).empty());
    auto lost = running.writeCall("add n 1", "unacknowledged");
    lost.deadline = 500ms;
    const auto unacknowledged = running.send(0, lost);
    CAPTURE(unacknowledged.detail);
    CHECK(unacknowledged.state != OutcomeState::Completed);
    running.controlEndpoint(0, { { "blackhole", true } });
    CHECK(additions.addUntilNewTerm(term));
    const auto resolved = running.resolve(1, "unacknowledged");
    additions.completed += resolved.state == OutcomeState::Completed ? 1 : 0;
    REQUIRE(running.control(replication(false)).empty());
    running.controlEndpoint(0, { { "blackhole", false } });
    for (int i = 0; i < 10; ++i)
        additions.add();
    CHECK(running.waitUntil([&] { return running.endpoint(0)["role"] != "primary"; }));
    CHECK(running.waitUntil([&] { return running.endpoint(0)["lastLog"] == running.endpoint(1)["lastLog"]; }));
    additions.checkSum();
}
