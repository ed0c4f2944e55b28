#pragma once

#include "base/clock.h"

#include <cstdint>
#include <random>
#include <vector>

namespace endivetrestle::testing {

// Random numbers of one simulation. The same seed gives the same numbers.
class RandomNumbers {
public:
    explicit RandomNumbers(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }
    bool chance(int percent) { return this->below(100) < static_cast<std::uint64_t>(percent); }
    Duration between(Duration shortest, Duration longest)
    {
        return shortest + Duration(this->below(static_cast<std::uint64_t>((longest - shortest).count()) + 1));
    }
    template <typename Value> const Value& element(const std::vector<Value>& values)
    {
        return values.at(this->below(values.size()));
    }

private:
    std::mt19937_64 engine;
};

} // namespace endivetrestle::testing
