// GroupScheduler: commits whose acknowledgement waits until all endpoints of the group are recorded as holders. If all
// daemons end together with the endpoints that have such a commit, only the record tells who may have it.
#include "process/group_scheduler.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace endivetrestle {

namespace {

// Time that the record of an endpoint usually takes at most. If it takes longer, the store does not answer, nobody
// knows for how long, and writes are refused instead of being left in doubt.
constexpr Duration usualRecordingTime = std::chrono::milliseconds(500);

} // namespace

// Whether writes are refused because the endpoints have not been recorded in time.
bool GroupScheduler::recordingIsOverdue(Time now)
{
    if (!this->mustHold()) {
        this->unrecordedSince.reset();
        return false;
    }
    if (!this->unrecordedSince)
        this->unrecordedSince = now;
    return now - *this->unrecordedSince > usualRecordingTime;
}

void GroupScheduler::holdCommit(const ExecutionPtr& execution, StatementResult result, std::uint64_t term, Time now)
{
    ++this->counts.commitsHeld;
    if (!this->unrecordedSince)
        this->unrecordedSince = now;
    if (this->heldCommits.empty())
        logEvent(LogLevel::Info, "commits_held",
            { { "group", this->group.value }, { "request", execution->work.statement.id },
                { "endpoint", result.endpoint } });
    this->heldCommits.push_back({ execution, std::move(result), term });
}

// Acknowledges the commits that were held, if this daemon may by now. Those of a primary that it may not use any more
// are in doubt.
void GroupScheduler::releaseCommits(Time now)
{
    if (this->heldCommits.empty()) {
        if (this->unrecordedSince && !this->mustHold())
            this->unrecordedSince.reset();
        return;
    }
    const bool recorded = !this->mustHold();
    std::vector<HeldCommit> kept;
    // The callback of a commit may submit the next statement.
    for (auto& held : std::exchange(this->heldCommits, {})) {
        if (!this->mayAcknowledge(EndpointId(held.result.endpoint), held.term, now))
            this->doubt(held.execution, "the primary was replaced or the lease expired before the acknowledgement",
                "primary_replaced");
        else if (recorded)
            this->finish(held.execution, held.result);
        else if (!held.execution->finished)
            kept.push_back(std::move(held));
    }
    if (recorded)
        logEvent(LogLevel::Info, "commits_released",
            { { "group", this->group.value },
                { "held_ms", this->unrecordedSince ? toMilliseconds(now - *this->unrecordedSince) : 0.0 } });
    if (recorded)
        this->unrecordedSince.reset();
    this->heldCommits.insert(
        this->heldCommits.begin(), std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()));
}

// The primary may be replaced from now on.
void GroupScheduler::doubtHeldCommits()
{
    for (const auto& held : std::exchange(this->heldCommits, {}))
        this->doubt(held.execution, "the primary is being replaced", "primary_replaced");
}

void GroupScheduler::doubt(const ExecutionPtr& execution, const std::string& text, const std::string& reason)
{
    this->refuse(execution, ReplyCode::InDoubt, text, reason);
}

// Handles the timer of a statement whose commit is held. Returns false for any other statement.
bool GroupScheduler::onHeldTimer(const ExecutionPtr& execution, Time now)
{
    const auto held = std::find_if(this->heldCommits.begin(), this->heldCommits.end(),
        [&](const HeldCommit& commit) { return commit.execution == execution; });
    if (held == this->heldCommits.end())
        return false;
    if (now < execution->work.expiresAt) {
        this->armTimer(execution, execution->work.expiresAt);
        return true;
    }
    this->heldCommits.erase(held);
    this->doubt(execution, notRecordedText, "holders_not_recorded");
    return true;
}

} // namespace endivetrestle
