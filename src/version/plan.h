#pragma once

#include "version/configuration.h"
#include "version/intent.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivetrestle {

// What a change interrupts while it takes effect.
struct Disturbance {
    std::vector<CallerId> callers;
    std::vector<DatabaseId> databases;
    // Upper bound on the number of endpoint connections that are closed or reopened.
    std::size_t connections = 0;
    // One line per effect, for the operator.
    std::vector<std::string> lines;

    bool operator==(const Disturbance&) const = default;
};

// A change that an operator can confirm by id.
struct Plan {
    // Unique. Also used as the operation id of the conditional write to the configuration row.
    PlanId id;
    std::uint64_t baseVersion = 0;
    // Content hash of the base; empty for version 0.
    std::string baseHash;
    std::vector<std::string> changes;
    Disturbance disturbance;
    // Expected time from the confirmation until the change is in force on every daemon and nothing is interrupted any
    // more.
    Duration expectedDuration {};
    // Document of version baseVersion + 1.
    ConfigurationDocument result;
    std::string createdBy;
    // Unix time in milliseconds after which a confirmation is refused.
    std::int64_t expiresAtMs = 0;

    bool operator==(const Plan&) const = default;
};

// Input of makePlan() besides the intent.
struct PlanContext {
    // Configuration in force; null for a fleet without one (version 0).
    std::shared_ptr<const Configuration> base;
    // Unique and random.
    PlanId id;
    std::string createdBy;
    // Unix time in milliseconds.
    std::int64_t nowMs = 0;
    // Time from an acceptance until the version is in force on every daemon.
    Duration rolloutTime = std::chrono::seconds(2);
    // Time for which the plan can be confirmed.
    Duration lifetime = std::chrono::minutes(15);
};

// Result of makePlan(): a plan, or the reasons why the intent is impossible.
struct PlanResult {
    std::optional<Plan> plan;
    std::vector<std::string> reasons;
};

// Turns an intent into a plan on the given base. In addition to the conditions of each intent, the result must satisfy
// validateConfiguration(), differ from the base, and change at most one voting endpoint of each database, so that any
// majorities of two successive versions have an endpoint in common.
//
// Example:
//     const auto intent = parseIntent(body, "request body");
//     const auto made = makePlan(*intent.intent, { keeper.current(), PlanId("p-1"), "operator", nowMs });
PlanResult makePlan(const Intent& intent, const PlanContext& context);

// Converts a plan to and from the text that is stored in the object store at planObjectKey().
std::string serialisePlan(const Plan& plan);
std::optional<Plan> parsePlan(std::string_view text);
std::string planObjectKey(const PlanId& id);

} // namespace endivetrestle
