#include "process/durability/acknowledged_log.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Report of an endpoint that leads the given term or a later one; null if there is none.
const EndpointReport* leaderSince(const LogEvidence& evidence, std::uint64_t term)
{
    const EndpointReport* leader = nullptr;
    for (const auto& [id, report] : evidence.reports) {
        if (report.isPrimary && report.term >= term && (leader == nullptr || report.term > leader->term))
            leader = &report;
    }
    return leader;
}

// Report of an endpoint that has followed the last term; null if there is none.
const EndpointReport* presentReport(const LogEvidence& evidence, const EndpointId& id)
{
    const auto report = evidence.reports.find(id);
    return report == evidence.reports.end() || report->second.term < evidence.term ? nullptr : &report->second;
}

// Highest position that a replica has received, if enough replicas reported.
std::optional<Position> positionOfReplicas(const LogEvidence& evidence)
{
    if (evidence.mayLackMembers)
        return std::nullopt;
    Position highest;
    std::size_t missing = 0;
    for (const auto& member : evidence.members) {
        if (member == evidence.oldPrimary)
            continue;
        const auto* report = presentReport(evidence, member);
        if (report != nullptr)
            highest = std::max(highest, report->received);
        if (report == nullptr || evidence.restarted.count(member) != 0)
            ++missing;
    }
    return missing < evidence.syncReplicas ? std::optional(highest) : std::nullopt;
}

} // namespace

void addMembers(LogEvidence& evidence, const CommitHolders& holders, const std::vector<EndpointRecord>& listed)
{
    const auto present = holdersOf(listed);
    for (const auto& holder : present)
        evidence.members.insert(holder.id);
    for (const auto& holder : without(holders, present)) {
        if (evidence.members.count(holder.id) != 0) {
            evidence.restarted.insert(holder.id);
            continue;
        }
        const auto successor = successorOf(holder, listed);
        if (!successor)
            evidence.members.insert(holder.id);
        else if (holder.id == evidence.oldPrimary)
            evidence.oldPrimarySuccessor = successor;
    }
}

std::optional<Position> acknowledgedPosition(const LogEvidence& evidence)
{
    if (evidence.syncReplicas == 0)
        return Position {};
    // Whoever leads a later term was promoted when its log was known to be complete.
    if (const auto* leader = leaderSince(evidence, evidence.term + 1))
        return leader->received;
    if (const auto position = positionOfReplicas(evidence))
        return position;
    // Only one endpoint ever leads a term, so this is the old primary, whether its id is known or not.
    if (const auto* leader = leaderSince(evidence, evidence.term))
        return leader->received;
    if (const auto* old = presentReport(evidence, evidence.oldPrimary))
        return old->received;
    const auto* successor
        = evidence.oldPrimarySuccessor ? presentReport(evidence, *evidence.oldPrimarySuccessor) : nullptr;
    return successor != nullptr ? std::optional(successor->received) : std::nullopt;
}

} // namespace endivetrestle
