#include "request/statement_queue.h"

namespace endivetrestle {

StatementQueue::Key StatementQueue::keyOf(const ExecutionPtr& execution)
{
    return { execution->late, execution->work.priority, execution->work.arrivedAt, execution.get() };
}

void StatementQueue::push(ExecutionPtr execution) { this->waiting.emplace(keyOf(execution), std::move(execution)); }

void StatementQueue::remove(const ExecutionPtr& execution) { this->waiting.erase(keyOf(execution)); }

void StatementQueue::offer(const std::function<bool(const ExecutionPtr&)>& start)
{
    // The candidates are copied because starting one may push others.
    std::vector<ExecutionPtr> candidates;
    for (const auto& [key, execution] : this->waiting) {
        if (candidates.size() >= scanLimit)
            break;
        candidates.push_back(execution);
    }
    for (const auto& execution : candidates) {
        if (execution->finished || start(execution))
            this->remove(execution);
    }
}

std::vector<ExecutionPtr> StatementQueue::removeIf(const std::function<bool(const Execution&)>& matches)
{
    std::vector<ExecutionPtr> removed;
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        if (!matches(*entry->second)) {
            ++entry;
            continue;
        }
        removed.push_back(entry->second);
        entry = this->waiting.erase(entry);
    }
    return removed;
}

std::size_t StatementQueue::countAhead(const ScheduledStatement& work, bool needsPrimary, bool late) const
{
    std::size_t count = 0;
    for (const auto& [key, execution] : this->waiting) {
        if (std::make_pair(execution->late, execution->work.priority) > std::make_pair(late, work.priority))
            break;
        if (!needsPrimary || execution->work.needsPrimary)
            ++count;
    }
    return count;
}

} // namespace endivetrestle
