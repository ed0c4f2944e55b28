#include "tool/load.h"

#include "edge/http_server.h"
#include "edge/network_loop.h"
#include "standin/group.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <mutex>
#include <set>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

// A daemon that keeps all data in one table, with faults that can be switched on.
class FakeDaemon {
public:
    // Applies every tenth write and answers "unknown"; resolving it by id gives the outcome.
    bool answersUnknown = false;
    // Does not apply every tenth write and acknowledges it.
    bool losesWrites = false;
    // Applies every tenth write twice.
    bool doublesWrites = false;
    // Refuses every tenth write with "did not run" after it ran.
    bool runsRefused = false;

    FakeDaemon()
        : server(
            {}, [this](const HttpRequest& request, const HttpServer::Answer& answer) { answer(this->handle(request)); })
    {
    }

    [[nodiscard]] LoadSettings settings() const
    {
        LoadSettings settings;
        settings.daemons = { { "127.0.0.1", this->server.port() } };
        settings.workload.databases = { DatabaseId("a"), DatabaseId("b") };
        settings.workload.sessions = 20;
        settings.workload.rate = 1000;
        settings.workload.duration = 400ms;
        settings.resolveInterval = 1ms;
        return settings;
    }

private:
    static HttpResponse error(int status, const char* code, const char* outcome)
    {
        return { status, "application/json",
            json { { "error", { { "code", code }, { "outcome", outcome } } } }.dump() };
    }

    HttpResponse handle(const HttpRequest& request)
    {
        std::lock_guard lock(this->mutex);
        json answer = { { "outcome", "completed" }, { "servedBy", "e1" }, { "replica", false },
            { "position", { { "term", 1 }, { "index", ++this->index } } } };
        if (request.method == "GET") {
            const auto id = request.path.substr(request.path.rfind('/') + 1);
            return this->applied.contains(id) ? HttpResponse { 200, "application/json", answer.dump() }
                                              : error(409, "request_aborted", "did_not_run");
        }
        const auto body = json::parse(request.body);
        const std::string kind = body["kind"];
        if (kind == "begin")
            answer["transaction"] = "t" + std::to_string(this->index);
        const auto statement = body.value("statement", "");
        const bool isWrite = !statement.empty() && statement.rfind("get ", 0) != 0;
        const bool isFaulty = isWrite && ++this->writes % 10 == 0;
        if (isWrite && !(isFaulty && this->losesWrites))
            this->apply(statement);
        if (isFaulty && this->doublesWrites)
            this->apply(statement);
        if (isWrite)
            this->applied.insert(request.requestId);
        if (isFaulty && this->answersUnknown && kind == "write")
            return error(504, "not_held_by_majority", "unknown");
        if (isFaulty && this->runsRefused && kind == "write")
            return error(503, "overloaded", "did_not_run");
        if (!isWrite && !statement.empty())
            answer["rows"] = json::array({ this->data[statement.substr(4)] });
        return { 200, "application/json", answer.dump() };
    }

    void apply(const std::string& statement)
    {
        const auto keyStart = statement.find(' ') + 1;
        const auto keyEnd = statement.find(' ', keyStart);
        auto& value = this->data[statement.substr(keyStart, keyEnd - keyStart)];
        if (statement.rfind("put ", 0) == 0)
            value.clear();
        value += statement.substr(keyEnd + 1);
    }

    std::mutex mutex;
    std::map<std::string, std::string> data;
    std::set<std::string> applied;
    std::uint64_t index = 0;
    std::uint64_t writes = 0;
    HttpServer server;
};

} // namespace

// Guards against a load that does not send everything, or that sees violations where there are none.
TEST_CASE("Load, completes every item of both mixes against a daemon without faults")
{
    FakeDaemon daemon;
    auto settings = daemon.settings();
    settings.workload.deployment = GENERATE(DeploymentMix::Saengchan, DeploymentMix::Prism);
    const auto result = runLoadTest(settings);
    INFO(toTable(result));
    CHECK(result.total().intended > 200);
    CHECK(result.total().completed == result.total().intended);
    CHECK(result.violationCount() == 0);
    CHECK(result.auditedKeys > 10);
    CHECK(result.unauditedKeys == 0);
    CHECK(toJson(result)["total"]["completed"] == result.total().completed);
}

// Guards against unknown outcomes that are counted as failures although they can be resolved.
TEST_CASE("Load, resolves writes with unknown outcome by request id")
{
    FakeDaemon daemon;
    daemon.answersUnknown = true;
    const auto result = runLoadTest(daemon.settings());
    INFO(toTable(result));
    CHECK(result.total().unknown > 0);
    CHECK(result.total().resolved == result.total().unknown);
    CHECK(result.unresolvedWrites == 0);
    CHECK(result.violationCount() == 0);
}

// Guards against a load run that passes although the daemon breaks an invariant.
TEST_CASE("Load, reports violations of a daemon that loses, doubles or wrongly refuses writes")
{
    const int fault = GENERATE(0, 1, 2);
    CAPTURE(fault);
    FakeDaemon daemon;
    daemon.losesWrites = fault == 0;
    daemon.doublesWrites = fault == 1;
    daemon.runsRefused = fault == 2;
    const auto result = runLoadTest(daemon.settings());
    const std::array kinds = { ViolationKind::LostWrite, ViolationKind::DoubledWrite, ViolationKind::DidNotRunRan };
    CHECK(result.violationCounts.at(static_cast<std::size_t>(kinds.at(static_cast<std::size_t>(fault)))) > 0);
    CHECK_FALSE(result.violations.empty());
}

// Guards against a run that never ends, or that claims success, when no daemon answers.
TEST_CASE("Load, counts every item as not run when no daemon can be reached")
{
    LoadSettings settings;
    {
        const FakeDaemon stopped;
        settings = stopped.settings();
    }
    const auto result = runLoadTest(settings);
    CHECK(result.total().completed == 0);
    CHECK(result.total().didNotRun == result.total().intended);
    CHECK(result.codes.at(ErrorCode::EndpointUnreachable) == result.total().intended);
}

// Guards against a baseline that does other work than the load through the proxy.
TEST_CASE("Load, runs both mixes directly against the primary endpoint of a stand-in group")
{
    NetworkLoop loop;
    loop.start();
    std::unique_ptr<standin::StandinGroup> group;
    LoadSettings settings;
    settings.workload.deployment = GENERATE(DeploymentMix::Saengchan, DeploymentMix::Prism);
    settings.workload.databases = { DatabaseId("a") };
    settings.workload.sessions = 4;
    settings.workload.rate = 300;
    settings.workload.duration = 300ms;
    loop.run([&](kj::AsyncIoContext& io) {
        standin::GroupOptions options;
        options.members = { { EndpointId("a"), DataCentre("x") }, { EndpointId("b"), DataCentre("y") },
            { EndpointId("c"), DataCentre("z") } };
        group = std::make_unique<standin::StandinGroup>(
            io.provider->getNetwork(), io.provider->getTimer(), std::move(options));
        settings.rawEndpoints[DatabaseId("a")] = *parseDaemonAddress(group->addressOf(0));
    });
    const auto result = runLoadTest(settings);
    loop.run([&](kj::AsyncIoContext&) { group = nullptr; });
    loop.stop();
    INFO(toTable(result));
    CHECK(result.total().intended > 30);
    CHECK(result.total().completed == result.total().intended);
    CHECK(result.violationCount() == 0);
    CHECK(result.unauditedKeys == 0);
}
