#include "tool/load_run.h"

#include <algorithm>
#include <cstdio>

namespace endivetrestle::internal {

void LoadRun::recordSent(const Activity& activity)
{
    const auto& item = activity.item;
    HistoryEvent event;
    event.type = HistoryEventType::Sent;
    event.at = MonotonicClock::now();
    event.operation = activity.operation;
    event.session = item.session;
    event.database = item.database;
    event.readKeys = item.readKeys;
    event.writes = item.writes;
    event.keyType = item.keyType;
    event.maxAge = item.statements.front().maxAge;
    // Only audit reads state an age of zero.
    event.audit = event.maxAge == Duration::zero();
    this->checker.add(event);
}

void LoadRun::recordAnswered(std::uint64_t operation, const CallerAnswer& answer)
{
    HistoryEvent event;
    event.type = HistoryEventType::Answered;
    event.at = MonotonicClock::now();
    event.operation = operation;
    event.state = answer.state;
    event.code = answer.code;
    event.rows = answer.rows;
    event.position = answer.position;
    event.servedBy = answer.servedBy;
    event.replica = answer.replica;
    this->checker.add(event);
}

void LoadRun::count(const Activity& activity, const CallerAnswer& answer)
{
    const auto now = MonotonicClock::now();
    const auto latency = now - (this->start + activity.item.intendedAt);
    const bool isCompleted = answer.state == OutcomeState::Completed;
    auto& counts = this->result.counts.at(static_cast<std::size_t>(activity.item.name));
    counts.unknown += activity.wasUnknown ? 1 : 0;
    counts.resolved += activity.wasUnknown && answer.state != OutcomeState::Unknown ? 1 : 0;
    counts.didNotRun += answer.state == OutcomeState::DidNotRun ? 1 : 0;
    if (!isCompleted && !activity.wasUnknown)
        this->result.codes[answer.code] += 1;
    if (isCompleted) {
        counts.completed += 1;
        counts.byReplica += answer.replica && activity.item.writes.empty() ? 1 : 0;
        counts.latency.record(latency);
        this->countWriteGap(activity, now);
    }
    this->countPoint(isCompleted, latency);
}

void LoadRun::countWriteGap(const Activity& activity, Time now)
{
    if (activity.item.writes.empty())
        return;
    const auto last = this->lastWrite.try_emplace(activity.item.database, this->start).first;
    auto& longest = this->result.longestWriteGap[activity.item.database];
    longest = std::max(longest, now - last->second);
    last->second = now;
}

void LoadRun::countPoint(bool completed, Duration latency)
{
    const auto second = (MonotonicClock::now() - this->start) / std::chrono::seconds(1);
    if (second != this->pointSecond) {
        this->closePoint();
        this->pointSecond = second;
    }
    (completed ? this->point.completed : this->point.failed) += 1;
    if (completed)
        this->pointLatency.record(latency);
}

void LoadRun::closePoint()
{
    this->point.second = static_cast<double>(this->pointSecond);
    this->point.p50 = this->pointLatency.percentile(50);
    this->point.p99 = this->pointLatency.percentile(99);
    if (this->point.completed + this->point.failed > 0)
        this->result.points.push_back(this->point);
    this->point = {};
    this->pointLatency = {};
}

std::string LoadRun::progressLine() const
{
    std::array<char, 256> line {};
    if (this->auditUntil) {
        std::snprintf(line.data(), line.size(), "audit: %llu keys read, %llu not answered, %zu left",
            static_cast<unsigned long long>(this->result.auditedKeys),
            static_cast<unsigned long long>(this->result.unauditedKeys), this->auditKeys.size());
        return line.data();
    }
    const auto total = this->result.total();
    std::snprintf(line.data(), line.size(),
        "%.0f s of %.0f s: intended %llu, completed %llu, did not run %llu, unknown %llu, p50 %.2f ms, p99 %.2f ms, "
        "violations %llu",
        toSeconds(MonotonicClock::now() - this->start), toSeconds(this->settings.workload.duration),
        static_cast<unsigned long long>(total.intended), static_cast<unsigned long long>(total.completed),
        static_cast<unsigned long long>(total.didNotRun), static_cast<unsigned long long>(total.unknown),
        toMilliseconds(total.latency.percentile(50)), toMilliseconds(total.latency.percentile(99)),
        static_cast<unsigned long long>(this->checker.violationCount()));
    return line.data();
}

kj::Promise<void> LoadRun::reportProgress()
{
    if (!this->settings.onProgress)
        return kj::NEVER_DONE;
    const auto interval = this->settings.progressInterval.count() * kj::MICROSECONDS;
    return this->timer.afterDelay(interval).then([this] {
        this->settings.onProgress(this->progressLine());
        return this->reportProgress();
    });
}

} // namespace endivetrestle::internal
