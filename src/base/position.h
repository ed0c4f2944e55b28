#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace endivetrestle {

// Log position of a database group. Positions are ordered by term first and index second, which is the order in which a
// promotion compares the last log positions of fenced endpoints.
struct Position {
    // Term of the primary that appended the record. 0 is before the first term.
    std::uint64_t term = 0;
    // Index of the record in the log, counted from 1. 0 is before the first record.
    std::uint64_t index = 0;

    auto operator<=>(const Position&) const = default;
};

// Text form "term:index" for logs and reports.
inline std::string toString(const Position& position)
{
    return std::to_string(position.term) + ":" + std::to_string(position.index);
}

} // namespace endivetrestle
