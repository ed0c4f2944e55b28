#include "base/nonblocking_output.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace endivetrestle {

NonblockingOutput::NonblockingOutput(int descriptor)
    : descriptor(descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool NonblockingOutput::flushUnwritten()
{
    if (this->unwritten.empty())
        return true;
    const auto written = ::write(this->descriptor, this->unwritten.data(), this->unwritten.size());
    if (written > 0)
        this->unwritten.erase(0, static_cast<std::size_t>(written));
    return this->unwritten.empty();
}

void NonblockingOutput::writeLine(std::string_view line)
{
    if (!this->flushUnwritten()) {
        ++this->droppedLines;
        return;
    }
    std::string text(line);
    text += '\n';
    const auto written = ::write(this->descriptor, text.data(), text.size());
    if (written < 0) {
        ++this->droppedLines;
        return;
    }
    this->unwritten = text.substr(std::min(text.size(), static_cast<std::size_t>(written)));
}

} // namespace endivetrestle
