#include "process/burn_tracker.h"

#include <algorithm>
#include <mutex>

namespace endivetrestle {

namespace {

// Index of the window that supplies the history.
constexpr std::size_t historyWindow = 1;
constexpr std::size_t maximumFailovers = 16;
const DatabaseId otherDatabases("(other)");

} // namespace

BurnTracker::BurnTracker(BurnSettings settings)
    : settings(std::move(settings))
{
}

Duration BurnTracker::bucketLength(std::size_t window) const
{
    const auto& settings = this->settings.windows.at(window);
    return std::max(settings.length / std::max(settings.buckets, 1), Duration(1));
}

Time BurnTracker::bucketStart(std::size_t window, Time at) const
{
    return at - at.time_since_epoch() % this->bucketLength(window);
}

BurnTracker::SeriesHandle BurnTracker::findOrCreate(const DatabaseId& database, BurnKind kind)
{
    const auto known = this->handles.find({ database, kind });
    if (known != this->handles.end())
        return known->second;
    const bool full = this->handles.size() >= 2 * this->settings.maximumDatabases;
    if (full && database != otherDatabases)
        return this->findOrCreate(otherDatabases, kind);
    Series created;
    created.database = database;
    created.kind = kind;
    created.objective = kind == BurnKind::Read ? this->settings.readObjective : this->settings.writeObjective;
    const auto handle = this->allSeries.size();
    this->allSeries.push_back(std::move(created));
    this->handles.emplace(std::pair { database, kind }, handle);
    return handle;
}

BurnTracker::SeriesHandle BurnTracker::series(const DatabaseId& database, BurnKind kind)
{
    std::lock_guard lock(this->mutex);
    return this->findOrCreate(database, kind);
}

void BurnTracker::setObjective(const DatabaseId& database, BurnKind kind, const Objective& objective)
{
    std::lock_guard lock(this->mutex);
    this->allSeries[this->findOrCreate(database, kind)].objective = objective;
}

void BurnTracker::foldOpenBucket(Series& series)
{
    if (series.openBucket.counts.total == 0)
        return;
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        const auto start = this->bucketStart(window, series.openBucket.start);
        auto& buckets = series.windows[window];
        if (buckets.empty() || buckets.back().start < start)
            buckets.push_back({ start, {} });
        auto& counts = buckets.back().counts;
        counts.total += series.openBucket.counts.total;
        for (std::size_t cause = 0; cause < burnCauseCount; ++cause)
            counts.causes[cause] += series.openBucket.counts.causes[cause];
    }
    const auto start = this->bucketStart(historyWindow, series.openBucket.start);
    if (series.latency.empty() || series.latency.back().start < start)
        series.latency.push_back({ start, {} });
    for (std::size_t i = 0; i < coarseLatencyBuckets; ++i)
        series.latency.back().latency[i] += series.openLatency[i];
    series.openBucket.counts = {};
    series.openLatency = {};
}

void BurnTracker::dropExpiredBuckets(Series& series, Time now)
{
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        const auto oldest = now - this->settings.windows[window].length;
        auto& buckets = series.windows[window];
        while (!buckets.empty() && buckets.front().start + this->bucketLength(window) <= oldest)
            buckets.pop_front();
    }
    const auto& kept = series.windows[historyWindow];
    while (!series.latency.empty() && (kept.empty() || series.latency.front().start < kept.front().start))
        series.latency.pop_front();
}

BurnTracker::Attribution BurnTracker::attribute(
    const Series& series, const BurnEvent& event, BurnClass eventClass, Time now)
{
    const auto& failover = series.failover;
    const bool overlapsFailover = failover.begin <= now && now - event.latency <= failover.end;
    const auto failoverId = overlapsFailover ? failover.journalId : 0;
    if (event.cause == BurnCause::Failover)
        return { BurnCause::Failover, event.journalId != 0 ? event.journalId : failoverId };
    if (event.cause != BurnCause::Unspecified)
        return { event.cause, 0 };
    const auto implied = eventClass == BurnClass::Bad ? burnCauseOf(event.code) : BurnCause::Slow;
    if (implied == BurnCause::StoreOutage)
        return { implied, 0 };
    if (overlapsFailover || implied == BurnCause::Failover)
        return { BurnCause::Failover, failoverId };
    return { implied, 0 };
}

void BurnTracker::countFailoverImpact(Series& series, std::uint64_t journalId)
{
    auto& failovers = series.failovers;
    const auto known = std::find_if(failovers.rbegin(), failovers.rend(),
        [&](const FailoverImpact& impact) { return impact.journalId == journalId; });
    if (known != failovers.rend()) {
        known->bad += 1;
        return;
    }
    failovers.push_back({ journalId, 1 });
    if (failovers.size() > maximumFailovers)
        failovers.pop_front();
}

void BurnTracker::record(SeriesHandle handle, const BurnEvent& event, Time now)
{
    const auto eventClass = burnClassOf(event.state, event.code);
    if (eventClass == BurnClass::Ignored)
        return;
    const auto latencyBucket = coarseBucketOf(event.latency);
    std::lock_guard lock(this->mutex);
    if (handle >= this->allSeries.size())
        return;
    auto& series = this->allSeries[handle];
    if (now >= series.openBucket.start + this->bucketLength(0)) {
        this->foldOpenBucket(series);
        this->dropExpiredBuckets(series, now);
        series.openBucket.start = this->bucketStart(0, now);
    }
    series.openBucket.counts.total += 1;
    series.openLatency[latencyBucket] += 1;
    if (eventClass == BurnClass::Good && event.latency <= series.objective.latencyThreshold)
        return;
    const auto attribution = attribute(series, event, eventClass, now);
    series.openBucket.counts.causes[static_cast<std::size_t>(attribution.cause)] += 1;
    if (attribution.cause == BurnCause::Failover)
        countFailoverImpact(series, attribution.journalId);
}

void BurnTracker::beginFailover(const DatabaseId& database, std::uint64_t journalId, Time now)
{
    std::lock_guard lock(this->mutex);
    for (const auto kind : { BurnKind::Read, BurnKind::Write })
        this->allSeries[this->findOrCreate(database, kind)].failover = { journalId, now, Time::max() };
}

void BurnTracker::endFailover(const DatabaseId& database, Time now)
{
    std::lock_guard lock(this->mutex);
    for (const auto kind : { BurnKind::Read, BurnKind::Write })
        this->allSeries[this->findOrCreate(database, kind)].failover.end = now;
}

BurnWindowReport BurnTracker::reportWindow(const Series& series, std::size_t window) const
{
    BurnWindowReport result;
    result.name = this->settings.windows[window].name;
    result.length = this->settings.windows[window].length;
    for (const auto& bucket : series.windows[window]) {
        result.total += bucket.counts.total;
        for (std::size_t cause = 0; cause < burnCauseCount; ++cause) {
            result.causes[cause] += bucket.counts.causes[cause];
            result.bad += bucket.counts.causes[cause];
        }
    }
    result.burnRate = burnRateOf(result.bad, result.total, series.objective);
    return result;
}

std::vector<BurnPoint> BurnTracker::reportHistory(const Series& series, Time now) const
{
    std::vector<BurnPoint> points;
    for (const auto& bucket : series.windows[historyWindow]) {
        BurnPoint point;
        point.age = now - bucket.start;
        point.total = bucket.counts.total;
        for (const auto count : bucket.counts.causes)
            point.bad += count;
        const auto latency = std::find_if(series.latency.begin(), series.latency.end(),
            [&](const LatencyBucket& candidate) { return candidate.start == bucket.start; });
        if (latency != series.latency.end())
            point.latency = latency->latency;
        points.push_back(point);
    }
    return points;
}

BurnSeriesReport BurnTracker::reportSeries(const Series& series, Time now) const
{
    BurnSeriesReport result;
    result.database = series.database;
    result.kind = series.kind;
    result.objective = series.objective;
    for (std::size_t window = 0; window < burnWindowCount; ++window)
        result.windows[window] = this->reportWindow(series, window);
    std::tie(result.alert, result.alertWindows) = alertOf(result.windows, this->settings);
    result.failovers.assign(series.failovers.begin(), series.failovers.end());
    result.pointLength = this->bucketLength(historyWindow);
    result.history = this->reportHistory(series, now);
    return result;
}

BurnReport BurnTracker::report(Time now)
{
    BurnReport report;
    std::lock_guard lock(this->mutex);
    for (auto& series : this->allSeries) {
        this->foldOpenBucket(series);
        this->dropExpiredBuckets(series, now);
    }
    for (const auto& [key, handle] : this->handles)
        report.series.push_back(this->reportSeries(this->allSeries[handle], now));
    return report;
}

} // namespace endivetrestle
