#include "base/log_limiter.h"

#include <utility>

namespace endivetrestle {

LogLimiter::Decision LogLimiter::decide(std::string_view name, Time now)
{
    auto found = this->kinds.find(name);
    if (found == this->kinds.end())
        found = this->kinds.emplace(std::string(name), KindCount { now }).first;
    auto& kind = found->second;
    if (now - kind.windowStart >= std::chrono::seconds(1)) {
        kind.windowStart = now;
        kind.written = 0;
    }
    if (kind.written >= linesPerSecond) {
        ++kind.suppressed;
        return { false, kind.suppressed };
    }
    ++kind.written;
    return { true, std::exchange(kind.suppressed, 0) };
}

} // namespace endivetrestle
