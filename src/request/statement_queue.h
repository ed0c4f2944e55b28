#pragma once

#include "request/scheduled_statement.h"
#include "request/workspace_fairness.h"

#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace endivetrestle {

// Result of an attempt to start a waiting statement.
enum class StartResult {
    // It was sent to an endpoint and leaves the queue.
    Started,
    // It waits for a retry delay, for a connection that is being opened, or for an endpoint that holds its position.
    // Others may start.
    Waiting,
    // The primary has no free capacity. No statement that only the primary can run may start.
    PrimaryFull,
    // The workspace can get no connection to the primary at present. None of its statements that only the primary can
    // run may start, but those of other workspaces may.
    PrimaryFullForWorkspace,
};

// Statements that wait for an endpoint, ordered by priority and then by rank. Statements marked as late come after all
// others. Where statements of several workspaces wait, the workspaces share the slots of each priority evenly, and the
// rank orders the statements of one workspace only.
//
// The queue answers the load of a group in which one endpoint is full and another has capacity: statements that only
// the primary can run are kept apart from the others, so that a backlog in front of a full primary does not hide
// statements that a replica could run at once.
//
// Example:
//     queue.push(execution);
//     queue.offer([&](const ExecutionPtr& waiting) { return tryToStart(waiting); });
class StatementQueue {
public:
    // Maximum number of statements of each lane examined in one pass, so that a long queue whose first statements
    // cannot start is not searched as a whole. It holds for each workspace, so that none hides the others.
    static constexpr std::size_t scanLimit = 64;

    StatementQueue() = default;
    StatementQueue(const StatementQueue&) = delete;
    StatementQueue& operator=(const StatementQueue&) = delete;

    // Adds a statement, or moves it if it is already queued.
    void push(const ExecutionPtr& execution);

    // Offers waiting statements in order until the scan limit is reached. Started and finished statements leave the
    // queue. After PrimaryFull, the remaining statements that only the primary can run are passed over.
    void offer(const std::function<StartResult(const ExecutionPtr&)>& start);

    // Removes a statement; does nothing if it is not queued.
    void remove(const ExecutionPtr& execution);

    // All waiting statements.
    [[nodiscard]] std::vector<ExecutionPtr> waitingStatements() const;

    // Number of waiting statements that are served before the given one. Of another workspace with the same priority,
    // only as many count as are served in turn with those of its own workspace.
    [[nodiscard]] std::size_t countAhead(const ScheduledStatement& work, bool needsPrimary, bool late = false) const;

    // Number of waiting statements of the workspace.
    [[nodiscard]] std::size_t waitingOf(const WorkspaceId& workspace) const;

    // Shares of the workspaces. The caller reports the statements that start and the slot time that they take.
    [[nodiscard]] WorkspaceFairness& fairness() { return this->shares; }

    [[nodiscard]] std::size_t size() const { return this->places.size(); }
    [[nodiscard]] bool empty() const { return this->places.empty(); }

private:
    // Whether it is late, priority, rank, arrival time, and the address as a tie-breaker.
    using Key = std::tuple<bool, int, Time, Time, const Execution*>;
    using Lane = std::map<Key, ExecutionPtr>;
    static Key keyOf(const ExecutionPtr& execution);

    // Where a statement is queued. It is recorded because a second endpoint may refuse a queued read as lagging, which
    // changes what the read needs.
    struct Place {
        Lane* lane = nullptr;
        Key key;
    };

    // The first statements of both lanes in common order.
    [[nodiscard]] std::vector<ExecutionPtr> firstInOrder() const;
    // The first statements of each workspace and lane, in the order in which the workspaces take turns.
    [[nodiscard]] std::vector<ExecutionPtr> firstInTurns() const;

    // Statements that only the primary can run, and those that any endpoint may run.
    Lane primaryLane;
    Lane anyLane;
    std::unordered_map<const Execution*, Place> places;
    // Waiting statements by workspace; workspaces without any are left out.
    std::map<WorkspaceId, std::size_t> waiting;
    WorkspaceFairness shares;
};

} // namespace endivetrestle
