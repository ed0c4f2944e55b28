#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/lock_order.h"
#include "base/outcome.h"
#include "request/request.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Requests are measured against separate objectives for reads and for everything else.
enum class BurnKind { Read, Write };

// "read" or "write".
std::string_view burnKindName(BurnKind kind);

// Read for reads, Write for writes and every step of a transaction.
BurnKind burnKindOf(RequestKind kind);

// Why an event missed its objective.
enum class BurnCause {
    // The recorder does not know; the tracker derives the cause from the code and from failovers in progress.
    Unspecified,
    Failover,
    Shed,
    Lag,
    StoreOutage,
    EndpointError,
    Deadline,
    // Completed, but later than the latency threshold, for no other known reason.
    Slow,
    Other,
};
inline constexpr std::size_t burnCauseCount = 9;

// Lower-case name such as "store_outage".
std::string_view burnCauseName(BurnCause cause);

// How an event counts against its objective before its latency is considered.
enum class BurnClass {
    // Not counted, because the caller's request was at fault.
    Ignored,
    Good,
    Bad,
};

// Class of an outcome. Unknown outcomes are bad. A statement that the database refused counts as served.
BurnClass burnClassOf(OutcomeState state, ErrorCode code);

// Cause that a code implies; Other if it implies none.
BurnCause burnCauseOf(ErrorCode code);

// Objective of one database and kind: the share `target` of requests completes within `latencyThreshold`.
struct Objective {
    // From 0 (inclusive) to 1 (exclusive).
    double target = 0.999;
    Duration latencyThreshold = std::chrono::milliseconds(250);

    bool operator==(const Objective&) const = default;
};

// One rolling window, made of equal buckets. Its sums are exact to one bucket length.
struct BurnWindowSettings {
    std::string name;
    Duration length {};
    int buckets = 1;

    bool operator==(const BurnWindowSettings&) const = default;
};

// Number of rolling windows.
inline constexpr std::size_t burnWindowCount = 4;

// Settings of the tracker. The thresholds are multiples of the burn rate that spends the whole error budget in exactly
// the objective's period; the defaults for page and ticket are those of the Site Reliability Workbook, chapter 5.
struct BurnSettings {
    // In ascending length. The second one also keeps latencies and supplies the history for plots.
    std::array<BurnWindowSettings, burnWindowCount> windows = { {
        { "5m", std::chrono::minutes(5), 30 },
        { "1h", std::chrono::hours(1), 30 },
        { "6h", std::chrono::hours(6), 24 },
        { "3d", std::chrono::hours(72), 24 },
    } };
    Objective readObjective;
    Objective writeObjective;
    // Page if the two shortest windows both burn at this rate or faster.
    double fastPageRate = 14.4;
    // Page if the second and the third window both burn at this rate or faster.
    double slowPageRate = 6.0;
    // Ticket if the two longest windows both burn at this rate or faster.
    double ticketRate = 1.0;
    // No alert with fewer bad events in the longer window of a pair: one failed request of two is no trend.
    std::uint64_t minimumBadEvents = 5;
    // Further databases are counted together under the identifier "(other)", which bounds memory at about 20 KB each.
    std::size_t maximumDatabases = 1024;

    // Windows divided by a factor, for experiments that last minutes instead of days.
    [[nodiscard]] BurnSettings scaledBy(double factor) const;
};

// Outcome of one request.
struct BurnEvent {
    OutcomeState state = OutcomeState::Unknown;
    ErrorCode code = ErrorCode::None;
    Duration latency {};
    BurnCause cause = BurnCause::Unspecified;
    // Journal entry of the failover for BurnCause::Failover; 0 if it is not known.
    std::uint64_t journalId = 0;
};

// "none", "ticket" or "page", in ascending urgency.
enum class AlertLevel { None, Ticket, Page };
std::string_view alertLevelName(AlertLevel level);

// Latency counts in half-octave buckets from 64 us; the last bucket takes everything above about 2 s.
inline constexpr std::size_t coarseLatencyBuckets = 32;
using CoarseLatency = std::array<std::uint32_t, coarseLatencyBuckets>;

// Percentile (0 to 100) from coarse counts, interpolated within the bucket; zero if there are none.
Duration coarsePercentile(const CoarseLatency& counts, double percentile);

// Sums of one window.
struct BurnWindowReport {
    std::string name;
    Duration length {};
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    // Bad share divided by allowed share; 1 spends the error budget in exactly the objective's period.
    double burnRate = 0;
    // Bad events by cause, indexed by BurnCause.
    std::array<std::uint64_t, burnCauseCount> causes {};

    bool operator==(const BurnWindowReport&) const = default;
};

// One point of the history, oldest first.
struct BurnPoint {
    // Time between the start of the point's bucket and the report.
    Duration age {};
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    CoarseLatency latency {};

    bool operator==(const BurnPoint&) const = default;
};

// Bad events that one failover caused.
struct FailoverImpact {
    // Journal entry; 0 collects events whose failover is not known.
    std::uint64_t journalId = 0;
    std::uint64_t bad = 0;

    bool operator==(const FailoverImpact&) const = default;
};

// State of one objective.
struct BurnSeriesReport {
    DatabaseId database;
    BurnKind kind = BurnKind::Read;
    Objective objective;
    AlertLevel alert = AlertLevel::None;
    // Pair of windows that raised the alert, for example "5m+1h"; empty without an alert.
    std::string alertWindows;
    std::array<BurnWindowReport, burnWindowCount> windows;
    // The most recent failovers, at most 16.
    std::vector<FailoverImpact> failovers;
    Duration pointLength {};
    std::vector<BurnPoint> history;

    bool operator==(const BurnSeriesReport&) const = default;
};

// State of all objectives.
struct BurnReport {
    std::vector<BurnSeriesReport> series;

    bool operator==(const BurnReport&) const = default;
    // Highest level of all series.
    [[nodiscard]] AlertLevel alert() const;
};

nlohmann::json toJson(const BurnReport& report);
// Inverse of toJson(). Members that are missing or of another type keep their defaults.
BurnReport burnReportFromJson(const nlohmann::json& value);
// Sums the reports of several daemons by database and kind and derives rates and alerts again. Failovers are listed
// by the reporting daemon's journal ids and therefore left out of the sum.
BurnReport mergeBurnReports(const std::vector<BurnReport>& reports, const BurnSettings& settings);
// Table with one line per objective, followed by the causes of bad events.
std::string toTable(const BurnReport& report);

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
        Time begin;
        Time end;
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
    [[nodiscard]] BurnWindowReport reportWindow(const Series& series, std::size_t window, Time now) const;
    [[nodiscard]] std::vector<BurnPoint> reportHistory(const Series& series, Time now) const;

    BurnSettings settings;
    OrderedMutex mutex { LockLevel::Burn };
    std::map<std::pair<DatabaseId, BurnKind>, SeriesHandle> handles;
    std::deque<Series> allSeries;
};

} // namespace endivetrestle
