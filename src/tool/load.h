#pragma once

#include "base/clock.h"
#include "base/identifier.h"
#include "base/outcome.h"
#include "tool/caller_message.h"
#include "tool/history_checker.h"
#include "tool/latency_histogram.h"
#include "tool/workload.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace endivetrestle {

struct LoadSettings {
    WorkloadSettings workload;
    // Each request goes to a random one.
    std::vector<DaemonAddress> daemons;
    // If not empty, statements go directly to the primary endpoint of their database instead, as a baseline. The
    // endpoints' connection limit must allow one connection per session.
    std::map<DatabaseId, DaemonAddress> rawEndpoints;
    std::string callerKey;
    // Deadline that is stated with each request.
    Duration deadline = std::chrono::seconds(2);
    // Unknown outcomes of writes are resolved by request id for this long, one attempt per interval.
    Duration resolveWindow = std::chrono::seconds(15);
    Duration resolveInterval = std::chrono::milliseconds(200);
    // Reads every written key after the run and checks that no acknowledged write is missing.
    bool audit = true;
    // Keys that are not read within this time count as not audited.
    Duration auditWindow = std::chrono::seconds(60);
    Duration progressInterval = std::chrono::seconds(2);
    // Receives one line per interval; not called if empty.
    std::function<void(const std::string&)> onProgress;
};

// Counts of items of one name.
struct LoadCounts {
    std::uint64_t intended = 0;
    std::uint64_t completed = 0;
    std::uint64_t didNotRun = 0;
    // Outcome unknown at the first answer, and those of them that were resolved later.
    std::uint64_t unknown = 0;
    std::uint64_t resolved = 0;
    // Completed reads that a replica served.
    std::uint64_t byReplica = 0;
    // From the intended time to the answer of completed items.
    LatencyHistogram latency;
};

// Completed items and latency within one second of the run.
struct LoadPoint {
    double second = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    Duration p50 {};
    Duration p99 {};
};

struct LoadResult {
    std::array<LoadCounts, workNameCount> counts;
    // Answers that were not completed, by code.
    std::map<ErrorCode, std::uint64_t> codes;
    std::vector<LoadPoint> points;
    // Longest time between two acknowledged writes of a database, which bounds the failover gap from above.
    std::map<DatabaseId, Duration> longestWriteGap;
    // Planned duration, and the time until the last answer.
    Duration planned {};
    Duration elapsed {};
    std::uint64_t checkedAnswers = 0;
    std::uint64_t unresolvedWrites = 0;
    std::uint64_t auditedKeys = 0;
    // Keys whose audit read was not answered; their writes are not checked.
    std::uint64_t unauditedKeys = 0;
    std::array<std::uint64_t, violationKindCount> violationCounts {};
    std::vector<Violation> violations;

    // Sums over all items.
    [[nodiscard]] LoadCounts total() const;
    [[nodiscard]] std::uint64_t violationCount() const;
    // Completed items per second of the planned duration.
    [[nodiscard]] double goodput() const;
};

// Runs a load to its end on a kj event loop of its own. Open loop: items are sent at their intended times whether or
// not earlier ones were answered, and latency counts from the intended time. A session does one item at a time, so an
// item waits while its session is busy; that wait is part of its latency. Every answer is judged by HistoryChecker.
LoadResult runLoadTest(const LoadSettings& settings);

nlohmann::json toJson(const LoadResult& result);
std::string toTable(const LoadResult& result);

} // namespace endivetrestle
