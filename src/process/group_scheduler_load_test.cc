// Simulates loads above the capacity of the endpoints and checks how many statements complete in time, complete late or
// are refused.
#include "process/scheduler_fixture_test.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

constexpr Duration objective = std::chrono::milliseconds(200);
constexpr Duration statementTimeout = std::chrono::milliseconds(2000);
// Execution time of a statement. The primary has two slots, so it completes 200 statements a second.
constexpr Duration executionTime = std::chrono::milliseconds(10);
constexpr int slots = 2;
constexpr int completionsPerSecond = 200;

// Number of statements by result.
struct LoadResult {
    int submitted = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    // Refused after more than half of the objective.
    int refusedAfterWait = 0;
    // Longest time from the submission of a statement to its refusal.
    Duration longestWaitUntilRefusal {};
};

// Simulates one primary that serves all statements, and callers that do not retry.
class LoadSimulation {
public:
    // Submits statements at the first rate for the length of the burst and at the second rate from then on, until the
    // total time is over.
    LoadResult run(int burstPerSecond, Duration burst, int afterBurstPerSecond, Duration total)
    {
        constexpr Duration step = std::chrono::milliseconds(1);
        double due = 0;
        for (Duration at {}; at < total; at += step) {
            due += toSeconds(step) * (at < burst ? burstPerSecond : afterBurstPerSecond);
            for (; due >= 1; due -= 1)
                this->submit();
            this->fixture.advance(step);
            this->serve();
            this->fixture.completeOpens();
            this->fixture.scheduler->tick(this->fixture.now);
        }
        return this->result;
    }

private:
    void submit()
    {
        ++this->result.submitted;
        auto work = SchedulerFixture::read(true);
        work.objective = objective;
        work.expiresAt = this->fixture.now + statementTimeout;
        const auto execution = this->fixture.makeExecution(std::move(work));
        const auto submittedAt = this->fixture.now;
        execution->callback = [this, submittedAt](const StatementResult& result) {
            const auto elapsed = this->fixture.now - submittedAt;
            if (!result.answer.succeeded) {
                ++this->result.refused;
                this->result.refusedAfterWait += elapsed > objective / 2 ? 1 : 0;
                this->result.longestWaitUntilRefusal = std::max(this->result.longestWaitUntilRefusal, elapsed);
            } else
                ++(elapsed <= objective ? this->result.inTime : this->result.late);
        };
        this->fixture.scheduler->submit(execution, this->fixture.now);
    }

    // Runs commands in the order in which they were sent, as many at a time as there are slots.
    void serve()
    {
        while (!this->running.empty() && this->running.front().first <= this->fixture.now) {
            const auto sent = this->running.front().second;
            this->running.pop_front();
            this->fixture.succeed(sent);
        }
        while (!this->fixture.sent.empty())
            this->waiting.push_back(this->fixture.take());
        while (!this->waiting.empty() && this->running.size() < slots) {
            this->running.emplace_back(this->fixture.now + executionTime, this->waiting.front());
            this->waiting.pop_front();
        }
    }

    SchedulerFixture fixture;
    std::deque<SchedulerFixture::Sent> waiting;
    std::deque<std::pair<Time, SchedulerFixture::Sent>> running;
    LoadResult result;
};

} // namespace

// Submits a burst of twice the capacity of the endpoint, followed by half of its capacity. Guards against refusing
// statements that could be served late, and against late statements that delay those which can be in time.
TEST_CASE("GroupScheduler, serves statements late when a burst exceeds the capacity")
{
    LoadSimulation load;
    const auto result = load.run(2 * completionsPerSecond, 1s, completionsPerSecond / 2, 4s);
    INFO("submitted " << result.submitted << ", in time " << result.inTime << ", late " << result.late << ", refused "
                      << result.refused);
    // Target: 90 % of the capacity during the burst and of the load after it is served in time.
    CHECK(result.inTime >= 0.9 * completionsPerSecond * 2.5);
    // None is refused: the backlog of 200 statements is served within their timeout of two seconds.
    CHECK(result.refused == 0);
    CHECK(result.late > 0);
}

// Submits a sustained load of three times the capacity of the endpoint. Guards against refusing statements after a long
// wait, and against a queue so long that every statement is late.
TEST_CASE("GroupScheduler, maintains its goodput when the overload is sustained")
{
    LoadSimulation load;
    const auto result = load.run(3 * completionsPerSecond, 6s, 3 * completionsPerSecond, 6s);
    INFO("submitted " << result.submitted << ", in time " << result.inTime << ", late " << result.late << ", refused "
                      << result.refused << ", longest wait until refusal "
                      << toMilliseconds(result.longestWaitUntilRefusal) << " ms");
    // Target: 90 % of the capacity is served in time.
    CHECK(result.inTime >= 0.9 * 6 * completionsPerSecond);
    // Only statements that arrived before the first one timed out in the queue are refused after a wait.
    CHECK(result.refusedAfterWait <= 0.15 * result.refused);
}
