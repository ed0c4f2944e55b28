#include "cli/serve_command.h"

#include "base/log.h"
#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "cli/stop_signal.h"
#include "edge/daemon.h"
#include "tool/caller_client.h"
#include "tool/deployment.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace endivetrestle {

namespace {

constexpr Duration demoStartLimit = std::chrono::seconds(15);

void printProblems(const std::vector<JsonProblem>& problems)
{
    for (const auto& problem : problems)
        std::cerr << toString(problem) << "\n";
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::stringstream buffer;
    buffer << file.rdbuf();
    return buffer.str();
}

// Settings and, unless they are not wanted, the secrets they name; no value after a report of every problem.
std::optional<std::pair<Settings, Secrets>> loadSettings(const std::string& path, bool withSecrets)
{
    const auto text = readFile(path);
    if (!text)
        return std::nullopt;
    auto parsed = parseSettings(*text, path);
    SecretsResult secrets;
    if (withSecrets)
        secrets = readSecrets(parsed.settings.secrets, path);
    parsed.problems.insert(parsed.problems.end(), secrets.problems.begin(), secrets.problems.end());
    printProblems(parsed.problems);
    if (!parsed.problems.empty())
        return std::nullopt;
    return std::make_pair(parsed.settings, secrets.secrets);
}

struct ServeArguments {
    TCLAP::CmdLine line { "Runs one daemon until SIGTERM; a second signal ends it at once.", ' ', versionText };
    TCLAP::ValueArg<int> drain { "", "drain-seconds", "longest time to finish requests in flight (1 to 600)", false, 30,
        "SECONDS", line };
    TCLAP::UnlabeledValueArg<std::string> file { "settings", "settings of the daemon", true, "", "FILE", line };
};

struct CheckArguments {
    TCLAP::CmdLine line { "Checks settings or a configuration and reports every problem.", ' ', versionText };
    TCLAP::SwitchArg configuration { "c", "configuration", "the file is a fleet configuration", line };
    TCLAP::SwitchArg secrets { "s", "secrets", "also reads the secret files", line };
    TCLAP::UnlabeledValueArg<std::string> file { "file", "file to check", true, "", "FILE", line };
};

struct DemoArguments {
    TCLAP::CmdLine line { "Runs two daemons, a database group and the platform's stand-ins in one process.", ' ',
        versionText };
    TCLAP::SwitchArg once { "1", "once", "ends after the example requests", line };
    TCLAP::ValueArg<int> daemons { "", "daemons", "number of daemons (2 to 64)", false, 2, "N", line };
    TCLAP::ValueArg<int> databases { "", "databases", "number of databases (1 to 64)", false, 1, "N", line };
};

CallerCall demoCall(RequestKind kind, const std::string& statement, const std::string& session)
{
    CallerCall call;
    call.kind = kind;
    call.database = DatabaseId("shop-1");
    call.requestId = RequestId(kind == RequestKind::Write ? "demo-write" : "demo-read");
    call.statement = statement;
    call.session = session;
    return call;
}

// Sends a write through the first daemon and reads it back through the second until a replica serves the read.
bool showExample(Deployment& deployment)
{
    auto io = kj::setupAsyncIo();
    std::vector<DaemonAddress> addresses;
    for (std::size_t i = 0; i < deployment.daemonCount(); ++i)
        addresses.push_back({ "127.0.0.1", deployment.daemon(i).callerPort() });
    CallerClient client(*io.provider, addresses, deployment.caller().key);
    const auto written = client.send(0, demoCall(RequestKind::Write, "put mango 12", "")).wait(io.waitScope);
    std::cout << "write through " << toString(addresses[0]) << ": \"put mango 12\" -> "
              << outcomeStateName(written.state) << " at " << toString(written.position) << "\n"
              << "session token: " << written.session << "\n";
    CallerAnswer read;
    for (int attempt = 0; attempt < 200 && !read.replica; ++attempt)
        read = client.send(1, demoCall(RequestKind::Read, "get mango", written.session)).wait(io.waitScope);
    std::cout << "read through " << toString(addresses[1]) << ": \"get mango\" -> " << read.rows << " from "
              << (read.replica ? "replica " : "primary ") << read.servedBy << "\n";
    return written.state == OutcomeState::Completed && read.rows == R"(["12"])";
}

// Prints how to reach the demo as lines that can be pasted into a shell; the samples use these variables.
void printHints(Deployment& deployment)
{
    std::cout << "\nexport CALLER_KEY=" << deployment.caller().key
              << "\nexport OPERATOR_KEY=" << deployment.operatorKey() << "\n";
    for (std::size_t i = 0; i < deployment.daemonCount(); ++i) {
        const auto number = std::to_string(i + 1);
        std::cout << "export DAEMON_" << number << "=127.0.0.1:" << deployment.daemon(i).callerPort()
                  << "\nexport OPERATORS_" << number << "=127.0.0.1:" << deployment.daemon(i).operatorPort() << "\n";
    }
    std::cout << "\npaste the lines above into another shell and run samples/01-write-and-read.sh, or:\n"
              << "  curl -i -H \"Authorization: Bearer $CALLER_KEY\" -d '{\"statement\": \"get mango\"}' "
                 "http://$DAEMON_1/v1/databases/shop-1/statements\n"
              << "\nserving until stopped (Ctrl-C)\n"
              << std::flush;
}

} // namespace

int runServe(std::vector<std::string>& arguments)
{
    ServeArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    const auto loaded = loadSettings(parsed.file.getValue(), true);
    if (!loaded)
        return ExitCheckFailed;
    configureLogging(loaded->first.logLevel);
    const auto signals = blockStopSignals();
    try {
        Daemon daemon(loaded->first, loaded->second, {});
        daemon.start();
        waitForStop(signals);
        const auto limit = std::chrono::seconds(std::clamp(parsed.drain.getValue(), 1, 600));
        return daemon.shutDown(limit) ? ExitSuccess : ExitCheckFailed;
    } catch (const kj::Exception& error) {
        std::cerr << "cannot start: " << error.getDescription().cStr() << "\n";
    } catch (const std::exception& error) {
        std::cerr << "cannot start: " << error.what() << "\n";
    }
    return ExitCheckFailed;
}

int runCheck(std::vector<std::string>& arguments)
{
    CheckArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    const auto& path = parsed.file.getValue();
    if (!parsed.configuration.getValue()) {
        if (!loadSettings(path, parsed.secrets.getValue()))
            return ExitCheckFailed;
    } else {
        const auto text = readFile(path);
        if (!text)
            return ExitCheckFailed;
        const auto result = parseConfiguration(*text, path);
        printProblems(result.problems);
        if (!result.configuration)
            return ExitCheckFailed;
    }
    std::cout << path << ": valid\n";
    return ExitSuccess;
}

namespace {

DeploymentOptions demoOptions(DemoArguments& arguments)
{
    auto result = demoShape();
    const auto places = result.dataCentres;
    const int daemons = std::clamp(arguments.daemons.getValue(), 2, 64);
    for (int i = 2; i < daemons; ++i)
        result.daemons.push_back(
            { DaemonId("daemon-" + std::to_string(i + 1)), places[static_cast<std::size_t>(i) % places.size()] });
    const int databases = std::clamp(arguments.databases.getValue(), 1, 64);
    for (int i = 1; i < databases; ++i)
        result.databases.emplace_back("shop-" + std::to_string(i + 1));
    return result;
}

} // namespace

int runDemo(std::vector<std::string>& arguments)
{
    DemoArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    configureLogging("warning");
    const auto signals = blockStopSignals();
    Deployment deployment(demoOptions(parsed));
    if (const auto problem = deployment.start(demoStartLimit); !problem.empty()) {
        std::cerr << "the demo did not start: " << problem << "\n";
        return ExitUnreachable;
    }
    const bool shown = showExample(deployment);
    if (!parsed.once.getValue()) {
        printHints(deployment);
        waitForStop(signals);
    }
    const bool clean = deployment.stop(std::chrono::seconds(10));
    return shown && clean ? ExitSuccess : ExitCheckFailed;
}

} // namespace endivetrestle
