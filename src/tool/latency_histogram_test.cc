#include "tool/latency_histogram.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace endivetrestle;
using namespace std::chrono_literals;

// Guards against bucket arithmetic that is wrong at the borders of an octave.
TEST_CASE("LatencyHistogram, reports a value within 1/64 of the recorded one over the whole range")
{
    std::vector<std::int64_t> values;
    for (std::int64_t power = 1; power <= 1'000'000'000; power *= 2)
        values.insert(values.end(), { power, power + 1, power + power / 3, 2 * power - 1 });
    for (const auto value : values) {
        LatencyHistogram histogram;
        histogram.record(Duration(value));
        histogram.record(Duration(1'000'000'000));
        const auto reported = histogram.percentile(50).count();
        const auto expected = std::min<std::int64_t>(value, 1'000'000'000);
        CAPTURE(value, reported);
        CHECK(reported >= expected);
        CHECK(static_cast<double>(reported - expected) <= static_cast<double>(expected) / 64.0);
    }
}

// Guards against percentiles that are one rank off.
TEST_CASE("LatencyHistogram, percentiles agree with the sorted values")
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> distribution(7.0, 2.0);
    LatencyHistogram histogram;
    std::vector<double> values;
    for (int i = 0; i < 20000; ++i) {
        const auto value = std::max<std::int64_t>(1, static_cast<std::int64_t>(distribution(random)));
        values.push_back(static_cast<double>(value));
        histogram.record(Duration(value));
    }
    std::sort(values.begin(), values.end());
    for (const double percentile : { 0.0, 50.0, 90.0, 99.0, 99.9, 100.0 }) {
        const auto rank = std::max(1.0, std::ceil(percentile / 100.0 * static_cast<double>(values.size())));
        const auto exact = values[static_cast<std::size_t>(rank) - 1];
        const auto reported = static_cast<double>(histogram.percentile(percentile).count());
        CAPTURE(percentile, exact, reported);
        CHECK(reported >= exact);
        CHECK(reported <= exact * (1.0 + 1.0 / 64.0));
    }
}

// Guards against a merge that differs from recording everything in one histogram.
TEST_CASE("LatencyHistogram, merging equals recording in one histogram")
{
    LatencyHistogram left;
    LatencyHistogram right;
    LatencyHistogram all;
    for (int i = 1; i < 1000; ++i) {
        (i % 3 == 0 ? left : right).record(Duration(i * i));
        all.record(Duration(i * i));
    }
    left.merge(right);
    CHECK(left == all);
}

// Guards against a crash or a lost count for values outside the range.
TEST_CASE("LatencyHistogram, counts values outside the range at its ends")
{
    LatencyHistogram histogram;
    CHECK(histogram.percentile(99) == Duration(0));
    histogram.record(-5us);
    histogram.record(2h);
    CHECK(histogram.count() == 2);
    CHECK(histogram.percentile(50) == 1us);
    CHECK(histogram.maximum() == 1000s);
    CHECK(toJson(histogram)["maxMs"] == 1e6);
}
