#include "tool/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace endivetrestle {

namespace {

// Buckets in an octave; the relative width of a bucket is at most the reciprocal.
constexpr std::uint64_t bucketsPerOctave = 64;
constexpr std::uint64_t octaveBits = 6;
constexpr std::uint64_t lowestUs = 1;
constexpr std::uint64_t highestUs = 1'000'000'000;

std::size_t bucketOf(std::uint64_t value)
{
    if (value < 2 * bucketsPerOctave)
        return value;
    const auto shift = static_cast<std::uint64_t>(std::bit_width(value)) - 1 - octaveBits;
    return shift * bucketsPerOctave + (value >> shift);
}

// Largest value that falls into a bucket.
std::uint64_t upperValueOf(std::size_t bucket)
{
    if (bucket < 2 * bucketsPerOctave)
        return bucket;
    const auto shift = bucket / bucketsPerOctave - 1;
    const auto leading = bucket - shift * bucketsPerOctave;
    return ((leading + 1) << shift) - 1;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : counts(bucketOf(highestUs) + 1)
{
}

void LatencyHistogram::record(Duration latency)
{
    const auto value
        = std::clamp(static_cast<std::uint64_t>(std::max<Duration::rep>(latency.count(), 0)), lowestUs, highestUs);
    this->counts[bucketOf(value)] += 1;
    this->total += 1;
    this->sum += value;
    this->largest = std::max(this->largest, Duration(static_cast<Duration::rep>(value)));
}

void LatencyHistogram::merge(const LatencyHistogram& other)
{
    for (std::size_t i = 0; i < this->counts.size(); ++i)
        this->counts[i] += other.counts[i];
    this->total += other.total;
    this->sum += other.sum;
    this->largest = std::max(this->largest, other.largest);
}

Duration LatencyHistogram::percentile(double percentile) const
{
    if (this->total == 0)
        return {};
    const auto share = std::clamp(percentile, 0.0, 100.0) / 100.0;
    const auto wanted
        = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(this->total))));
    std::uint64_t passed = 0;
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
        passed += this->counts[i];
        if (passed >= wanted)
            return std::min(this->largest, Duration(static_cast<Duration::rep>(upperValueOf(i))));
    }
    return this->largest;
}

Duration LatencyHistogram::mean() const
{
    return this->total == 0 ? Duration() : Duration(static_cast<Duration::rep>(this->sum / this->total));
}

nlohmann::json toJson(const LatencyHistogram& histogram)
{
    return { { "count", histogram.count() }, { "meanMs", toMilliseconds(histogram.mean()) },
        { "p50Ms", toMilliseconds(histogram.percentile(50)) }, { "p90Ms", toMilliseconds(histogram.percentile(90)) },
        { "p99Ms", toMilliseconds(histogram.percentile(99)) }, { "p999Ms", toMilliseconds(histogram.percentile(99.9)) },
        { "maxMs", toMilliseconds(histogram.maximum()) } };
}

} // namespace endivetrestle
