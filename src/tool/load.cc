#include "tool/load.h"

#include "tool/load_run.h"

#include <cstdio>
#include <numeric>

namespace endivetrestle {

namespace {

using nlohmann::json;

json countsToJson(const LoadCounts& counts)
{
    return { { "intended", counts.intended }, { "completed", counts.completed }, { "didNotRun", counts.didNotRun },
        { "unknown", counts.unknown }, { "resolved", counts.resolved }, { "byReplica", counts.byReplica },
        { "latency", toJson(counts.latency) } };
}

json violationsToJson(const LoadResult& result)
{
    json counts = json::object();
    for (std::size_t kind = 0; kind < violationKindCount; ++kind)
        counts[std::string(violationKindName(static_cast<ViolationKind>(kind)))] = result.violationCounts.at(kind);
    json list = json::array();
    for (const auto& violation : result.violations)
        list.push_back(toJson(violation));
    return { { "total", result.violationCount() }, { "counts", counts }, { "list", list } };
}

std::string rowOf(const std::string& name, const LoadCounts& counts)
{
    std::array<char, 256> line {};
    const auto ms = [&](double percentile) { return toMilliseconds(counts.latency.percentile(percentile)); };
    std::snprintf(line.data(), line.size(), "%-19s%10llu%11llu%9llu%9llu%10llu%9llu%10.2f%10.2f%10.2f%10.2f\n",
        name.c_str(), static_cast<unsigned long long>(counts.intended),
        static_cast<unsigned long long>(counts.completed), static_cast<unsigned long long>(counts.didNotRun),
        static_cast<unsigned long long>(counts.unknown), static_cast<unsigned long long>(counts.resolved),
        static_cast<unsigned long long>(counts.byReplica), ms(50), ms(99), ms(99.9),
        toMilliseconds(counts.latency.maximum()));
    return line.data();
}

} // namespace

LoadCounts LoadResult::total() const
{
    LoadCounts sum;
    for (const auto& entry : this->counts) {
        sum.intended += entry.intended;
        sum.completed += entry.completed;
        sum.didNotRun += entry.didNotRun;
        sum.unknown += entry.unknown;
        sum.resolved += entry.resolved;
        sum.byReplica += entry.byReplica;
        sum.latency.merge(entry.latency);
    }
    return sum;
}

std::uint64_t LoadResult::violationCount() const
{
    return std::accumulate(this->violationCounts.begin(), this->violationCounts.end(), std::uint64_t { 0 });
}

double LoadResult::goodput() const
{
    const auto seconds = toSeconds(this->planned);
    return seconds > 0 ? static_cast<double>(this->total().completed) / seconds : 0;
}

LoadResult runLoadTest(const LoadSettings& settings)
{
    auto io = kj::setupAsyncIo();
    internal::LoadRun run(io, settings);
    return run.run();
}

json toJson(const LoadResult& result)
{
    json counts = json::object();
    for (std::size_t name = 0; name < workNameCount; ++name) {
        if (result.counts.at(name).intended > 0)
            counts[std::string(workName(static_cast<WorkName>(name)))] = countsToJson(result.counts.at(name));
    }
    json codes = json::object();
    for (const auto& [code, count] : result.codes)
        codes[std::string(errorName(code))] = count;
    json points = json::array();
    for (const auto& point : result.points)
        points.push_back({ { "second", point.second }, { "completed", point.completed }, { "failed", point.failed },
            { "p50Ms", toMilliseconds(point.p50) }, { "p99Ms", toMilliseconds(point.p99) } });
    json gaps = json::object();
    for (const auto& [database, gap] : result.longestWriteGap)
        gaps[database.value] = toMilliseconds(gap);
    return { { "plannedSeconds", toSeconds(result.planned) }, { "elapsedSeconds", toSeconds(result.elapsed) },
        { "goodput", result.goodput() }, { "total", countsToJson(result.total()) }, { "items", counts },
        { "codes", codes }, { "longestWriteGapMs", gaps }, { "points", points },
        { "checkedAnswers", result.checkedAnswers }, { "unresolvedWrites", result.unresolvedWrites },
        { "auditedKeys", result.auditedKeys }, { "unauditedKeys", result.unauditedKeys },
        { "violations", violationsToJson(result) } };
}

std::string toTable(const LoadResult& result)
{
    std::string text = "item                 intended  completed  not run  unknown  resolved  replica    p50 ms    p99 "
                       "ms  p99.9 ms    max ms\n";
    for (std::size_t name = 0; name < workNameCount; ++name) {
        if (result.counts.at(name).intended > 0)
            text += rowOf(std::string(workName(static_cast<WorkName>(name))), result.counts.at(name));
    }
    text += rowOf("total", result.total());
    std::array<char, 128> line {};
    std::snprintf(
        line.data(), line.size(), "goodput %.1f/s over %.1f s\n", result.goodput(), toSeconds(result.planned));
    text += line.data();
    for (const auto& [code, count] : result.codes)
        text += "not completed, " + std::string(errorName(code)) + ": " + std::to_string(count) + "\n";
    for (const auto& [database, gap] : result.longestWriteGap) {
        std::snprintf(line.data(), line.size(), "%.0f ms\n", toMilliseconds(gap));
        text += "longest time between acknowledged writes of " + database.value + ": " + line.data();
    }
    text += "checked answers " + std::to_string(result.checkedAnswers) + ", audited keys "
        + std::to_string(result.auditedKeys) + ", keys not audited " + std::to_string(result.unauditedKeys)
        + ", unresolved writes " + std::to_string(result.unresolvedWrites) + "\nviolations "
        + std::to_string(result.violationCount()) + "\n";
    for (const auto& violation : result.violations)
        text += toString(violation) + "\n";
    return text;
}

} // namespace endivetrestle
