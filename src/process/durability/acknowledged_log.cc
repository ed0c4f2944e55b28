#include "process/acknowledged_log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Report of an endpoint that already leads a later term. It was promoted when its log was known to be complete.
const EndpointReport* laterLeader(const LogEvidence& evidence)
{
    const EndpointReport* leader = nullptr;
    for (const auto& [id, report] : evidence.reports) {
        if (report.isPrimary && report.term > evidence.term && (leader == nullptr || report.term > leader->term))
            leader = &report;
    }
    return leader;
}

// Highest position that a replica has received, if enough replicas reported.
std::optional<Position> positionOfReplicas(const LogEvidence& evidence)
{
    Position highest;
    std::size_t missing = 0;
    for (const auto& member : evidence.members) {
        if (member == evidence.oldPrimary)
            continue;
        const auto report = evidence.reports.find(member);
        if (report == evidence.reports.end() || report->second.term < evidence.term)
            ++missing;
        else
            highest = std::max(highest, report->second.received);
    }
    return missing < evidence.syncReplicas ? std::optional(highest) : std::nullopt;
}

} // namespace

std::optional<Position> acknowledgedPosition(const LogEvidence& evidence)
{
    if (evidence.syncReplicas == 0)
        return Position {};
    if (const auto* leader = laterLeader(evidence))
        return leader->received;
    if (const auto position = positionOfReplicas(evidence))
        return position;
    const auto old = evidence.reports.find(evidence.oldPrimary);
    if (old != evidence.reports.end() && old->second.term >= evidence.term)
        return old->second.received;
    return std::nullopt;
}

} // namespace endivetrestle
