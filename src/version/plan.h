#pragma once

#include "version/configuration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endivetrestle {

// Intents of operators. Each states what shall hold, not how to get there.

// Adds a database or replaces its declaration.
struct DeclareDatabase {
    DatabaseDeclaration database;
};
// Refused while a caller is allowed to use the database.
struct RemoveDatabase {
    DatabaseId database;
};
// Adds a caller or replaces its declaration.
struct DeclareCaller {
    CallerDeclaration caller;
};
struct RemoveCaller {
    CallerId caller;
};
// Sets the largest read age of a caller at a database. No value allows any age.
struct SetReadAge {
    CallerId caller;
    DatabaseId database;
    std::optional<Duration> maxReadAge;
};
// Adds an endpoint in state joining, or makes a joining or leaving endpoint active.
struct JoinEndpoint {
    DatabaseId database;
    EndpointDeclaration endpoint;
};
struct LeaveEndpoint {
    DatabaseId database;
    EndpointId endpoint;
};
// Refused unless the endpoint is joining or leaving.
struct RemoveEndpoint {
    DatabaseId database;
    EndpointId endpoint;
};
struct SetLimits {
    DatabaseId database;
    std::optional<int> slots;
    std::optional<int> connectionsPerEndpoint;
};
// Replaces everything; the version number of the given document is ignored.
struct ReplaceDocument {
    ConfigurationDocument document;
};

using Intent = std::variant<DeclareDatabase, RemoveDatabase, DeclareCaller, RemoveCaller, SetReadAge, JoinEndpoint,
    LeaveEndpoint, RemoveEndpoint, SetLimits, ReplaceDocument>;

// Result of parseIntent(): an intent or problems.
struct IntentResult {
    std::optional<Intent> intent;
    std::vector<JsonProblem> problems;
};

// Parses {"intent": "leaveEndpoint", "database": "orders-1", "endpoint": "orders-1-a"} and its like.
IntentResult parseIntent(std::string_view text, const std::string& source);

// What the change interrupts while it comes into force.
struct Disturbance {
    std::vector<CallerId> callers;
    std::vector<DatabaseId> databases;
    // Upper bound of endpoint connections that are closed or opened again.
    std::size_t connections = 0;
    // One line per effect, for the operator.
    std::vector<std::string> lines;

    bool operator==(const Disturbance&) const = default;
};

// A change that an operator can confirm by id.
struct Plan {
    // Unique; also the operation id of the conditional write.
    PlanId id;
    std::uint64_t baseVersion = 0;
    // Content hash of the base; empty for version 0.
    std::string baseHash;
    std::vector<std::string> changes;
    Disturbance disturbance;
    // Expected time from the confirmation until the change is in force everywhere and its effects are over.
    Duration expectedDuration {};
    // Document of version baseVersion + 1.
    ConfigurationDocument result;
    std::string createdBy;
    // Unix time in milliseconds after which a confirmation is refused.
    std::int64_t expiresAtMs = 0;

    bool operator==(const Plan&) const = default;
};

// Facts that makePlan() needs besides the intent.
struct PlanContext {
    // Configuration in force; null for a fleet without one (version 0).
    std::shared_ptr<const Configuration> base;
    // Unique and random.
    PlanId id;
    std::string createdBy;
    // Unix time in milliseconds.
    std::int64_t nowMs = 0;
    // Time for which the plan can be confirmed.
    Duration lifetime = std::chrono::minutes(15);
};

// Result of makePlan(): a plan, or the reasons why the intent is impossible.
struct PlanResult {
    std::optional<Plan> plan;
    std::vector<std::string> reasons;
};

// Turns an intent into a plan on the given base.
PlanResult makePlan(const Intent& intent, const PlanContext& context);

// Text under which a plan is kept in the object store at planObjectKey(), and its inverse.
std::string serialisePlan(const Plan& plan);
std::optional<Plan> parsePlan(std::string_view text);
std::string planObjectKey(const PlanId& id);

} // namespace endivetrestle
