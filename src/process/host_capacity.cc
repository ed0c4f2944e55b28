#include "process/host_capacity.h"

#include <algorithm>
#include <cmath>

namespace endivetrestle {

namespace {

// Processor time of a statement (docs/design/workspaces.md), and an estimate of the bytes that a statement with its
// answer takes on the links of an owner: once to the daemon of the session, once to the endpoint.
constexpr double processorMicrosecondsPerStatement = 130;
constexpr double linkBytesPerStatement = 1000;

constexpr double bytesPerSecondPerKbps = 125;

} // namespace

double HostCapacity::statementsPerSecond() const
{
    const double byProcessor = static_cast<double>(this->processorMilli) * 1000 / processorMicrosecondsPerStatement;
    const double byLink = static_cast<double>(this->linkKbps) * bytesPerSecondPerKbps / linkBytesPerStatement;
    return std::min(byProcessor, byLink);
}

HostCapacity hostCapacity(double processorShare, double linkMbps)
{
    return { std::max<std::int64_t>(1, std::llround(processorShare * 1000)),
        std::max<std::int64_t>(1, std::llround(linkMbps * 1000)) };
}

} // namespace endivetrestle
