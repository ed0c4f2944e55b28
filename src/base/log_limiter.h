#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace endivetrestle {

// Limits the number of log lines of each kind per second, so that logging a failure that affects every request does not
// cost more than the requests themselves. The first lines of a second pass; the others are suppressed and counted, and
// the count is returned with the next line that passes.
//
// Example:
//     const auto decision = limiter.decide("statement_failed", now);
//     if (decision.write)
//         logEvent(..., { "left_out", decision.suppressed });
class LogLimiter {
public:
    // Maximum number of lines of one kind per second.
    static constexpr int linesPerSecond = 40;

    struct Decision {
        bool write = false;
        // Lines of the kind that were suppressed since the last one that was written.
        std::uint64_t suppressed = 0;

        bool operator==(const Decision&) const = default;
    };

    Decision decide(std::string_view kind, Time now);

private:
    struct KindCount {
        Time windowStart;
        int written = 0;
        std::uint64_t suppressed = 0;
    };

    std::map<std::string, KindCount, std::less<>> kinds;
};

} // namespace endivetrestle
