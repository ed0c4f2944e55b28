#pragma once

#include <cstdint>

namespace endivetrestle {

// What a daemon's host can carry, as its settings state it. Integers, so that all daemons compute the same weights.
struct HostCapacity {
    // Processor share in thousandths of a core, and bandwidth of the network link in Kbit/s; 0 if it is not stated.
    std::int64_t processorMilli = 0;
    std::int64_t linkKbps = 0;

    [[nodiscard]] bool isStated() const { return this->processorMilli > 0 && this->linkKbps > 0; }
    // Statements per second that the host can carry, by whichever of processor and link is the smaller limit.
    [[nodiscard]] double statementsPerSecond() const;

    bool operator==(const HostCapacity&) const = default;
};

// Capacity of a host with the given processor share in cores and link in Mbit/s.
HostCapacity hostCapacity(double processorShare, double linkMbps);

} // namespace endivetrestle
