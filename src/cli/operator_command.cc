#include "cli/operator_command.h"

#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "process/journal.h"
#include "tool/caller_client.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr auto answerTimeout = 20 * kj::SECONDS;

// Options that every command for operators has.
struct OperatorArguments {
    explicit OperatorArguments(const std::string& description)
        : line(description, ' ', versionText)
    {
    }

    TCLAP::CmdLine line;
    TCLAP::MultiArg<std::string> daemons { "d", "daemon", "address of a daemon's port for operators", true, "IP:PORT",
        line };
    TCLAP::ValueArg<std::string> keyFile { "k", "key-file", "file with the operator key", true, "", "FILE", line };
    TCLAP::SwitchArg json { "j", "json", "prints the answer as JSON", line };
};

// Answers of the daemons in their order; a daemon that did not answer has status 0.
std::optional<std::vector<CallerClient::Response>> fetchAll(
    OperatorArguments& arguments, kj::HttpMethod method, const std::string& path, const std::string& body)
{
    const auto daemons = parseDaemons(arguments.daemons.getValue());
    const auto key = readKeyFile(arguments.keyFile.getValue());
    if (!daemons || !key)
        return std::nullopt;
    auto io = kj::setupAsyncIo();
    CallerClient client(*io.provider, *daemons, *key);
    std::vector<CallerClient::Response> result;
    for (std::size_t i = 0; i < daemons->size(); ++i) {
        auto late = io.provider->getTimer().afterDelay(answerTimeout).then([] {
            return CallerClient::Response { 0, "no answer", "", true };
        });
        result.push_back(client.fetch(i, method, path, body).exclusiveJoin(kj::mv(late)).wait(io.waitScope));
        // One daemon is enough for a change; those that could not be reached before it do not matter then.
        if (method == kj::HttpMethod::POST && result.back().status != 0) {
            result.erase(result.begin(), result.end() - 1);
            break;
        }
    }
    return result;
}

std::string textOf(const json& object, const char* key)
{
    if (!object.is_object() || !object.contains(key))
        return "";
    return object[key].is_string() ? object[key].get<std::string>() : object[key].dump();
}

void printRow(const std::vector<std::string>& cells, const std::vector<int>& widths)
{
    for (std::size_t i = 0; i < cells.size(); ++i)
        std::cout << std::left << std::setw(widths[i]) << cells[i] << ' ';
    std::cout << "\n";
}

void printDaemonStatus(const json& status)
{
    const auto& configuration = status["configuration"];
    std::cout << "daemon " << textOf(status, "daemon") << " in " << textOf(status, "dataCentre")
              << (status["ready"].get<bool>() ? ", ready" : ", not ready") << ", configuration "
              << textOf(configuration, "version") << " (newest known " << textOf(configuration, "newestKnown")
              << ", in force by version: " << configuration["inForce"].dump() << ")\n";
    for (const auto& daemon : status["daemons"])
        printRow({ "  daemon", textOf(daemon, "daemon"), textOf(daemon, "dataCentre"), textOf(daemon, "state"),
                     textOf(daemon, "address") },
            { 10, 16, 14, 10, 22 });
    for (const auto& database : status["databases"]) {
        printRow({ "  database", textOf(database, "database"), "rank " + textOf(database, "rank"),
                     textOf(database, "failover"), "primary " + textOf(database, "primary"),
                     "term " + textOf(database, "term"), "queued " + textOf(database, "queued") },
            { 10, 16, 8, 11, 22, 9, 10 });
        for (const auto& endpoint : database["endpoints"])
            printRow(
                { "    endpoint", textOf(endpoint, "endpoint"), endpoint["primary"].get<bool>() ? "primary" : "replica",
                    "applied " + textOf(endpoint, "applied"), "lag " + textOf(endpoint, "lagMs") + " ms",
                    endpoint["suspected"].get<bool>() ? "suspected" : "reachable" },
                { 12, 18, 8, 18, 16, 10 });
    }
}

int exitOf(const CallerClient::Response& response)
{
    if (response.status == 200)
        return ExitSuccess;
    return response.status == 0 ? ExitUnreachable : ExitRefused;
}

// Prints the reasons of an error answer to standard error.
void printError(const CallerClient::Response& response)
{
    const auto body = json::parse(response.body, nullptr, false);
    if (response.status == 0 || !body.is_object()) {
        std::cerr << "no answer: " << response.body << "\n";
        return;
    }
    const auto& error = body.contains("error") ? body["error"] : body;
    std::cerr << textOf(error, "code") << "\n";
    for (const auto& line : error.value("lines", json::array()))
        std::cerr << "  " << line.get<std::string>() << "\n";
}

// Prints a JSON list of all answers, or each answer through the function.
int printAnswers(OperatorArguments& arguments, const std::vector<CallerClient::Response>& responses,
    const std::function<void(const json&)>& print)
{
    int exit = ExitSuccess;
    json list = json::array();
    for (const auto& response : responses) {
        if (response.status != 200) {
            exit = exitOf(response);
            printError(response);
            continue;
        }
        const auto body = json::parse(response.body, nullptr, false);
        list.push_back(body);
        if (!arguments.json.getValue())
            print(body);
    }
    if (arguments.json.getValue())
        std::cout << list.dump(2) << "\n";
    return exit;
}

void printPlan(const json& plan)
{
    std::cout << "plan " << textOf(plan, "plan") << " on version " << textOf(plan, "baseVersion") << "\nchanges:\n";
    for (const auto& line : plan["changes"])
        std::cout << "  " << line.get<std::string>() << "\n";
    std::cout << "disturbed (" << textOf(plan["disturbance"], "connections") << " connections):\n";
    for (const auto& line : plan["disturbance"]["lines"])
        std::cout << "  " << line.get<std::string>() << "\n";
    std::cout << "expected to be in force within " << textOf(plan, "expectedMs") << " ms\nconfirm with: endivetrestle "
              << "confirm " << textOf(plan, "plan") << "\n";
}

void printConfirmed(const json& result)
{
    std::cout << textOf(result, "status") << " as version " << textOf(result, "version") << "\n";
    for (const auto& line : result["lines"])
        std::cout << "  " << line.get<std::string>() << "\n";
}

std::optional<std::string> readIntent(const std::string& path)
{
    std::stringstream buffer;
    if (path == "-") {
        buffer << std::cin.rdbuf();
        return buffer.str();
    }
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    buffer << file.rdbuf();
    return buffer.str();
}

} // namespace

int runStatus(std::vector<std::string>& arguments)
{
    OperatorArguments parsed("Prints the state of daemons, configuration versions and databases.");
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    const auto responses = fetchAll(parsed, kj::HttpMethod::GET, "/admin/v1/status", "");
    return responses ? printAnswers(parsed, *responses, printDaemonStatus) : int { ExitUsage };
}

int runExplain(std::vector<std::string>& arguments)
{
    OperatorArguments parsed("Prints recorded decisions: what was seen, decided and done.");
    TCLAP::ValueArg<std::string> database("b", "database", "only this database", false, "", "ID", parsed.line);
    TCLAP::ValueArg<std::size_t> limit(
        "n", "limit", "at most so many entries of each daemon, the newest ones", false, 200, "N", parsed.line);
    TCLAP::ValueArg<std::string> kind("", "kind",
        "failover, refusal, owner_change, shed, configuration, switchover or store_outage", false, "", "KIND",
        parsed.line);
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    auto path = "/admin/v1/explain?limit=" + std::to_string(limit.getValue());
    if (database.isSet())
        path += "&database=" + database.getValue();
    if (kind.isSet())
        path += "&kind=" + kind.getValue();
    const auto responses = fetchAll(parsed, kj::HttpMethod::GET, path, "");
    if (!responses)
        return ExitUsage;
    return printAnswers(parsed, *responses, [](const json& body) {
        const Time now(std::chrono::hours(24 * 365));
        std::cout << toTable(journalFromJson(body, now));
    });
}

int runPlan(std::vector<std::string>& arguments)
{
    OperatorArguments parsed("Makes a plan from an intent. Nothing changes until the plan is confirmed.");
    TCLAP::UnlabeledValueArg<std::string> file(
        "intent", "file with the intent as JSON, or - for standard input", true, "", "FILE", parsed.line);
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    const auto intent = readIntent(file.getValue());
    if (!intent)
        return ExitUsage;
    const auto responses = fetchAll(parsed, kj::HttpMethod::POST, "/admin/v1/plans", *intent);
    return responses ? printAnswers(parsed, *responses, printPlan) : int { ExitUsage };
}

int runConfirm(std::vector<std::string>& arguments)
{
    OperatorArguments parsed("Confirms a plan by its id.");
    TCLAP::UnlabeledValueArg<std::string> plan("plan", "id of the plan", true, "", "PLAN", parsed.line);
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    const auto path = "/admin/v1/plans/" + plan.getValue() + "/confirm";
    const auto responses = fetchAll(parsed, kj::HttpMethod::POST, path, "{}");
    return responses ? printAnswers(parsed, *responses, printConfirmed) : int { ExitUsage };
}

} // namespace endivetrestle
