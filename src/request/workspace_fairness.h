#pragma once

#include "base/clock.h"
#include "base/identifier.h"

#include <map>

namespace endivetrestle {

// Start-time fair queueing between workspaces by slot time. Every workspace has a tag, the slot time that it has used,
// which rises with each of its statements; among the workspaces with waiting statements, the one with the lowest tag
// goes first. A workspace that sends more than others thus waits for itself and not they for it. A workspace that was
// away starts at the tag of the statement started last: it neither saves up time nor pays for time that nobody else
// wanted.
//
// Example:
//     fairness.onWaiting(workspace);
//     fairness.onStarted(workspace, expected);
//     fairness.charge(workspace, actual - expected);
class WorkspaceFairness {
public:
    // Slot time that a statement is expected to take before any was measured.
    static constexpr Duration defaultCost = std::chrono::milliseconds(10);

    // The workspace, of which no statement was waiting, has one now.
    void onWaiting(const WorkspaceId& workspace);
    // A statement of the workspace has started and will take about this slot time.
    void onStarted(const WorkspaceId& workspace, Duration expected);
    // Adds slot time used otherwise, for example to open a connection, or the difference to what was expected.
    void charge(const WorkspaceId& workspace, Duration slotTime);
    // No statement waits any more: all workspaces have had what they wanted.
    void onNoneWaiting();

    // Smoothed slot time of a statement.
    [[nodiscard]] Duration expectedCost() const { return this->cost; }
    [[nodiscard]] Duration tagOf(const WorkspaceId& workspace) const;
    [[nodiscard]] std::size_t size() const { return this->tags.size(); }

private:
    // Slot time used by each workspace; those that are missing have used no more than virtualTime.
    std::map<WorkspaceId, Duration> tags;
    // Tag of the statement started last.
    Duration virtualTime {};
    Duration cost = defaultCost;
};

} // namespace endivetrestle
