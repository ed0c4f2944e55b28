#include "base/log.h"

#include "base/nonblocking_output.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>
#include <unistd.h>

namespace endivetrestle {

namespace {

namespace logging = boost::log;
using Severity = logging::trivial::severity_level;

Severity toSeverity(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return Severity::debug;
    case LogLevel::Info:
        return Severity::info;
    case LogLevel::Warning:
        return Severity::warning;
    case LogLevel::Error:
        return Severity::error;
    }
    return Severity::info;
}

LogLevel parseLevel(std::string_view name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    return LogLevel::Info;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\n\r\"=\\") != std::string_view::npos;
}

void appendValue(std::string& line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

logging::formatter lineFormat()
{
    return logging::expressions::stream << "time="
                                        << logging::expressions::format_date_time<boost::posix_time::ptime>(
                                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                        << " level=" << logging::trivial::severity << " "
                                        << logging::expressions::smessage;
}

NonblockingOutput& standardOutput()
{
    static NonblockingOutput output(STDOUT_FILENO);
    return output;
}

// Sink for single-threaded programs: it takes no lock.
class NonblockingBackend
    : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::concurrent_feeding> {
public:
    void consume(const logging::record_view&, const std::string& line) { standardOutput().writeLine(line); }
};

} // namespace

void configureLogging(std::string_view lowestLevel)
{
    logging::core::get()->remove_all_sinks();
    logging::add_common_attributes();
    logging::add_console_log(std::clog, logging::keywords::format = lineFormat(), logging::keywords::auto_flush = true);
    logging::core::get()->set_filter(logging::trivial::severity >= toSeverity(parseLevel(lowestLevel)));
}

void configureNonblockingLogging(std::string_view lowestLevel)
{
    using Sink = logging::sinks::unlocked_sink<NonblockingBackend>;
    logging::core::get()->remove_all_sinks();
    logging::add_common_attributes();
    const auto sink = boost::make_shared<Sink>();
    sink->set_formatter(lineFormat());
    logging::core::get()->add_sink(sink);
    logging::core::get()->set_filter(logging::trivial::severity >= toSeverity(parseLevel(lowestLevel)));
}

std::uint64_t droppedLogLines() { return standardOutput().dropped(); }

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    static logging::sources::severity_logger_mt<Severity> logger;
    BOOST_LOG_SEV(logger, toSeverity(level)) << formatLogLine(event, fields);
}

} // namespace endivetrestle
