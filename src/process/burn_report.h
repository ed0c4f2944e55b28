#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "request/request.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivetrestle {

// Kind of requests that share an objective: reads, or everything else.
enum class BurnKind { Read, Write };

// "read" or "write".
std::string_view burnKindName(BurnKind kind);

// Returns Read for reads, and Write for writes and for every request of a transaction.
BurnKind burnKindOf(RequestKind kind);

// Why an event missed its objective.
enum class BurnCause {
    // Not known to the caller. The tracker derives the cause from the error code and from failovers in progress.
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

// Name in reports, for example "store_outage".
std::string_view burnCauseName(BurnCause cause);

// How an event counts towards its objective, regardless of its latency.
enum class BurnClass {
    // Not counted, because the request itself was invalid.
    Ignored,
    Good,
    Bad,
};

// Classifies an outcome. Unknown outcomes are bad. A statement that the database rejected is good.
BurnClass burnClassOf(OutcomeState state, ErrorCode code);

// Returns the cause that an error code implies; Other if it implies none.
BurnCause burnCauseOf(ErrorCode code);

// Service-level objective of one database and kind: a fraction `target` of the requests completes within
// `latencyThreshold`.
struct Objective {
    // From 0 (inclusive) to 1 (exclusive).
    double target = 0.999;
    Duration latencyThreshold = std::chrono::milliseconds(250);

    bool operator==(const Objective&) const = default;
};

// A rolling window of buckets of equal length. Its limits are accurate to the length of one bucket.
struct BurnWindowSettings {
    std::string name;
    Duration length {};
    int buckets = 1;

    bool operator==(const BurnWindowSettings&) const = default;
};

// Number of rolling windows.
inline constexpr std::size_t burnWindowCount = 4;

// Settings of the tracker. Alert thresholds are burn rates: at a burn rate of 1, the error budget is used up in exactly
// the period of the objective. The default thresholds are those of the Site Reliability Workbook, chapter 5.
struct BurnSettings {
    // In ascending order of length. The second window also keeps latencies and supplies the history for plots.
    std::array<BurnWindowSettings, burnWindowCount> windows = { {
        { "5m", std::chrono::minutes(5), 30 },
        { "1h", std::chrono::hours(1), 30 },
        { "6h", std::chrono::hours(6), 24 },
        { "3d", std::chrono::hours(72), 24 },
    } };
    Objective readObjective;
    Objective writeObjective;
    // Minimum burn rate of the first and second window to raise a page.
    double fastPageRate = 14.4;
    // Minimum burn rate of the second and third window to raise a page.
    double slowPageRate = 6.0;
    // Minimum burn rate of the third and fourth window to open a ticket.
    double ticketRate = 1.0;
    // Minimum number of bad events in the longer window of a pair to raise an alert. Prevents alerts for single
    // failures at low traffic.
    std::uint64_t minimumBadEvents = 5;
    // Databases beyond this number are counted together as "(other)". This bounds the memory, of which each database
    // takes about 20 KB.
    std::size_t maximumDatabases = 1024;

    // Returns settings with all windows shortened by a factor, for experiments that last minutes instead of days.
    [[nodiscard]] BurnSettings scaledBy(double factor) const;
};

// Alert levels in ascending order of urgency.
enum class AlertLevel { None, Ticket, Page };
std::string_view alertLevelName(AlertLevel level);

// Histogram of latencies. The upper bounds of the buckets start at 64 us and grow by a factor of sqrt(2); the last
// bucket counts everything above about 2 s.
inline constexpr std::size_t coarseLatencyBuckets = 32;
using CoarseLatency = std::array<std::uint32_t, coarseLatencyBuckets>;

// Returns a percentile (0 to 100) of a histogram, interpolated within the bucket; zero if the histogram is empty.
Duration coarsePercentile(const CoarseLatency& counts, double percentile);

// Totals of one window.
struct BurnWindowReport {
    std::string name;
    Duration length {};
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    // Fraction of bad events divided by the fraction that the objective allows.
    double burnRate = 0;
    // Number of bad events by cause, indexed by BurnCause.
    std::array<std::uint64_t, burnCauseCount> causes {};

    bool operator==(const BurnWindowReport&) const = default;
};

// One point of the history.
struct BurnPoint {
    // Time from the start of the bucket to the report.
    Duration age {};
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    CoarseLatency latency {};

    bool operator==(const BurnPoint&) const = default;
};

// Number of bad events that one failover caused.
struct FailoverImpact {
    // Identifier of the failover's journal entry; 0 for events whose failover is not known.
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
    // Length of the bucket of each point in the history.
    Duration pointLength {};
    // Oldest point first.
    std::vector<BurnPoint> history;

    bool operator==(const BurnSeriesReport&) const = default;
};

// State of all objectives.
struct BurnReport {
    std::vector<BurnSeriesReport> series;

    bool operator==(const BurnReport&) const = default;
    // Most urgent alert level of all series.
    [[nodiscard]] AlertLevel alert() const;
};

nlohmann::json toJson(const BurnReport& report);
// Inverse of toJson(). Members that are missing or have the wrong type keep their defaults.
BurnReport burnReportFromJson(const nlohmann::json& value);
// Adds up the reports of several daemons by database and kind and recomputes burn rates and alerts. The result lists no
// failovers, because journal identifiers are local to a daemon.
BurnReport mergeBurnReports(const std::vector<BurnReport>& reports, const BurnSettings& settings);
// Formats a report as a table with one line per objective, followed by the causes of its bad events.
std::string toTable(const BurnReport& report);

// Returns the fraction of bad events divided by the fraction that the objective allows; zero without events.
double burnRateOf(std::uint64_t bad, std::uint64_t total, const Objective& objective);

// Returns the alert level of the windows and the pair of windows that raised it.
std::pair<AlertLevel, std::string> alertOf(
    const std::array<BurnWindowReport, burnWindowCount>& windows, const BurnSettings& settings);

// Returns the index of the histogram bucket of a latency.
std::size_t coarseBucketOf(Duration latency);

} // namespace endivetrestle
