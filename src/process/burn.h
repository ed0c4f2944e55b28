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

// Outcome of one request.
struct BurnEvent {
    OutcomeState state = OutcomeState::Unknown;
    ErrorCode code = ErrorCode::None;
    Duration latency {};
    BurnCause cause = BurnCause::Unspecified;
    // Journal entry of the failover for BurnCause::Failover; 0 if it is not known.
    std::uint64_t journalId = 0;
};

// Counts requests against objectives. Thread-safe, with one lock at level Burn. record() only adds to the open bucket
// of a series (three additions and a comparison of times); older buckets are folded into the windows once per bucket
// of the shortest window, so the critical section does not depend on the number of windows.
//
// Example:
//     BurnTracker burn(BurnSettings {});
//     const auto series = burn.series(database, BurnKind::Read); // once per database, kept by the caller
//     burn.record(series, { OutcomeState::Completed, ErrorCode::None, latency }, now);
//     std::cout << toTable(burn.report(now));
class BurnTracker {
public:
    // Index of one database and kind, valid for the lifetime of the tracker.
    using SeriesHandle = std::size_t;

    explicit BurnTracker(BurnSettings settings);

    // Finds or creates a series. Looks up by text; callers keep the handle.
    SeriesHandle series(const DatabaseId& database, BurnKind kind);

    // Replaces the objective of a database and kind; counts so far are kept and judged by the target of the report
    // time, while slowness was judged when it was recorded.
    void setObjective(const DatabaseId& database, BurnKind kind, const Objective& objective);

    // Counts one request that ended at the given time. Times may go back by less than a bucket between threads.
    void record(SeriesHandle series, const BurnEvent& event, Time now);

    // States that the primary of a database is being replaced. Bad events without a cause of their own whose time span
    // touches the failover are attributed to it.
    void beginFailover(const DatabaseId& database, std::uint64_t journalId, Time now);
    void endFailover(const DatabaseId& database, Time now);

    // Report of all series at the given time.
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
        // The defaults overlap with no event.
        Time begin = Time::max();
        Time end = Time::min();
    };
    struct Series {
        DatabaseId database;
        BurnKind kind = BurnKind::Read;
        Objective objective;
        Bucket open;
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
    void fold(Series& series);
    void expire(Series& series, Time now);
    static Attribution attribute(const Series& series, const BurnEvent& event, BurnClass eventClass, Time now);
    static void countFailover(Series& series, std::uint64_t journalId);
    [[nodiscard]] BurnSeriesReport reportSeries(const Series& series, Time now) const;
    [[nodiscard]] BurnWindowReport reportWindow(const Series& series, std::size_t window) const;
    [[nodiscard]] std::vector<BurnPoint> reportHistory(const Series& series, Time now) const;

    BurnSettings settings;
    OrderedMutex mutex { LockLevel::Burn };
    std::map<std::pair<DatabaseId, BurnKind>, SeriesHandle> handles;
    std::deque<Series> allSeries;
};

} // namespace endivetrestle
