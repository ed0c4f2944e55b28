#include "cli/trace_command.h"

#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "tool/log_trace.h"

#include <fstream>
#include <iostream>

namespace endivetrestle {

namespace {

struct TraceArguments {
    TCLAP::CmdLine line { "Prints the history of a request or of a database group from logs of the proxy.", ' ',
        versionText };
    TCLAP::ValueArg<std::string> request { "r", "request", "id of a request", false, "", "ID", line };
    TCLAP::ValueArg<std::string> group { "g", "group", "database group", false, "", "GROUP", line };
    TCLAP::SwitchArg json { "j", "json", "prints JSON", line };
    TCLAP::UnlabeledMultiArg<std::string> files { "files", "log files; standard input without any", false, "FILE",
        line };
};

} // namespace

int runTrace(std::vector<std::string>& arguments)
{
    TraceArguments parsed;
    if (const auto code = parseArguments(parsed.line, arguments))
        return *code;
    const TraceQuery query { parsed.request.getValue(), parsed.group.getValue() };
    if (query.request.empty() == query.group.empty()) {
        std::cerr << "give either a request (-r) or a group (-g)\n";
        return ExitUsage;
    }
    std::vector<LogLine> lines;
    for (const auto& name : parsed.files.getValue()) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << name << ": cannot be read\n";
            return ExitUsage;
        }
        for (auto& line : readLog(file, name))
            lines.push_back(std::move(line));
    }
    if (parsed.files.getValue().empty())
        lines = readLog(std::cin, "-");
    const auto trace = traceLog(std::move(lines), query);
    std::cout << (parsed.json.getValue() ? formatTraceJson(trace) : formatTrace(trace));
    if (trace.empty())
        std::cerr << "no line of the logs is about it\n";
    return trace.empty() ? ExitCheckFailed : ExitSuccess;
}

} // namespace endivetrestle
