#pragma once

#include "base/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// One error in a document.
struct JsonProblem {
    // File name, or a name for the source such as "request body".
    std::string source;
    // Line counted from 1; 0 if it is not known.
    std::size_t line = 0;
    // Path of the key, for example "listen.callers.port".
    std::string path;
    // What is wrong and what is allowed.
    std::string message;

    bool operator==(const JsonProblem&) const = default;
};

// "file:line: path: message" on one line.
std::string toString(const JsonProblem& problem);

// Result of parseStrictJson().
struct JsonDocument {
    nlohmann::json value;
    std::vector<JsonProblem> problems;
};

// Parses JSON with // and /* */ comments. Reports syntax errors with their line, and every duplicate key.
JsonDocument parseStrictJson(std::string_view text, const std::string& source);

// Range of a number, both ends allowed.
struct NumberRange {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

// Reads the members of one JSON object into an aggregate and collects every problem instead of stopping at the first.
// The object must outlive the reader.
//
// Example:
//     ObjectReader reader(document.value, "settings.json", "", problems);
//     settings.port = reader.integer("port", { 1, 65535 });
//     settings.retry = reader.milliseconds("retryMs", { 1, 60000 }, 250ms);
//     reader.reportUnknownKeys(); // reports keys that were never read
class ObjectReader {
public:
    ObjectReader(
        const nlohmann::json& object, std::string source, std::string path, std::vector<JsonProblem>& problems);

    // Required values. A missing or invalid value is reported, and the lowest allowed number or an empty string is
    // returned.
    std::int64_t integer(const std::string& key, NumberRange range);
    std::string text(const std::string& key);
    // Values with a default for a missing key.
    std::int64_t integer(const std::string& key, NumberRange range, std::int64_t fallback);
    double number(const std::string& key, double lowest, double highest, double fallback);
    std::string text(const std::string& key, const std::string& fallback);
    bool boolean(const std::string& key, bool fallback);
    // Duration given in milliseconds; the key name ends in "Ms" by convention.
    Duration milliseconds(const std::string& key, NumberRange range, Duration fallback);
    // One of the allowed strings. Any other value is reported with the list of allowed ones.
    std::string oneOf(const std::string& key, const std::set<std::string>& allowed, const std::string& fallback);

    // Nested values. Returns nullptr, and reports if required, when the key is missing or of another type.
    const nlohmann::json* object(const std::string& key, bool required);
    const nlohmann::json* array(const std::string& key, bool required);

    // Path of a key below this object, for nested readers.
    [[nodiscard]] std::string pathOf(const std::string& key) const;
    [[nodiscard]] std::string pathOf(const std::string& key, std::size_t index) const;

    // Adds a problem about a key of this object.
    void report(const std::string& key, const std::string& message);

    // Reports every key that none of the calls above has read as unknown.
    void reportUnknownKeys();

private:
    const nlohmann::json* find(const std::string& key);
    const nlohmann::json* nested(const std::string& key, bool required, nlohmann::json::value_t type);
    std::optional<std::int64_t> findInteger(const std::string& key, NumberRange range);

    const nlohmann::json& value;
    std::string source;
    std::string path;
    std::vector<JsonProblem>& problems;
    std::set<std::string> readKeys;
};

} // namespace endivetrestle
