#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace endivetrestle {

// Writes lines to a descriptor without ever waiting for its reader. A line that does not fit is dropped and counted; a
// partially written line is completed before the next one.
class NonblockingOutput {
public:
    // Makes the descriptor non-blocking.
    explicit NonblockingOutput(int descriptor);

    // Writes the line and a newline.
    void writeLine(std::string_view line);

    [[nodiscard]] std::uint64_t dropped() const { return this->droppedLines; }

private:
    bool flushUnwritten();

    int descriptor;
    // Remaining part of a partially written line.
    std::string unwritten;
    std::uint64_t droppedLines = 0;
};

} // namespace endivetrestle
