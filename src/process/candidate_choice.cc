#include "process/candidate_choice.h"

#include <algorithm>
#include <tuple>

namespace endivetrestle {

namespace {

// An endpoint that already leads because of an order of an earlier attempt comes first, then the one with the highest
// received position.
bool isAhead(const EndpointReport& left, const EndpointReport& right)
{
    const auto rank = [](const EndpointReport& report) {
        return std::make_tuple(report.isPrimary ? report.term : 0, report.received);
    };
    return rank(left) > rank(right);
}

// Best of the replicas that reported and may be ordered; no value if there is none.
std::optional<EndpointId> bestReplica(const CandidateInput& input, bool draining)
{
    std::optional<EndpointId> best;
    const auto& reports = input.evidence.reports;
    for (const auto& [id, report] : reports) {
        const bool usable = id != input.evidence.oldPrimary && input.rejected.count(id) == 0
            && (input.draining.count(id) != 0) == draining;
        if (usable && (!best || isAhead(report, reports.at(*best))))
            best = id;
    }
    return best;
}

bool reaches(const EndpointReport& report, const std::optional<Position>& required)
{
    return required && report.received >= *required;
}

// A replica that is draining takes over only if it holds acknowledged commits that all others lack.
std::optional<EndpointId> chooseReplica(const CandidateInput& input, const std::optional<Position>& required)
{
    const auto& reports = input.evidence.reports;
    const auto best = bestReplica(input, false);
    if (input.evidence.syncReplicas == 0 || (best && reaches(reports.at(*best), required)))
        return best;
    const auto draining = bestReplica(input, true);
    return draining && reaches(reports.at(*draining), required) ? draining : best;
}

// Whether the old primary goes on, instead of the chosen replica.
bool keepsOldPrimary(
    const CandidateInput& input, const std::optional<EndpointId>& replica, const std::optional<Position>& required)
{
    const auto& evidence = input.evidence;
    const auto old = evidence.reports.find(evidence.oldPrimary);
    if (old == evidence.reports.end())
        return false;
    const bool hasFollowed = replica && evidence.reports.at(*replica).term >= evidence.term;
    if (!hasFollowed && old->second.isPrimary && input.draining.count(old->first) == 0)
        return true;
    const bool isComplete = replica && reaches(evidence.reports.at(*replica), required);
    return evidence.syncReplicas > 0 && input.catchUpFailed && !isComplete && old->second.term >= evidence.term;
}

} // namespace

CandidateChoice chooseCandidate(const CandidateInput& input)
{
    const auto& evidence = input.evidence;
    CandidateChoice choice;
    choice.required = acknowledgedPosition(evidence);
    const auto replica = chooseReplica(input, choice.required);
    const bool keepsOld = keepsOldPrimary(input, replica, choice.required);
    if (!replica && !keepsOld)
        return choice;
    choice.endpoint = keepsOld ? evidence.oldPrimary : *replica;
    const auto& report = evidence.reports.at(choice.endpoint);
    const auto highestTerm
        = std::max_element(evidence.reports.begin(), evidence.reports.end(), [](const auto& left, const auto& right) {
              return left.second.term < right.second.term;
          })->second.term;
    choice.alreadyLeads = report.isPrimary && report.term >= std::max(highestTerm, evidence.term);
    if (keepsOld || choice.alreadyLeads)
        choice.action = CandidateAction::Order;
    else if (evidence.reports.count(evidence.oldPrimary) != 0)
        choice.action = choice.required ? CandidateAction::CatchUp : CandidateAction::AwaitProof;
    else
        choice.action = reaches(report, choice.required) ? CandidateAction::Order : CandidateAction::AwaitProof;
    return choice;
}

} // namespace endivetrestle
