#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace endivetrestle {

// Writes lines to a descriptor without ever waiting for its reader. A line that does not fit is dropped and counted;
// one that was begun is completed before the next one.
class NonblockingOutput {
public:
    // Makes the descriptor non-blocking.
    explicit NonblockingOutput(int descriptor);

    // Writes the line and a line end.
    void writeLine(std::string_view line);

    [[nodiscard]] std::uint64_t dropped() const { return this->droppedLines; }

private:
    bool flushRest();

    int descriptor;
    // Rest of a line that was begun.
    std::string rest;
    std::uint64_t droppedLines = 0;
};

} // namespace endivetrestle
