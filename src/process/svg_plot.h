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

// Labelled vertical line that marks an event.
struct PlotMarker {
    double x = 0;
    std::string label;

    bool operator==(const PlotMarker&) const = default;
};

// One diagram with its own axes.
struct PlotPanel {
    std::string title;
    // Axis labels, including the units.
    std::string xLabel;
    std::string yLabel;
    // A logarithmic y axis spans three decades. Smaller values are drawn at its bottom.
    bool isLogarithmic = false;
    std::vector<PlotLine> lines;
    std::vector<PlotMarker> markers;
    // Value marked by a horizontal line, for example the burn rate that raises an alert.
    std::optional<double> threshold;
    std::string thresholdLabel;
    // Range of x that is always shown, even without values.
    std::optional<std::pair<double, double>> minXRange {};

    bool operator==(const PlotPanel&) const = default;
};

// Panels arranged vertically, with a common title.
struct Plot {
    std::string title;
    std::vector<PlotPanel> panels;

    bool operator==(const Plot&) const = default;
};

// Renders a plot as an SVG document. Texts are escaped; values that are not finite are skipped.
std::string toSvg(const Plot& plot);

// Builds the plot of a report: burn rate and latency percentiles of every objective over the time before the report,
// with markers for the failovers, switchovers and store outages in the journal.
Plot plotOf(const BurnReport& report, const std::vector<JournalEntry>& journal, Time now);

} // namespace endivetrestle
