#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Key of the table row that names the accepted configuration.
inline constexpr std::string_view configurationRowKey = "configuration";

// One accepted version in the history of the row.
struct AcceptedOperation {
    std::uint64_t version = 0;
    std::string operationId;

    bool operator==(const AcceptedOperation&) const = default;
};

// Value of the configuration row.
struct ConfigurationRow {
    std::uint64_t version = 0;
    // Content hash of the body at configurationObjectKey().
    std::string hash;
    // Latest operations, newest first, at most historyLimit. A confirmation that is repeated after later changes finds
    // its own operation id here.
    std::vector<AcceptedOperation> history;

    static constexpr std::size_t historyLimit = 128;

    bool operator==(const ConfigurationRow&) const = default;
};

std::string serialiseRow(const ConfigurationRow& row);
std::optional<ConfigurationRow> parseRow(std::string_view text);

// Object key of a body. It holds the hash, so that two plans on one base never overwrite each other's body.
std::string configurationObjectKey(std::uint64_t version, const std::string& hash);

// Answers of the platform. Unavailable covers refused connections, timeouts and malformed answers: the effect of the
// call is not known.
enum class StoreStatus { Ok, NotFound, Conflict, Unavailable };

// Answer of the table service or the object store. Text is the value of the row or the object; revision is that of the
// row read.
struct StoreAnswer {
    StoreStatus status = StoreStatus::Unavailable;
    std::string text;
    std::uint64_t revision = 0;
};

} // namespace endivetrestle
