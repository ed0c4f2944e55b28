#pragma once

#include "base/clock.h"
#include "base/strict_json.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace endivetrestle::standin {

// Behaviour of one endpoint that experiments may change while it runs.
struct EndpointSwitches {
    // Listener and connections closed. The log, term and role remain, as after a restart of the database.
    bool down = false;
    // Nothing proceeds; what arrives waits and runs when the pause is over, also if its sender has gone.
    bool paused = false;
    // Requests are taken and never answered and have no effect: all of them, or those of the named daemons.
    bool blackhole = false;
    std::set<std::string> blackholeDaemons;
    // Statements that run at once, and time that each occupies its slot.
    int slots = 2;
    Duration serviceTime {};
    // Connections for statements at the same time, and time to open one.
    int connectionLimit = 16;
    Duration openingTime = std::chrono::milliseconds(10);
    // Added before every request is handled, control calls included.
    Duration extraLatency {};
    // Time from an append at the primary until this endpoint receives the record, without the one-way delay.
    Duration shipDelay {};
    // Time from the receipt of a record until it is applied here.
    Duration applyLag {};
    // The connection is closed in place of the answer after the effect: the next so many, or a share of all.
    std::int64_t loseAnswers = 0;
    double loseAnswerShare = 0;
    // The connection is closed before the effect: the next so many, or a share of all.
    std::int64_t dropRequests = 0;
    double dropRequestShare = 0;
    // The next so many answers carry the identity of another request.
    std::int64_t crossAnswers = 0;
    // The next so many answers are text that is not JSON.
    std::int64_t malformedAnswers = 0;
    // Reported log positions are lower by this number of records.
    std::uint64_t positionBack = 0;
};

// Changes the switches that the object names, for example {"down": true, "applyLagMs": 50}. Durations are numbers of
// milliseconds with fraction and end in Ms; the other keys are the names of the members. Reports problems.
void readSwitches(const nlohmann::json& object, const std::string& path, EndpointSwitches& switches,
    std::vector<JsonProblem>& problems);

// Reads a duration in milliseconds with fraction, at most an hour.
Duration readMilliseconds(ObjectReader& reader, const std::string& key, Duration fallback);

} // namespace endivetrestle::standin
