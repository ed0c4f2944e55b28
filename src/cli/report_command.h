#pragma once

#include "process/burn_report.h"
#include "process/journal.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace endivetrestle {

// Answer of one daemon to GET /admin/v1/report. Its JSON is that of the burn report with two more members: "daemon",
// the daemon's identifier, and "journal", the journal's JSON.
struct DaemonReport {
    std::string daemon;
    BurnReport burn;
    std::vector<JournalEntry> journal;
};

// Builds the JSON that a daemon answers; ages are relative to `now`.
nlohmann::json toJson(const DaemonReport& report, Time now);

// Inverse of toJson(), with times relative to `now`. Members that are missing keep their defaults.
DaemonReport daemonReportFromJson(const nlohmann::json& value, Time now);

// Subcommand "report": fetches the reports of daemons and prints them as text or JSON, or writes a plot.
int runReport(std::vector<std::string>& arguments);

} // namespace endivetrestle
