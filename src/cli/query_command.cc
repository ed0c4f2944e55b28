#include "cli/query_command.h"

#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "tool/caller_client.h"

#include <chrono>
#include <iostream>

namespace endivetrestle {

namespace {

constexpr long longestMs = 600000;

struct QueryArguments {
    TCLAP::CmdLine line { "Sends one statement as a caller and prints the rows. Exit codes: 0 completed, 1 the outcome "
                          "is unknown, 2 wrong usage, 3 no daemon reached, 4 refused (did not run).",
        ' ', versionText };
    TCLAP::MultiArg<std::string> daemons { "d", "daemon",
        "address of a daemon's port for callers; further ones are tried if it cannot be reached", true, "IP:PORT",
        line };
    TCLAP::ValueArg<std::string> keyFile { "k", "key-file", "file with the caller key", true, "", "FILE", line };
    TCLAP::ValueArg<std::string> database { "b", "database", "database to use", true, "", "ID", line };
    TCLAP::SwitchArg write { "w", "write", "the statement changes data", line };
    TCLAP::SwitchArg payment { "p", "payment", "sends a write with the priority of a payment", line };
    TCLAP::ValueArg<std::string> requestId { "i", "request-id", "id of the request; chosen if missing", false, "", "ID",
        line };
    TCLAP::SwitchArg resolve { "r", "resolve", "asks for the outcome of --request-id instead", line };
    TCLAP::ValueArg<std::string> session { "s", "session", "session token of an earlier answer", false, "", "TOKEN",
        line };
    TCLAP::ValueArg<long> maxAge { "a", "max-age-ms", "accepts data of this age", false, -1, "MS", line };
    TCLAP::ValueArg<long> deadline { "t", "deadline-ms", "deadline, 1 to 600000", false, 5000, "MS", line };
    // Not an unlabelled argument: TCLAP allows no other command of the process to have one after an optional one.
    TCLAP::ValueArg<std::string> statement { "q", "statement", "statement in the database's language", false, "",
        "TEXT", line };
};

std::string newRequestId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return "query-" + std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

bool isValid(QueryArguments& arguments)
{
    std::string problem;
    if (arguments.resolve.getValue() ? !arguments.requestId.isSet() : arguments.statement.getValue().empty())
        problem = "a statement is needed, or --request-id with --resolve";
    else if (arguments.deadline.getValue() < 1 || arguments.deadline.getValue() > longestMs)
        problem = "--deadline-ms must be from 1 to 600000";
    else if (arguments.maxAge.isSet() && arguments.maxAge.getValue() < 0)
        problem = "--max-age-ms must not be negative";
    if (!problem.empty())
        std::cerr << problem << "; see --help\n";
    return problem.empty();
}

CallerCall toCall(QueryArguments& arguments)
{
    CallerCall call;
    const bool write = arguments.write.getValue() || arguments.payment.getValue();
    call.kind = arguments.resolve.getValue() ? RequestKind::Resolve : write ? RequestKind::Write : RequestKind::Read;
    call.priority = arguments.payment.getValue() ? Priority::Payment : write ? Priority::Write : Priority::Read;
    call.database = DatabaseId(arguments.database.getValue());
    call.requestId = RequestId(arguments.requestId.isSet() ? arguments.requestId.getValue() : newRequestId());
    call.session = arguments.session.getValue();
    call.statement = arguments.statement.getValue();
    call.deadline = std::chrono::milliseconds(arguments.deadline.getValue());
    if (arguments.maxAge.isSet())
        call.maxAge = std::chrono::milliseconds(arguments.maxAge.getValue());
    return call;
}

int report(const CallerCall& call, const CallerAnswer& answer)
{
    if (answer.state == OutcomeState::Completed) {
        std::cout << answer.rows << "\n";
        std::cerr << "served by " << answer.servedBy << (answer.replica ? " (replica)" : " (primary)")
                  << "\nsession token: " << answer.session << "\n";
        return ExitSuccess;
    }
    std::cerr << outcomeStateName(answer.state) << ": " << errorName(answer.code) << ": " << answer.detail << "\n";
    if (answer.state == OutcomeState::Unknown) {
        std::cerr << "ask for the outcome with --resolve --request-id " << call.requestId.value << "\n";
        return ExitCheckFailed;
    }
    return answer.status == 0 ? ExitUnreachable : ExitRefused;
}

} // namespace

int runQuery(std::vector<std::string>& arguments)
{
    QueryArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    if (!isValid(parsed))
        return ExitUsage;
    const auto daemons = parseDaemons(parsed.daemons.getValue());
    const auto key = readKeyFile(parsed.keyFile.getValue());
    if (!daemons || !key)
        return ExitUsage;
    auto io = kj::setupAsyncIo();
    CallerClient client(*io.provider, *daemons, *key);
    const auto call = toCall(parsed);
    CallerAnswer answer;
    for (std::size_t i = 0; i < daemons->size(); ++i) {
        answer = client.send(i, call).wait(io.waitScope);
        // Nothing was sent, so another daemon may run the request.
        if (answer.status != 0 || answer.state != OutcomeState::DidNotRun)
            break;
    }
    return report(call, answer);
}

} // namespace endivetrestle
