#include "tool/load_plot.h"

namespace endivetrestle {

Plot plotOf(const LoadResult& result)
{
    PlotLine completed { "completed", {}, true };
    PlotLine failed { "not completed", {}, true };
    PlotLine p50 { "p50", {}, false };
    PlotLine p99 { "p99", {}, false };
    for (const auto& point : result.points) {
        completed.points.emplace_back(point.second, point.completed);
        failed.points.emplace_back(point.second, point.failed);
        if (point.completed == 0)
            continue;
        p50.points.emplace_back(point.second, toMilliseconds(point.p50));
        p99.points.emplace_back(point.second, toMilliseconds(point.p99));
    }
    const std::string xLabel = "time since the start (s)";
    return { "Load run",
        { { "Rate", xLabel, "items per second (1/s)", false, { completed, failed }, {}, std::nullopt, "" },
            { "Latency of completed items from their intended time", xLabel, "latency (ms)", true, { p50, p99 }, {},
                std::nullopt, "" } } };
}

} // namespace endivetrestle
