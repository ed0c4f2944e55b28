#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/lock_order.h"
#include "base/outcome.h"
#include "process/burn_report.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace endivetrestle {

// Result of one request, as recorded for its objective.
struct BurnEvent {
    OutcomeState state = OutcomeState::Unknown;
    ErrorCode code = ErrorCode::None;
    Duration latency {};
    BurnCause cause = BurnCause::Unspecified;
    // Identifier of the failover's journal entry if the cause is BurnCause::Failover; 0 if it is not known.
    std::uint64_t journalId = 0;
};

// Tracks how fast requests use up the error budgets of their objectives (burn rate). Thread-safe, with one lock at
// level Burn. record() usually only updates the open bucket of a series, with three additions and a comparison of
// times. The open bucket is added to the windows only once per bucket of the shortest window, so that the usual
// critical section does not depend on the number of windows.
//
// Example:
//     BurnTracker burn(BurnSettings {});
//     const auto series = burn.series(database, BurnKind::Read); // once per database, kept by the caller
//     burn.record(series, { OutcomeState::Completed, ErrorCode::None, latency }, now);
//     std::cout << toTable(burn.report(now));
class BurnTracker {
public:
    // Identifies the series of one database and kind. Valid for the lifetime of the tracker.
    using SeriesHandle = std::size_t;

    explicit BurnTracker(BurnSettings settings);

    // Finds or creates a series. Callers should keep the handle, because the lookup compares strings.
    SeriesHandle series(const DatabaseId& database, BurnKind kind);

    // Replaces the objective of a database and kind. Existing counts are kept: the new target applies to them, but the
    // new latency threshold applies only to requests recorded from now on.
    void setObjective(const DatabaseId& database, BurnKind kind, const Objective& objective);

    // Records a request that ended at `now`. Times of different threads may be out of order by less than a bucket of
    // the shortest window.
    void record(SeriesHandle series, const BurnEvent& event, Time now);

    // Marks the start and the end of a failover of a database. Bad events that overlap it in time and have no other
    // known cause are attributed to it.
    void beginFailover(const DatabaseId& database, std::uint64_t journalId, Time now);
    void endFailover(const DatabaseId& database, Time now);

    // Returns a report of all series at the given time.
    [[nodiscard]] BurnReport report(Time now);

private:
    struct Counts {
        std::uint64_t total = 0;
        std::array<std::uint32_t, burnCauseCount> causes {};
    };
    struct Bucket {
        Time start;
        Counts counts;
    };
    struct LatencyBucket {
        Time start;
        CoarseLatency latency {};
    };
    struct Failover {
        std::uint64_t journalId = 0;
        // With these defaults no event overlaps the failover.
        Time begin = Time::max();
        Time end = Time::min();
    };
    struct Series {
        DatabaseId database;
        BurnKind kind = BurnKind::Read;
        Objective objective;
        // Counts that are not yet added to the windows.
        Bucket openBucket;
        CoarseLatency openLatency {};
        std::array<std::deque<Bucket>, burnWindowCount> windows;
        std::deque<LatencyBucket> latency;
        std::deque<FailoverImpact> failovers;
        Failover failover;
    };
    struct Attribution {
        BurnCause cause = BurnCause::Other;
        std::uint64_t journalId = 0;
    };

    SeriesHandle findOrCreate(const DatabaseId& database, BurnKind kind);
    [[nodiscard]] Duration bucketLength(std::size_t window) const;
    [[nodiscard]] Time bucketStart(std::size_t window, Time at) const;
    void foldOpenBucket(Series& series);
    void dropExpiredBuckets(Series& series, Time now);
    static Attribution attribute(const Series& series, const BurnEvent& event, BurnClass eventClass, Time now);
    static void countFailoverImpact(Series& series, std::uint64_t journalId);
    [[nodiscard]] BurnSeriesReport reportSeries(const Series& series, Time now) const;
    [[nodiscard]] BurnWindowReport reportWindow(const Series& series, std::size_t window) const;
    [[nodiscard]] std::vector<BurnPoint> reportHistory(const Series& series, Time now) const;

    BurnSettings settings;
    OrderedMutex mutex { LockLevel::BurnRate };
    std::map<std::pair<DatabaseId, BurnKind>, SeriesHandle> handles;
    std::deque<Series> allSeries;
};

} // namespace endivetrestle
