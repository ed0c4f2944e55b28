#include "cli/report_command.h"

#include "cli/command.h"
#include "cli/command_input.h"
#include "cli/exit_codes.h"
#include "process/svg_plot.h"
#include "tool/caller_client.h"

#include <algorithm>
#include <iostream>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr auto fetchTimeout = 5 * kj::SECONDS;
// Reference for ages. Any value above the longest age serves, since only differences are shown.
constexpr Time reference { std::chrono::hours(24 * 365) };

struct ReportArguments {
    TCLAP::CmdLine line { "Prints how fast daemons spend their error budgets, and why.", ' ', versionText };
    TCLAP::MultiArg<std::string> daemons { "d", "daemon", "address of a daemon's port for operators", true, "IP:PORT",
        line };
    TCLAP::ValueArg<std::string> keyFile { "k", "key-file", "file with the operator key", true, "", "FILE", line };
    TCLAP::SwitchArg json { "j", "json", "prints the daemons' answers as a JSON list", line };
    TCLAP::ValueArg<std::string> svg { "", "svg", "writes a plot", false, "", "FILE", line };
};

struct Fetched {
    std::vector<json> answers;
    int exit = ExitSuccess;
};

void addAnswer(Fetched& fetched, const DaemonAddress& daemon, const CallerClient::Response& response)
{
    auto value = json::parse(response.body, nullptr, false);
    if (response.status == 200 && value.is_object()) {
        fetched.answers.push_back(std::move(value));
        return;
    }
    const bool isRefused = response.status != 0 && response.status != 200;
    fetched.exit = isRefused ? ExitRefused : ExitUnreachable;
    std::cerr << "no report from " << toString(daemon) << ": "
              << (response.status == 0 ? response.body : "HTTP status " + std::to_string(response.status)) << "\n";
}

Fetched fetchAll(const std::vector<DaemonAddress>& daemons, const std::string& key)
{
    Fetched fetched;
    auto io = kj::setupAsyncIo();
    CallerClient client(*io.provider, daemons, key);
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        auto late = io.provider->getTimer().afterDelay(fetchTimeout).then([] {
            return CallerClient::Response { 0, "no answer within 5 s", "", true };
        });
        auto answered = client.fetch(i, kj::HttpMethod::GET, "/admin/v1/report", "").exclusiveJoin(kj::mv(late));
        addAnswer(fetched, daemons[i], answered.wait(io.waitScope));
    }
    return fetched;
}

BurnReport combined(const std::vector<DaemonReport>& reports)
{
    if (reports.size() == 1)
        return reports.front().burn;
    std::vector<BurnReport> burns;
    for (const auto& report : reports)
        burns.push_back(report.burn);
    return mergeBurnReports(burns, {});
}

std::vector<JournalEntry> allEntries(const std::vector<DaemonReport>& reports)
{
    std::vector<JournalEntry> entries;
    for (const auto& report : reports)
        entries.insert(entries.end(), report.journal.begin(), report.journal.end());
    std::stable_sort(entries.begin(), entries.end(),
        [](const JournalEntry& left, const JournalEntry& right) { return left.firstAt < right.firstAt; });
    return entries;
}

void printText(const std::vector<DaemonReport>& reports)
{
    std::cout << toTable(combined(reports));
    for (const auto& report : reports)
        std::cout << "\ndecisions of " << report.daemon << "\n" << toTable(report.journal);
}

} // namespace

json toJson(const DaemonReport& report, Time now)
{
    auto value = toJson(report.burn);
    value["daemon"] = report.daemon;
    value["journal"] = toJson(report.journal, now);
    return value;
}

DaemonReport daemonReportFromJson(const json& value, Time now)
{
    DaemonReport report;
    report.burn = burnReportFromJson(value);
    if (!value.is_object())
        return report;
    if (value.contains("daemon") && value["daemon"].is_string())
        report.daemon = value["daemon"].get<std::string>();
    if (value.contains("journal"))
        report.journal = journalFromJson(value["journal"], now);
    return report;
}

int runReport(std::vector<std::string>& arguments)
{
    ReportArguments parsed;
    if (const auto exit = parseArguments(parsed.line, arguments))
        return *exit;
    const auto daemons = parseDaemons(parsed.daemons.getValue());
    const auto key = readKeyFile(parsed.keyFile.getValue());
    if (!daemons || !key)
        return ExitUsage;
    const auto fetched = fetchAll(*daemons, *key);
    if (fetched.answers.empty())
        return fetched.exit;
    std::vector<DaemonReport> reports;
    for (const auto& answer : fetched.answers)
        reports.push_back(daemonReportFromJson(answer, reference));
    if (parsed.json.getValue())
        std::cout << json(fetched.answers).dump(2) << "\n";
    else
        printText(reports);
    const auto plot = plotOf(combined(reports), allEntries(reports), reference);
    if (parsed.svg.isSet() && !writeTextFile(parsed.svg.getValue(), toSvg(plot)))
        return ExitUsage;
    return fetched.exit;
}

} // namespace endivetrestle
