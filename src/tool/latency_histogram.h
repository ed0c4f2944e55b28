#pragma once

#include "base/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace endivetrestle {

// Counts latencies from 1 us to 1000 s in log-linear buckets. Up to 128 us a bucket is 1 us wide; above that each
// octave has 64 buckets, so a reported value differs from the recorded one by at most 1/64 of it. Values outside the
// range are counted at its ends. Not thread-safe.
//
// Example:
//     LatencyHistogram histogram;
//     histogram.record(latency);
//     auto p99 = histogram.percentile(99);
class LatencyHistogram {
public:
    LatencyHistogram();

    void record(Duration latency);

    // Adds the counts of another histogram.
    void merge(const LatencyHistogram& other);

    // Highest value of the bucket that holds the given percentile (0 to 100), at most the largest recorded value. Zero
    // if nothing was recorded.
    [[nodiscard]] Duration percentile(double percentile) const;

    [[nodiscard]] std::uint64_t count() const { return this->total; }
    // Largest and mean value, exact within the range; zero if nothing was recorded.
    [[nodiscard]] Duration maximum() const { return this->largest; }
    [[nodiscard]] Duration mean() const;

    bool operator==(const LatencyHistogram&) const = default;

private:
    std::vector<std::uint64_t> counts;
    std::uint64_t total = 0;
    std::uint64_t sum = 0;
    Duration largest {};
};

// {"count", "meanMs", "p50Ms", "p90Ms", "p99Ms", "p999Ms", "maxMs"}.
nlohmann::json toJson(const LatencyHistogram& histogram);

} // namespace endivetrestle
