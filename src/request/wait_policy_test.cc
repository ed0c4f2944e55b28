#include "request/statement_queue.h"
#include "request/wait_policy.h"

#include <catch2/catch.hpp>

using namespace endivetrestle;
using namespace std::chrono_literals;

TEST_CASE("shouldRefuse, queues a statement that is served within half of its objective")
{
    CHECK_FALSE(shouldRefuse({ 10, 100, 20ms }, 400ms, 1s));
}

TEST_CASE("shouldRefuse, refuses a statement that would be late")
{
    // Answers the load of one primary that gets all reads while its replicas lag: 30 statements at 100 a second.
    CHECK(shouldRefuse({ 30, 100, 20ms }, 400ms, 1s));
}

TEST_CASE("shouldRefuse, refuses a statement whose own time is over before it would be served")
{
    CHECK(shouldRefuse({ 10, 100, 50ms }, 400ms, 120ms));
}

TEST_CASE("shouldRefuse, refuses when nothing is completed")
{
    CHECK(shouldRefuse({ 1, 0, 0ms }, 400ms, 1s));
    CHECK_FALSE(shouldRefuse({ 0, 0, 0ms }, 400ms, 1s));
}

TEST_CASE("longestWait, bounds short and long objectives")
{
    CHECK(longestWait(20ms) == 100ms);
    CHECK(longestWait(400ms) == 200ms);
    CHECK(longestWait(60s) == 2s);
}

namespace {

ExecutionPtr waiting(int priority, Time arrivedAt)
{
    auto execution = std::make_shared<Execution>();
    execution->work.priority = priority;
    execution->work.arrivedAt = arrivedAt;
    return execution;
}

} // namespace

TEST_CASE("StatementQueue, offers urgent statements first and equal ones by arrival")
{
    StatementQueue queue;
    const auto late = waiting(1, Time(2s));
    const auto early = waiting(1, Time(1s));
    const auto urgent = waiting(0, Time(3s));
    for (const auto& execution : { late, early, urgent })
        queue.push(execution);
    std::vector<ExecutionPtr> order;
    queue.take([&](const ExecutionPtr& execution) {
        order.push_back(execution);
        return true;
    });
    CHECK(order == std::vector<ExecutionPtr> { urgent, early, late });
    CHECK(queue.empty());
}

TEST_CASE("StatementQueue, keeps what was not started and drops what is finished")
{
    StatementQueue queue;
    const auto kept = waiting(1, Time(1s));
    const auto gone = waiting(1, Time(2s));
    queue.push(kept);
    queue.push(gone);
    gone->finished = true;
    queue.take([](const ExecutionPtr&) { return false; });
    CHECK(queue.size() == 1);
    CHECK(queue.countAhead(kept->work, false) == 1);
}
