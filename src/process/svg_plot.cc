#include "process/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace endivetrestle {

namespace {

// Sizes in pixels.
constexpr double width = 960;
constexpr double panelHeight = 340;
constexpr double headerHeight = 40;
constexpr double plotLeft = 80;
constexpr double plotRight = 720;
constexpr double plotTop = 40;
constexpr double plotBottom = 280;
constexpr double legendLeft = 735;
constexpr double legendStep = 18;
constexpr std::size_t legendLimit = 13;
constexpr int targetTicks = 6;
constexpr double logarithmicDecades = 3;
// Colours that remain distinguishable with the common forms of colour blindness (Okabe and Ito, 2008).
constexpr std::array colours = { "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000" };

std::string number(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

std::string escaped(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
    }
    return result;
}

std::string textAt(double x, double y, const std::string& text, const std::string& attributes = "")
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" " + attributes + ">" + escaped(text) + "</text>\n";
}

std::string lineFrom(double x1, double y1, double x2, double y2, const std::string& attributes)
{
    return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) + "\" y2=\"" + number(y2)
        + "\" " + attributes + "/>\n";
}

// Returns a step of 1, 2 or 5 times a power of ten that yields about targetTicks ticks.
double tickStep(double span)
{
    const double raw = span / targetTicks;
    const double magnitude = std::pow(10.0, std::floor(std::log10(raw)));
    for (const double factor : { 1.0, 2.0, 5.0 }) {
        if (raw <= factor * magnitude)
            return factor * magnitude;
    }
    return 10.0 * magnitude;
}

struct Range {
    double lowest = 0;
    double highest = 1;
};

// Maps values of a panel to pixel coordinates.
class Scale {
public:
    explicit Scale(const PlotPanel& panel)
        : isLogarithmic(panel.isLogarithmic)
    {
        bool isFirst = true;
        double highest = panel.threshold.value_or(0);
        const auto includeX = [&](double x) {
            this->x.lowest = isFirst ? x : std::min(this->x.lowest, x);
            this->x.highest = isFirst ? x : std::max(this->x.highest, x);
            isFirst = false;
        };
        if (panel.minXRange) {
            includeX(panel.minXRange->first);
            includeX(panel.minXRange->second);
        }
        for (const auto& line : panel.lines) {
            for (const auto& [px, py] : line.points) {
                if (!std::isfinite(px) || !std::isfinite(py))
                    continue;
                includeX(px);
                highest = std::max(highest, py);
            }
        }
        if (this->x.highest <= this->x.lowest)
            this->x.highest = this->x.lowest + 1;
        this->y.highest = highest > 0 ? highest * 1.05 : 1;
        this->y.lowest = this->isLogarithmic ? this->y.highest / std::pow(10.0, logarithmicDecades) : 0;
    }

    [[nodiscard]] double pixelX(double value) const
    {
        return plotLeft + (value - this->x.lowest) / (this->x.highest - this->x.lowest) * (plotRight - plotLeft);
    }

    [[nodiscard]] double pixelY(double value) const
    {
        double share = (value - this->y.lowest) / (this->y.highest - this->y.lowest);
        if (this->isLogarithmic)
            share = std::log10(std::max(value, this->y.lowest) / this->y.lowest) / logarithmicDecades;
        return plotBottom - std::clamp(share, 0.0, 1.0) * (plotBottom - plotTop);
    }

    [[nodiscard]] std::vector<double> ticksY() const
    {
        if (!this->isLogarithmic)
            return ticks(this->y);
        std::vector<double> result;
        for (double power = std::floor(std::log10(this->y.lowest)); power <= std::log10(this->y.highest); ++power) {
            for (const double factor : { 1.0, 2.0, 5.0 }) {
                const double value = factor * std::pow(10.0, power);
                if (value >= this->y.lowest && value <= this->y.highest)
                    result.push_back(value);
            }
        }
        return result;
    }

    [[nodiscard]] std::vector<double> ticksX() const { return ticks(this->x); }
    [[nodiscard]] bool containsX(double value) const { return value >= this->x.lowest && value <= this->x.highest; }

private:
    static std::vector<double> ticks(Range range)
    {
        std::vector<double> result;
        const double step = tickStep(range.highest - range.lowest);
        const auto first = static_cast<long>(std::ceil(range.lowest / step));
        for (long i = first; static_cast<double>(i) * step <= range.highest; ++i)
            result.push_back(static_cast<double>(i) * step);
        return result;
    }

    bool isLogarithmic;
    Range x;
    Range y;
};

std::string axes(const PlotPanel& panel, const Scale& scale)
{
    const std::string grid = "stroke=\"#dddddd\"";
    std::string svg;
    for (const double value : scale.ticksY()) {
        const double y = scale.pixelY(value);
        svg += lineFrom(plotLeft, y, plotRight, y, grid);
        svg += textAt(plotLeft - 6, y + 4, number(value), "text-anchor=\"end\"");
    }
    for (const double value : scale.ticksX()) {
        const double x = scale.pixelX(value);
        svg += lineFrom(x, plotBottom, x, plotBottom + 5, "stroke=\"#333333\"");
        svg += textAt(x, plotBottom + 18, number(value), "text-anchor=\"middle\"");
    }
    svg += lineFrom(plotLeft, plotTop, plotLeft, plotBottom, "stroke=\"#333333\"");
    svg += lineFrom(plotLeft, plotBottom, plotRight, plotBottom, "stroke=\"#333333\"");
    const double centre = (plotTop + plotBottom) / 2;
    svg += textAt((plotLeft + plotRight) / 2, plotBottom + 38, panel.xLabel, "text-anchor=\"middle\"");
    svg += textAt(
        18, centre, panel.yLabel, "text-anchor=\"middle\" transform=\"rotate(-90 18 " + number(centre) + ")\"");
    return svg + textAt(plotLeft, plotTop - 14, panel.title, "font-weight=\"bold\"");
}

std::string curve(const PlotLine& line, const Scale& scale, const std::string& colour)
{
    std::string points;
    double firstX = 0;
    double lastX = 0;
    for (const auto& [x, y] : line.points) {
        if (!std::isfinite(x) || !std::isfinite(y))
            continue;
        lastX = scale.pixelX(x);
        firstX = points.empty() ? lastX : firstX;
        points += number(lastX) + "," + number(scale.pixelY(y)) + " ";
    }
    if (points.empty())
        return {};
    const auto bottom = "," + number(plotBottom) + " ";
    std::string svg;
    if (line.isArea)
        svg += "<polygon points=\"" + number(firstX) + bottom + points + number(lastX) + bottom + "\" fill=\"" + colour
            + "\" fill-opacity=\"0.2\"/>\n";
    return svg + "<polyline points=\"" + points + "\" fill=\"none\" stroke=\"" + colour + "\" stroke-width=\"1.5\"/>\n";
}

std::string markers(const PlotPanel& panel, const Scale& scale)
{
    std::string svg;
    if (panel.threshold) {
        const double y = scale.pixelY(*panel.threshold);
        svg += lineFrom(plotLeft, y, plotRight, y, "stroke=\"#aa0000\" stroke-dasharray=\"6 3\"");
        svg += textAt(plotRight - 4, y - 4, panel.thresholdLabel, "text-anchor=\"end\" fill=\"#aa0000\"");
    }
    for (const auto& marker : panel.markers) {
        if (!scale.containsX(marker.x))
            continue;
        const double x = scale.pixelX(marker.x);
        svg += lineFrom(x, plotTop, x, plotBottom, "stroke=\"#666666\" stroke-dasharray=\"2 3\"");
        svg += textAt(x + 3, plotTop + 10, marker.label, "fill=\"#666666\" font-size=\"10\"");
    }
    return svg;
}

std::string legend(const PlotPanel& panel)
{
    std::string svg;
    for (std::size_t i = 0; i < std::min(panel.lines.size(), legendLimit); ++i) {
        const double y = plotTop + 10 + static_cast<double>(i) * legendStep;
        const std::string colour = colours.at(i % colours.size());
        svg += lineFrom(legendLeft, y - 4, legendLeft + 20, y - 4, "stroke=\"" + colour + "\" stroke-width=\"3\"");
        svg += textAt(legendLeft + 26, y, panel.lines[i].name);
    }
    if (panel.lines.size() > legendLimit)
        svg += textAt(legendLeft, plotTop + 10 + static_cast<double>(legendLimit) * legendStep,
            "and " + std::to_string(panel.lines.size() - legendLimit) + " more");
    return svg;
}

std::string panelSvg(const PlotPanel& panel)
{
    const Scale scale(panel);
    std::string svg = axes(panel, scale);
    for (std::size_t i = 0; i < panel.lines.size(); ++i)
        svg += curve(panel.lines[i], scale, colours.at(i % colours.size()));
    return svg + markers(panel, scale) + legend(panel);
}

} // namespace

std::string toSvg(const Plot& plot)
{
    const double height = headerHeight + panelHeight * static_cast<double>(plot.panels.size());
    const auto size = number(width) + " " + number(height);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(width) + "\" height=\""
        + number(height) + "\" viewBox=\"0 0 " + size + "\" font-family=\"sans-serif\" font-size=\"12\">\n" + "<title>"
        + escaped(plot.title) + "</title>\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        + textAt(plotLeft, 26, plot.title, "font-size=\"16\" font-weight=\"bold\"");
    for (std::size_t i = 0; i < plot.panels.size(); ++i)
        svg += "<g transform=\"translate(0 " + number(headerHeight + panelHeight * static_cast<double>(i)) + ")\">\n"
            + panelSvg(plot.panels[i]) + "</g>\n";
    return svg + "</svg>\n";
}

} // namespace endivetrestle
