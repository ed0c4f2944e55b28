#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace endivetrestle {

// Bounds the log lines of each kind, so that a failure that touches every request does not cost more than the requests.
// The first lines of a kind always pass; what is left out is counted and reported once a second with the next line.
//
// Example:
//     const auto decision = limiter.decide("statement_failed", now);
//     if (decision.write)
//         logEvent(..., { "left_out", decision.leftOut });
class LogLimiter {
public:
    // Lines of one kind in a second.
    static constexpr int linesPerSecond = 40;

    struct Decision {
        bool write = false;
        // Lines of the kind that were left out since the last one that was written.
        std::uint64_t leftOut = 0;

        bool operator==(const Decision&) const = default;
    };

    Decision decide(std::string_view kind, Time now);

private:
    struct Kind {
        Time second;
        int written = 0;
        std::uint64_t leftOut = 0;
    };

    std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace endivetrestle
