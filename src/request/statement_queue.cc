#include "request/statement_queue.h"

#include <algorithm>
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
    if (++this->waiting[execution->work.workspace] == 1)
        this->shares.onWaiting(execution->work.workspace);
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
    if (this->waiting.empty())
        this->shares.onNoneWaiting();
}

std::vector<ExecutionPtr> StatementQueue::waitingStatements() const
{
    std::vector<ExecutionPtr> result;
    for (const auto* lane : { &this->primaryLane, &this->anyLane }) {
        for (const auto& [key, execution] : *lane)
            result.push_back(execution);
    }
    return result;
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

std::vector<ExecutionPtr> StatementQueue::firstInTurns() const
{
    struct Candidate {
        const Key* key = nullptr;
        Duration tag {};
        ExecutionPtr execution;
    };
    std::vector<Candidate> candidates;
    for (const auto* lane : { &this->primaryLane, &this->anyLane }) {
        std::map<WorkspaceId, std::size_t> taken;
        for (const auto& [key, execution] : *lane) {
            if (taken[execution->work.workspace]++ < scanLimit)
                candidates.push_back({ &key, {}, execution });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return *left.key < *right.key; });
    std::map<WorkspaceId, Duration> tags;
    for (auto& candidate : candidates) {
        const auto& workspace = candidate.execution->work.workspace;
        auto& tag = tags.try_emplace(workspace, this->shares.tagOf(workspace)).first->second;
        candidate.tag = tag;
        tag += this->shares.expectedCost();
    }
    const auto turn = [](const Candidate& candidate) {
        return std::make_tuple(std::get<0>(*candidate.key), std::get<1>(*candidate.key), candidate.tag);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
        [&](const Candidate& left, const Candidate& right) { return turn(left) < turn(right); });
    std::vector<ExecutionPtr> result;
    result.reserve(candidates.size());
    for (auto& candidate : candidates)
        result.push_back(std::move(candidate.execution));
    return result;
}

void StatementQueue::offer(const std::function<StartResult(const ExecutionPtr&)>& start)
{
    bool primaryFull = false;
    std::set<WorkspaceId> withoutPrimary;
    // The candidates are copied because starting one may push others.
    for (const auto& execution : this->waiting.size() > 1 ? this->firstInTurns() : this->firstInOrder()) {
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
    std::size_t ahead = 0;
    std::map<WorkspaceId, std::size_t> sameRank;
    const auto count = [&](const Lane& lane) {
        for (const auto& [key, execution] : lane) {
            const auto other = std::make_pair(execution->late, execution->work.priority);
            if (other > rank)
                break;
            if (other < rank)
                ++ahead;
            else
                ++sameRank[execution->work.workspace];
        }
    };
    count(this->primaryLane);
    if (!needsPrimary)
        count(this->anyLane);
    const auto own = sameRank[work.workspace];
    for (const auto& [workspace, statements] : sameRank)
        ahead += workspace == work.workspace ? own : std::min(statements, own + 1);
    return ahead;
}

} // namespace endivetrestle
