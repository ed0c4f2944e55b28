#include "process/svg_plot.h"

#include "process/burn_tracker.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace endivetrestle;
using namespace std::chrono_literals;

namespace {

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against SVG files that cannot be opened because of invalid text or values.
TEST_CASE("ReportPlot, escapes texts and skips values that are not finite")
{
    PlotPanel panel { "a < b & \"c\"", "time (s)", "rate", false, {}, {}, std::nullopt, "" };
    panel.lines.push_back({ "x\x01y", { { 0, 1 }, { 1, std::numeric_limits<double>::quiet_NaN() }, { 2, 3 } }, true });
    const auto svg = toSvg({ "t", { panel } });
    CAPTURE(svg);
    CHECK(svg.find("a &lt; b &amp; &quot;c&quot;") != std::string::npos);
    CHECK(svg.find("nan") == std::string::npos);
    CHECK(svg.find('\x01') == std::string::npos);
    CHECK(countOf(svg, "<g ") == countOf(svg, "</g>"));
    CHECK(countOf(svg, "<polygon") == 1);
}

// Guards against a division by zero for an empty or constant plot.
TEST_CASE("ReportPlot, draws panels without values, with one value and with equal values")
{
    for (const auto& points :
        std::vector<std::vector<std::pair<double, double>>> { {}, { { 5, 0 } }, { { 1, 0 }, { 2, 0 } } }) {
        for (const bool isLogarithmic : { false, true }) {
            const auto svg
                = toSvg({ "t", { { "p", "x", "y", isLogarithmic, { { "l", points, false } }, {}, {}, "" } } });
            CAPTURE(svg);
            CHECK(svg.find("nan") == std::string::npos);
            CHECK(svg.find("inf") == std::string::npos);
        }
    }
}

// Guards against plots that show a failover at the wrong time or miss its marker.
TEST_CASE("ReportPlot, shows burn and latency of a report and marks failovers")
{
    // History buckets of 2.4 s, so the 40 s from 100 s to 140 s fall into the buckets 41 to 57.
    BurnTracker burn(BurnSettings {}.scaledBy(50));
    const auto series = burn.series(DatabaseId("shop-1"), BurnKind::Write);
    for (int second = 0; second < 40; ++second)
        burn.record(series, { second == 20 ? OutcomeState::Unknown : OutcomeState::Completed, ErrorCode::None, 2ms },
            Time(std::chrono::seconds(100 + second)));
    Journal journal({});
    journal.record({ DatabaseId("shop-1"), JournalKind::Failover, "s", "d", "", {} }, Time(120s), "w");
    journal.record({ DatabaseId("shop-1"), JournalKind::Shed, "s", "d", "", {} }, Time(121s), "w");
    const Time now(140s);
    const auto plot = plotOf(burn.report(now), journal.query({}), now);
    REQUIRE(plot.panels.size() == 2);
    CHECK(plot.panels[0].markers == std::vector<PlotMarker> { { -20.0, "failover #1 shop-1" } });
    CHECK(plot.panels[0].xLabel == "time before the report (s)");
    CHECK(plot.panels[0].lines[0].points.size() == 17);
    CHECK(plot.panels[1].lines[0].name == "shop-1 write p50");
    CHECK(countOf(toSvg(plot), "failover #1 shop-1") == 2);
}
