#pragma once

#include "base/clock.h"

namespace endivetrestle {

// How long a session start waits for the first configuration, given the time since the process started. Zero means that
// it is refused at once.
//
// Answers the load after all daemons have lost power while the store is away. The balancer sends clients to a daemon
// that is not ready only if the others of its data centre are not ready either, so a refused client finds nobody else:
// it spends its retries within some milliseconds and gives up long before the store is back. A store that stays away
// for longer than usual gives no ground to expect it within the client's time.
Duration startHold(Duration sinceProcessStart);

} // namespace endivetrestle
