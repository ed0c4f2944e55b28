#include "request/statement_queue.h"

#include <set>

namespace endivetrestle {

StatementQueue::Key StatementQueue::keyOf(const ExecutionPtr& execution)
{
    const auto& work = execution->work;
    return { execution->late, work.priority, execution->rank, work.arrivedAt, execution.get() };
}

void StatementQueue::push(const ExecutionPtr& execution)
{
    this->remove(execution);
    auto& lane = execution->needsPrimary() ? this->primaryLane : this->anyLane;
    const auto key = keyOf(execution);
    lane.emplace(key, execution);
    this->places[execution.get()] = { &lane, key };
    ++this->waiting[execution->work.workspace];
}

void StatementQueue::remove(const ExecutionPtr& execution)
{
    const auto place = this->places.find(execution.get());
    if (place == this->places.end())
        return;
    place->second.lane->erase(place->second.key);
    this->places.erase(place);
    const auto count = this->waiting.find(execution->work.workspace);
    if (--count->second == 0)
        this->waiting.erase(count);
}

std::vector<ExecutionPtr> StatementQueue::firstInOrder() const
{
    std::vector<ExecutionPtr> result;
    auto primary = this->primaryLane.begin();
    auto any = this->anyLane.begin();
    std::size_t fromPrimary = 0;
    std::size_t fromAny = 0;
    while (true) {
        const bool hasPrimary = primary != this->primaryLane.end() && fromPrimary < scanLimit;
        const bool hasAny = any != this->anyLane.end() && fromAny < scanLimit;
        if (!hasPrimary && !hasAny)
            return result;
        if (hasPrimary && (!hasAny || primary->first < any->first)) {
            result.push_back((primary++)->second);
            ++fromPrimary;
        } else {
            result.push_back((any++)->second);
            ++fromAny;
        }
    }
}

void StatementQueue::offer(const std::function<StartResult(const ExecutionPtr&)>& start)
{
    bool primaryFull = false;
    std::set<WorkspaceId> withoutPrimary;
    // The candidates are copied because starting one may push others.
    for (const auto& execution : this->firstInOrder()) {
        if (execution->finished) {
            this->remove(execution);
            continue;
        }
        const bool passedOver = primaryFull || withoutPrimary.count(execution->work.workspace) != 0;
        if (passedOver && execution->needsPrimary())
            continue;
        const auto result = start(execution);
        if (result == StartResult::Started)
            this->remove(execution);
        else if (result == StartResult::PrimaryFull)
            primaryFull = true;
        else if (result == StartResult::PrimaryFullForWorkspace)
            withoutPrimary.insert(execution->work.workspace);
    }
}

std::size_t StatementQueue::waitingOf(const WorkspaceId& workspace) const
{
    const auto found = this->waiting.find(workspace);
    return found == this->waiting.end() ? 0 : found->second;
}

std::size_t StatementQueue::countAhead(const ScheduledStatement& work, bool needsPrimary, bool late) const
{
    const auto rank = std::make_pair(late, work.priority);
    const auto count = [&](const Lane& lane) {
        std::size_t ahead = 0;
        for (const auto& [key, execution] : lane) {
            if (std::make_pair(execution->late, execution->work.priority) > rank)
                break;
            ++ahead;
        }
        return ahead;
    };
    return count(this->primaryLane) + (needsPrimary ? 0 : count(this->anyLane));
}

} // namespace endivetrestle
