#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace endivetrestle {

// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

// One key=value pair of a log line. Values are quoted when they hold spaces, quotes or equal signs.
struct LogField {
    std::string key;
    std::string value;

    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, const std::string& value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : key(key)
        , value(value)
    {
    }
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view key, Number value)
        : key(key)
        , value(std::to_string(value))
    {
    }
};

// Sets the lowest level that is written, "debug", "info", "warning" or "error". Lines go to standard error.
void configureLogging(std::string_view lowestLevel);

// Like configureLogging(), but writes to standard output and never waits for its reader: lines that do not fit are
// dropped and counted.
void configureNonblockingLogging(std::string_view lowestLevel);

// Lines dropped since configureNonblockingLogging().
std::uint64_t droppedLogLines();

// Writes one line for one event: time, level, event name and the given fields. Callers must not pass secrets.
//
// Example:
//     logEvent(LogLevel::Info, "primary_changed", { { "database", id.value }, { "term", 7 } });
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

// Formats the fields of a line without time and level.
std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

} // namespace endivetrestle
