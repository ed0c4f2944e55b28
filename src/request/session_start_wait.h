#pragma once

#include "base/clock.h"

namespace endivetrestle {

// How long a session start waits for the first configuration, given the time since the process started. Zero means that
// the start is refused at once.
//
// Starts are held after a power loss of all daemons while the store is unavailable. The load balancer sends clients to
// a daemon that is not ready only if no daemon of its data centre is ready. A refused client therefore has no
// alternative: it uses up its retries within milliseconds and gives up long before the store is back. When an outage
// lasts longer than is typical, the store cannot be expected to return within the client's timeout, and starts are
// refused.
Duration sessionStartWait(Duration sinceProcessStart);

} // namespace endivetrestle
