#include "soak/soak.h"

#include "soak/soak_run.h"

#include <csignal>
#include <nlohmann/json.hpp>

namespace endivetrestle::soak {

using nlohmann::json;

namespace {

std::string formatViolationCounts(const std::map<std::string, std::uint64_t>& counts)
{
    std::uint64_t total = 0;
    std::string kinds;
    for (const auto& [kind, count] : counts) {
        total += count;
        kinds += (kinds.empty() ? "" : ", ") + kind + " " + std::to_string(count);
    }
    return std::to_string(total) + " violations" + (kinds.empty() ? "" : " (" + kinds + ")");
}

} // namespace

SoakReport runSoak(const SoakSettings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    SoakRun run(settings);
    return run.run();
}

std::string formatReport(const SoakReport& report)
{
    std::string text = "seed " + std::to_string(report.seed) + ": " + std::to_string(report.faults.size()) + " faults, "
        + std::to_string(report.promotions) + " promotions, statements succeeded "
        + std::to_string(report.counts.succeeded) + ", refused " + std::to_string(report.counts.refused) + ", unknown "
        + std::to_string(report.counts.unknown) + ", sessions lost " + std::to_string(report.counts.lost)
        + ", writes checked " + std::to_string(report.acknowledgedWrites) + ", reads checked "
        + std::to_string(report.checkedReads) + ", " + formatViolationCounts(report.violationCounts) + "\n";
    for (const auto& violation : report.violations)
        text += "  VIOLATION " + violation + "\n";
    if (!report.violations.empty()) {
        for (const auto& fault : report.faults)
            text += "  " + fault + "\n";
    }
    return text;
}

std::string formatReportJson(const SoakReport& report)
{
    return json {
        { "seed", report.seed }, { "faults", report.faults }, { "promotions", report.promotions },
        { "succeeded", report.counts.succeeded }, { "refused", report.counts.refused },
        { "unknown", report.counts.unknown }, { "sessionsLost", report.counts.lost },
        { "writesChecked", report.acknowledgedWrites }, { "readsChecked", report.checkedReads },
        { "violations", report.violations }, { "violationCounts", report.violationCounts }
    }.dump(2)
        + "\n";
}

} // namespace endivetrestle::soak
