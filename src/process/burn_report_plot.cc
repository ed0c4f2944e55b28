#include "process/svg_plot.h"

#include <algorithm>

namespace endivetrestle {

namespace {

// Unit of the time axis.
struct TimeUnit {
    double seconds = 1;
    std::string name = "s";
};

TimeUnit unitFor(Duration length)
{
    if (length > std::chrono::hours(5))
        return { 3600, "h" };
    if (length > std::chrono::minutes(5))
        return { 60, "min" };
    return {};
}

Duration historyLength(const BurnReport& report)
{
    Duration longest {};
    for (const auto& series : report.series) {
        for (const auto& point : series.history)
            longest = std::max(longest, point.age);
    }
    return longest;
}

std::string nameOf(const BurnSeriesReport& series)
{
    return series.database.value + " " + std::string(burnKindName(series.kind));
}

// Position of a point on the time axis: the middle of its bucket.
double positionOf(const BurnSeriesReport& series, const BurnPoint& point, const TimeUnit& unit)
{
    return -toSeconds(point.age - std::min(series.pointLength, point.age) / 2) / unit.seconds;
}

PlotLine burnLine(const BurnSeriesReport& series, const TimeUnit& unit)
{
    PlotLine line { nameOf(series), {}, true };
    for (const auto& point : series.history)
        line.points.emplace_back(positionOf(series, point, unit), burnRateOf(point.bad, point.total, series.objective));
    return line;
}

PlotLine latencyLine(const BurnSeriesReport& series, const TimeUnit& unit, double percentile, const std::string& suffix)
{
    PlotLine line { nameOf(series) + suffix, {}, false };
    for (const auto& point : series.history) {
        if (point.total > 0)
            line.points.emplace_back(
                positionOf(series, point, unit), toMilliseconds(coarsePercentile(point.latency, percentile)));
    }
    return line;
}

bool isMarked(JournalKind kind)
{
    return kind == JournalKind::Failover || kind == JournalKind::Switchover || kind == JournalKind::StoreOutage;
}

std::vector<PlotMarker> markersOf(const std::vector<JournalEntry>& journal, Time now, const TimeUnit& unit)
{
    std::vector<PlotMarker> markers;
    for (const auto& entry : journal) {
        if (isMarked(entry.record.kind))
            markers.push_back({ -toSeconds(now - entry.firstAt) / unit.seconds,
                std::string(journalKindName(entry.record.kind)) + " #" + std::to_string(entry.id) + " "
                    + entry.record.database.value });
    }
    return markers;
}

} // namespace

Plot plotOf(const BurnReport& report, const std::vector<JournalEntry>& journal, Time now)
{
    const auto length = historyLength(report);
    const auto unit = unitFor(length);
    const std::pair xRange { -toSeconds(length) / unit.seconds, 0.0 };
    const auto xLabel = "time before the report (" + unit.name + ")";
    const auto markers = markersOf(journal, now, unit);
    PlotPanel burn { "Burn rate", xLabel, "burn rate (multiples of the allowed rate)", false, {}, markers,
        BurnSettings {}.fastPageRate, "page", xRange };
    PlotPanel latency { "Latency", xLabel, "latency (ms)", true, {}, markers, std::nullopt, "", xRange };
    for (const auto& series : report.series) {
        if (series.history.empty())
            continue;
        burn.lines.push_back(burnLine(series, unit));
        latency.lines.push_back(latencyLine(series, unit, 50, " p50"));
        latency.lines.push_back(latencyLine(series, unit, 99, " p99"));
    }
    return { "Service-level burn and latency", { std::move(burn), std::move(latency) } };
}

} // namespace endivetrestle
