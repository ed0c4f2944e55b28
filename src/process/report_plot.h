#pragma once

#include "base/clock.h"
#include "process/burn_report.h"
#include "process/journal.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace endivetrestle {

// One line of a plot.
struct PlotLine {
    std::string name;
    // Pairs of x and y in ascending x.
    std::vector<std::pair<double, double>> points;
    // Fills the area between the line and the x axis.
    bool isArea = false;

    bool operator==(const PlotLine&) const = default;
};

// Vertical line at an event.
struct PlotMarker {
    double x = 0;
    std::string label;

    bool operator==(const PlotMarker&) const = default;
};

// One diagram with its own y axis.
struct PlotPanel {
    std::string title;
    // Labels with units.
    std::string xLabel;
    std::string yLabel;
    // Values below a thousandth of the highest value are drawn at the bottom of a logarithmic axis.
    bool isLogarithmic = false;
    std::vector<PlotLine> lines;
    std::vector<PlotMarker> markers;
    // Horizontal line, for example the rate at which an alert is raised.
    std::optional<double> threshold;
    std::string thresholdLabel;
    // Lowest and highest x that are shown at least.
    std::optional<std::pair<double, double>> shownX {};

    bool operator==(const PlotPanel&) const = default;
};

// Panels below one another.
struct Plot {
    std::string title;
    std::vector<PlotPanel> panels;

    bool operator==(const Plot&) const = default;
};

// SVG document. Texts are escaped; values that are not finite are left out.
std::string toSvg(const Plot& plot);

// Plot of a report: burn rate of every objective, and latency percentiles, over the time before the report. Failovers,
// switchovers and store outages of the journal within that time are marked.
Plot plotOf(const BurnReport& report, const std::vector<JournalEntry>& journal, Time now);

} // namespace endivetrestle
