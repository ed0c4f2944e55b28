#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// Key of the table row that names the accepted configuration.
inline constexpr std::string_view configurationRowKey = "configuration";

// Entry of the row's history: an accepted version and the operation that wrote it.
struct AcceptedOperation {
    std::uint64_t version = 0;
    std::string operationId;

    bool operator==(const AcceptedOperation&) const = default;
};

// Value of the configuration row.
struct ConfigurationRow {
    std::uint64_t version = 0;
    // Content hash of the text stored at configurationObjectKey().
    std::string hash;
    // Latest operations, newest first, at most historyLimit. A confirmation that is repeated after later changes finds
    // its operation id here and is recognised as already accepted.
    std::vector<AcceptedOperation> history;

    static constexpr std::size_t historyLimit = 128;

    bool operator==(const ConfigurationRow&) const = default;
};

std::string serialiseRow(const ConfigurationRow& row);
std::optional<ConfigurationRow> parseRow(std::string_view text);

// Object key of a configuration's text. It contains the hash, so that two plans with the same base version never
// overwrite each other's text.
std::string configurationObjectKey(std::uint64_t version, const std::string& hash);

// Status of a call to the platform. Unavailable covers refused connections, timeouts and malformed answers; whether the
// call took effect is unknown.
enum class StoreStatus { Ok, NotFound, Conflict, Unavailable };

// Answer of the table service or the object store. text is the value of the row or the object; revision is the revision
// of a row that was read.
struct StoreAnswer {
    StoreStatus status = StoreStatus::Unavailable;
    std::string text;
    std::uint64_t revision = 0;
};

} // namespace endivetrestle
