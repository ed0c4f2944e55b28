#include "process/burn_report.h"

#include <algorithm>

namespace endivetrestle {

namespace {

using nlohmann::json;

json causesToJson(const BurnWindowReport& window)
{
    json causes = json::object();
    for (std::size_t cause = 0; cause < burnCauseCount; ++cause) {
        if (window.causes[cause] > 0)
            causes[std::string(burnCauseName(static_cast<BurnCause>(cause)))] = window.causes[cause];
    }
    return causes;
}

json windowToJson(const BurnWindowReport& window)
{
    return { { "name", window.name }, { "lengthUs", window.length.count() }, { "total", window.total },
        { "bad", window.bad }, { "burnRate", window.burnRate }, { "causes", causesToJson(window) } };
}

json pointToJson(const BurnPoint& point)
{
    return { { "ageUs", point.age.count() }, { "total", point.total }, { "bad", point.bad },
        { "p50Us", coarsePercentile(point.latency, 50).count() },
        { "p99Us", coarsePercentile(point.latency, 99).count() }, { "latency", point.latency } };
}

json seriesToJson(const BurnSeriesReport& series)
{
    json windows = json::array();
    for (const auto& window : series.windows)
        windows.push_back(windowToJson(window));
    json failovers = json::array();
    for (const auto& failover : series.failovers)
        failovers.push_back({ { "journalId", failover.journalId }, { "bad", failover.bad } });
    json history = json::array();
    for (const auto& point : series.history)
        history.push_back(pointToJson(point));
    return { { "database", series.database.value }, { "kind", burnKindName(series.kind) },
        { "target", series.objective.target }, { "latencyThresholdUs", series.objective.latencyThreshold.count() },
        { "alert", alertLevelName(series.alert) }, { "alertWindows", series.alertWindows }, { "windows", windows },
        { "failovers", failovers }, { "pointLengthUs", series.pointLength.count() }, { "history", history } };
}

template <typename Value> Value valueOf(const json& object, const char* key, Value fallback)
{
    const auto found = object.find(key);
    if (found == object.end())
        return fallback;
    if constexpr (std::is_same_v<Value, std::string>)
        return found->is_string() ? found->get<Value>() : fallback;
    else
        return found->is_number() ? found->get<Value>() : fallback;
}

Duration durationOf(const json& object, const char* key) { return Duration(valueOf<std::int64_t>(object, key, 0)); }

// Returns the objects in the array under a key; empty if there is no such array.
std::vector<json> objectsOf(const json& object, const char* key)
{
    std::vector<json> objects;
    const auto found = object.find(key);
    if (found == object.end() || !found->is_array())
        return objects;
    std::copy_if(found->begin(), found->end(), std::back_inserter(objects),
        [](const json& element) { return element.is_object(); });
    return objects;
}

BurnWindowReport windowFromJson(const json& object)
{
    BurnWindowReport window;
    window.name = valueOf<std::string>(object, "name", "");
    window.length = durationOf(object, "lengthUs");
    window.total = valueOf<std::uint64_t>(object, "total", 0);
    window.bad = valueOf<std::uint64_t>(object, "bad", 0);
    window.burnRate = valueOf<double>(object, "burnRate", 0);
    const auto causes = object.find("causes");
    if (causes == object.end() || !causes->is_object())
        return window;
    for (std::size_t cause = 0; cause < burnCauseCount; ++cause) {
        const std::string name(burnCauseName(static_cast<BurnCause>(cause)));
        window.causes[cause] = valueOf<std::uint64_t>(*causes, name.c_str(), 0);
    }
    return window;
}

BurnPoint pointFromJson(const json& object)
{
    BurnPoint point;
    point.age = durationOf(object, "ageUs");
    point.total = valueOf<std::uint64_t>(object, "total", 0);
    point.bad = valueOf<std::uint64_t>(object, "bad", 0);
    const auto latency = object.find("latency");
    if (latency == object.end() || !latency->is_array())
        return point;
    for (std::size_t i = 0; i < std::min(latency->size(), coarseLatencyBuckets); ++i)
        point.latency[i] = (*latency)[i].is_number() ? (*latency)[i].get<std::uint32_t>() : 0;
    return point;
}

AlertLevel alertFromName(const std::string& name)
{
    for (const auto level : { AlertLevel::Page, AlertLevel::Ticket }) {
        if (alertLevelName(level) == name)
            return level;
    }
    return AlertLevel::None;
}

BurnSeriesReport seriesFromJson(const json& object)
{
    BurnSeriesReport series;
    series.database = DatabaseId(valueOf<std::string>(object, "database", ""));
    series.kind = valueOf<std::string>(object, "kind", "read") == "write" ? BurnKind::Write : BurnKind::Read;
    series.objective.target = valueOf<double>(object, "target", series.objective.target);
    series.objective.latencyThreshold = durationOf(object, "latencyThresholdUs");
    series.alert = alertFromName(valueOf<std::string>(object, "alert", "none"));
    series.alertWindows = valueOf<std::string>(object, "alertWindows", "");
    series.pointLength = durationOf(object, "pointLengthUs");
    const auto windows = objectsOf(object, "windows");
    for (std::size_t window = 0; window < std::min(windows.size(), burnWindowCount); ++window)
        series.windows[window] = windowFromJson(windows[window]);
    for (const auto& failover : objectsOf(object, "failovers"))
        series.failovers.push_back(
            { valueOf<std::uint64_t>(failover, "journalId", 0), valueOf<std::uint64_t>(failover, "bad", 0) });
    for (const auto& point : objectsOf(object, "history"))
        series.history.push_back(pointFromJson(point));
    return series;
}

} // namespace

json toJson(const BurnReport& report)
{
    json series = json::array();
    for (const auto& entry : report.series)
        series.push_back(seriesToJson(entry));
    return { { "alert", alertLevelName(report.alert()) }, { "series", series } };
}

BurnReport burnReportFromJson(const json& value)
{
    BurnReport report;
    if (!value.is_object())
        return report;
    for (const auto& series : objectsOf(value, "series"))
        report.series.push_back(seriesFromJson(series));
    return report;
}

} // namespace endivetrestle
