#include "process/burn_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace endivetrestle {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, burnCauseCount> causeNames
    = { "unspecified", "failover", "shed", "lag", "store_outage", "endpoint_error", "deadline", "slow", "other" };
constexpr double lowestCoarseBoundUs = 64;
// Lower bound of the allowed fraction; keeps the burn rate finite for an objective of 100 %.
constexpr double smallestAllowedShare = 1e-9;

std::array<std::int64_t, coarseLatencyBuckets> makeCoarseBounds()
{
    std::array<std::int64_t, coarseLatencyBuckets> bounds {};
    for (std::size_t i = 0; i < coarseLatencyBuckets; ++i)
        bounds[i] = std::llround(lowestCoarseBoundUs * std::pow(2.0, static_cast<double>(i) / 2.0));
    return bounds;
}

const std::array<std::int64_t, coarseLatencyBuckets> coarseBounds = makeCoarseBounds();

bool bothBurnAt(const BurnWindowReport& shorter, const BurnWindowReport& longer, double rate, std::uint64_t minimumBad)
{
    return longer.bad >= minimumBad && shorter.burnRate >= rate && longer.burnRate >= rate;
}

std::string formatted(const char* format, double value)
{
    std::array<char, 64> text {};
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

std::string padded(std::string text, std::size_t width)
{
    if (text.size() < width)
        text.append(width - text.size(), ' ');
    return text + "  ";
}

std::string causesText(const BurnWindowReport& window)
{
    std::string text;
    for (std::size_t cause = 0; cause < burnCauseCount; ++cause) {
        if (window.causes[cause] > 0)
            text += (text.empty() ? "" : ", ") + std::string(causeNames[cause]) + " "
                + std::to_string(window.causes[cause]);
    }
    return text;
}

std::string failoversText(const std::vector<FailoverImpact>& failovers)
{
    std::string text;
    for (const auto& failover : failovers) {
        const auto name = failover.journalId == 0 ? "unidentified" : "#" + std::to_string(failover.journalId);
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(failover.bad);
    }
    return text;
}

void mergeHistory(BurnSeriesReport& into, const BurnSeriesReport& from)
{
    const auto bucketIndex = [&](Duration age) { return age / std::max(into.pointLength, Duration(1)); };
    for (const auto& point : from.history) {
        const auto same = std::find_if(into.history.begin(), into.history.end(),
            [&](const BurnPoint& candidate) { return bucketIndex(candidate.age) == bucketIndex(point.age); });
        if (same == into.history.end()) {
            into.history.push_back(point);
            continue;
        }
        same->total += point.total;
        same->bad += point.bad;
        for (std::size_t i = 0; i < coarseLatencyBuckets; ++i)
            same->latency[i] += point.latency[i];
    }
    std::sort(into.history.begin(), into.history.end(),
        [](const BurnPoint& left, const BurnPoint& right) { return left.age > right.age; });
}

void mergeSeries(BurnSeriesReport& into, const BurnSeriesReport& from)
{
    for (std::size_t window = 0; window < burnWindowCount; ++window) {
        into.windows[window].total += from.windows[window].total;
        into.windows[window].bad += from.windows[window].bad;
        for (std::size_t cause = 0; cause < burnCauseCount; ++cause)
            into.windows[window].causes[cause] += from.windows[window].causes[cause];
    }
    mergeHistory(into, from);
}

} // namespace

std::string_view burnKindName(BurnKind kind) { return kind == BurnKind::Read ? "read" : "write"; }

BurnKind burnKindOf(RequestKind kind) { return kind == RequestKind::Read ? BurnKind::Read : BurnKind::Write; }

std::string_view burnCauseName(BurnCause cause) { return causeNames.at(static_cast<std::size_t>(cause)); }

std::string_view alertLevelName(AlertLevel level)
{
    constexpr std::array<std::string_view, 3> names = { "none", "ticket", "page" };
    return names.at(static_cast<std::size_t>(level));
}

BurnClass burnClassOf(OutcomeState state, ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
    case ErrorCode::BodyTooLarge:
    case ErrorCode::Unauthenticated:
    case ErrorCode::Forbidden:
    case ErrorCode::AgeNotAllowed:
    case ErrorCode::UnknownDatabase:
    case ErrorCode::UnknownTransaction:
    case ErrorCode::UnknownRequest:
    case ErrorCode::TokenMalformed:
    case ErrorCode::TokenForged:
    case ErrorCode::TokenExpired:
    case ErrorCode::TokenForeign:
        return BurnClass::Ignored;
    case ErrorCode::StatementFailed:
        return state == OutcomeState::Unknown ? BurnClass::Bad : BurnClass::Good;
    default:
        return state == OutcomeState::Completed ? BurnClass::Good : BurnClass::Bad;
    }
}

BurnCause burnCauseOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::QueueFull:
    case ErrorCode::Overloaded:
    case ErrorCode::RetryBudgetSpent:
        return BurnCause::Shed;
    case ErrorCode::DeadlineExceeded:
        return BurnCause::Deadline;
    case ErrorCode::PositionNotReached:
        return BurnCause::Lag;
    case ErrorCode::StoreUnavailable:
        return BurnCause::StoreOutage;
    case ErrorCode::NoPrimary:
    case ErrorCode::NotPrimary:
    case ErrorCode::WrongTerm:
    case ErrorCode::PositionDiverged:
        return BurnCause::Failover;
    case ErrorCode::EndpointUnreachable:
    case ErrorCode::ConnectionLimit:
    case ErrorCode::NotHeldByMajority:
    case ErrorCode::AnswerMismatch:
        return BurnCause::EndpointError;
    default:
        return BurnCause::Other;
    }
}

BurnSettings BurnSettings::scaledBy(double factor) const
{
    BurnSettings scaled = *this;
    for (auto& window : scaled.windows) {
        const auto length = static_cast<double>(window.length.count()) / std::max(factor, 1e-6);
        window.length = std::max(Duration(std::llround(length)), Duration(window.buckets));
    }
    return scaled;
}

std::size_t coarseBucketOf(Duration latency)
{
    const auto found = std::lower_bound(coarseBounds.begin(), coarseBounds.end() - 1, latency.count());
    return static_cast<std::size_t>(found - coarseBounds.begin());
}

Duration coarsePercentile(const CoarseLatency& counts, double percentile)
{
    double total = 0;
    for (const auto count : counts)
        total += count;
    if (total == 0)
        return {};
    const double rank = total * percentile / 100.0;
    double cumulative = 0;
    for (std::size_t i = 0; i < coarseLatencyBuckets; ++i) {
        if (counts[i] > 0 && cumulative + counts[i] >= rank) {
            const double lower = i == 0 ? 0.0 : static_cast<double>(coarseBounds[i - 1]);
            const double share = std::clamp((rank - cumulative) / counts[i], 0.0, 1.0);
            return Duration(std::llround(lower + share * (static_cast<double>(coarseBounds[i]) - lower)));
        }
        cumulative += counts[i];
    }
    return Duration(coarseBounds.back());
}

double burnRateOf(std::uint64_t bad, std::uint64_t total, const Objective& objective)
{
    if (total == 0)
        return 0;
    const double allowed = std::max(1.0 - objective.target, smallestAllowedShare);
    return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

std::pair<AlertLevel, std::string> alertOf(
    const std::array<BurnWindowReport, burnWindowCount>& windows, const BurnSettings& settings)
{
    const auto pair = [&](std::size_t shorter) { return windows[shorter].name + "+" + windows[shorter + 1].name; };
    const auto minimum = settings.minimumBadEvents;
    if (bothBurnAt(windows[0], windows[1], settings.fastPageRate, minimum))
        return { AlertLevel::Page, pair(0) };
    if (bothBurnAt(windows[1], windows[2], settings.slowPageRate, minimum))
        return { AlertLevel::Page, pair(1) };
    if (bothBurnAt(windows[2], windows[3], settings.ticketRate, minimum))
        return { AlertLevel::Ticket, pair(2) };
    return { AlertLevel::None, "" };
}

AlertLevel BurnReport::alert() const
{
    auto level = AlertLevel::None;
    for (const auto& entry : this->series)
        level = std::max(level, entry.alert);
    return level;
}

BurnReport mergeBurnReports(const std::vector<BurnReport>& reports, const BurnSettings& settings)
{
    std::map<std::pair<DatabaseId, BurnKind>, BurnSeriesReport> merged;
    for (const auto& report : reports) {
        for (const auto& series : report.series) {
            const auto [entry, isNew] = merged.try_emplace({ series.database, series.kind }, series);
            if (isNew)
                entry->second.failovers.clear();
            else
                mergeSeries(entry->second, series);
        }
    }
    BurnReport result;
    for (auto& [key, series] : merged) {
        for (auto& window : series.windows)
            window.burnRate = burnRateOf(window.bad, window.total, series.objective);
        std::tie(series.alert, series.alertWindows) = alertOf(series.windows, settings);
        result.series.push_back(std::move(series));
    }
    return result;
}

std::string toTable(const BurnReport& report)
{
    std::string text = padded("database", 16) + padded("kind", 5) + padded("objective", 18);
    if (!report.series.empty()) {
        for (const auto& window : report.series.front().windows)
            text += padded("burn " + window.name, 9);
    }
    text += "alert\n";
    for (const auto& series : report.series) {
        const auto objective = formatted("%.3f%%", 100 * series.objective.target)
            + formatted(" in %.0f ms", toMilliseconds(series.objective.latencyThreshold));
        text += padded(series.database.value, 16) + padded(std::string(burnKindName(series.kind)), 5)
            + padded(objective, 18);
        for (const auto& window : series.windows)
            text += padded(window.total == 0 ? "-" : formatted("%.2f", window.burnRate), 9);
        text += std::string(alertLevelName(series.alert));
        text += series.alertWindows.empty() ? "\n" : " (" + series.alertWindows + ")\n";
        for (const auto& window : series.windows) {
            if (window.bad > 0)
                text += "    " + window.name + ": " + std::to_string(window.bad) + " of " + std::to_string(window.total)
                    + " missed the objective: " + causesText(window) + "\n";
        }
        if (!series.failovers.empty())
            text += "    missed by failover (journal id): " + failoversText(series.failovers) + "\n";
    }
    return text;
}

} // namespace endivetrestle
