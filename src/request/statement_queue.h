#pragma once

#include "request/scheduled_statement.h"

#include <functional>
#include <map>
#include <tuple>

namespace endivetrestle {

// Statements that wait for an endpoint, ordered by priority and then by arrival. Statements marked as late come after
// all others.
//
// Example:
//     queue.push(execution);
//     queue.offer([&](const ExecutionPtr& waiting) { return tryToStart(waiting); });
class StatementQueue {
public:
    // Maximum number of statements examined in one pass, so that a long queue whose first statements cannot start is
    // not searched as a whole.
    static constexpr std::size_t scanLimit = 64;

    void push(ExecutionPtr execution);

    // Offers waiting statements in order until the scan limit is reached. A statement for which the function returns
    // true leaves the queue. Finished statements are dropped.
    void offer(const std::function<bool(const ExecutionPtr&)>& start);

    // Removes a statement; does nothing if it is not queued.
    void remove(const ExecutionPtr& execution);

    // Removes and returns all statements for which the function returns true.
    std::vector<ExecutionPtr> removeIf(const std::function<bool(const Execution&)>& matches);

    // Number of waiting statements with the same or a higher rank than the given one.
    [[nodiscard]] std::size_t countAhead(const ScheduledStatement& work, bool needsPrimary, bool late = false) const;

    [[nodiscard]] std::size_t size() const { return this->waiting.size(); }
    [[nodiscard]] bool empty() const { return this->waiting.empty(); }

private:
    // Whether it is late, priority, arrival time, and the address as a tie-breaker.
    using Key = std::tuple<bool, int, Time, const Execution*>;
    static Key keyOf(const ExecutionPtr& execution);

    std::map<Key, ExecutionPtr> waiting;
};

} // namespace endivetrestle
