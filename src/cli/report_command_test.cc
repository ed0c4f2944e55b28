#include "cli/report_command.h"

#include "cli/exit_codes.h"
#include "cli/load_command.h"
#include "edge/http_server.h"
#include "process/burn_tracker.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// Collects what a command prints.
class Capture {
public:
    Capture()
        : out(std::cout.rdbuf(this->text.rdbuf()))
        , err(std::cerr.rdbuf(this->text.rdbuf()))
    {
    }
    ~Capture()
    {
        std::cout.rdbuf(this->out);
        std::cerr.rdbuf(this->err);
    }

    std::ostringstream text;

private:
    std::streambuf* out;
    std::streambuf* err;
};

// Directory with a key file, removed at the end.
struct Files {
    std::filesystem::path directory
        = std::filesystem::temp_directory_path() / ("endivetrestle-report-" + std::to_string(::getpid()));
    std::string key = (directory / "key").string();
    std::string svg = (directory / "plot.svg").string();

    Files()
    {
        std::filesystem::create_directories(this->directory);
        std::ofstream(this->key) << "operator-key\n";
    }
    ~Files() { std::filesystem::remove_all(this->directory); }
};

DaemonReport sampleReport()
{
    BurnTracker burn({});
    const auto series = burn.series(DatabaseId("shop-1"), BurnKind::Write);
    for (int i = 0; i < 10; ++i)
        burn.record(series, { OutcomeState::DidNotRun, ErrorCode::NoPrimary, 1ms, BurnCause::Failover, 1 }, Time(100s));
    Journal journal({});
    journal.record({ DatabaseId("shop-1"), JournalKind::Failover, "no answer", "replace a1", "", {} }, Time(99s), "w");
    return { "daemon-1", burn.report(Time(101s)), journal.query({}) };
}

HttpResponse answerReport(const HttpRequest& request)
{
    if (request.authorization != "Bearer operator-key")
        return { 401, "application/json", "{}" };
    if (request.method != "GET" || request.path != "/admin/v1/report")
        return { 404, "application/json", "{}" };
    return { 200, "application/json", toJson(sampleReport(), Time(101s)).dump() };
}

struct ReportDaemon {
    HttpServer server { {},
        [](const HttpRequest& request, const HttpServer::Answer& answer) { answer(answerReport(request)); } };
    std::string address = "127.0.0.1:" + std::to_string(server.port());
};

int report(const std::vector<std::string>& options, std::string& text)
{
    std::vector<std::string> arguments = { "report" };
    arguments.insert(arguments.end(), options.begin(), options.end());
    const Capture capture;
    const int exit = runReport(arguments);
    text = capture.text.str();
    return exit;
}

} // namespace

// Guards against a report that an operator cannot read or that lacks the reason for the burn.
TEST_CASE("ReportCommand, prints burn, causes and decisions and writes a plot")
{
    const Files files;
    const ReportDaemon daemon;
    std::string text;
    REQUIRE(report({ "--daemon", daemon.address, "--key-file", files.key, "--svg", files.svg }, text) == ExitSuccess);
    CAPTURE(text);
    CHECK(text.find("page (5m+1h)") != std::string::npos);
    CHECK(text.find("failover 10") != std::string::npos);
    CHECK(text.find("decided: replace a1") != std::string::npos);
    std::ostringstream svg;
    svg << std::ifstream(files.svg).rdbuf();
    CHECK(svg.str().find("failover #1 shop-1") != std::string::npos);
}

// Guards against JSON that cannot be read by a program, and against counts of one daemon only.
TEST_CASE("ReportCommand, prints a list as JSON and sums several daemons as text")
{
    const Files files;
    const ReportDaemon first;
    const ReportDaemon second;
    std::string text;
    REQUIRE(report({ "-d", first.address, "-d", second.address, "-k", files.key, "--json" }, text) == ExitSuccess);
    const auto answers = nlohmann::json::parse(text);
    REQUIRE(answers.size() == 2);
    CHECK(daemonReportFromJson(answers[0], Time(101s)).burn == sampleReport().burn);
    CHECK(daemonReportFromJson(answers[0], Time(101s)).journal == sampleReport().journal);
    REQUIRE(report({ "-d", first.address, "-d", second.address, "-k", files.key }, text) == ExitSuccess);
    CHECK(text.find("20 of 20 missed the objective") != std::string::npos);
}

// Guards against exit codes that hide a refused or unreachable daemon from scripts.
TEST_CASE("ReportCommand, tells wrong usage, refusal and unreachable daemons apart")
{
    const Files files;
    std::string address;
    std::string text;
    {
        const ReportDaemon daemon;
        address = daemon.address;
        std::ofstream(files.key) << "wrong-key";
        CHECK(report({ "-d", address, "-k", files.key }, text) == ExitRefused);
    }
    CHECK(report({ "-d", address, "-k", files.key }, text) == ExitUnreachable);
    CHECK(report({ "-d", "nowhere", "-k", files.key }, text) == ExitUsage);
    CHECK(report({ "-d", address, "-k", files.key + "-missing" }, text) == ExitUsage);
    CHECK(report({ "-d", address }, text) == ExitUsage);
    CHECK(report({ "--help" }, text) == ExitSuccess);
}

// Guards against a load that starts with options that make no sense, and against success without any answer.
TEST_CASE("LoadCommand, refuses wrong options and reports unreachable daemons")
{
    const auto load = [](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), "load");
        const Capture capture;
        return runLoad(arguments);
    };
    std::string address;
    {
        const ReportDaemon stopped;
        address = stopped.address;
    }
    CHECK(load({ "-d", address }) == ExitUsage);
    CHECK(load({ "-b", "shop-1" }) == ExitUsage);
    CHECK(load({ "-d", address, "-b", "shop-1", "--mix", "other" }) == ExitUsage);
    CHECK(load({ "-d", address, "-b", "shop-1", "--rate", "0" }) == ExitUsage);
    CHECK(load({ "--raw", "shop-1" }) == ExitUsage);
    CHECK(load({ "-d", address, "-b", "shop-1", "-t", "0.1", "--no-audit" }) == ExitUnreachable);
}
