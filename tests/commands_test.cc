#include "cli/exit_codes.h"
#include "cli/operator_command.h"
#include "cli/query_command.h"
#include "end_to_end.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

// A command's exit code and standard output.
struct Run {
    int exit = 0;
    std::string output;
};

// Sends a stream's text to another one for its lifetime.
struct Redirection {
    Redirection(std::ostream& stream, std::ostream& target)
        : stream(stream)
        , before(stream.rdbuf(target.rdbuf()))
    {
    }
    ~Redirection() { this->stream.rdbuf(this->before); }

    std::ostream& stream;
    std::streambuf* before;
};

Run runCommand(int (*command)(std::vector<std::string>&), std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "command");
    std::ostringstream output;
    const Redirection out(std::cout, output);
    const Redirection error(std::cerr, output);
    // The commands set up an event loop of their own, of which a thread has one at most.
    auto result = std::async(std::launch::async, [&] { return command(arguments); });
    const int exit = result.get();
    return { exit, output.str() };
}

// File that is removed at the end of a test.
struct TemporaryFile {
    TemporaryFile(const std::string& name, const std::string& content)
        : path((std::filesystem::temp_directory_path() / (name + std::to_string(::getpid()))).string())
    {
        std::ofstream(this->path) << content;
    }
    ~TemporaryFile() { std::filesystem::remove(this->path); }

    std::string path;
};

} // namespace

// Guards against exit codes that do not tell scripts what became of a statement.
TEST_CASE("Commands, query tells completed, refused, unreachable and wrong usage apart")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const TemporaryFile key("query-key", running.deployment.caller().key);
    const auto daemon = toString(running.addresses()[0]);
    const auto query = [&](std::vector<std::string> arguments) {
        std::vector<std::string> all { "-k", key.path, "-b", "shop-1" };
        all.insert(all.end(), arguments.begin(), arguments.end());
        return runCommand(runQuery, all);
    };
    CHECK(query({ "-d", daemon, "-w", "-i", "q1", "-q", "put mango 12" }).exit == ExitSuccess);
    const auto read = query({ "-d", "127.0.0.1:1", "-d", daemon, "-q", "get mango" });
    CHECK(read.exit == ExitSuccess);
    CHECK(query({ "-d", daemon, "-r", "-i", "q1" }).exit == ExitSuccess);
    CHECK(query({ "-d", daemon, "-q", "fetch mango" }).exit == ExitRefused);
    CHECK(query({ "-d", "127.0.0.1:1", "-q", "get mango" }).exit == ExitUnreachable);
    CHECK(query({ "-d", daemon }).exit == ExitUsage);
    CHECK(query({ "-d", daemon, "-t", "0", "-q", "get mango" }).exit == ExitUsage);
}

// Guards against a change that was made and is reported as a failure because another daemon was not reachable.
TEST_CASE("Commands, plan and confirm succeed when only a later daemon can be reached")
{
    RunningDeployment running(demoShape());
    REQUIRE(running.problem.empty());
    const TemporaryFile key("operator-key", running.deployment.operatorKey());
    const TemporaryFile intent(
        "intent", R"({"intent": "setReadAge", "caller": "shop", "database": "shop-1", "maxReadAgeMs": 5000})");
    const std::vector<std::string> base { "-k", key.path, "-d", "127.0.0.1:1", "-d",
        toString(running.operatorAddresses()[1]) };
    auto arguments = base;
    arguments.insert(arguments.end(), { "--json", intent.path });
    const auto planned = runCommand(runPlan, arguments);
    CAPTURE(planned.output);
    REQUIRE(planned.exit == ExitSuccess);
    arguments = base;
    arguments.push_back(nlohmann::json::parse(planned.output)[0]["plan"]);
    CHECK(runCommand(runConfirm, arguments).exit == ExitSuccess);
    const auto again = runCommand(runConfirm, arguments);
    CHECK(again.exit == ExitSuccess);
    CHECK(again.output.find("already_accepted") != std::string::npos);
    arguments.back() = "no-such-plan";
    CHECK(runCommand(runConfirm, arguments).exit == ExitRefused);
}
