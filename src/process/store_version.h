#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace endivetrestle {

// Version that the store gave to a change.
//
// The store numbers its changes. When it comes back from an older copy, it loses the changes since and gives their
// numbers out again, so a number means something only within one era of the store, which every answer names. Whatever
// is known of a later era is newer than all that is known of an earlier one.
struct StoreVersion {
    std::uint64_t era = 0;
    // Number of the change within the era; 0 means that a row does not exist, or that nothing has been read yet.
    std::uint64_t number = 0;

    // Whether this is the version of a change.
    [[nodiscard]] bool isSet() const { return this->number != 0; }

    auto operator<=>(const StoreVersion&) const = default;
};

// Formats a version as ERA.NUMBER.
std::string toString(const StoreVersion& version);

// Parses the text that toString() returns. Returns no value for any other text.
std::optional<StoreVersion> parseStoreVersion(const std::string& text);

} // namespace endivetrestle
