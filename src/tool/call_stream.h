#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "tool/caller_message.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivetrestle {

// Where the calls of a stream go.
struct StreamTarget {
    std::vector<DaemonAddress> daemons;
    std::string callerKey;
    // Primary endpoints of databases, for calls that bypass the daemons.
    std::map<DatabaseId, DaemonAddress> rawEndpoints;
};

// One call of a stream.
struct StreamCall {
    std::size_t lane = 0;
    CallerCall call;
    // Index of the daemon; no value sends the call directly to the primary endpoint, see StreamTarget::rawEndpoints.
    std::optional<std::size_t> daemon = 0;
    // Not sent before this time.
    Time at;
};

struct StreamHooks {
    // Next call of a lane; no value ends the lane.
    std::function<std::optional<StreamCall>(std::size_t lane)> next;
    std::function<void(const StreamCall& call, const CallerAnswer& answer, Time sentAt, Time answeredAt)> answered;
};

enum class StreamMode {
    // A lane asks for its next call when the last one was answered.
    Closed,
    // A lane sends every call at its time, whether or not earlier ones were answered.
    Open,
};

// Runs a number of lanes to their ends and returns after the last answer. The hooks are called on the calling thread.
//
// Example:
//     runCallStream(target, 4, StreamMode::Closed, { nextRead, countAnswer });
void runCallStream(const StreamTarget& target, std::size_t lanes, StreamMode mode, const StreamHooks& hooks);

} // namespace endivetrestle
