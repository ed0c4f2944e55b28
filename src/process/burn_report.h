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

// Bad share divided by allowed share; zero without events.
double burnRateOf(std::uint64_t bad, std::uint64_t total, const Objective& objective);

// Alert level of four windows and the pair of windows that raised it.
std::pair<AlertLevel, std::string> alertOf(
    const std::array<BurnWindowReport, burnWindowCount>& windows, const BurnSettings& settings);

// Index of the coarse bucket of a latency.
std::size_t coarseBucketOf(Duration latency);

} // namespace endivetrestle
