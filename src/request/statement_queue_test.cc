#include "request/statement_queue.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

ExecutionPtr waiting(int priority, Time rank, bool needsPrimary = true)
{
    auto execution = std::make_shared<Execution>();
    execution->work.priority = priority;
    execution->work.arrivedAt = Time(1s);
    execution->rank = rank;
    execution->work.needsPrimary = needsPrimary;
    return execution;
}

ExecutionPtr waitingOf(const char* workspace, int priority, Time rank)
{
    auto execution = waiting(priority, rank);
    execution->work.workspace = WorkspaceId(workspace);
    return execution;
}

// Offers all statements once, with the same result for each, and returns them in the order in which they were offered.
std::vector<ExecutionPtr> offerAll(StatementQueue& queue, StartResult result)
{
    std::vector<ExecutionPtr> offered;
    queue.offer([&](const ExecutionPtr& execution) {
        offered.push_back(execution);
        return result;
    });
    return offered;
}

} // namespace

TEST_CASE("StatementQueue, offers statements by priority and then by rank")
{
    // Guards against a lookup with seconds left that makes a statement with a short timeout expire behind it.
    StatementQueue queue;
    const auto patient = waiting(1, Time(9s));
    const auto hurried = waiting(1, Time(2s));
    const auto urgent = waiting(0, Time(10s));
    for (const auto& execution : { patient, hurried, urgent })
        queue.push(execution);
    CHECK(offerAll(queue, StartResult::Started) == std::vector<ExecutionPtr> { urgent, hurried, patient });
    CHECK(queue.empty());
}

TEST_CASE("StatementQueue, offers statements with the same rank by arrival")
{
    StatementQueue queue;
    const auto second = waiting(1, Time(9s));
    const auto first = waiting(1, Time(9s));
    first->work.arrivedAt = Time(500ms);
    queue.push(second);
    queue.push(first);
    CHECK(offerAll(queue, StartResult::Started) == std::vector<ExecutionPtr> { first, second });
}

TEST_CASE("StatementQueue, keeps statements that were not started and drops finished ones")
{
    StatementQueue queue;
    const auto kept = waiting(1, Time(1s), false);
    const auto gone = waiting(1, Time(2s), false);
    queue.push(kept);
    queue.push(gone);
    gone->finished = true;
    offerAll(queue, StartResult::Waiting);
    CHECK(queue.size() == 1);
    CHECK(queue.countAhead(kept->work, false) == 1);
}

TEST_CASE("StatementQueue, offers late statements after all others")
{
    // Guards against statements that miss their objective because late ones occupy the endpoints.
    StatementQueue queue;
    const auto lateAndUrgent = waiting(0, Time(1s));
    lateAndUrgent->late = true;
    const auto inTime = waiting(2, Time(2s));
    queue.push(lateAndUrgent);
    queue.push(inTime);
    CHECK(offerAll(queue, StartResult::Waiting) == std::vector<ExecutionPtr> { inTime, lateAndUrgent });
    CHECK(queue.countAhead(inTime->work, false) == 1);
    CHECK(queue.countAhead(inTime->work, false, true) == 2);
}

TEST_CASE("StatementQueue, offers statements that replicas can run behind a backlog of the primary")
{
    // Guards against idle replicas: a pass that ends after the first statements of a backlog that waits for the primary
    // never reaches those behind it.
    StatementQueue queue;
    constexpr int backlog = 3 * static_cast<int>(StatementQueue::scanLimit);
    for (int i = 0; i < backlog; ++i)
        queue.push(waiting(0, Time(1s)));
    const auto read = waiting(2, Time(9s), false);
    queue.push(read);
    int offeredToPrimary = 0;
    queue.offer([&](const ExecutionPtr& execution) {
        if (execution == read)
            return StartResult::Started;
        ++offeredToPrimary;
        return StartResult::PrimaryFull;
    });
    CHECK(offeredToPrimary == 1);
    CHECK(queue.size() == backlog);
}

TEST_CASE("StatementQueue, removes a statement whose need changed while it was queued")
{
    // A read that was also sent to a second replica stays queued when that replica refuses it as lagging.
    StatementQueue queue;
    const auto read = waiting(1, Time(2s), false);
    queue.push(read);
    read->laggingAttempts = Execution::maxLaggingReplicas;
    queue.push(read);
    CHECK(queue.size() == 1);
    queue.remove(read);
    CHECK(queue.empty());
    CHECK(offerAll(queue, StartResult::Started).empty());
}

TEST_CASE("StatementQueue, lets the workspaces of one priority take turns")
{
    // Guards against a workspace with many statements that delays those of others.
    StatementQueue queue;
    std::vector<ExecutionPtr> hot;
    for (int i = 0; i < 4; ++i)
        hot.push_back(waitingOf("hot", 1, Time(1s + std::chrono::seconds(i))));
    const auto quiet = waitingOf("quiet", 1, Time(9s));
    const auto urgent = waitingOf("hot", 0, Time(9s));
    for (const auto& execution : hot)
        queue.push(execution);
    queue.push(quiet);
    CHECK(offerAll(queue, StartResult::Waiting) == std::vector<ExecutionPtr> { hot[0], quiet, hot[1], hot[2], hot[3] });
    // Priority comes first, and the rank orders the statements of one workspace.
    queue.push(urgent);
    CHECK(offerAll(queue, StartResult::Waiting).front() == urgent);
    queue.remove(urgent);
    queue.fairness().onStarted(WorkspaceId("hot"), 100ms);
    CHECK(offerAll(queue, StartResult::Waiting).front() == quiet);
}

TEST_CASE("StatementQueue, examines the first statements of every workspace")
{
    // Guards against a long backlog of one workspace that hides statements of others which could start.
    StatementQueue queue;
    for (std::size_t i = 0; i < 3 * StatementQueue::scanLimit; ++i)
        queue.push(waitingOf("hot", 0, Time(1s)));
    const auto quiet = waitingOf("quiet", 2, Time(9s));
    queue.push(quiet);
    const auto offered = offerAll(queue, StartResult::Waiting);
    CHECK(offered.size() == StatementQueue::scanLimit + 1);
    CHECK(offered.back() == quiet);
}

TEST_CASE("StatementQueue, passes over one workspace only when it gets no connection to the primary")
{
    StatementQueue queue;
    const auto first = waitingOf("a", 1, Time(1s));
    const auto second = waitingOf("a", 1, Time(2s));
    const auto other = waitingOf("b", 1, Time(3s));
    for (const auto& execution : { first, second, other })
        queue.push(execution);
    CHECK(offerAll(queue, StartResult::PrimaryFullForWorkspace) == std::vector<ExecutionPtr> { first, other });
    CHECK(offerAll(queue, StartResult::PrimaryFull) == std::vector<ExecutionPtr> { first });
}

TEST_CASE("StatementQueue, counts only the turns of other workspaces as ahead")
{
    // Guards against refusing a statement because another workspace has a backlog.
    StatementQueue queue;
    for (int i = 0; i < 50; ++i)
        queue.push(waitingOf("hot", 1, Time(1s)));
    CHECK(queue.countAhead(waitingOf("quiet", 1, Time(9s))->work, true) == 1);
    CHECK(queue.countAhead(waitingOf("hot", 1, Time(9s))->work, true) == 50);
    queue.push(waitingOf("quiet", 1, Time(1s)));
    CHECK(queue.countAhead(waitingOf("quiet", 1, Time(9s))->work, true) == 3);
    // Statements of a higher priority come first, whoever sends them.
    CHECK(queue.countAhead(waitingOf("quiet", 2, Time(9s))->work, true) == 51);
}
