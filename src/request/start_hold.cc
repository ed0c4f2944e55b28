#include "request/start_hold.h"

namespace endivetrestle {

namespace {

// Clients close a connection whose start is not answered within 2 s; the answer needs some of it.
constexpr Duration longestHold = std::chrono::milliseconds(1800);
// Time within which a store that is away is usually back; its outages last 4 to 9 s.
constexpr Duration usualOutage = std::chrono::seconds(9);

} // namespace

Duration startHold(Duration sinceProcessStart)
{
    return sinceProcessStart < usualOutage ? longestHold : Duration::zero();
}

} // namespace endivetrestle
