#include "request/session_start_wait.h"

namespace endivetrestle {

namespace {

// Clients close a connection whose start is not answered within 2 s; the difference is left for the answer.
constexpr Duration maxHold = std::chrono::milliseconds(1800);
// Store outages typically last 4 to 9 s.
constexpr Duration typicalOutage = std::chrono::seconds(9);

} // namespace

Duration sessionStartWait(Duration sinceProcessStart)
{
    return sinceProcessStart < typicalOutage ? maxHold : Duration::zero();
}

} // namespace endivetrestle
