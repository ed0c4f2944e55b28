#include "tool/log_trace.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace endivetrestle {

namespace {

// Takes a value off the text at the position: quoted with backslashes, or up to the next blank.
std::string takeValue(const std::string& text, std::size_t& position)
{
    std::string value;
    if (position < text.size() && text[position] == '"') {
        ++position;
        while (position < text.size() && text[position] != '"') {
            if (text[position] == '\\' && position + 1 < text.size())
                ++position;
            value += text[position++];
        }
        ++position;
        return value;
    }
    while (position < text.size() && text[position] != ' ')
        value += text[position++];
    return value;
}

std::string fieldOf(const LogLine& line, const std::string& name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? "" : found->second;
}

bool concernsPrimary(const LogLine& line)
{
    for (const char* event : { "primary_doubted", "promotion_step", "promotion_answered", "primary_suspended",
             "primary_in_use", "endpoint_silent" }) {
        if (line.event == event)
            return true;
    }
    return false;
}

} // namespace

std::optional<LogLine> parseLogLine(const std::string& text)
{
    auto position = text.find("time=");
    if (position == std::string::npos)
        return std::nullopt;
    LogLine line;
    while (position < text.size()) {
        const auto equals = text.find('=', position);
        if (equals == std::string::npos)
            break;
        const auto key = text.substr(position, equals - position);
        position = equals + 1;
        line.fields[key] = takeValue(text, position);
        while (position < text.size() && text[position] == ' ')
            ++position;
    }
    line.time = fieldOf(line, "time");
    line.event = fieldOf(line, "event");
    if (line.event.empty())
        return std::nullopt;
    line.fields.erase("time");
    line.fields.erase("event");
    return line;
}

std::vector<LogLine> readLog(std::istream& stream, const std::string& source)
{
    std::vector<LogLine> lines;
    std::string text;
    while (std::getline(stream, text)) {
        if (auto line = parseLogLine(text)) {
            line->source = source;
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

std::vector<LogLine> traceLog(std::vector<LogLine> lines, const TraceQuery& query)
{
    auto group = query.group;
    for (const auto& line : lines) {
        if (!query.request.empty() && fieldOf(line, "request") == query.request && !fieldOf(line, "group").empty())
            group = fieldOf(line, "group");
    }
    std::vector<LogLine> result;
    for (auto& line : lines) {
        const bool ofRequest = !query.request.empty() && fieldOf(line, "request") == query.request;
        const bool ofGroup = !group.empty() && fieldOf(line, "group") == group;
        if (ofRequest || (ofGroup && (query.request.empty() || concernsPrimary(line))))
            result.push_back(std::move(line));
    }
    std::stable_sort(
        result.begin(), result.end(), [](const LogLine& left, const LogLine& right) { return left.time < right.time; });
    return result;
}

std::string formatTrace(const std::vector<LogLine>& lines)
{
    std::string text;
    for (const auto& line : lines) {
        text += line.time + "  " + line.source + "  " + line.event;
        for (const auto& [key, value] : line.fields) {
            if (key != "level" && !value.empty())
                text += "  " + key + "=" + value;
        }
        text += '\n';
    }
    return text;
}

std::string formatTraceJson(const std::vector<LogLine>& lines)
{
    auto array = nlohmann::json::array();
    for (const auto& line : lines) {
        array.push_back(
            { { "time", line.time }, { "source", line.source }, { "event", line.event }, { "fields", line.fields } });
    }
    return array.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace endivetrestle
