#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivetrestle {

// One line of a structured log, decoded.
struct LogLine {
    // Time as written; lines of one format order by it.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    // File that it came from.
    std::string source;

    bool operator==(const LogLine&) const = default;
};

// What a trace shows: the lines of one request, or of one database group. A request's trace also holds the lines about
// the primary of its group.
struct TraceQuery {
    std::string request;
    std::string group;
};

// Decodes key=value pairs with quoted values. Text in front of "time=" is ignored, so that lines with a prefix of a log
// collector are understood. No value for a line without an event.
std::optional<LogLine> parseLogLine(const std::string& text);

// Reads all lines of a stream and leaves out those that cannot be understood.
std::vector<LogLine> readLog(std::istream& stream, const std::string& source);

// Lines that the query asks for, in order of time.
std::vector<LogLine> traceLog(std::vector<LogLine> lines, const TraceQuery& query);

// One line of text for each log line, and a JSON array of all.
std::string formatTrace(const std::vector<LogLine>& lines);
std::string formatTraceJson(const std::vector<LogLine>& lines);

} // namespace endivetrestle
